//! Callers: when they dial, whom, how long they wait, and what they do after a refusal.
//!
//! A caller is counted once, by the fate of its last try; redials belong to the first.

use crate::draw::Draw;
use crate::scenario::{Scenario, ms, secs};
use crate::{CallId, Time};

/// How a caller fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// Stood by the goal, and was not cut.
    InTime,
    /// Stood later, and was not cut.
    Late,
    /// Stood and was cut.
    Cut,
    /// Refused at the last.
    Refused,
    /// Failed at the last.
    Failed,
    /// Gave up waiting at the last.
    GaveUp,
    /// Its proxy or its connection was gone at the last.
    Lost,
}

/// All fates, in the order of reports.
pub const FATES: [Fate; 7] =
    [Fate::InTime, Fate::Late, Fate::Cut, Fate::Refused, Fate::Failed, Fate::GaveUp, Fate::Lost];

impl Fate {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Fate::InTime => "in_time",
            Fate::Late => "late",
            Fate::Cut => "cut",
            Fate::Refused => "refused",
            Fate::Failed => "failed",
            Fate::GaveUp => "gave_up",
            Fate::Lost => "lost",
        }
    }
}

/// One caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// When it dialled first.
    pub first: Time,
    /// Its channel.
    pub channel: usize,
    /// Its first choice.
    pub place: usize,
    /// The number it calls.
    pub number: String,
    /// Redials that are left.
    pub left: u32,
    /// Whether it heeds the wait in a refusal.
    pub heeds: bool,
    /// Tries so far.
    pub tries: u32,
}

/// A try that is about to be made.
#[derive(Clone, Debug)]
pub struct Try {
    /// Its id.
    pub call: CallId,
    /// How long the caller waits for the answer.
    pub patience: Time,
    /// When an impatient caller leaves, from now.
    pub leaves: Option<Time>,
}

/// Draws callers and what they do.
pub struct Callers {
    /// Who comes when; nothing that a run leads to may change that.
    draw: Draw,
    /// What they do then.
    then: Draw,
    rate: f64,
    bursts: Vec<(Time, Time, f64)>,
    most: f64,
    channels: Vec<f64>,
    sizes: Vec<f64>,
    weights: Vec<f64>,
    unlike: f64,
    shift: [f64; 2],
    /// When the weights of first choices are drawn anew.
    shift_at: Time,
    redials: u32,
    redial: [f64; 2],
    heed: f64,
    limit: Time,
    try_share: [f64; 2],
    impatient: f64,
    /// Mean length of a call, in microseconds.
    hold: f64,
    hang_up: f64,
    next_call: CallId,
}

impl Callers {
    /// The callers of a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let c = &scenario.callers;
        let bursts = c.bursts.iter().map(|b| (secs(b.at_s), secs(b.at_s + b.for_s), b.factor)).collect();
        let sizes: Vec<f64> = scenario.server_groups().iter().map(|g| g.rate).collect();
        let mut draw = Draw::new(scenario.seed, 0xca11);
        Callers {
            rate: c.rate,
            bursts,
            most: c.bursts.iter().map(|b| b.factor).fold(1.0, |a, f| a * f.max(1.0)),
            channels: scenario.channels.iter().map(|ch| ch.calls.unwrap_or(ch.share)).collect(),
            weights: sizes.clone(),
            sizes,
            unlike: c.unlike,
            shift: c.shift_s,
            shift_at: 0,
            redials: c.redials,
            redial: c.redial_ms,
            heed: c.heed,
            limit: ms(c.limit_ms),
            try_share: c.try_share,
            impatient: c.impatient,
            hold: c.hold_ms * 1e3,
            hang_up: c.hang_up,
            // Ids of one run do not meet those of another on the same sockets.
            next_call: draw.number() >> 24 << 24,
            then: Draw::new(scenario.seed, 0x7e11),
            draw,
        }
    }

    /// How many times the usual calls come at a time, counted from the begin.
    fn factor(&self, at: Time) -> f64 {
        let within = |b: &&(Time, Time, f64)| (b.0..b.1).contains(&at);
        self.bursts.iter().filter(within).map(|b| b.2).product()
    }

    /// Time of the next first try after one at `at`, both counted from the begin.
    pub fn next(&mut self, mut at: Time) -> Time {
        // Thinning: candidates come at the highest rate, and each stays with the share of its own.
        loop {
            at += (self.draw.wait(1e6 / (self.rate * self.most)) as Time).max(1);
            let share = self.factor(at) / self.most;
            if self.draw.chance(share) {
                return at;
            }
        }
    }

    /// A new caller; `at` is counted from the begin, and `now` is the model's time.
    pub fn caller(&mut self, at: Time, now: Time) -> Caller {
        if at >= self.shift_at {
            self.shift_at = at + secs(self.draw.between(self.shift));
            let unlike = self.unlike;
            for (weight, size) in self.weights.iter_mut().zip(&self.sizes) {
                *weight = size * (1.0 - unlike + 2.0 * unlike * self.draw.unit());
            }
        }
        Caller {
            first: now,
            channel: self.draw.weighted(&self.channels),
            place: self.draw.weighted(&self.weights),
            number: format!("{:016x}", self.draw.number()),
            left: self.redials,
            heeds: self.draw.chance(self.heed),
            tries: 0,
        }
    }

    /// The next try of a caller, if its time allows one.
    pub fn attempt(&mut self, caller: &mut Caller, now: Time) -> Option<Try> {
        let left = (caller.first + self.limit).saturating_sub(now);
        let patience = ((self.then.between(self.try_share) * self.limit as f64) as Time).min(left);
        if patience < 100_000 {
            return None;
        }
        caller.tries += 1;
        self.next_call += 1;
        let leaves = self.then.chance(self.impatient);
        let leaves = leaves.then(|| (self.then.unit() * patience as f64) as Time);
        Some(Try { call: self.next_call, patience: patience / 1_000 * 1_000, leaves })
    }

    /// Wait before the caller dials again; `None` where it does not. `away` is what it was told.
    pub fn redial(&mut self, caller: &mut Caller, away: Option<Time>) -> Option<Time> {
        caller.left = caller.left.checked_sub(1)?;
        let own = self.then.ms(self.redial);
        let jitter = (self.then.unit() * 50_000.0) as Time;
        Some(away.filter(|_| caller.heeds).map_or(own, |away| away + jitter))
    }

    /// How long a call lasts, and when its caller ends it, if it does.
    pub fn length(&mut self) -> (Time, Option<Time>) {
        let hold = (self.then.wait(self.hold) as Time).clamp(100_000, 60_000_000);
        let hangs_up = self.then.chance(self.hang_up);
        (hold, hangs_up.then_some((hold as f64 * self.then.unit()) as Time))
    }
}

#[cfg(test)]
mod tests;

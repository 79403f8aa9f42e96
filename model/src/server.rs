//! A setup server: a processor with one line, lines for calls, and what wears them down.
//!
//! Set-up, answer and release of a call each cost work and wait in one queue. Past a wait a set-up is turned
//! away, which costs work too. A server that has just started can do only a part of its usual work; sent far
//! more than that, it falls over and stays down. Load figures are refreshed late.

use crate::draw::Draw;
use crate::scenario::{Rules, Servers, ms};
use crate::{CallId, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Parts of a call's work. The BRIEF says that all three cost work, not how much; an even half for the set-up
/// is ours.
const SETUP: f64 = 0.5;
const ANSWER: f64 = 0.25;
const RELEASE: f64 = 0.25;
/// What a refusal costs, as a part of a call's work; ours.
const REFUSAL: f64 = 0.1;
/// A server tells all that its free lines have changed, so often at most; ours.
const TELL: Time = 1_000_000;
/// Slack of the fall rule for chance, in calls; ours.
const FALL_SLACK: f64 = 4.0;

/// Load figures, as in `X-State`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    /// Free lines.
    pub free: u32,
    /// Lines in all.
    pub lines: u32,
    /// How busy its processor is, from 0 to 1.
    pub util: f64,
    /// Set-ups waiting at its processor.
    pub queue: u32,
}

/// Why a set-up does not stand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum No {
    /// The processor is full; the wait there.
    Throttled(Time),
    /// No line.
    Congestion,
    /// An error.
    Error,
}

/// What a server does.
#[derive(Clone, Debug, PartialEq)]
pub enum Does {
    /// A call stands.
    Stands(CallId),
    /// A set-up ends.
    Refuses(CallId, No),
    /// A call has come to its end.
    Releases(CallId),
    /// The processor has fallen over, and this share of the work came from those who knew that it was cold.
    Falls(f64),
    /// It tells all that its free lines have changed.
    Tells,
}

#[derive(Clone, Copy, PartialEq)]
enum Job {
    Setup(CallId),
    Answer(CallId),
    Release(CallId),
    /// Work that nobody waits for.
    Other,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Waiting,
    Answering,
    Standing(Time),
    Ending,
}

/// Sums since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Set-ups that arrived.
    pub setups: u64,
    /// Set-ups that stood.
    pub stood: u64,
    /// Set-ups turned away since the processor was full.
    pub throttled: u64,
    /// Set-ups turned away for want of a line.
    pub congestion: u64,
    /// Set-ups that ended with an error.
    pub errors: u64,
    /// Work taken up, in seconds of a warm processor.
    pub work: f64,
    /// Of it, work for what did not stand.
    pub wasted: f64,
}

/// A processor and its lines.
pub struct Server {
    rate: f64,
    lines: u32,
    refuse_past: Time,
    refresh: [f64; 2],
    start_capacity: f64,
    warm: Time,
    fall_multiple: f64,
    fall: Time,
    draw: Draw,
    /// When it last started; before the scenario where `None`.
    started: Option<Time>,
    slower: f64,
    erring: f64,
    deaf: bool,
    down: bool,
    jobs: VecDeque<Job>,
    /// Work that waits in `jobs`, in seconds of a warm processor.
    waiting: f64,
    current: Option<(Job, Time, Time)>,
    calls: BTreeMap<CallId, Stage>,
    ends: BTreeSet<(Time, CallId)>,
    state: State,
    told_free: u32,
    told_at: Time,
    refresh_at: Time,
    busy_since: Time,
    busy: Time,
    /// Work of the last moments while it is cold: when, how much, whether from one who knew.
    arrived: VecDeque<(Time, f64, bool)>,
    /// Sums for the report.
    pub tally: Tally,
}

impl Server {
    /// One that has run for long, or has started just now.
    pub fn new(spec: &Servers, rules: &Rules, seed: u64, started: Option<Time>, now: Time) -> Self {
        let mut draw = Draw::new(seed, 0x5e);
        let refresh_at = now + draw.ms(spec.refresh_ms);
        Server {
            rate: spec.rate,
            lines: spec.lines,
            refuse_past: ms(spec.refuse_past_ms),
            refresh: spec.refresh_ms,
            start_capacity: rules.start_capacity,
            warm: ms(rules.warm_ms),
            fall_multiple: rules.fall_multiple,
            fall: ms(rules.fall_ms),
            draw,
            started,
            slower: 1.0,
            erring: 0.0,
            deaf: false,
            down: false,
            jobs: VecDeque::new(),
            waiting: 0.0,
            current: None,
            calls: BTreeMap::new(),
            ends: BTreeSet::new(),
            state: State { free: spec.lines, lines: spec.lines, util: 0.0, queue: 0 },
            told_free: spec.lines,
            told_at: now,
            refresh_at,
            busy_since: now,
            busy: 0,
            arrived: VecDeque::new(),
            tally: Tally::default(),
        }
    }

    /// What share of its warm capacity it can do now, slowness apart.
    pub fn warmth(&self, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = now.saturating_sub(started) as f64 / self.warm.max(1) as f64;
        (self.start_capacity + (1.0 - self.start_capacity) * part).min(1.0)
    }

    /// Calls a second that it can do now.
    pub fn capacity(&self, now: Time) -> f64 {
        if self.down { 0.0 } else { self.rate * self.warmth(now) / self.slower }
    }

    /// Load figures: the lines as they are, the processor's as they were when last refreshed.
    pub fn state(&self) -> State {
        State { free: self.free(), ..self.state }
    }

    /// Whether it can take a call at once: it is up, a line is free, and its queue is short.
    pub fn has_room(&self, now: Time) -> bool {
        !self.down && !self.deaf && self.free() > 0 && self.wait(now) < 300_000
    }

    fn free(&self) -> u32 {
        self.lines.saturating_sub(self.calls.len() as u32)
    }

    /// Calls that stand or are being set up here.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// How many times slower than usual it is.
    pub fn set_slower(&mut self, times: f64) {
        self.slower = times;
    }

    /// Share of the set-ups that end with an error.
    pub fn set_erring(&mut self, share: f64) {
        self.erring = share;
    }

    /// Whether it loses set-ups.
    pub fn set_deaf(&mut self, deaf: bool) {
        self.deaf = deaf;
    }

    /// Its process or machine is gone, with the calls there. Gives those that stood.
    pub fn stop(&mut self) -> Vec<CallId> {
        self.down = true;
        self.jobs.clear();
        self.waiting = 0.0;
        self.current = None;
        self.ends.clear();
        let stood = |s: &Stage| matches!(s, Stage::Standing(_) | Stage::Ending);
        std::mem::take(&mut self.calls).into_iter().filter(|(_, s)| stood(s)).map(|(id, _)| id).collect()
    }

    /// Whether it has stopped or fallen over.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Whether a call stands here.
    pub fn stands(&self, call: CallId) -> bool {
        matches!(self.calls.get(&call), Some(Stage::Standing(_) | Stage::Ending))
    }

    /// Wait of a set-up that came now.
    fn wait(&self, now: Time) -> Time {
        let speed = self.rate * self.warmth(now) / self.slower;
        let current = self.current.map_or(0, |(_, _, until)| until.saturating_sub(now));
        current + (self.waiting * 1e6 * self.rate / speed) as Time
    }

    fn work(&self, job: Job) -> f64 {
        let part = match job {
            Job::Setup(_) => SETUP,
            Job::Answer(_) => ANSWER,
            Job::Release(_) => RELEASE,
            Job::Other => REFUSAL,
        };
        part / self.rate
    }

    fn enqueue(&mut self, job: Job, now: Time) {
        self.waiting += self.work(job);
        self.jobs.push_back(job);
        self.begin(now);
    }

    /// Takes up the next job where none is in hand.
    fn begin(&mut self, now: Time) {
        if self.current.is_none()
            && let Some(job) = self.jobs.pop_front()
        {
            let work = self.work(job);
            self.waiting = if self.jobs.is_empty() { 0.0 } else { self.waiting - work };
            let speed = self.warmth(now) / self.slower;
            let takes = work * 1e6 / speed * self.draw.between([0.5, 1.5]);
            self.tally.work += work;
            if job == Job::Other {
                self.tally.wasted += work;
            }
            self.current = Some((job, now, now + (takes as Time).max(1)));
        }
    }

    /// Counts work that reaches it, and whether that is more than a cold server bears.
    fn reached(&mut self, now: Time, calls: f64, told: bool, out: &mut Vec<Does>) {
        if self.started.is_none_or(|at| now >= at + self.warm) {
            self.arrived.clear();
            return;
        }
        self.arrived.push_back((now, calls, told));
        while self.arrived.front().is_some_and(|a| a.0 + self.fall <= now) {
            self.arrived.pop_front();
        }
        let sum: f64 = self.arrived.iter().map(|a| a.1).sum();
        // What it can do when it is well: the settings tell proxies nothing of a cold server that is slow too.
        let can = self.rate * self.warmth(now);
        let bears = self.fall_multiple * can * self.fall as f64 / 1e6 + FALL_SLACK;
        if sum > bears {
            let knew: f64 = self.arrived.iter().filter(|a| a.2).map(|a| a.1).sum();
            out.push(Does::Falls(knew / sum));
        }
    }

    /// A set-up has come whole. `told` says whether its proxy knows when this server started.
    pub fn setup(&mut self, now: Time, id: CallId, told: bool, out: &mut Vec<Does>) {
        self.run(now, out);
        self.tally.setups += 1;
        if self.down {
            return;
        }
        self.reached(now, 1.0, told, out);
        if self.deaf {
            return;
        }
        let no = if self.free() == 0 {
            Some(No::Congestion)
        } else {
            Some(self.wait(now)).filter(|wait| *wait > self.refuse_past).map(No::Throttled)
        };
        match no {
            Some(no) => {
                match no {
                    No::Throttled(_) => self.tally.throttled += 1,
                    No::Congestion => self.tally.congestion += 1,
                    No::Error => self.tally.errors += 1,
                }
                out.push(Does::Refuses(id, no));
                self.enqueue(Job::Other, now);
            }
            None => {
                self.calls.insert(id, Stage::Waiting);
                self.enqueue(Job::Setup(id), now);
            }
        }
        self.changed(now, out);
    }

    /// A set-up was given up, or a call that stands is released from the other side. True where it stood.
    pub fn give_up(&mut self, now: Time, id: CallId, out: &mut Vec<Does>) -> bool {
        self.run(now, out);
        let stage = self.calls.remove(&id);
        let stood = match stage {
            Some(Stage::Standing(end)) => {
                self.ends.remove(&(end, id));
                self.enqueue(Job::Release(id), now);
                true
            }
            Some(Stage::Ending) => true,
            Some(Stage::Waiting) => {
                // A set-up that was given up is dropped.
                if let Some(at) = self.jobs.iter().position(|j| *j == Job::Setup(id)) {
                    self.jobs.remove(at);
                    self.waiting -= self.work(Job::Setup(id));
                }
                false
            }
            Some(Stage::Answering) => {
                self.tally.wasted += SETUP / self.rate;
                false
            }
            _ => false,
        };
        self.changed(now, out);
        stood
    }

    /// A call that it took stands now and ends by itself after `hold`.
    pub fn hold(&mut self, now: Time, id: CallId, hold: Time) {
        if let Some(stage) = self.calls.get_mut(&id) {
            *stage = Stage::Standing(now + hold);
            self.ends.insert((now + hold, id));
        }
    }

    /// When it has to be run next.
    pub fn due(&self) -> Option<Time> {
        if self.down {
            return None;
        }
        let job = self.current.map(|c| c.2);
        let end = self.ends.first().map(|e| e.0);
        job.into_iter().chain(end).chain([self.refresh_at]).min()
    }

    /// Does all that is done by now.
    pub fn run(&mut self, now: Time, out: &mut Vec<Does>) {
        while !self.down
            && let Some(at) = self.due().filter(|at| *at <= now)
        {
            if let Some((job, since, until)) = self.current.filter(|c| c.2 == at) {
                self.busy += until - since.max(self.busy_since);
                self.current = None;
                self.finish(job, at, out);
                self.begin(at);
            } else if let Some((end, id)) = self.ends.first().copied().filter(|e| e.0 == at) {
                self.ends.remove(&(end, id));
                self.calls.insert(id, Stage::Ending);
                self.enqueue(Job::Release(id), at);
            } else {
                self.refresh(at, out);
            }
        }
    }

    fn refresh(&mut self, at: Time, out: &mut Vec<Does>) {
        // The job in hand counts up to now, and from now on in the next period.
        if let Some((_, since, _)) = self.current {
            self.busy += at.saturating_sub(since.max(self.busy_since));
        }
        let period = at.saturating_sub(self.busy_since).max(1);
        self.state.util = (self.busy as f64 / period as f64).min(1.0);
        self.state.queue = self.jobs.iter().filter(|j| matches!(j, Job::Setup(_))).count() as u32;
        self.busy = 0;
        self.busy_since = at;
        self.refresh_at = at + self.draw.ms(self.refresh).max(1_000);
        if self.free() != self.told_free && at >= self.told_at + TELL {
            self.tell(at, out);
        }
    }

    fn tell(&mut self, now: Time, out: &mut Vec<Does>) {
        self.told_free = self.free();
        self.told_at = now;
        out.push(Does::Tells);
    }

    /// An eighth of the lines, or the last one, is told at once.
    fn changed(&mut self, now: Time, out: &mut Vec<Does>) {
        let free = self.free();
        if free.abs_diff(self.told_free) * 8 >= self.lines || (free == 0) != (self.told_free == 0) {
            self.tell(now, out);
        }
    }

    fn finish(&mut self, job: Job, now: Time, out: &mut Vec<Does>) {
        match job {
            Job::Setup(id) if self.calls.contains_key(&id) => {
                if self.erring > 0.0 && self.draw.chance(self.erring) {
                    self.calls.remove(&id);
                    self.tally.wasted += SETUP / self.rate;
                    self.tally.errors += 1;
                    out.push(Does::Refuses(id, No::Error));
                } else {
                    self.calls.insert(id, Stage::Answering);
                    self.enqueue(Job::Answer(id), now);
                }
            }
            Job::Setup(_) => self.tally.wasted += SETUP / self.rate,
            Job::Answer(id) if self.calls.contains_key(&id) => {
                self.tally.stood += 1;
                out.push(Does::Stands(id));
            }
            Job::Answer(_) => self.tally.wasted += ANSWER / self.rate,
            Job::Release(id) => {
                // One that the other side released is off the table already, and needs no word.
                if self.calls.remove(&id).is_some() {
                    out.push(Does::Releases(id));
                }
            }
            Job::Other => {}
        }
        self.changed(now, out);
    }
}

#[cfg(test)]
mod tests;

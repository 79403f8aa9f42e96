//! What is believed of one server: its load, its lines, whether it is silent, cold or ill, and how many
//! set-ups it may get for that. Without I/O and without a clock.

use crate::interface::*;
use crate::mean::Mean;
use crate::sites::{self, COLD_AFTER};
use crate::throughput::{Completed, Rate};
use crate::window::{
    CC_PERIOD, LEAST_SHARE, MIN_FRACTION_CALLS, MIN_OCCUP, OCC_TOO_HIGH, OPPUI, Window, next_window,
};
use std::collections::{BTreeMap, BTreeSet};

/// Most starts in an open window, over the usual: a burst of callers must not reach a server at once.
pub(crate) const OPEN_MOST: f64 = 1.5;
/// Most that is taken for overhead, ratio: keeps the ratio tame when light load was never seen.
const OVERHEAD_MOST: f64 = 0.1;
/// Most of a set-up's delay that is not waiting, over the target: the least seen may have waited too.
const FLOOR_MOST: f64 = 0.5;
/// What a window without news regains of its usual in an OPPUI, ratio: troubles last some 10 s.
const FADE: f64 = 0.1;
/// Tests of a silent server in a period below which they are too few to rely on: one in ten seconds.
const SELDOM: f64 = 0.1;
/// One turn, us.
pub(crate) const TURN: Time = 25_000;
/// `max_calls_per_entry`, starts per server and turn.
pub(crate) const STARTS_PER_TURN: f64 = 1.0;
/// Room over an even spread of the window's calls in a turn, ratio.
const TURN_ROOM: f64 = 1.25;
/// Skip of a server that answered full, us.
const FULL_SKIP: Time = 250_000;
/// Longest skip that a stated wait may cause, us.
const FULL_SKIP_MOST: Time = 2_000_000;
/// A server with calls out that has said nothing for this long is taken for silent, us.
const SILENT: Time = 1_000_000;
/// Weight of the newest figure in a smoothed one, ratio.
pub(crate) const SMOOTH: f64 = 0.2;
/// The same for the usual starts when they rise, ratio: an open window must not hold calls for long.
const RISE: f64 = 0.5;
/// Share of errors from which a server serves nobody, ratio: the least window then, as a test.
pub(crate) const HOPELESS: f64 = 0.99;
/// Share of free lines below which nodes keep to their part: what calls of 8 s give back in 0.5 s.
const LINES_SHORT: f64 = 0.06;

/// A server that failed to answer: since when, and whether it could not even be reached.
pub(crate) struct Down {
    pub(crate) since: Time,
    pub(crate) unreached: bool,
}

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) zone: u32,
    pub(crate) place: Place,
    pub(crate) ready: bool,
    pub(crate) started: Option<Time>,
    pub(crate) cold_from: Option<Time>,
    pub(crate) window: Window,
    pub(crate) free: Option<f64>,
    pub(crate) lines: Option<f64>,
    /// Lines that this node may still take now.
    pub(crate) room: f64,
    /// Its calls that stand there.
    pub(crate) standing: BTreeSet<CallId>,
    pub(crate) skip_until: Time,
    pub(crate) turn_starts: u32,
    pub(crate) out: BTreeMap<CallId, Time>,
    pub(crate) heard: Time,
    /// Set-ups sent before are not judged: the node itself stood still.
    pub(crate) judged_from: Time,
    /// Its last known occupancy.
    pub(crate) occup: f64,
    /// When it last reported a low one.
    pub(crate) idle_at: Time,
    /// When the latest set-up went out that was answered.
    pub(crate) answered_sent: Time,
    pub(crate) down: Option<Down>,
    /// Until when its word counts for as much as an answer.
    pub(crate) believed: Time,
    /// Share of errors among its latest answers.
    pub(crate) ill: f64,
    pub(crate) floor: f64,
    /// Set-ups that it has answered, since it was listed or turned warm.
    pub(crate) completed: Rate,
    /// Set-ups per call control period that its place completes for this node; none before it was warm.
    pub(crate) place_completes: Option<f64>,
    /// When that is brought up to date.
    pub(crate) place_learns_at: Time,
    /// Starts per call control period that this place took in good times.
    pub(crate) usual: Option<f64>,
}

impl Server {
    /// The paper's takeover: a fresh start is met by a low window that rises with the warm-up.
    pub(crate) fn restart(&mut self, at: Time) {
        self.cold_from = Some(at);
        self.window.n = None;
        self.window.credit = self.window.credit.min(self.window.phase);
        self.window.fresh = true;
        self.down = None;
        self.skip_until = 0;
        self.free = None;
    }

    pub(crate) fn told_lines(&mut self, report: &Report) {
        self.free = figure(report.free).or(self.free);
        self.lines = figure(report.lines).filter(|l| *l >= 1.0).or(self.lines);
    }

    /// Guards the last free lines, which all nodes hear of at once, against being taken by each: a node
    /// has those that its own calls give back, and by half periods its part of the free ones, as of the calls
    /// that stand, or an equal part, so that one that has just started is not left out.
    pub(crate) fn hand_out_lines(&mut self, nodes: f64) {
        let (Some(free), Some(lines)) = (self.free, self.lines) else { return };
        let part = self.standing.len() as f64 / (lines - free).max(1.0);
        let room = free * part.clamp(1.0 / nodes, 1.0);
        let more = 2.0 * room * TURN as f64 / CC_PERIOD as f64;
        let short = free < LINES_SHORT * lines;
        self.room = if short { (self.room + more).min(room.max(1.0)) } else { f64::MAX };
    }

    /// Most starts a period may have. Warm: a little over the usual.
    ///
    /// Cold: guard against a server pushed over by all nodes together. A node sends its `part` of a warm
    /// server's capacity, times the share of its capacity a server has this long after its start, and one
    /// call of all nodes a period where it knows no part. Covers replacements and returns from silence; a
    /// server that cannot be reached may start at any moment, so its tests are held to the same at age 0. One
    /// that is merely silent may be slow, and is tested at the least window.
    pub(crate) fn most_starts(
        &mut self,
        now: Time,
        (even, part): (f64, f64),
        room: f64,
        settings: &Settings,
    ) -> f64 {
        let usual = self.usual.unwrap_or(even).max(even);
        let age = match (&self.down, self.cold_from) {
            (Some(d), _) if !d.unreached => return LEAST_SHARE * usual,
            (Some(_), _) => 0,
            (None, Some(from)) => now.saturating_sub(from),
            _ if self.ill >= HOPELESS => return LEAST_SHARE * usual,
            (None, None) => {
                let limited = self.usual.filter(|_| room < OPEN_MOST).map(|own| room * own);
                return limited.unwrap_or(self.usual.map_or(f64::MAX, |_| OPEN_MOST * usual));
            }
        };
        if age >= settings.cold {
            self.cold_from = None;
            self.completed = Rate::new(now);
            // Guards against a window of 0 for good: a node that has just started knows no usual yet.
            self.window.n = self.window.n.or(Some(usual).filter(|n| *n > 0.0));
            return if usual > 0.0 { usual } else { f64::MAX };
        }
        (part * sites::cold_part(settings, age)).max(1.0 / f64::from(settings.nodes.max(1)))
    }

    /// Learns once a period what its place completes for this node, beginning with an `even` part. Few calls
    /// say little, so they move it less.
    pub(crate) fn learn_place(&mut self, now: Time, even: f64) {
        if now < self.place_learns_at || !self.ready || self.cold_from.is_some() || self.down.is_some() {
            return;
        }
        self.place_learns_at = now + CC_PERIOD;
        let place = self.place_completes.get_or_insert(even);
        *place += SMOOTH * even.min(1.0) * (self.completed.per_period(now) - *place);
    }

    /// What it completes for this node, unless it is out of service or out of order.
    pub(crate) fn completed(&self, now: Time, lines: f64, settings: &Settings) -> Option<Completed> {
        let works = self.ready && self.down.is_none() && self.ill < HOPELESS;
        let age = self.cold_from.map(|from| now.saturating_sub(from));
        let warmth = age.map_or(1.0, |age| sites::warmth(settings, age));
        works.then(|| Completed { rate: self.completed.per_period(now), lines, warmth })
    }

    /// Whether one more start belongs to the least window of this OPPUI.
    pub(crate) fn wants_test(&self) -> bool {
        f64::from(self.window.starts) < (LEAST_SHARE * self.usual.unwrap_or(0.0)).max(1.0)
    }

    /// Ends the call control period and, at its end, the OPPUI.
    pub(crate) fn roll(&mut self, now: Time, target: f64, (least, most): (f64, f64), even: f64) {
        let usual = self.usual.unwrap_or(even).max(even) * OPEN_MOST;
        if std::mem::take(&mut self.window.fresh) {
            // Guards against a replacement that stands idle for up to two periods while its calls are held.
            let w = &mut self.window;
            w.period = (now + (w.phase * CC_PERIOD as f64) as Time).saturating_sub(CC_PERIOD);
            w.credit += w.n.unwrap_or(most).min(most).max(least) * w.phase;
        }
        while now >= self.window.period + CC_PERIOD {
            self.window.period += CC_PERIOD;
            // Guards against starts of one N that are held against the next: both change at one moment.
            if self.window.period >= self.window.interval + OPPUI {
                self.update_window(now, target, even);
            }
            // Departure: N stays within its bound, but that of a server that is down: a cut has to bite.
            self.window.n = self.window.n.map(|n| if self.down.is_none() { n.min(most) } else { n });
            let n = self.window.n.unwrap_or(most).min(most).max(least);
            // Guards a cold server against starts that all nodes have saved up: what is not used lapses.
            let (lapses, saved) = (self.cold_from.is_some() && n < 1.0, self.window.credit);
            self.window.credit = n + if lapses { saved.fract() } else { saved.min(1.0) };
            let even = n.min(usual) * TURN as f64 / CC_PERIOD as f64;
            self.window.per_turn = (even * TURN_ROOM).max(STARTS_PER_TURN);
        }
    }

    pub(crate) fn update_window(&mut self, now: Time, target: f64, even: f64) {
        let occup_past = self.occup_past(now, target);
        let w = &mut self.window;
        let started = f64::from(w.starts) * CC_PERIOD as f64 / (now - w.interval) as f64;
        let usual = *self.usual.get_or_insert(even);
        // Departure: a window of less than a call is used in full, whichever period its call falls in.
        let na_past = Some(w.n.unwrap_or(usual)).filter(|n| *n < 1.0).unwrap_or(started);
        self.occup = occup_past.unwrap_or(self.occup);
        if self.ready && self.occup < OCC_TOO_HIGH && self.cold_from.is_none() && self.down.is_none() {
            // What was held back here is not what the place can take: only fewer calls lower the usual.
            let fewer = w.n.is_none_or(|n| n < 1.0 || started < MIN_FRACTION_CALLS * n);
            if fewer || started > usual {
                // Few calls say little, so they move it less.
                let rise = (RISE * usual).clamp(SMOOTH, RISE);
                let weight = even.min(1.0) * if started > usual { rise } else { SMOOTH };
                self.usual = Some(usual + weight * (started - usual));
            }
        }
        if let Some(occ) = occup_past {
            if occ < MIN_OCCUP {
                let seen = if w.overhead > 0.0 { w.overhead.min(occ) } else { occ };
                w.overhead = seen.min(OVERHEAD_MOST);
            }
            w.n = next_window(w.n, na_past, occ, w.overhead, usual);
            w.reported = Mean::default();
        } else if self.down.is_none() {
            // Guards against a window that stays shut: few starts bring no news, and no news no starts.
            w.n = w.n.map(|n| n + FADE * (usual - n).max(0.0));
        }
        w.begin_interval(w.period);
    }

    /// Occupancy of the interval: reported, or the delay of own set-ups over the target where that is more
    /// (departure: a report is late, noisy and stops at 1) or alone. Set-ups not answered yet count at their
    /// age, so that silence does not look idle.
    pub(crate) fn occup_past(&self, now: Time, target: f64) -> Option<f64> {
        let mut own = self.window.delays.clone();
        let reported = self.window.reported.get();
        // Guards against a server, or a path to it, that loses some messages: what went out before the server
        // last said that it has little to do does not wait there.
        for sent in self.waiting().filter(|sent| *sent >= self.idle_at) {
            let age = (now - sent) as f64 - self.floor.min(target * FLOOR_MOST);
            if self.floor < f64::MAX && age > target {
                own.add(age);
            }
        }
        let own = own.get().map(|d| d / target);
        reported.map_or(own, |occ| Some(occ.max(own.unwrap_or(0.0))))
    }

    /// A set-up stood after `elapsed`.
    pub(crate) fn answered(&mut self, now: Time, elapsed: Time, target: f64) {
        let sent = now.saturating_sub(elapsed);
        let elapsed = elapsed as f64;
        self.heard = now;
        self.completed.count(now);
        if self.ill >= HOPELESS {
            self.window.n = self.usual;
        }
        self.ill *= 1.0 - SMOOTH;
        self.answered_sent = self.answered_sent.max(sent);
        if sent >= self.judged_from {
            self.floor = self.floor.min(elapsed);
            self.window.delays.add(elapsed - self.floor.min(target * FLOOR_MOST));
        }
        if let Some(down) = self.down.take()
            && (down.unreached || now - down.since > COLD_AFTER)
        {
            self.restart(now);
        }
    }

    /// When the set-ups went out that may still be waiting in line. One that a later set-up has overtaken is
    /// lost: it says nothing of the load. Covers any server or path that drops some messages and answers
    /// the rest; where answers come out of order it hides a wait.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = Time> + '_ {
        self.out.values().copied().filter(|sent| *sent >= self.answered_sent.max(self.judged_from))
    }

    /// Draws what an attempt's end says of the server. Errors in a row mark it as ill: it answers them fast
    /// and looks idle, so that it would draw calls which sound servers have room for.
    pub(crate) fn judge(
        &mut self,
        now: Time,
        sent: Time,
        outcome: Outcome,
        reason: Option<Reason>,
        wait: Option<Time>,
        target: f64,
    ) {
        match outcome {
            Outcome::Full => {
                self.heard = now;
                self.window.starts = self.window.starts.saturating_sub(1);
                let skip = wait.unwrap_or(0).clamp(FULL_SKIP, FULL_SKIP_MOST);
                self.skip_until = self.skip_until.max(now + skip);
                if reason == Some(Reason::ProcessorFull) {
                    self.window.delays.add(target * 2.0);
                }
            }
            Outcome::Fault if reason != Some(Reason::NumberBusy) => {
                self.heard = now;
                self.ill += SMOOTH * (1.0 - self.ill);
                if self.ill >= HOPELESS {
                    self.window.credit = self.window.credit.min(1.0);
                }
            }
            Outcome::NoRoute => self.fell_silent(now, true),
            Outcome::Timeout if self.heard <= sent => self.fell_silent(now, false),
            Outcome::Done | Outcome::Fault | Outcome::Reset => self.heard = now,
            _ => {}
        }
    }

    /// No ordinary calls until one is answered; the tests are bounded by `most_starts`.
    pub(crate) fn fell_silent(&mut self, now: Time, unreached: bool) {
        let down = self.down.get_or_insert(Down { since: now, unreached });
        down.unreached |= unreached;
        self.window.credit = self.window.credit.min(self.window.phase);
    }

    /// Guards a server that was slow for a moment against being left alone for minutes, as tests are seldom:
    /// its free lines change, so it works. One that answers no set-up all the same is believed once.
    pub(crate) fn spoke(&mut self, now: Time) {
        let seldom = LEAST_SHARE * self.usual.unwrap_or(0.0) < SELDOM;
        if seldom && self.answered_sent >= self.believed && self.down.take_if(|d| !d.unreached).is_some() {
            self.believed = now;
        }
    }

    /// Guards against a server that neither answers nor refuses, whatever the cause.
    pub(crate) fn notice_silence(&mut self, now: Time) {
        let oldest = self.waiting().min();
        if self.down.is_none() && oldest.is_some_and(|sent| now - sent.max(self.heard) >= SILENT) {
            self.fell_silent(now, false);
        }
    }
}

/// A reported figure that can be true.
pub(crate) fn figure(value: Option<f64>) -> Option<f64> {
    value.filter(|v| v.is_finite() && *v >= 0.0)
}

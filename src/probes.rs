//! Whom to probe, and when. Where servers tell their load only when asked, this is how their occupancy is known.
//!
//! A server is asked as its latest figure is [`EVERY`] old, those with the oldest first, and never while an answer of
//! its is owed. Each proxy asks for itself, and no more than its own calls pay for: one that sees few of them asks
//! seldom, and one that sees none not at all. A probe that is lost says nothing: a server that waits too long, or is
//! silent, shows by the calls it has, and is asked again in its turn. A figure counts for the interval in which it
//! came. Sans I/O and without a clock.

use crate::interface::{Entry, Event, ListKind, Report, ServerId, Settings, State, Time};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// Age of a server's figure from which it is asked for another, us (ours): the update interval of its window.
pub const EVERY: Time = 1_000_000;
/// Probes that a call pays for at most (ours): one a second for each of four servers, at eight calls a second.
pub const A_CALL: f64 = 0.5;
/// Most that probes may take off the result, as a share of it (ours): they have brought ten times as much where they
/// were worth it.
pub const MOST_PRICE: f64 = 0.002;
/// Probes that may be saved up (ours): those of a few servers, so that a quiet time is not followed by a burst.
pub const SAVED: f64 = 3.0;
/// A probe of which nothing was said for so long is taken for lost, us (ours): the host says so far sooner.
pub const LOST: Time = 5_000_000;

struct Server {
    /// When it last told its occupancy or was asked for it.
    at: Time,
    /// It was asked then, and has not answered.
    owes: bool,
}

/// What is known of the probes of one proxy.
pub struct Probes {
    allowed: bool,
    /// Probes that a call pays for.
    a_call: f64,
    /// Its own, so that probes change no other decision's draws.
    rng: Pcg32,
    servers: BTreeMap<ServerId, Server>,
    credit: f64,
}

/// Probes that a call pays for.
fn probes_a_call(settings: &Settings) -> f64 {
    let paid = if settings.probe_price > 0.0 { MOST_PRICE / settings.probe_price } else { A_CALL };
    paid.min(A_CALL)
}

impl Probes {
    /// One that has asked nobody. Where the settings forbid probes it never will.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        Probes {
            allowed: settings.may_probe,
            a_call: probes_a_call(settings),
            rng: Pcg32::seed_from_u64(seed),
            servers: BTreeMap::new(),
            credit: 0.0,
        }
    }

    /// Goes by other settings from now on.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.allowed = settings.may_probe;
        self.a_call = probes_a_call(settings);
    }

    /// Takes an event as the decision module gets it.
    pub fn hear(&mut self, now: Time, event: &Event) {
        match event {
            _ if !self.allowed => {}
            Event::Call(_) => self.credit = (self.credit + self.a_call).min(SAVED),
            Event::List(kind, entries) => self.list(now, *kind, entries),
            Event::Probed { server, report, .. } => self.told(now, *server, report, true),
            Event::Ended { server, report, .. } => self.told(now, *server, report, false),
            _ => {}
        }
    }

    fn list(&mut self, now: Time, kind: ListKind, entries: &[Entry]) {
        if matches!(kind, ListKind::Whole | ListKind::Saved) {
            self.servers.retain(|id, _| entries.iter().any(|e| e.server == *id));
        }
        for e in entries {
            if e.state != State::Ready {
                self.servers.remove(&e.server);
                continue;
            }
            // Guards a server that is new against being asked by all proxies together.
            let age = Time::from(self.rng.next_u32()) % EVERY;
            self.servers.entry(e.server).or_insert(Server { at: now.saturating_sub(age), owes: false });
        }
    }

    /// A figure came, or the end of a probe, with one or without.
    fn told(&mut self, now: Time, server: ServerId, report: &Option<Report>, probe: bool) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.owes &= !probe;
        if report.is_some_and(|r| r.occupancy.or(r.wait).is_some()) {
            s.at = now;
        }
    }

    /// Whom to ask now.
    pub fn turn(&mut self, now: Time) -> Vec<ServerId> {
        let due = |s: &Server| now >= s.at + if s.owes { LOST } else { EVERY };
        let mut due: Vec<(Time, ServerId)> =
            self.servers.iter().filter(|(_, s)| due(s)).map(|(id, s)| (s.at, *id)).collect();
        due.sort_unstable();
        due.truncate(self.credit as usize);
        for (_, id) in &due {
            self.credit -= 1.0;
            self.servers.insert(*id, Server { at: now, owes: true });
        }
        due.into_iter().map(|(_, id)| id).collect()
    }
}

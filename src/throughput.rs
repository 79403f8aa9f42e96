//! What this node may take for its part of a server's capacity, from what servers complete for it now. Without I/O
//! and without a clock.
//!
//! A cold server bears a known share of what a warm one of its size completes, and no more of that may be sent than
//! it can do, by all nodes together. No node knows the others, so each needs a part of its own such that the parts
//! add up to one capacity at most, also when all nodes have just started. A warm server cannot complete more than its
//! capacity, so the set-ups that it completes for each node, over its occupancy, add up to that: an estimate without
//! bias needs no memory, and its errors at single nodes cancel out. What is offered, started or refused adds up to any
//! multiple of it.

use crate::interface::{Report, Time};
use crate::sites::SPARE;
use crate::window::CC_PERIOD;

/// Time constant of both estimates, us.
const SPAN: f64 = 4_000_000.0;
/// A node has watched for so long before it learns what places complete for it, us.
pub(crate) const WATCHED: Time = 4_000_000;
/// Reports of a full server that the occupancy starts with, as none is known.
const PRIOR_REPORTS: f64 = 2.0;
/// Least occupancy that a part is scaled up by, ratio: at light load the estimate is noise.
const LEAST_OCCUPANCY: f64 = 0.6;

/// What is left of a figure after a while.
fn decay(span: Time) -> f64 {
    (-(span as f64) / SPAN).exp()
}

/// Events per call control period, weighted towards the latest and without bias from the first moment on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rate {
    observed_from: Time,
    at: Time,
    events: f64,
}

impl Rate {
    /// Observed from now on.
    pub(crate) fn new(now: Time) -> Self {
        Rate { observed_from: now, at: now, events: 0.0 }
    }

    pub(crate) fn count(&mut self, now: Time) {
        self.events = self.events * decay(now.saturating_sub(self.at)) + 1.0;
        self.at = now;
    }

    pub(crate) fn per_period(&self, now: Time) -> f64 {
        self.at_last_event(now) * decay(now.saturating_sub(self.at))
    }

    /// The same as of the latest event: a pause does not lower it.
    pub(crate) fn at_last_event(&self, now: Time) -> f64 {
        let observed = now.saturating_sub(self.observed_from).max(CC_PERIOD);
        self.events * CC_PERIOD as f64 / (SPAN * (1.0 - decay(observed)))
    }
}

/// What one server completes for this node, as far as it tells of the capacity of others.
pub(crate) struct Completed {
    /// Set-ups per call control period.
    pub(crate) rate: f64,
    /// Lines that stand for its size, 1 where none are known.
    pub(crate) lines: f64,
    /// The share of its capacity that it is sure to have, 1 for a warm one.
    pub(crate) warmth: f64,
}

/// This node's part of the capacity of one server.
#[derive(Debug, Default)]
pub(crate) struct CapacityPart {
    /// Sum and weight of the latest reports of warm servers.
    occupancy: f64,
    reports: f64,
    reported_at: Time,
    per_line: f64,
}

impl CapacityPart {
    /// A warm server reported its occupancy.
    pub(crate) fn report(&mut self, now: Time, occupancy: f64) {
        let left = decay(now.saturating_sub(self.reported_at));
        self.occupancy = self.occupancy * left + occupancy.min(1.0);
        self.reports = self.reports * left + 1.0;
        self.reported_at = now;
    }

    fn mean_occupancy(&self, now: Time) -> f64 {
        let left = decay(now.saturating_sub(self.reported_at));
        let mean = (self.occupancy * left + PRIOR_REPORTS) / (self.reports * left + PRIOR_REPORTS);
        mean.max(LEAST_OCCUPANCY)
    }

    /// Learns from the servers that work. Where none is warm, what was known before holds, or what the cold ones
    /// complete at the share that they are sure to have.
    pub(crate) fn learn(&mut self, servers: impl Iterator<Item = Completed>) {
        let (mut warm, mut cold) = ((0.0, 0.0), (0.0, 0.0));
        for server in servers {
            let sum = if server.warmth < 1.0 { &mut cold } else { &mut warm };
            sum.0 += server.rate / server.warmth;
            sum.1 += server.lines;
        }
        if warm.1 > 0.0 {
            self.per_line = warm.0 / warm.1;
        } else if cold.1 > 0.0 {
            self.per_line = self.per_line.max(cold.0 / cold.1);
        }
    }

    /// Set-ups per call control period at a server with so many lines, as its occupancy is now.
    pub(crate) fn even(&self, lines: f64) -> f64 {
        self.per_line * lines
    }

    /// The same for a full server, from what one completes. Calls come at random, so that a node with less than one
    /// in a period cannot use all of a strict limit: what all nodes send together counts, and each is allowed as
    /// much more.
    pub(crate) fn when_full(&self, now: Time, completed: f64) -> f64 {
        let spare = 1.0 + SPARE * (1.0 - completed).max(0.0);
        completed * spare / self.mean_occupancy(now)
    }
}

/// The occupancy in a report, or what its wait says of it, if it can be true.
pub(crate) fn reported_occupancy(report: &Report, target: f64) -> Option<f64> {
    use crate::server_health::figure;
    let occupancy = figure(report.occupancy).filter(|occupancy| *occupancy <= 1.0);
    occupancy.or(figure(report.wait).map(|wait| wait / target))
}

//! The window of one server: how many set-ups it may get in a call control period, after Somoza's Dynamic
//! Processor Overload Control. Without I/O and without a clock.

use crate::interface::Time;
use crate::mean::Mean;

/// Call control period, us: N counts the starts within it.
pub const CC_PERIOD: Time = 1_000_000;
/// Overload Prevention Parameter Update Interval, us.
pub const OPPUI: Time = 1_000_000;
/// `max_occup`, ratio: the highest occupancy wanted.
pub const MAX_OCCUP: f64 = 0.95;
/// `min_occup`, ratio: below it windows are left open and overhead is learned.
pub const MIN_OCCUP: f64 = 0.75;
/// `min_fraction_calls`, ratio: N is not updated on fewer calls at low occupancy.
pub const MIN_FRACTION_CALLS: f64 = 0.75;
/// `max_increase`, share of N per OPPUI.
pub const MAX_INCREASE: f64 = 0.15;
/// `max_increase` below the usual N at low occupancy, share of N per OPPUI: a trouble that is over.
pub const MAX_REGROW: f64 = 0.5;
/// `max_decrease`, share of N per OPPUI.
pub const MAX_DECREASE: f64 = 0.5;
/// `occ_too_high`, ratio: above 1 only a wait can say it, so a busy but short-queued server is safe.
pub const OCC_TOO_HIGH: f64 = 1.25;
/// `addl_decrement`, share of N.
pub const ADDL_DECREMENT: f64 = 0.1;
/// Least N, share of the usual.
pub const LEAST_SHARE: f64 = 0.14;

/// N for the next OPPUI, before rounding down. `None` is an open window.
///
/// `na_past` is the mean of starts per call control period, `occup_past` the mean occupancy, `usual` the
/// starts of good times.
pub fn next_window(
    n_past: Option<f64>,
    na_past: f64,
    occup_past: f64,
    overhead: f64,
    usual: f64,
) -> Option<f64> {
    if occup_past < MIN_OCCUP && n_past.is_none_or(|n| na_past < MIN_FRACTION_CALLS * n) {
        return n_past;
    }
    let n_past = n_past.unwrap_or(na_past);
    let n_prelim = (MAX_OCCUP - overhead) / (occup_past - overhead).max(0.01) * na_past;
    let least = n_past * (1.0 - MAX_DECREASE);
    let mut most = n_past * (1.0 + MAX_INCREASE);
    // Departure: back soon when the occupancy is low again, whatever had brought N down.
    if occup_past < MIN_OCCUP {
        most = most.max(usual.min(n_past * (1.0 + MAX_REGROW)));
    }
    let mut n = n_prelim.clamp(least, most);
    if n_prelim - n_past >= 1.0 && MAX_INCREASE * n_past < 1.0 {
        n = n.max(n_past + 1.0);
    }
    // Departure: an occupancy below the wanted one never lowers N; few calls came, that is all.
    if occup_past < MAX_OCCUP {
        n = n.max(n_past);
    }
    if occup_past >= OCC_TOO_HIGH {
        n = n_prelim.max(least).min(n_past) * (1.0 - ADDL_DECREMENT);
    }
    Some(n.max(LEAST_SHARE * usual))
}

/// The window of one server.
#[derive(Default)]
pub(crate) struct Window {
    pub(crate) n: Option<f64>,
    pub(crate) overhead: f64,
    pub(crate) period: Time,
    /// Starts left in this period. Departure: up to one call of it, and what rounding N down leaves over,
    /// goes to the next period, as N is a few calls at most and often less than one.
    pub(crate) credit: f64,
    /// Its server has just started: what is left of this period is still to be given out.
    pub(crate) fresh: bool,
    /// Starts in one turn at most, rounded up.
    pub(crate) per_turn: f64,
    /// Where in a period this node begins, as a share of it; keeps the nodes out of step.
    pub(crate) phase: f64,
    pub(crate) interval: Time,
    pub(crate) starts: u32,
    pub(crate) reported: Mean,
    pub(crate) delays: Mean,
}

impl Window {
    /// Own starts and delays count anew; reports, which are the server's, do not.
    pub(crate) fn begin_interval(&mut self, now: Time) {
        self.interval = now;
        self.starts = 0;
        self.delays = Mean::default();
    }
}

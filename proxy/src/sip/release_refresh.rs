//! When a connection has to be opened for releases that a setup server may have written where nobody hears them. No I/O, no
//! clock.
//!
//! The next connection that is opened after a call's end brings its release, whatever became of the one before. One that was
//! opened earlier does not. So as long as a call stands whose connection is not heard, connections are opened at intervals
//! that are short enough for whenever it ends.

use crate::limits::ReleaseLimits;
use fernspan_core::Time;

/// The openings of one link.
pub struct ReleaseRefresh {
    /// From one opening to the next at most, and as drawn for the latest.
    longest_interval: Time,
    interval: Time,
    /// Wait for a connection that was asked for and its first word, before another is asked for.
    attempt_timeout: Time,
    /// The latest connection on which the server has spoken was asked for then.
    opened: Time,
    /// None is asked for before.
    next_attempt: Time,
    /// Connections asked for since one has spoken.
    attempts: u32,
}

impl ReleaseRefresh {
    /// No connection has been opened yet.
    pub fn new(limits: &ReleaseLimits) -> Self {
        let interval = limits.refresh_interval.as_micros() as Time;
        ReleaseRefresh {
            longest_interval: interval,
            interval,
            attempt_timeout: limits.refresh_timeout.as_micros() as Time,
            opened: 0,
            next_attempt: 0,
            attempts: 0,
        }
    }

    /// When the next one is due, if no release can have been lost up to `heard_until`.
    pub fn due(&self, heard_until: Time) -> Time {
        (heard_until.max(self.opened) + self.interval).max(self.next_attempt)
    }

    /// Whether a connection has been opened that brings what was lost since `heard_until`.
    pub fn has_opened_since(&self, heard_until: Time) -> bool {
        self.opened > heard_until
    }

    /// A connection is asked for now. The wait for it doubles from the third on that does not speak, up to the interval.
    /// `part`, from 0 to 1, is drawn, so that proxies which lost a server at one moment do not all come back at another.
    pub fn attempted(&mut self, now: Time, part: f64) {
        const SHORTEST_PART: f64 = 0.8;
        let shortened = SHORTEST_PART + (1.0 - SHORTEST_PART) * part;
        self.interval = (self.longest_interval as f64 * shortened) as Time;
        let timeout = self.attempt_timeout << self.attempts.saturating_sub(1).min(8);
        self.next_attempt = now + timeout.min(self.longest_interval.max(self.attempt_timeout));
        self.attempts = self.attempts.saturating_add(1);
    }

    /// The server has spoken on a connection for the first time, which was asked for at `started`.
    pub fn opened(&mut self, started: Time) {
        self.opened = self.opened.max(started);
        self.attempts = 0;
        self.next_attempt = 0;
    }
}

#[cfg(test)]
mod tests;

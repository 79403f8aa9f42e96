//! Releases that a setup server may have written on a connection that nobody hears any more.

use std::time::Duration;

/// How often connections are opened on which a server writes such releases again.
#[derive(Clone, Debug)]
pub struct ReleaseLimits {
    /// While a call stands whose connection is not heard, from one opening to the next at most.
    pub refresh_interval: Duration,
    /// A connection that was asked for is up and has had its first word by then, or another is asked for.
    pub refresh_timeout: Duration,
    /// Where each connection that there may be has set-ups open, one gets no more, and makes room by then.
    pub vacate_timeout: Duration,
}

impl ReleaseLimits {
    /// From the longest wait for a connection. A call may end just after the server has taken up one connection; its release
    /// is told in time though the next one fails and only the second brings it.
    pub fn for_connect(connect: Duration) -> Self {
        /// What stood is released within this time of its end.
        const RELEASED_WITHIN: Duration = Duration::from_secs(8);
        /// From the server's release until its caller's connection has it.
        const PASSED_ON: Duration = Duration::from_millis(500);
        /// From a connection that is up to the server's first word on it.
        const FIRST_WORD: Duration = Duration::from_millis(250);
        const VACATE: Duration = Duration::from_millis(500);
        const LEAST_INTERVAL: Duration = Duration::from_secs(1);
        let refresh_timeout = connect + FIRST_WORD;
        let others = PASSED_ON + VACATE + 2 * refresh_timeout;
        let refresh_interval = RELEASED_WITHIN.saturating_sub(others).max(LEAST_INTERVAL);
        ReleaseLimits { refresh_interval, refresh_timeout, vacate_timeout: VACATE }
    }
}

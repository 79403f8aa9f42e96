//! Releases that went out to a setup server and that it has not acknowledged. No I/O, no clock.

use super::connections::ConnectionId;
use fernspan_core::{CallId, Time};
use std::collections::VecDeque;

struct SentRelease {
    call: CallId,
    cause: u8,
    connection: ConnectionId,
    sent: Time,
}

/// The releases of late that the server has not acknowledged, the oldest first.
pub struct SentReleases {
    releases: VecDeque<SentRelease>,
    /// How long after a release the end of its connection makes it doubtful.
    doubtful_for: Time,
}

impl SentReleases {
    /// None yet. A release whose connection ends within `doubtful_for` goes out again.
    pub fn new(doubtful_for: Time) -> Self {
        SentReleases { releases: VecDeque::new(), doubtful_for }
    }

    /// A release went out on a connection.
    pub fn sent(&mut self, now: Time, connection: ConnectionId, call: CallId, cause: u8) {
        let doubtful_for = self.doubtful_for;
        self.releases.retain(|r| r.sent + doubtful_for > now);
        self.releases.push_back(SentRelease { call, cause, connection, sent: now });
    }

    /// The server has acknowledged the release of a call.
    pub fn acknowledged(&mut self, call: CallId) {
        self.releases.retain(|r| r.call != call);
    }

    /// A connection has ended, whichever side has closed it. Gives the calls, with their causes, whose releases may have
    /// been lost with it.
    pub fn connection_ended(&mut self, now: Time, connection: ConnectionId) -> Vec<(CallId, u8)> {
        let ended = |r: &SentRelease| r.connection == connection;
        let (here, others) = std::mem::take(&mut self.releases).into_iter().partition(ended);
        self.releases = others;
        let here: VecDeque<SentRelease> = here;
        let doubtful = here.into_iter().filter(|r| r.sent + self.doubtful_for > now);
        doubtful.map(|r| (r.call, r.cause)).collect()
    }
}

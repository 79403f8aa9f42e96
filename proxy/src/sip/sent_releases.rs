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

impl SentRelease {
    /// Whether it may have been lost if its connection ends now.
    fn is_doubtful(&self, now: Time, doubtful_for: Time, last_word: Option<Time>) -> bool {
        self.sent + doubtful_for > now || last_word.is_some_and(|at| at < self.sent)
    }
}

/// The releases of late that the server has not acknowledged, the oldest first.
pub struct SentReleases {
    releases: VecDeque<SentRelease>,
    /// How long after a release the end of its connection makes it doubtful.
    doubtful_for: Time,
    /// As many are kept.
    most: usize,
}

impl SentReleases {
    /// None yet, and `most` at most. A release whose connection ends within `doubtful_for`, or before the server has said
    /// anything more on it, goes out again.
    pub fn new(doubtful_for: Time, most: usize) -> Self {
        SentReleases { releases: VecDeque::new(), doubtful_for, most }
    }

    /// A release went out on a connection. `last_word` tells when the server was last heard on one.
    pub fn sent(
        &mut self,
        now: Time,
        connection: ConnectionId,
        call: CallId,
        cause: u8,
        last_word: impl Fn(ConnectionId) -> Option<Time>,
    ) {
        let doubtful_for = self.doubtful_for;
        self.releases.retain(|r| r.is_doubtful(now, doubtful_for, last_word(r.connection)));
        if self.releases.len() >= self.most {
            self.releases.pop_front();
        }
        self.releases.push_back(SentRelease { call, cause, connection, sent: now });
    }

    /// The server has acknowledged the release of a call.
    pub fn acknowledged(&mut self, call: CallId) {
        self.releases.retain(|r| r.call != call);
    }

    /// A connection has ended, whichever side has closed it. Gives the calls, with their causes, whose releases may have
    /// been lost with it.
    pub fn connection_ended(
        &mut self,
        now: Time,
        connection: ConnectionId,
        last_word: Time,
    ) -> Vec<(CallId, u8)> {
        let ended = |r: &SentRelease| r.connection == connection;
        let (here, others) = std::mem::take(&mut self.releases).into_iter().partition(ended);
        self.releases = others;
        let here: VecDeque<SentRelease> = here;
        let doubtful = here.into_iter().filter(|r| r.is_doubtful(now, self.doubtful_for, Some(last_word)));
        doubtful.map(|r| (r.call, r.cause)).collect()
    }
}

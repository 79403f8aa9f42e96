//! Releases whose callers are still to be told. Without I/O and without a clock.
//!
//! A release outlives the connection that its call came on, and the process at which the call stood: each process of a
//! proxy keeps a copy until one of them has told the caller.

use fernspan_core::{CallId, ServerId};
use std::collections::VecDeque;

/// A release that waits for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRelease {
    /// The call.
    pub call: CallId,
    /// Why it ended.
    pub cause: u8,
    /// The server that is to hear that it was heard.
    pub server: Option<ServerId>,
}

/// Those that wait, the oldest first, and those that were told of late.
#[derive(Debug)]
pub struct WaitingReleases {
    waiting: VecDeque<WaitingRelease>,
    told: VecDeque<CallId>,
    most: usize,
}

/// Told releases that are remembered: what another process has passed on may come as the caller is told.
const TOLD_REMEMBERED: usize = 1_024;

impl WaitingReleases {
    /// None yet, and so many at most.
    pub fn new(most: usize) -> Self {
        WaitingReleases { waiting: VecDeque::new(), told: VecDeque::new(), most }
    }

    /// Keeps one. One that waits already stays as it is.
    pub fn keep(&mut self, release: WaitingRelease) {
        if !self.waits(release.call) && self.waiting.len() < self.most {
            self.waiting.push_back(release);
        }
    }

    /// Whether the caller of this call is still to be told.
    pub fn waits(&self, call: CallId) -> bool {
        self.waiting.iter().any(|release| release.call == call)
    }

    /// Whether the caller of this call has been told of late.
    pub fn is_told(&self, call: CallId) -> bool {
        self.told.contains(&call)
    }

    /// Its caller has been told. Says whether it had waited.
    pub fn note_told(&mut self, call: CallId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|release| release.call != call);
        if !self.is_told(call) {
            self.told.push_back(call);
            if self.told.len() > TOLD_REMEMBERED {
                self.told.pop_front();
            }
        }
        self.waiting.len() < before
    }

    /// The connection on which its caller was told has ended before that could be heard.
    pub fn note_unheard(&mut self, call: CallId) {
        self.told.retain(|told| *told != call);
    }

    /// All that wait, in their order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRelease> {
        self.waiting.iter()
    }
}

#[cfg(test)]
mod tests;

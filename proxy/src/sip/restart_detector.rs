//! Whether a setup server that speaks again after a silence is another process, which has lost the calls of the one before.
//! No I/O, no clock.
//!
//! Its lines in use tell: a process has all of its calls or none. But calls may also have ended while nobody heard it. Their
//! releases come on the new connection right behind the lines in use, and from a process that knows nothing of the calls none
//! do, so the verdict waits for them.

use fernspan_core::sites::{KEPT, TELLING};
use fernspan_core::{CallId, Time};
use std::collections::BTreeSet;

struct Suspicion {
    verdict_at: Time,
    calls: BTreeSet<CallId>,
}

/// What a server's lines in use say of its process.
pub struct RestartDetector {
    /// How long releases may come behind the lines in use.
    release_wait: Time,
    /// Lines in use, as the server last told.
    lines_in_use: f64,
    suspicion: Option<Suspicion>,
}

impl RestartDetector {
    /// A server that has not told its lines in use yet.
    pub fn new(release_wait: Time) -> Self {
        RestartDetector { release_wait, lines_in_use: 0.0, suspicion: None }
    }

    /// Whether there are enough lines in use for a later number to tell.
    pub fn is_telling(&self) -> bool {
        self.lines_in_use >= TELLING
    }

    /// The server tells its lines in use; `after_silence` says that it does on a new connection, after a silence, and
    /// `standing` gives the calls that stand there.
    pub fn told(
        &mut self,
        now: Time,
        lines_in_use: f64,
        after_silence: bool,
        standing: impl Iterator<Item = CallId>,
    ) {
        let before = std::mem::replace(&mut self.lines_in_use, lines_in_use);
        if !after_silence {
            return;
        }
        let calls: BTreeSet<CallId> = standing.collect();
        let lost_most = before >= TELLING && lines_in_use < KEPT * before;
        // With few lines in use, the calls of this proxy alone tell it.
        let has_fewer = 2.0 * lines_in_use < calls.len() as f64;
        if !calls.is_empty() && (lost_most || has_fewer) {
            self.suspicion = Some(Suspicion { verdict_at: now + self.release_wait, calls });
        }
    }

    /// The server has released a call, which is one from before the silence: it is the same process.
    pub fn released(&mut self) {
        self.suspicion = None;
    }

    /// When the verdict is due.
    pub fn due(&self) -> Option<Time> {
        self.suspicion.as_ref().map(|s| s.verdict_at)
    }

    /// The calls that are lost, once that is certain enough.
    pub fn take_lost(&mut self, now: Time) -> BTreeSet<CallId> {
        self.suspicion.take_if(|s| s.verdict_at <= now).map(|s| s.calls).unwrap_or_default()
    }

    /// The calls are over for another reason.
    pub fn clear(&mut self) {
        self.suspicion = None;
    }
}

//! What one caller's connection has to remember, and the replies on their way to it.

use crate::engine::Reply;
use crate::memory_budget::Reservation;
use async_io::Async;
use fernspan_core::CallId;
use futures_lite::AsyncWriteExt;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a connection has to remember.
#[derive(Default)]
pub struct Table {
    /// Set-ups that have no answer yet.
    pub open: BTreeMap<CallId, OpenSetup>,
    /// Calls that stand, as far as this connection has heard.
    pub standing: BTreeSet<CallId>,
    /// The latest that were answered here, without the core.
    pub own: VecDeque<CallId>,
    /// Releases that were written and not heard yet, with their causes, the oldest first.
    pub released: VecDeque<(CallId, u8, Instant)>,
}

/// A set-up that has no answer yet.
pub struct OpenSetup {
    /// The name of its class.
    pub class: Rc<str>,
    /// What is held for it.
    pub reservation: Reservation,
}

/// How many set-ups that were answered without the core a connection remembers.
const OWN_MOST: usize = 128;

impl Table {
    pub fn answered(&mut self, call: CallId) {
        self.own.truncate(OWN_MOST - 1);
        self.own.push_front(call);
    }

    /// Notes a release. Callers need not say that they have heard one, so it is forgotten in time.
    pub fn wrote_release(&mut self, call: CallId, cause: u8, within: Duration) {
        while self.released.front().is_some_and(|r| r.2.elapsed() >= within) {
            self.released.pop_front();
        }
        self.released.push_back((call, cause, Instant::now()));
    }

    pub fn unheard(self, within: Duration) -> impl Iterator<Item = (CallId, u8)> {
        self.released
            .into_iter()
            .filter(move |r| r.2.elapsed() < within)
            .map(|(call, cause, _)| (call, cause))
    }
}

/// Replies on their way to the socket, with where each of them ends in what is being written.
#[derive(Default)]
pub struct PendingReplies {
    pub replies: RefCell<Vec<(usize, CallId, Reply)>>,
    /// How much of it the socket has taken.
    pub written: Cell<usize>,
    /// Replies that are not to go out here.
    pub kept: RefCell<Vec<(CallId, Reply)>>,
}

impl PendingReplies {
    pub async fn write(&self, mut stream: &Async<TcpStream>, bytes: &[u8]) -> std::io::Result<()> {
        while let Some(left) = bytes.get(self.written.get()..).filter(|left| !left.is_empty()) {
            match stream.write(left).await? {
                0 => return Err(std::io::ErrorKind::WriteZero.into()),
                n => self.written.set(self.written.get() + n),
            }
        }
        Ok(())
    }

    pub fn keep_back(&self, replies: impl Iterator<Item = (CallId, Reply)>) {
        self.kept.borrow_mut().extend(replies);
    }

    /// What has not gone out whole, and releases in any case.
    pub fn left(self) -> Vec<(CallId, Reply)> {
        let written = self.written.get();
        let lost = |end: usize, reply: &Reply| end > written || matches!(reply, Reply::Over(_));
        let replies = self.replies.into_inner().into_iter();
        let lost = replies.filter(|(end, _, reply)| lost(*end, reply)).map(|(_, call, reply)| (call, reply));
        lost.chain(self.kept.into_inner()).collect()
    }
}

//! The calls that stand at one setup server, and where their releases would come. No I/O, no clock.
//!
//! A server writes the release of a call on the connection of its set-up, failing that on any that it takes for open, and
//! again on the next one that is opened. A connection can fall quiet without either side being told, so what is known of a
//! call is this: up to the last word on its connection, nothing has been lost on it.

use super::connections::ConnectionId;
use fernspan_core::{CallId, Time};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// The calls that stand at a server.
#[derive(Default)]
pub struct StandingCalls {
    /// By call, the connection of its set-up, as long as that is open here.
    calls: BTreeMap<CallId, Option<ConnectionId>>,
    /// How many calls have each connection.
    by_connection: BTreeMap<ConnectionId, usize>,
    /// How many calls have none here: it has ended, or is another process's.
    detached: usize,
    /// Nothing was lost for any of these up to this time.
    detached_heard: Time,
}

impl StandingCalls {
    /// A call stands whose set-up was answered on this connection.
    pub fn add(&mut self, call: CallId, connection: ConnectionId) {
        self.remove(call);
        self.calls.insert(call, Some(connection));
        *self.by_connection.entry(connection).or_default() += 1;
    }

    /// A call stands that was set up on a connection of another process.
    pub fn adopt(&mut self, call: CallId) {
        if let Entry::Vacant(entry) = self.calls.entry(call) {
            entry.insert(None);
            self.detach(1, 0);
        }
    }

    /// A call stands no more. Tells whether it did.
    pub fn remove(&mut self, call: CallId) -> bool {
        let Some(connection) = self.calls.remove(&call) else { return false };
        match connection {
            Some(connection) => self.leave(connection),
            None => self.detached -= 1,
        }
        true
    }

    /// Whether the call stands.
    pub fn contains(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    /// The calls that stand.
    pub fn ids(&self) -> impl Iterator<Item = CallId> {
        self.calls.keys().copied()
    }

    /// Whether none stands.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// None stands any more.
    pub fn clear(&mut self) {
        *self = StandingCalls::default();
    }

    /// Whether calls stand that were set up on this connection.
    pub fn has_calls(&self, connection: ConnectionId) -> bool {
        self.by_connection.contains_key(&connection)
    }

    /// The calls that were set up on this connection.
    pub fn calls_on(&self, connection: ConnectionId) -> Vec<CallId> {
        self.calls.iter().filter(|(_, of_call)| **of_call == Some(connection)).map(|(id, _)| *id).collect()
    }

    /// A connection has ended, on which the last word came at `last_word`. Its calls outlive it, and the server may not know
    /// of its end.
    pub fn connection_ended(&mut self, connection: ConnectionId, last_word: Time) {
        let Some(count) = self.by_connection.remove(&connection) else { return };
        for of_call in self.calls.values_mut().filter(|c| **c == Some(connection)) {
            *of_call = None;
        }
        self.detach(count, last_word);
    }

    /// Up to when no release can have been lost, of whichever call: the oldest last word of their connections.
    pub fn heard_until(&self, last_word: impl Fn(ConnectionId) -> Option<Time>) -> Option<Time> {
        let open = self.by_connection.keys().map(|id| last_word(*id).unwrap_or(0));
        let detached = (self.detached > 0).then_some(self.detached_heard);
        open.chain(detached).min()
    }

    fn detach(&mut self, count: usize, heard: Time) {
        self.detached_heard = if self.detached == 0 { heard } else { self.detached_heard.min(heard) };
        self.detached += count;
    }

    fn leave(&mut self, connection: ConnectionId) {
        let Some(count) = self.by_connection.get_mut(&connection) else { return };
        *count -= 1;
        if *count == 0 {
            self.by_connection.remove(&connection);
        }
    }
}

#[cfg(test)]
mod tests;

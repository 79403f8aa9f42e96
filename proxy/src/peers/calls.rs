//! The account of the calls that other processes of this proxy have. Without I/O and without a clock.

use super::PeerId;
use super::message::PeerMessage;
use crate::remembered_calls::RememberedCalls;
use fernspan_core::CallId;
use std::collections::HashMap;

/// Where a call is that this process does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whereabouts {
    /// A set-up that is open at another process.
    OpenAt(PeerId),
    /// A call that stands at another process.
    StandsAt(PeerId),
    /// It ended at another process: nothing is owed to its caller.
    Ended,
    /// No process has told of it.
    Unknown,
}

/// A call of another process.
struct PeerCall {
    peer: PeerId,
    /// The id of the server at which it stands.
    server: Option<String>,
}

/// What the other processes have told of their calls.
pub struct PeerCalls {
    calls: HashMap<CallId, PeerCall>,
    ended: RememberedCalls,
}

impl PeerCalls {
    /// Before any process has told anything. So many ended calls are remembered.
    pub fn new(remembered: usize) -> Self {
        PeerCalls { calls: HashMap::new(), ended: RememberedCalls::new(remembered) }
    }

    /// Takes note of what a process says of a call of its own.
    pub fn hear(&mut self, peer: PeerId, message: &PeerMessage) {
        match message {
            PeerMessage::Open(call) => drop(self.calls.insert(*call, PeerCall { peer, server: None })),
            PeerMessage::Stands(call, server) => {
                self.calls.insert(*call, PeerCall { peer, server: Some(server.clone()) });
            }
            PeerMessage::Ended(call) => {
                self.calls.remove(call);
                self.ended.add(*call);
            }
            _ => {}
        }
    }

    /// Where a call is.
    pub fn whereabouts(&self, call: CallId) -> Whereabouts {
        match self.calls.get(&call) {
            Some(PeerCall { peer, server: Some(_) }) => Whereabouts::StandsAt(*peer),
            Some(PeerCall { peer, server: None }) => Whereabouts::OpenAt(*peer),
            None if self.ended.contains(call) => Whereabouts::Ended,
            None => Whereabouts::Unknown,
        }
    }

    /// A process is gone: gives the calls that stood there, in order, with their servers' ids. What was open there has no
    /// caller any more.
    pub fn close(&mut self, peer: PeerId) -> Vec<(CallId, String)> {
        let gone: Vec<CallId> =
            self.calls.iter().filter(|(_, call)| call.peer == peer).map(|(id, _)| *id).collect();
        let mut stood = Vec::new();
        for id in gone {
            match self.calls.remove(&id).and_then(|call| call.server) {
                Some(server) => stood.push((id, server)),
                None => {
                    self.ended.add(id);
                }
            }
        }
        stood.sort_unstable();
        stood
    }
}

#[cfg(test)]
mod tests;

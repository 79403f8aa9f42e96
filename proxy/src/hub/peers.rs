//! The core's part in what the processes of one proxy tell each other.

use super::releases::WaitingRelease;
use super::{Backend, Core, Link};
use crate::engine::{Input, Order, Output, Progress, Reply};
use crate::net::within;
use crate::peers::calls::Whereabouts;
use crate::peers::message::PeerMessage;
use crate::peers::{PeerEvent, PeerId, PeerOutput, PeerSender};
use fernspan_core::{CallId, ServerId, Time};

impl<B: Backend> Core<B> {
    /// Takes what happens to other processes, or what one says.
    pub(super) fn peer_event(&mut self, now: Time, event: PeerEvent, out: &mut Vec<Output>) {
        match event {
            PeerEvent::Opened(peer, messages) => self.peer_opened(peer, messages),
            PeerEvent::Said(peer, message) => self.peer_said(now, peer, message, out),
            PeerEvent::Closed(peer) => self.peer_closed(now, peer),
        }
    }

    /// Tells a new process which calls this one has, and which callers are still to be told that theirs are over.
    fn peer_opened(&mut self, peer: PeerId, messages: PeerSender) {
        // What has no room is the oldest that has ended.
        for (id, progress) in self.engine.progress().take(self.limits.peer_queue / 2) {
            if let Some(message) = self.peer_message(id, progress) {
                let _ = messages.try_send(PeerOutput::Message(message));
            }
        }
        for WaitingRelease { call, cause, .. } in self.releases.iter() {
            let _ = messages.try_send(PeerOutput::Message(PeerMessage::PassOn(*call, *cause)));
        }
        let _ = messages.try_send(PeerOutput::Greeting);
        self.peers.insert(peer, messages);
    }

    /// Takes over what stood at a process that is gone.
    fn peer_closed(&mut self, now: Time, peer: PeerId) {
        self.peers.remove(&peer);
        for (id, server) in self.peer_calls.close(peer) {
            let Some(number) = self.numbers.get(&server).copied() else { continue };
            self.engine.adopt(now, id, number);
            self.order(number, Order::Adopt(id));
        }
    }

    fn peer_said(&mut self, now: Time, peer: PeerId, message: PeerMessage, out: &mut Vec<Output>) {
        self.peer_calls.hear(peer, &message);
        match message {
            PeerMessage::Ended(id) => {
                if let Some(server) = self.engine.disown(id) {
                    self.order(server, Order::Heard(id));
                }
            }
            PeerMessage::Released(id, cause, server) => {
                if let Some(server) = self.numbers.get(&server).copied().filter(|_| self.engine.knows(id)) {
                    self.handle(now, Input::Over { id, server, cause, report: None }, out);
                }
            }
            PeerMessage::HungUp(id) if self.engine.stands(id) => self.handle(now, Input::Unheard(id), out),
            PeerMessage::HungUp(id) => {
                self.releases.note_told(id);
            }
            PeerMessage::PassOn(id, _) if self.releases.is_told(id) => self.say_told(id),
            // Kept here where there is no connection either: it does not go back and forth.
            PeerMessage::PassOn(call, cause) => {
                self.releases.keep(WaitingRelease { call, cause, server: None });
                let _ = self.deliver(None, call, Reply::Over(cause));
            }
            PeerMessage::Operators(_) | PeerMessage::Open(_) | PeerMessage::Stands(..) => {}
        }
    }

    /// Tells the other processes what has become of a call.
    pub(super) fn tell_peers(&mut self, id: CallId, progress: Progress) {
        if self.peers.is_empty() {
            return;
        }
        let Some(message) = self.peer_message(id, progress) else { return };
        // One that takes nothing any more is given up; its end is told when its connection ends.
        self.peers.retain(|_, messages| messages.try_send(PeerOutput::Message(message.clone())).is_ok());
    }

    /// Whether another process has this call, or had it: it may have run there, and its id says that it is the same.
    pub(super) fn is_known_elsewhere(&self, id: CallId) -> bool {
        !self.engine.knows(id) && self.peer_calls.whereabouts(id) != Whereabouts::Unknown
    }

    /// Tells the others that the caller of a call that is over has been told.
    pub(super) fn say_told(&self, id: CallId) {
        for peer in self.peers.keys() {
            self.say(*peer, PeerMessage::HungUp(id));
        }
    }

    /// Waits until the other processes have all that this one had to say, before it ends.
    pub(super) async fn peers_hear_all(self) {
        let written = async {
            for messages in self.peers.values() {
                let (told, written) = async_channel::bounded(1);
                if messages.try_send(PeerOutput::Written(told)).is_ok() {
                    let _ = written.recv().await;
                }
            }
        };
        within(self.limits.flush, written).await;
    }

    fn peer_message(&self, id: CallId, progress: Progress) -> Option<PeerMessage> {
        Some(match progress {
            Progress::Open => PeerMessage::Open(id),
            Progress::Stands(server) => PeerMessage::Stands(id, self.server_id(server)?),
            Progress::Ended => PeerMessage::Ended(id),
        })
    }

    /// The id by which all processes know a server.
    fn server_id(&self, number: ServerId) -> Option<String> {
        self.numbers.iter().find(|(_, known)| **known == number).map(|(id, _)| id.clone())
    }

    /// Tells the process that has a call that its server has released it. Says whether that could be told.
    pub(super) fn release_at(&self, peer: PeerId, server: ServerId, id: CallId, cause: u8) -> bool {
        let Some(server) = self.server_id(server) else { return false };
        self.say(peer, PeerMessage::Released(id, cause, server))
    }

    /// Has the other processes tell a caller of the end of its call, where this one has no connection. Says whether one
    /// may.
    pub(super) fn pass_on_elsewhere(&self, id: CallId, cause: u8) -> bool {
        self.peers.keys().filter(|peer| self.say(**peer, PeerMessage::PassOn(id, cause))).count() > 0
    }

    /// Whether the call that a caller has released stands at another process, which is told then.
    pub(super) fn has_hung_up_elsewhere(&self, id: CallId) -> bool {
        match self.peer_calls.whereabouts(id) {
            Whereabouts::StandsAt(peer) if !self.engine.knows(id) => self.say(peer, PeerMessage::HungUp(id)),
            _ => false,
        }
    }

    fn say(&self, peer: PeerId, message: PeerMessage) -> bool {
        self.peers.get(&peer).is_some_and(|messages| messages.try_send(PeerOutput::Message(message)).is_ok())
    }

    fn order(&self, server: ServerId, order: Order) {
        if let Some(Link { orders, .. }) = self.links.get(&server) {
            let _ = orders.try_send(order);
        }
    }
}

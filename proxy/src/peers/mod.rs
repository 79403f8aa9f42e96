//! What the processes of one proxy tell each other while they share the clients' listening socket.
//!
//! During an upgrade two processes count as one proxy, but a client's connection leads to one of them, and a server may speak
//! to either. So each tells the other which calls it has and what became of them, and whether operators have sent clients
//! away. [`message`] is the wire, [`network`] the sockets in `$TMPDIR`, [`calls`] the account of the others' calls.

pub mod calls;
pub mod message;
pub mod network;

use async_channel::Sender;
use message::PeerMessage;

/// Another process, numbered by this one.
pub type PeerId = u64;

/// What the core has for another process.
#[derive(Clone, Debug)]
pub enum PeerOutput {
    /// Something about a call.
    Message(PeerMessage),
    /// All that it has to know of what was before has been said: the greeting follows, upon which it takes clients.
    Greeting,
    /// All before this has been written, or never will be, once this is dropped.
    Written(Sender<()>),
}

/// Where that goes.
pub type PeerSender = Sender<PeerOutput>;

/// What reaches the core from other processes.
#[derive(Debug)]
pub enum PeerEvent {
    /// Another process is there, and takes messages.
    Opened(PeerId, PeerSender),
    /// It says something about a call.
    Said(PeerId, PeerMessage),
    /// It is gone.
    Closed(PeerId),
}

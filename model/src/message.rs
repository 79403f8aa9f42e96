//! What passes between the model's parties and a proxy, whatever carries it.

use crate::server::{No, State};
use crate::{CallId, Time};

/// A caller's set-up.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    /// Its id, new with each try.
    pub call: CallId,
    /// Number of its channel.
    pub channel: usize,
    /// How long the caller waits.
    pub patience: Time,
    /// Whether it was dialled before.
    pub redial: bool,
    /// The number called.
    pub number: String,
    /// Place of first choice.
    pub place: usize,
    /// The session description.
    pub description: String,
}

/// What callers send.
#[derive(Clone, Debug, PartialEq)]
pub enum ToProxy {
    /// A set-up.
    Setup(Setup),
    /// A set-up is given up, or a call that stands released.
    Release(CallId),
    /// A release was heard.
    Heard(CallId),
}

/// What callers get.
#[derive(Clone, Debug, PartialEq)]
pub enum ToCaller {
    /// The call stands, with this description.
    Stands(CallId, Vec<u8>),
    /// A release with its cause, and how long to stay away.
    Release(CallId, u8, Option<Time>),
    /// The caller's release was heard, or something that means nothing.
    Other,
}

/// What setup servers get.
#[derive(Clone, Debug, PartialEq)]
pub enum ToServer {
    /// An attempt.
    Invite {
        /// The call.
        call: CallId,
        /// Its `CSeq`.
        sequence: u32,
        /// Its class.
        class: String,
        /// The number called.
        number: String,
        /// How long the proxy waits.
        patience: Time,
        /// The session description.
        description: Vec<u8>,
    },
    /// The attempt is given up.
    Cancel(CallId),
    /// A call is released.
    Bye(CallId),
    /// The server's release of a call was heard.
    ByeHeard(CallId),
    /// Anything that needs no answer.
    Other,
}

/// What setup servers send. All but the last carry a report.
#[derive(Clone, Debug, PartialEq)]
pub enum FromServer {
    /// The call stands, with this description.
    Stands(CallId, u32, String, State),
    /// The attempt has ended.
    Refuses(CallId, u32, No, State),
    /// The call is over: cut or at its end.
    Bye(CallId, bool, State),
    /// State of the group.
    Notify(State),
    /// A release was heard.
    ByeHeard(CallId),
}

/// State of a server on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// Takes calls.
    Serving,
    /// Completes what it has.
    Draining,
    /// Gone.
    Deleted,
}

/// A server on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// Its place, which is also the number of its address.
    pub place: usize,
    /// Number of its site.
    pub site: usize,
    /// Its state.
    pub state: Listed,
    /// When it started, if late.
    pub started: Option<Time>,
}

/// An event of the command channel.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEvent {
    /// Its number, from 1.
    pub cursor: u64,
    /// Whether it is the whole list.
    pub full: bool,
    /// The entries.
    pub entries: Vec<Entry>,
}

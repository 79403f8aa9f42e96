//! What fronts, backends and the engine tell each other.

use crate::reasons::Note;
use fernspan_core::{CallId, Entry, ListKind, Outcome, Place, Reason, Report, ServerId, Time};
use std::rc::Rc;

/// What a call carries and the engine never looks into.
pub type Payload = Rc<[u8]>;
/// A connection or socket that calls come from.
pub type Source = u64;

/// Cause of an ordinary end (Q.850).
pub const CAUSE_NORMAL: u8 = 16;
/// Cause of a cut call (Q.850: temporary failure).
pub const CAUSE_CUT: u8 = 41;

/// What the settings say of a call's attempts.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRules {
    /// Attempts at most.
    pub limit: u32,
    /// Wait after one that may have run.
    pub release_wait: Time,
}

/// A call as a front hands it over.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: CallId,
    /// The connection that it came on.
    pub source: Source,
    /// When it had come whole.
    pub at: Time,
    /// How long the caller waits, from `at`.
    pub patience: Time,
    /// Its class, by number.
    pub class: usize,
    /// Its tenant, by number.
    pub tenant: Option<usize>,
    /// The number called.
    pub number: String,
    /// The place of its first choice.
    pub first_choice: Option<Place>,
    /// Circuits that it takes.
    pub units: f64,
    /// Its caller has dialled again.
    pub redialled: bool,
    /// It stood, was cut, and comes again.
    pub cut_before: bool,
    /// Passed on unchanged.
    pub payload: Payload,
}

/// How an attempt that never stood has ended.
#[derive(Clone, Debug)]
pub struct End {
    /// How.
    pub outcome: Outcome,
    /// Why it was turned away, where told.
    pub reason: Option<Reason>,
    /// How long the server asks to be left alone, where told.
    pub wait: Option<Time>,
    /// Load figures, where given.
    pub report: Option<Report>,
    /// What the server answered, by its wire's code.
    pub status: Option<u16>,
}

impl End {
    /// An end that tells nothing more.
    pub fn plain(outcome: Outcome) -> Self {
        End { outcome, reason: None, wait: None, report: None, status: None }
    }
}

/// What fronts and backends tell the engine.
#[derive(Debug)]
pub enum Input {
    Call(Request),
    /// The caller gave the set-up up, or released the call that stands.
    Left(CallId, Source),
    /// An answer could not be passed on: what it says stands is released.
    Unheard(CallId),
    /// A caller's connection is gone.
    SourceGone(Source),
    Stood {
        id: CallId,
        attempt: u32,
        server: ServerId,
        payload: Payload,
    },
    Ended {
        id: CallId,
        attempt: u32,
        server: ServerId,
        end: End,
    },
    /// A server released a call that stood.
    Over {
        id: CallId,
        server: ServerId,
        cause: u8,
        report: Option<Report>,
    },
    Room(ServerId, Report),
    /// A probe was answered, or came to nothing.
    Probed {
        server: ServerId,
        passed: bool,
        report: Option<Report>,
    },
    /// A server spoke on a new connection, or again on one it had.
    Spoke {
        server: ServerId,
        fresh: bool,
    },
    /// A server's process is gone, and its calls with it.
    Died(ServerId),
    List(ListKind, Vec<Entry>),
    /// Answer everything by then.
    Stop(Time),
    /// The connection is to close: answer at once what is open on it.
    AnswerNow(Source),
}

/// A final answer, or what follows one.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Stands(Payload),
    /// Turned away; come back after the wait.
    Refused(Option<Time>),
    Failed,
    /// A release of a call that is not known here.
    Unknown,
    /// What stood is over.
    Over(u8),
    /// The caller's own release was heard.
    Heard,
}

impl Reply {
    /// Whether it is the one final answer to a set-up.
    pub fn ends_a_set_up(&self) -> bool {
        matches!(self, Reply::Stands(_) | Reply::Refused(_) | Reply::Failed)
    }
}

/// A set-up on its way to a server.
#[derive(Clone, Debug)]
pub struct Setup {
    pub id: CallId,
    /// The connection that it came on.
    pub source: Source,
    pub attempt: u32,
    /// The name of its class.
    pub class: Rc<str>,
    pub number: String,
    /// Until when the engine will wait.
    pub until: Time,
    pub payload: Payload,
}

/// What a server's link is told.
#[derive(Clone, Debug)]
pub enum Order {
    Start(Setup),
    /// A call stands there that was set up by another process.
    Adopt(CallId),
    /// The attempt is given up.
    Cancel(CallId),
    /// A call that stands is released.
    Release(CallId, u8),
    /// A release that the server has written was heard: by its caller, or here.
    Heard(CallId),
    /// Nothing new may go out; what is queued ends as not sent.
    Drain,
    /// The server is asked for its load.
    Probe,
    /// The server is out of reach with its site: connects are to be few. Or it is worth a look again.
    Rest(bool),
}

/// What the engine wants done.
#[derive(Debug)]
pub enum Output {
    /// To a caller; without a source, on any connection from callers.
    Reply(Option<Source>, CallId, Reply),
    Order(ServerId, Order),
    /// A server's release of a call that this process does not know: it stood at one that shares or had this address.
    /// `news` where the server has not said so before. The server hears that it was heard only once it is passed on:
    /// else the other process may still get it, on its next connection.
    PassOn {
        server: ServerId,
        id: CallId,
        cause: u8,
        news: bool,
    },
    /// A call was taken, stands or has ended here, as other processes of this proxy have to know.
    Progress(CallId, Progress),
    Note(Note),
}

/// What has become of a call of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Its set-up is open.
    Open,
    /// It stands at this server.
    Stands(ServerId),
    /// Nothing is owed to its caller any more.
    Ended,
}

//! The types a host exchanges with a [`Controller`](crate::Controller): settings once, then events in
//! and actions out. No decision is made here.

/// A moment or a span, in microseconds of the host's clock.
pub type Time = u64;
/// A call as the host names it; never reused.
pub type CallId = u64;
/// A central server as the host numbers it; the number survives restarts of the server.
pub type ServerId = u32;
/// The place (exchange or pool number) that a server serves; a replacement serves the same place.
pub type Place = i64;

/// What sending a call a second time would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be sent again and refused freely.
    Safe,
    /// Repeats are recognised within the class's group and window only.
    Keyed,
    /// It would be done twice.
    Unsafe,
}

/// Which servers recognise a repeat of a keyed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    All,
    /// Those in the zone of the first one.
    Zone,
    /// Those of the same place as the first one.
    Place,
}

/// What the settings say of one class of call.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Set-up time within which a call earns its full worth.
    pub goal: Time,
    /// How long a caller keeps trying, from the first try.
    pub limit: Time,
    /// Worth of a call that stands in time.
    pub worth: f64,
    /// Share of the worth that a later set-up still earns.
    pub late_worth: f64,
    /// What a repeat would do.
    pub effect: Effect,
    /// Who recognises repeats of a keyed call.
    pub group: Group,
    /// How long repeats of a keyed call are recognised.
    pub window: Time,
    /// Places the class may go to; `None` means any.
    pub places: Option<Vec<Place>>,
}

impl Class {
    /// Whether a call of it that may have run can still be refused.
    pub fn refusable(&self) -> bool {
        self.effect == Effect::Safe || self.effect == Effect::Keyed && self.group == Group::All
    }
}

/// What the settings say of one tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its share of the whole service.
    pub share: f64,
}

/// Everything a controller is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of controllers that share the servers.
    pub nodes: u32,
    /// Classes of call, by number.
    pub classes: Vec<Class>,
    /// Tenants, by number; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a call beyond its tenant's share, as a share of the usual.
    pub over_share_worth: f64,
    /// Most attempts one call may have.
    pub attempt_limit: u32,
    /// Wait before a call goes out again after a timeout, reset or cancel.
    pub release_wait: Time,
    /// A server starts at no less than this share of its capacity.
    pub start_capacity: f64,
    /// A started server is warm after this.
    pub cold: Time,
    /// A cold server falls over when sent more than this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall: Time,
    /// A waiting set-up is sent again after this; `None` where it is not.
    pub repeat: Option<Time>,
    /// Longest hold-off a caller honours; `None` where a refusal can carry none.
    pub max_hold_off: Option<Time>,
    /// Whether an attempt may be called off.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// What one probe a call would take off the result, as a share of it; 0 where it has no price.
    pub probe_price: f64,
    /// Whether messages to other controllers are allowed.
    pub may_tell: bool,
    /// Whether the list of servers comes only when asked for, and the longest allowed time without asking.
    pub ask_list: Option<Time>,
    /// The controller's own place, where it is itself one of the exchanges.
    pub own_place: Option<Place>,
}

impl Settings {
    /// The longest that a caller of any class keeps trying.
    pub fn longest(&self) -> Time {
        self.classes.iter().map(|c| c.limit).max().unwrap_or_default()
    }
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes calls.
    Ready,
    /// Completes what it has; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its place.
    pub place: Place,
    /// When it last started; `None` means long ago.
    pub started: Option<Time>,
    /// Its state.
    pub state: State,
}

/// What kind of list arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// All servers; one that is missing is gone.
    Whole,
    /// All servers as last known before a restart; maybe stale.
    Saved,
    /// A request for the list failed; what was known still holds.
    Failed,
}

/// Load figures of a server; each may be missing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Free lines.
    pub free: Option<f64>,
    /// Lines in all.
    pub lines: Option<f64>,
    /// Share of its processor that is busy.
    pub occupancy: Option<f64>,
    /// Set-ups waiting at its processor.
    pub queue: Option<f64>,
    /// Messages in progress at its processor.
    pub busy: Option<f64>,
    /// Wait at its processor, in microseconds.
    pub wait: Option<f64>,
    /// New set-ups a second it can take from all senders.
    pub takes: Option<f64>,
    /// Share of new set-ups it asks each sender to hold back.
    pub hold_back: Option<f64>,
}

/// Why a server turned a set-up away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No free circuit or line.
    NoLine,
    /// Turned back by an exchange on the way.
    TurnedBack,
    /// A processor was full.
    ProcessorFull,
    /// All lines of the number called are busy.
    NumberBusy,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call has come to its end.
    Done,
    /// A fault, or the number is busy.
    Fault,
    /// Turned away; it never ran.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    NoRoute,
    /// Cut; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent; it never ran.
    NotSent,
}

/// A call handed to the controller.
#[derive(Clone, Debug)]
pub struct NewCall {
    /// The call.
    pub call: CallId,
    /// Its class.
    pub class: usize,
    /// The number called.
    pub number: String,
    /// Its tenant, where there are tenants.
    pub tenant: Option<usize>,
    /// Place of first choice (or destination).
    pub first_choice: Option<Place>,
    /// Time until the caller gives this try up.
    pub expires_in: Time,
    /// Circuits it takes.
    pub units: f64,
    /// Marked as dialled again.
    pub redialled: bool,
    /// Forwarded here by another exchange.
    pub in_transit: bool,
    /// It stood, was cut, and comes again.
    pub cut_before: bool,
}

/// What happens to a controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of servers.
    List(ListKind, Vec<Entry>),
    /// A call arrives.
    Call(NewCall),
    /// An attempt's call stands.
    Stood {
        /// The call.
        call: CallId,
        /// Its attempt, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Time since the attempt went out.
        elapsed: Time,
    },
    /// An attempt is over.
    Ended {
        /// The call.
        call: CallId,
        /// Its attempt, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// No final answer is owed any more.
        finished: bool,
        /// Why it was turned away, where told.
        reason: Option<Reason>,
        /// How long the server asks to be left alone, where told.
        wait: Option<Time>,
        /// Load figures, where given.
        report: Option<Report>,
    },
    /// The caller left; nothing is owed.
    Left(CallId),
    /// A probe was answered, or not.
    Probed {
        /// The server.
        server: ServerId,
        /// Whether it answered well.
        passed: bool,
        /// Load figures, where given.
        report: Option<Report>,
    },
    /// The free lines of a server have changed, told unasked.
    Room(ServerId, Report),
    /// A server spoke, on a new connection or, after a silence, on one that it had spoken on before.
    Spoke {
        /// The server.
        server: ServerId,
        /// Whether the connection is new: its process may be another one by now.
        fresh: bool,
    },
    /// A message from another controller.
    Told(u32, Vec<u8>),
    /// A timer set earlier is due.
    Timer(u64),
}

/// Why a controller gives a call up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It would stand late, and no server has room for such a call.
    NoRoom,
    /// The same, for a call beyond its tenant's share.
    ShareUsedUp,
    /// Too little time is left for another attempt.
    TooLateToTry,
    /// It has had all its attempts.
    AttemptsSpent,
    /// All lines of the number called are busy.
    NumberBusy,
    /// Its class does not exist.
    UnknownClass,
}

/// What a controller wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; without a limit it lasts until the caller gives up.
    Start {
        /// The call.
        call: CallId,
        /// Where to.
        server: ServerId,
        /// Time-out.
        limit: Option<Time>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// Its attempt.
        attempt: u32,
    },
    /// Final answer: refused, with the advice to stay away for a while.
    Refuse {
        /// The call.
        call: CallId,
        /// How long to stay away.
        hold_off: Option<Time>,
        /// Why.
        reason: GiveUpReason,
    },
    /// Final answer: given up.
    Fail {
        /// The call.
        call: CallId,
        /// Why.
        reason: GiveUpReason,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Send a message to one controller, or to all.
    Tell(Option<u32>, Vec<u8>),
    /// Ask for changes of the list from now on.
    WatchList,
    /// Wake the controller.
    Timer {
        /// When.
        at: Time,
        /// Handed back with the event.
        token: u64,
    },
    /// A server is out of reach with its site, and connects to it are to be few; or it is worth a look again.
    Rest {
        /// The server.
        server: ServerId,
        /// Whether it is out of reach.
        rest: bool,
    },
    /// A line for the operators.
    Log(String),
}

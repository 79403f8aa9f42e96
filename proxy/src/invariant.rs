//! What no path of the program may do, whatever led there: one guard for sending, repeating, answering, closing and
//! starting.
//!
//! The guard keeps its own account of each open call, from what reaches the core and what leaves it, so that a fault in the
//! engine or the controller does not hide in their own tables. What would break an invariant is counted, named in the log
//! and held back where that is possible; the program goes on.

use crate::engine::{AttemptRules, Input, Order, Reply, Setup, Source};
use crate::reasons::Hex;
use fernspan_core::{CallId, Entry, ListKind, Outcome, ServerId, State, Time};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// What is never broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A call has one attempt out at most.
    OneAttemptOut,
    /// It has no more attempts than the settings allow.
    AttemptLimit,
    /// It is not sent again before the attempt that may have run has released what it took.
    ReleaseWait,
    /// Nothing new goes to a server that is not listed as serving.
    ServerServing,
    /// Nothing is sent for a call that is owed no answer any more.
    SentUnowed,
    /// A set-up gets one final answer, and only while one is owed.
    OneAnswer,
    /// No connection is closed by this side while an answer is owed on it.
    ClosedWhileOwed,
    /// A process that shares its listening socket takes no set-up before it knows the list of servers.
    TakenBeforeReady,
}

/// How often each invariant was broken. Clones share one count.
#[derive(Clone, Default)]
pub struct Violations(Rc<RefCell<BTreeMap<Invariant, u64>>>);

impl Violations {
    /// Counts one and names it in the log.
    pub fn count(&self, invariant: Invariant, call: Option<CallId>) {
        *self.0.borrow_mut().entry(invariant).or_default() += 1;
        let call = call.map(|id| Hex(id).to_string()).unwrap_or_default();
        tracing::error!(?invariant, call, "an invariant would be broken");
    }

    /// Since the start of the process.
    pub fn total(&self) -> u64 {
        self.0.borrow().values().sum()
    }

    /// How often this one was.
    pub fn of(&self, invariant: Invariant) -> u64 {
        self.0.borrow().get(&invariant).copied().unwrap_or(0)
    }
}

/// One call that is owed an answer.
#[derive(Default)]
struct Open {
    sources: BTreeSet<Source>,
    /// The attempt that is out, and its server.
    out: Option<(u32, ServerId)>,
    attempts: u32,
    /// As many as the settings allowed when it came.
    limit: u32,
    not_before: Time,
}

/// The account of open calls, kept at the one place that all of them pass.
pub struct Guard {
    rules: AttemptRules,
    violations: Violations,
    /// The latest time: a clock that is set back shortens no wait.
    now: Time,
    calls: HashMap<CallId, Open>,
    serving: BTreeSet<ServerId>,
}

impl Guard {
    /// Without any call.
    pub fn new(rules: AttemptRules, violations: Violations) -> Self {
        Guard { rules, violations, now: 0, calls: HashMap::new(), serving: BTreeSet::new() }
    }

    /// Goes by other settings from now on; open calls keep the number of attempts that they came with.
    pub fn reconfigure(&mut self, rules: AttemptRules) {
        self.rules = rules;
    }

    /// Takes note of what reaches the core, before the engine does.
    pub fn hears(&mut self, now: Time, input: &Input) {
        self.now = self.now.max(now);
        match input {
            Input::Call(request) => {
                let limit = self.rules.limit;
                let fresh = || Open { limit, ..Open::default() };
                self.calls.entry(request.id).or_insert_with(fresh).sources.insert(request.source);
            }
            Input::Left(id, source) => self.leaves(*id, *source),
            Input::SourceGone(source) => self.calls.retain(|_, call| {
                call.sources.remove(source);
                !call.sources.is_empty()
            }),
            Input::Ended { id, attempt, server, end } => {
                let may_hold = matches!(end.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
                self.attempt_ended(*id, may_hold, |out| out == (*attempt, *server));
            }
            Input::Stood { id, attempt, server, .. } => {
                self.attempt_ended(*id, false, |out| out == (*attempt, *server));
            }
            Input::Over { id, server, .. } => self.attempt_ended(*id, false, |out| out.1 == *server),
            Input::List(kind, entries) => self.listed(*kind, entries),
            _ => {}
        }
    }

    fn leaves(&mut self, id: CallId, source: Source) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.sources.remove(&source);
            if call.sources.is_empty() {
                self.calls.remove(&id);
            }
        }
    }

    fn attempt_ended(&mut self, id: CallId, may_hold: bool, it: impl Fn((u32, ServerId)) -> bool) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.out.take_if(|out| it(*out)).is_some() && may_hold {
            call.not_before = self.now + self.rules.release_wait;
        }
    }

    fn listed(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind != ListKind::Changes {
            self.serving.clear();
        }
        for entry in entries {
            match entry.state {
                State::Ready => self.serving.insert(entry.server),
                State::Draining | State::Gone => self.serving.remove(&entry.server),
            };
        }
    }

    /// Whether this order may go out; one that may not is counted.
    pub fn allows_order(&mut self, now: Time, server: ServerId, order: &Order) -> bool {
        self.now = self.now.max(now);
        match order {
            Order::Start(setup) => match self.begin_attempt(server, setup) {
                Ok(()) => true,
                Err(invariant) => {
                    self.violations.count(invariant, Some(setup.id));
                    false
                }
            },
            Order::Cancel(id) => {
                self.attempt_ended(*id, true, |_| true);
                true
            }
            _ => true,
        }
    }

    fn begin_attempt(&mut self, server: ServerId, setup: &Setup) -> Result<(), Invariant> {
        let call = self.calls.get_mut(&setup.id).ok_or(Invariant::SentUnowed)?;
        if call.out.is_some() {
            return Err(Invariant::OneAttemptOut);
        }
        if call.attempts >= call.limit {
            return Err(Invariant::AttemptLimit);
        }
        if self.now < call.not_before {
            return Err(Invariant::ReleaseWait);
        }
        if !self.serving.contains(&server) {
            return Err(Invariant::ServerServing);
        }
        call.out = Some((setup.attempt, server));
        call.attempts += 1;
        Ok(())
    }

    /// Whether this reply may go to that caller; a final answer that is not owed is counted.
    pub fn allows_reply(&mut self, source: Option<Source>, id: CallId, reply: &Reply) -> bool {
        let Some(source) = source.filter(|_| reply.ends_a_set_up()) else { return true };
        let owed = self.calls.get_mut(&id).is_some_and(|call| call.sources.remove(&source));
        if !owed {
            self.violations.count(Invariant::OneAnswer, Some(id));
            return false;
        }
        if self.calls.get(&id).is_some_and(|call| call.sources.is_empty()) {
            self.calls.remove(&id);
        }
        true
    }
}

//! The guard counts and holds back what would break an invariant, whoever asks for it.

use fernspan::engine::AttemptRules;
use fernspan::engine::{End, Input, Order, Reply, Request, Setup};
use fernspan::invariant::{Guard, Invariant, Violations};
use fernspan_core::{Entry, ListKind, Outcome, State};

const RELEASE_WAIT: u64 = 300_000;
const CALL: u64 = 10;
const CALLER: u64 = 1;

struct Case {
    guard: Guard,
    violations: Violations,
}

impl Case {
    /// Servers 0 and 1 serve, and a call is open.
    fn new() -> Case {
        let violations = Violations::default();
        let rules = AttemptRules { limit: 3, release_wait: RELEASE_WAIT };
        let mut guard = Guard::new(rules, violations.clone());
        guard.hears(0, &Input::List(ListKind::Saved, vec![entry(0, State::Ready), entry(1, State::Ready)]));
        guard.hears(0, &Input::Call(request(CALLER)));
        Case { guard, violations }
    }

    fn starts(&mut self, attempt: u32, server: u32) -> bool {
        self.starts_at(0, attempt, server)
    }

    fn starts_at(&mut self, now: u64, attempt: u32, server: u32) -> bool {
        self.guard.allows_order(now, server, &Order::Start(setup(attempt)))
    }

    fn ends(&mut self, now: u64, attempt: u32, server: u32, outcome: Outcome) {
        self.guard.hears(now, &Input::Ended { id: CALL, attempt, server, end: End::plain(outcome) });
    }

    fn answers(&mut self, source: u64) -> bool {
        self.guard.allows_reply(Some(source), CALL, &Reply::Failed)
    }

    /// Exactly this one was broken, once.
    fn broken(&self, invariant: Invariant) {
        assert_eq!((self.violations.of(invariant), self.violations.total()), (1, 1), "{invariant:?}");
    }
}

fn entry(server: u32, state: State) -> Entry {
    Entry { server, zone: 0, place: i64::from(server), started: None, state }
}

fn request(source: u64) -> Request {
    Request {
        id: CALL,
        source,
        at: 0,
        patience: 9_000_000,
        class: 0,
        tenant: None,
        number: "555".to_owned(),
        first_choice: Some(0),
        units: 1.0,
        redialled: false,
        cut_before: false,
        payload: b"desc"[..].into(),
    }
}

fn setup(attempt: u32) -> Setup {
    let (number, payload) = ("555".to_owned(), b"desc"[..].into());
    Setup { id: CALL, source: 1, attempt, class: "voice".into(), number, until: 9_000_000, payload }
}

#[test]
fn an_ordinary_call_breaks_nothing() {
    let mut case = Case::new();
    assert!(case.starts(0, 0));
    case.ends(1_000, 0, 0, Outcome::Full);
    assert!(case.starts(1, 1));
    case.ends(2_000, 1, 1, Outcome::Reset);
    assert!(case.starts_at(2_000 + RELEASE_WAIT, 2, 0));
    assert!(case.answers(CALLER));
    assert_eq!(case.violations.total(), 0);
}

#[test]
fn a_second_attempt_beside_the_first_is_held_back() {
    let mut case = Case::new();
    assert!(case.starts(0, 0));
    assert!(!case.starts(1, 1));
    case.broken(Invariant::OneAttemptOut);
}

/// The end of another attempt is not the end of the one that is out.
#[test]
fn a_late_end_frees_nothing() {
    let mut case = Case::new();
    assert!(case.starts(0, 0));
    case.ends(0, 0, 0, Outcome::Full);
    assert!(case.starts(1, 1));
    case.ends(0, 0, 0, Outcome::Full);
    assert!(!case.starts(2, 0));
    case.broken(Invariant::OneAttemptOut);
}

#[test]
fn an_attempt_beyond_the_limit_is_held_back() {
    let mut case = Case::new();
    for attempt in 0..3 {
        assert!(case.starts(attempt, 0));
        case.ends(0, attempt, 0, Outcome::Full);
    }
    assert!(!case.starts(3, 0));
    case.broken(Invariant::AttemptLimit);
}

#[test]
fn a_retry_before_the_release_wait_is_held_back() {
    for outcome in [Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut case = Case::new();
        assert!(case.starts(0, 0));
        case.ends(0, 0, 0, outcome);
        assert!(!case.starts_at(RELEASE_WAIT - 1, 1, 1));
        case.broken(Invariant::ReleaseWait);
    }
}

/// A clock that is set back makes no wait longer, and none shorter.
#[test]
fn the_wait_counts_from_the_latest_time() {
    let mut case = Case::new();
    assert!(case.starts_at(5_000_000, 0, 0));
    case.ends(0, 0, 0, Outcome::Reset);
    assert!(!case.starts_at(0, 1, 1));
    assert!(case.starts_at(5_000_000 + RELEASE_WAIT, 1, 1));
    case.broken(Invariant::ReleaseWait);
}

#[test]
fn a_retry_after_a_cancel_waits_as_well() {
    let mut case = Case::new();
    assert!(case.starts(0, 0));
    assert!(case.guard.allows_order(0, 0, &Order::Cancel(CALL)));
    assert!(!case.starts(1, 1));
    case.broken(Invariant::ReleaseWait);
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_or_is_not_listed() {
    for list in [
        Input::List(ListKind::Changes, vec![entry(0, State::Draining)]),
        Input::List(ListKind::Changes, vec![entry(0, State::Gone)]),
        Input::List(ListKind::Whole, vec![entry(1, State::Ready)]),
    ] {
        let mut case = Case::new();
        case.guard.hears(0, &list);
        assert!(!case.starts(0, 0));
        case.broken(Invariant::ServerServing);
    }
}

#[test]
fn a_second_answer_is_held_back() {
    let mut case = Case::new();
    assert!(case.answers(CALLER));
    assert!(!case.answers(CALLER));
    case.broken(Invariant::OneAnswer);
}

#[test]
fn nothing_is_said_or_sent_after_a_give_up() {
    let mut case = Case::new();
    case.guard.hears(0, &Input::Left(CALL, CALLER));
    assert!(!case.answers(CALLER));
    case.broken(Invariant::OneAnswer);
    let mut case = Case::new();
    case.guard.hears(0, &Input::SourceGone(CALLER));
    assert!(!case.starts(0, 0));
    case.broken(Invariant::SentUnowed);
}

/// Two callers that use one id: each has its one answer.
#[test]
fn an_id_that_is_taken_has_two_askers() {
    let mut case = Case::new();
    case.guard.hears(0, &Input::Call(request(CALLER + 1)));
    assert!(case.answers(CALLER + 1));
    assert!(case.starts(0, 0));
    assert!(case.answers(CALLER));
    assert_eq!(case.violations.total(), 0);
}

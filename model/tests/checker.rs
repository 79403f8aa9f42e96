//! The checker against traces: one that keeps every rule, and for each rule some that break it and nothing else.

use fernspan_model::Time;
use fernspan_model::check::{Checker, End, Gone, RESUME, RULES, Rule, Seen};
use fernspan_model::scenario::Rules;

const CLASS: &str = "voice";
const MS: Time = 1_000;

type Trace = Vec<(Time, Seen)>;

fn taken(proxy: usize, call: u64) -> Seen {
    Seen::Taken { proxy, call, number: "7f".to_owned(), description: b"v=0".to_vec() }
}

fn sent(proxy: usize, server: u32, call: u64) -> Seen {
    let (class, number) = (CLASS.to_owned(), "7f".to_owned());
    Seen::Sent { proxy, server, call, class, number, description: b"v=0".to_vec() }
}

fn stands(server: u32, call: u64) -> Seen {
    Seen::Stands { server, call, description: b"v=1".to_vec() }
}

fn answer(proxy: usize, call: u64, stands: Option<&[u8]>) -> Seen {
    Seen::Answer { proxy, call, stands: stands.map(<[u8]>::to_vec) }
}

fn told(server: u32, serves: bool) -> Seen {
    Seen::Told { proxy: 0, server, serves }
}

/// A call that is refused by one server, stands at another, and is released in time.
fn good() -> Trace {
    vec![
        (0, Seen::Up(0)),
        (0, Seen::Connected { proxy: 0, server: 1, open: 4 }),
        (10 * MS, taken(0, 7)),
        (12 * MS, sent(0, 1, 7)),
        (15 * MS, Seen::Arrived { server: 1, call: 7 }),
        (20 * MS, Seen::Ended { server: 1, call: 7, end: End::Refused }),
        (24 * MS, sent(0, 2, 7)),
        (28 * MS, Seen::Arrived { server: 2, call: 7 }),
        (60 * MS, stands(2, 7)),
        (65 * MS, answer(0, 7, Some(b"v=1"))),
        (5_000 * MS, Seen::Over { server: 2, call: 7 }),
        (5_004 * MS, Seen::OverTold { server: 2, call: 7 }),
        (5_010 * MS, Seen::Release(7)),
    ]
}

fn with(more: Trace) -> Trace {
    let mut trace = good();
    trace.extend(more);
    trace.sort_by_key(|t| t.0);
    trace
}

/// Without what `drop` names, and with more.
fn without(drop: impl Fn(&Seen) -> bool, more: Trace) -> Trace {
    let mut trace = good();
    trace.retain(|(_, seen)| !drop(seen));
    trace.extend(more);
    trace.sort_by_key(|t| t.0);
    trace
}

fn broken(trace: Trace) -> Vec<Rule> {
    let mut checker = Checker::new(Rules::default(), CLASS);
    for (at, seen) in trace {
        checker.see(at, seen);
    }
    checker.advance(60_000 * MS);
    let mut rules: Vec<Rule> = checker.broken().iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_trace_that_keeps_every_rule_is_taken() {
    assert_eq!(broken(good()), []);
}

/// Each breaks one rule. What breaks none lies just on the other side of a limit.
fn traces() -> Vec<(Rule, Trace)> {
    let second = |at: Time, end: End, again: Time| {
        vec![
            (10 * MS, taken(0, 8)),
            (12 * MS, sent(0, 1, 8)),
            (15 * MS, Seen::Arrived { server: 1, call: 8 }),
            (at, Seen::Ended { server: 1, call: 8, end }),
            (again, sent(0, 2, 8)),
            (again + 5 * MS, Seen::Arrived { server: 2, call: 8 }),
            (again + 9 * MS, answer(0, 8, None)),
        ]
    };
    let release = |s: &Seen| matches!(s, Seen::Release(_));
    let over_told = |s: &Seen| matches!(s, Seen::OverTold { .. } | Seen::Release(_));
    let many = |n: u64| {
        let mut trace = vec![(10 * MS, taken(0, 8))];
        for i in 0..n {
            let at = (20 + 10 * i) * MS;
            trace.push((at, sent(0, 1, 8)));
            trace.push((at + MS, Seen::Arrived { server: 1, call: 8 }));
            trace.push((at + 2 * MS, Seen::Ended { server: 1, call: 8, end: End::Refused }));
        }
        trace.push((900 * MS, answer(0, 8, None)));
        trace
    };
    vec![
        (Rule::Start, with(vec![(1, Seen::Gone(3, Gone::NeverReady))])),
        (Rule::Crash, with(vec![(1, Seen::Gone(3, Gone::Unasked))])),
        // Its caller waited in vain.
        (
            Rule::Answered,
            with(vec![(1, taken(0, 8)), (3_000 * MS, Seen::CallerLeft { call: 8, late: true })]),
        ),
        // Its connection was closed on it.
        (Rule::Answered, with(vec![(1, taken(0, 8)), (900 * MS, Seen::CallerCut(vec![8]))])),
        // Its proxy had SIGTERM and went without answering.
        (Rule::Answered, with(vec![(1, taken(3, 8)), (2_000 * MS, Seen::Gone(3, Gone::After(500 * MS)))])),
        (Rule::OneAnswer, with(vec![(90 * MS, answer(0, 7, None))])),
        (Rule::OneAnswer, with(vec![(1, answer(0, 99, None))])),
        (
            Rule::OneAnswer,
            with(vec![
                (1, taken(0, 8)),
                (100 * MS, Seen::CallerLeft { call: 8, late: false }),
                (151 * MS, answer(0, 8, None)),
            ]),
        ),
        (Rule::Genuine, with(vec![(1, taken(0, 8)), (2, answer(0, 8, Some(b"v=2")))])),
        (Rule::Genuine, with(vec![(1, sent(0, 1, 99))])),
        (
            Rule::Genuine,
            with(vec![
                (1, Seen::Taken { proxy: 0, call: 8, number: "7f".to_owned(), description: b"x".to_vec() }),
                (2, sent(0, 1, 8)),
                (3, answer(0, 8, None)),
            ]),
        ),
        // The second is out before the first has ended.
        (Rule::OneAttempt, with(second(400 * MS, End::Refused, 100 * MS))),
        (Rule::AttemptLimit, with(many(5))),
        (Rule::ReleaseWait, with(second(100 * MS, End::MayHaveRun, 349 * MS))),
        (
            Rule::Drain,
            with(vec![
                (1, taken(0, 8)),
                (1, told(4, false)),
                (1_051 * MS, sent(0, 4, 8)),
                (1_060 * MS, answer(0, 8, None)),
            ]),
        ),
        (Rule::Fall, with(vec![(1, Seen::Fell { server: 1, knew: 0.67 })])),
        // Nothing is said to the caller although the server has released the call.
        (Rule::Released, without(release, vec![])),
        (Rule::Released, without(release, vec![(6_055 * MS, Seen::Release(7))])),
        // Nor where no release could be sent.
        (Rule::Released, without(over_told, vec![(13_051 * MS, Seen::Release(7))])),
        (Rule::Connections, with(vec![(1, Seen::Connected { proxy: 0, server: 1, open: 5 })])),
        (Rule::Readable, with(vec![(1, Seen::Unreadable(0, "no Call-ID".to_owned()))])),
    ]
}

#[test]
fn every_rule_has_a_trace_that_is_turned_down_for_it_alone() {
    let traces = traces();
    for rule in RULES {
        assert!(traces.iter().any(|t| t.0 == rule), "no trace breaks '{rule}'");
    }
    for (n, (rule, trace)) in traces.into_iter().enumerate() {
        assert_eq!(broken(trace), [rule], "trace {n}");
    }
}

#[test]
fn what_lies_within_the_limits_is_taken() {
    let release = |s: &Seen| matches!(s, Seen::Release(_));
    let over_told = |s: &Seen| matches!(s, Seen::OverTold { .. } | Seen::Release(_));
    let kept = vec![
        // Given up by the caller, and answered as that was on its way.
        with(vec![
            (1, taken(0, 8)),
            (100 * MS, Seen::CallerLeft { call: 8, late: false }),
            (149 * MS, answer(0, 8, None)),
        ]),
        // Killed with a call in hand.
        with(vec![(1, taken(3, 8)), (2, Seen::Gone(3, Gone::Killed)), (900 * MS, Seen::CallerCut(vec![8]))]),
        // New work long after SIGTERM.
        with(vec![(1_300 * MS, taken(3, 8)), (2_000 * MS, Seen::Gone(3, Gone::After(500 * MS)))]),
        // 250 ms after, where each limit has 50 ms of slack.
        with(vec![
            (10 * MS, taken(0, 8)),
            (12 * MS, sent(0, 1, 8)),
            (15 * MS, Seen::Arrived { server: 1, call: 8 }),
            (100 * MS, Seen::GivenUp { server: 1, call: 8 }),
            (350 * MS, sent(0, 2, 8)),
            (355 * MS, Seen::Arrived { server: 2, call: 8 }),
            (360 * MS, answer(0, 8, None)),
        ]),
        // An attempt that was given up on its way is not out when it arrives.
        with(vec![
            (10 * MS, taken(0, 8)),
            (12 * MS, sent(0, 1, 8)),
            (100 * MS, Seen::GivenUp { server: 1, call: 8 }),
            (400 * MS, sent(0, 2, 8)),
            (405 * MS, Seen::Arrived { server: 2, call: 8 }),
            (410 * MS, Seen::Arrived { server: 1, call: 8 }),
            (460 * MS, answer(0, 8, None)),
        ]),
        with(vec![
            (1, taken(0, 8)),
            (1, told(4, false)),
            (1_049 * MS, sent(0, 4, 8)),
            (1_060 * MS, answer(0, 8, None)),
        ]),
        // It serves again.
        with(vec![
            (1, taken(0, 8)),
            (1, told(4, false)),
            (900 * MS, told(4, true)),
            (2_000 * MS, sent(0, 4, 8)),
            (2_001 * MS, answer(0, 8, None)),
        ]),
        with(vec![(1, Seen::Fell { server: 1, knew: 0.66 })]),
        without(release, vec![(6_050 * MS, Seen::Release(7))]),
        without(over_told, vec![(13_049 * MS, Seen::Release(7))]),
        // A second answer of a server that was given up is released there; the call lives on where it stands.
        without(
            |s| matches!(s, Seen::Over { .. } | Seen::OverTold { .. } | Seen::Release(_)),
            vec![(400 * MS, stands(1, 7)), (410 * MS, Seen::OverTold { server: 1, call: 7 })],
        ),
        // The caller has released it itself.
        without(release, vec![(4_000 * MS, Seen::CallerLeft { call: 7, late: false })]),
    ];
    for (n, trace) in kept.into_iter().enumerate() {
        assert_eq!(broken(trace), [], "trace {n}");
    }
}

/// Guards against a proxy that is blamed for the time in which it was stopped, and against one that is let off
/// for good because it was stopped once.
#[test]
fn a_stop_makes_the_limits_longer_by_its_length_and_no_more() {
    let release = |s: &Seen| matches!(s, Seen::Release(_));
    let stopped = |until: Time, released: Time| {
        let (from, until) = (5_100 * MS, until * MS);
        without(
            release,
            vec![(from, Seen::Paused(0)), (until, Seen::Continued(0)), (released * MS, Seen::Release(7))],
        )
    };
    let resume = RESUME / MS;
    assert_eq!(broken(stopped(8_100, 9_040 + resume)), []);
    assert_eq!(broken(stopped(8_100, 9_060 + resume)), [Rule::Released]);
    let drained = |at: Time| {
        with(vec![
            (1, taken(0, 8)),
            (2, Seen::Paused(0)),
            (100 * MS, told(4, false)),
            (3_000 * MS, Seen::Continued(0)),
            (at * MS, sent(0, 4, 8)),
            (at * MS, answer(0, 8, None)),
        ])
    };
    assert_eq!(broken(drained(4_000)), []);
    assert_eq!(broken(drained(4_600)), [Rule::Drain]);
}

/// Guards against a verdict that hangs on how busy the machine was.
#[test]
fn what_the_host_was_late_is_added_to_the_limits() {
    let trace = with(vec![
        (1, taken(0, 8)),
        (1, told(4, false)),
        (1_150 * MS, sent(0, 4, 8)),
        (1_160 * MS, answer(0, 8, None)),
    ]);
    assert_eq!(broken(trace.clone()), [Rule::Drain]);
    let mut checker = Checker::new(Rules::default(), CLASS);
    for (at, seen) in trace {
        if at == 1_150 * MS {
            checker.late(at, 120 * MS);
        }
        checker.see(at, seen);
    }
    assert_eq!(checker.broken(), []);
}

//! Probes: whom a proxy asks for its load, how often, and what comes of it.

mod common;
use common::*;
use fernspan_core::probes::{A_CALL, EVERY, LOST, SAVED};
use fernspan_core::*;

fn allowed() -> Settings {
    Settings { may_probe: true, ..settings() }
}

fn report(occupancy: f64) -> Option<Report> {
    Some(Report { occupancy: Some(occupancy), ..Report::default() })
}

fn probed(server: ServerId, occupancy: f64) -> Event {
    Event::Probed { server, passed: true, report: report(occupancy) }
}

fn asked(actions: &[Action]) -> Vec<ServerId> {
    actions.iter().filter_map(|a| if let Action::Probe(s) = a { Some(*s) } else { None }).collect()
}

/// Lets a call come every 50 ms and stand at once. Each probe is answered within the 50 ms, or not at all. Gives who was
/// asked, and when.
fn calls(s: &mut Script, span: Time, next: &mut u64, occupancy: Option<f64>) -> Vec<(Time, ServerId)> {
    let (until, mut seen) = (s.now + span, Vec::new());
    while s.now < until {
        *next += 1;
        let mut actions = s.event(Event::Call(call(*next, 0)));
        actions.extend(s.pass(50 * MS));
        for (id, server) in starts(&actions) {
            s.stood(id, server, 10 * MS);
        }
        for server in asked(&actions) {
            seen.push((s.now, server));
            if let Some(occupancy) = occupancy {
                s.event(probed(server, occupancy));
            }
        }
    }
    seen
}

/// Each server is asked once an interval, out of step.
#[test]
fn each_server_is_asked_as_its_figure_is_an_interval_old() {
    let mut s = Script::new(allowed(), 3);
    let seen = calls(&mut s, 10 * S, &mut 0, Some(0.5));
    for server in 0..3 {
        let at: Vec<Time> = seen.iter().filter(|p| p.1 == server).map(|p| p.0).collect();
        assert!((9..=10).contains(&at.len()), "server {server}: {at:?}");
        assert!(at.windows(2).all(|w| w[1] - w[0] >= EVERY), "server {server}: {at:?}");
    }
    let first: Vec<Time> = (0..3).filter_map(|s| Some(seen.iter().find(|p| p.1 == s)?.0)).collect();
    assert!(first.iter().max() > first.iter().min(), "all in one moment: {first:?}");
}

/// Where the settings forbid it nobody is asked, and the mechanism goes by the delay of set-ups alone.
#[test]
fn nobody_is_asked_where_the_settings_forbid_it() {
    let mut s = Script::new(settings(), 3);
    assert_eq!(calls(&mut s, 10 * S, &mut 0, None), []);
}

/// Probes are work for the servers: one that sees few calls asks seldom, and one that sees none not at all.
#[test]
fn calls_pay_for_probes() {
    let mut s = Script::new(allowed(), 8);
    assert_eq!(asked(&s.pass(10 * S)), []);
    let mut next = 0;
    let mut seen = Vec::new();
    for _ in 0..10 {
        next += 1;
        let mut actions = s.event(Event::Call(call(next, 0)));
        for (id, server) in starts(&actions) {
            s.stood(id, server, 10 * MS);
        }
        actions.extend(s.pass(2 * S));
        for server in asked(&actions) {
            seen.push(server);
            s.event(probed(server, 0.5));
        }
    }
    assert_eq!(seen.len(), (10.0 * A_CALL) as usize);
    // The oldest figure first: no server twice while another was never asked.
    let mut once = seen.clone();
    once.sort_unstable();
    once.dedup();
    assert_eq!(once.len(), seen.len(), "{seen:?}");
}

/// What probes may cost is bounded by their price in the settings. Guards a fleet in which they are dear: half a probe a call
/// took 0.04 off the result where one a call costs about 0.1.
#[test]
fn probes_that_are_dear_are_few() {
    for (price, wanted) in [(0.0, 100), (0.004, 100), (0.1, 4), (1.0, 0)] {
        let mut s = Script::new(Settings { probe_price: price, ..allowed() }, 64);
        let mut seen: usize = 0;
        for id in 1..=200 {
            s.event(Event::Call(call(id, 0)));
            for server in asked(&s.pass(S)) {
                seen += 1;
                s.event(probed(server, 0.5));
            }
        }
        assert!(seen.abs_diff(wanted) <= 1, "{price}: {seen}");
    }
}

/// Guards the servers against a burst of probes after a time without any to ask.
#[test]
fn what_is_saved_up_is_bounded() {
    let mut s = Script::new(allowed(), 0);
    for id in 1..=100 {
        s.event(Event::Call(call(id, 0)));
    }
    s.event(Event::List(ListKind::Changes, (0..20).map(|id| entry(id, State::Ready)).collect()));
    assert_eq!(asked(&s.pass(5 * S)).len(), SAVED as usize);
}

/// A server that drains or is gone is asked no more, nor one that the whole list leaves out; a failed list changes
/// nothing.
#[test]
fn servers_that_drain_or_are_gone_are_not_asked() {
    let mut s = Script::new(allowed(), 4);
    let mut next = 0;
    s.event(Event::List(ListKind::Changes, vec![entry(0, State::Draining), entry(1, State::Gone)]));
    s.event(Event::List(ListKind::Failed, Vec::new()));
    let seen = calls(&mut s, 3 * S, &mut next, Some(0.5));
    assert!(seen.iter().all(|p| p.1 >= 2) && seen.iter().any(|p| p.1 == 2), "{seen:?}");
    s.event(Event::List(ListKind::Whole, vec![entry(3, State::Ready)]));
    let seen = calls(&mut s, 3 * S, &mut next, Some(0.5));
    assert!(seen.iter().all(|p| p.1 == 3) && !seen.is_empty(), "{seen:?}");
}

/// While an answer is owed the server is not asked again; one of which nothing is ever heard is asked again later, and
/// an end without a figure frees it at its usual time.
#[test]
fn one_probe_is_out_at_a_server() {
    let mut s = Script::new(allowed(), 1);
    let mut next = 0;
    let seen = calls(&mut s, 4 * S, &mut next, None);
    assert_eq!(seen.len(), 1, "{seen:?}");
    s.event(Event::Probed { server: 0, passed: false, report: None });
    let again = calls(&mut s, S / 10, &mut next, None);
    assert_eq!(again.len(), 1, "its last figure is old: {again:?}");
    let seen = calls(&mut s, 2 * LOST, &mut next, None);
    assert!(!seen.is_empty() && seen[0].0 - again[0].0 >= LOST, "{again:?} {seen:?}");
}

/// A probe that is lost is no news: the server keeps its calls. One of a server unknown by now is nothing.
#[test]
fn a_lost_probe_harms_no_call() {
    let mut s = Script::new(allowed(), 2);
    s.event(Event::Probed { server: 0, passed: false, report: None });
    s.event(Event::Probed { server: 99, passed: true, report: report(0.5) });
    assert_eq!(starts(&s.event(Event::Call(call(1, 0)))), [(1, 0)]);
}

/// Calls that one server takes in ten seconds, of the twenty a second that come, where it tells this occupancy.
fn taken(occupancy: f64) -> usize {
    let mut s = Script::new(allowed(), 1);
    let mut next = 0;
    calls(&mut s, 10 * S, &mut next, Some(0.5));
    let before = s.seen.len();
    calls(&mut s, 10 * S, &mut next, Some(occupancy));
    s.seen[before..].iter().filter(|(_, a)| matches!(a, Action::Start { .. })).count()
}

/// The windows follow what probes tell, with set-ups that all stand at once.
#[test]
fn the_windows_follow_what_probes_tell() {
    let (idle, busy, odd) = (taken(0.5), taken(1.0), taken(f64::NAN));
    assert!(idle >= 190 && busy < idle * 9 / 10, "{idle} and {busy}");
    assert!(odd >= 190, "a figure that cannot be true: {odd}");
}

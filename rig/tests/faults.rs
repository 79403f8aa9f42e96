//! Every kind of fault makes a difference that can be named, in the emulator; and the rules are kept throughout.

use fernspan_model::callers::Fate;
use fernspan_model::check::Checker;
use fernspan_model::report::Record;
use fernspan_model::scenario::{self, Kind};
use fernspan_rig::emulate::Emulator;

/// Plays a small fleet with these faults, as JSON.
fn play(faults: &str) -> (Record, Checker) {
    let text = format!(
        r#"{{"name": "t", "seconds": 12, "settle_s": 10, "sites": ["a", "b"],
        "proxies": {{"count": 4}}, "servers": [{{"count": 4, "rate": 20}}],
        "callers": {{"rate": 40, "hold_ms": 3000}}, "list": {{"planned_ms": [300, 500], "lost_ms": [1500, 2000]}},
        "faults": [{faults}]}}"#
    );
    let scenario = scenario::read(&text).unwrap_or_else(|e| panic!("{e}"));
    let (world, at, _) = Emulator::new(scenario).unwrap_or_else(|e| panic!("{e}")).run();
    world.finish(at)
}

fn kept(checker: &Checker) {
    assert!(checker.broken().is_empty(), "{:?}", checker.broken());
}

/// Set-ups that arrived at a server between two seconds.
fn arrived(record: &Record, server: usize, from: f64, until: f64) -> u64 {
    let within = |at: u64| (from..until).contains(&(at as f64 / 1e6));
    record.samples.iter().filter(|s| s.server == server && within(s.at)).map(|s| s.did.setups).sum()
}

fn stood(record: &Record, server: usize, from: f64, until: f64) -> u64 {
    let within = |at: u64| (from..until).contains(&(at as f64 / 1e6));
    record.samples.iter().filter(|s| s.server == server && within(s.at)).map(|s| s.did.stood).sum()
}

fn fate(record: &Record, fate: Fate) -> usize {
    record.people.iter().filter(|p| p.fate == fate).count()
}

#[test]
fn without_faults_nobody_is_cut_or_lost() {
    let (record, checker) = play("");
    kept(&checker);
    assert_eq!(fate(&record, Fate::Cut) + fate(&record, Fate::Lost) + fate(&record, Fate::Failed), 0);
    assert_eq!(record.falls, 0);
    assert!(record.service(0, 12_000_000) > Some(0.8), "{:?}", record.service(0, 12_000_000));
}

#[test]
fn the_same_seed_gives_the_same_run_to_the_last_caller() {
    let faults = r#"{"at_s": 4, "for_s": 2, "kind": "kill", "proxies": ["50%"]}"#;
    let (a, _) = play(faults);
    let (b, _) = play(faults);
    assert_eq!(a.people, b.people);
    assert_eq!(a.samples, b.samples);
}

/// Paths that carry nothing, or nothing in one direction: no set-up of the cut-off proxies stands at the server.
#[test]
fn a_dropped_stalled_or_one_way_path_lets_no_call_stand() {
    for kind in ["drop", "stall", "to-server", "to-proxy"] {
        let (record, checker) = play(&format!(
            r#"{{"at_s": 4, "for_s": 4, "kind": "{kind}", "servers": ["s0"], "proxies": ["all"]}}"#
        ));
        kept(&checker);
        // What was on its way as it began may still stand there; nobody hears of it where answers are held.
        let arrives = arrived(&record, 0, 5.0, 8.0);
        match kind {
            "to-proxy" => assert!(arrives < 20, "{kind}: {arrives}"),
            _ => assert_eq!(arrives, 0, "{kind}"),
        }
        assert!(arrived(&record, 1, 5.0, 8.0) > 10, "{kind}: the others go on");
        assert!(arrived(&record, 0, 9.5, 12.0) > 0, "{kind}: it is used again");
    }
}

/// What is held comes later; what is dropped never does.
#[test]
fn a_stall_passes_on_later_what_a_drop_loses() {
    let at = |kind: &str| {
        let (record, checker) = play(&format!(
            r#"{{"at_s": 4, "for_s": 1, "kind": "{kind}", "servers": ["all"], "proxies": ["p0"]}}"#
        ));
        kept(&checker);
        record
    };
    let (stall, drop) = (at("stall"), at("drop"));
    let late = |r: &Record| {
        r.people
            .iter()
            .filter(|p| (4_000_000..5_000_000).contains(&p.first) && p.stood_after > Some(500_000))
            .count()
    };
    assert!(late(&stall) > 0);
    let connects = |r: &Record| r.connections;
    assert!(connects(&drop) > connects(&stall), "connections that were dropped are made anew");
}

#[test]
fn a_half_open_path_is_found_out_and_left() {
    let (record, checker) =
        play(r#"{"at_s": 4, "kind": "half-open", "servers": ["all"], "proxies": ["all"]}"#);
    kept(&checker);
    let slow = |r: &Record| {
        let late = |p: &&fernspan_model::report::Person| {
            (3_500_000..5_000_000).contains(&p.first) && p.stood_after.is_none_or(|after| after > 400_000)
        };
        r.people.iter().filter(late).count()
    };
    let (calm, _) = play("");
    assert!(slow(&record) > slow(&calm) + 5, "{} and {}", slow(&record), slow(&calm));
    assert!(arrived(&record, 0, 7.0, 12.0) > 10, "it is used on new connections");
}

#[test]
fn a_reset_costs_connections_and_no_standing_call() {
    let (calm, _) = play("");
    let (record, checker) = play(r#"{"at_s": 4, "kind": "reset", "servers": ["all"], "proxies": ["all"]}"#);
    kept(&checker);
    assert!(record.connections >= calm.connections + 16, "{} of {}", record.connections, calm.connections);
    assert_eq!(fate(&record, Fate::Cut), 0);
}

#[test]
fn a_server_that_refuses_connections_keeps_those_that_it_has() {
    let (record, checker) =
        play(r#"{"at_s": 4, "for_s": 4, "kind": "refuse", "servers": ["s0"], "proxies": ["all"]}"#);
    kept(&checker);
    assert!(arrived(&record, 0, 5.0, 8.0) > 5, "the connections there are go on");
    assert_eq!(fate(&record, Fate::Cut), 0);
}

#[test]
fn a_slow_server_gets_and_does_less() {
    let (calm, _) = play("");
    let (record, checker) = play(r#"{"at_s": 2, "for_s": 9, "kind": "slow", "servers": ["s0"], "by": 5}"#);
    kept(&checker);
    let (slow, usual) = (stood(&record, 0, 5.0, 11.0), stood(&calm, 0, 5.0, 11.0));
    assert!(slow * 2 < usual, "{slow} of {usual}");
}

#[test]
fn an_erring_or_deaf_server_lets_fewer_calls_stand() {
    let (calm, _) = play("");
    for kind in [r#""erring", "by": 1"#, r#""deaf""#] {
        let (record, checker) =
            play(&format!(r#"{{"at_s": 2, "for_s": 9, "servers": ["s0"], "kind": {kind}}}"#));
        kept(&checker);
        assert_eq!(stood(&record, 0, 3.0, 11.0), 0, "{kind}");
        assert!(stood(&calm, 0, 3.0, 11.0) > 10);
        assert!(stood(&record, 1, 3.0, 11.0) > 10, "{kind}: the others go on");
    }
}

/// Calls at a server that has gone are cut; it returns cold and is not pushed over.
#[test]
fn a_silent_or_crashed_server_cuts_its_calls_and_returns_cold() {
    for kind in ["silent", "crash"] {
        let (record, checker) =
            play(&format!(r#"{{"at_s": 4, "for_s": 3, "kind": "{kind}", "servers": ["s0"]}}"#));
        kept(&checker);
        assert!(fate(&record, Fate::Cut) > 5, "{kind}: {}", fate(&record, Fate::Cut));
        assert_eq!(arrived(&record, 0, 5.0, 6.9), 0, "{kind}");
        let back: Vec<f64> =
            record.samples.iter().filter(|s| s.server == 0 && s.at > 7_100_000).map(|s| s.capacity).collect();
        assert!(back[0] < 0.4 * 20.0 && back[back.len() - 1] > back[0], "{kind}: {back:?}");
        assert_eq!(record.falls, 0);
    }
}

#[test]
fn a_replaced_or_drained_server_gets_nothing_new() {
    for kind in ["replace", "drain"] {
        let (record, checker) =
            play(&format!(r#"{{"at_s": 3, "for_s": 4, "kind": "{kind}", "servers": ["s0"]}}"#));
        kept(&checker);
        // Told within 0.7 s, and a second to stop.
        assert_eq!(arrived(&record, 0, 4.8, 6.9), 0, "{kind}");
        assert!(arrived(&record, 0, 9.0, 12.0) > 0, "{kind}: it, or the one in its place, is used again");
    }
}

#[test]
fn a_killed_proxy_loses_what_it_had_and_comes_back() {
    let (record, checker) = play(r#"{"at_s": 4, "for_s": 2, "kind": "kill", "proxies": ["p0", "p1"]}"#);
    kept(&checker);
    let serving = |at: f64| record.serving[(at * 10.0) as usize];
    assert_eq!((serving(3.0), serving(5.0), serving(8.0)), (4, 2, 4));
}

/// All connections are reset at the moment in which proxies die, stop and end: their next ones are just opening.
#[test]
fn a_proxy_may_die_while_its_connections_open() {
    let (record, checker) = play(
        r#"{"at_s": 4, "kind": "reset", "servers": ["all"], "proxies": ["all"]},
        {"at_s": 4.0001, "for_s": 1, "kind": "kill", "proxies": ["p0"]},
        {"at_s": 4.0001, "for_s": 1, "kind": "pause", "proxies": ["p1"]},
        {"at_s": 4.0001, "for_s": 1, "kind": "restart", "proxies": ["p2"]}"#,
    );
    kept(&checker);
    assert_eq!((record.serving[30], record.serving[100]), (4, 4));
    assert!(record.service(8_000_000, 12_000_000) > Some(0.7));
}

#[test]
fn a_stopped_proxy_answers_nothing_and_goes_on() {
    let (record, checker) =
        play(r#"{"at_s": 4, "for_s": 3, "kind": "pause", "proxies": ["p0", "p1", "p2"]}"#);
    kept(&checker);
    let waited = |p: &&fernspan_model::report::Person| {
        (4_100_000..5_500_000).contains(&p.first) && p.stood_after.is_none_or(|after| after > 1_200_000)
    };
    assert!(record.people.iter().filter(waited).count() > 20);
    assert!(record.service(9_000_000, 12_000_000) > Some(0.7));
}

/// Guards against a clock that is believed: one that has stepped ahead while the process was stopped.
#[test]
fn a_clock_that_steps_while_a_proxy_is_stopped_breaks_nothing() {
    let stop = r#"{"at_s": 4, "for_s": 1, "kind": "pause", "proxies": ["all"]"#;
    let (plain, checker) = play(&format!("{stop}}}"));
    kept(&checker);
    let (stepped, checker) = play(&format!(r#"{stop}, "step_ms": 5000}}"#));
    kept(&checker);
    // What was held as it stopped is past its time by the new clock, and is refused.
    let refused = |r: &Record| r.people.iter().filter(|p| p.cause == 42 || p.tries > 1).count();
    assert!(refused(&stepped) > refused(&plain), "{} and {}", refused(&stepped), refused(&plain));
    let after = stepped.service(6_000_000, 12_000_000);
    assert!(after > Some(0.7), "{after:?}");
}

#[test]
fn planned_restarts_and_replacements_of_proxies_lose_nothing() {
    for kind in [r#""restart", "for_s": 2"#, r#""swap""#] {
        let (record, checker) = play(&format!(r#"{{"at_s": 4, "proxies": ["p0", "p1"], "kind": {kind}}}"#));
        kept(&checker);
        assert_eq!(fate(&record, Fate::Lost), 0, "{kind}");
        assert_eq!(record.serving[100], 4, "{kind}");
    }
}

/// What a silent channel has to tell counts as told, and comes once it speaks.
#[test]
fn a_silent_command_channel_delays_what_its_proxies_know() {
    let drain = r#"{"at_s": 4, "for_s": 7, "kind": "drain", "servers": ["s0"]}"#;
    let (_, checker) = play(drain);
    kept(&checker);
    let (record, checker) =
        play(&format!(r#"{drain}, {{"at_s": 3, "for_s": 4, "kind": "channel", "proxies": ["all"]}}"#));
    kept(&checker);
    assert!(arrived(&record, 0, 5.8, 7.0) > 0, "nobody knows yet");
    assert_eq!(arrived(&record, 0, 8.5, 11.0), 0, "now all do");
}

/// The list above has every kind.
#[test]
fn no_kind_of_fault_is_left_out() {
    let tests = include_str!("faults.rs");
    let all = [
        Kind::Drop,
        Kind::Stall,
        Kind::ToServer,
        Kind::ToProxy,
        Kind::HalfOpen,
        Kind::Reset,
        Kind::Refuse,
        Kind::Slow,
        Kind::Silent,
        Kind::Erring,
        Kind::Deaf,
        Kind::Crash,
        Kind::Replace,
        Kind::Drain,
        Kind::Kill,
        Kind::Pause,
        Kind::Restart,
        Kind::Swap,
        Kind::Channel,
    ];
    for kind in all {
        assert!(tests.contains(&format!("\"{}\"", kind.name())), "{}", kind.name());
    }
}

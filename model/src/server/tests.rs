use super::*;

fn spec(rate: f64, lines: u32) -> Servers {
    Servers {
        site: None,
        count: 1,
        rate,
        lines,
        connections: 10,
        refuse_past_ms: 1_000.0,
        refresh_ms: [100.0, 100.0],
    }
}

fn server(rate: f64, lines: u32, started: Option<Time>) -> Server {
    Server::new(&spec(rate, lines), &Rules::default(), 1, started, 0)
}

fn run(server: &mut Server, until: Time) -> Vec<Does> {
    let mut out = Vec::new();
    server.run(until, &mut out);
    out
}

#[test]
fn a_call_costs_work_from_set_up_to_release_and_gives_its_line_back() {
    let mut s = server(10.0, 4, None);
    let mut out = Vec::new();
    s.setup(0, 7, true, &mut out);
    assert_eq!(s.state().free, 3);
    out.extend(run(&mut s, 200_000));
    assert!(out.contains(&Does::Stands(7)), "{out:?}");
    s.hold(200_000, 7, 50_000);
    let out = run(&mut s, 500_000);
    assert!(out.contains(&Does::Releases(7)), "{out:?}");
    assert_eq!(s.state().free, 4);
    assert!((s.tally.work - 0.1).abs() < 1e-9, "{:?}", s.tally);
    assert_eq!(s.tally.wasted, 0.0);
}

#[test]
fn past_its_wait_it_refuses_and_says_how_long_to_stay_away_and_that_costs_work() {
    let mut s = server(10.0, 100, None);
    let mut out = Vec::new();
    (0..40).for_each(|id| s.setup(0, id, true, &mut out));
    let waits: Vec<Time> = out
        .iter()
        .filter_map(|d| match d {
            Does::Refuses(_, No::Throttled(wait)) => Some(*wait),
            _ => None,
        })
        .collect();
    assert!(!waits.is_empty() && waits.iter().all(|w| *w > 1_000_000), "{waits:?}");
    run(&mut s, 10_000_000);
    let wasted = waits.len() as f64 * REFUSAL / 10.0;
    assert!((s.tally.wasted - wasted).abs() < 1e-9, "{:?}", s.tally);
}

#[test]
fn without_a_line_it_refuses_and_a_given_up_set_up_is_dropped_without_work() {
    let mut s = server(10.0, 1, None);
    let mut out = Vec::new();
    s.setup(0, 1, true, &mut out);
    s.setup(0, 2, true, &mut out);
    assert!(out.contains(&Does::Refuses(2, No::Congestion)), "{out:?}");
    let mut busy = server(1.0, 10, None);
    (0..2).for_each(|id| busy.setup(0, id, true, &mut out));
    busy.give_up(1, 1, &mut out);
    run(&mut busy, 20_000_000);
    assert!((busy.tally.work - 0.75).abs() < 1e-9, "{:?}", busy.tally);
}

#[test]
fn a_cold_server_bears_twice_what_it_can_do_and_no_more() {
    // 0.31 of 20 a second at first, twice that for a second, and the slack.
    let bears = (2.0 * 0.31 * 20.0 + FALL_SLACK) as u64;
    for (more, falls) in [(0, false), (1, true)] {
        let mut s = server(20.0, 400, Some(0));
        let mut out = Vec::new();
        (0..bears + more).for_each(|id| s.setup(1, id, id % 4 == 0, &mut out));
        let share = out.iter().find_map(|d| match d {
            Does::Falls(share) => Some(*share),
            _ => None,
        });
        assert_eq!(share.is_some(), falls);
        assert!(share.is_none_or(|s| s < 0.5));
    }
}

#[test]
fn figures_of_the_processor_are_late_and_those_of_the_lines_are_not() {
    let mut s = server(10.0, 100, None);
    let mut out = Vec::new();
    (0..10).for_each(|id| s.setup(0, id, true, &mut out));
    assert_eq!((s.state().free, s.state().queue, s.state().util), (90, 0, 0.0));
    run(&mut s, 100_000);
    assert!(s.state().queue > 5 && s.state().util > 0.99, "{:?}", s.state());
}

#[test]
fn slow_erring_and_deaf_servers_do_what_they_are_called() {
    let stood = |slower: f64, erring: f64, deaf: bool| {
        let mut s = server(100.0, 100, None);
        s.set_slower(slower);
        s.set_erring(erring);
        s.set_deaf(deaf);
        let mut out = Vec::new();
        (0..10).for_each(|id| s.setup(0, id, true, &mut out));
        out.extend(run(&mut s, 200_000));
        let count = |f: fn(&Does) -> bool| out.iter().filter(|d| f(d)).count();
        (count(|d| matches!(d, Does::Stands(_))), count(|d| matches!(d, Does::Refuses(_, No::Error))))
    };
    assert_eq!(stood(1.0, 0.0, false), (10, 0));
    assert!(stood(5.0, 0.0, false).0 < 10);
    assert_eq!(stood(1.0, 1.0, false), (0, 10));
    assert_eq!(stood(1.0, 0.0, true), (0, 0));
}

use super::*;
use crate::report::Person;
use crate::scenario;
use crate::server::Tally;

/// Two sites with one server of 10 calls a second each; the second is lost from 10 to 20 s. 15 calls a second
/// come; of them the first `served` stand in time.
fn played(served: impl Fn(u64) -> u64, own: impl Fn(u64) -> u64) -> Vec<Loss> {
    let text = r#"{"name":"t","seconds":40,"sites":["a","b"],"proxies":{"count":2},
        "servers":[{"count":2,"rate":10}],"callers":{"rate":15},
        "faults":[{"at_s":10,"for_s":10,"kind":"silent","servers":["@b"]}]}"#;
    let scenario = scenario::read(text).expect("a good scenario");
    let mut record = Record::new(2);
    for second in 0..40_u64 {
        for i in 0..15 {
            let fate = if i < served(second) { Fate::InTime } else { Fate::Refused };
            let first = second * 1_000_000 + i * 60_000;
            record.people.push(Person {
                first,
                channel: 0,
                fate,
                stood_after: None,
                tries: 1,
                second_choice: false,
                cause: 0,
            });
        }
        for tenth in 0..10_u64 {
            for server in 0..2 {
                let lost = server == 1 && (10..20).contains(&second);
                let setups = if tenth > 0 {
                    0
                } else if server == 1 {
                    own(second)
                } else {
                    10
                };
                record.samples.push(Sample {
                    at: second * 1_000_000 + (tenth + 1) * 100_000,
                    server,
                    site: server,
                    did: Tally { setups, ..Tally::default() },
                    rate: 10.0,
                    capacity: if lost { 0.0 } else { 10.0 },
                    calls: 0,
                    queue: 0,
                    connections: 0,
                    room: true,
                });
            }
        }
    }
    losses(&scenario, &record).expect("a good plan")
}

#[test]
fn a_loss_is_judged_by_what_the_remaining_servers_allow() {
    // All that the one remaining server can do: 10 of 15, from 13 s on; nothing between.
    let served = |s| match s {
        10..13 => 0,
        13..20 => 10,
        _ => 15,
    };
    let own = |s| if (10..25).contains(&s) { 0 } else { 10 };
    let [loss] = &played(served, own)[..] else { panic!("one loss") };
    assert_eq!(loss.sites, ["b"]);
    assert!((loss.remaining - 10.0).abs() < 0.2 && (loss.offered - 15.0).abs() < 0.2, "{loss:?}");
    // From 12 s to 20 s: seven good seconds of eight.
    assert!((loss.kept - 7.0 / 8.0).abs() < 0.02, "{loss:?}");
    assert!(loss.moved_s.is_some_and(|s| (2.5..3.1).contains(&s)), "{loss:?}");
    assert!(loss.full_s.is_some_and(|s| (4.0..5.1).contains(&s)), "{loss:?}");
    assert!((loss.after - 1.0).abs() < 1e-9, "{loss:?}");
}

#[test]
fn a_site_that_is_never_used_again_has_no_such_time() {
    let [loss] = &played(|_| 15, |s| if s < 10 { 10 } else { 0 })[..] else { panic!("one loss") };
    assert_eq!((loss.used_s, loss.full_s), (None, None));
    assert_eq!(loss.moved_s, Some(0.0));
}

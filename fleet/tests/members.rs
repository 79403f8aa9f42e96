//! Whole members in virtual time: who is believed to be there, and what that costs; and what is not believed.

use fernspan_fleet::emulate::{Emulated, Network, address, settings};
use fernspan_fleet::members::{Belief, Fares, Members, News, Word};
use fernspan_fleet::message::{Body, MOST, Message};
use fernspan_fleet::node::Node;
use fernspan_fleet::settings as file;
use fernspan_fleet::shares::{Say, Seat, Who};
use std::net::SocketAddrV4;

const S: u64 = 1_000_000;

fn fleet(seats: u16, seed: u64) -> Emulated {
    let mut fleet = Emulated::new(settings(seats, 100 * u64::from(seats), 10), Network::CALM, seed);
    (0..seats).for_each(|seat| fleet.start(seat, vec![200]));
    fleet.pass(20 * S, S);
    fleet
}

fn fares(fleet: &Emulated, by: Seat, of: Seat) -> Option<Fares> {
    fleet.node(by).and_then(|n| n.members().belief(of)).map(|b| b.fares)
}

fn all_believe(fleet: &Emulated, seats: u16, of: Seat, fares_: Fares) -> bool {
    (0..seats)
        .filter(|by| *by != of && fleet.node(*by).is_some())
        .all(|by| fares(fleet, by, of) == Some(fares_))
}

#[test]
fn all_come_to_know_all_from_three_seeds() {
    let fleet = fleet(40, 1);
    for seat in 0..40 {
        assert_eq!(fleet.node(seat).expect("a member").members().alive(), 40, "{seat}");
    }
}

/// A hundred join in one second.
#[test]
fn a_hundred_join_at_once() {
    let mut fleet = Emulated::new(settings(140, 14_000, 10), Network::CALM, 2);
    (0..40).for_each(|seat| fleet.start(seat, vec![300]));
    fleet.pass(15 * S, S);
    (40..140).for_each(|seat| fleet.start(seat, vec![300]));
    fleet.pass(2 * S, 100_000);
    let short = (40..140).filter(|s| fleet.share(*s, 0) < 80).count();
    assert!(short < 5, "{short} of a hundred have no part after two seconds");
    fleet.pass(20 * S, 100_000);
    assert!((0..140).all(|s| fleet.node(s).is_some_and(|n| n.members().alive() == 140)));
    assert!(fleet.most[0] <= 14_000, "{:?}", fleet.most);
}

#[test]
fn a_crash_is_found_out_and_a_return_is_a_new_member() {
    let mut fleet = fleet(20, 3);
    fleet.kill(7);
    fleet.pass(12 * S, S);
    assert!(all_believe(&fleet, 20, 7, Fares::Dead));
    fleet.start(7, vec![200]);
    fleet.pass(6 * S, S);
    assert!(all_believe(&fleet, 20, 7, Fares::Well));
    let run = fleet.node(3).and_then(|n| n.members().belief(7)).map(|b| b.run);
    assert_eq!(run, Some(2));
}

/// One that stood still is suspected, objects, and is believed.
#[test]
fn a_pause_is_forgiven() {
    let mut fleet = fleet(20, 4);
    fleet.stop(7, 8 * S);
    fleet.pass(9 * S, S);
    fleet.pass(8 * S, S);
    assert!(all_believe(&fleet, 20, 7, Fares::Well));
    let belief = fleet.node(3).and_then(|n| n.members().belief(7)).expect("a belief");
    assert!(belief.objected > 0 && belief.run == 1, "{belief:?}");
    // And the one that stood still blames nobody.
    assert_eq!(fleet.node(7).expect("a member").members().alive(), 20);
}

#[test]
fn two_halves_think_each_other_dead_and_find_together_again() {
    let mut fleet = fleet(16, 5);
    fleet.side = (8..16).collect();
    fleet.pass(15 * S, S);
    assert_eq!(fares(&fleet, 1, 12), Some(Fares::Dead));
    assert_eq!(fares(&fleet, 12, 1), Some(Fares::Dead));
    fleet.side.clear();
    fleet.pass(40 * S, S);
    for seat in 0..16 {
        assert_eq!(fleet.node(seat).expect("a member").members().alive(), 16, "{seat}");
    }
}

/// Messages and bytes a member and second do not grow with the fleet.
#[test]
fn what_a_member_sends_does_not_grow_with_the_fleet() {
    let cost = |seats: u16| {
        let mut fleet = fleet(seats, 6);
        // Until the news of their joining has been passed on.
        fleet.pass(60 * S, S);
        let before = fleet.sent;
        fleet.pass(10 * S, S);
        let a_second = |n: u64| n as f64 / 10.0 / f64::from(seats);
        (a_second(fleet.sent.0 - before.0), a_second(fleet.sent.1 - before.1))
    };
    let (small, large) = (cost(10), cost(100));
    assert!(large.0 < 1.3 * small.0, "{small:?} {large:?} messages and bytes");
    assert!(large.1 < 2.0 * small.1, "{small:?} {large:?}");
}

/// Whatever is late, lost and doubled, whoever stops and crashes: never above the whole.
#[test]
fn whole_members_keep_the_whole() {
    for seed in 0..6 {
        let rough = Network { loss: 0.05, double: 0.05, late: (500, 150_000) };
        let mut fleet = Emulated::new(settings(16, 1_600, 10), rough, seed);
        (0..16).for_each(|seat| fleet.start(seat, vec![400]));
        fleet.pass(6 * S, 5_000);
        for round in 0..12u16 {
            let seat = (round * 7 + seed as u16) % 16;
            match round % 4 {
                0 => fleet.kill(seat),
                1 => fleet.stop(seat, 3 * S),
                2 => fleet.side = (0..16).filter(|s| (s * 5 + round) % 3 == 0).collect(),
                _ => {
                    fleet.side.clear();
                    for seat in 0..16 {
                        if fleet.node(seat).is_none() {
                            fleet.start(seat, vec![400]);
                        }
                    }
                }
            }
            fleet.pass(2 * S, 5_000);
        }
        assert!(fleet.most[0] <= 1_600 && fleet.most[0] > 1_000, "seed {seed}: {:?}", fleet.most);
    }
}

#[test]
fn of_two_beliefs_the_greater_holds_in_any_order() {
    let at = address(5);
    let news = |run, objected, fares| News { seat: 5, at, belief: Belief { run, objected, fares } };
    let all = [
        news(1, 0, Fares::Well),
        news(1, 0, Fares::Dead),
        news(1, 1, Fares::Well),
        news(2, 0, Fares::Suspect),
    ];
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1], [1, 3, 0, 2]] {
        let mut members = Members::new(Who { seat: 1, run: 1 }, address(1), 0);
        order.iter().for_each(|i| members.believe(0, all[*i]));
        assert_eq!(members.belief(5), Some(all[3].belief), "{order:?}");
    }
}

#[test]
fn a_doubted_member_objects() {
    let mut members = Members::new(Who { seat: 5, run: 3 }, address(5), 0);
    let doubt =
        |run, objected, fares| News { seat: 5, at: address(5), belief: Belief { run, objected, fares } };
    members.believe(0, doubt(2, 9, Fares::Dead));
    assert_eq!(members.news()[0].belief.objected, 0, "of an earlier start");
    members.believe(0, doubt(3, 0, Fares::Dead));
    assert_eq!(members.news()[0].belief, Belief { run: 3, objected: 1, fares: Fares::Well });
}

#[test]
fn garbage_strangers_and_earlier_starts_are_dropped_and_counted() {
    let mut node = Node::new(settings(16, 1_600, 10), 5, 40, address(5), 0);
    let mut out = Vec::new();
    let from = Who { seat: 1, run: 9 };
    let message = |from, to, run, body| Message { from, to, run, body, news: Vec::new() }.write();
    let good = message(from, 5, 0, Body::Word(Word::Ping(1)));
    node.datagram(0, address(1), &good, &mut out);
    assert_eq!(out.len(), 1, "a ping is answered");
    let stranger: SocketAddrV4 = "10.0.0.9:7000".parse().expect("an address");
    node.datagram(0, stranger, &good, &mut out);
    for length in 0..good.len() {
        node.datagram(0, address(1), &good[..length], &mut out);
    }
    let mut long = good.clone();
    long.push(0);
    node.datagram(0, address(1), &long, &mut out);
    node.datagram(0, address(1), &[0; MOST + 1], &mut out);
    let mut version = good.clone();
    version[4] = 2;
    node.datagram(0, address(1), &version, &mut out);
    let unknown = message(Who { seat: 16, run: 1 }, 5, 0, Body::Word(Word::Ping(1)));
    node.datagram(0, address(1), &unknown, &mut out);
    assert_eq!(node.counts.strangers, 1);
    assert_eq!(node.counts.garbage, good.len() as u64 + 4);
    // For another seat, for an earlier start of this one, from an earlier start, and under its own name.
    let grant = Say::Grant { number: 1, grant: 1, lasts: S, parts: vec![1_000] };
    for (from, to, run) in
        [(from, 6, 0), (from, 5, 39), (Who { seat: 1, run: 8 }, 5, 40), (Who { seat: 5, run: 41 }, 5, 40)]
    {
        node.datagram(0, address(1), &message(from, to, run, Body::Say(grant.clone())), &mut out);
    }
    assert_eq!((node.counts.stale, node.share(0, 1)), (4, 10));
    assert_eq!(out.len(), 1);
}

#[test]
fn messages_are_read_as_written() {
    let at = address(300);
    let news = vec![News { seat: 300, at, belief: Belief { run: 7, objected: 2, fares: Fares::Left } }; 24];
    let bodies = [
        Body::Word(Word::Ack(3, 300)),
        Body::Word(Word::Try(4, 2)),
        Body::Word(Word::Join),
        Body::Say(Say::Promised { round: 5, to: 2 }),
        Body::Say(Say::Ask { number: 9, holds: 8, wants: vec![u64::MAX; 64] }),
        Body::Say(Say::Grant { number: 9, grant: 3, lasts: 77, parts: vec![5; 64] }),
        Body::Say(Say::Elsewhere { number: 9, seat: None }),
    ];
    for body in bodies {
        let message = Message { from: Who { seat: 1, run: 2 }, to: 3, run: 4, body, news: news.clone() };
        let bytes = message.write();
        assert!(bytes.len() <= MOST);
        assert_eq!(Message::read(&bytes), Some(message));
    }
}

#[test]
fn a_bad_file_is_turned_down_with_its_field() {
    let good = r#"{"seats": 8, "voters": [{"seat": 0, "at": "127.0.0.1:7000"}], "networks": ["127.0.0.0/8"],
        "budgets": [{"name": "a", "whole": 100, "floor": 10}]}"#;
    assert!(file::read(good).is_ok());
    for (from, to, field) in [
        (r#""seats": 8"#, r#""seats": 0"#, "seats"),
        (r#""seats": 8"#, r#""seats": 11"#, "budgets[0].floor"),
        (r#""seat": 0"#, r#""seat": 8"#, "voters[0].seat"),
        ("127.0.0.1:7000", "10.0.0.1:7000", "voters[0].at"),
        ("127.0.0.0/8", "127.0.0.0/40", "networks[0]"),
        (r#""whole": 100"#, r#""whole": -1"#, "budgets[0].whole"),
        (r#""name": "a""#, r#""name": """#, "budgets[0].name"),
        (r#""seats": 8"#, r#""seats": 8, "term_ms": 10"#, "term_ms"),
        (r#""seats": 8"#, r#""seats": 8, "drift_ppm": 900000"#, "drift_ppm"),
        (r#""seats": 8"#, r#""seats": 8, "sets": 1"#, "sets"),
    ] {
        let bad = file::read(&good.replace(from, to)).expect_err(field);
        assert_eq!(bad.field, field, "{bad}");
    }
}

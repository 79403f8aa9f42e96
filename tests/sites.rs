//! What a node believes of sites, by scripted words of servers.

mod common;
use common::{MS, S};
use fernspan_core::refusal::{self, Refusal};
use fernspan_core::sites::{Change, Sites, TRUST};
use fernspan_core::*;
use proptest::prelude::*;

/// Servers 0 to 11, four to a site, that tell their state about once a second.
struct Node {
    sites: Sites,
    now: Time,
    /// Per server: when it speaks next, and whether it does.
    next: [Time; 12],
    speaks: [bool; 12],
    gap: fn(u32, u64) -> Time,
    said: u64,
    changes: Vec<(Time, Change)>,
}

fn site_of(server: u32) -> u32 {
    server / 4
}

fn entry(server: u32, state: State) -> Entry {
    Entry { server, zone: site_of(server), place: Place::from(server), started: None, state }
}

fn state(busy: f64) -> Report {
    Report { free: Some(100.0 - busy), lines: Some(100.0), ..Report::default() }
}

impl Node {
    /// One whose servers have spoken for ten seconds.
    fn new(servers: u32) -> Node {
        Node::with(servers, |server, said| S + 20 * MS * (Time::from(server) * 7 + said) % 200)
    }

    fn with(servers: u32, gap: fn(u32, u64) -> Time) -> Node {
        let mut node = Node {
            sites: Sites::default(),
            now: 100 * S,
            next: std::array::from_fn(|i| 100 * S + i as Time * 83 * MS),
            speaks: std::array::from_fn(|i| (i as u32) < servers),
            gap,
            said: 0,
            changes: Vec::new(),
        };
        let list = (0..servers).map(|s| entry(s, State::Ready)).collect();
        node.sites.hear(node.now, &Event::List(ListKind::Saved, list));
        node.pass(10 * S);
        assert!(node.changes.is_empty(), "{:?}", node.changes);
        node
    }

    fn pass(&mut self, span: Time) {
        let until = self.now + span;
        while self.now < until {
            self.now += 25 * MS;
            for server in 0..12 {
                if self.next[server] <= self.now {
                    self.said += 1;
                    self.next[server] = self.now + (self.gap)(server as u32, self.said);
                    if self.speaks[server] {
                        self.sites.hear(self.now, &Event::Room(server as u32, state(40.0)));
                    }
                }
            }
            let changes = self.sites.turn(self.now);
            self.changes.extend(changes.into_iter().map(|c| (self.now, c)));
        }
    }

    fn site_speaks(&mut self, site: u32, speaks: bool) {
        for server in 0..12 {
            if site_of(server) == site {
                self.speaks[server as usize] = speaks;
                self.next[server as usize] = self.now + Time::from(server) * 83 * MS % S;
            }
        }
    }

    /// Loses a site; gives how long that took to be noticed.
    fn lose(&mut self, site: u32) -> Time {
        let from = self.now;
        self.changes.clear();
        self.site_speaks(site, false);
        self.pass(4 * S);
        let lost: Vec<u32> = self.lost();
        assert_eq!(lost, (site * 4..site * 4 + 4).collect::<Vec<_>>(), "{:?}", self.changes);
        let at = self.changes[0].0;
        self.changes.clear();
        at - from
    }

    fn lost(&self) -> Vec<u32> {
        let lost =
            self.changes.iter().filter_map(|(_, c)| if let Change::Lost(s) = c { Some(*s) } else { None });
        lost.collect()
    }

    fn back(&self) -> Vec<(u32, bool)> {
        let back = self.changes.iter().filter_map(|(_, c)| match c {
            Change::Back { server, cold } => Some((*server, *cold)),
            _ => None,
        });
        back.collect()
    }
}

#[test]
fn a_silent_site_is_lost_as_a_whole_within_seconds() {
    let mut node = Node::new(12);
    let took = node.lose(1);
    assert!((500 * MS..2_500 * MS).contains(&took), "{took}");
}

#[test]
fn set_ups_without_an_answer_show_it_sooner() {
    let mut slow = Node::new(12);
    let without = slow.lose(1);
    let mut node = Node::new(12);
    node.site_speaks(1, false);
    for (call, server) in [(1, 4), (2, 5), (3, 6)] {
        node.sites.sent(node.now, call, server);
    }
    let from = node.now;
    node.pass(4 * S);
    let with = node.changes[0].0 - from;
    assert!(with < without, "{with} with, {without} without");
}

#[test]
fn one_silent_server_is_no_lost_site() {
    let mut node = Node::new(12);
    node.speaks[5] = false;
    node.pass(60 * S);
    assert!(node.changes.is_empty(), "{:?}", node.changes);
}

#[test]
fn a_node_that_hears_nobody_blames_nobody() {
    // Cut off for half a second up to five, and heard again one site after the other.
    for tenths in 5..50 {
        let mut node = Node::new(12);
        node.speaks = [false; 12];
        node.pass(tenths * 100 * MS);
        for site in 0..3 {
            node.site_speaks(site, true);
        }
        node.pass(10 * S);
        assert!(node.changes.is_empty(), "{tenths}: {:?}", node.changes);
    }
}

#[test]
fn a_node_that_stood_still_blames_nobody() {
    let mut node = Node::new(12);
    node.now += 5 * S;
    node.pass(10 * S);
    assert!(node.changes.is_empty(), "{:?}", node.changes);
}

#[test]
fn a_slow_site_that_speaks_is_not_lost() {
    let mut node = Node::new(12);
    for call in 0..40 {
        node.sites.sent(node.now, call, 4 + call as u32 % 4);
        node.pass(250 * MS);
    }
    assert!(node.changes.is_empty(), "no set-up was answered, but all spoke: {:?}", node.changes);
}

#[test]
fn two_sites_at_once_and_the_only_one() {
    let mut node = Node::new(12);
    node.site_speaks(0, false);
    node.site_speaks(2, false);
    node.pass(4 * S);
    let mut lost = node.lost();
    lost.sort_unstable();
    assert_eq!(lost, [0, 1, 2, 3, 8, 9, 10, 11]);
    // With one site there is no telling whether it is gone or this node is cut off: nothing changes.
    let mut one = Node::new(4);
    one.site_speaks(0, false);
    one.pass(10 * S);
    assert!(one.changes.is_empty());
}

#[test]
fn a_site_that_drains_may_fall_silent() {
    let mut node = Node::new(12);
    let drains = (4..8).map(|s| entry(s, State::Draining)).collect();
    node.sites.hear(node.now, &Event::List(ListKind::Changes, drains));
    node.site_speaks(1, false);
    node.pass(20 * S);
    assert!(node.changes.is_empty(), "{:?}", node.changes);
}

#[test]
fn a_return_is_warm_where_the_process_is_the_same() {
    // On a connection that it had spoken on before.
    let mut node = Node::new(12);
    node.lose(1);
    node.sites.hear(node.now, &Event::Spoke { server: 4, fresh: false });
    node.pass(50 * MS);
    assert_eq!(node.back(), [(4, false)]);
    // On a new one, with the lines in use that there were.
    node.sites.hear(node.now, &Event::Spoke { server: 5, fresh: true });
    node.sites.hear(node.now, &Event::Room(5, state(30.0)));
    node.pass(50 * MS);
    assert_eq!(node.back(), [(4, false), (5, false)]);
}

#[test]
fn a_return_is_cold_where_it_may_be_another_process() {
    let mut node = Node::new(12);
    node.lose(1);
    node.sites.hear(node.now, &Event::Spoke { server: 4, fresh: true });
    node.pass(25 * MS);
    assert!(node.back().is_empty(), "a connection that is up says nothing yet");
    node.sites.hear(node.now, &Event::Room(4, state(0.0)));
    node.pass(50 * MS);
    assert_eq!(node.back(), [(4, true)]);
    // The others are worth a look, and come back by their own word.
    let looks: Vec<Change> =
        node.changes.iter().map(|c| c.1).filter(|c| matches!(c, Change::Look(_))).collect();
    assert_eq!(looks, [Change::Look(5), Change::Look(6), Change::Look(7)]);
    assert!(node.sites.lost(5) && !node.sites.lost(4));
}

#[test]
fn a_site_that_flaps_has_to_speak_for_longer_each_time() {
    let mut node = Node::new(12);
    let mut waits = Vec::new();
    for _ in 0..4 {
        node.lose(1);
        let from = node.now;
        node.site_speaks(1, true);
        node.pass(9 * S);
        waits.push(
            node.changes.iter().find(|c| matches!(c.1, Change::Back { .. })).expect("it is back").0 - from,
        );
    }
    let at_least = [0, TRUST, 2 * TRUST, 4 * TRUST];
    for (wait, least) in waits.iter().zip(at_least) {
        assert!((least..least + 1_200 * MS).contains(wait), "{waits:?}");
    }
}

#[test]
fn a_site_is_lost_again_while_it_returns() {
    let mut node = Node::new(12);
    node.lose(1);
    node.sites.hear(node.now, &Event::Room(4, state(0.0)));
    node.pass(50 * MS);
    assert_eq!(node.back(), [(4, true)]);
    node.changes.clear();
    node.site_speaks(1, false);
    node.pass(20 * S);
    // The one that spoke is alone, and its silence its own affair; the others never came back.
    assert!(node.back().is_empty() && (5..8).all(|s| node.sites.lost(s)), "{:?}", node.changes);
}

#[test]
fn others_at_a_lost_place_are_not_lost() {
    let mut node = Node::new(8);
    node.site_speaks(1, false);
    node.pass(4 * S);
    assert!(node.sites.lost(4));
    let gone = Entry { state: State::Gone, ..entry(4, State::Ready) };
    let new = Entry { server: 20, ..entry(4, State::Ready) };
    node.sites.hear(node.now, &Event::List(ListKind::Changes, vec![gone, new]));
    assert!(!node.sites.lost(20) && !node.sites.lost(4));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Servers that speak at uneven times, each for itself, are never taken for a lost site.
    #[test]
    fn uneven_words_are_no_silence(seed in 0u64..1_000) {
        let mut node = Node::with(12, |server, said| {
            let draw = (said * 31 + Time::from(server)).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
            700 * MS + draw % 700 * MS
        });
        node.said = seed * 1_000;
        node.pass(120 * S);
        prop_assert!(node.changes.is_empty(), "{:?}", node.changes);
    }
}

fn claim(
    settings: &Settings,
    refusal: &mut Refusal,
    now: Time,
    number: &str,
    tenant: usize,
) -> refusal::Claim {
    let new = NewCall { number: number.to_owned(), tenant: Some(tenant), ..common::call(1, 0) };
    refusal.arrive(now, &new, settings)
}

#[test]
fn refused_first_is_what_is_beyond_its_share_then_late_redials_then_late_calls() {
    let tenants = vec![Tenant { share: 0.5 }, Tenant { share: 0.5 }];
    let settings = Settings { tenants, over_share_worth: 0.05, ..common::settings() };
    let mut refusal = Refusal::new(&settings);
    let first = claim(&settings, &mut refusal, S, "a", 0);
    let again = claim(&settings, &mut refusal, 3 * S, "a", 1);
    assert!(!first.redial && again.redial && again.goal_at == first.goal_at);
    let over =
        (0..20).map(|n| claim(&settings, &mut refusal, 4 * S, &format!("n{n}"), 0)).last().expect("one");
    assert!(over.over_share, "one tenant made all of twenty calls");
    let value = |class, claim, late| refusal::value(&settings, class, claim, late);
    let order = [
        value(0, over, false),
        value(0, again, true),
        value(0, first, true),
        value(0, first, false),
        value(1, first, false),
    ];
    assert!(
        order.is_sorted() && order[0] < order[1] && order[1] < order[2] && order[2] < order[3],
        "{order:?}"
    );
    refusal.stood("a".to_owned(), 0);
    assert!(!claim(&settings, &mut refusal, 5 * S, "a", 1).redial, "it stood: the next call is a new one");
}

#[test]
fn those_refused_in_one_wave_come_back_spread() {
    let settings = common::settings();
    assert_eq!(refusal::hold_off(&settings, None), Some(2 * S));
    assert_eq!(refusal::hold_off(&settings, Some(0)), Some(S));
    assert_eq!(refusal::hold_off(&settings, Some(u32::MAX)), Some(2 * S));
    let none = Settings { max_hold_off: None, ..settings };
    assert_eq!(refusal::hold_off(&none, Some(7)), None);
}

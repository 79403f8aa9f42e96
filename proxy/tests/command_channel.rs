//! The connections to a command channel that is slow, crowded, silent or down, in virtual time and without sockets.

use fernspan::discovery::follower::{ChannelFollower, Command, ConnectionEvent, ConnectionId};
use fernspan::limits::ChannelLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
const STEP: u64 = 10 * MS;
/// The channel says something every second.
const HEARTBEAT: u64 = S;
/// Whatever the channel has to tell counts as told by then.
const TOLD_WITHIN: u64 = 7 * S;
/// The same from when it can be heard, after a call to it that failed or was given up.
const TOLD_AFTER_RETURN: u64 = 6 * S;
/// The same once the channel has stopped while it stays open.
const TOLD_AFTER_STOP: u64 = 4 * S;
/// The same plays each time.
const SEED: u64 = 41;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// It is up, and the channel has not spoken on it.
    Queued,
    Served,
    /// The channel says nothing on it any more.
    Dead,
}

struct Served {
    state: State,
    opened: u64,
    /// When the channel speaks next.
    speaks_at: u64,
}

/// One proxy and what the channel knows of its connections.
struct Proxy {
    follower: ChannelFollower,
    connections: BTreeMap<ConnectionId, Served>,
    connects: usize,
    /// When its latest word came.
    heard: Option<u64>,
}

/// How the channel takes connections.
enum Mode {
    /// It speaks on each after these waits, which go round.
    Waits(Vec<u64>),
    /// It serves one after the other, each in this time, also one that is closed meanwhile.
    Queue(u64),
    Refuses,
    /// It takes them, and says nothing.
    Silent,
    /// Nothing comes up.
    Unreachable,
}

struct Channel {
    now: u64,
    mode: Mode,
    opened: usize,
    queue: VecDeque<(usize, ConnectionId)>,
    turn_ends: u64,
    proxies: Vec<Proxy>,
}

impl Channel {
    fn new(mode: Mode, proxies: usize) -> Channel {
        let now = 1_000 * S;
        let proxy = |n: usize| {
            let mut drawn = n as u64;
            let draw = move || {
                drawn = drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                (drawn >> 11) as f64 / (1_u64 << 53) as f64
            };
            let follower = ChannelFollower::new(ChannelLimits::default(), now, Box::new(draw));
            Proxy { follower, connections: BTreeMap::new(), connects: 0, heard: None }
        };
        let proxies = (0..proxies).map(proxy).collect();
        Channel { now, mode, opened: 0, queue: VecDeque::new(), turn_ends: now, proxies }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.serve_queue();
            for n in 0..self.proxies.len() {
                self.speak(n);
                self.proxies[n].follower.handle_timeout(self.now);
                self.carry_out(n);
            }
        }
    }

    fn event(&mut self, n: usize, id: ConnectionId, event: ConnectionEvent) {
        if event == ConnectionEvent::Line && self.proxies[n].follower.is_open(id) {
            self.proxies[n].heard = Some(self.now);
        }
        self.proxies[n].follower.handle_event(self.now, id, event);
        self.carry_out(n);
    }

    fn carry_out(&mut self, n: usize) {
        for command in self.proxies[n].follower.poll_commands() {
            match command {
                Command::Connect(id) => {
                    self.proxies[n].connects += 1;
                    self.connect(n, id);
                }
                Command::Close(id) => drop(self.proxies[n].connections.remove(&id)),
            }
        }
        let open = self.proxies[n].connections.len();
        assert!(open <= 2, "{open} connections at once");
    }

    fn connect(&mut self, n: usize, id: ConnectionId) {
        let wait = match &self.mode {
            Mode::Unreachable => return,
            Mode::Refuses => {
                self.proxies[n].follower.handle_event(self.now, id, ConnectionEvent::Ended);
                return;
            }
            Mode::Silent => None,
            Mode::Waits(waits) => Some(waits[self.opened % waits.len()]),
            Mode::Queue(_) => {
                self.queue.push_back((n, id));
                None
            }
        };
        self.opened += 1;
        let state =
            if wait.is_some() || matches!(self.mode, Mode::Queue(_)) { State::Queued } else { State::Dead };
        let speaks_at = wait.map_or(u64::MAX, |wait| self.now + wait);
        self.proxies[n].connections.insert(id, Served { state, opened: self.now, speaks_at });
        self.proxies[n].follower.handle_event(self.now, id, ConnectionEvent::Up);
    }

    fn serve_queue(&mut self) {
        let Mode::Queue(span) = self.mode else { return };
        while self.turn_ends <= self.now {
            let Some((n, id)) = self.queue.pop_front() else { return };
            self.turn_ends = self.turn_ends.max(self.now - STEP) + span;
            if let Some(served) = self.proxies[n].connections.get_mut(&id) {
                served.speaks_at = self.now;
            }
        }
    }

    fn speak(&mut self, n: usize) {
        let now = self.now;
        let due: Vec<ConnectionId> = self.proxies[n]
            .connections
            .iter()
            .filter(|(_, served)| served.state != State::Dead && served.speaks_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            if let Some(served) = self.proxies[n].connections.get_mut(&id) {
                served.state = State::Served;
                served.speaks_at = now + HEARTBEAT;
            }
            self.event(n, id, ConnectionEvent::Line);
        }
    }

    /// From now on it says nothing on the connections that are open.
    fn stop(&mut self) {
        for served in self.proxies.iter_mut().flat_map(|p| p.connections.values_mut()) {
            served.state = State::Dead;
        }
    }

    /// All connections break.
    fn break_off(&mut self) {
        self.queue.clear();
        for n in 0..self.proxies.len() {
            for (id, _) in std::mem::take(&mut self.proxies[n].connections) {
                self.event(n, id, ConnectionEvent::Ended);
            }
        }
    }

    /// How long it takes from now until all have heard something.
    fn told(&mut self) -> u64 {
        let from = self.now;
        let untold = |channel: &Channel| channel.proxies.iter().any(|p| p.heard.is_none_or(|at| at <= from));
        while untold(self) {
            assert!(self.now < from + 60 * S, "never told");
            self.run(STEP);
        }
        self.now - from
    }
}

/// Guards a drain against a channel whose first word takes long, at whatever wait that lets it count as told, at the start,
/// after a break, and after a move: each try ended the one before, and none was ever heard.
#[test]
fn a_slow_channel_is_heard_at_any_wait() {
    for wait in (0..70).map(|tenths| tenths * 100 * MS) {
        let mut channel = Channel::new(Mode::Waits(vec![wait]), 1);
        assert!(channel.told() <= TOLD_WITHIN, "{wait}");
        channel.run(3 * S);
        channel.break_off();
        assert!(channel.told() <= TOLD_WITHIN + S, "{wait} after a break");
        channel.run(3 * S);
        channel.proxies[0].follower.handle_move(channel.now);
        channel.carry_out(0);
        assert!(channel.told() <= TOLD_WITHIN, "{wait} after a move");
    }
}

/// The same with waits that change from one connection to the next.
#[test]
fn a_channel_whose_waits_change_is_heard() {
    for waits in [vec![6_900, 100], vec![4_000, 6_500], vec![6_500, 4_000, 300], vec![100, 6_900]] {
        let mut channel = Channel::new(Mode::Waits(waits.iter().map(|ms| ms * MS).collect()), 1);
        for _ in 0..6 {
            assert!(channel.told() <= TOLD_WITHIN + S, "{waits:?}");
            channel.run(2_500 * MS);
            channel.break_off();
        }
    }
}

/// A channel that is quick and stops while it stays open is left soon, whatever else it has taken and does not serve.
#[test]
fn a_channel_that_stops_is_left_soon() {
    let mut channel = Channel::new(Mode::Waits(vec![0]), 20);
    channel.run(10 * S);
    channel.stop();
    assert!(channel.told() <= TOLD_AFTER_STOP);
}

/// Guards changes after an outage: whatever became of the calls within it, one that can be heard is made in time.
#[test]
fn a_channel_that_returns_is_heard_in_time() {
    for outage in [Mode::Refuses, Mode::Silent, Mode::Unreachable] {
        let mut channel = Channel::new(outage, 20);
        for tenths in 0..70 {
            channel.run(10 * S + tenths * 100 * MS);
            let outage = std::mem::replace(&mut channel.mode, Mode::Waits(vec![0]));
            assert!(channel.told() <= TOLD_AFTER_RETURN, "after {} ms", channel.now / MS);
            channel.mode = outage;
            channel.stop();
        }
    }
}

/// 100 proxies at a channel that serves fifteen connections a second: all are heard in time, each on its first connection or its
/// second. A channel with less to give than that cannot be heard by all within the 7 s.
#[test]
fn a_crowd_at_a_channel_of_fixed_capacity_is_heard() {
    let mut channel = Channel::new(Mode::Queue(S / 15), 100);
    assert!(channel.told() <= TOLD_WITHIN);
    channel.run(10 * S);
    let before: usize = channel.proxies.iter().map(|p| p.connects).sum();
    channel.break_off();
    assert!(channel.told() <= TOLD_WITHIN);
    let connects = channel.proxies.iter().map(|p| p.connects).sum::<usize>() - before;
    assert!(connects <= 200, "{connects} connects after a break");
}

/// Guards a channel that serves nobody against proxies that come again and again: 100 of them open fewer than 22 connections a
/// second.
#[test]
fn few_connections_are_opened_to_a_silent_channel() {
    let mut channel = Channel::new(Mode::Silent, 100);
    channel.run(60 * S);
    let connects: usize = channel.proxies.iter().map(|p| p.connects).sum();
    assert!(connects < 60 * 22, "{connects} in a minute");
}

#[derive(Clone, Debug)]
enum Fault {
    Run(u16),
    Stop,
    BreakOff,
    Move,
    Waits(Vec<u16>),
    Silent,
    Refuses,
    Unreachable,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => (10..8_000_u16).prop_map(Fault::Run),
        1 => Just(Fault::Stop),
        1 => Just(Fault::BreakOff),
        1 => Just(Fault::Move),
        2 => prop::collection::vec(0..6_900_u16, 1..4).prop_map(Fault::Waits),
        1 => Just(Fault::Silent),
        1 => Just(Fault::Refuses),
        1 => Just(Fault::Unreachable),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever became of the channel before: once it serves each connection within a time that lets all count as told, it is
    /// heard within that and the wait for the next connection, and followed from then on.
    #[test]
    fn a_channel_that_serves_is_heard_and_followed(
        faults in prop::collection::vec(fault(), 0..20),
        wait in 0..6_900_u64,
    ) {
        let mut channel = Channel::new(Mode::Waits(vec![0]), 1);
        for fault in faults {
            match fault {
                Fault::Run(ms) => channel.run(u64::from(ms) * MS),
                Fault::Stop => channel.stop(),
                Fault::BreakOff => channel.break_off(),
                Fault::Move => {
                    channel.proxies[0].follower.handle_move(channel.now);
                    channel.carry_out(0);
                }
                Fault::Waits(waits) => {
                    channel.mode = Mode::Waits(waits.into_iter().map(|ms| u64::from(ms) * MS).collect());
                }
                Fault::Silent => channel.mode = Mode::Silent,
                Fault::Refuses => channel.mode = Mode::Refuses,
                Fault::Unreachable => channel.mode = Mode::Unreachable,
            }
        }
        channel.mode = Mode::Waits(vec![wait * MS]);
        channel.stop();
        let told = channel.told();
        prop_assert!(told <= wait * MS + 5 * S, "{told} with a wait of {wait} ms");
        // Nothing else than its end ends the one that is followed.
        channel.run(S);
        let connects = channel.proxies[0].connects;
        channel.run(60 * S);
        prop_assert_eq!(channel.proxies[0].connects, connects);
    }
}

/// A connection is given more than the 7 s, unless another speaks first.
#[test]
fn a_connection_that_waits_is_kept_for_longer_than_all_may_take() {
    let mut channel = Channel::new(Mode::Silent, 10);
    for _ in 0..6_000 {
        let before: Vec<Vec<(ConnectionId, u64)>> = channel
            .proxies
            .iter()
            .map(|p| p.connections.iter().map(|(id, served)| (*id, served.opened)).collect())
            .collect();
        channel.run(STEP);
        for (proxy, before) in channel.proxies.iter().zip(before) {
            for (id, opened) in before {
                let kept = channel.now - opened;
                assert!(proxy.connections.contains_key(&id) || kept > TOLD_WITHIN, "closed after {kept}");
            }
        }
    }
}

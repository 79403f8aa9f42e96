//! A fleet of members in virtual time: the same nodes that run on sockets, with a network that is late, loses, doubles
//! and cuts, clocks that run fast and slow, and processes that stop, crash and come back. The same seed gives the same
//! run.

use crate::node::{Datagram, Node};
use crate::settings::{Settings, Voter, Whole};
use crate::shares::{Amount, Run, Seat, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};

/// What the network does.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Share that comes twice.
    pub double: f64,
    /// Shortest and longest time on the way, us.
    pub late: (Time, Time),
}

impl Network {
    /// A good one.
    pub const CALM: Network = Network { loss: 0.0, double: 0.0, late: (500, 5_000) };
}

struct Slot {
    node: Node,
    /// Its clock's rate, in parts of a million, and its reading at the run's begin.
    rate: u64,
    zero: Time,
    /// Stopped until then; what comes waits.
    still: Time,
    wake: Time,
}

impl Slot {
    fn clock(&self, now: Time) -> Time {
        self.zero + (u128::from(now) * u128::from(self.rate) / 1_000_000) as Time
    }

    /// Real time of a reading of its clock, not before `now`.
    fn real(&self, clock: Time, now: Time) -> Time {
        let passed = clock.saturating_sub(self.zero);
        ((u128::from(passed) * 1_000_000).div_ceil(u128::from(self.rate)) as Time).max(now + 100)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake(Seat),
    Datagram(Seat, SocketAddrV4, Vec<u8>),
}

/// A run.
pub struct Emulated {
    settings: Settings,
    network: Network,
    rng: Pcg64,
    now: Time,
    slots: BTreeMap<Seat, Slot>,
    runs: BTreeMap<Seat, Run>,
    dues: BinaryHeap<Reverse<(Time, u64, Due)>>,
    sequence: u64,
    /// Members on one side of a cut.
    pub side: BTreeSet<Seat>,
    /// The most that all together could use of each budget at any moment that was looked at.
    pub most: Vec<Amount>,
    /// Datagrams and bytes sent so far.
    pub sent: (u64, u64),
}

/// Where a seat is reached.
pub fn address(seat: Seat) -> SocketAddrV4 {
    let [high, low] = seat.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 1 + high, low, 1), 7_000)
}

/// Settings of so many seats with one budget, whose voters are the first three.
pub fn settings(seats: u16, whole: Amount, floor: Amount) -> Settings {
    Settings {
        seats,
        voters: (0..3).map(|seat| Voter { seat, at: address(seat) }).collect(),
        networks: vec![ipnet::Ipv4Net::new_assert(Ipv4Addr::new(127, 0, 0, 0), 8)],
        budgets: vec![Whole { name: "setups".to_owned(), whole, floor }],
        lease_ms: 1_000,
        term_ms: 1_500,
        drift_ppm: 1_000,
        via: BTreeMap::new(),
    }
}

impl Emulated {
    /// A fleet with no member yet.
    pub fn new(settings: Settings, network: Network, seed: u64) -> Emulated {
        Emulated {
            most: vec![0; settings.budgets.len()],
            settings,
            network,
            rng: Pcg64::seed_from_u64(seed),
            now: 0,
            slots: BTreeMap::new(),
            runs: BTreeMap::new(),
            dues: BinaryHeap::new(),
            sequence: 0,
            side: BTreeSet::new(),
            sent: (0, 0),
        }
    }

    /// The time, us.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Starts a seat's process, which wants this.
    pub fn start(&mut self, seat: Seat, wants: Vec<Amount>) {
        let run = self.runs.entry(seat).or_default();
        *run += 1;
        let run = *run;
        let drift = self.settings.drift_ppm;
        let rate = self.rng.random_range(1_000_000 - drift..=1_000_000 + drift);
        let zero = self.rng.random_range(1_000_000..1_000_000_000);
        let clock = zero + (u128::from(self.now) * u128::from(rate) / 1_000_000) as Time;
        let mut node = Node::new(self.settings.clone(), seat, run, address(seat), clock);
        node.want(wants);
        self.slots.insert(seat, Slot { node, rate, zero, still: 0, wake: self.now });
        // Not all in one moment.
        let first = self.now + self.rng.random_range(0..20_000);
        self.wake(seat, first);
    }

    /// Ends a seat's process without a word.
    pub fn kill(&mut self, seat: Seat) {
        self.slots.remove(&seat);
    }

    /// Stops a process for a while.
    pub fn stop(&mut self, seat: Seat, span: Time) {
        let until = self.now + span;
        if let Some(slot) = self.slots.get_mut(&seat) {
            slot.still = until;
        }
        self.wake(seat, until + 1);
    }

    /// A member.
    pub fn node(&self, seat: Seat) -> Option<&Node> {
        self.slots.get(&seat).map(|s| &s.node)
    }

    /// What a member could use of a budget now, by its own clock.
    pub fn share(&self, seat: Seat, budget: usize) -> Amount {
        self.slots.get(&seat).map_or(0, |s| s.node.share(budget, s.clock(self.now)))
    }

    /// Whether a member may grant now.
    pub fn allocates(&self, seat: Seat) -> bool {
        self.slots.get(&seat).is_some_and(|s| s.node.shares().allocates(s.clock(self.now)))
    }

    /// The sum of what all could use now, with the floors of seats that nobody holds: they are reserved.
    pub fn sum(&self, budget: usize) -> Amount {
        let floor = self.settings.budgets[budget].floor;
        let parts: Amount = self.slots.keys().map(|s| self.share(*s, budget) - floor).sum();
        parts + floor * Amount::from(self.settings.seats)
    }

    fn at(&mut self, time: Time, due: Due) {
        self.sequence += 1;
        self.dues.push(Reverse((time, self.sequence, due)));
    }

    fn wake(&mut self, seat: Seat, at: Time) {
        if let Some(slot) = self.slots.get_mut(&seat) {
            slot.wake = at;
            self.at(at, Due::Wake(seat));
        }
    }

    fn send(&mut self, from: Seat, datagrams: Vec<Datagram>) {
        for (to, bytes) in datagrams {
            self.sent.0 += 1;
            self.sent.1 += bytes.len() as u64;
            let octets = to.ip().octets();
            let seat = Seat::from_be_bytes([octets[1] - 1, octets[2]]);
            if self.side.contains(&from) != self.side.contains(&seat) {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random_bool(self.network.double));
            for copy in 0..copies {
                if self.rng.random_bool(self.network.loss) {
                    continue;
                }
                let (least, most) = self.network.late;
                let most = if copy > 0 { most * 10 } else { most };
                let at = self.now + self.rng.random_range(least..=most);
                self.at(at, Due::Datagram(seat, address(from), bytes.clone()));
            }
        }
    }

    /// Lets time pass; the sum is looked at every `look` us, and whatever has changed in between counts from then.
    pub fn pass(&mut self, span: Time, look: Time) {
        let until = self.now + span;
        let mut look_at = self.now;
        while let Some(Reverse((at, ..))) = self.dues.peek() {
            let at = (*at).max(self.now);
            while look_at <= at.min(until) {
                self.now = self.now.max(look_at);
                self.look();
                look_at += look.max(1);
            }
            if at > until {
                break;
            }
            self.now = at;
            if let Some(Reverse((_, _, due))) = self.dues.pop() {
                self.happen(due);
            }
        }
        self.now = until;
    }

    fn happen(&mut self, due: Due) {
        let (seat, mut out) = (
            match &due {
                Due::Wake(s) | Due::Datagram(s, ..) => *s,
            },
            Vec::new(),
        );
        let now = self.now;
        let Some(slot) = self.slots.get_mut(&seat) else { return };
        if slot.still > now {
            let later = slot.still;
            if matches!(due, Due::Datagram(..)) {
                self.at(later, due);
            }
            return;
        }
        let clock = slot.clock(now);
        match due {
            Due::Wake(_) if slot.wake != now => return,
            Due::Wake(_) => {}
            Due::Datagram(_, from, bytes) => slot.node.datagram(clock, from, &bytes, &mut out),
        }
        if clock >= slot.node.due() {
            slot.node.turn(clock, &mut out);
        }
        let next = slot.real(slot.node.due(), now);
        if next != slot.wake {
            self.wake(seat, next);
        }
        self.send(seat, out);
    }

    fn look(&mut self) {
        for budget in 0..self.settings.budgets.len() {
            let sum = self.sum(budget);
            self.most[budget] = self.most[budget].max(sum);
        }
    }
}

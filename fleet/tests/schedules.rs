//! Long random schedules: members with clocks that are fast or slow, messages that are late, lost, doubled and
//! overtaken, processes that crash, start anew and stand still, and cuts between them. The sum of what all may use is
//! looked at after every step, by each member's own clock.

use fernspan_fleet::shares::{Amount, Budget, Mistake, Rules, Run, Say, Seat, Send, Shares, Time, Who};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

const MS: Time = 1_000;
const S: Time = 1_000_000;

fn rules(seats: u16, mistake: Option<Mistake>) -> Rules {
    Rules {
        seats,
        voters: vec![0, 1, 2],
        budgets: vec![Budget { whole: 10_000, floor: 20 }, Budget { whole: 600, floor: 0 }],
        lease: S,
        term: 1_500 * MS,
        drift_ppm: 10_000,
        mistake,
    }
}

/// How a world treats its members.
#[derive(Clone, Copy)]
struct Weather {
    loss: f64,
    double: f64,
    late: (Time, Time),
    /// Crashes, stalls and cuts a second.
    crashes: f64,
    stalls: f64,
    cuts: f64,
}

const CALM: Weather =
    Weather { loss: 0.0, double: 0.0, late: (MS, 5 * MS), crashes: 0.0, stalls: 0.0, cuts: 0.0 };
const ROUGH: Weather =
    Weather { loss: 0.05, double: 0.1, late: (MS, 120 * MS), crashes: 0.3, stalls: 0.6, cuts: 0.1 };

struct Process {
    shares: Shares,
    who: Who,
    /// Its clock's rate in parts of a million, and its reading at real time 0.
    rate: u64,
    zero: Time,
    /// Stands still until then.
    still: Time,
    wants: Vec<Amount>,
}

impl Process {
    fn clock(&self, now: Time) -> Time {
        self.zero + (u128::from(now) * u128::from(self.rate) / 1_000_000) as Time
    }
}

struct Fleet {
    rng: Pcg64,
    rules: Rules,
    weather: Weather,
    now: Time,
    members: BTreeMap<Seat, Process>,
    /// Processes that were started anew while an old one of their seat stood still: none here; a seat has one process.
    runs: BTreeMap<Seat, Run>,
    down: BTreeMap<Seat, Time>,
    wires: BTreeMap<(Time, u64), (Who, Send)>,
    sequence: u64,
    cut: Option<(BTreeSet<Seat>, Time)>,
    most: Vec<Amount>,
    messages: u64,
}

impl Fleet {
    fn new(seed: u64, rules: Rules, weather: Weather) -> Fleet {
        let mut fleet = Fleet {
            rng: Pcg64::seed_from_u64(seed),
            most: vec![0; rules.budgets.len()],
            rules,
            weather,
            now: 0,
            members: BTreeMap::new(),
            runs: BTreeMap::new(),
            down: BTreeMap::new(),
            wires: BTreeMap::new(),
            sequence: 0,
            cut: None,
            messages: 0,
        };
        for seat in 0..fleet.rules.seats {
            fleet.start(seat);
        }
        fleet
    }

    fn chance(&mut self, a_second: f64, step: Time) -> bool {
        self.rng.random_bool((a_second * step as f64 / S as f64).clamp(0.0, 1.0))
    }

    fn start(&mut self, seat: Seat) {
        let run = self.runs.entry(seat).or_default();
        *run += 1;
        let who = Who { seat, run: *run };
        let drift = self.rules.drift_ppm;
        let rate = match self.rng.random_range(0..3) {
            0 => 1_000_000 - drift,
            1 => 1_000_000 + drift,
            _ => self.rng.random_range(1_000_000 - drift..=1_000_000 + drift),
        };
        let zero = self.rng.random_range(S..1_000 * S);
        let wants = vec![500, 30];
        let mut process =
            Process { shares: Shares::new(self.rules.clone(), who, 0), who, rate, zero, still: 0, wants };
        process.shares = Shares::new(self.rules.clone(), who, process.clock(self.now));
        process.shares.want(process.wants.clone());
        self.members.insert(seat, process);
    }

    fn send(&mut self, from: Who, sends: Vec<Send>) {
        for send in sends {
            self.messages += 1;
            let copies = 1 + usize::from(self.rng.random_bool(self.weather.double));
            for copy in 0..copies {
                if self.rng.random_bool(self.weather.loss) {
                    continue;
                }
                let (least, most) = self.weather.late;
                // A copy, and one in ten of the rest, comes much later, overtaken by what follows.
                let most = if copy > 0 || self.rng.random_bool(0.1) { 20 * most } else { most };
                let at = self.now + self.rng.random_range(least..=most);
                self.sequence += 1;
                self.wires.insert((at, self.sequence), (from, send.clone()));
            }
        }
    }

    fn apart(&self, a: Seat, b: Seat) -> bool {
        self.cut
            .as_ref()
            .is_some_and(|(side, until)| self.now < *until && side.contains(&a) != side.contains(&b))
    }

    /// One step of 5 ms.
    fn step(&mut self) {
        const STEP: Time = 5 * MS;
        self.now += STEP;
        let now = self.now;
        while let Some((key, (from, send))) = self.wires.first_key_value().map(|(k, v)| (*k, v.clone())) {
            if key.0 > now {
                break;
            }
            self.wires.remove(&key);
            if self.apart(from.seat, send.to) {
                continue;
            }
            // What comes for one that stands still waits in its socket.
            let Some(process) = self.members.get_mut(&send.to) else { continue };
            if process.still > now {
                let later = process.still + 1;
                self.sequence += 1;
                self.wires.insert((later, self.sequence), (from, send));
                continue;
            }
            if send.run.is_some_and(|run| run != process.who.run) {
                continue;
            }
            let (clock, who, mut out) = (process.clock(now), process.who, Vec::new());
            process.shares.hear(clock, from, send.say, &mut out);
            self.send(who, out);
        }
        let seats: Vec<Seat> = self.members.keys().copied().collect();
        for seat in seats {
            let Some(process) = self.members.get_mut(&seat).filter(|p| p.still <= now) else { continue };
            let (clock, who, mut out) = (process.clock(now), process.who, Vec::new());
            process.shares.turn(clock, &mut out);
            self.send(who, out);
        }
        self.trouble(STEP);
        self.look();
    }

    fn trouble(&mut self, step: Time) {
        let seat = self.rng.random_range(0..self.rules.seats);
        if self.chance(self.weather.crashes, step) && self.members.remove(&seat).is_some() {
            let again = self.now + self.rng.random_range(10 * MS..3 * S);
            self.down.insert(seat, again);
        }
        let back: Vec<Seat> = self.down.iter().filter(|(_, at)| **at <= self.now).map(|(s, _)| *s).collect();
        for seat in back {
            self.down.remove(&seat);
            self.start(seat);
        }
        if self.chance(self.weather.stalls, step) {
            let still = self.now + self.rng.random_range(10 * MS..5 * S);
            if let Some(process) = self.members.get_mut(&seat) {
                process.still = still;
            }
        }
        if self.cut.as_ref().is_none_or(|(_, until)| self.now >= *until)
            && self.chance(self.weather.cuts, step)
        {
            let side = (0..self.rules.seats).filter(|_| self.rng.random_bool(0.5)).collect();
            self.cut = Some((side, self.now + self.rng.random_range(S..6 * S)));
        }
    }

    /// The sum of what all processes may use now, also those that stand still: the next thing they do may be a use.
    fn sum(&self, budget: usize) -> Amount {
        let floors = Amount::from(self.rules.seats) * self.rules.budgets[budget].floor;
        let parts =
            |p: &Process| p.shares.share(budget, p.clock(self.now)) - self.rules.budgets[budget].floor;
        floors + self.members.values().map(parts).sum::<Amount>()
    }

    fn look(&mut self) {
        for budget in 0..self.rules.budgets.len() {
            self.most[budget] = self.most[budget].max(self.sum(budget));
        }
    }

    fn over(&self) -> bool {
        self.rules.budgets.iter().zip(&self.most).any(|(b, most)| *most > b.whole)
    }

    fn pass(&mut self, span: Time) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    fn want(&mut self, seat: Seat, wants: Vec<Amount>) {
        if let Some(process) = self.members.get_mut(&seat) {
            process.wants = wants.clone();
            process.shares.want(wants);
        }
    }
}

#[test]
fn the_sum_is_never_above_the_whole_whatever_happens() {
    for seed in 0..12 {
        let mut fleet = Fleet::new(seed, rules(12, None), ROUGH);
        fleet.pass(60 * S);
        assert!(!fleet.over(), "seed {seed}: {:?}", fleet.most);
        assert!(fleet.most[0] > 2_000, "seed {seed}: hardly anything was ever granted: {:?}", fleet.most);
    }
}

/// The same schedules find deliberate mistakes; one that needs a rarer order of things is left to `checked.rs`.
#[test]
fn mistakes_are_found() {
    let mistakes = [Mistake::CountsFromHearing, Mistake::GrantsTooLong, Mistake::ForgetsGrants];
    for mistake in mistakes {
        let found = (0..40).find(|seed| {
            let mut fleet = Fleet::new(*seed, rules(12, Some(mistake)), ROUGH);
            (0..60).any(|_| {
                fleet.pass(S);
                fleet.over()
            })
        });
        assert!(found.is_some(), "{mistake:?} was not found");
    }
}

/// A calm fleet uses nearly all of its wholes, however uneven the demand.
#[test]
fn hardly_anything_is_idle_while_someone_is_short() {
    let mut fleet = Fleet::new(1, rules(40, None), CALM);
    for seat in 0..40 {
        // Half want nothing; a few want all.
        fleet.want(seat, vec![if seat % 2 == 0 { 0 } else { 300 + 100 * u64::from(seat) }, 40]);
    }
    fleet.pass(8 * S);
    for _ in 0..200 {
        fleet.step();
        assert!(fleet.sum(0) >= 9_500 && fleet.sum(0) <= 10_000, "{}", fleet.sum(0));
        assert!(fleet.sum(1) >= 570 && fleet.sum(1) <= 600, "{}", fleet.sum(1));
    }
}

#[test]
fn a_newcomer_has_its_part_within_two_seconds() {
    let mut fleet = Fleet::new(2, rules(20, None), CALM);
    fleet.members.remove(&9);
    fleet.pass(8 * S);
    fleet.start(9);
    fleet.pass(2 * S);
    let process = &fleet.members[&9];
    let share = process.shares.share(0, process.clock(fleet.now));
    // All want 500, and 10,000 are there for twenty.
    assert!(share >= 450, "{share}");
}

#[test]
fn what_a_member_leaves_is_in_use_within_a_lease_and_a_second() {
    let mut fleet = Fleet::new(3, rules(20, None), CALM);
    for seat in 0..20 {
        fleet.want(seat, vec![900, 30]);
    }
    fleet.pass(8 * S);
    assert!(fleet.sum(0) > 9_500);
    // All but three; the allocator may be among them.
    for seat in 10..20 {
        fleet.members.remove(&seat);
    }
    fleet.pass(2 * S);
    // The dead seats' floors are lost: 20 each.
    assert!(fleet.sum(0) >= 9_000, "{}", fleet.sum(0));
}

#[test]
fn a_successor_allocates_after_the_allocator_has_died() {
    let mut fleet = Fleet::new(4, rules(12, None), CALM);
    fleet.pass(8 * S);
    let allocators = |fleet: &Fleet| -> Vec<Seat> {
        fleet
            .members
            .values()
            .filter(|p| p.shares.allocates(p.clock(fleet.now)))
            .map(|p| p.who.seat)
            .collect()
    };
    let [first] = allocators(&fleet)[..] else { panic!("one allocator: {:?}", allocators(&fleet)) };
    fleet.members.remove(&first);
    fleet.pass(6 * S);
    let [next] = allocators(&fleet)[..] else { panic!("one successor: {:?}", allocators(&fleet)) };
    assert_ne!(first, next);
    assert!(fleet.sum(0) > 5_000, "{}", fleet.sum(0));
}

/// Two halves that each think the other dead: the one with most voters goes on, the other keeps its floors.
#[test]
fn a_half_without_most_voters_keeps_its_floors() {
    let mut fleet = Fleet::new(5, rules(12, None), CALM);
    fleet.pass(8 * S);
    let side: BTreeSet<Seat> = [2, 8, 9, 10, 11].into();
    fleet.cut = Some((side.clone(), fleet.now + 20 * S));
    fleet.pass(8 * S);
    for (seat, process) in &fleet.members {
        let share = process.shares.share(0, process.clock(fleet.now));
        assert_eq!(share == 20, side.contains(seat), "{seat}: {share}");
    }
    fleet.pass(20 * S);
    assert!(fleet.members.values().all(|p| p.shares.share(0, p.clock(fleet.now)) > 20), "it has healed");
    assert!(!fleet.over());
}

/// A holder that stood still past its lease may use nothing but its floor at the very first moment it goes on.
#[test]
fn a_holder_that_stood_still_finds_its_part_gone() {
    let mut fleet = Fleet::new(6, rules(12, None), CALM);
    fleet.pass(8 * S);
    let process = &fleet.members[&7];
    let before = process.clock(fleet.now);
    assert!(process.shares.share(0, before) > 20);
    assert_eq!(process.shares.share(0, before + S), 20, "a lease later, nothing heard meanwhile");
}

#[test]
fn a_smaller_whole_is_kept_after_a_lease() {
    let mut fleet = Fleet::new(7, rules(12, None), CALM);
    fleet.pass(8 * S);
    for process in fleet.members.values_mut() {
        process.shares.set_whole(0, 3_000);
    }
    fleet.pass(1_100 * MS);
    for _ in 0..200 {
        fleet.step();
        assert!(fleet.sum(0) <= 3_000, "{}", fleet.sum(0));
    }
    assert!(fleet.sum(0) > 2_500);
}

#[test]
fn claims_that_cannot_be_true_raise_no_share() {
    let rules = rules(12, None);
    let me = Who { seat: 7, run: 1 };
    let mut shares = Shares::new(rules, me, 0);
    let mut out = Vec::new();
    shares.turn(0, &mut out);
    let asked = out.iter().find_map(|s| match s.say {
        Say::Ask { number, .. } => Some((s.to, number)),
        _ => None,
    });
    let (of, number) = asked.expect("it asks");
    let from = Who { seat: of, run: 1 };
    let grant = |number, parts| Say::Grant { number, grant: 1, lasts: 900 * S, parts };
    // Of another question, of somebody else, of too many budgets, over the pool.
    for (from, say) in
        [(from, grant(number + 1, vec![100, 1])), (Who { seat: of + 1, run: 1 }, grant(number, vec![100, 1]))]
    {
        shares.hear(1, from, say, &mut out);
        assert_eq!(shares.share(0, 2), 20);
    }
    shares.hear(1, from, grant(number, vec![1_000_000, 1]), &mut out);
    assert_eq!((shares.share(0, 2), shares.dropped), (20, 3));
    // The answer to the next question is taken, for a lease at the longest, and once.
    out.clear();
    shares.turn(S, &mut out);
    let next = out.iter().find_map(|s| match s.say {
        Say::Ask { number, .. } => Some((s.to, number)),
        _ => None,
    });
    let (of, number) = next.expect("it asks again");
    let from = Who { seat: of, run: 1 };
    shares.hear(S + 1, from, grant(number, vec![100, 1]), &mut out);
    assert_eq!(shares.share(0, S + 2), 120);
    assert_eq!(shares.share(0, 2 * S), 20, "a lease from when it was asked for");
    shares.hear(2 * S + 1, from, grant(number, vec![100, 1]), &mut out);
    assert_eq!(shares.share(0, 2 * S + 2), 20, "a repeated answer is nothing");
}

//! A model checker goes through all schedules of three members up to a size: messages lost, doubled and overtaken,
//! processes that stand still, crash and start anew, clocks that run fast and slow by the bound. It looks for a state
//! in which what all may use together is over the whole, and finds one for deliberate mistakes. Two that show only
//! after more steps than it can look at are found by the long schedules of `schedules.rs`.

use fernspan_fleet::shares::{Amount, Budget, Mistake, Rules, Run, Seat, Send, Shares, Time, Who};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// One tick of real time, in the clocks' units.
const TICK: Time = 100;
const WHOLE: Amount = 9;
const RATES: [u64; 3] = [90, 110, 100];

fn rules(mistake: Option<Mistake>) -> Rules {
    Rules {
        seats: 3,
        voters: vec![0, 1, 2],
        budgets: vec![Budget { whole: WHOLE, floor: 1 }],
        lease: 4 * TICK,
        term: 6 * TICK,
        drift_ppm: 100_000,
        mistake,
    }
}

fn clock(seat: Seat, now: u64) -> Time {
    now * RATES[seat as usize]
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    members: Vec<Option<Shares>>,
    runs: Vec<Run>,
    still: Option<Seat>,
    wires: BTreeSet<(Who, Send)>,
    /// Crashes, copies and stalls that may still happen.
    left: [u8; 3],
    ticks: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Deliver(Who, Send),
    Copy(Who, Send),
    Lose(Who, Send),
    Crash(Seat),
    Start(Seat),
    Still(Seat),
    GoOn,
}

struct Fleet {
    rules: Rules,
    first: State,
    most_wires: usize,
}

impl State {
    fn who(&self, seat: Seat) -> Who {
        Who { seat, run: self.runs[seat as usize] }
    }

    fn post(&mut self, from: Seat, sends: Vec<Send>) {
        let who = self.who(from);
        self.wires.extend(sends.into_iter().map(|s| (who, s)));
    }

    fn tick(&mut self) {
        self.now += 1;
        for seat in 0..3 {
            if self.still == Some(seat) {
                continue;
            }
            let (now, mut out) = (clock(seat, self.now), Vec::new());
            if let Some(shares) = &mut self.members[seat as usize] {
                shares.turn(now, &mut out);
            }
            self.post(seat, out);
        }
    }

    fn deliver(&mut self, from: Who, send: Send) {
        let (seat, mut out) = (send.to, Vec::new());
        let now = clock(seat, self.now);
        if send.run.is_none_or(|run| run == self.runs[seat as usize])
            && let Some(shares) = &mut self.members[seat as usize]
        {
            shares.hear(now, from, send.say, &mut out);
        }
        self.post(seat, out);
    }

    fn start(&mut self, rules: &Rules, seat: Seat) {
        self.runs[seat as usize] += 1;
        let mut shares = Shares::new(rules.clone(), self.who(seat), clock(seat, self.now));
        shares.want(vec![WHOLE]);
        self.members[seat as usize] = Some(shares);
    }

    /// What all may use now: also who stands still, as the next thing it does may be a use.
    fn sum(&self) -> Amount {
        let of = |seat: Seat| {
            self.members[seat as usize].as_ref().map_or(1, |s| s.share(0, clock(seat, self.now)))
        };
        (0..3).map(of).sum()
    }
}

impl Fleet {
    /// Begins where members 0 and 1 have elected 0, which has granted something; member 2 was out of reach.
    fn new(mistake: Option<Mistake>, left: [u8; 3], ticks: u64) -> Fleet {
        let rules = rules(mistake);
        let mut first = State {
            now: 0,
            members: vec![None; 3],
            runs: vec![0; 3],
            still: None,
            wires: BTreeSet::new(),
            left,
            ticks: 0,
        };
        for seat in 0..3 {
            first.start(&rules, seat);
        }
        let allocates = |s: &State, seat: Seat| {
            s.members[seat as usize].as_ref().is_some_and(|m| m.allocates(clock(seat, s.now)))
        };
        for _ in 0..60 {
            first.tick();
            while let Some((from, send)) = first.wires.pop_first() {
                if from.seat != 2 && send.to != 2 {
                    first.deliver(from, send);
                }
            }
            if allocates(&first, 0) && first.sum() > 3 {
                break;
            }
        }
        assert!(allocates(&first, 0) && first.sum() > 3, "{first:?}");
        first.ticks = first.now + ticks;
        Fleet { rules, first, most_wires: 4 }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.first.clone()]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        if s.now < s.ticks {
            steps.push(Step::Tick);
        }
        for (from, send) in &s.wires {
            if s.still != Some(send.to) {
                steps.push(Step::Deliver(*from, send.clone()));
                if s.left[1] > 0 {
                    steps.push(Step::Copy(*from, send.clone()));
                }
            }
            steps.push(Step::Lose(*from, send.clone()));
        }
        for seat in 0..3 {
            match &s.members[seat as usize] {
                Some(_) if s.left[0] > 0 => steps.push(Step::Crash(seat)),
                Some(_) => {}
                None => steps.push(Step::Start(seat)),
            }
            if s.still.is_none() && s.left[2] > 0 {
                steps.push(Step::Still(seat));
            }
        }
        if s.still.is_some() {
            steps.push(Step::GoOn);
        }
    }

    fn next_state(&self, s: &State, step: Step) -> Option<State> {
        let mut s = s.clone();
        match step {
            Step::Tick => s.tick(),
            Step::Deliver(from, send) => {
                s.wires.remove(&(from, send.clone()));
                s.deliver(from, send);
            }
            Step::Copy(from, send) => {
                s.left[1] -= 1;
                s.deliver(from, send);
            }
            Step::Lose(from, send) => {
                s.wires.remove(&(from, send));
            }
            Step::Crash(seat) => {
                s.left[0] -= 1;
                s.members[seat as usize] = None;
            }
            Step::Start(seat) => s.start(&self.rules, seat),
            Step::Still(seat) => {
                s.left[2] -= 1;
                s.still = Some(seat);
            }
            Step::GoOn => s.still = None,
        }
        (s.wires.len() <= self.most_wires).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("never over the whole", |_, s: &State| s.sum() <= WHOLE)]
    }
}

/// States looked at, and whether one is over the whole.
fn look(mistake: Option<Mistake>, left: [u8; 3], ticks: u64, states: usize) -> (usize, bool) {
    let model = Fleet::new(mistake, left, ticks);
    let checker = model.checker().target_state_count(states).spawn_bfs().join();
    (checker.unique_state_count(), checker.discovery("never over the whole").is_some())
}

#[test]
fn no_schedule_is_over_the_whole() {
    for left in [[1, 0, 0], [0, 1, 0], [0, 0, 1], [2, 1, 1]] {
        let (states, over) = look(None, left, 9, 30_000);
        assert!(!over, "{left:?}");
        assert!(states > 5_000, "{left:?}: {states} states");
    }
}

#[test]
fn a_voter_that_votes_at_once_after_its_start_is_found_out() {
    assert!(look(Some(Mistake::VotesAtOnce), [1, 0, 0], 9, 400_000).1);
}

#[test]
fn forgotten_grants_are_found_out() {
    assert!(look(Some(Mistake::ForgetsGrants), [0, 0, 0], 9, 400_000).1);
}

//! Budgets: wholes that a fleet divides among its members, so that what all use together is never over the whole.
//!
//! Sans I/O and without a clock: each member hands in what it is told, with the time of its own monotonic clock, and
//! sends what comes out. See `docs/FLEET-DESIGN.md` for the ways weighed, and for the proof in words.
//!
//! - Every member has a **floor**, which it may always use. Floors of all seats are part of the whole.
//! - The rest is the **pool**. One of a few **voters** is its **allocator** for as long as a majority of them has
//!   promised it their votes; each promise ends by itself.
//! - Members ask the allocator; it **grants** parts of the pool that end by themselves, and never later than its own
//!   right to grant. So who allocates next begins with an empty book.
//! - A member counts a grant from when it **asked**, the allocator from when it **heard**, by a clock that may be off
//!   by the stated bound: the member stops first.

use std::collections::BTreeMap;

/// A moment of a member's own monotonic clock, or a span, in microseconds.
pub type Time = u64;
/// A member's seat, from 0.
pub type Seat = u16;
/// Which start of a member's process it is; a later one is higher.
pub type Run = u64;
/// An amount of a budget, in its own units.
pub type Amount = u64;

/// What all members are told alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// Seats there are at most.
    pub seats: u16,
    /// Seats whose members vote; an odd number.
    pub voters: Vec<Seat>,
    /// Each budget's whole, and the floor of each seat.
    pub budgets: Vec<Budget>,
    /// How long a grant lasts, by the member's clock, at most.
    pub lease: Time,
    /// How long a vote lasts, by the voter's candidate's clock.
    pub term: Time,
    /// By how much a clock may be fast or slow, in parts of a million.
    pub drift_ppm: u64,
    /// A deliberate mistake, to show that a checker finds it.
    pub mistake: Option<Mistake>,
}

/// Mistakes that a checker has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mistake {
    /// A member counts a grant from when it heard of it.
    CountsFromHearing,
    /// A voter votes as soon as it has started.
    VotesAtOnce,
    /// An allocator grants beyond its own right to.
    GrantsTooLong,
    /// Old grants are forgotten when a new one is made.
    ForgetsGrants,
}

/// One budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// What all members may use together.
    pub whole: Amount,
    /// What each seat may always use.
    pub floor: Amount,
}

impl Budget {
    /// What is granted, beyond the floors.
    pub fn pool(&self, seats: u16) -> Amount {
        self.whole.saturating_sub(self.floor * Amount::from(seats))
    }
}

impl Rules {
    /// How long the giver of a promise has to count a span for which its taker counts `span`. The taker began no later.
    pub fn counted(&self, span: Time) -> Time {
        let (fast, slow) = (1_000_000 + self.drift_ppm, 1_000_000 - self.drift_ppm.min(900_000));
        (u128::from(span) * u128::from(fast)).div_ceil(u128::from(slow)) as Time + 1
    }

    /// The longest span of a taker that a giver counts for no longer than `span`.
    pub fn usable(&self, span: Time) -> Time {
        let (fast, slow) = (1_000_000 + self.drift_ppm, 1_000_000 - self.drift_ppm.min(900_000));
        (u128::from(span.saturating_sub(1)) * u128::from(slow) / u128::from(fast)) as Time
    }

    /// A voter's place among the voters.
    fn rank(&self, seat: Seat) -> u64 {
        self.voters.iter().position(|v| *v == seat).unwrap_or(0) as u64
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Who sends: a seat and the start of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Who {
    /// The seat.
    pub seat: Seat,
    /// The start of its process.
    pub run: Run,
}

/// What members say to each other about budgets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Say {
    /// A candidate or the allocator wants a voter's promise.
    Vote {
        /// Counts the candidate's rounds.
        round: u64,
    },
    /// A voter's promise, for `term` from when it was asked.
    Voted {
        /// The round that was asked.
        round: u64,
    },
    /// It has promised another, who this is.
    Promised {
        /// The round that was asked.
        round: u64,
        /// Whom.
        to: Seat,
    },
    /// A candidate does not use what it was promised in this round or an earlier one.
    Free {
        /// The round.
        round: u64,
    },
    /// A member wants its parts.
    Ask {
        /// Counts the member's questions.
        number: u64,
        /// The grant that it goes by now; what came before it is not used any more.
        holds: u64,
        /// What it could use of each budget.
        wants: Vec<Amount>,
    },
    /// The allocator's answer.
    Grant {
        /// The question.
        number: u64,
        /// Counts the allocator's grants to this member.
        grant: u64,
        /// How long it lasts, from when it was asked.
        lasts: Time,
        /// What may be used of each budget beyond the floor.
        parts: Vec<Amount>,
    },
    /// This is not the allocator; perhaps that one is.
    Elsewhere {
        /// The question.
        number: u64,
        /// The seat.
        seat: Option<Seat>,
    },
}

/// Something to be sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Send {
    /// To whom.
    pub to: Seat,
    /// An answer is for the process that asked, and for no later one at that seat.
    pub run: Option<Run>,
    /// What.
    pub say: Say,
}

/// A voter's promise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Promise {
    to: Who,
    round: u64,
    until: Time,
}

/// What the allocator has granted and counts still.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Granted {
    grant: u64,
    until: Time,
    parts: Vec<Amount>,
}

/// What the allocator knows of a member's process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Account {
    /// The latest question.
    number: u64,
    heard: Time,
    wants: Vec<Amount>,
    granted: Vec<Granted>,
    next: u64,
}

impl Account {
    /// The most of a budget that its process may be using.
    fn most(&self, budget: usize) -> Amount {
        self.granted.iter().map(|g| g.parts[budget]).max().unwrap_or(0)
    }
}

/// The right to grant, or the way to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Candidacy {
    round: u64,
    /// Since when it has not been allocator.
    since: Time,
    asked: Time,
    /// Until when each voter's promise may be used.
    votes: BTreeMap<Seat, Time>,
    again: Time,
}

/// What a member holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    grant: u64,
    until: Time,
    parts: Vec<Amount>,
}

/// A question that has no answer yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    number: u64,
    at: Time,
    of: Seat,
}

/// A member's side of all budgets: its shares, its vote, and, where it allocates, its book.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shares {
    rules: Rules,
    me: Who,
    /// A voter that has just started may have promised its vote, and does not know: none before this.
    abstains: Time,
    promise: Option<Promise>,
    candidacy: Option<Candidacy>,
    rounds: u64,
    /// When to try to become allocator.
    stand_at: Time,
    book: BTreeMap<Who, Account>,
    held: Option<Held>,
    asked: Option<Asked>,
    numbers: u64,
    ask_at: Time,
    allocator: Option<Seat>,
    /// Which voter to ask next where no allocator is known.
    next_voter: usize,
    wants: Vec<Amount>,
    /// What came in that was of no use, for operators.
    pub dropped: u64,
}

/// How often a member asks, as a part of the lease.
const ASKS: u64 = 4;
/// How often an allocator has its votes renewed, as a part of the term.
const RENEWS: u64 = 3;

impl Shares {
    /// A member that has just started, at `now` of its clock.
    pub fn new(rules: Rules, me: Who, now: Time) -> Shares {
        let at_once = rules.mistake == Some(Mistake::VotesAtOnce);
        let abstains = if at_once { now } else { now + rules.counted(rules.term) };
        Shares {
            stand_at: abstains + rules.rank(me.seat) * rules.term / 4,
            abstains,
            wants: vec![0; rules.budgets.len()],
            next_voter: me.seat as usize % rules.voters.len().max(1),
            rules,
            me,
            promise: None,
            candidacy: None,
            rounds: 0,
            book: BTreeMap::new(),
            held: None,
            asked: None,
            numbers: 0,
            ask_at: now,
            allocator: None,
            dropped: 0,
        }
    }

    /// What this member may use of a budget **now**: its floor, and its part of the pool while that lasts. Ask at the
    /// last moment before the use, with the time read for it: a process that was stopped finds its part gone.
    pub fn share(&self, budget: usize, now: Time) -> Amount {
        let Some(b) = self.rules.budgets.get(budget) else { return 0 };
        let part = self.held.as_ref().filter(|h| now < h.until).and_then(|h| h.parts.get(budget));
        b.floor + part.copied().unwrap_or(0)
    }

    /// What it could use of each budget.
    pub fn want(&mut self, wants: Vec<Amount>) {
        if wants.len() == self.rules.budgets.len() {
            self.wants = wants;
        }
    }

    /// Whether it may grant now.
    pub fn allocates(&self, now: Time) -> bool {
        self.until().is_some_and(|until| now < until)
    }

    /// The seat that it takes for the allocator.
    pub fn allocator(&self) -> Option<Seat> {
        self.allocator
    }

    /// The whole of a budget has changed: an allocator grants by the new one from now on.
    pub fn set_whole(&mut self, budget: usize, whole: Amount) {
        if let Some(b) = self.rules.budgets.get_mut(budget) {
            b.whole = whole;
        }
    }

    /// Until when a majority has promised its votes.
    fn until(&self) -> Option<Time> {
        let mut ends: Vec<Time> = self.candidacy.as_ref()?.votes.values().copied().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(self.rules.majority() - 1).copied()
    }

    fn votes(&self) -> bool {
        self.rules.voters.contains(&self.me.seat)
    }

    /// When `turn` wants to be called next.
    pub fn due(&self) -> Time {
        let stands = || self.stand_at.max(self.abstains).max(self.free_at());
        let candidacy = self.candidacy.as_ref().map_or_else(stands, |c| c.again);
        if self.votes() { candidacy.min(self.ask_at) } else { self.ask_at }
    }

    /// Does what is due.
    pub fn turn(&mut self, now: Time, out: &mut Vec<Send>) {
        if self.votes() {
            self.stand(now, out);
        }
        if now >= self.ask_at {
            self.ask(now, out);
        }
    }

    /// Stands for allocator, or has its votes renewed.
    fn stand(&mut self, now: Time, out: &mut Vec<Send>) {
        let term = self.rules.term;
        let (allocates, may_stand) = (self.allocates(now), self.may_stand(now));
        match &mut self.candidacy {
            Some(c) if allocates => c.since = now,
            // Neither elected nor re-elected in time: what was promised is given back, so that another may stand.
            Some(c) if now >= c.since + term / 2 => {
                let round = c.round;
                self.candidacy = None;
                self.book.clear();
                self.free(round, out);
                self.stand_at = now + self.stagger();
                return;
            }
            Some(_) => {}
            None if now < self.stand_at || now < self.abstains || !may_stand => return,
            None => {}
        }
        if self.candidacy.as_ref().is_some_and(|c| now < c.again) {
            return;
        }
        self.rounds += 1;
        let round = self.rounds;
        let before = self.candidacy.take();
        let since = before.as_ref().map_or(now, |c| c.since);
        let votes = before.map(|c| c.votes).unwrap_or_default();
        let again = now + term / RENEWS;
        self.candidacy = Some(Candidacy { round, since, asked: now, votes, again });
        for to in self.rules.voters.clone() {
            if to != self.me.seat {
                out.push(Send { to, run: None, say: Say::Vote { round } });
            } else if self.promise_to(now, self.me, round) {
                self.voted(to, round);
            }
        }
    }

    /// Whether its own vote is free, and has been for its turn: voters whose allocator is gone do not all stand at
    /// once.
    fn may_stand(&self, now: Time) -> bool {
        now >= self.free_at()
    }

    /// When it may stand as far as its own vote goes.
    fn free_at(&self) -> Time {
        let turn = self.rules.rank(self.me.seat) * self.rules.term / 8;
        self.promise.as_ref().filter(|p| p.to != self.me).map_or(0, |p| p.until + turn)
    }

    /// Candidates that failed stand again at different times.
    fn stagger(&self) -> Time {
        (self.rules.rank(self.me.seat) * 2 + self.rounds % 3) * self.rules.term / 8
    }

    fn free(&mut self, round: u64, out: &mut Vec<Send>) {
        for to in self.rules.voters.clone() {
            match to == self.me.seat {
                true => self.freed(self.me, round),
                false => out.push(Send { to, run: None, say: Say::Free { round } }),
            }
        }
    }

    /// Promises its vote if it is free, or to whom it is promised already.
    fn promise_to(&mut self, now: Time, to: Who, round: u64) -> bool {
        let free = now >= self.abstains && self.promise.as_ref().is_none_or(|p| now >= p.until);
        let again = self.promise.as_ref().is_some_and(|p| p.to == to && round >= p.round);
        if free || again {
            let until = now + self.rules.counted(self.rules.term);
            self.promise = Some(Promise { to, round, until });
        }
        free || again
    }

    fn freed(&mut self, from: Who, round: u64) {
        self.promise.take_if(|p| p.to == from && p.round <= round);
    }

    /// A vote counts from when this round was asked.
    fn voted(&mut self, seat: Seat, round: u64) {
        let term = self.rules.term;
        if let Some(c) = self.candidacy.as_mut().filter(|c| c.round == round) {
            c.votes.insert(seat, c.asked + term);
            if self.until().is_some() {
                self.allocator = Some(self.me.seat);
            }
        }
    }

    fn ask(&mut self, now: Time, out: &mut Vec<Send>) {
        let Some(first) = self.rules.voters.get(self.next_voter).copied() else { return };
        // No answer to the last question: perhaps another allocates now.
        if self.asked.take().is_some() && self.allocator.take().is_none() {
            self.next_voter = (self.next_voter + 1) % self.rules.voters.len();
        }
        let of = self.allocator.unwrap_or(first);
        self.numbers += 1;
        let number = self.numbers;
        self.asked = Some(Asked { number, at: now, of });
        self.ask_at = now + self.rules.lease / ASKS;
        let holds = self.held.as_ref().map_or(0, |h| h.grant);
        let wants = self.wants.clone();
        match of == self.me.seat {
            true => {
                for answer in self.asked_by(now, self.me, number, holds, wants) {
                    self.hear(now, self.me, answer.say, out);
                }
            }
            false => out.push(Send { to: of, run: None, say: Say::Ask { number, holds, wants } }),
        }
    }

    /// Takes what another member says.
    pub fn hear(&mut self, now: Time, from: Who, say: Say, out: &mut Vec<Send>) {
        match say {
            Say::Vote { round } if self.votes() => {
                let say = match self.promise_to(now, from, round) {
                    true => {
                        self.allocator = Some(from.seat);
                        Say::Voted { round }
                    }
                    false => {
                        let to = self.promise.as_ref().map_or(self.me.seat, |p| p.to.seat);
                        Say::Promised { round, to }
                    }
                };
                out.push(Send { to: from.seat, run: Some(from.run), say });
            }
            Say::Voted { round } if self.rules.voters.contains(&from.seat) => self.voted(from.seat, round),
            Say::Promised { round, to } => {
                if self.candidacy.as_ref().is_some_and(|c| c.round == round) && !self.allocates(now) {
                    self.allocator = Some(to).filter(|s| *s != self.me.seat).or(self.allocator);
                }
            }
            Say::Free { round } => self.freed(from, round),
            Say::Ask { number, holds, wants } if wants.len() == self.rules.budgets.len() => {
                out.extend(self.asked_by(now, from, number, holds, wants));
            }
            Say::Grant { number, grant, lasts, parts } => {
                self.granted(now, from, number, grant, lasts, parts)
            }
            Say::Elsewhere { number, seat } => {
                if self.asked.as_ref().is_some_and(|a| a.number == number && a.of == from.seat) {
                    self.asked = None;
                    self.allocator = seat.filter(|s| self.rules.voters.contains(s) && *s != from.seat);
                    if self.allocator.is_none() {
                        self.next_voter = (self.next_voter + 1) % self.rules.voters.len().max(1);
                    }
                    self.ask_at = self.ask_at.min(now + self.rules.lease / (4 * ASKS));
                }
            }
            _ => self.dropped += 1,
        }
    }

    /// A grant counts from when it was asked for, and only the latest question's answer counts, once.
    fn granted(&mut self, now: Time, from: Who, number: u64, grant: u64, lasts: Time, parts: Vec<Amount>) {
        let fits = |a: &Asked| a.number == number && a.of == from.seat;
        let Some(asked) = self.asked.take_if(|a| fits(a)) else {
            self.dropped += 1;
            return;
        };
        let pools = self.rules.budgets.iter().map(|b| b.pool(self.rules.seats));
        // Guards against a claim that cannot be true: it is not used, and what is held stays.
        if parts.len() != self.rules.budgets.len() || parts.iter().zip(pools).any(|(p, pool)| *p > pool) {
            self.dropped += 1;
            return;
        }
        self.allocator = Some(from.seat);
        let from = if self.rules.mistake == Some(Mistake::CountsFromHearing) { now } else { asked.at };
        self.held = Some(Held { grant, until: from + lasts.min(self.rules.lease), parts });
    }

    /// The allocator's answer to a question.
    fn asked_by(&mut self, now: Time, from: Who, number: u64, holds: u64, wants: Vec<Amount>) -> Vec<Send> {
        let elsewhere =
            |seat| vec![Send { to: from.seat, run: Some(from.run), say: Say::Elsewhere { number, seat } }];
        let Some(until) = self.until().filter(|until| now < *until) else {
            return elsewhere(self.promise.as_ref().filter(|p| now < p.until).map(|p| p.to.seat));
        };
        for account in self.book.values_mut() {
            account.granted.retain(|g| now < g.until);
        }
        let gone = self.rules.lease * 2;
        self.book.retain(|_, a| !a.granted.is_empty() || now < a.heard + gone);
        let account = self.book.entry(from).or_default();
        // Guards against a question that was repeated or overtaken on its way.
        if number <= account.number {
            return Vec::new();
        }
        account.number = number;
        account.heard = now;
        account.wants = wants;
        let forgets = self.rules.mistake == Some(Mistake::ForgetsGrants);
        account.granted.retain(|g| g.grant >= holds && !forgets);
        let parts: Vec<Amount> = (0..self.rules.budgets.len()).map(|b| self.part(now, b, from)).collect();
        // Never longer than its own right to grant: whoever allocates next knows nothing of this.
        let counted = match self.rules.mistake {
            Some(Mistake::GrantsTooLong) => self.rules.counted(self.rules.lease),
            _ => self.rules.counted(self.rules.lease).min(until - now),
        };
        let lasts = self.rules.usable(counted).min(self.rules.lease);
        let Some(account) = self.book.get_mut(&from) else { return Vec::new() };
        account.next += 1;
        let grant = account.next;
        account.granted.push(Granted { grant, until: now + counted, parts: parts.clone() });
        vec![Send { to: from.seat, run: Some(from.run), say: Say::Grant { number, grant, lasts, parts } }]
    }

    /// A member's part of a pool: max-min fair by what all want beyond their floors, and no more than others leave.
    fn part(&self, now: Time, budget: usize, of: Who) -> Amount {
        let b = &self.rules.budgets[budget];
        let pool = b.pool(self.rules.seats);
        let others: Amount =
            self.book.iter().filter(|(who, _)| **who != of).map(|(_, a)| a.most(budget)).sum();
        // Of a seat only the latest process wants anything, and one that has not asked for a lease wants nothing.
        let lives = |who: &Who, a: &Account| {
            now < a.heard + self.rules.lease
                && self.book.range(*who..=Who { run: Run::MAX, ..*who }).nth(1).is_none()
        };
        let wants: Vec<(Who, Amount)> = self
            .book
            .iter()
            .filter(|(who, a)| lives(who, a) && a.wants.len() == self.rules.budgets.len())
            .map(|(who, a)| (*who, a.wants[budget].saturating_sub(b.floor)))
            .collect();
        let fair = fair_part(pool, &wants, of);
        fair.min(pool.saturating_sub(others))
    }
}

/// Max-min fair: the smallest wants in full, the others alike; and what nobody wants, alike, so that a rise is served
/// at once.
pub fn fair_part(pool: Amount, wants: &[(Who, Amount)], of: Who) -> Amount {
    let mut sorted: Vec<(Amount, Who)> = wants.iter().map(|(who, n)| (*n, *who)).collect();
    sorted.sort_unstable();
    let (mut left, mut count) = (pool, sorted.len() as Amount);
    let mut part = 0;
    for (want, who) in &sorted {
        let mine = (*want).min(left / count.max(1));
        if *who == of {
            part = mine;
        }
        left -= mine;
        count -= 1;
    }
    part + left / (sorted.len() as Amount).max(1)
}

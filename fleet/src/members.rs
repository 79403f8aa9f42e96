//! Who is in the fleet, in the manner of SWIM: every period each member pings one other, asks three others to try where
//! no answer comes, suspects it where they fail too, and takes it for dead if it does not object in time. News rides
//! on these messages, so that what a member sends does not grow with the fleet.
//!
//! Sans I/O and without a clock. What is believed of a member is a triple, and of two beliefs the greater holds:
//! the start of its process, how often that has objected, and how it fares. So news may be doubled, lost and overtaken,
//! and all members come to believe the same.

use crate::shares::{Run, Seat, Time, Who};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How often a member pings another, us.
pub const PERIOD: Time = 500_000;
/// How long it waits for the answer before it asks others to try, us.
pub const DIRECT: Time = 150_000;
/// Members that are asked to try.
pub const HELPERS: usize = 3;
/// A suspect is dead after so many periods, and as many more as the fleet has tenfolds.
pub const SUSPECT: u64 = 3;
/// The dead are forgotten after so long, us.
pub const FORGET: Time = 60_000_000;
/// Pieces of news on one message at most.
pub const NEWS: usize = 24;
/// A newcomer is told so many messages full of news at most, and one that compares notes so many.
pub const FULL: usize = 6;
/// See there.
pub const COMPARED: usize = 2;
/// A member compares notes with another, and tries one that it takes for dead, once in so many periods.
pub const SELDOM: u64 = 8;
/// Each piece is passed on so many times, times the binary logarithm of the fleet's size.
pub const TOLD: u32 = 3;

/// How a member fares, as others believe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fares {
    /// It answers.
    Well,
    /// It did not answer in time, and may object.
    Suspect,
    /// It did not object.
    Dead,
    /// It said that it leaves.
    Left,
}

/// What is believed of a member. Of two beliefs the greater holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Belief {
    /// The start of its process.
    pub run: Run,
    /// How often it has objected.
    pub objected: u32,
    /// How it fares.
    pub fares: Fares,
}

/// A piece of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// Of whom.
    pub seat: Seat,
    /// Where it is reached.
    pub at: SocketAddrV4,
    /// What is believed.
    pub belief: Belief,
}

/// What members say to each other about each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Answer this.
    Ping(u64),
    /// The answer, and of whom.
    Ack(u64, Seat),
    /// Ping that one for me.
    Try(u64, Seat),
    /// I am new: tell me of others.
    Join,
    /// Tell me of some others: guards against news that was passed on often and still missed this one.
    Compare,
    /// News alone.
    Tell,
}

/// To whom, what, and news in place of the usual ones.
pub type Said = (Seat, Word, Option<Vec<News>>);

struct Entry {
    at: SocketAddrV4,
    belief: Belief,
    since: Time,
    /// How often it has been passed on.
    told: u32,
}

struct Probe {
    seat: Seat,
    number: u64,
    at: Time,
    helped: bool,
}

/// One member's beliefs.
pub struct Members {
    me: Who,
    at: SocketAddrV4,
    objected: u32,
    entries: BTreeMap<Seat, Entry>,
    order: Vec<Seat>,
    probe: Option<Probe>,
    number: u64,
    next_at: Time,
    /// Tries for others: our number, and whose number that is.
    helps: BTreeMap<u64, (Seat, u64, Time)>,
    draw: u64,
    told_me: u32,
    periods: u64,
    /// News that was older than what was believed.
    pub stale: u64,
}

impl Members {
    /// A member that knows some seeds.
    pub fn new(me: Who, at: SocketAddrV4, now: Time) -> Members {
        Members {
            me,
            at,
            objected: 0,
            entries: BTreeMap::new(),
            order: Vec::new(),
            probe: None,
            number: 0,
            next_at: now,
            helps: BTreeMap::new(),
            draw: me.run ^ (u64::from(me.seat) << 32) ^ 0x9e37_79b9_7f4a_7c15,
            told_me: 0,
            periods: 0,
            stale: 0,
        }
    }

    /// Members that are believed to be there, with this one.
    pub fn alive(&self) -> usize {
        1 + self.entries.values().filter(|e| e.belief.fares <= Fares::Suspect).count()
    }

    /// What is believed of a seat.
    pub fn belief(&self, seat: Seat) -> Option<Belief> {
        self.entries.get(&seat).map(|e| e.belief)
    }

    /// Where a seat is reached.
    pub fn address(&self, seat: Seat) -> Option<SocketAddrV4> {
        self.entries.get(&seat).map(|e| e.at)
    }

    fn random(&mut self, below: usize) -> usize {
        // xorshift64*: which member is pinged needs no more.
        self.draw ^= self.draw >> 12;
        self.draw ^= self.draw << 25;
        self.draw ^= self.draw >> 27;
        (self.draw.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) as usize % below.max(1)
    }

    /// A message came from a process: it is there.
    pub fn heard(&mut self, now: Time, from: Who, at: SocketAddrV4) {
        let known = self.entries.get(&from.seat).map(|e| e.belief);
        let objected = known.filter(|b| b.run == from.run).map_or(0, |b| b.objected);
        if known.is_none_or(|b| b.run < from.run) {
            let belief = Belief { run: from.run, objected, fares: Fares::Well };
            self.believe(now, News { seat: from.seat, at, belief });
        }
    }

    /// Takes a piece of news.
    pub fn believe(&mut self, now: Time, news: News) {
        if news.seat == self.me.seat {
            // Somebody doubts this very process: it objects.
            if news.belief.run == self.me.run
                && news.belief.fares > Fares::Well
                && news.belief.objected >= self.objected
            {
                self.objected = news.belief.objected + 1;
                self.told_me = 0;
            }
            return;
        }
        match self.entries.get_mut(&news.seat) {
            Some(e) if news.belief > e.belief => {
                *e = Entry { at: news.at, belief: news.belief, since: now, told: 0 };
            }
            Some(e) => self.stale += u64::from(news.belief < e.belief),
            None => {
                let entry = Entry { at: news.at, belief: news.belief, since: now, told: 0 };
                self.entries.insert(news.seat, entry);
            }
        }
    }

    /// News to go with a message: what was passed on least. Its own belief of itself is among it.
    pub fn news(&mut self) -> Vec<News> {
        let most = TOLD * (usize::BITS - self.entries.len().leading_zeros() + 1);
        let mut fresh: Vec<(u32, Seat)> =
            self.entries.iter().filter(|(_, e)| e.told < most).map(|(s, e)| (e.told, *s)).collect();
        fresh.sort_unstable();
        let mut news = Vec::new();
        if self.told_me < most {
            self.told_me += 1;
            news.push(self.myself(Fares::Well));
        }
        for (_, seat) in fresh.into_iter().take(NEWS - news.len()) {
            if let Some(e) = self.entries.get_mut(&seat) {
                e.told += 1;
                news.push(News { seat, at: e.at, belief: e.belief });
            }
        }
        news
    }

    fn myself(&self, fares: Fares) -> News {
        let belief = Belief { run: self.me.run, objected: self.objected, fares };
        News { seat: self.me.seat, at: self.at, belief }
    }

    /// A goodbye, for as many as hear it.
    pub fn leave(&self) -> News {
        self.myself(Fares::Left)
    }

    /// Others, from a drawn one on, in so many messages at most.
    fn some(&mut self, messages: usize) -> Vec<Vec<News>> {
        let all: Vec<Seat> = self.entries.keys().copied().collect();
        let first = self.random(all.len());
        let most = all.len().min(messages * (NEWS - 1));
        let drawn: Vec<Seat> = all.iter().cycle().skip(first).take(most).copied().collect();
        let mut told: Vec<Vec<News>> = Vec::new();
        for seats in drawn.chunks(NEWS - 1) {
            let mut news = vec![self.myself(Fares::Well)];
            let entries = seats.iter().filter_map(|s| self.entries.get(s).map(|e| (*s, e)));
            news.extend(entries.map(|(seat, e)| News { seat, at: e.at, belief: e.belief }));
            told.push(news);
        }
        told
    }

    /// Takes a word; gives what is to be said, to whom, and news in place of the usual ones.
    pub fn hear(&mut self, now: Time, from: Seat, word: Word) -> Vec<Said> {
        match word {
            Word::Ping(number) => vec![(from, Word::Ack(number, self.me.seat), None)],
            Word::Ack(number, of) => {
                self.probe.take_if(|p| p.number == number && p.seat == of);
                match self.helps.remove(&number) {
                    Some((asker, theirs, _)) if of == from => vec![(asker, Word::Ack(theirs, of), None)],
                    _ => Vec::new(),
                }
            }
            Word::Try(theirs, seat) => {
                if self.helps.len() >= 64 {
                    return Vec::new();
                }
                self.number += 1;
                self.helps.insert(self.number, (from, theirs, now));
                vec![(seat, Word::Ping(self.number), None)]
            }
            Word::Join => self.some(FULL).into_iter().map(|n| (from, Word::Tell, Some(n))).collect(),
            Word::Compare => self.some(COMPARED).into_iter().map(|n| (from, Word::Tell, Some(n))).collect(),
            Word::Tell => Vec::new(),
        }
    }

    /// When `turn` wants to be called next.
    pub fn due(&self) -> Time {
        match &self.probe {
            Some(p) if !p.helped => (p.at + DIRECT).min(self.next_at),
            _ => self.next_at,
        }
    }

    /// Does what is due.
    pub fn turn(&mut self, now: Time) -> Vec<Said> {
        let mut out = Vec::new();
        let alive: Vec<Seat> =
            self.entries.iter().filter(|(_, e)| e.belief.fares <= Fares::Suspect).map(|(s, _)| *s).collect();
        if let Some(p) = self.probe.as_mut().filter(|p| !p.helped && now >= p.at + DIRECT) {
            p.helped = true;
            let (number, seat) = (p.number, p.seat);
            let others: Vec<Seat> = alive.iter().copied().filter(|s| *s != seat).collect();
            let first = self.random(others.len());
            let helpers = others.iter().cycle().skip(first).take(HELPERS.min(others.len()));
            out.extend(helpers.map(|s| (*s, Word::Try(number, seat), None)));
        }
        if now < self.next_at {
            return out;
        }
        // A node that stood still blames nobody for it.
        let late = now > self.next_at + PERIOD;
        self.next_at = now + PERIOD;
        if let Some(p) = self.probe.take().filter(|_| !late) {
            self.worsen(now, p.seat, Fares::Suspect);
        }
        self.helps.retain(|_, (_, _, at)| now < *at + PERIOD);
        let tenfolds = (alive.len() + 1).ilog10() as u64;
        let patience = (SUSPECT + tenfolds) * PERIOD;
        let over = |e: &Entry| e.belief.fares == Fares::Suspect && now >= e.since + patience;
        let dead: Vec<Seat> = self.entries.iter().filter(|(_, e)| over(e)).map(|(s, _)| *s).collect();
        for seat in dead {
            self.worsen(now, seat, Fares::Dead);
        }
        self.entries.retain(|_, e| e.belief.fares <= Fares::Suspect || now < e.since + FORGET);
        self.periods += 1;
        if self.periods.is_multiple_of(SELDOM) {
            if !alive.is_empty() {
                let other = alive[self.random(alive.len())];
                out.push((other, Word::Compare, None));
            }
            // Two halves that took each other for dead find together again: it hears that, and objects.
            let gone: Vec<Seat> =
                self.entries.iter().filter(|(_, e)| e.belief.fares == Fares::Dead).map(|(s, _)| *s).collect();
            if !gone.is_empty() {
                let seat = gone[self.random(gone.len())];
                let doubt = self.entries.get(&seat).map(|e| News { seat, at: e.at, belief: e.belief });
                let news = vec![self.myself(Fares::Well)].into_iter().chain(doubt).collect();
                self.number += 1;
                out.push((seat, Word::Ping(self.number), Some(news)));
            }
        }
        // Each in turn, in an order that is drawn anew each round: nobody waits for longer than two rounds.
        self.order.retain(|s| alive.contains(s));
        if self.order.is_empty() {
            self.order = alive;
            for i in (1..self.order.len()).rev() {
                let j = self.random(i + 1);
                self.order.swap(i, j);
            }
        }
        if let Some(seat) = self.order.pop() {
            self.number += 1;
            self.probe = Some(Probe { seat, number: self.number, at: now, helped: false });
            out.push((seat, Word::Ping(self.number), None));
        }
        out
    }

    fn worsen(&mut self, now: Time, seat: Seat, fares: Fares) {
        if let Some(e) = self.entries.get(&seat) {
            let news = News { seat, at: e.at, belief: Belief { fares, ..e.belief } };
            self.believe(now, news);
        }
    }
}

//! One member whole: who is there, and who may use how much. Datagrams and the time go in, datagrams come out.

use crate::members::{Fares, Members, News, Said, Word};
use crate::message::{Body, Message};
use crate::settings::Settings;
use crate::shares::{Amount, Run, Seat, Send, Shares, Time, Who};
use std::net::SocketAddrV4;

/// How often a member that knows nobody tries to join, us.
const JOIN: Time = 500_000;

/// A datagram to be sent.
pub type Datagram = (SocketAddrV4, Vec<u8>);

/// What came in and was of no use, and what went out, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Datagrams from addresses that are in none of the networks.
    pub strangers: u64,
    /// Datagrams that are no message of this version.
    pub garbage: u64,
    /// Messages for another seat, or for an earlier start of this one, or from one.
    pub stale: u64,
}

/// One member.
pub struct Node {
    settings: Settings,
    me: Who,
    members: Members,
    shares: Shares,
    join_at: Time,
    /// Counts for operators.
    pub counts: Counts,
}

impl Node {
    /// A member that has just started. `run` is higher at each start of a seat's process, as Unix milliseconds are.
    pub fn new(settings: Settings, seat: Seat, run: Run, at: SocketAddrV4, now: Time) -> Node {
        let me = Who { seat, run };
        Node {
            members: Members::new(me, at, now),
            shares: Shares::new(settings.rules(), me, now),
            settings,
            me,
            join_at: now,
            counts: Counts::default(),
        }
    }

    /// Who it is.
    pub fn me(&self) -> Who {
        self.me
    }

    /// Its shares.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Who it takes to be there.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What it may use of a budget now, by a time read for it.
    pub fn share(&self, budget: usize, now: Time) -> Amount {
        self.shares.share(budget, now)
    }

    /// What it could use of each budget.
    pub fn want(&mut self, wants: Vec<Amount>) {
        self.shares.want(wants);
    }

    /// The number of a budget.
    pub fn budget(&self, name: &str) -> Option<usize> {
        self.settings.budgets.iter().position(|b| b.name == name)
    }

    /// A new file: wholes change in service, all else takes a restart.
    pub fn set_wholes(&mut self, settings: &Settings) {
        for (i, b) in settings.budgets.iter().enumerate() {
            if self.settings.budgets.get(i).is_some_and(|own| own.name == b.name) {
                self.shares.set_whole(i, b.whole);
            }
        }
    }

    fn address(&self, seat: Seat) -> Option<SocketAddrV4> {
        let voter = || self.settings.voters.iter().find(|v| v.seat == seat).map(|v| v.at);
        self.settings.via.get(&seat).copied().or_else(|| self.members.address(seat)).or_else(voter)
    }

    fn send(&mut self, to: Seat, run: Run, body: Body, news: Option<Vec<News>>, out: &mut Vec<Datagram>) {
        let Some(at) = self.address(to).filter(|_| to != self.me.seat) else { return };
        let news = news.unwrap_or_else(|| self.members.news());
        let bytes = Message { from: self.me, to, run, body, news }.write();
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        out.push((at, bytes));
    }

    fn words(&mut self, words: Vec<Said>, out: &mut Vec<Datagram>) {
        for (to, word, news) in words {
            self.send(to, 0, Body::Word(word), news, out);
        }
    }

    fn says(&mut self, sends: Vec<Send>, out: &mut Vec<Datagram>) {
        for Send { to, run, say } in sends {
            // News goes with words about members alone, so that these stay small.
            self.send(to, run.unwrap_or(0), Body::Say(say), Some(Vec::new()), out);
        }
    }

    /// Takes a datagram.
    pub fn datagram(&mut self, now: Time, from: SocketAddrV4, bytes: &[u8], out: &mut Vec<Datagram>) {
        if !self.settings.trusts(&from) {
            self.counts.strangers += 1;
            return;
        }
        let seats = self.settings.seats;
        let Some(message) = Message::read(bytes).filter(|m| m.from.seat < seats) else {
            self.counts.garbage += 1;
            return;
        };
        let older = self.members.belief(message.from.seat).is_some_and(|b| b.run > message.from.run);
        let other = message.to != self.me.seat || message.run != 0 && message.run != self.me.run;
        if older || other || message.from.seat == self.me.seat {
            self.counts.stale += 1;
            return;
        }
        self.members.heard(now, message.from, from);
        for news in message.news {
            if news.seat < seats && self.settings.trusts(&news.at) {
                self.members.believe(now, news);
            }
        }
        match message.body {
            Body::Word(word) => {
                let words = self.members.hear(now, message.from.seat, word);
                self.words(words, out);
            }
            Body::Say(say) => {
                let mut sends = Vec::new();
                self.shares.hear(now, message.from, say, &mut sends);
                self.says(sends, out);
            }
        }
    }

    /// When `turn` wants to be called next.
    pub fn due(&self) -> Time {
        let join = if self.members.alive() == 1 { self.join_at } else { Time::MAX };
        self.members.due().min(self.shares.due()).min(join)
    }

    /// Does what is due.
    pub fn turn(&mut self, now: Time, out: &mut Vec<Datagram>) {
        if self.members.alive() == 1 && now >= self.join_at {
            self.join_at = now + JOIN;
            for voter in self.settings.voters.clone() {
                self.send(voter.seat, 0, Body::Word(Word::Join), None, out);
            }
        }
        let words = self.members.turn(now);
        self.words(words, out);
        let mut sends = Vec::new();
        self.shares.turn(now, &mut sends);
        self.says(sends, out);
    }

    /// Says goodbye to a few.
    pub fn leave(&mut self, out: &mut Vec<Datagram>) {
        let news = vec![self.members.leave()];
        let there = (0..self.settings.seats)
            .filter(|s| self.members.belief(*s).is_some_and(|b| b.fares == Fares::Well))
            .take(8)
            .collect::<Vec<_>>();
        for seat in there {
            self.send(seat, 0, Body::Word(Word::Tell), Some(news.clone()), out);
        }
    }
}

//! What members send each other: one datagram a message, bounded, versioned and checked.
//!
//! `fnfl`, version, from seat and run, to seat and run (0: whichever), kind and body, then a count of news and the news.
//! Numbers are big-endian. Whatever is short, long, of another version or out of its bounds is no message.

use crate::members::{Belief, Fares, NEWS, News, Word};
use crate::shares::{Amount, Run, Say, Seat, Who};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Longest datagram, in bytes.
pub const MOST: usize = 1_400;
/// Budgets at most.
pub const BUDGETS: usize = 64;
const MAGIC: &[u8; 4] = b"fnfl";
const VERSION: u8 = 1;

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// About members.
    Word(Word),
    /// About budgets.
    Say(Say),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Who sent it.
    pub from: Who,
    /// For which seat.
    pub to: Seat,
    /// For which start of its process; any where 0.
    pub run: Run,
    /// What it says.
    pub body: Body,
    /// News of members.
    pub news: Vec<News>,
}

fn list(out: &mut Vec<u8>, amounts: &[Amount]) {
    out.push(amounts.len().min(BUDGETS) as u8);
    amounts.iter().take(BUDGETS).for_each(|a| out.extend(a.to_be_bytes()));
}

impl Message {
    /// Its bytes.
    pub fn write(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(128);
        out.extend(MAGIC);
        out.push(VERSION);
        out.extend(self.from.seat.to_be_bytes());
        out.extend(self.from.run.to_be_bytes());
        out.extend(self.to.to_be_bytes());
        out.extend(self.run.to_be_bytes());
        let numbered = |out: &mut Vec<u8>, kind: u8, number: u64| {
            out.push(kind);
            out.extend(number.to_be_bytes());
        };
        let seat =
            |out: &mut Vec<u8>, seat: Option<Seat>| out.extend(seat.unwrap_or(Seat::MAX).to_be_bytes());
        match &self.body {
            Body::Word(Word::Ping(n)) => numbered(&mut out, 1, *n),
            Body::Word(Word::Ack(n, of)) => {
                numbered(&mut out, 2, *n);
                seat(&mut out, Some(*of));
            }
            Body::Word(Word::Try(n, of)) => {
                numbered(&mut out, 3, *n);
                seat(&mut out, Some(*of));
            }
            Body::Word(Word::Join) => out.push(4),
            Body::Word(Word::Tell) => out.push(5),
            Body::Word(Word::Compare) => out.push(6),
            Body::Say(Say::Vote { round }) => numbered(&mut out, 16, *round),
            Body::Say(Say::Voted { round }) => numbered(&mut out, 17, *round),
            Body::Say(Say::Promised { round, to }) => {
                numbered(&mut out, 18, *round);
                seat(&mut out, Some(*to));
            }
            Body::Say(Say::Free { round }) => numbered(&mut out, 19, *round),
            Body::Say(Say::Ask { number, holds, wants }) => {
                numbered(&mut out, 20, *number);
                out.extend(holds.to_be_bytes());
                list(&mut out, wants);
            }
            Body::Say(Say::Grant { number, grant, lasts, parts }) => {
                numbered(&mut out, 21, *number);
                out.extend(grant.to_be_bytes());
                out.extend(lasts.to_be_bytes());
                list(&mut out, parts);
            }
            Body::Say(Say::Elsewhere { number, seat: to }) => {
                numbered(&mut out, 22, *number);
                seat(&mut out, *to);
            }
        }
        out.push(self.news.len().min(NEWS) as u8);
        for n in self.news.iter().take(NEWS) {
            out.extend(n.seat.to_be_bytes());
            out.extend(n.at.ip().octets());
            out.extend(n.at.port().to_be_bytes());
            out.extend(n.belief.run.to_be_bytes());
            out.extend(n.belief.objected.to_be_bytes());
            out.push(n.belief.fares as u8);
        }
        out
    }

    /// Reads a datagram; nothing where it is no message of this version.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MOST {
            return None;
        }
        let mut r = Reader(bytes);
        if r.take::<4>()? != *MAGIC || r.u8()? != VERSION {
            return None;
        }
        let from = Who { seat: r.u16()?, run: r.u64()? };
        let (to, run) = (r.u16()?, r.u64()?);
        let body = match r.u8()? {
            1 => Body::Word(Word::Ping(r.u64()?)),
            2 => Body::Word(Word::Ack(r.u64()?, r.u16()?)),
            3 => Body::Word(Word::Try(r.u64()?, r.u16()?)),
            4 => Body::Word(Word::Join),
            5 => Body::Word(Word::Tell),
            6 => Body::Word(Word::Compare),
            16 => Body::Say(Say::Vote { round: r.u64()? }),
            17 => Body::Say(Say::Voted { round: r.u64()? }),
            18 => Body::Say(Say::Promised { round: r.u64()?, to: r.u16()? }),
            19 => Body::Say(Say::Free { round: r.u64()? }),
            20 => Body::Say(Say::Ask { number: r.u64()?, holds: r.u64()?, wants: r.list()? }),
            21 => {
                Body::Say(Say::Grant { number: r.u64()?, grant: r.u64()?, lasts: r.u64()?, parts: r.list()? })
            }
            22 => {
                let (number, seat) = (r.u64()?, r.u16()?);
                Body::Say(Say::Elsewhere { number, seat: Some(seat).filter(|s| *s != Seat::MAX) })
            }
            _ => return None,
        };
        let count = usize::from(r.u8()?);
        if count > NEWS {
            return None;
        }
        let news = (0..count).map(|_| r.news()).collect::<Option<Vec<News>>>()?;
        r.0.is_empty().then_some(Message { from, to, run, body, news })
    }
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }

    fn u8(&mut self) -> Option<u8> {
        self.take::<1>().map(|b| b[0])
    }

    fn u16(&mut self) -> Option<u16> {
        self.take().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.take().map(u32::from_be_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.take().map(u64::from_be_bytes)
    }

    fn list(&mut self) -> Option<Vec<Amount>> {
        let count = usize::from(self.u8()?);
        if count > BUDGETS {
            return None;
        }
        (0..count).map(|_| self.u64()).collect()
    }

    fn news(&mut self) -> Option<News> {
        let seat = self.u16()?;
        let ip = Ipv4Addr::from(self.take::<4>()?);
        let port = self.u16()?;
        let (run, objected) = (self.u64()?, self.u32()?);
        let fares = match self.u8()? {
            0 => Fares::Well,
            1 => Fares::Suspect,
            2 => Fares::Dead,
            3 => Fares::Left,
            _ => return None,
        };
        Some(News { seat, at: SocketAddrV4::new(ip, port), belief: Belief { run, objected, fares } })
    }
}

//! Figures of an emulated fleet: how much of the whole is in use, how soon it is divided anew, and what that costs.

use crate::emulate::{Emulated, Network, settings};
use crate::shares::{Amount, Seat, Time};
use serde::Serialize;

const S: Time = 1_000_000;
/// How closely times are measured, us.
const LOOK: Time = 50_000;
/// Share of what can be used at which it counts as divided anew.
const ANEW: f64 = 0.95;

/// What a fleet of one size does.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Members.
    pub members: u16,
    /// Share of the whole in use when a fifth of the members want four fifths of what is wanted, which is twice the
    /// whole.
    pub in_use: f64,
    /// The same with fixed parts: what each can use of an even one.
    pub fixed: f64,
    /// Seconds until 0.95 of what can be used is in use again, after so many in a hundred of the members have died,
    /// and come back. Voters stay. `None` within 20 s.
    pub anew: Vec<(u16, Option<f64>, Option<f64>)>,
    /// The most that could be used together at any look, over the whole.
    pub most: f64,
    /// Datagrams and bytes a member sends a second.
    pub datagrams: f64,
    /// Bytes.
    pub bytes: f64,
}

/// What a member wants: every fifth as much as sixteen others.
fn wants(seat: Seat, members: u16, whole: Amount) -> Amount {
    // A fifth of n at 16 x and four fifths at 1 x sum to 4 n x: twice the whole.
    let x = whole / (2 * Amount::from(members));
    if seat.is_multiple_of(5) { 16 * x } else { x }
}

/// Measures a fleet of so many members.
pub fn measure(members: u16, seed: u64) -> Figures {
    let whole = 1_000 * Amount::from(members);
    let floor = 20;
    let mut fleet = Emulated::new(settings(members, whole, floor), Network::CALM, seed);
    let start = |fleet: &mut Emulated, seat: Seat| fleet.start(seat, vec![wants(seat, members, whole)]);
    (0..members).for_each(|seat| start(&mut fleet, seat));
    fleet.pass(15 * S, S);
    let used = |fleet: &Emulated| -> Amount {
        (0..members).map(|s| fleet.share(s, 0).min(wants(s, members, whole))).sum()
    };
    let in_use = used(&fleet) as f64 / whole as f64;
    let even = whole / Amount::from(members);
    let fixed: Amount = (0..members).map(|s| even.min(wants(s, members, whole))).sum();
    let before = fleet.sent;
    fleet.pass(10 * S, S);
    let a_second = |n: u64| n as f64 / 10.0 / f64::from(members);
    let (datagrams, bytes) = (a_second(fleet.sent.0 - before.0), a_second(fleet.sent.1 - before.1));
    let mut anew = Vec::new();
    for percent in [1, 10, 90] {
        let go: Vec<Seat> =
            (3..members).rev().take(usize::from(members) * usize::from(percent) / 100).collect();
        if go.is_empty() {
            continue;
        }
        go.iter().for_each(|s| fleet.kill(*s));
        // The dead seats' floors are reserved, and nobody can use more than it wants.
        let lives: Vec<Seat> = (0..members).filter(|s| !go.contains(s)).collect();
        let can: Amount = lives.iter().map(|s| wants(*s, members, whole)).sum();
        let can = can.min(whole - floor * go.len() as Amount);
        let gone = until(&mut fleet, |f| used(f) as f64 >= ANEW * can as f64);
        fleet.pass(5 * S, S);
        go.iter().for_each(|s| start(&mut fleet, *s));
        // The smallest of their wants are met in full by a fair division, and so are those of most of them.
        let back = until(&mut fleet, |f| {
            let met = go
                .iter()
                .filter(|s| !s.is_multiple_of(5))
                .all(|s| f.share(*s, 0) >= wants(*s, members, whole) * 9 / 10);
            met && used(f) as f64 >= ANEW * whole as f64
        });
        fleet.pass(5 * S, S);
        anew.push((percent, gone, back));
    }
    Figures {
        members,
        in_use,
        fixed: fixed as f64 / whole as f64,
        anew,
        most: fleet.most[0] as f64 / whole as f64,
        datagrams,
        bytes,
    }
}

/// Seconds until something holds.
fn until(fleet: &mut Emulated, holds: impl Fn(&Emulated) -> bool) -> Option<f64> {
    let from = fleet.now();
    while fleet.now() < from + 20 * S {
        if holds(fleet) {
            return Some((fleet.now() - from) as f64 / S as f64);
        }
        fleet.pass(LOOK, LOOK);
    }
    None
}

#[cfg(test)]
mod tests;

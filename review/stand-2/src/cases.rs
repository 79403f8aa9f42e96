//! One function a case, in the order of their folders.

use crate::caller::Callers;
use crate::channel::{Channel, entry, entry_started, event};
use crate::deployment::{LICENCIAS, VLTAVICE, start};
use crate::path::Path;
use crate::server::{Invite, Plan, Server};
use crate::world::{World, now, pause};
use std::sync::Arc;
use std::sync::atomic::Ordering;

type Case = fn(&Arc<World>) -> !;

pub const ALL: [(&str, Case); 5] = [
    ("second-attempt", second_attempt),
    ("late-answers", late_answers),
    ("slow-discovery", slow_discovery),
    ("quiet-connection", quiet_connection),
    ("restarted-server", restarted_server),
];

/// Time for a release that could not be sent, with the slack of sockets.
const RELEASED_WITHIN: u64 = 8_050;
/// How long a caller waits.
const PATIENCE: u64 = 3_000;

/// Gives the same numbers in each run.
fn draw(seed: u64) -> u64 {
    let mut x = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number that is drawn for each attempt of a call at a server.
fn drawn(invite: &Invite) -> u64 {
    draw(u64::from_str_radix(&invite.number, 16).unwrap_or(0) ^ invite.before as u64)
}

/// A channel that lists two servers at these addresses, both serving.
fn two_servers(world: &Arc<World>, first: &str, second: &str) -> Arc<Channel> {
    let servers = format!("{},{}", entry("s-0", first, 0, "SERVING"), entry("s-1", second, 1, "SERVING"));
    Channel::start(world, vec![event(1, true, &servers)])
}

/// Calls that a server has ended and whose callers were not told in time.
fn not_released(world: &World, callers: &Callers, server: &Server) -> Vec<String> {
    let calls = callers.calls.lock().unwrap().clone();
    let mut broken = Vec::new();
    for (call, stood) in server.stood() {
        let due = stood.ended.filter(|at| !stood.cut && at + RELEASED_WITHIN < now());
        let known = calls.get(&call).filter(|c| c.stands.is_some());
        let (Some(ended), Some(known)) = (due, known) else { continue };
        let told = match known.released {
            Some((at, _)) if at <= ended + RELEASED_WITHIN => continue,
            Some((at, _)) => format!("{} ms later", at - ended),
            None => "never".to_owned(),
        };
        broken
            .push(format!("call {call} ended at {} ms, its caller was told {told}", world.record.at(ended)));
    }
    broken
}

/// Answers come after their time, and a set-up that was given up gets 487 once it was worked on.
fn second_attempt(world: &Arc<World>) -> ! {
    let callers = answers_after_their_time(world, false, 90_000).0;
    pause(PATIENCE + 1_000);
    drop(callers);
    world.judge(&world.two_out())
}

/// Answers come after their time, and are good all the same.
fn late_answers(world: &Arc<World>) -> ! {
    let (callers, servers) = answers_after_their_time(world, true, 75_000);
    // Calls that stand last for 8.4 s at most, and their release has 8 s.
    pause(20_000);
    let calls = callers.calls.lock().unwrap().clone();
    let stood: Vec<_> = servers.iter().map(|server| server.stood()).collect();
    let mut broken = Vec::new();
    for (call, known) in &calls {
        let (Some(stands), None) = (known.stands, known.released) else { continue };
        let ends = stood.iter().filter_map(|server| server.get(call)).map(|run| run.ended);
        // No server has it any more, and since when.
        let Some(over) = ends.collect::<Option<Vec<u64>>>().and_then(|ends| ends.into_iter().max()) else {
            continue;
        };
        let over = over.max(stands);
        if over + RELEASED_WITHIN < now() {
            let at = world.record.at(over);
            broken.push(format!("call {call} was over at {at} ms, its caller was never told"));
        }
    }
    world.judge(&broken)
}

/// Traffic for so long; in half of the time one answer in three comes late, from either server.
fn answers_after_their_time(world: &Arc<World>, good: bool, length: u64) -> (Arc<Callers>, [Arc<Server>; 2]) {
    let (trouble, begun) = (world.trouble, now());
    let plan = move |invite: &Invite| {
        let drawn = drawn(invite);
        // For 8 s, and not for the next 8 s.
        let phase = (now() - begun) / 8_000;
        let late = trouble && phase.is_multiple_of(2) && draw(drawn).is_multiple_of(3);
        let after = if late { 1_000 + drawn % 400 } else { 15 + drawn % 20 };
        Plan { status: 200, after, hold: 7_400 + drawn % 1_000, late: good }
    };
    let servers = [Server::start(world, "s0", plan), Server::start(world, "s1", plan)];
    let paths = servers.each_ref().map(|server| Path::start(world, &server.address, 20));
    let channel = two_servers(world, &paths[0].address, &paths[1].address);
    let callers = start(world, &LICENCIAS, &channel);
    let caller = callers.connect("a");
    let end = now() + length;
    let mut n = 0;
    while now() < end {
        n += 1;
        caller.set_up(PATIENCE, (draw(n) % 2) as usize);
        pause(60 + draw(n) % 80);
    }
    (callers, servers)
}

/// The command channel takes 4.5 s for its first word.
fn slow_discovery(world: &Arc<World>) -> ! {
    const TOLD_WITHIN: u64 = 7_000;
    const DRAIN: u64 = 1_000;
    const SLACK: u64 = 50;
    let plan = |_: &Invite| Plan { status: 200, after: 20, hold: 8_000, late: false };
    let leaving = Server::start(world, "s0", plan);
    let other = Server::start(world, "s1", plan);
    let channel = two_servers(world, &leaving.address, &other.address);
    if world.trouble {
        channel.first_word.store(4_500, Ordering::SeqCst);
    }
    let callers = start(world, &VLTAVICE, &channel);
    let caller = callers.connect("a");
    let begun = now();
    let mut told = None;
    while now() < begun + 30_000 {
        caller.set_up(PATIENCE, 0);
        pause(150);
        if told.is_none() && now() > begun + 1_000 {
            told = Some(now());
            channel.tell(&entry("s-0", &leaving.address, 0, "DRAINING"));
        }
    }
    let last = told.unwrap_or(begun) + TOLD_WITHIN + DRAIN + SLACK;
    let late = leaving.came().into_iter().filter(|(at, _)| *at > last);
    let broken: Vec<String> = late
        .map(|(at, call)| format!("set-up {call} came to the draining s0 at {} ms", world.record.at(at)))
        .collect();
    world.judge(&broken)
}

/// Of the connections to a server one falls quiet, with calls standing that were set up on it.
fn quiet_connection(world: &Arc<World>) -> ! {
    let plan =
        |invite: &Invite| Plan { status: 200, after: 30, hold: 7_400 + drawn(invite) % 2_000, late: false };
    let server = Server::start(world, "s0", plan);
    let other = Server::start(world, "s1", plan);
    let path = Path::start(world, &server.address, 0);
    let channel = two_servers(world, &path.address, &other.address);
    let callers = start(world, &VLTAVICE, &channel);
    let caller = callers.connect("a");
    for _ in 0..3 {
        caller.set_up(PATIENCE, 0);
        caller.set_up(PATIENCE, 0);
        pause(600);
    }
    let from = now();
    if world.trouble {
        path.fall_quiet(1);
    }
    // Then light traffic.
    while now() < from + 30_000 {
        caller.set_up(PATIENCE, 0);
        pause(400);
    }
    world.judge(&not_released(world, &callers, &server))
}

/// A server's process dies and starts anew while discovery is down.
fn restarted_server(world: &Arc<World>) -> ! {
    const OUTAGE: u64 = 12_000;
    let plan = |_: &Invite| Plan { status: 200, after: 20, hold: 9_000, late: false };
    let server = Server::start(world, "s0", plan);
    let other = Server::start(world, "s1", plan);
    let channel = two_servers(world, &server.address, &other.address);
    let callers = start(world, &VLTAVICE, &channel);
    let caller = callers.connect("a");
    let begun = now();
    let mut restarted = None;
    let mut told = false;
    let mut n = 0;
    while now() < begun + 24_000 {
        caller.set_up(PATIENCE, n % 2);
        n += 1;
        pause(200);
        if world.trouble && restarted.is_none() && now() > begun + 5_000 {
            channel.set_down(true);
            pause(100);
            server.restart();
            restarted = Some(now());
        }
        if let Some(at) = restarted.filter(|at| !told && now() > at + OUTAGE) {
            channel.tell(&entry_started("s-0", &server.address, 0, "SERVING", at));
            channel.set_down(false);
            told = true;
        }
    }
    world.judge(&not_released(world, &callers, &server))
}

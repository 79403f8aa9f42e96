//! A setup server vanishes while set-ups are open on all connections to it: the calls that stood there are over.

use super::{RELEASED, SLACK, ms, sleep_until, text};
use crate::Verdict;
use crate::caller::{ANSWER, Caller, RELEASE, description, set_up};
use crate::channel::Channel;
use crate::proxy::{Config, Platform, USUAL, entry, event, free_address, wait_test};
use crate::record::Record;
use crate::relay::Relay;
use crate::server::Server;
use std::time::{Duration, Instant};

/// Calls that stand at the server as it vanishes.
const STANDING: u64 = 5;
/// Calls a second, each to that server by first choice.
const RATE: u64 = 50;
/// How long a caller waits: callers give up after 9 s.
const PATIENCE: u64 = 9_000;
/// How long calls come, before and after.
const BEFORE: Duration = ms(4_000);
const AFTER: Duration = ms(12_000);

pub fn play(platform: &Platform, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let servers = [
        Server::start(record, "server 0", ms(150), ms(400)).map_err(text)?,
        Server::start(record, "server 1", ms(150), ms(400)).map_err(text)?,
    ];
    let path = Relay::start(record, servers[0].addr).map_err(text)?;
    let channel = Channel::start(record, ms(0)).map_err(text)?;
    let list = [entry("s-0", path.addr, 0, "SERVING"), entry("s-1", servers[1].addr, 1, "SERVING")];
    let config = Config {
        listen: free_address(),
        mgmt: free_address(),
        channel: channel.addr,
        known: event(1, true, &list),
        servers: 2,
        limits: USUAL,
        proxies: (1, 0),
    };
    let mut process = platform.start("n0", &config, None)?;
    process.wait_ready()?;
    wait_test(record, config.listen)?;
    std::thread::sleep(ms(300));

    // The calls that matter stand for long; all callers come and go beside them.
    let mut callers = Vec::new();
    for n in 1..=6 {
        callers.push(Caller::connect(record, &format!("crowd, {n}"), config.listen).map_err(text)?);
    }
    let long: Vec<u64> = (1..=STANDING).map(|n| 0x10_0000_0000 + n).collect();
    for call in &long {
        servers[0].holds(*call, ms(60_000));
        callers[0].set_up(*call, 0);
        callers[0].wait(*call, ANSWER, Instant::now() + ms(3_000)).ok_or("a call does not stand")?;
    }
    let begun = Instant::now();
    let (mut vanished, mut number) = (None, 0_u64);
    while begun.elapsed() < BEFORE + AFTER {
        number += 1;
        let call = 0xca11_0000_0000_0000 + number;
        callers[number as usize % callers.len()]
            .send_bytes(&set_up(call, 0, PATIENCE, &description(call)).bytes());
        if trouble && vanished.is_none() && begun.elapsed() >= BEFORE {
            let at = Instant::now();
            let path = path.clone();
            std::thread::spawn(move || path.vanish());
            vanished = Some(at);
        }
        sleep_until(begun + Duration::from_micros(1_000_000 / RATE) * number as u32);
    }
    let stood = callers.iter().filter(|caller| caller.got_any(ANSWER)).count();
    if stood == 0 {
        return Err("no other call has stood".to_owned());
    }
    // On whichever connection from callers.
    let told: Vec<Option<Instant>> = long
        .iter()
        .map(|call| callers.iter().filter_map(|caller| caller.got(*call, RELEASE)).map(|(at, _)| at).min())
        .collect();
    let Some(over) = vanished else {
        return Ok(match told.iter().flatten().count() {
            0 => Verdict::Held("nothing has vanished, and the calls stand".to_owned()),
            n => Verdict::Broken(format!("{n} calls that stand were released")),
        });
    };
    let bound = RELEASED + SLACK;
    let late = told.iter().filter(|at| at.is_none_or(|at| at > over + bound)).count();
    let last = told.iter().flatten().max().map(|at| (*at - over).as_secs_f64());
    let last =
        last.map_or("none was released".to_owned(), |s| format!("the last was released {s:.3} s after it"));
    Ok(match late {
        0 => Verdict::Held(last),
        late => Verdict::Broken(format!(
            "{late} of {} calls that stood at a server which vanished were not released within 8.05 s of their end; {last}",
            long.len()
        )),
    })
}

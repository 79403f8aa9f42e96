//! A call ends while its caller has no connection open, and the process is replaced before the caller comes again.

use super::{RELEASED, SLACK, ms, sleep_until, text};
use crate::caller::{ANSWER, Caller, RELEASE};
use crate::channel::Channel;
use crate::proxy::{Config, Platform, USUAL, entry, event, free_address, wait_test};
use crate::record::Record;
use crate::server::Server;
use crate::{Verdict, sys};
use std::net::TcpListener;
use std::time::{Duration, Instant};

const CALL: u64 = 0xca11_0000_0000_0001;
/// How long the call stands.
const HOLD: Duration = ms(6_000);
/// From SIGTERM to SIGKILL: the longest deadline, 5 s at most, and 0.7 s.
const KILL: Duration = ms(5_700);

pub fn play(platform: &Platform, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let servers = [
        Server::start(record, "server 0", ms(20), ms(300)).map_err(text)?,
        Server::start(record, "server 1", ms(20), ms(300)).map_err(text)?,
    ];
    let channel = Channel::start(record, ms(0)).map_err(text)?;
    // The platform holds the clients' listening socket; every process inherits it.
    let listener = TcpListener::bind("127.0.0.1:0").map_err(text)?;
    let list = [entry("s-0", servers[0].addr, 0, "SERVING"), entry("s-1", servers[1].addr, 1, "SERVING")];
    let mut config = Config {
        listen: listener.local_addr().map_err(text)?,
        mgmt: free_address(),
        channel: channel.addr,
        known: event(1, true, &list),
        servers: 2,
        limits: USUAL,
        proxies: (1, 0),
    };
    let mut old = platform.start("old", &config, Some(&listener))?;
    old.wait_ready()?;
    wait_test(record, config.listen)?;
    std::thread::sleep(ms(300));

    servers[0].holds(CALL, HOLD);
    let first = Caller::connect(record, "caller, 1", config.listen).map_err(text)?;
    first.set_up(CALL, 0);
    first.wait(CALL, ANSWER, Instant::now() + ms(3_000)).ok_or("the call does not stand")?;
    // Callers close a connection after 4 s with no call on it; a call that stands belongs to none.
    std::thread::sleep(ms(4_000));
    first.close();
    let over = servers[0]
        .wait_released(CALL, Instant::now() + HOLD + ms(2_000))
        .ok_or("the server has not released the call")?;

    let mut new = None;
    let mut kill_at = None;
    sleep_until(over + ms(300));
    if trouble {
        config.mgmt = free_address();
        let mut process = platform.start("new", &config, Some(&listener))?;
        process.wait_ready()?;
        new = Some(process);
        old.signal("SIGTERM", sys::SIGTERM);
        kill_at = Some(Instant::now() + KILL);
    }
    // The caller comes again 3 s after the end, and calls now and then.
    sleep_until(over + ms(3_000));
    let again = Caller::connect(record, "caller, 2", config.listen).map_err(text)?;
    let due = over + RELEASED + SLACK;
    let mut number = CALL;
    let mut old_ended = false;
    while Instant::now() < due {
        number += 1;
        again.set_up(number, 1);
        if kill_at.is_some() && !old_ended {
            old_ended = old.wait_end(Instant::now() + ms(10));
        }
        if !old_ended && kill_at.is_some_and(|at| Instant::now() >= at) {
            old.signal("SIGKILL", sys::SIGKILL);
            kill_at = None;
        }
        sleep_until((Instant::now() + ms(1_000)).min(due));
    }
    let told = again.got(CALL, RELEASE);
    std::thread::sleep(ms(2_000));
    let later = again.got(CALL, RELEASE).is_some();
    if !again.got_any(ANSWER) {
        return Err("no later call has stood".to_owned());
    }
    drop(new);
    Ok(match told {
        Some((at, _)) => Verdict::Held(format!("released {:.3} s after its end", (at - over).as_secs_f64())),
        None => Verdict::Broken(format!(
            "call {CALL:016x} is over and was not released towards its caller within 8.05 s{}",
            if later { "; it was later" } else { ", nor in 2 s more" }
        )),
    })
}

//! Discovery is slow: it takes 3 s to serve a `resume`. A server drains.

use super::{SLACK, ms, sleep_until, text};
use crate::Verdict;
use crate::caller::{ANSWER, Caller};
use crate::channel::Channel;
use crate::proxy::{Config, Platform, USUAL, entry, event, free_address, wait_test};
use crate::record::Record;
use crate::server::Server;
use std::time::{Duration, Instant};

/// How long a slow discovery takes to serve a `resume`.
const SLOW: Duration = ms(3_000);
/// What the channel has to tell counts as told this much later at the latest.
const TOLD: Duration = ms(7_000);
/// Nothing new goes to a server that drains this long after it was told.
const STOP_SENDING: Duration = ms(1_000);

pub fn play(platform: &Platform, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let servers = [
        Server::start(record, "server 0", ms(20), ms(300)).map_err(text)?,
        Server::start(record, "server 1", ms(20), ms(300)).map_err(text)?,
    ];
    let channel = Channel::start(record, if trouble { SLOW } else { ms(0) }).map_err(text)?;
    let list = [entry("s-0", servers[0].addr, 0, "SERVING"), entry("s-1", servers[1].addr, 1, "SERVING")];
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

    let caller = Caller::connect(record, "caller", config.listen).map_err(text)?;
    let mut number = 0xca11_0000_0000_0000;
    let mut call_until = |until: Instant| {
        while Instant::now() < until {
            number += 1;
            caller.set_up(number, 0);
            sleep_until(Instant::now() + ms(250));
        }
    };
    call_until(Instant::now() + ms(4_000));
    let told = channel.tell(2, event(2, false, &[entry("s-0", servers[0].addr, 0, "DRAINING")]));
    let limit = told + TOLD + STOP_SENDING + SLACK;
    call_until(limit + ms(6_000));
    if !caller.got_any(ANSWER) {
        return Err("no call has stood".to_owned());
    }
    let late: Vec<Instant> = servers[0].set_ups().into_iter().filter(|at| *at > limit).collect();
    Ok(match late.last() {
        None => Verdict::Held("nothing new went to the server 8.05 s after the event".to_owned()),
        Some(last) => Verdict::Broken(format!(
            "{} set-ups went to the draining server later than 8.05 s after the event, the last {:.3} s after it",
            late.len(),
            (*last - told).as_secs_f64()
        )),
    })
}

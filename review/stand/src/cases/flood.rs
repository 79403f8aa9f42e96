//! Two answers of a setup server arrive spoilt: empty lines that keep coming. Calls at the other server go on.

use super::{SLACK, ms, sleep_until, text};
use crate::Verdict;
use crate::caller::{ANSWER, Caller};
use crate::channel::Channel;
use crate::proxy::{Config, Platform, USUAL, entry, event, free_address, operator, wait_test};
use crate::record::Record;
use crate::server::Server;
use std::time::{Duration, Instant};

const SPOILT: u64 = 0xca11_0000_0000_ffff;
/// What an answer may claim to hold that keeps coming.
const MOST: u64 = 3_000_000_000;
/// How long each caller waits.
const PATIENCE: u64 = 1_000;
/// An answer this long after the caller's time only earns nothing; a later one is lost.
const LATE: Duration = ms(500);

pub fn play(platform: &Platform, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let servers = [
        Server::start(record, "server 0", ms(20), ms(300)).map_err(text)?,
        Server::start(record, "server 1", ms(20), ms(300)).map_err(text)?,
    ];
    let channel = Channel::start(record, ms(0)).map_err(text)?;
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
    std::thread::sleep(ms(300));

    let caller = Caller::connect(record, "caller", config.listen).map_err(text)?;
    if trouble {
        servers[0].spoils(SPOILT, MOST);
    }
    let mut calls: Vec<(u64, Instant)> = Vec::new();
    let begun = Instant::now();
    for n in 0..60 {
        sleep_until(begun + ms(200) * n);
        if n == 10 {
            // Two at once, so that both answers are owed on one connection.
            for n in 0..6 {
                caller.set_up(SPOILT + n, 0);
            }
            let (record, mgmt) = (record.clone(), config.mgmt);
            std::thread::spawn(move || {
                std::thread::sleep(ms(300));
                let asked = Instant::now();
                let answer = operator(mgmt, "readyz").unwrap_or_default();
                let took = asked.elapsed().as_secs_f64();
                record.note("operator", &format!("readyz: {:?} after {took:.3} s", answer.trim()));
            });
        }
        let call = 0xca11_0000_0000_0000 + u64::from(n);
        if !caller.set_up_within(call, 1, PATIENCE) {
            return Err("the caller cannot write".to_owned());
        }
        calls.push((call, Instant::now()));
    }
    let bound = ms(PATIENCE) + LATE + SLACK;
    std::thread::sleep(bound + ms(500));
    if process.ended() {
        return Ok(Verdict::Broken("the process has crashed".to_owned()));
    }
    let took: Vec<(u64, Option<Duration>)> = calls
        .iter()
        .map(|(call, sent)| (*call, caller.answered(*call).map(|at| at.saturating_duration_since(*sent))))
        .collect();
    if !caller.got_any(ANSWER) {
        return Err("no call has stood".to_owned());
    }
    let lost: Vec<u64> =
        took.iter().filter(|(_, t)| t.is_none_or(|t| t > bound)).map(|(call, _)| *call).collect();
    let longest = took.iter().filter_map(|(_, t)| *t).max().unwrap_or_default();
    Ok(match lost.is_empty() {
        true => Verdict::Held(format!("the latest final answer came after {:.3} s", longest.as_secs_f64())),
        false => Verdict::Broken(format!(
            "{} of {} calls at the other server had no final answer 0.55 s after their callers' time; the latest came {:.3} s \
             after its set-up",
            lost.len(),
            calls.len(),
            longest.as_secs_f64()
        )),
    })
}

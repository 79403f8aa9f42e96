//! Some bad clients each send hundreds of large set-ups at once. The platform kills a process that is over its memory.

use super::{ms, sleep_until, text};
use crate::caller::{ANSWER, Caller, description, set_up};
use crate::channel::Channel;
use crate::proxy::{Config, Limits, Platform, entry, event, free_address, wait_test};
use crate::record::Record;
use crate::server::Server;
use crate::{Verdict, sys};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

/// Of the 85 connections that callers may hold with 256 descriptors.
const CLIENTS: u64 = 30;
/// Hundreds of requests at once.
const REQUESTS: u64 = 300;
/// With it a set-up stays under 16 KiB.
const LARGE: usize = 16_000;
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 256 };

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
        limits: LIMITS,
        proxies: (1, 0),
    };
    let mut process = platform.start("n0", &config, None)?;
    process.wait_ready()?;
    wait_test(record, config.listen)?;
    process.memory().ok_or("the memory of a process cannot be read here")?;

    // A usual caller, for as long as the case runs.
    let caller = Caller::connect(record, "caller", config.listen).map_err(text)?;
    let most = Arc::new(AtomicU64::new(0));
    let ended = Arc::new(AtomicBool::new(false));
    let begun = Instant::now();
    let calls = {
        let ended = ended.clone();
        move |caller: &Caller| {
            let mut call = 0xca11_0000_0000_0000;
            while begun.elapsed() < ms(8_000) && !ended.load(Ordering::Relaxed) {
                call += 1;
                caller.set_up(call, 1);
                sleep_until(Instant::now() + ms(250));
            }
        }
    };
    let crowd = move |record: Record, listen: std::net::SocketAddr| {
        for client in 1..=CLIENTS {
            let record = record.clone();
            std::thread::spawn(move || {
                let Ok(bad) = Caller::connect(&record, &format!("crowd, {client}"), listen) else { return };
                let mut bytes = Vec::new();
                for n in 1..=REQUESTS {
                    let call = 0xbad0_0000_0000_0000 | client << 32 | n;
                    let filled = description(call) + &"a=x\r\n".repeat(LARGE / 5);
                    bytes.extend(set_up(call, 0, 3_000, &filled[..LARGE]).bytes());
                }
                bad.send_bytes(&bytes);
                std::thread::sleep(ms(4_000));
                record.note(
                    "crowd",
                    &format!("client {client} sent {REQUESTS} set-ups, got {} words", bad.count()),
                );
            });
        }
    };
    let mut over = None;
    std::thread::scope(|scope| {
        scope.spawn(|| calls(&caller));
        let mut came = !trouble;
        while begun.elapsed() < ms(8_500) {
            if !came && begun.elapsed() > ms(1_500) {
                came = true;
                record.note(
                    "crowd",
                    &format!("{CLIENTS} clients come, each with {REQUESTS} set-ups of 16 KB at once"),
                );
                crowd(record.clone(), config.listen);
            }
            let held = process.memory().unwrap_or(0);
            most.fetch_max(held, Ordering::Relaxed);
            if held > LIMITS.memory_mb << 20 {
                let held = held as f64 / f64::from(1 << 20);
                record.note(
                    "platform",
                    &format!("the process holds {held:.1} MiB of memory, over {}", LIMITS.memory_mb),
                );
                process.signal("SIGKILL", sys::SIGKILL);
                over = Some(held);
                ended.store(true, Ordering::Relaxed);
                break;
            }
            std::thread::sleep(ms(2));
        }
    });
    let most = most.load(Ordering::Relaxed) as f64 / f64::from(1 << 20);
    record.note("platform", &format!("most memory: {most:.1} MiB"));
    if over.is_none() && process.ended() {
        return Ok(Verdict::Broken("the process has crashed".to_owned()));
    }
    if !caller.got_any(ANSWER) {
        return Err("no call has stood".to_owned());
    }
    Ok(match over {
        None => Verdict::Held(format!("the process held {most:.1} MiB of memory at most")),
        Some(held) => Verdict::Broken(format!(
            "the process held {held:.1} MiB of its {} and was killed by the platform",
            LIMITS.memory_mb
        )),
    })
}

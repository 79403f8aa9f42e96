//! A setup server is replaced on a busy day. While the old one drains, seven of ten proxies are killed and start
//! again.

use super::{ms, sleep_until, text};
use crate::caller::{ANSWER, Message, RELEASE, description, set_up};
use crate::channel::Channel;
use crate::processor::{Busy, Cold};
use crate::proxy::{Config, Platform, Process, USUAL, entry, event, free_address, started_entry};
use crate::record::Record;
use crate::{Verdict, caller, sys};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROXIES: usize = 10;
/// Seven in ten.
const KILLED: usize = 7;
/// Calls a second that a warm server can do.
const RATE: f64 = 40.0;
/// On the worst days callers offer 110 to 120% of the load.
const LOAD: f64 = 1.2;
/// Mean length of a call, in seconds.
const HOLD: f64 = 9.0;
/// How long a caller waits: 30 to 40% of 9 s.
const PATIENCE: u64 = 3_000;
const REDIALS: u32 = 2;
/// When the old server begins to drain, for how long, and when the proxies are killed and start again.
const DRAIN_AT: Duration = ms(12_000);
const DRAIN: Duration = ms(9_500);
const KILL_AT: Duration = ms(12_300);
const DOWN: Duration = ms(1_000);
/// How late a planned change is listed.
const LISTED_AFTER: Duration = ms(1_000);
const END: Duration = ms(33_000);
const COLD: Cold = Cold { start_capacity: 0.31, warm_s: 15.0, fall_multiple: 2.0, fall: ms(1_000) };

/// Numbers without a pattern, the same in each run.
struct Draw(u64);

impl Draw {
    fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    fn wait(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

/// One proxy's place: its process, its list's channel, and its callers' connection.
struct Place {
    config: Config,
    process: Option<Process>,
    channel: Channel,
    cursor: u64,
}

/// The callers' connection to each proxy.
type Lines = Arc<Mutex<Vec<Option<TcpStream>>>>;

pub fn play(platform: &Platform, record: &Record, trouble: bool) -> Result<Verdict, String> {
    let hold = Arc::new(|call: u64| {
        let mut draw = Draw(call.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        draw.unit();
        Duration::from_secs_f64(draw.wait(HOLD))
    });
    let old = Busy::start(record, "s-0", RATE, COLD, None, hold.clone()).map_err(text)?;
    let other = Busy::start(record, "s-1", RATE, COLD, None, hold.clone()).map_err(text)?;
    let mut list = vec![entry("s-0", old.addr, 0, "SERVING"), entry("s-1", other.addr, 1, "SERVING")];

    let mut places = Vec::new();
    for me in 0..PROXIES {
        let channel = Channel::start(record, ms(0)).map_err(text)?;
        let config = Config {
            listen: free_address(),
            mgmt: free_address(),
            channel: channel.addr,
            known: event(1, true, &list),
            servers: 2,
            limits: USUAL,
            proxies: (PROXIES, me),
        };
        let process = platform.start(&format!("n{me}"), &config, None)?;
        places.push(Place { config, process: Some(process), channel, cursor: 1 });
    }
    for place in &mut places {
        place.process.as_mut().map(Process::wait_ready).transpose()?;
    }
    let lines: Lines = Arc::new(Mutex::new((0..PROXIES).map(|_| None).collect()));
    let (words, came) = mpsc::channel();
    for (me, place) in places.iter().enumerate() {
        keep_line(me, place.config.listen, lines.clone(), words.clone());
    }
    std::thread::sleep(ms(500));
    let begun = Instant::now();
    let calls = {
        let (lines, record) = (lines.clone(), record.clone());
        std::thread::spawn(move || callers(begun, &lines, &came, &record))
    };

    sleep_until(begun + DRAIN_AT);
    let tell = |places: &mut Vec<Place>, entries: &[String]| {
        for place in places {
            place.cursor += 1;
            place.channel.tell(place.cursor, event(place.cursor, false, entries));
        }
    };
    list[0] = entry("s-0", old.addr, 0, "DRAINING");
    tell(&mut places, &list[..1]);
    sleep_until(begun + KILL_AT);
    if trouble {
        for place in &mut places[..KILLED] {
            if let Some(process) = place.process.take() {
                process.signal("SIGKILL", sys::SIGKILL);
            }
        }
        sleep_until(begun + KILL_AT + DOWN);
        for (me, place) in places[..KILLED].iter_mut().enumerate() {
            // It comes back with nothing but the list as it is now.
            place.channel = Channel::start(record, ms(0)).map_err(text)?;
            place.cursor = 1;
            place.config.channel = place.channel.addr;
            place.config.known = event(1, true, &list);
            place.process = Some(platform.start(&format!("n{me}-again"), &place.config, None)?);
        }
    }
    sleep_until(begun + DRAIN_AT + DRAIN);
    old.stop();
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
    let new = Busy::start(record, "s-2", RATE, COLD, Some(Instant::now()), hold).map_err(text)?;
    record.note("s-2", "starts cold in the place of s-0");
    sleep_until(begun + DRAIN_AT + DRAIN + LISTED_AFTER);
    tell(&mut places, &[entry("s-0", old.addr, 0, "DELETED"), started_entry("s-2", new.addr, 0, unix_ms)]);
    let mut next = Instant::now();
    while begun.elapsed() < END && new.fall().is_none() {
        next += ms(1_000);
        sleep_until(next);
        for server in [&other, &new] {
            let (came, stood, turned) = server.tally();
            record.note(
                &server.id,
                &format!("since the last look: {came} set-ups, {stood} stood, {turned} turned away"),
            );
        }
    }
    for place in &mut places {
        if place.process.as_mut().is_none_or(Process::ended) {
            return Ok(Verdict::Broken("a process has crashed".to_owned()));
        }
    }
    drop(places);
    drop(calls);
    let (most, sent) = new.most();
    if sent == 0 {
        return Err("nothing was sent to the new server".to_owned());
    }
    Ok(match new.fall() {
        None => Verdict::Held(format!(
            "the new server got {sent} set-ups within 1 s at most, {:.0}% of what it bears",
            most * 100.0
        )),
        Some(fall) => Verdict::Broken(format!(
            "the new server got {} set-ups within 1 s, of which it bears {:.1} (it can do {:.1} a second then), all from \
             proxies that had been told of its start",
            fall.sent, fall.bears, fall.capacity
        )),
    })
}

/// Keeps the callers' connection to one proxy open: after an end it is opened again once a test passes.
fn keep_line(me: usize, listen: SocketAddr, lines: Lines, words: Sender<Message>) {
    std::thread::spawn(move || {
        loop {
            let Ok(mut stream) = TcpStream::connect_timeout(&listen, ms(500)) else {
                std::thread::sleep(ms(50));
                continue;
            };
            let _ = stream.set_nodelay(true);
            if let Ok(writing) = stream.try_clone() {
                lines.lock().unwrap_or_else(|e| e.into_inner())[me] = Some(writing);
            }
            let (mut bytes, mut chunk) = (Vec::new(), [0; 16384]);
            while let Ok(n) = stream.read(&mut chunk) {
                if n == 0 {
                    break;
                }
                bytes.extend_from_slice(&chunk[..n]);
                while let Some((message, used)) = Message::read(&bytes) {
                    bytes.drain(..used);
                    if words.send(message).is_err() {
                        return;
                    }
                }
            }
            lines.lock().unwrap_or_else(|e| e.into_inner())[me] = None;
        }
    });
}

/// One try of a caller.
#[derive(Clone, Copy)]
struct Try {
    proxy: usize,
    number: u64,
    cell: usize,
    /// How many tries came before.
    before: u32,
}

/// Callers call at random, and dial again by themselves after a wait.
fn callers(begun: Instant, lines: &Lines, came: &Receiver<Message>, record: &Record) {
    let mut draw = Draw(0x5eed_1234_5678_9abc);
    let (mut next_call, mut id, mut number) = (begun, 0xca11_0000_0000_0000_u64, 0);
    let mut redials: BTreeMap<(Instant, u64), Try> = BTreeMap::new();
    let mut open: BTreeMap<u64, (Try, Instant)> = BTreeMap::new();
    let (mut tries, mut stood, mut looked) = (0, 0, begun);
    while begun.elapsed() < END {
        let now = Instant::now();
        let mut due: Vec<Try> = Vec::new();
        while next_call <= now {
            number += 1;
            let (proxy, cell) = ((draw.unit() * PROXIES as f64) as usize, usize::from(draw.unit() < 0.5));
            due.push(Try { proxy, number, cell, before: 0 });
            next_call += Duration::from_secs_f64(draw.wait(1.0 / (2.0 * RATE * LOAD)));
        }
        while let Some(entry) = redials.first_entry().filter(|e| e.key().0 <= now) {
            due.push(entry.remove());
        }
        let again = |of: Try, draw: &mut Draw, redials: &mut BTreeMap<_, _>, stay_away: Option<u64>| {
            if of.before < REDIALS {
                let own = 540.0 + 1_060.0 * draw.unit();
                // About half of the callers heed the wait in a refusal.
                let wait = stay_away.filter(|_| draw.unit() < 0.5).map_or(own, |ms| own.max(ms as f64));
                let at = now + Duration::from_secs_f64(wait / 1e3);
                redials.insert((at, of.number), Try { before: of.before + 1, ..of });
            }
        };
        for one in due {
            id += 1;
            tries += 1;
            let mut message = set_up(id, one.cell, PATIENCE, &description(id))
                .with(24, format!("{:016x}", one.number).as_bytes());
            // The number called is that of the first try; a redial is marked.
            message.parameters.retain(|p| p.0 != 24);
            message = message.with(24, format!("{:016x}", one.number).as_bytes());
            if one.before > 0 {
                message = message.with(22, b"1");
            }
            let mut lines = lines.lock().unwrap_or_else(|e| e.into_inner());
            let sent = lines[one.proxy].as_mut().is_some_and(|line| line.write_all(&message.bytes()).is_ok());
            drop(lines);
            match sent {
                true => drop(open.insert(id, (one, now + ms(PATIENCE)))),
                false => again(one, &mut draw, &mut redials, None),
            }
        }
        while let Ok(message) = came.try_recv() {
            let Some((one, _)) = (match message.kind {
                ANSWER | RELEASE => open.remove(&message.call),
                _ => None,
            }) else {
                continue;
            };
            if message.kind == ANSWER {
                stood += 1;
            } else {
                let stay_away = message.parameters.iter().find(|p| p.0 == 28);
                let stay_away = stay_away.and_then(|p| std::str::from_utf8(&p.1).ok()?.parse().ok());
                again(one, &mut draw, &mut redials, stay_away);
            }
        }
        let late: Vec<u64> = open.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        for id in late {
            let Some((one, _)) = open.remove(&id) else { continue };
            let mut lines = lines.lock().unwrap_or_else(|e| e.into_inner());
            if let Some(line) = lines[one.proxy].as_mut() {
                let _ = line.write_all(&caller::Message::new(RELEASE, id).with(44, &[16]).bytes());
            }
            drop(lines);
            again(one, &mut draw, &mut redials, None);
        }
        if looked.elapsed() >= ms(1_000) {
            looked = now;
            record.note("callers", &format!("{tries} tries so far, {stood} stood, {} wait", open.len()));
        }
        std::thread::sleep(ms(2));
    }
}

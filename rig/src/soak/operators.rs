//! What operators do: they drain proxies, change settings, and ask for the figures.

use super::oracle::{Rule, SETTINGS_BIND};
use super::platform::{Process, asks, at_rest};
use super::world::{Deployed, World};
use async_io::{Async, Timer};
use fernspan::isup::{self, Message};
use fernspan_model::Time;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Figures that say how things stand now; all others are counts, which never fall.
const GAUGES: [&str; 4] = ["concurrent", "targets", "targets_disabled", "client_memory"];

/// The class that comes and goes.
pub const FURTHER_CLASS: &str = "further";
/// The front asks this often whether a drained proxy is ready, and sends new connections for so long after its no (LATER).
const TEST_EVERY: Time = 100_000;
const FRONT_NOTICES: Time = 200_000;
/// This long after the call nothing is held (LATER).
const LET_GO: Time = 4_000_000;
/// A request of so long before may still be open then (LATER).
const RECENT: Time = 2_000_000;
/// A proxy says yes this long after the end of a drain (LATER).
const READY_AGAIN: Time = 2_000_000;
/// A close that is on its way is no connection that is held.
const CLOSING: Time = 300_000;

/// Drains a proxy for a while, by a call at any of its processes.
pub async fn drain(world: Rc<World>, proxy: usize, length: Time) {
    let slot = &world.proxies[proxy];
    if slot.drained_at.get().is_some() {
        return;
    }
    let Some(process) = any_process(&world, proxy) else { return };
    slot.drained_at.set(Some(world.now()));
    if calls(&world, proxy, &process, "evacuate").await {
        drained(&world, proxy, length).await;
    }
    slot.drained_at.set(None);
    slot.open.set(slot.open.get() || !slot.changing.get() && !slot.processes.borrow().is_empty());
}

/// The first of its processes, or the last. Where they share nothing, one that ends has no part in it.
fn any_process(world: &World, proxy: usize) -> Option<Rc<Process>> {
    let slot = &world.proxies[proxy];
    let processes = slot.processes.borrow();
    match world.number().is_multiple_of(2) && slot.held.is_some() {
        true => processes.first().cloned(),
        false => processes.last().cloned(),
    }
}

/// Says one of the operators' words; `false` where the process is ending and its answer proves nothing.
async fn calls(world: &World, proxy: usize, process: &Process, word: &str) -> bool {
    let asked = world.now();
    let answer = asks(process.management, word).await;
    if process.is_ending() {
        return answer.is_ok_and(|answer| answer.starts_with("done"));
    }
    let done = answer.as_ref().is_ok_and(|answer| answer.starts_with("done"));
    // A process listens for operators a moment after its start.
    if !done && process.said_yes.get() && world.is_in_time_since(asked) {
        let detail = format!("p{proxy}: {word}: {answer:?}");
        world.oracle.borrow_mut().breaks(world.now(), Rule::Management, detail);
    }
    done
}

async fn drained(world: &Rc<World>, proxy: usize, length: Time) {
    let slot = &world.proxies[proxy];
    let begun = world.now();
    let mut noticed = false;
    let mut judged = false;
    while world.now() < begun + length {
        world.pause(TEST_EVERY).await;
        if !noticed && !says_ready(world, proxy).await {
            noticed = true;
            world.pause(FRONT_NOTICES).await;
            slot.open.set(false);
        }
        if !judged && world.now() >= begun + LET_GO {
            judged = true;
            judge(world, proxy, begun).await;
        }
    }
    let Some(process) = any_process(world, proxy) else { return };
    if !calls(world, proxy, &process, "activate").await {
        return;
    }
    let ended = world.now();
    while !says_ready(world, proxy).await {
        if slot.changing.get() || world.now() > ended + READY_AGAIN {
            break;
        }
        world.pause(TEST_EVERY).await;
    }
    let late = world.now() > ended + READY_AGAIN && world.is_in_time_since(ended);
    if late && !slot.changing.get() {
        let detail = format!("p{proxy} does not say yes after its drain");
        world.oracle.borrow_mut().breaks(world.now(), Rule::Drained, detail);
    }
}

/// Whether a test at the clients' address passes.
async fn says_ready(world: &World, proxy: usize) -> bool {
    let asks = async {
        let mut stream = Async::<TcpStream>::connect(world.clients_address(proxy)).await.ok()?;
        let test = Message::new(isup::TEST, 0).with(isup::CAUSE, &[0]).encode(crate::wire::MOST)?;
        stream.write_all(&test).await.ok()?;
        let mut answer = vec![0; test.len()];
        stream.read_exact(&mut answer).await.ok()?;
        answer.last().map(|passed| *passed == 1)
    };
    let gives_up = async {
        Timer::after(Duration::from_secs(1)).await;
        None
    };
    future::or(asks, gives_up).await == Some(true)
}

/// 4 s after the call the proxy says no, and holds no client's connection without need. One whose process has started anew
/// knows of no drain.
async fn judge(world: &World, proxy: usize, begun: Time) {
    let slot = &world.proxies[proxy];
    let anew = || slot.reborn_at.get() >= begun || slot.changing.get() && slot.held.is_none();
    if anew() || !world.is_in_time_since(begun) {
        return;
    }
    if says_ready(world, proxy).await && !anew() {
        let detail = format!("p{proxy} still says that it is ready");
        world.oracle.borrow_mut().breaks(world.now(), Rule::Drained, detail);
    }
    let now = world.now();
    let mut held = Vec::new();
    for (connection, used) in slot.connections.borrow().iter() {
        let (open, stands) = world.oracle.borrow().needs(*connection);
        let needed = stands || open.is_some_and(|taken| taken + RECENT <= now + CLOSING);
        if !needed && used + CLOSING < now {
            held.push((*connection, (now - used) / 1_000, open.map(|taken| (now - taken) / 1_000)));
        }
    }
    if !held.is_empty() && !anew() {
        let detail = format!("p{proxy} holds connections (number, used, open; ms ago): {held:?}");
        world.oracle.borrow_mut().breaks(now, Rule::Drained, detail);
    }
}

/// Writes other settings and sends SIGHUP: a class comes or goes, and the number of attempts is another.
pub async fn change_settings(world: Rc<World>, proxy: usize) {
    let Some(process) = at_rest(&world, proxy) else { return };
    let slot = &world.proxies[proxy];
    let before = slot.settings.get();
    let attempts = if before.attempts > 2 { 2 } else { 4 };
    let settings = Deployed { further_class: !before.further_class, attempts };
    let now = world.now();
    match settings.further_class {
        true => slot.further_class.set((now + SETTINGS_BIND, Time::MAX)),
        // Clients stop naming it first.
        false => {
            slot.further_class.set((0, 0));
            world.pause(CLOSING).await;
        }
    }
    if process.is_ending() || slot.changing.get() {
        slot.further_class.set(if before.further_class { (0, Time::MAX) } else { (0, 0) });
        return;
    }
    slot.settings.set(settings);
    world.oracle.borrow_mut().attempts_change(world.now(), proxy, attempts);
    process.rewrite(|configuration| {
        configuration["settings"] = deployed(world.base_settings(proxy), settings);
    });
}

/// The settings with what changes in them.
pub fn deployed(mut settings: Value, deployed: Deployed) -> Value {
    settings["limits"]["try_limit"] = json!(deployed.attempts);
    if deployed.further_class {
        for list in ["allowed_pools", "class_hold", "channels_needed"] {
            let first = settings["specifics"][list][0].clone();
            if let Some(list) = settings["specifics"][list].as_array_mut() {
                list.push(first);
            }
        }
        let mut class = settings["profiles"][0].clone();
        class["name"] = json!(FURTHER_CLASS);
        if let Some(profiles) = settings["profiles"].as_array_mut() {
            profiles.push(class);
        }
    }
    settings
}

/// The counts of a process, as it reports them; nothing where the answer is not whole.
fn counts(answer: &str) -> Option<BTreeMap<String, u64>> {
    let read = |line: &str| {
        let (name, value) = line.split_once('=')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    answer.strip_suffix("end\n")?.lines().map(read).collect()
}

/// Asks a process for its figures: they come in time, can be read, and no count falls.
pub async fn ask_figures(world: &World, proxy: usize, process: &Process, before: &mut BTreeMap<String, u64>) {
    let asked = world.now();
    let answer = asks(process.management, "telemetry").await;
    if process.is_ending() || !world.is_in_time_since(asked) {
        return;
    }
    let breaks = |detail: String| {
        let detail = format!("p{proxy} process {}: {detail}", process.generation);
        world.oracle.borrow_mut().breaks(world.now(), Rule::Figures, detail);
    };
    let Some(now) = answer.as_ref().ok().and_then(|answer| counts(answer)) else {
        return breaks(format!("{answer:?}"));
    };
    let is_count = |name: &str| !GAUGES.iter().any(|gauge| name.ends_with(gauge));
    for (name, count) in before.iter().filter(|(name, _)| is_count(name)) {
        if now.get(name).is_none_or(|later| later < count) {
            breaks(format!("{name} falls from {count} to {:?}", now.get(name)));
        }
    }
    *before = now;
}

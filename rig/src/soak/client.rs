//! Clients of one proxy: they call on connections that they keep, give up, hang up, and come again at once.

use super::operators::FURTHER_CLASS;
use super::oracle::{Answer, Ended, Fate, Rule};
use super::world::World;
use crate::wire;
use async_io::{Async, Timer};
use fernspan::isup::{self, Message};
use fernspan::net::Decode;
use fernspan_model::draw::Draw;
use fernspan_model::world::CLASS;
use fernspan_model::{CallId, Time};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// The one tenant.
pub const TENANT: &str = "tenant";
/// Mean time between two calls of one connection.
const CALL_EVERY: f64 = 170_000.0;
/// How long a client waits before it connects again, where it was not let in.
const RECONNECT: Time = 20_000;
/// A slow writer's pause within a set-up.
const PAUSE_MS: [f64; 2] = [5.0, 200.0];
/// Callers close a connection that has had no call for so long (PROTOCOL).
const IDLE: Time = 4_000_000;

/// One client.
pub struct Client {
    world: Rc<World>,
    proxy: usize,
    draw: Draw,
    /// Calls that have crossed a close, to be sent again.
    again: VecDeque<CallId>,
}

/// What a client does later.
enum Due {
    Call,
    GiveUp(CallId),
    HangUp(CallId),
}

/// What both halves of a connection share.
struct Shared {
    number: u64,
    due: RefCell<BTreeMap<(Time, u64), Due>>,
}

impl Client {
    /// A client with draws of its own.
    pub fn new(world: Rc<World>, proxy: usize) -> Client {
        let draw = world.draw(1_000 + world.number());
        Client { world, proxy, draw, again: VecDeque::new() }
    }

    /// Calls until the run ends.
    pub async fn run(mut self) {
        while !self.world.ending.get() {
            if !self.world.proxies[self.proxy].open.get() {
                self.world.pause(RECONNECT).await;
                continue;
            }
            let address = self.world.clients_address(self.proxy);
            match Async::<TcpStream>::connect(address).await {
                Ok(stream) => self.connection(stream).await,
                Err(_) => self.world.pause(RECONNECT).await,
            }
        }
    }

    async fn connection(&mut self, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        let number = self.world.number();
        self.world.proxies[self.proxy].connections.borrow_mut().insert(number, self.world.now());
        let shared = Shared { number, due: RefCell::default() };
        // A client leaves by itself now and then, whatever is open.
        let leaves = if self.draw.chance(0.2) { self.draw.ms([500.0, 4_000.0]) } else { Time::MAX / 2 };
        let leaves_at = self.world.now() + leaves;
        let world = self.world.clone();
        let reading = read(&world, self.proxy, &stream, &shared);
        let writing = self.write(&stream, &shared, leaves_at);
        let by = future::or(reading, writing).await;
        drop(stream);
        world.proxies[self.proxy].connections.borrow_mut().remove(&number);
        let fates = world.oracle.borrow_mut().connection_ended(world.now(), number, by);
        let crossed = fates.into_iter().filter(|(_, fate)| *fate == Fate::SendAgain).map(|(call, _)| call);
        self.again.extend(crossed);
    }

    async fn write(&mut self, stream: &Async<TcpStream>, shared: &Shared, leaves_at: Time) -> Ended {
        let world = self.world.clone();
        shared.due.borrow_mut().insert((world.now(), world.number()), Due::Call);
        let mut used = world.now();
        loop {
            if world.now() >= leaves_at || world.ending.get() {
                return Ended::ByClient;
            }
            let next = shared.due.borrow().first_key_value().map(|(key, _)| *key);
            let wake = next.map_or(world.now() + 50_000, |key| key.0).min(world.now() + 50_000);
            let late_from = wake;
            world.until(wake).await;
            let now = world.now();
            world.oracle.borrow_mut().late(now, now.saturating_sub(late_from));
            let due = match shared.due.borrow_mut().first_entry() {
                Some(entry) if entry.key().0 <= now => entry.remove(),
                _ => {
                    if now > used + IDLE {
                        return Ended::ByClient;
                    }
                    continue;
                }
            };
            let written = match due {
                Due::Call => {
                    used = now;
                    self.call(stream, shared).await
                }
                Due::GiveUp(call) => {
                    if world.oracle.borrow().awaits_answer(call) {
                        world.oracle.borrow_mut().left(world.now(), call);
                        self.send(stream, release(call)).await
                    } else {
                        Ok(())
                    }
                }
                Due::HangUp(call) => {
                    world.oracle.borrow_mut().left(world.now(), call);
                    self.send(stream, release(call)).await
                }
            };
            if written.is_err() {
                // The reading half tells how it has ended.
                future::pending::<()>().await;
            }
        }
    }

    async fn send(&mut self, mut stream: &Async<TcpStream>, message: Message) -> std::io::Result<()> {
        stream.write_all(&message.encode(wire::MOST).unwrap_or_default()).await
    }

    /// Makes a call, or one again that has crossed a close.
    async fn call(&mut self, mut stream: &Async<TcpStream>, shared: &Shared) -> std::io::Result<()> {
        let world = self.world.clone();
        let call = self.again.pop_front().unwrap_or_else(|| world.number() << 20 | self.proxy as u64);
        let patience = self.patience();
        let bytes = self.setup(call, patience).encode(wire::MOST).unwrap_or_default();
        if self.draw.chance(0.15) {
            let cut = 1 + (self.draw.unit() * (bytes.len() - 1) as f64) as usize;
            stream.write_all(&bytes[..cut]).await?;
            let pause = self.draw.ms(PAUSE_MS);
            world.pause(pause).await;
            stream.write_all(&bytes[cut..]).await?;
        } else {
            stream.write_all(&bytes).await?;
        }
        let now = world.now();
        world.oracle.borrow_mut().taken(now, call, self.proxy, shared.number, patience);
        world.proxies[self.proxy]
            .connections
            .borrow_mut()
            .entry(shared.number)
            .and_modify(|used| *used = now);
        let mut due = shared.due.borrow_mut();
        // At its time's end a caller gives up; some do so early.
        let gives_up = if self.draw.chance(0.1) { self.draw.ms([1.0, 400.0]) } else { Time::MAX / 2 };
        if gives_up < patience {
            due.insert((now + gives_up, world.number()), Due::GiveUp(call));
        }
        if self.draw.chance(0.3) {
            let after = patience.min(3_000_000) + self.draw.ms([100.0, 1_000.0]);
            due.insert((now + after, world.number()), Due::HangUp(call));
        }
        due.insert((now + self.draw.wait(CALL_EVERY) as Time, world.number()), Due::Call);
        Ok(())
    }

    fn patience(&mut self) -> Time {
        let deadline = self.world.plan.deadline;
        match self.draw.chance(0.8) {
            true => deadline,
            false => (deadline as f64 * self.draw.between([0.1, 1.0])) as Time / 1_000 * 1_000 + 1_000,
        }
        .min(deadline)
    }

    /// The usual class, or now and then the further one while the settings have it.
    fn class(&mut self) -> &'static str {
        let (from, until) = self.world.proxies[self.proxy].further_class.get();
        let now = self.world.now();
        match now >= from && now < until && self.draw.chance(0.3) {
            true => FURTHER_CLASS,
            false => CLASS,
        }
    }

    fn setup(&mut self, call: CallId, patience: Time) -> Message {
        let place = (self.draw.unit() * self.world.plan.servers as f64) as usize;
        let description = format!("{call:016x}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
        Message::new(isup::SETUP, call)
            .with(isup::CLASS, self.class().as_bytes())
            .with(isup::PATIENCE, (patience / 1_000).to_string().as_bytes())
            .with(isup::TENANT, TENANT.as_bytes())
            .with(isup::NUMBER, format!("{call:016x}").as_bytes())
            .with(isup::FIGURES, format!("dest:{place};width:1;via:-1").as_bytes())
            .with(isup::DESCRIPTION, description.as_bytes())
    }
}

fn release(call: CallId) -> Message {
    Message::new(isup::RELEASE, call).with(isup::CAUSE, &[16])
}

/// Reads answers until the connection ends.
async fn read(world: &World, proxy: usize, mut stream: &Async<TcpStream>, shared: &Shared) -> Ended {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 16_384];
    let mut decoder = isup::Decoder { most: wire::MOST };
    loop {
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => bytes.extend_from_slice(&chunk[..n]),
            _ => return Ended::ByProxy,
        }
        loop {
            match decoder.decode(&bytes) {
                Ok(None) => break,
                Ok(Some((message, used))) => {
                    bytes.drain(..used);
                    world.proxies[proxy]
                        .connections
                        .borrow_mut()
                        .entry(shared.number)
                        .and_modify(|u| *u = world.now());
                    heard(world, proxy, &message);
                }
                Err(e) => {
                    let detail = format!("p{proxy} to a client: {e}");
                    world.oracle.borrow_mut().breaks(world.now(), Rule::Readable, detail);
                    return Ended::ByClient;
                }
            }
        }
    }
}

fn heard(world: &World, proxy: usize, message: &Message) {
    let (now, call) = (world.now(), message.call);
    let mut oracle = world.oracle.borrow_mut();
    if message.get(isup::CAUSE) == Some(&[isup::CAUSE_INVALID]) {
        let detail = format!("p{proxy} does not know what call {call:016x} names");
        oracle.breaks(now, Rule::Settings, detail);
    }
    match message.kind {
        isup::ANSWER => {
            let description = message.get(isup::DESCRIPTION).unwrap_or_default().to_vec();
            oracle.answered(now, call, &Answer::Stands(description));
        }
        isup::RELEASE if oracle.awaits_answer(call) => {
            oracle.answered(now, call, &Answer::Turned);
        }
        isup::RELEASE => oracle.released(call),
        _ => {}
    }
}

/// Clients that write what nobody can read, stop half way, ask for more than they read, or say nothing.
pub async fn bad_clients(world: Rc<World>, proxy: usize) {
    let mut draw = world.draw(500 + world.number());
    let address = world.clients_address(proxy);
    for n in 0..12 {
        if !world.proxies[proxy].open.get() {
            return;
        }
        let Ok(mut stream) = Async::<TcpStream>::connect(address).await else { return };
        let bytes = match n % 4 {
            0 => vec![0; 64],
            1 => vec![0xff; 64],
            2 => vec![0, 40, isup::SETUP, 1, 2],
            _ => Message::new(isup::TEST, 7)
                .with(isup::CAUSE, &[0])
                .encode(wire::MOST)
                .unwrap_or_default()
                .repeat(200),
        };
        let _ = stream.write_all(&bytes).await;
        let held = draw.ms([0.0, 800.0]);
        let held_open = async move {
            Timer::after(Duration::from_micros(held)).await;
            drop(stream);
        };
        world.spawn(held_open).detach();
        world.pause(2_000).await;
    }
}

/// How many clients a crowd has.
const CROWD: usize = 50;

/// Many clients come at once, call for a while and leave.
pub async fn crowd(world: Rc<World>, proxy: usize) {
    for _ in 0..CROWD {
        let client = Client::new(world.clone(), proxy);
        let (here, length) = (world.clone(), 2_000_000);
        let calls = async move {
            let until = here.now() + length;
            let mut client = client;
            if here.proxies[proxy].open.get()
                && let Ok(stream) = Async::<TcpStream>::connect(here.clients_address(proxy)).await
            {
                client.crowded(stream, until).await;
            }
        };
        world.spawn(calls).detach();
    }
}

impl Client {
    async fn crowded(&mut self, stream: Async<TcpStream>, until: Time) {
        let world = self.world.clone();
        let shared = Shared { number: world.number(), due: RefCell::default() };
        let reading = read(&world, self.proxy, &stream, &shared);
        let writing = self.write(&stream, &shared, until);
        let by = future::or(reading, writing).await;
        drop(stream);
        world.oracle.borrow_mut().connection_ended(world.now(), shared.number, by);
    }
}

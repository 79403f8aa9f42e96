//! The command channel of one process: numbered events, told to whoever follows, and ways to fall silent.

use super::plan::Silence;
use super::world::World;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use fernspan_model::Time;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// What the channel has to tell counts as told this much later at the latest (PROTOCOL).
const TOLD_AT_LATEST: Time = 7_000_000;
/// After a failed, refused or given-up call, once discovery could be reached (ACCEPTANCE).
const TOLD_AFTER_RETURN: Time = 6_000_000;
/// A line with the last number comes this often.
const BEAT: Duration = Duration::from_secs(1);

/// The channel of one process.
pub struct Channel {
    /// Where it is; another address after a reload.
    address: RefCell<SocketAddr>,
    /// Number and text of each event since the process's start.
    events: RefCell<Vec<(u64, String)>>,
    followers: RefCell<Vec<Sender<String>>>,
    silence: Cell<Option<Silence>>,
    silent_until: Cell<Time>,
    /// Counts moves; a listener of an earlier one ends.
    moves: Cell<u32>,
}

impl Channel {
    /// Listens, with the first event told by the configuration.
    pub fn start(world: &Rc<World>, proxy: usize) -> Rc<Channel> {
        let channel = Rc::new(Channel {
            address: RefCell::new(world.channel_address(proxy)),
            events: RefCell::default(),
            followers: RefCell::default(),
            silence: Cell::new(None),
            silent_until: Cell::new(0),
            moves: Cell::new(0),
        });
        world.spawn(channel.clone().listen(world.clone())).detach();
        channel
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        *self.address.borrow()
    }

    /// Moves to another address: who follows the old one hears nothing more.
    pub fn move_away(self: &Rc<Self>, world: &Rc<World>, proxy: usize) {
        *self.address.borrow_mut() = world.channel_address(proxy);
        self.moves.set(self.moves.get() + 1);
        self.followers.borrow_mut().clear();
        world.spawn(self.clone().listen(world.clone())).detach();
    }

    /// Falls silent for a while.
    pub fn silence(self: &Rc<Self>, world: &Rc<World>, how: Silence, length: Time) {
        if self.silence.get().is_some() {
            return;
        }
        self.silence.set(Some(how));
        self.silent_until.set(world.now() + length);
        if how != Silence::Mute {
            self.followers.borrow_mut().clear();
        }
        let (channel, world_then) = (self.clone(), world.clone());
        let ends = async move {
            world_then.pause(length).await;
            channel.silence.set(None);
            // Those who followed a mute one hear what they have missed when they connect again.
            channel.followers.borrow_mut().clear();
        };
        world.spawn(ends).detach();
    }

    /// Adds an event with a server's state; gives the time at which it counts as told.
    pub fn publish(&self, world: &World, proxy: usize, server: usize, now: Time) -> Time {
        let entry = world.servers[server].listed(world, proxy, server);
        let cursor = self.events.borrow().len() as u64 + 2;
        let event = event(cursor, false, vec![entry]);
        self.events.borrow_mut().push((cursor, event.clone()));
        if self.silence.get().is_some() {
            return (now + TOLD_AT_LATEST).min(self.silent_until.get() + TOLD_AFTER_RETURN);
        }
        self.followers.borrow_mut().retain(|f| f.try_send(event.clone()).is_ok());
        now
    }

    async fn listen(self: Rc<Self>, world: Rc<World>) {
        let (moves, address) = (self.moves.get(), self.address());
        while self.moves.get() == moves && !world.ending.get() {
            if matches!(self.silence.get(), Some(Silence::Down)) {
                world.pause(10_000).await;
                continue;
            }
            let Ok(listener) = Async::<TcpListener>::bind(address) else {
                world.pause(10_000).await;
                continue;
            };
            let changes = async {
                while self.moves.get() == moves && self.silence.get() != Some(Silence::Down) {
                    Timer::after(Duration::from_millis(10)).await;
                }
            };
            let accepting = async {
                while let Ok((stream, _)) = listener.accept().await {
                    world.spawn(self.clone().serve(world.clone(), stream)).detach();
                }
            };
            future::or(changes, accepting).await;
        }
    }

    async fn serve(self: Rc<Self>, world: Rc<World>, mut stream: Async<TcpStream>) {
        let Some(last) = resumed_from(&mut stream).await else { return };
        match self.silence.get() {
            Some(Silence::Cut) => {
                let _ = stream.write_all(b"{\"cursor\":").await;
                return;
            }
            Some(_) => {
                // Open and silent until the silence is over.
                while self.silence.get().is_some() {
                    world.pause(10_000).await;
                }
                return;
            }
            None => {}
        }
        let (lines, told) = async_channel::unbounded();
        for (_, event) in self.events.borrow().iter().filter(|(cursor, _)| *cursor > last) {
            let _ = lines.try_send(event.clone());
        }
        self.followers.borrow_mut().push(lines);
        self.tell(&mut stream, &told).await;
        // A mute one keeps its connections.
        while self.silence.get() == Some(Silence::Mute) {
            world.pause(10_000).await;
        }
    }

    /// Writes what there is to tell, until the follower is dropped, the channel falls silent or the other side leaves.
    async fn tell(&self, stream: &mut Async<TcpStream>, told: &Receiver<String>) {
        loop {
            let line = future::or(async { told.recv().await.map(Some) }, async {
                Timer::after(BEAT).await;
                Ok(None)
            })
            .await;
            if self.silence.get().is_some() {
                return;
            }
            let text = match line {
                Ok(Some(event)) => format!("{event}\n"),
                Ok(None) => format!("{}\n", self.events.borrow().len() + 1),
                Err(_) => return,
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// The number in `resume N`.
async fn resumed_from(stream: &mut Async<TcpStream>) -> Option<u64> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\n") {
        stream.read_exact(&mut byte).await.ok()?;
        line.push(byte[0]);
    }
    std::str::from_utf8(&line).ok()?.strip_prefix("resume ")?.trim().parse().ok()
}

/// An event in the form of the command channel.
pub fn event(cursor: u64, full: bool, servers: Vec<Value>) -> String {
    json!({"cursor": cursor, "nodes": {"version": cursor, "full": full, "servers": servers}}).to_string()
}

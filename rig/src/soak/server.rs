//! A setup server: takes attempts from all proxies, answers most of them, and has its own troubles.

use super::world::World;
use crate::wire;
use async_channel::{Receiver, Sender};
use async_io::Async;
use fernspan_model::draw::Draw;
use fernspan_model::message::{FromServer, ToServer};
use fernspan_model::server::{No, State};
use fernspan_model::{CallId, Time};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use serde_json::{Value, json};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Lines of a server: more than are used.
const LINES: u32 = 500;
/// How long an answer takes.
const ANSWER_MS: [f64; 2] = [2.0, 25.0];
/// How often it is looked whether a server or a path has changed.
const POLL: Time = 20_000;
/// How long a call stands.
const HOLD_MS: [f64; 2] = [300.0, 2_500.0];

/// What a server does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Serving,
    /// It reads, and says nothing.
    Hanging,
    /// Nobody listens.
    Dead,
}

/// One setup server, at one address for each proxy.
pub struct Server {
    /// Its number in the oracle's account; a new one for each that takes its place.
    pub instance: Cell<u32>,
    /// What it does with requests.
    pub mode: Cell<Mode>,
    /// What the list says of it.
    pub state: Cell<&'static str>,
    started_ms: Cell<u64>,
    /// Counts deaths: connections of an earlier life are reset.
    life: Cell<u32>,
    /// Open connections, by proxy.
    connections: RefCell<BTreeMap<usize, Vec<Rc<Connection>>>>,
    calls: RefCell<BTreeMap<CallId, Standing>>,
    /// Releases that their proxies have not heard.
    unheard: RefCell<BTreeMap<CallId, usize>>,
}

struct Connection {
    number: u64,
    writes: Sender<Write>,
    /// Closed when the server dies or the path is cut.
    interrupts: Sender<()>,
}

/// Bytes on their way to a proxy, and the call that they say is over.
struct Write {
    bytes: Vec<u8>,
    over: Option<CallId>,
}

impl Write {
    fn message(message: &FromServer) -> Write {
        Write { bytes: wire::from_server(message), over: None }
    }

    fn release(call: CallId, report: State) -> Write {
        Write { bytes: wire::from_server(&FromServer::Bye(call, false, report)), over: Some(call) }
    }
}

/// A call that stands, or an attempt that is open.
struct Standing {
    proxy: usize,
    connection: u64,
    stands: bool,
}

impl Server {
    /// One that has been running for long.
    pub fn new(number: u32) -> Server {
        Server {
            instance: Cell::new(number),
            mode: Cell::new(Mode::Serving),
            state: Cell::new("SERVING"),
            started_ms: Cell::new(0),
            life: Cell::new(0),
            connections: RefCell::default(),
            calls: RefCell::default(),
            unheard: RefCell::default(),
        }
    }

    /// Its entry in a proxy's list.
    pub fn listed(&self, world: &World, proxy: usize, server: usize) -> Value {
        json!({
            "id": format!("s-{}", self.instance.get()),
            "addr": world.server_address(proxy, server).to_string(),
            "zone": "all", "kind": "small-1c", "cell": server, "state": self.state.get(), "weight": 1,
            "started_ms": self.started_ms.get(),
        })
    }

    /// It dies: its connections are reset, and its calls are cut.
    pub fn die(&self, world: &World) {
        self.mode.set(Mode::Dead);
        self.life.set(self.life.get() + 1);
        for connection in std::mem::take(&mut *self.connections.borrow_mut()).into_values().flatten() {
            connection.interrupts.close();
        }
        self.unheard.borrow_mut().clear();
        let now = world.now();
        for (call, standing) in std::mem::take(&mut *self.calls.borrow_mut()) {
            if !standing.stands {
                world.oracle.borrow_mut().attempt_ended(now, self.instance.get(), call, true);
            }
        }
    }

    /// Nothing passes any more on the connections of a proxy.
    pub fn interrupt(&self, proxy: usize) {
        for connection in self.connections.borrow().get(&proxy).into_iter().flatten() {
            connection.interrupts.close();
        }
    }

    /// Another server takes its place, cold.
    pub fn replaced(&self, world: &World) {
        self.instance.set(world.number() as u32);
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.started_ms.set(unix.as_millis() as u64);
        self.state.set("SERVING");
        self.mode.set(Mode::Serving);
    }

    fn report(&self) -> State {
        let busy = self.calls.borrow().len() as u32;
        State { free: LINES.saturating_sub(busy), lines: LINES, util: 0.3, queue: 0 }
    }

    fn connection_of(&self, proxy: usize, number: u64) -> Option<Rc<Connection>> {
        let connections = self.connections.borrow();
        let open = connections.get(&proxy)?;
        open.iter().find(|c| c.number == number).or_else(|| open.first()).cloned()
    }

    fn forget_connection(&self, proxy: usize, number: u64) {
        if let Some(open) = self.connections.borrow_mut().get_mut(&proxy) {
            open.retain(|c| c.number != number);
        }
    }
}

/// Listens for one proxy at one server's address.
pub async fn listen(world: Rc<World>, proxy: usize, server: usize) {
    let address = world.server_address(proxy, server);
    let here = &world.servers[server];
    loop {
        if here.mode.get() == Mode::Dead {
            world.pause(POLL).await;
            continue;
        }
        let Ok(listener) = Async::<TcpListener>::bind(address) else {
            world.pause(POLL).await;
            continue;
        };
        let dies = async {
            while here.mode.get() != Mode::Dead {
                world.pause(POLL).await;
            }
        };
        let accepting = async {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (served, here) = (Served::new(world.clone(), proxy, server), world.clone());
                let task = async move {
                    if !here.is_cut(proxy, server) {
                        return served.run(stream).await;
                    }
                    // What has come while the path was cut never arrives.
                    while here.is_cut(proxy, server) {
                        here.pause(POLL).await;
                    }
                    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
                };
                world.spawn(task).detach();
            }
        };
        future::or(dies, accepting).await;
    }
}

/// One connection of a proxy.
struct Served {
    world: Rc<World>,
    proxy: usize,
    server: usize,
    instance: u32,
    life: u32,
    number: u64,
    draw: RefCell<Draw>,
}

impl Served {
    fn new(world: Rc<World>, proxy: usize, server: usize) -> Served {
        let here = &world.servers[server];
        let (instance, life) = (here.instance.get(), here.life.get());
        let number = world.number();
        let draw = RefCell::new(world.draw(number));
        Served { world, proxy, server, instance, life, number, draw }
    }

    fn here(&self) -> &Server {
        &self.world.servers[self.server]
    }

    fn lives(&self) -> bool {
        self.here().life.get() == self.life
    }

    async fn run(self, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        // Accepted in the moment of the server's death: nobody would reset it later.
        if !self.lives() {
            let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
            return;
        }
        let (writes, to_write) = async_channel::unbounded::<Write>();
        let _ = writes.try_send(Write::message(&FromServer::Notify(self.here().report())));
        self.say_releases_again(&writes);
        let (interrupts, interrupted) = async_channel::bounded(1);
        let connection = Rc::new(Connection { number: self.number, writes, interrupts });
        let open = {
            let mut all = self.here().connections.borrow_mut();
            let open = all.entry(self.proxy).or_default();
            open.push(connection.clone());
            open.len()
        };
        self.judge_connections(open);
        let writing = async {
            let mut stream = &stream;
            while let Ok(Write { bytes, over }) = to_write.recv().await {
                if stream.write_all(&bytes).await.is_err() {
                    break;
                }
                if let Some(call) = over {
                    self.wrote_release(call);
                }
            }
            future::pending().await
        };
        let reset = future::or(self.read(&stream, &connection, &interrupted), writing).await;
        if reset || !self.lives() {
            let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
        }
        self.ended();
    }

    /// Rules that count what a proxy holds are not checked while two processes run.
    fn judge_connections(&self, open: usize) {
        let now = self.world.now();
        if now >= self.world.proxies[self.proxy].uncounted_until.get() {
            self.world.oracle.borrow_mut().connected(now, self.proxy, self.instance, open);
        }
    }

    /// Its proxy has a release to pass on, unless the path is cut.
    fn wrote_release(&self, call: CallId) {
        if !self.world.is_cut(self.proxy, self.server) {
            let slot = &self.world.proxies[self.proxy];
            let two_processes = slot.processes.borrow().len() > 1;
            let drained = slot.drained_at.get().is_some();
            let now = self.world.now();
            self.world.oracle.borrow_mut().over(now, self.instance, call, two_processes, drained);
        }
    }

    fn say_releases_again(&self, writes: &Sender<Write>) {
        let report = self.here().report();
        for (call, _) in self.here().unheard.borrow().iter().filter(|(_, proxy)| **proxy == self.proxy) {
            let _ = writes.try_send(Write::release(*call, report));
        }
    }

    /// Reads until the other side closes or this server dies; `true` where it resets the connection.
    async fn read(
        &self,
        mut stream: &Async<TcpStream>,
        connection: &Rc<Connection>,
        interrupted: &Receiver<()>,
    ) -> bool {
        let mut bytes = Vec::new();
        let mut chunk = vec![0; 16_384];
        loop {
            let interrupt = async {
                let _ = interrupted.recv().await;
                None
            };
            let read = async { Some(stream.read(&mut chunk).await.unwrap_or(0)) };
            match future::or(interrupt, read).await {
                Some(0) => return false,
                Some(n) => bytes.extend_from_slice(&chunk[..n]),
                None => {
                    // Nobody here sees what the proxy gives up from now on.
                    self.end_attempts(false);
                    // A cut is over one day, and what was held on it is lost.
                    while self.lives() && self.world.is_cut(self.proxy, self.server) {
                        self.world.pause(POLL).await;
                    }
                    return true;
                }
            }
            loop {
                match wire::to_server(&bytes) {
                    Ok(None) => break,
                    Ok(Some((message, used))) => {
                        bytes.drain(..used);
                        if self.take(message, connection) {
                            return true;
                        }
                    }
                    Err(what) => {
                        let now = self.world.now();
                        let detail = format!("p{} to server {}: {what}", self.proxy, self.instance);
                        self.world.oracle.borrow_mut().breaks(now, super::oracle::Rule::Readable, detail);
                        return true;
                    }
                }
            }
        }
    }

    /// Takes one message; `true` where the connection is to be reset upon it.
    fn take(&self, message: ToServer, connection: &Rc<Connection>) -> bool {
        let now = self.world.now();
        match message {
            ToServer::Invite { call, sequence, description, .. } => {
                self.world.oracle.borrow_mut().arrived(now, self.proxy, self.instance, call);
                let standing = Standing { proxy: self.proxy, connection: self.number, stands: false };
                self.here().calls.borrow_mut().insert(call, standing);
                return self.decide(call, sequence, description, connection);
            }
            ToServer::Cancel(call) => {
                let open = self.here().calls.borrow().get(&call).is_some_and(|c| !c.stands);
                if open {
                    self.here().calls.borrow_mut().remove(&call);
                    self.world.oracle.borrow_mut().attempt_ended(now, self.instance, call, true);
                }
            }
            ToServer::Bye(call) => {
                self.here().calls.borrow_mut().remove(&call);
                let _ = connection.writes.try_send(Write::message(&FromServer::ByeHeard(call)));
            }
            ToServer::ByeHeard(call) => drop(self.here().unheard.borrow_mut().remove(&call)),
            ToServer::Other => {}
        }
        false
    }

    /// What becomes of an attempt.
    fn decide(&self, call: CallId, sequence: u32, description: Vec<u8>, connection: &Rc<Connection>) -> bool {
        if self.here().mode.get() == Mode::Hanging {
            return false;
        }
        let after = self.draw.borrow_mut().ms(ANSWER_MS);
        let report = self.here().report();
        let refused = FromServer::Refuses(call, sequence, No::Throttled(200_000), report);
        let failed = FromServer::Refuses(call, sequence, No::Error, report);
        let outcome = self.draw.borrow_mut().weighted(&[88.0, 4.0, 2.0, 2.0, 1.0, 1.0, 2.0]);
        match outcome {
            0 => self.answer_later(after, call, sequence, description, connection, false),
            1 => self.refuse_later(after, call, refused, connection),
            2 => self.refuse_later(after, call, failed, connection),
            // It says nothing about this one.
            3 => {}
            4 => return true,
            // An answer that nobody can read.
            5 => {
                let bytes = b"SIP/9 nonsense\r\n\r\n".to_vec();
                let _ = connection.writes.try_send(Write { bytes, over: None });
                return true;
            }
            _ => self.answer_later(after, call, sequence, description, connection, true),
        }
        false
    }

    fn refuse_later(&self, after: Time, call: CallId, message: FromServer, connection: &Rc<Connection>) {
        let (world, server, life, number) = (self.world.clone(), self.server, self.life, self.number);
        let (instance, connection) = (self.instance, connection.clone());
        let task = async move {
            world.pause(after).await;
            let here = &world.servers[server];
            let open = here.life.get() == life
                && here.calls.borrow().get(&call).is_some_and(|c| c.connection == number && !c.stands);
            if open && connection.writes.try_send(Write::message(&message)).is_ok() {
                here.calls.borrow_mut().remove(&call);
                world.oracle.borrow_mut().attempt_ended(world.now(), instance, call, false);
            }
        };
        self.world.spawn(task).detach();
    }

    fn answer_later(
        &self,
        after: Time,
        call: CallId,
        sequence: u32,
        description: Vec<u8>,
        connection: &Rc<Connection>,
        twice: bool,
    ) {
        let (world, server, life, number) = (self.world.clone(), self.server, self.life, self.number);
        let (instance, connection, proxy) = (self.instance, connection.clone(), self.proxy);
        let hold = self.draw.borrow_mut().ms(HOLD_MS);
        let task = async move {
            world.pause(after).await;
            let here = &world.servers[server];
            let open = here.life.get() == life
                && here.calls.borrow().get(&call).is_some_and(|c| c.connection == number && !c.stands);
            if !open {
                return;
            }
            let mut made = format!("made by {instance} for ").into_bytes();
            made.extend(&description);
            let text = String::from_utf8_lossy(&made).into_owned();
            let answer = FromServer::Stands(call, sequence, text, here.report());
            if connection.writes.try_send(Write::message(&answer)).is_err() {
                return;
            }
            if let Some(standing) = here.calls.borrow_mut().get_mut(&call) {
                standing.stands = true;
            }
            world.oracle.borrow_mut().made(world.now(), instance, call, made);
            if twice {
                world.pause(3_000).await;
                let _ = connection.writes.try_send(Write::message(&answer));
            }
            world.pause(hold).await;
            release(&world, server, life, proxy, call);
        };
        self.world.spawn(task).detach();
    }

    /// The connection has ended: what was open on it is given up.
    fn ended(&self) {
        let here = self.here();
        here.forget_connection(self.proxy, self.number);
        self.end_attempts(true);
    }

    /// The attempts that are open on this connection end.
    fn end_attempts(&self, may_have_run: bool) {
        let here = self.here();
        let now = self.world.now();
        let open: Vec<CallId> = here
            .calls
            .borrow()
            .iter()
            .filter(|(_, c)| c.connection == self.number && !c.stands)
            .map(|(call, _)| *call)
            .collect();
        for call in open {
            here.calls.borrow_mut().remove(&call);
            self.world.oracle.borrow_mut().attempt_ended(now, self.instance, call, may_have_run);
        }
    }
}

/// A call that stands comes to its end: its proxy is told on the connection of its set-up, or on any that is open, and again
/// on the next one where it has not heard.
fn release(world: &World, server: usize, life: u32, proxy: usize, call: CallId) {
    let here = &world.servers[server];
    let Some(standing) = here.calls.borrow_mut().remove(&call).filter(|_| here.life.get() == life) else {
        return;
    };
    here.unheard.borrow_mut().insert(call, proxy);
    let report = here.report();
    let Some(connection) = here.connection_of(standing.proxy, standing.connection) else { return };
    let _ = connection.writes.try_send(Write::release(call, report));
}

//! The rig: many copies of the real program on loopback addresses, with the model's parties on real sockets.
//!
//! One thread owns all sockets and the model. Each proxy has an IP address of its own in 127/8, at which it
//! listens and at which each setup server and its command channel listen for it alone: so the rig knows whose
//! connection it is, and can do to one path what it does not do to another. How a path fails is done at the
//! sockets: bytes are held by the model, connects are refused by closing a listener, and go unheard by filling
//! its queue.

use crate::told::{self, Told};
use crate::wire;
use fernspan::isup;
use fernspan::net::Decode;
use fernspan_model::Time;
use fernspan_model::scenario::{Bad, Scenario, secs};
use fernspan_model::world::{CallerConn, Command, Input, Mode, ServerConn, Signal, World};
use hdrhistogram::Histogram;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use rustix::process::{Pid, Signal as Kill, kill_process};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Process, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Port of callers and, from the next on, of the setup servers.
const LISTEN: u16 = 3868;
const SERVERS: u16 = 4000;
const CHANNEL: u16 = 8500;
/// Connections that a listener queues.
const BACKLOG: i32 = 256;
/// How often a proxy that is starting is asked whether it is ready.
const ASK: Time = 25_000;
/// Proxies that may be starting at once; more would be late by each other.
const STARTING: usize = 24;
/// Bytes that may wait for one connection; one that takes no more is closed.
const WAITING: usize = 4 << 20;
/// Above this lateness, 99 in 100 of the rig's steps, a run does not count; ours.
const BUSY_P99: Time = 20_000;
/// The same for the latest step.
const BUSY_MOST: Time = 400_000;

/// Why a run could not be made.
#[derive(Debug)]
pub enum Failed {
    /// The scenario.
    Bad(Bad),
    /// The machine: what was tried, and what came of it.
    Io(String, io::Error),
    /// What this machine does not give.
    Limit(String),
    /// It was interrupted.
    Interrupted,
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Failed::Bad(bad) => bad.fmt(f),
            Failed::Io(what, e) => write!(f, "{what}: {e}"),
            Failed::Limit(what) => f.write_str(what),
            Failed::Interrupted => f.write_str("interrupted"),
        }
    }
}

impl std::error::Error for Failed {}

impl From<Bad> for Failed {
    fn from(bad: Bad) -> Self {
        Failed::Bad(bad)
    }
}

fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Failed {
    let what = what.into();
    move |e| Failed::Io(what, e)
}

/// What a run needs beside its scenario.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program, `fernspan`.
    pub program: PathBuf,
    /// The program that sets a proxy's limits and starts it: this one, with `hold`.
    pub holder: PathBuf,
    /// Where the proxies' logs are kept; nowhere without.
    pub logs: Option<PathBuf>,
    /// Set when the run has to end early.
    pub interrupted: Arc<AtomicBool>,
}

/// What the rig measured of itself and of the processes.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Machine {
    /// How late the rig did what was due, in milliseconds: median, 99 in 100, most.
    pub late_ms: [f64; 3],
    /// Whether the machine had time for the run; one where it had none does not count.
    pub counts: bool,
    /// Processor time of all proxies, in seconds.
    pub proxies_cpu_s: f64,
    /// Of the rig itself.
    pub rig_cpu_s: f64,
    /// Resident memory of the largest proxy, in MiB.
    pub proxy_mb: f64,
    /// Descriptors of the proxy that has most.
    pub proxy_descriptors: usize,
    /// Descriptors of the rig, at most.
    pub rig_descriptors: usize,
    /// Proxies that ran.
    pub processes: usize,
}

/// Which socket a token stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Caller(CallerConn),
    Server(ServerConn),
    /// A connection of a proxy's command channel.
    Channel(usize),
    ListenServer(usize, usize),
    ListenChannel(usize),
    /// A test of a proxy that is starting.
    Ask(usize),
}

struct Stream {
    at: At,
    socket: TcpStream,
    /// A connect that has not come up.
    connecting: bool,
    read: Vec<u8>,
    write: VecDeque<u8>,
    writable: bool,
    /// It cannot be read; nothing more is taken from it.
    deaf: bool,
}

/// A listener, and the connection that fills its queue where it is silent.
struct Listener {
    socket: TcpListener,
    filler: Option<std::net::TcpStream>,
    /// Where the last one came from, since it is still taken up after it was closed.
    ours: Option<SocketAddr>,
}

struct Run {
    child: Child,
    pid: Pid,
}

/// Kills what is left, however a run ends.
impl Drop for Run {
    fn drop(&mut self) {
        let _ = kill_process(self.pid, Kill::CONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A folder of this run, removed at its end.
struct Scratch(PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A run on real sockets.
pub struct Rig {
    options: Options,
    scratch: Scratch,
    /// Keeps this run's addresses from others.
    _claim: std::net::TcpListener,
    net: u8,
    begin: Instant,
    unix: u64,
    world: World,
    poll: Poll,
    streams: BTreeMap<usize, Stream>,
    listeners: BTreeMap<usize, (At, Listener)>,
    /// The listeners' tokens: of each proxy, those for its servers, and one for its channel.
    tokens: Vec<Option<usize>>,
    next: usize,
    callers: BTreeMap<CallerConn, usize>,
    servers: BTreeMap<ServerConn, usize>,
    channels: Vec<Option<usize>>,
    /// Whether each proxy's channel says anything.
    speaks: Vec<bool>,
    runs: Vec<Option<Run>>,
    waiting: VecDeque<usize>,
    /// Proxies that are starting: when each is asked again, and the connection on which it is asked.
    asks: BTreeMap<usize, (Time, Option<usize>)>,
    late: Histogram<u64>,
    cpu_s: f64,
    memory: f64,
    descriptors: usize,
    own_descriptors: usize,
    started: usize,
}

impl Rig {
    /// Takes addresses and makes all listeners; nothing is started yet.
    ///
    /// # Errors
    /// A bad scenario, or a machine that does not give what it needs.
    pub fn new(scenario: Scenario, options: Options) -> Result<Rig, Failed> {
        if let Some(i) = scenario.faults.iter().position(|f| f.step_ms != 0.0) {
            let field = format!("faults[{i}].step_ms");
            let why = "a clock can be stepped in the emulator only".to_owned();
            return Err(Bad { field, why }.into());
        }
        let world = World::new(scenario)?;
        let (proxies, places) = (world.proxies(), world.places());
        if proxies > 250 * 250 || places > 3_000 {
            return Err(Failed::Limit(format!("{proxies} proxies and {places} servers have no addresses")));
        }
        // A listener for each pair, a connection or two, callers and the channel.
        let needs = proxies * places * 5 / 2 + proxies * 6 + 64;
        let limit = raise_descriptors(needs as u64);
        if (limit as usize) < needs {
            let why = format!("this run needs some {needs} descriptors, and this machine gives {limit}");
            return Err(Failed::Limit(why));
        }
        let (net, claim) = claim_net()?;
        let scratch = std::env::temp_dir().join(format!("fernspan-rig-{}-{net}", std::process::id()));
        fs::create_dir_all(&scratch).map_err(io(format!("folder {}", scratch.display())))?;
        if let Some(logs) = &options.logs {
            fs::create_dir_all(logs).map_err(io(format!("folder {}", logs.display())))?;
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
        let mut rig = Rig {
            options,
            scratch: Scratch(scratch),
            _claim: claim,
            net,
            begin: Instant::now(),
            unix,
            poll: Poll::new().map_err(io("poll"))?,
            streams: BTreeMap::new(),
            listeners: BTreeMap::new(),
            tokens: vec![None; proxies * (places + 1)],
            next: 0,
            callers: BTreeMap::new(),
            servers: BTreeMap::new(),
            channels: vec![None; proxies],
            speaks: vec![true; proxies],
            runs: (0..proxies).map(|_| None).collect(),
            waiting: VecDeque::new(),
            asks: BTreeMap::new(),
            late: Histogram::new(3).map_err(|e| Failed::Limit(e.to_string()))?,
            cpu_s: 0.0,
            memory: 0.0,
            descriptors: 0,
            own_descriptors: 0,
            started: 0,
            world,
        };
        for p in 0..proxies {
            for s in 0..places {
                rig.listen(At::ListenServer(p, s))?;
            }
            rig.listen(At::ListenChannel(p))?;
        }
        Ok(rig)
    }

    fn now(&self) -> Time {
        self.begin.elapsed().as_micros() as Time
    }

    fn ip(&self, p: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, (p / 250) as u8, (p % 250 + 1) as u8)
    }

    fn address(&self, at: At) -> SocketAddr {
        let (p, port) = match at {
            At::ListenServer(p, s) => (p, SERVERS + s as u16),
            At::ListenChannel(p) | At::Channel(p) => (p, CHANNEL),
            At::Ask(p) => (p, LISTEN),
            At::Caller(_) | At::Server(_) => (0, LISTEN),
        };
        SocketAddr::V4(SocketAddrV4::new(self.ip(p), port))
    }

    fn listen(&mut self, at: At) -> Result<(), Failed> {
        let address = self.address(at);
        let make = || -> io::Result<TcpListener> {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
            socket.set_reuse_address(true)?;
            socket.set_nonblocking(true)?;
            socket.bind(&address.into())?;
            socket.listen(BACKLOG)?;
            Ok(TcpListener::from_std(socket.into()))
        };
        let mut socket = make().map_err(io(format!("cannot listen on {address}")))?;
        self.next += 1;
        let token = Token(self.next);
        self.poll.registry().register(&mut socket, token, Interest::READABLE).map_err(io("poll"))?;
        let index = self.index(at);
        self.tokens[index] = Some(self.next);
        self.listeners.insert(self.next, (at, Listener { socket, filler: None, ours: None }));
        Ok(())
    }

    /// Place of a listener's token.
    fn index(&self, at: At) -> usize {
        let each = self.world.places() + 1;
        match at {
            At::ListenServer(p, s) => p * each + s,
            At::ListenChannel(p) | At::Channel(p) | At::Ask(p) => p * each + each - 1,
            At::Caller(_) | At::Server(_) => 0,
        }
    }

    fn listener(&self, at: At) -> Option<usize> {
        self.tokens[self.index(at)]
    }

    /// Plays the scenario to its end.
    ///
    /// # Errors
    /// As [`Rig::new`], or when it was interrupted.
    pub fn run(mut self) -> Result<(World, Time, Machine), Failed> {
        let mut events = Events::with_capacity(4096);
        let now = self.now();
        self.world.start(now);
        self.carry_out()?;
        let mut begun = None;
        let mut settled = None;
        let mut look = 0;
        loop {
            if self.options.interrupted.load(Ordering::Relaxed) {
                return Err(Failed::Interrupted);
            }
            let now = self.now();
            let due = self.world.due().into_iter().chain(self.asks.values().map(|a| a.0)).min();
            let wait = due.map_or(50_000, |at| at.saturating_sub(now)).min(50_000);
            match self.poll.poll(&mut events, Some(Duration::from_micros(wait))) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other.map_err(io("poll"))?,
            }
            let now = self.now();
            if let Some(due) = self.world.due().filter(|at| *at <= now && begun.is_some()) {
                // A wait of less than a millisecond may be rounded up by the kernel.
                let late = now - due;
                let _ = self.late.record(late);
                self.world.checker().late(now, late);
            }
            self.world.run(now);
            self.carry_out()?;
            for event in events.iter() {
                self.ready(event.token().0, event.is_readable(), event.is_writable())?;
                self.carry_out()?;
            }
            self.ask()?;
            self.reap()?;
            if begun.is_none() && self.waiting.is_empty() && self.world.all_ready() {
                let lead = secs(self.world.scenario().lead_s);
                let at = *settled.get_or_insert(now + lead);
                if now >= at {
                    tracing::info!(processes = self.started, after_ms = now / 1_000, "all ready");
                    self.world.begin(now);
                    begun = Some(now);
                }
            }
            if now >= look {
                look = now + 2_000_000;
                self.measure();
            }
            if self.world.over_at().is_some_and(|over| now >= over) {
                break;
            }
        }
        self.measure();
        let now = self.now();
        for run in self.runs.iter_mut().flatten() {
            self.cpu_s += cpu_s(Some(run.pid));
        }
        self.runs.clear();
        let at = |q: f64| self.late.value_at_quantile(q) as f64 / 1e3;
        let most = self.late.max();
        let machine = Machine {
            late_ms: [at(0.5), at(0.99), most as f64 / 1e3],
            counts: self.late.value_at_quantile(0.99) <= BUSY_P99 && most <= BUSY_MOST,
            proxies_cpu_s: self.cpu_s,
            rig_cpu_s: cpu_s(None),
            proxy_mb: self.memory,
            proxy_descriptors: self.descriptors,
            rig_descriptors: self.own_descriptors,
            processes: self.started,
        };
        Ok((self.world, now, machine))
    }

    // ---- commands

    fn carry_out(&mut self) -> Result<(), Failed> {
        while let Some(command) = self.world.command() {
            match command {
                Command::OpenCaller(conn, p) => {
                    let to = self.address(At::Ask(p));
                    match self.connect(At::Caller(conn), to) {
                        Ok(token) => drop(self.callers.insert(conn, token)),
                        Err(_) => self.tell(Input::CallerDown(conn)),
                    }
                }
                Command::CallerSend(conn, message) => {
                    if let Some(token) = self.callers.get(&conn).copied() {
                        let bytes = wire::to_proxy(&message, self.world.scenario());
                        self.write(token, &bytes);
                    }
                }
                Command::CloseCaller(conn) => {
                    if let Some(token) = self.callers.remove(&conn) {
                        self.close(token, false);
                    }
                }
                Command::ServerSend(conn, message) => {
                    if let Some(token) = self.servers.get(&conn).copied() {
                        self.write(token, &wire::from_server(&message));
                    }
                }
                Command::CloseServer(conn, reset) => {
                    if let Some(token) = self.servers.remove(&conn) {
                        self.close(token, reset);
                    }
                }
                Command::Listen(p, s, mode) => self.set_mode(p, s, mode)?,
                Command::List(p, event) => {
                    if let Some(token) = self.channels[p] {
                        let line = self.line(p, &event);
                        self.write(token, line.as_bytes());
                    }
                }
                Command::Beat(p, last) => {
                    if let Some(token) = self.channels[p] {
                        self.write(token, format!("{last}\n").as_bytes());
                    }
                }
                Command::Channel(p, speaks) => {
                    self.speaks[p] = speaks;
                    if let Some(token) = self.listener(At::ListenChannel(p)) {
                        self.silence(token, At::ListenChannel(p), !speaks);
                    }
                }
                Command::Process(p, signal) => self.signal(p, signal)?,
            }
        }
        Ok(())
    }

    fn line(&self, p: usize, event: &fernspan_model::message::ListEvent) -> String {
        let address = |s: usize| self.address(At::ListenServer(p, s)).to_string();
        let unix_ms = |at: u64| (self.unix + at) / 1_000;
        let sites = &self.world.scenario().sites;
        format!("{}\n", told::event(event, sites, &address, &unix_ms))
    }

    fn tell(&mut self, input: Input) {
        let now = self.now();
        self.world.handle(now, input);
    }

    /// What a new connection meets from now on.
    fn set_mode(&mut self, p: usize, s: usize, mode: Mode) -> Result<(), Failed> {
        let at = At::ListenServer(p, s);
        let known = self.listener(at);
        match (mode, known) {
            (Mode::Refused, Some(token)) => {
                let index = self.index(at);
                self.tokens[index] = None;
                if let Some((_, mut listener)) = self.listeners.remove(&token) {
                    let _ = self.poll.registry().deregister(&mut listener.socket);
                }
            }
            (Mode::Refused, None) => {}
            (_, None) => {
                self.listen(at)?;
                if let (Mode::Silent, Some(token)) = (mode, self.listener(at)) {
                    self.silence(token, at, true);
                }
            }
            (_, Some(token)) => self.silence(token, at, mode == Mode::Silent),
        }
        Ok(())
    }

    /// Makes connects to a listener go unheard, or heard again. Its queue is made as short as can be and filled
    /// by a connection of ours; the kernel then drops what asks for one.
    fn silence(&mut self, token: usize, at: At, silent: bool) {
        let address = self.address(at);
        let Some((_, listener)) = self.listeners.get_mut(&token) else { return };
        match silent {
            true if listener.filler.is_none() => {
                let _ = SockRef::from(&listener.socket).listen(0);
                listener.filler = std::net::TcpStream::connect(address).ok();
                listener.ours = listener.filler.as_ref().and_then(|f| f.local_addr().ok());
            }
            true => {}
            false => {
                listener.filler = None;
                let _ = SockRef::from(&listener.socket).listen(BACKLOG);
                // What waits in the queue is the filler, which has closed, or a proxy that came as it was let go.
                let _ = self.accept(token);
            }
        }
    }

    // ---- processes

    fn signal(&mut self, p: usize, signal: Signal) -> Result<(), Failed> {
        let kill = match signal {
            Signal::Start => {
                self.waiting.push_back(p);
                return self.start_waiting();
            }
            Signal::Kill => Kill::KILL,
            Signal::Term => Kill::TERM,
            Signal::Stop => Kill::STOP,
            Signal::Continue(_) => Kill::CONT,
        };
        if let Some(run) = &self.runs[p] {
            tracing::debug!(proxy = p, ?signal, "signal");
            kill_process(run.pid, kill).map_err(|e| Failed::Io(format!("signal to p{p}"), e.into()))?;
        }
        Ok(())
    }

    fn start_waiting(&mut self) -> Result<(), Failed> {
        while self.asks.len() < STARTING
            && let Some(p) = self.waiting.pop_front()
        {
            let told = Told {
                scenario: self.world.scenario(),
                proxy: p,
                site: self.world.proxy_site(p),
                listen: self.address(At::Ask(p)).to_string(),
                channel: self.address(At::ListenChannel(p)).to_string(),
                seed: self.world.seed(p),
                known: self
                    .world
                    .known(p)
                    .iter()
                    .filter_map(|e| serde_json::from_str(&self.line(p, e)).ok())
                    .collect(),
                cursor: self.world.known(p).last().map_or(0, |e| e.cursor),
            };
            let file = self.scratch.0.join(format!("p{p}.json"));
            fs::write(&file, told.text()).map_err(io(format!("file {}", file.display())))?;
            let log = match &self.options.logs {
                Some(folder) => {
                    let path = folder.join(format!("p{p}.log"));
                    let mut options = fs::OpenOptions::new();
                    let open = options.create(true).append(true).open(&path);
                    Stdio::from(open.map_err(io(format!("file {}", path.display())))?)
                }
                None => Stdio::null(),
            };
            let sockets = self.world.scenario().proxies.sockets;
            let child = Process::new(&self.options.holder)
                .arg("hold")
                .arg(sockets.to_string())
                .arg(std::process::id().to_string())
                .arg(&self.options.program)
                .env_clear()
                .env("PROXY_NAME", format!("p{p}"))
                .env("PROXY_LISTEN", self.address(At::Ask(p)).to_string())
                .env("PROXY_CONFIG", &file)
                .env("TMPDIR", &self.scratch.0)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()
                .map_err(io(format!("cannot start {}", self.options.holder.display())))?;
            let pid = Pid::from_child(&child);
            self.runs[p] = Some(Run { child, pid });
            self.started += 1;
            let now = self.now();
            self.asks.insert(p, (now + ASK, None));
        }
        Ok(())
    }

    /// Asks those that are starting whether they are ready.
    fn ask(&mut self) -> Result<(), Failed> {
        let now = self.now();
        let due: Vec<usize> = self.asks.iter().filter(|(_, a)| a.0 <= now).map(|(p, _)| *p).collect();
        for p in due {
            let mut on = self.asks.get(&p).and_then(|a| a.1);
            if on.is_none() {
                let to = self.address(At::Ask(p));
                on = self.connect(At::Ask(p), to).ok();
                if let Some(token) = on {
                    self.write(token, &wire::test());
                }
            }
            self.asks.insert(p, (now + ASK, on));
        }
        self.start_waiting()
    }

    /// Notes which processes have ended.
    fn reap(&mut self) -> Result<(), Failed> {
        for p in 0..self.runs.len() {
            let Some(run) = &mut self.runs[p] else { continue };
            if let Ok(Some(status)) = run.child.try_wait() {
                tracing::debug!(proxy = p, %status, "ended");
                self.runs[p] = None;
                self.asks.remove(&p);
                self.channels[p] = None;
                self.tell(Input::Ended(p));
                self.carry_out()?;
            }
        }
        Ok(())
    }

    fn measure(&mut self) {
        for run in self.runs.iter().flatten() {
            let dir = format!("/proc/{}", run.pid.as_raw_nonzero());
            if let Ok(status) = fs::read_to_string(format!("{dir}/status")) {
                let kb = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
                let kb = kb.and_then(|l| l.trim().split(' ').next()?.parse::<f64>().ok());
                self.memory = self.memory.max(kb.unwrap_or(0.0) / 1024.0);
            }
            let open = fs::read_dir(format!("{dir}/fd")).map_or(0, Iterator::count);
            self.descriptors = self.descriptors.max(open);
        }
        let own = self.streams.len() + self.listeners.len();
        self.own_descriptors = self.own_descriptors.max(own);
    }

    // ---- sockets

    fn connect(&mut self, at: At, to: SocketAddr) -> io::Result<usize> {
        let socket = TcpStream::connect(to)?;
        self.add(at, socket, true)
    }

    fn add(&mut self, at: At, mut socket: TcpStream, connecting: bool) -> io::Result<usize> {
        let _ = socket.set_nodelay(true);
        self.next += 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut socket, Token(self.next), interest)?;
        let stream = Stream {
            at,
            socket,
            connecting,
            read: Vec::new(),
            write: VecDeque::new(),
            writable: !connecting,
            deaf: false,
        };
        self.streams.insert(self.next, stream);
        Ok(self.next)
    }

    /// Closes a connection of ours; the world knows.
    fn close(&mut self, token: usize, reset: bool) {
        let Some(mut stream) = self.streams.remove(&token) else { return };
        let _ = self.poll.registry().deregister(&mut stream.socket);
        if reset {
            let _ = SockRef::from(&stream.socket).set_linger(Some(Duration::ZERO));
        }
    }

    /// A connection has ended from the other side.
    fn lost(&mut self, token: usize) {
        let Some(at) = self.streams.get(&token).map(|s| s.at) else { return };
        self.close(token, false);
        match at {
            At::Caller(conn) => {
                self.callers.remove(&conn);
                self.tell(Input::CallerDown(conn));
            }
            At::Server(conn) => {
                self.servers.remove(&conn);
                self.tell(Input::ServerDown(conn));
            }
            At::Channel(p) => {
                if self.channels[p] == Some(token) {
                    self.channels[p] = None;
                }
            }
            At::Ask(p) => {
                if let Some(ask) = self.asks.get_mut(&p) {
                    ask.1 = None;
                }
            }
            At::ListenServer(..) | At::ListenChannel(_) => {}
        }
    }

    fn write(&mut self, token: usize, bytes: &[u8]) {
        let Some(stream) = self.streams.get_mut(&token) else { return };
        stream.write.extend(bytes);
        if stream.write.len() > WAITING {
            self.lost(token);
        } else if stream.writable {
            self.flush(token);
        }
    }

    fn flush(&mut self, token: usize) {
        let Some(stream) = self.streams.get_mut(&token) else { return };
        while !stream.write.is_empty() {
            let (front, _) = stream.write.as_slices();
            match stream.socket.write(front) {
                Ok(n) => drop(stream.write.drain(..n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    stream.writable = false;
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // The reading side will say so.
                Err(_) => {
                    stream.write.clear();
                    return;
                }
            }
        }
    }

    fn accept(&mut self, token: usize) -> Result<(), Failed> {
        loop {
            let Some((at, listener)) = self.listeners.get_mut(&token) else { return Ok(()) };
            if listener.filler.is_some() {
                return Ok(());
            }
            let at = *at;
            let socket = match listener.socket.accept() {
                Ok((_, from)) if listener.ours == Some(from) => continue,
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => continue,
                Err(e) => return Err(Failed::Io("accept".to_owned(), e)),
            };
            match at {
                At::ListenServer(p, s) => {
                    let now = self.now();
                    // Where the world wants none, it is closed without a word.
                    if let Some(conn) = self.world.accept(now, p, s)
                        && let Ok(token) = self.add(At::Server(conn), socket, false)
                    {
                        self.servers.insert(conn, token);
                    }
                }
                At::ListenChannel(p) => {
                    if let Some(old) = self.channels[p].take() {
                        self.close(old, false);
                    }
                    if let Ok(token) = self.add(At::Channel(p), socket, false) {
                        self.channels[p] = Some(token);
                    }
                }
                _ => {}
            }
        }
    }

    fn ready(&mut self, token: usize, readable: bool, writable: bool) -> Result<(), Failed> {
        if self.listeners.contains_key(&token) {
            return self.accept(token);
        }
        if writable && let Some(stream) = self.streams.get_mut(&token) {
            if stream.connecting {
                if stream.socket.peer_addr().is_err() || matches!(stream.socket.take_error(), Ok(Some(_))) {
                    self.lost(token);
                    return Ok(());
                }
                stream.connecting = false;
                stream.writable = true;
                if let At::Caller(conn) = stream.at {
                    self.tell(Input::CallerUp(conn));
                    self.carry_out()?;
                }
            }
            if let Some(stream) = self.streams.get_mut(&token) {
                stream.writable = true;
            }
            self.flush(token);
        }
        if readable {
            self.read(token)?;
        }
        Ok(())
    }

    fn read(&mut self, token: usize) -> Result<(), Failed> {
        let mut chunk = [0; 16 * 1024];
        let ended = loop {
            let Some(stream) = self.streams.get_mut(&token) else { return Ok(()) };
            match stream.socket.read(&mut chunk) {
                Ok(0) => break true,
                Ok(_) if stream.deaf => {}
                Ok(n) => {
                    stream.read.extend_from_slice(&chunk[..n]);
                    self.take(token)?;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break true,
            }
        };
        if ended {
            self.lost(token);
        }
        Ok(())
    }

    /// Takes all whole messages off a connection.
    fn take(&mut self, token: usize) -> Result<(), Failed> {
        loop {
            let Some(stream) = self.streams.get_mut(&token) else { return Ok(()) };
            let bytes = &stream.read;
            if bytes.is_empty() || stream.deaf {
                return Ok(());
            }
            let at = stream.at;
            let (used, input) = match at {
                At::Caller(conn) => match (isup::Decoder { most: wire::MOST }).decode(bytes) {
                    Ok(None) => return Ok(()),
                    Ok(Some((message, used))) => match wire::to_caller(&message) {
                        Ok(message) => (used, Ok(Some(Input::ToCaller(conn, message)))),
                        Err(what) => (used, Err(what)),
                    },
                    Err(e) => (0, Err(e.to_string())),
                },
                At::Server(conn) => match wire::to_server(bytes) {
                    Ok(None) => return Ok(()),
                    Ok(Some((message, used))) => (used, Ok(Some(Input::ToServer(conn, message)))),
                    Err(what) => (0, Err(what)),
                },
                At::Channel(p) => {
                    let Some(end) = bytes.iter().position(|b| *b == b'\n') else { return Ok(()) };
                    let line = String::from_utf8_lossy(&bytes[..end]);
                    let last = line.strip_prefix("resume ").and_then(|n| n.trim().parse().ok());
                    let input = last.map(|n| Some(Input::Resume(p, n)));
                    (end + 1, input.ok_or_else(|| format!("'{line}' on the command channel")))
                }
                At::Ask(p) => match (isup::Decoder { most: wire::MOST }).decode(bytes) {
                    Ok(None) => return Ok(()),
                    Ok(Some((m, used))) => {
                        let passed = m.kind == isup::TESTED && m.get(isup::CAUSE) == Some(&[1]);
                        (used, Ok(passed.then_some(Input::Ready(p))))
                    }
                    Err(e) => (0, Err(e.to_string())),
                },
                At::ListenServer(..) | At::ListenChannel(_) => return Ok(()),
            };
            if let Some(stream) = self.streams.get_mut(&token) {
                stream.read.drain(..used);
                // After bytes that are no message nothing can be made of what follows.
                stream.deaf = used == 0;
            }
            match input {
                Ok(Some(input)) => {
                    if let Input::Ready(p) = input {
                        self.asks.remove(&p);
                        self.close(token, false);
                    }
                    self.tell(input);
                }
                Ok(None) => {}
                Err(what) => {
                    if let Some(p) = self.proxy_of(at) {
                        self.tell(Input::Unreadable(p, what));
                    }
                }
            }
            self.carry_out()?;
        }
    }

    fn proxy_of(&self, at: At) -> Option<usize> {
        match at {
            At::Caller(conn) => self.world.caller_proxy(conn),
            At::Server(conn) => self.world.server_conn_proxy(conn),
            At::Channel(p) | At::Ask(p) | At::ListenServer(p, _) | At::ListenChannel(p) => Some(p),
        }
    }
}

/// A net of this run's own within 127/8, kept by a listener in it.
pub(crate) fn claim_net() -> Result<(u8, std::net::TcpListener), Failed> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for net in 16..=250 {
        let address = SocketAddrV4::new(Ipv4Addr::new(127, net, 255, 254), LISTEN);
        match std::net::TcpListener::bind(address) {
            Ok(claim) => return Ok((net, claim)),
            Err(e) => last = e,
        }
    }
    Err(Failed::Io("no net within 127/8 is free".to_owned(), last))
}

/// Raises the limit of descriptors as far as it may go, and gives it.
fn raise_descriptors(needs: u64) -> u64 {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_some_and(|now| now < needs) {
        // Beyond the hard limit where the machine lets us, else all of it.
        let hard = limit.maximum.map_or(needs, |hard| hard.max(needs * 2));
        if setrlimit(Resource::Nofile, Rlimit { current: Some(hard), maximum: Some(hard) }).is_err() {
            let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit });
        }
    }
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Processor time of a process, or of this one, in seconds.
fn cpu_s(pid: Option<Pid>) -> f64 {
    let name = pid.map_or("self".to_owned(), |p| p.as_raw_nonzero().to_string());
    let stat = fs::read_to_string(format!("/proc/{name}/stat")).unwrap_or_default();
    // Fields 14 and 15, counted after the name in parentheses.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

/// What `hold` does: takes the limits of one proxy and becomes it. The kernel kills it when the rig is gone,
/// however that ends.
///
/// # Errors
/// The program cannot be started. It does not return otherwise.
pub fn hold(sockets: u64, parent: i32, program: &Path) -> io::Error {
    use rustix::process::{Resource, Rlimit, getppid, set_parent_process_death_signal, setrlimit};
    use std::os::unix::process::CommandExt;
    if let Err(e) = set_parent_process_death_signal(Some(Kill::KILL)) {
        return e.into();
    }
    // It may have gone before the kernel was asked.
    if getppid().map(|p| p.as_raw_nonzero().get()) != Some(parent) {
        return io::Error::other("the rig is gone");
    }
    let limit = Rlimit { current: Some(sockets), maximum: Some(sockets) };
    if let Err(e) = setrlimit(Resource::Nofile, limit) {
        return e.into();
    }
    Process::new(program).exec()
}

//! All parties but the proxies: callers, setup servers, paths, and the list of servers, with their faults.
//!
//! Sans I/O: a host tells the world what came on which connection and when, and carries out the [`Command`]s.
//! Delays and held bytes of paths are kept here, so that a host writes what it is told at once, and the emulator
//! and the rig differ in nothing but what carries the messages.

use crate::callers::{Caller, Callers, Fate, Try};
use crate::check::{Checker, End, Gone, Seen};
use crate::draw::Draw;
use crate::message::{Entry, FromServer, ListEvent, Listed, Setup, ToCaller, ToProxy, ToServer};
use crate::report::{Person, Record, Sample};
use crate::scenario::{Bad, Kind, Planned, Range, Scenario, Subject, Targets, ms, secs};
use crate::server::{Does, Server};
use crate::{CallId, Time};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// Name of the one class of call.
pub const CLASS: &str = "session-lookup";
/// Causes that mean a refusal (PROTOCOL, 'Callers to signalling proxies').
const REFUSED: [u8; 3] = [34, 42, 102];
/// Cause of a cut call.
const CUT: u8 = 41;
/// Set-ups open on one caller connection before another is opened; ours.
const SHARED_BY: usize = 24;
/// Connections of callers to one proxy; ours, under a third of the descriptors at 64 and more.
const CALLER_CONNS: usize = 16;
/// Callers close a connection that has had no call for so long (PROTOCOL).
const CALLER_IDLE: Time = 4_000_000;
/// A set-up that crosses the close of its connection is sent again, once, within this (PROTOCOL).
const CROSSING: Time = 50_000;
/// Callers whose calls stand connect again so long after their last connection was closed; ours.
const REJOIN: Time = 200_000;
/// The front notices after so long that a proxy has died or answers no tests; 'some seconds', ours.
const NOTICE: Time = 2_000_000;
/// After SIGTERM callers go on coming for so long: 0.2 to 0.4 s (PROTOCOL).
const TERM_NOTICE: Time = 300_000;
/// SIGKILL comes so long after SIGTERM: the longest deadline, 3 s at least, and 0.7 s more (PROTOCOL).
const TERM_KILL: Time = 9_700_000;
/// A proxy that is not ready by then never will be (DEPLOY).
const READY: Time = 30_000_000;
/// Samples of the report.
const SAMPLE: Time = 100_000;

/// A connection from a proxy to a server.
pub type ServerConn = u64;
/// A connection from callers to a proxy.
pub type CallerConn = u64;

/// What a new connection meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It comes up.
    Open,
    /// It is refused.
    Refused,
    /// Nothing is heard of it.
    Silent,
}

/// What a host does to a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Starts it.
    Start,
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Term,
    /// SIGSTOP.
    Stop,
    /// SIGCONT; its clock has stepped ahead by so many microseconds.
    Continue(Time),
}

/// What a host has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Connect to a proxy as a caller.
    OpenCaller(CallerConn, usize),
    /// Write to a proxy as a caller.
    CallerSend(CallerConn, ToProxy),
    /// Close a caller's connection.
    CloseCaller(CallerConn),
    /// Write to a proxy as a server.
    ServerSend(ServerConn, FromServer),
    /// Close a server's connection, with a reset if so.
    CloseServer(ServerConn, bool),
    /// From now on new connections of this proxy to this server's address meet that.
    Listen(usize, usize, Mode),
    /// Write an event to a proxy's command channel, if one is open.
    List(usize, ListEvent),
    /// Write the number of the last event.
    Beat(usize, u64),
    /// Whether a proxy's command channel takes connections and says anything.
    Channel(usize, bool),
    /// To a proxy's process.
    Process(usize, Signal),
}

/// What a host tells.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's connection is up.
    CallerUp(CallerConn),
    /// It failed, or has ended from the other side.
    CallerDown(CallerConn),
    /// A message on it.
    ToCaller(CallerConn, ToCaller),
    /// What came on a server's connection.
    ToServer(ServerConn, ToServer),
    /// A server's connection has ended from the other side.
    ServerDown(ServerConn),
    /// A proxy's command channel is open, and it has events up to this number.
    Resume(usize, u64),
    /// A proxy has passed its first test.
    Ready(usize),
    /// A proxy's process has ended.
    Ended(usize),
    /// A proxy wrote what cannot be read.
    Unreadable(usize, String),
}

#[derive(Debug)]
enum Ev {
    Fault(usize, bool),
    Server(usize),
    ToServer(ServerConn, ToServer),
    ToProxy(ServerConn, FromServer),
    Arrive,
    Dial(u64),
    Expire(CallId),
    Leave(CallId),
    Idle(CallerConn),
    Rejoin(usize),
    List(usize, usize),
    Counts(usize, usize),
    Notice(usize, bool, u32),
    KillLate(usize, u32),
    NotReady(usize, u32),
    Beat,
    Sample,
}

/// What happens when; the earliest first, and in the order of their making.
struct Due {
    at: Time,
    sequence: u64,
    ev: Ev,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

#[derive(Clone, Copy, Default)]
struct Path {
    to_server: bool,
    to_proxy: bool,
    silent: bool,
    refuse: bool,
}

struct Place {
    site: usize,
    group: usize,
    /// Number of the instance, which no other has.
    instance: u32,
    id: String,
    server: Server,
    started: Option<Time>,
    silent: bool,
    /// Its process is gone: nobody listens.
    gone: bool,
    /// Connections open here.
    open: u32,
    /// Connection and sequence of each set-up or call here.
    calls: BTreeMap<CallId, (ServerConn, u32, usize)>,
    /// Releases that their proxies have not heard yet, by proxy: the call, and whether it was cut.
    unheard: BTreeMap<usize, BTreeMap<CallId, bool>>,
    due: Option<Time>,
}

struct Conn {
    proxy: usize,
    place: usize,
    instance: u32,
    /// Forgotten by one side: nothing on it arrives any more.
    dead: bool,
    up: VecDeque<ToServer>,
    down: VecDeque<FromServer>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Life {
    /// Not started, or ended.
    Down,
    Starting,
    Up,
    Stopped,
    /// Had SIGTERM then.
    Terminated(Time),
    /// Killed by us, not yet gone.
    Killed,
}

struct Proxy {
    site: usize,
    weight: f64,
    life: Life,
    /// Start number.
    run: u32,
    /// Whether the front sends callers here.
    serves: bool,
    /// When it starts again once it has ended.
    again: Option<Time>,
    /// The one that it takes the place of, once it is ready.
    replaces: Option<usize>,
    conns: BTreeSet<CallerConn>,
    /// Its list: entries by instance.
    view: BTreeMap<u32, Entry>,
    /// Events since its start.
    log: Vec<ListEvent>,
    /// Whether its channel says anything.
    channel: bool,
    /// Changes that came while it did not.
    missed: Vec<usize>,
    last_list: Time,
}

struct CallerSide {
    proxy: usize,
    up: bool,
    waiting: Vec<(CallId, ToProxy)>,
    open: BTreeSet<CallId>,
    standing: usize,
    used: Time,
}

struct Open {
    person: u64,
    proxy: usize,
    conn: CallerConn,
    taken: Time,
    resent: bool,
    setup: Setup,
    stands: bool,
}

struct Change {
    entry: Entry,
    instance: u32,
    at: Time,
}

/// The world of one run.
pub struct World {
    scenario: Scenario,
    plan: Vec<Planned>,
    groups: Vec<usize>,
    now: Time,
    begun: Option<Time>,
    until: Time,
    draw: Draw,
    events: BinaryHeap<Due>,
    sequence: u64,
    places: Vec<Place>,
    instances: u32,
    conns: BTreeMap<ServerConn, Conn>,
    next_conn: u64,
    /// Connections of each proxy at each place.
    between: Vec<Vec<ServerConn>>,
    proxies: Vec<Proxy>,
    /// Sums of the weights of the proxies that serve; empty where they have changed.
    fronts: Vec<f64>,
    paths: Vec<Path>,
    delays: Vec<Time>,
    modes: Vec<Mode>,
    drawn: BTreeMap<usize, Vec<usize>>,
    callers: Callers,
    people: BTreeMap<u64, Caller>,
    fates: BTreeMap<u64, Person>,
    next_person: u64,
    open: BTreeMap<CallId, Open>,
    sides: BTreeMap<CallerConn, CallerSide>,
    changes: Vec<Change>,
    checker: Checker,
    record: Record,
    commands: VecDeque<Command>,
    does: Vec<Does>,
}

impl World {
    /// The world of a scenario, before its proxies are started.
    ///
    /// # Errors
    /// As [`Scenario::plan`].
    pub fn new(scenario: Scenario) -> Result<World, Bad> {
        let plan = scenario.plan()?;
        let mut draw = Draw::new(scenario.seed, 0x3017d);
        let first = scenario.proxies.count as usize;
        let drawn = |share: f64| (share * first as f64).round() as usize;
        let swaps = plan.iter().filter(|f| f.kind == Kind::Swap).map(|f| match &f.proxies {
            Targets::Named(named) => named.len(),
            Targets::Drawn(share) => drawn(*share),
        });
        let count = first + swaps.sum::<usize>();
        let sites = scenario.server_sites();
        let groups: Vec<usize> = scenario
            .servers
            .iter()
            .enumerate()
            .flat_map(|(i, g)| std::iter::repeat_n(i, g.count as usize))
            .collect();
        let mut delays = Vec::with_capacity(count * sites.len());
        // One figure for each pair of sites, as they lie as far apart as they do.
        let n = scenario.sites.len();
        let mut apart = vec![0; n * n];
        for a in 0..n {
            for b in 0..=a {
                let range = if a == b { scenario.paths.same_ms } else { scenario.paths.between_ms };
                let delay = draw.ms(range);
                apart[a * n + b] = delay;
                apart[b * n + a] = delay;
            }
        }
        for p in 0..count {
            delays.extend(sites.iter().map(|s| apart[scenario.proxy_site(p) * n + s]));
        }
        let mut places = Vec::new();
        for (i, site) in sites.iter().enumerate() {
            let spec = &scenario.servers[groups[i]];
            places.push(Place {
                site: *site,
                group: groups[i],
                instance: i as u32,
                id: format!("s-{i}-0"),
                server: Server::new(spec, &scenario.rules, draw.number(), None, 0),
                started: None,
                silent: false,
                gone: false,
                open: 0,
                calls: BTreeMap::new(),
                unheard: BTreeMap::new(),
                due: None,
            });
        }
        let entries: BTreeMap<u32, Entry> =
            places.iter().enumerate().map(|(i, p)| (p.instance, entry(p, i, Listed::Serving))).collect();
        let skew = scenario.proxies.skew;
        let proxies = (0..count).map(|p| Proxy {
            site: scenario.proxy_site(p),
            // The first takes `skew` times the mean; the others share what is left evenly.
            weight: match (p, first) {
                (_, 1) => 1.0,
                (0, _) => skew,
                _ => ((first as f64 - skew) / (first as f64 - 1.0)).max(0.01),
            },
            life: Life::Down,
            run: 0,
            serves: false,
            again: None,
            replaces: None,
            conns: BTreeSet::new(),
            view: entries.clone(),
            log: Vec::new(),
            channel: true,
            missed: Vec::new(),
            last_list: 0,
        });
        let pairs = count * places.len();
        Ok(World {
            checker: Checker::new(scenario.rules.clone(), CLASS),
            callers: Callers::new(&scenario),
            proxies: proxies.collect(),
            fronts: Vec::new(),
            until: Time::MAX,
            plan,
            groups,
            now: 0,
            begun: None,
            draw,
            events: BinaryHeap::new(),
            sequence: 0,
            instances: places.len() as u32,
            record: Record::new(places.len()),
            places,
            conns: BTreeMap::new(),
            next_conn: 0,
            between: vec![Vec::new(); pairs],
            paths: vec![Path::default(); pairs],
            delays,
            modes: vec![Mode::Open; pairs],
            drawn: BTreeMap::new(),
            people: BTreeMap::new(),
            fates: BTreeMap::new(),
            next_person: 0,
            open: BTreeMap::new(),
            sides: BTreeMap::new(),
            changes: Vec::new(),
            commands: VecDeque::new(),
            does: Vec::new(),
            scenario,
        })
    }

    /// The scenario that is played.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// Proxies in all, with those that take others' places.
    pub fn proxies(&self) -> usize {
        self.proxies.len()
    }

    /// Servers' places, each with an address of its own.
    pub fn places(&self) -> usize {
        self.places.len()
    }

    /// Starts the first proxies.
    pub fn start(&mut self, now: Time) {
        self.now = now;
        for p in 0..self.scenario.proxies.count as usize {
            self.start_proxy(p);
        }
        self.at(now + 1_000_000, Ev::Beat);
        for place in 0..self.places.len() {
            self.touch(place);
        }
    }

    /// Whether no proxy is still starting.
    pub fn all_ready(&self) -> bool {
        self.proxies.iter().all(|p| p.life != Life::Starting)
    }

    /// Callers come and faults happen from now on.
    pub fn begin(&mut self, now: Time) {
        self.now = now;
        self.begun = Some(now);
        self.until = now + secs(self.scenario.seconds);
        for i in 0..self.plan.len() {
            let (from, until) = (now + self.plan[i].from, now + self.plan[i].until);
            self.at(from, Ev::Fault(i, true));
            if until > from {
                self.at(until, Ev::Fault(i, false));
            }
        }
        let first = now + self.callers.next(0);
        self.at(first, Ev::Arrive);
        self.at(now, Ev::Sample);
    }

    /// When the run is over.
    pub fn over_at(&self) -> Option<Time> {
        self.begun.map(|_| self.until + secs(self.scenario.settle_s))
    }

    /// What new connections of a proxy to a place meet.
    pub fn mode(&self, proxy: usize, place: usize) -> Mode {
        self.modes[proxy * self.places.len() + place]
    }

    /// The list that a proxy has at its start: number of the last event, and the events.
    pub fn known(&self, proxy: usize) -> &[ListEvent] {
        &self.proxies[proxy].log
    }

    /// The seed that a proxy is told at its present start; the same in every run of the scenario.
    pub fn seed(&self, proxy: usize) -> u64 {
        let start = (proxy as u64) << 20 | u64::from(self.proxies[proxy].run);
        Draw::new(self.scenario.seed ^ 0x5eed, start).number()
    }

    /// When the world has to be run next.
    pub fn due(&self) -> Option<Time> {
        self.events.peek().map(|e| e.at)
    }

    /// The next thing that the host has to do.
    pub fn command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// The checker, which the host tells of its lateness.
    pub fn checker(&mut self) -> &mut Checker {
        &mut self.checker
    }

    /// Ends the run and gives what is to be reported.
    pub fn finish(mut self, now: Time) -> (Record, Checker) {
        self.checker.advance(now);
        let begun = self.begun.unwrap_or(0);
        for (_, mut person) in std::mem::take(&mut self.fates) {
            person.first = person.first.saturating_sub(begun);
            self.record.people.push(person);
        }
        self.record.people.sort_by_key(|p| p.first);
        for sample in &mut self.record.samples {
            sample.at = sample.at.saturating_sub(begun);
        }
        self.record.begun = begun;
        (self.record, self.checker)
    }

    fn at(&mut self, time: Time, ev: Ev) {
        self.sequence += 1;
        self.events.push(Due { at: time, sequence: self.sequence, ev });
    }

    fn see(&mut self, seen: Seen) {
        self.checker.see(self.now, seen);
    }

    /// Does all that is due by now.
    pub fn run(&mut self, now: Time) {
        while self.due().is_some_and(|at| at <= now)
            && let Some(Due { at, ev, .. }) = self.events.pop()
        {
            self.now = self.now.max(at);
            self.happen(ev);
        }
        self.now = self.now.max(now);
    }

    fn happen(&mut self, ev: Ev) {
        match ev {
            Ev::Fault(i, true) => self.fault_begins(i),
            Ev::Fault(i, false) => self.fault_ends(i),
            Ev::Server(place) => {
                if self.places[place].due.is_some_and(|due| due <= self.now) {
                    let mut does = std::mem::take(&mut self.does);
                    self.places[place].server.run(self.now, &mut does);
                    self.carry_out(place, does);
                }
            }
            Ev::ToServer(conn, message) => self.arrives(conn, message),
            Ev::ToProxy(conn, message) => self.goes_out(conn, message),
            Ev::Arrive => self.arrive(),
            Ev::Dial(person) => self.dial(person),
            Ev::Expire(call) => {
                if self.open.get(&call).is_some_and(|o| !o.stands) {
                    self.caller_leaves(call, true);
                }
            }
            Ev::Leave(call) => self.caller_leaves(call, false),
            Ev::Idle(conn) => self.close_idle(conn),
            Ev::Rejoin(proxy) => self.rejoin(proxy),
            Ev::List(proxy, change) => self.tell_list(proxy, change),
            Ev::Counts(proxy, change) => self.counts_as_told(proxy, change),
            Ev::Notice(proxy, serves, run) => {
                // One that goes on by then answers its tests again.
                if self.proxies[proxy].run == run && self.proxies[proxy].life != Life::Up {
                    self.serves(proxy, serves);
                }
            }
            Ev::KillLate(proxy, run) => {
                if self.proxies[proxy].run == run && matches!(self.proxies[proxy].life, Life::Terminated(_)) {
                    self.commands.push_back(Command::Process(proxy, Signal::Kill));
                }
            }
            Ev::NotReady(proxy, run) => {
                let p = &mut self.proxies[proxy];
                if p.run == run && p.life == Life::Starting {
                    p.life = Life::Killed;
                    self.commands.push_back(Command::Process(proxy, Signal::Kill));
                    self.see(Seen::Gone(proxy, Gone::NeverReady));
                }
            }
            Ev::Beat => {
                for p in 0..self.proxies.len() {
                    if self.proxies[p].channel && self.running(p) {
                        let last = self.proxies[p].log.last().map_or(0, |e| e.cursor);
                        self.commands.push_back(Command::Beat(p, last));
                    }
                }
                self.at(self.now + 1_000_000, Ev::Beat);
            }
            Ev::Sample => self.sample(),
        }
    }

    fn running(&self, proxy: usize) -> bool {
        !matches!(self.proxies[proxy].life, Life::Down | Life::Killed)
    }

    // ---- what the host tells

    /// Takes one input.
    pub fn handle(&mut self, now: Time, input: Input) {
        self.run(now);
        match input {
            Input::CallerUp(conn) => self.caller_up(conn),
            Input::CallerDown(conn) => self.caller_down(conn),
            Input::ToCaller(conn, message) => self.told_caller(conn, message),
            Input::ToServer(conn, message) => self.comes_in(conn, message),
            Input::ServerDown(conn) => self.server_down(conn),
            Input::Resume(proxy, last) => {
                if self.proxies[proxy].channel {
                    let later: Vec<ListEvent> =
                        self.proxies[proxy].log.iter().filter(|e| e.cursor > last).cloned().collect();
                    self.commands.extend(later.into_iter().map(|e| Command::List(proxy, e)));
                }
            }
            Input::Ready(proxy) => self.ready(proxy),
            Input::Ended(proxy) => self.ended(proxy),
            Input::Unreadable(proxy, what) => self.see(Seen::Unreadable(proxy, what)),
        }
    }

    // ---- proxies

    fn start_proxy(&mut self, p: usize) {
        let known: Vec<Entry> =
            self.proxies[p].view.values().filter(|e| e.state != Listed::Deleted).cloned().collect();
        let draining: Vec<u32> = self.proxies[p]
            .view
            .iter()
            .filter(|(_, e)| e.state != Listed::Serving)
            .map(|(instance, _)| *instance)
            .collect();
        let proxy = &mut self.proxies[p];
        proxy.run += 1;
        proxy.life = Life::Starting;
        proxy.again = None;
        proxy.log = vec![ListEvent { cursor: 1, full: true, entries: known }];
        let run = proxy.run;
        self.see(Seen::Up(p));
        for server in draining {
            self.see(Seen::Told { proxy: p, server, serves: false });
        }
        self.commands.push_back(Command::Process(p, Signal::Start));
        self.at(self.now + READY, Ev::NotReady(p, run));
    }

    fn ready(&mut self, p: usize) {
        if self.proxies[p].life != Life::Starting {
            return;
        }
        self.proxies[p].life = Life::Up;
        self.serves(p, true);
        if let Some(old) = self.proxies[p].replaces.take() {
            self.proxies[p].weight = self.proxies[old].weight;
            self.terminate(old);
        }
    }

    fn terminate(&mut self, p: usize) {
        if !self.running(p) {
            return;
        }
        self.proxies[p].life = Life::Terminated(self.now);
        let run = self.proxies[p].run;
        self.commands.push_back(Command::Process(p, Signal::Term));
        self.at(self.now + TERM_NOTICE, Ev::Notice(p, false, run));
        self.at(self.now + TERM_KILL, Ev::KillLate(p, run));
    }

    fn ended(&mut self, p: usize) {
        let how = match self.proxies[p].life {
            Life::Down => return,
            Life::Killed => Gone::Killed,
            Life::Terminated(at) => Gone::After(at),
            Life::Starting | Life::Up | Life::Stopped => Gone::Unasked,
        };
        let run = self.proxies[p].run;
        self.proxies[p].life = Life::Down;
        self.see(Seen::Gone(p, how));
        if how != Gone::Unasked {
            self.at(self.now + NOTICE, Ev::Notice(p, false, run));
        }
        let conns: Vec<CallerConn> = self.proxies[p].conns.iter().copied().collect();
        for conn in conns {
            self.commands.push_back(Command::CloseCaller(conn));
            self.caller_down(conn);
        }
        let of = p * self.places.len()..(p + 1) * self.places.len();
        let gone: Vec<ServerConn> = self.between[of].iter().flatten().copied().collect();
        for conn in gone {
            self.commands.push_back(Command::CloseServer(conn, false));
            self.server_down(conn);
        }
        match self.proxies[p].again {
            Some(at) if at <= self.now => self.start_proxy(p),
            _ => {}
        }
    }

    // ---- faults

    fn targets(&mut self, i: usize) -> Vec<usize> {
        if let Some(known) = self.drawn.get(&i) {
            return known.clone();
        }
        let chosen = match &self.plan[i].proxies {
            Targets::Named(named) => named.clone(),
            Targets::Drawn(share) => {
                let first = self.scenario.proxies.count as usize;
                let mut all: Vec<usize> = (0..first).collect();
                let wanted = (share * first as f64).round() as usize;
                (0..wanted.min(first))
                    .map(|_| all.swap_remove((self.draw.unit() * all.len() as f64) as usize))
                    .collect()
            }
        };
        self.drawn.insert(i, chosen.clone());
        chosen
    }

    fn fault_begins(&mut self, i: usize) {
        let (kind, by) = (self.plan[i].kind, self.plan[i].by);
        let proxies = self.targets(i);
        let servers = self.plan[i].servers.clone();
        match kind.subject() {
            Subject::Path => self.path_faults(&proxies, &servers, kind, true),
            Subject::Server => {
                for s in servers {
                    self.server_fault_begins(s, kind, by);
                }
            }
            Subject::Proxy => {
                let until = self.now + (self.plan[i].until - self.plan[i].from);
                for (n, p) in proxies.into_iter().enumerate() {
                    self.proxy_fault_begins(i, n, p, kind, until);
                }
            }
            Subject::Channel => {
                for p in proxies {
                    self.proxies[p].channel = false;
                    self.commands.push_back(Command::Channel(p, false));
                }
            }
        }
    }

    fn fault_ends(&mut self, i: usize) {
        let kind = self.plan[i].kind;
        let proxies = self.targets(i);
        let servers = self.plan[i].servers.clone();
        match kind.subject() {
            Subject::Path => self.path_faults(&proxies, &servers, kind, false),
            Subject::Server => {
                for s in servers {
                    self.server_fault_ends(s, kind);
                }
            }
            Subject::Proxy => {
                let step = self.plan[i].step;
                for p in proxies {
                    match kind {
                        Kind::Pause if self.proxies[p].life == Life::Stopped => {
                            self.proxies[p].life = Life::Up;
                            self.serves(p, true);
                            self.see(Seen::Continued(p));
                            self.commands.push_back(Command::Process(p, Signal::Continue(step)));
                        }
                        Kind::Kill | Kind::Restart if self.proxies[p].life == Life::Down => {
                            self.start_proxy(p);
                        }
                        _ => {}
                    }
                }
            }
            Subject::Channel => {
                for p in proxies {
                    self.proxies[p].channel = true;
                    self.commands.push_back(Command::Channel(p, true));
                    for change in std::mem::take(&mut self.proxies[p].missed) {
                        self.tell_list(p, change);
                    }
                }
            }
        }
    }

    fn proxy_fault_begins(&mut self, fault: usize, nth: usize, p: usize, kind: Kind, until: Time) {
        if !self.running(p) {
            return;
        }
        let run = self.proxies[p].run;
        match kind {
            Kind::Kill => {
                self.proxies[p].life = Life::Killed;
                self.proxies[p].again = Some(until);
                self.commands.push_back(Command::Process(p, Signal::Kill));
            }
            Kind::Pause if self.proxies[p].life == Life::Up => {
                self.proxies[p].life = Life::Stopped;
                self.see(Seen::Paused(p));
                self.commands.push_back(Command::Process(p, Signal::Stop));
                self.at(self.now + NOTICE, Ev::Notice(p, false, run));
            }
            Kind::Restart => {
                self.proxies[p].again = Some(until);
                self.terminate(p);
            }
            Kind::Swap => {
                let before = self.plan[..fault].iter().filter(|f| f.kind == Kind::Swap).map(|f| &f.proxies);
                let first = self.scenario.proxies.count as usize;
                let count = |t: &Targets| match t {
                    Targets::Named(named) => named.len(),
                    Targets::Drawn(share) => (share * first as f64).round() as usize,
                };
                let new = first + before.map(count).sum::<usize>() + nth;
                if let Some(newcomer) = self.proxies.get_mut(new) {
                    newcomer.replaces = Some(p);
                    self.start_proxy(new);
                }
            }
            _ => {}
        }
    }

    fn path_faults(&mut self, proxies: &[usize], servers: &[usize], kind: Kind, begins: bool) {
        for p in proxies {
            for s in servers {
                self.path_fault(*p, *s, kind, begins);
            }
        }
    }

    fn path_fault(&mut self, p: usize, s: usize, kind: Kind, begins: bool) {
        let n = p * self.places.len() + s;
        let path = &mut self.paths[n];
        match kind {
            Kind::Drop | Kind::Stall => {
                (path.to_server, path.to_proxy, path.silent) = (begins, begins, begins);
            }
            Kind::ToServer => (path.to_server, path.silent) = (begins, begins),
            Kind::ToProxy => (path.to_proxy, path.silent) = (begins, begins),
            Kind::Refuse => path.refuse = begins,
            _ => {}
        }
        self.look_at_mode(p, s);
        for conn in self.between[n].clone() {
            match (kind, begins) {
                (Kind::Drop | Kind::HalfOpen, true) => self.forget(conn),
                (Kind::Reset, true) | (Kind::Drop, false) => self.reset(conn),
                (_, false) => self.flow(conn),
                _ => {}
            }
        }
    }

    /// The server's end of a connection is gone, and the other does not know.
    fn forget(&mut self, id: ServerConn) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| !c.dead) else { return };
        conn.dead = true;
        conn.up.clear();
        conn.down.clear();
        let (place, instance) = (conn.place, conn.instance);
        if self.places[place].instance == instance {
            self.places[place].open = self.places[place].open.saturating_sub(1);
            self.give_up_all(place, id);
        }
    }

    /// The set-ups open on a connection that has ended are given up at the server.
    fn give_up_all(&mut self, place: usize, id: ServerConn) {
        let here = &self.places[place];
        let waiting: Vec<CallId> = here
            .calls
            .iter()
            .filter(|(call, c)| c.0 == id && !here.server.stands(**call))
            .map(|(call, _)| *call)
            .collect();
        let mut does = std::mem::take(&mut self.does);
        for call in waiting {
            self.places[place].calls.remove(&call);
            self.places[place].server.give_up(self.now, call, &mut does);
            let server = self.places[place].instance;
            self.see(Seen::Ended { server, call, end: End::MayHaveRun });
        }
        self.carry_out(place, does);
    }

    /// Ends a connection with a reset from the server's side.
    fn reset(&mut self, id: ServerConn) {
        if self.conns.contains_key(&id) {
            self.commands.push_back(Command::CloseServer(id, true));
            self.server_down(id);
        }
    }

    /// A connection has ended.
    fn server_down(&mut self, id: ServerConn) {
        let Some(conn) = self.conns.remove(&id) else { return };
        self.between[conn.proxy * self.places.len() + conn.place].retain(|c| *c != id);
        if conn.dead {
            return;
        }
        let place = conn.place;
        if self.places[place].instance == conn.instance {
            self.places[place].open = self.places[place].open.saturating_sub(1);
            self.give_up_all(place, id);
        }
    }

    fn server_fault_begins(&mut self, s: usize, kind: Kind, by: f64) {
        match kind {
            Kind::Slow => self.places[s].server.set_slower(by),
            Kind::Erring => self.places[s].server.set_erring(by),
            Kind::Deaf => self.places[s].server.set_deaf(true),
            Kind::Silent => {
                self.stop_server(s);
                self.places[s].silent = true;
                for conn in self.conns_at(s) {
                    self.forget(conn);
                }
                self.publish(s, Listed::Deleted, self.scenario.list.lost_ms);
            }
            Kind::Crash => {
                self.stop_server(s);
                self.close_all(s);
                self.places[s].gone = true;
                self.publish(s, Listed::Deleted, self.scenario.list.lost_ms);
            }
            Kind::Replace | Kind::Drain => {
                self.publish(s, Listed::Draining, self.scenario.list.planned_ms);
            }
            _ => {}
        }
        self.look_at_modes(s);
        self.touch(s);
    }

    fn server_fault_ends(&mut self, s: usize, kind: Kind) {
        match kind {
            Kind::Slow => self.places[s].server.set_slower(1.0),
            Kind::Erring => self.places[s].server.set_erring(0.0),
            Kind::Deaf => self.places[s].server.set_deaf(false),
            Kind::Drain => self.publish(s, Listed::Serving, self.scenario.list.planned_ms),
            Kind::Silent | Kind::Crash => {
                // What its other end still holds open is answered with a reset now.
                self.close_all(s);
                self.places[s].silent = false;
                self.places[s].gone = false;
                self.start_server(s, false);
                self.publish(s, Listed::Serving, self.scenario.list.planned_ms);
            }
            Kind::Replace => {
                // It says of each call that it is cut before it stops.
                let standing: Vec<CallId> = self.places[s].calls.keys().copied().collect();
                for call in standing {
                    if self.places[s].server.stands(call) {
                        self.say_over(s, call, true);
                    }
                }
                self.stop_server(s);
                self.publish(s, Listed::Deleted, self.scenario.list.planned_ms);
                self.close_all(s);
                self.start_server(s, true);
                self.publish(s, Listed::Serving, self.scenario.list.planned_ms);
            }
            _ => {}
        }
        self.look_at_modes(s);
        self.touch(s);
    }

    /// The calls at a server end with it, and nobody says so.
    fn stop_server(&mut self, s: usize) {
        let server = self.places[s].instance;
        for call in self.places[s].server.stop() {
            self.see(Seen::Over { server, call });
        }
        let open = std::mem::take(&mut self.places[s].calls);
        for call in open.into_keys() {
            self.see(Seen::Ended { server, call, end: End::MayHaveRun });
        }
        self.places[s].unheard.clear();
    }

    fn close_all(&mut self, s: usize) {
        for conn in self.conns_at(s) {
            self.reset(conn);
        }
        self.places[s].open = 0;
    }

    /// A server starts cold: the same one, or another at the same address.
    fn start_server(&mut self, s: usize, another: bool) {
        self.instances += u32::from(another);
        let seed = self.draw.number();
        let place = &mut self.places[s];
        if another {
            place.instance = self.instances - 1;
            place.id = format!("s-{s}-{}", place.instance);
        }
        place.started = Some(self.now);
        let spec = &self.scenario.servers[place.group];
        let tally = place.server.tally;
        place.server = Server::new(spec, &self.scenario.rules, seed, Some(self.now), self.now);
        place.server.tally = tally;
        place.open = 0;
        place.due = None;
    }

    // ---- the list

    fn publish(&mut self, s: usize, state: Listed, late: Range) {
        let place = &self.places[s];
        let change = Change { entry: entry(place, s, state), instance: place.instance, at: self.now };
        self.changes.push(change);
        let number = self.changes.len() - 1;
        let base = self.draw.ms(late);
        for p in 0..self.proxies.len() {
            let spread = (self.draw.unit() * self.scenario.list.spread_ms * 1_000.0) as Time;
            let at = (self.now + base + spread).max(self.proxies[p].last_list);
            self.proxies[p].last_list = at;
            self.at(at, Ev::List(p, number));
            self.at(self.now + ms(self.scenario.rules.told_ms), Ev::Counts(p, number));
        }
    }

    /// An event reaches a proxy's command channel.
    fn tell_list(&mut self, p: usize, number: usize) {
        let change = &self.changes[number];
        let (entry, instance) = (change.entry.clone(), change.instance);
        // A loss that has been overtaken by the return is not told any more.
        let overtaken = entry.state == Listed::Deleted
            && self.proxies[p].view.get(&instance).is_some_and(|e| e.started > entry.started);
        if overtaken {
            return;
        }
        if !self.proxies[p].channel {
            self.proxies[p].missed.push(number);
            return;
        }
        self.proxies[p].view.insert(instance, entry.clone());
        if !self.running(p) {
            return;
        }
        let cursor = self.proxies[p].log.last().map_or(0, |e| e.cursor) + 1;
        let serves = entry.state == Listed::Serving;
        let event = ListEvent { cursor, full: false, entries: vec![entry] };
        self.proxies[p].log.push(event.clone());
        self.commands.push_back(Command::List(p, event));
        self.see(Seen::Told { proxy: p, server: instance, serves });
    }

    /// Whether it was read or not, what the channel has to tell counts as told by now.
    fn counts_as_told(&mut self, p: usize, number: usize) {
        let change = &self.changes[number];
        let (instance, state, at) = (change.instance, change.entry.state, change.at);
        let newer = self.changes.iter().any(|c| c.instance == instance && c.at > at);
        if state != Listed::Serving && !newer && self.running(p) {
            self.see(Seen::Told { proxy: p, server: instance, serves: false });
        }
    }

    /// Whether a proxy knows when a server's instance started, or counts as told.
    fn knows(&self, p: usize, s: usize) -> bool {
        let place = &self.places[s];
        let told = self.proxies[p].view.get(&place.instance);
        told.is_some_and(|e| e.started == place.started)
            || place.started.is_none_or(|at| self.now >= at + ms(self.scenario.rules.told_ms))
    }

    // ---- paths

    fn look_at_modes(&mut self, s: usize) {
        for p in 0..self.proxies.len() {
            self.look_at_mode(p, s);
        }
    }

    fn look_at_mode(&mut self, p: usize, s: usize) {
        let n = p * self.places.len() + s;
        let (path, place) = (&self.paths[n], &self.places[s]);
        let mode = if path.silent || place.silent {
            Mode::Silent
        } else if path.refuse || place.gone || place.server.is_down() {
            Mode::Refused
        } else {
            Mode::Open
        };
        if self.modes[n] != mode {
            self.modes[n] = mode;
            self.commands.push_back(Command::Listen(p, s, mode));
        }
    }

    /// All connections to a place.
    fn conns_at(&self, s: usize) -> Vec<ServerConn> {
        let places = self.places.len();
        self.between.iter().skip(s).step_by(places).flatten().copied().collect()
    }

    /// A connection of a proxy to a place has come up; `None` where it is to be closed without a word.
    pub fn accept(&mut self, now: Time, p: usize, s: usize) -> Option<ServerConn> {
        self.run(now);
        let full = self.places[s].open >= self.scenario.servers[self.groups[s]].connections;
        self.record.connections += 1;
        if self.mode(p, s) != Mode::Open || full || !self.running(p) {
            self.record.connections_refused += 1;
            return None;
        }
        self.next_conn += 1;
        let id = self.next_conn;
        self.places[s].open += 1;
        let instance = self.places[s].instance;
        let conn =
            Conn { proxy: p, place: s, instance, dead: false, up: VecDeque::new(), down: VecDeque::new() };
        self.conns.insert(id, conn);
        let n = p * self.places.len() + s;
        self.between[n].push(id);
        let lives = |c: &&ServerConn| self.conns.get(c).is_some_and(|c| !c.dead);
        let open = self.between[n].iter().filter(lives).count();
        self.see(Seen::Connected { proxy: p, server: instance, open });
        let state = self.places[s].server.state();
        self.write(id, FromServer::Notify(state));
        let unheard: Vec<(CallId, bool)> =
            self.places[s].unheard.get(&p).into_iter().flatten().map(|(call, cut)| (*call, *cut)).collect();
        for (call, cut) in unheard {
            self.write(id, FromServer::Bye(call, cut, state));
        }
        Some(id)
    }

    fn path(&self, p: usize, s: usize) -> (Path, Time) {
        let n = p * self.places.len() + s;
        (self.paths[n], self.delays[n])
    }

    /// A proxy's message comes into its path.
    fn comes_in(&mut self, id: ServerConn, message: ToServer) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (p, s, server, dead) = (conn.proxy, conn.place, conn.instance, conn.dead);
        match &message {
            ToServer::Invite { call, class, number, description, .. } => {
                self.record.attempts += 1;
                self.see(Seen::Sent {
                    proxy: p,
                    server,
                    call: *call,
                    class: class.clone(),
                    number: number.clone(),
                    description: description.clone(),
                });
            }
            ToServer::Cancel(call) => self.see(Seen::GivenUp { server, call: *call }),
            ToServer::Bye(call) => {
                self.see(Seen::GivenUp { server, call: *call });
                self.see(Seen::OverTold { server, call: *call });
            }
            ToServer::ByeHeard(_) => {}
            ToServer::Other => return,
        }
        if !dead {
            let (_, delay) = self.path(p, s);
            self.at(self.now + delay, Ev::ToServer(id, message));
        }
    }

    /// It has come to the end of its path, unless that holds it.
    fn arrives(&mut self, id: ServerConn, message: ToServer) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| !c.dead) else { return };
        conn.up.push_back(message);
        self.flow(id);
    }

    /// A server's message comes into its path.
    fn write(&mut self, id: ServerConn, message: FromServer) {
        let Some(conn) = self.conns.get(&id).filter(|c| !c.dead) else { return };
        let (_, delay) = self.path(conn.proxy, conn.place);
        self.at(self.now + delay, Ev::ToProxy(id, message));
    }

    fn goes_out(&mut self, id: ServerConn, message: FromServer) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| !c.dead) else { return };
        conn.down.push_back(message);
        self.flow(id);
    }

    /// Passes on what has come to the ends of a connection's path and is not held there.
    fn flow(&mut self, id: ServerConn) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (path, _) = self.path(conn.proxy, conn.place);
        let server = conn.instance;
        while !path.to_server
            && let Some(message) = self.conns.get_mut(&id).and_then(|c| c.up.pop_front())
        {
            self.serve(id, message);
        }
        while !path.to_proxy
            && let Some(message) = self.conns.get_mut(&id).and_then(|c| c.down.pop_front())
        {
            if let FromServer::Bye(call, ..) = &message {
                self.see(Seen::OverTold { server, call: *call });
            }
            self.commands.push_back(Command::ServerSend(id, message));
        }
    }

    // ---- servers

    /// A message has come whole to a server.
    fn serve(&mut self, id: ServerConn, message: ToServer) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (p, s, server) = (conn.proxy, conn.place, conn.instance);
        if self.places[s].instance != server {
            return;
        }
        let mut does = std::mem::take(&mut self.does);
        match message {
            ToServer::Invite { call, sequence, .. } => {
                self.see(Seen::Arrived { server, call });
                let told = self.knows(p, s);
                self.places[s].calls.insert(call, (id, sequence, p));
                self.places[s].server.setup(self.now, call, told, &mut does);
            }
            ToServer::Cancel(call) => {
                if !self.places[s].server.stands(call) {
                    self.places[s].calls.remove(&call);
                    self.places[s].server.give_up(self.now, call, &mut does);
                }
            }
            ToServer::Bye(call) => {
                self.places[s].calls.remove(&call);
                if let Some(unheard) = self.places[s].unheard.get_mut(&p) {
                    unheard.remove(&call);
                }
                self.places[s].server.give_up(self.now, call, &mut does);
                self.write(id, FromServer::ByeHeard(call));
            }
            ToServer::ByeHeard(call) => {
                if let Some(unheard) = self.places[s].unheard.get_mut(&p) {
                    unheard.remove(&call);
                }
            }
            ToServer::Other => {}
        }
        self.carry_out(s, does);
    }

    /// What a server does goes to the proxies.
    fn carry_out(&mut self, s: usize, mut does: Vec<Does>) {
        for did in does.drain(..) {
            let server = self.places[s].instance;
            let state = self.places[s].server.state();
            match did {
                Does::Stands(call) => {
                    let Some((conn, sequence, _)) = self.places[s].calls.get(&call).copied() else {
                        continue;
                    };
                    let description = format!("{call:016x}\r\nc=IN IP4 10.9.{s}.{}\r\n", sequence % 250);
                    let made = description.clone().into_bytes();
                    self.see(Seen::Stands { server, call, description: made });
                    let (hold, _) = self.callers.length();
                    self.places[s].server.hold(self.now, call, hold);
                    self.write(conn, FromServer::Stands(call, sequence, description, state));
                }
                Does::Refuses(call, no) => {
                    let Some((conn, sequence, _)) = self.places[s].calls.remove(&call) else { continue };
                    self.record.server_refusals += 1;
                    let end = End::Refused;
                    self.see(Seen::Ended { server, call, end });
                    self.write(conn, FromServer::Refuses(call, sequence, no, state));
                }
                Does::Releases(call) => self.say_over(s, call, false),
                Does::Falls(knew) => {
                    if !self.places[s].server.is_down() {
                        self.record.falls += 1;
                        self.see(Seen::Fell { server, knew });
                        self.stop_server(s);
                        self.close_all(s);
                        self.places[s].gone = true;
                        self.publish(s, Listed::Deleted, self.scenario.list.lost_ms);
                        self.look_at_modes(s);
                    }
                }
                Does::Tells => {
                    for conn in self.conns_at(s) {
                        self.write(conn, FromServer::Notify(state));
                    }
                }
            }
        }
        if self.does.capacity() == 0 {
            self.does = does;
        }
        self.touch(s);
    }

    /// A call is over; it is said on the connection of its set-up, failing that on any, and on the next.
    fn say_over(&mut self, s: usize, call: CallId, cut: bool) {
        let Some((own, _, p)) = self.places[s].calls.remove(&call) else { return };
        self.see(Seen::Over { server: self.places[s].instance, call });
        self.places[s].unheard.entry(p).or_default().insert(call, cut);
        let lives = |id: &ServerConn| self.conns.get(id).is_some_and(|c| !c.dead);
        let any = || {
            let of = &self.between[p * self.places.len() + s];
            of.iter().copied().rfind(lives)
        };
        let state = self.places[s].server.state();
        if let Some(conn) = Some(own).filter(lives).or_else(any) {
            self.write(conn, FromServer::Bye(call, cut, state));
        }
    }

    fn touch(&mut self, s: usize) {
        let due = self.places[s].server.due();
        if due != self.places[s].due {
            self.places[s].due = due;
            if let Some(at) = due {
                self.at(at, Ev::Server(s));
            }
        }
    }

    // ---- callers

    fn arrive(&mut self) {
        let begun = self.begun.unwrap_or(0);
        let at = self.now - begun;
        if self.now >= self.until {
            return;
        }
        let next = begun + self.callers.next(at);
        if next < self.until {
            self.at(next, Ev::Arrive);
        }
        let person = self.next_person;
        self.next_person += 1;
        let caller = self.callers.caller(at, self.now);
        self.fates.insert(
            person,
            Person {
                first: self.now,
                channel: caller.channel,
                fate: Fate::Lost,
                stood_after: None,
                tries: 0,
                second_choice: false,
                cause: 0,
            },
        );
        self.people.insert(person, caller);
        self.dial(person);
    }

    fn settle(&mut self, person: u64, fate: Fate, cause: u8) {
        if let Some(p) = self.fates.get_mut(&person) {
            p.fate = fate;
            p.cause = cause;
        }
    }

    /// A try has come to nothing: the caller dials again, or that was all.
    fn again(&mut self, person: u64, fate: Fate, cause: u8, away: Option<Time>) {
        self.settle(person, fate, cause);
        let Some(caller) = self.people.get_mut(&person) else { return };
        match self.callers.redial(caller, away) {
            Some(wait) => {
                let at = self.now + wait;
                self.at(at, Ev::Dial(person));
            }
            None => drop(self.people.remove(&person)),
        }
    }

    fn dial(&mut self, person: u64) {
        let Some(mut caller) = self.people.remove(&person) else { return };
        let Some(Try { call, patience, leaves }) = self.callers.attempt(&mut caller, self.now) else {
            return;
        };
        let setup = Setup {
            call,
            channel: caller.channel,
            patience,
            redial: caller.tries > 1,
            number: caller.number.clone(),
            place: caller.place,
            description: format!("{call:016x}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"),
        };
        if let Some(p) = self.fates.get_mut(&person) {
            p.tries += 1;
        }
        self.people.insert(person, caller);
        let Some(proxy) = self.front() else {
            self.again(person, Fate::Lost, 0, None);
            return;
        };
        let open = Open { person, proxy, conn: 0, taken: self.now, resent: false, setup, stands: false };
        self.open.insert(call, open);
        let late = ms(self.scenario.rules.answer_ms + self.scenario.rules.slack_ms);
        let late = late + self.checker.lateness(self.now, self.now);
        self.at(self.now + patience + late, Ev::Expire(call));
        if let Some(leaves) = leaves {
            self.at(self.now + leaves, Ev::Leave(call));
        }
        self.send_setup(call);
    }

    /// The proxy that the front sends a caller to, if any serves.
    fn front(&mut self) -> Option<usize> {
        if self.fronts.is_empty() {
            let mut sum = 0.0;
            self.fronts.extend(self.proxies.iter().map(|p| {
                sum += if p.serves { p.weight } else { 0.0 };
                sum
            }));
        }
        let all = self.fronts.last().copied().filter(|all| *all > 0.0)?;
        let drawn = self.draw.unit() * all;
        Some(self.fronts.partition_point(|sum| *sum <= drawn).min(self.fronts.len() - 1))
    }

    fn serves(&mut self, p: usize, serves: bool) {
        self.proxies[p].serves = serves;
        self.fronts.clear();
    }

    /// Sends a set-up on a connection that there is, or on a new one.
    fn send_setup(&mut self, call: CallId) {
        let Some(open) = self.open.get(&call) else { return };
        let (proxy, setup) = (open.proxy, open.setup.clone());
        let of = self.proxies[proxy].conns.iter();
        let least = of.filter_map(|id| self.sides.get(id).map(|s| (s.open.len(), *id))).min();
        let conns = self.proxies[proxy].conns.len();
        let conn = match least {
            Some((busy, id)) if busy < SHARED_BY || conns >= CALLER_CONNS => id,
            _ => self.open_side(proxy, Vec::new()),
        };
        if let Some(open) = self.open.get_mut(&call) {
            open.conn = conn;
        }
        let Some(side) = self.sides.get_mut(&conn) else { return };
        side.open.insert(call);
        side.used = self.now;
        match side.up {
            true => self.write_setup(conn, setup),
            false => side.waiting.push((call, ToProxy::Setup(setup))),
        }
    }

    fn write_setup(&mut self, conn: CallerConn, setup: Setup) {
        let call = setup.call;
        let Some(open) = self.open.get_mut(&call) else { return };
        open.taken = self.now;
        let proxy = open.proxy;
        let (number, description) = (setup.number.clone(), setup.description.clone().into_bytes());
        self.see(Seen::Taken { proxy, call, number, description });
        self.commands.push_back(Command::CallerSend(conn, ToProxy::Setup(setup)));
    }

    fn caller_up(&mut self, conn: CallerConn) {
        let Some(side) = self.sides.get_mut(&conn) else { return };
        side.up = true;
        for (call, message) in std::mem::take(&mut side.waiting) {
            match message {
                ToProxy::Setup(setup) if self.open.contains_key(&call) => self.write_setup(conn, setup),
                ToProxy::Setup(_) => {}
                other => self.commands.push_back(Command::CallerSend(conn, other)),
            }
        }
    }

    /// A caller's connection has ended, and not by its own doing.
    fn caller_down(&mut self, conn: CallerConn) {
        let Some(side) = self.sides.remove(&conn) else { return };
        let proxy = side.proxy;
        self.proxies[proxy].conns.remove(&conn);
        let runs = self.answers(proxy);
        // A release that waited for it is dropped with it: that it did not come up shows that nobody is there.
        let mut cut = Vec::new();
        for call in side.open {
            let Some(open) = self.open.get_mut(&call).filter(|o| !o.stands && o.conn == conn) else {
                continue;
            };
            let crossed = self.now < open.taken + CROSSING + self.checker.lateness(open.taken, self.now);
            if side.up && runs && crossed && !open.resent {
                open.resent = true;
                self.send_setup(call);
                continue;
            }
            if side.up && runs && !crossed {
                cut.push(call);
            }
            let person = open.person;
            self.open.remove(&call);
            self.again(person, Fate::Lost, 0, Some(100_000));
        }
        if !cut.is_empty() {
            self.see(Seen::CallerCut(cut));
        }
        self.rejoin_later(proxy);
    }

    /// Callers whose calls stand at a proxy to which no connection is left open one, to hear of their end.
    fn rejoin_later(&mut self, proxy: usize) {
        let waits = |o: &Open| o.stands && o.proxy == proxy;
        if self.proxies[proxy].conns.is_empty() && self.answers(proxy) && self.open.values().any(waits) {
            self.at(self.now + REJOIN, Ev::Rejoin(proxy));
        }
    }

    fn rejoin(&mut self, proxy: usize) {
        let waits = |o: &Open| o.stands && o.proxy == proxy;
        if self.proxies[proxy].conns.is_empty() && self.answers(proxy) && self.open.values().any(waits) {
            self.open_side(proxy, Vec::new());
        }
    }

    /// Whether a proxy has been ready and its process is there.
    fn answers(&self, proxy: usize) -> bool {
        matches!(self.proxies[proxy].life, Life::Up | Life::Stopped | Life::Terminated(_))
    }

    /// Connects to a proxy; what waits is written once that is up.
    fn open_side(&mut self, proxy: usize, waiting: Vec<(CallId, ToProxy)>) -> CallerConn {
        self.next_conn += 1;
        let id = self.next_conn;
        let side =
            CallerSide { proxy, up: false, waiting, open: BTreeSet::new(), standing: 0, used: self.now };
        self.sides.insert(id, side);
        self.proxies[proxy].conns.insert(id);
        self.commands.push_back(Command::OpenCaller(id, proxy));
        id
    }

    /// Writes to a proxy on any connection there is, or on a new one.
    fn on_any(&mut self, proxy: usize, call: CallId, message: ToProxy) {
        if !self.answers(proxy) {
            return;
        }
        let conn = self.proxies[proxy].conns.iter().next_back().copied();
        match conn.and_then(|c| self.sides.get_mut(&c).map(|s| (c, s))) {
            Some((conn, side)) if side.up => {
                side.used = self.now;
                self.commands.push_back(Command::CallerSend(conn, message));
            }
            Some((_, side)) => side.waiting.push((call, message)),
            None => {
                self.open_side(proxy, vec![(call, message)]);
            }
        }
    }

    /// A caller's time is up, or it leaves.
    fn caller_leaves(&mut self, call: CallId, late: bool) {
        let Some(open) = self.open.remove(&call) else { return };
        self.see(Seen::CallerLeft { call, late });
        let mut unsent = false;
        if let Some(side) = self.sides.get_mut(&open.conn) {
            side.open.remove(&call);
            let before = side.waiting.len();
            side.waiting.retain(|(id, _)| *id != call);
            unsent = side.waiting.len() < before;
            if open.stands {
                side.standing = side.standing.saturating_sub(1);
            }
        }
        if open.stands {
            self.people.remove(&open.person);
        } else {
            self.again(open.person, Fate::GaveUp, 0, None);
        }
        if !unsent {
            let own = self.sides.get(&open.conn).is_some_and(|s| s.up);
            match own {
                true => self.commands.push_back(Command::CallerSend(open.conn, ToProxy::Release(call))),
                // A set-up belongs to its connection; a call that stands to none.
                false if open.stands => self.on_any(open.proxy, call, ToProxy::Release(call)),
                false => {}
            }
        }
        self.idle_later(open.conn);
    }

    fn idle_later(&mut self, conn: CallerConn) {
        if let Some(side) = self.sides.get_mut(&conn) {
            side.used = self.now;
            if side.open.is_empty() && side.standing == 0 {
                self.at(self.now + CALLER_IDLE, Ev::Idle(conn));
            }
        }
    }

    fn close_idle(&mut self, conn: CallerConn) {
        let Some(side) = self.sides.get(&conn) else { return };
        if side.open.is_empty() && side.standing == 0 && self.now >= side.used + CALLER_IDLE {
            let proxy = side.proxy;
            self.proxies[proxy].conns.remove(&conn);
            self.sides.remove(&conn);
            self.commands.push_back(Command::CloseCaller(conn));
            self.rejoin_later(proxy);
        }
    }

    fn told_caller(&mut self, conn: CallerConn, message: ToCaller) {
        let Some(side) = self.sides.get_mut(&conn) else { return };
        let proxy = side.proxy;
        match message {
            ToCaller::Stands(call, description) => {
                side.open.remove(&call);
                self.see(Seen::Answer { proxy, call, stands: Some(description) });
                let Some(open) = self.open.get_mut(&call).filter(|o| !o.stands) else { return };
                open.stands = true;
                if let Some(side) = self.sides.get_mut(&conn) {
                    side.standing += 1;
                }
                let person = open.person;
                let goal = ms(self.scenario.callers.goal_ms);
                let at = self.places.iter().position(|p| p.calls.contains_key(&call));
                if let Some(p) = self.fates.get_mut(&person) {
                    let after = self.now - p.first;
                    p.stood_after = Some(after);
                    p.fate = if after <= goal { Fate::InTime } else { Fate::Late };
                    p.cause = 0;
                    let first = self.people.get(&person).map(|c| c.place);
                    p.second_choice = at.is_some() && at != first;
                }
                let (_, hangs_up) = self.callers.length();
                if let Some(after) = hangs_up {
                    self.at(self.now + after, Ev::Leave(call));
                }
            }
            ToCaller::Release(call, cause, away) => self.released(proxy, conn, call, cause, away),
            ToCaller::Other => {}
        }
    }

    fn released(&mut self, proxy: usize, conn: CallerConn, call: CallId, cause: u8, away: Option<Time>) {
        self.commands.push_back(Command::CallerSend(conn, ToProxy::Heard(call)));
        match self.open.get(&call).map(|o| (o.stands, o.person, o.conn)) {
            Some((true, person, own)) => {
                self.open.remove(&call);
                self.see(Seen::Release(call));
                if cause == CUT {
                    self.settle(person, Fate::Cut, cause);
                }
                self.people.remove(&person);
                if let Some(side) = self.sides.get_mut(&own) {
                    side.standing = side.standing.saturating_sub(1);
                }
                self.idle_later(own);
            }
            Some((false, person, own)) if own == conn => {
                self.open.remove(&call);
                self.see(Seen::Answer { proxy, call, stands: None });
                if let Some(side) = self.sides.get_mut(&own) {
                    side.open.remove(&call);
                }
                let refused = REFUSED.contains(&cause);
                let fate = if refused { Fate::Refused } else { Fate::Failed };
                self.record.refusals += 1;
                self.again(person, fate, cause, away);
                self.idle_later(own);
            }
            _ => self.see(Seen::Release(call)),
        }
    }

    // ---- the report

    fn sample(&mut self) {
        for s in 0..self.places.len() {
            let now = self.now;
            let place = &mut self.places[s];
            let tally = std::mem::take(&mut place.server.tally);
            let sample = Sample {
                at: now,
                server: s,
                site: place.site,
                setups: tally.setups,
                stood: tally.stood,
                refused: tally.refused,
                work: tally.work,
                wasted: tally.wasted,
                rate: self.scenario.servers[place.group].rate,
                capacity: if place.silent { 0.0 } else { place.server.capacity(now) },
                calls: place.server.calls() as u32,
                queue: place.server.state().queue,
                connections: place.open,
                room: !place.silent && place.server.has_room(now),
            };
            self.record.samples.push(sample);
        }
        let serving = self.proxies.iter().filter(|p| p.serves && p.life == Life::Up).count();
        self.record.serving.push(serving as u32);
        if self.over_at().is_some_and(|over| self.now < over) {
            self.at(self.now + SAMPLE, Ev::Sample);
        }
    }

    /// The proxy that a caller's connection is to.
    pub fn caller_proxy(&self, conn: CallerConn) -> Option<usize> {
        self.sides.get(&conn).map(|s| s.proxy)
    }

    /// The proxy that a server's connection is from.
    pub fn server_conn_proxy(&self, conn: ServerConn) -> Option<usize> {
        self.conns.get(&conn).map(|c| c.proxy)
    }

    /// Site of a proxy, for hosts that name it.
    pub fn proxy_site(&self, p: usize) -> usize {
        self.proxies[p].site
    }
}

fn entry(place: &Place, number: usize, state: Listed) -> Entry {
    Entry { id: place.id.clone(), place: number, site: place.site, state, started: place.started }
}

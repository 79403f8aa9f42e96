//! All parties but the proxies: callers, setup servers, paths, and the list of servers, with their faults.
//!
//! Sans I/O: a host tells the world what came on which connection and when, and carries out the [`Command`]s.
//! Delays and held bytes of paths are kept here, so that a host writes what it is told at once, and the emulator
//! and the rig differ in nothing but what carries the messages.

mod faults;
mod fleet;
mod front;
mod list;
mod paths;

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
        let swaps = plan.iter().filter(|f| f.kind == Kind::Swap).map(|f| f.proxies.count(first));
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

    fn sample(&mut self) {
        for s in 0..self.places.len() {
            let now = self.now;
            let place = &mut self.places[s];
            let sample = Sample {
                at: now,
                server: s,
                site: place.site,
                did: std::mem::take(&mut place.server.tally),
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

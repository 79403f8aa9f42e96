//! The emulator: a fleet of decision modules in virtual time, in one thread.
//!
//! Each proxy is the program's own engine with its decision module, and the program's own links; the model plays
//! all others. Nothing is left out but sockets, so that the same scenario can be played on the rig. The same seed
//! gives the same result.

use crate::wire;
use fernspan::engine::{Engine, Input as Core, Order, Output, Reply, Request};
use fernspan::limits::Limits;
use fernspan::sip::state::{Link, LinkCommand, LinkEvent, Shared};
use fernspan_core::{Entry, ListKind, ServerId, State};
use fernspan_model::draw::Draw;
use fernspan_model::message::{ListEvent, Listed, ToCaller, ToProxy};
use fernspan_model::scenario::{Bad, Scenario, secs};
use fernspan_model::world::{CallerConn, Command, Input, Mode, ServerConn, Signal, World};
use fernspan_model::{CallId, Time};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Unix time of a run's first moment, in microseconds. Any will do.
const EPOCH: Time = 1_700_000_000_000_000;
/// Time for a connection on loopback to come up or be refused; ours.
const LOOPBACK: Time = 100;
/// A process is up within this, drawn for each; as the rig saw it.
const STARTING: Time = 50_000;

/// What came of a connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Came {
    Up,
    Refused,
    TimedOut,
}

/// What the emulator itself has to do at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A proxy has something due.
    Wake(usize),
    /// A connect of a proxy's run to a server.
    Connect(usize, u32, ServerId, u64, Came),
    /// A process is up.
    Start(usize),
    /// A run of a proxy that had SIGTERM may be done.
    Done(usize, u32),
}

struct LinkHost {
    link: Link,
    place: usize,
    conns: BTreeMap<u64, Option<ServerConn>>,
}

/// One proxy's process.
struct Proxy {
    run: u32,
    engine: Engine,
    shared: Rc<Shared>,
    links: BTreeMap<ServerId, LinkHost>,
    numbers: BTreeMap<String, ServerId>,
    next: ServerId,
    callers: BTreeMap<CallerConn, u64>,
    undelivered: VecDeque<(CallId, Reply)>,
    last: u64,
    /// Stopped, as by SIGSTOP; what comes waits.
    paused: bool,
    inbox: VecDeque<Message>,
    /// How far its clock has stepped ahead.
    step: Time,
    stopping: bool,
    /// When the first of the links has something due; kept, as there are many links and most turns touch none.
    links_due: Option<Time>,
    wake: Option<Time>,
    draw: Draw,
}

/// What reaches a proxy from outside.
#[derive(Clone, Debug)]
enum Message {
    CallerOpen(CallerConn),
    Caller(CallerConn, ToProxy),
    CallerGone(CallerConn),
    /// Link, connection, and the bytes of one message.
    Server(ServerId, u64, Vec<u8>),
    ServerClosed(ServerId, u64),
    Connected(ServerId, u64, Came),
    List(ListEvent),
    Stop,
}

/// A run in virtual time.
pub struct Emulator {
    now: Time,
    world: World,
    settings: fernspan_core::Settings,
    gives_wait: bool,
    proxies: Vec<Option<Proxy>>,
    runs: u32,
    dues: BinaryHeap<Reverse<(Time, u64, Due)>>,
    sequence: u64,
    /// Whose a server's connection is.
    whose: BTreeMap<ServerConn, (usize, ServerId, u64)>,
    /// Whose a caller's connection is.
    sides: BTreeMap<CallerConn, usize>,
    draw: Draw,
    /// Things done, for the emulator's own speed.
    pub steps: u64,
}

impl Emulator {
    /// A fleet that has not started.
    ///
    /// # Errors
    /// As [`World::new`].
    pub fn new(scenario: Scenario) -> Result<Emulator, Bad> {
        let text = crate::told::settings(&scenario, 0, 0).to_string();
        let bad = |why: String| Bad { field: "(settings)".to_owned(), why };
        let start = fernspan_settings::read(&text).map_err(bad)?;
        let draw = Draw::new(scenario.seed, 0xe6);
        let world = World::new(scenario)?;
        Ok(Emulator {
            now: 0,
            settings: start.settings,
            gives_wait: start.gives_wait,
            proxies: (0..world.proxies()).map(|_| None).collect(),
            world,
            runs: 0,
            dues: BinaryHeap::new(),
            sequence: 0,
            whose: BTreeMap::new(),
            sides: BTreeMap::new(),
            draw,
            steps: 0,
        })
    }

    /// Plays the scenario to its end.
    pub fn run(mut self) -> (World, Time, u64) {
        self.world.start(0);
        self.carry_out();
        let mut begin = None;
        let mut begun = false;
        loop {
            let own = self.dues.peek().map(|d| d.0.0);
            let next = self.world.due().into_iter().chain(own).chain(begin.filter(|_| !begun)).min();
            let Some(next) = next else { break };
            if begin.is_none() && self.world.all_ready() {
                begin = Some(self.now + secs(self.world.scenario().lead_s));
                continue;
            }
            if let Some(at) = begin.filter(|at| !begun && next >= *at) {
                begun = true;
                self.now = at;
                self.world.run(at);
                self.world.begin(at);
                self.carry_out();
                continue;
            }
            if begun && self.world.over_at().is_some_and(|over| next > over) {
                break;
            }
            self.now = self.now.max(next);
            self.steps += 1;
            if self.world.due().is_some_and(|at| at <= self.now) {
                self.world.run(self.now);
                self.carry_out();
            }
            while let Some(Reverse((at, _, due))) = self.dues.peek().copied()
                && at <= self.now
            {
                self.dues.pop();
                self.due(due);
                self.carry_out();
            }
        }
        (self.world, self.now, self.steps)
    }

    fn at(&mut self, time: Time, due: Due) {
        self.sequence += 1;
        self.dues.push(Reverse((time, self.sequence, due)));
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Wake(p) => {
                let now = self.now;
                if let Some(proxy) = self.proxies[p].as_mut().filter(|x| !x.paused && x.wake == Some(now)) {
                    proxy.wake = None;
                    self.act(p, None);
                }
            }
            Due::Connect(p, run, server, conn, came) => {
                if self.proxies[p].as_ref().is_some_and(|x| x.run == run) {
                    self.tell(p, Message::Connected(server, conn, came));
                }
            }
            Due::Start(p) => {
                self.start(p);
                self.world.handle(self.now, Input::Ready(p));
            }
            Due::Done(p, run) => {
                let Some(proxy) = self.proxies[p].as_ref().filter(|x| x.run == run) else { return };
                match proxy.engine.open() {
                    0 => self.end(p),
                    _ => self.at(
                        self.now + proxy.shared.limits.close_interval.as_micros() as Time,
                        Due::Done(p, run),
                    ),
                }
            }
        }
    }

    fn end(&mut self, p: usize) {
        self.proxies[p] = None;
        self.world.handle(self.now, Input::Ended(p));
    }

    /// Carries out what the world wants.
    fn carry_out(&mut self) {
        while let Some(command) = self.world.command() {
            match command {
                Command::OpenCaller(conn, p) => match self.proxies[p].is_some() {
                    true => {
                        self.sides.insert(conn, p);
                        self.tell(p, Message::CallerOpen(conn));
                        self.world.handle(self.now, Input::CallerUp(conn));
                    }
                    false => self.world.handle(self.now, Input::CallerDown(conn)),
                },
                Command::CallerSend(conn, message) => {
                    if let Some(p) = self.sides.get(&conn).copied() {
                        self.tell(p, Message::Caller(conn, message));
                    }
                }
                Command::CloseCaller(conn) => {
                    if let Some(p) = self.sides.remove(&conn) {
                        self.tell(p, Message::CallerGone(conn));
                    }
                }
                Command::ServerSend(conn, message) => {
                    if let Some((p, server, own)) = self.whose.get(&conn).copied() {
                        self.tell(p, Message::Server(server, own, wire::from_server(&message)));
                    }
                }
                Command::CloseServer(conn, _) => {
                    if let Some((p, server, own)) = self.whose.remove(&conn) {
                        self.tell(p, Message::ServerClosed(server, own));
                    }
                }
                Command::List(p, event) => self.tell(p, Message::List(event)),
                Command::Process(p, signal) => self.signal(p, signal),
                // Connects ask the world when they are made, and held events come when it lets them go.
                Command::Listen(..) | Command::Beat(..) | Command::Channel(..) => {}
            }
        }
    }

    fn signal(&mut self, p: usize, signal: Signal) {
        match signal {
            Signal::Start => {
                let after = (self.draw.unit() * STARTING as f64) as Time;
                self.at(self.now + after, Due::Start(p));
            }
            Signal::Kill => self.end(p),
            Signal::Term => self.tell(p, Message::Stop),
            Signal::Stop => {
                if let Some(proxy) = &mut self.proxies[p] {
                    proxy.paused = true;
                }
            }
            Signal::Continue(step) => {
                let Some(proxy) = &mut self.proxies[p] else { return };
                proxy.paused = false;
                proxy.step += step;
                let waited: Vec<Message> = proxy.inbox.drain(..).collect();
                // The kernel wakes it with its timers due and all that has come in its buffers.
                self.act(p, None);
                for message in waited {
                    self.tell(p, message);
                }
            }
        }
    }

    fn start(&mut self, p: usize) {
        self.runs += 1;
        let known = self.world.known(p).to_vec();
        let of = &self.world.scenario().proxies;
        let limits = Limits::new(
            of.sockets as usize,
            (of.memory_mb as usize) << 20,
            20_000,
            Duration::from_millis(500),
            self.settings.longest(),
        );
        let shared = Shared { gives_wait: self.gives_wait, limits: limits.clone() };
        let seed = self.world.seed(p);
        self.proxies[p] = Some(Proxy {
            run: self.runs,
            engine: Engine::new(self.settings.clone(), seed, &limits),
            shared: Rc::new(shared),
            links: BTreeMap::new(),
            numbers: BTreeMap::new(),
            next: 0,
            callers: BTreeMap::new(),
            undelivered: VecDeque::new(),
            last: 0,
            paused: false,
            inbox: VecDeque::new(),
            step: 0,
            stopping: false,
            links_due: None,
            wake: None,
            draw: Draw::new(seed, 0x11),
        });
        for event in known {
            self.tell(p, Message::List(event));
        }
    }

    fn tell(&mut self, p: usize, message: Message) {
        let Some(proxy) = &mut self.proxies[p] else { return };
        match proxy.paused {
            true => proxy.inbox.push_back(message),
            false => self.act(p, Some(message)),
        }
    }

    /// One turn of a proxy: what is due, then a message, then all that follows from them.
    fn act(&mut self, p: usize, message: Option<Message>) {
        let Some(mut proxy) = self.proxies[p].take() else { return };
        let mut turn = Turn {
            now: self.now,
            unix: EPOCH + self.now + proxy.step,
            todo: VecDeque::new(),
            connects: Vec::new(),
            gone: Vec::new(),
            up: None,
            touched: false,
        };
        let mut out = Vec::new();
        proxy.engine.handle_due(turn.unix, &mut out);
        turn.todo.extend(out.into_iter().map(Work::Output));
        let mut due: Vec<ServerId> = Vec::new();
        if proxy.links_due.is_some_and(|at| at <= turn.unix) {
            let is_due = |l: &LinkHost| l.link.next_timeout().is_some_and(|at| at <= turn.unix);
            due.extend(proxy.links.iter().filter(|(_, l)| is_due(l)).map(|(id, _)| *id));
        }
        for id in due {
            if let Some(host) = proxy.links.get_mut(&id) {
                let inputs = host.link.handle_timeout(turn.unix);
                turn.link(id, host, inputs, &mut self.world);
            }
        }
        let mut stopped = false;
        match message {
            None => {}
            Some(Message::Connected(id, conn, came)) => {
                self.connected(&mut proxy, p, id, conn, came, &mut turn)
            }
            Some(Message::Stop) => {
                stopped = !std::mem::replace(&mut proxy.stopping, true);
                let at = turn.unix + proxy.shared.limits.shutdown.answer_deadline.as_micros() as Time;
                turn.todo.push_back(Work::Input(Core::Stop(at)));
            }
            Some(message) => proxy.take(message, &mut turn, &mut self.world),
        }
        while let Some(work) = turn.todo.pop_front() {
            match work {
                Work::Input(input) => {
                    let mut out = Vec::new();
                    proxy.engine.handle(turn.unix, input, &mut out);
                    turn.todo.extend(out.into_iter().map(Work::Output));
                }
                Work::Output(output) => proxy.output(output, &mut turn, &mut self.world),
            }
        }
        // Until the next thing that is due; a wake that is set for earlier stays, and finds nothing.
        if turn.touched {
            proxy.links_due = proxy.links.values().filter_map(|l| l.link.next_timeout()).min();
        }
        let next = proxy.engine.due().into_iter().chain(proxy.links_due).min();
        let next = next.map(|at| at.saturating_sub(EPOCH + proxy.step).max(self.now + 1));
        let (run, limits) = (proxy.run, proxy.shared.limits.clone());
        if next != proxy.wake {
            proxy.wake = next;
            if let Some(at) = next {
                self.at(at, Due::Wake(p));
            }
        }
        for (id, conn, place) in std::mem::take(&mut turn.connects) {
            let (after, came) = match self.world.mode(p, place) {
                Mode::Open => (LOOPBACK, Came::Up),
                Mode::Refused => (LOOPBACK, Came::Refused),
                Mode::Silent => (limits.connect.as_micros() as Time, Came::TimedOut),
            };
            self.at(self.now + after, Due::Connect(p, run, id, conn, came));
        }
        for conn in &turn.gone {
            self.whose.remove(conn);
        }
        if let Some((conn, id, own)) = turn.up {
            self.whose.insert(conn, (p, id, own));
        }
        if stopped {
            self.at(self.now + limits.shutdown.accept.as_micros() as Time, Due::Done(p, run));
        }
        self.proxies[p] = Some(proxy);
    }

    fn connected(
        &mut self,
        proxy: &mut Proxy,
        p: usize,
        id: ServerId,
        conn: u64,
        came: Came,
        turn: &mut Turn,
    ) {
        let Some(host) = proxy.links.get_mut(&id) else { return };
        let told = match (came, host.conns.contains_key(&conn)) {
            // Closed by the link before it was up.
            (_, false) => LinkEvent::Closed,
            (Came::Up, true) => match self.world.mode(p, host.place) {
                Mode::Open => {
                    let accepted = self.world.accept(turn.now, p, host.place);
                    host.conns.insert(conn, accepted);
                    match accepted {
                        Some(accepted) => turn.up = Some((accepted, id, conn)),
                        None => {
                            let inputs = host.link.handle_event(turn.unix, conn, LinkEvent::Up);
                            turn.link(id, host, inputs, &mut self.world);
                            host.conns.remove(&conn);
                            let inputs = host.link.handle_event(turn.unix, conn, LinkEvent::Closed);
                            turn.link(id, host, inputs, &mut self.world);
                            return;
                        }
                    }
                    LinkEvent::Up
                }
                _ => LinkEvent::Failed { refused: true },
            },
            (Came::Refused, true) => LinkEvent::Failed { refused: true },
            (Came::TimedOut, true) => LinkEvent::Failed { refused: false },
        };
        if matches!(told, LinkEvent::Failed { .. }) {
            host.conns.remove(&conn);
        }
        let inputs = host.link.handle_event(turn.unix, conn, told);
        turn.link(id, host, inputs, &mut self.world);
    }
}

enum Work {
    Input(Core),
    Output(Output),
}

/// What one turn of a proxy leads to.
struct Turn {
    now: Time,
    unix: Time,
    todo: VecDeque<Work>,
    connects: Vec<(ServerId, u64, usize)>,
    gone: Vec<ServerConn>,
    up: Option<(ServerConn, ServerId, u64)>,
    /// A link has been told something.
    touched: bool,
}

impl Turn {
    /// Does what a link wants with its connections, and keeps what it tells the core.
    fn link(&mut self, id: ServerId, host: &mut LinkHost, inputs: Vec<Core>, world: &mut World) {
        self.touched = true;
        self.todo.extend(inputs.into_iter().map(Work::Input));
        loop {
            let todo = host.link.poll_commands();
            if todo.is_empty() {
                return;
            }
            let mut closed = Vec::new();
            for what in todo {
                match what {
                    LinkCommand::Connect(conn) => {
                        host.conns.insert(conn, None);
                        self.connects.push((id, conn, host.place));
                    }
                    LinkCommand::Write(conn, bytes, _) => {
                        let Some(Some(at)) = host.conns.get(&conn).copied() else { continue };
                        let input = match wire::to_server(&bytes) {
                            Ok(Some((message, _))) => Input::ToServer(at, message),
                            Ok(None) => continue,
                            Err(what) => {
                                debug_assert!(false, "{what}");
                                continue;
                            }
                        };
                        world.handle(self.now, input);
                    }
                    LinkCommand::Close(conn) => {
                        if let Some(Some(at)) = host.conns.remove(&conn) {
                            world.handle(self.now, Input::ServerDown(at));
                            self.gone.push(at);
                            closed.push(conn);
                        }
                    }
                }
            }
            for conn in closed {
                let inputs = host.link.handle_event(self.unix, conn, LinkEvent::Closed);
                self.todo.extend(inputs.into_iter().map(Work::Input));
            }
        }
    }
}

impl Proxy {
    fn take(&mut self, message: Message, turn: &mut Turn, world: &mut World) {
        match message {
            Message::CallerOpen(conn) => {
                self.callers.insert(conn, 0);
                while let Some((call, reply)) = self.undelivered.pop_front() {
                    turn.todo.push_back(Work::Output(Output::Reply(Some(conn), call, reply)));
                }
            }
            Message::Caller(conn, ToProxy::Setup(s)) => {
                turn.todo.push_back(Work::Input(Core::Call(Request {
                    id: s.call,
                    source: conn,
                    at: turn.unix,
                    patience: s.patience,
                    class: 0,
                    tenant: Some(s.channel),
                    number: s.number,
                    first_choice: Some(s.place as i64),
                    units: 1.0,
                    redialled: s.redial,
                    cut_before: false,
                    payload: s.description.into_bytes().into(),
                })));
            }
            Message::Caller(conn, ToProxy::Release(call)) => {
                turn.todo.push_back(Work::Input(Core::Left(call, conn)));
            }
            Message::Caller(_, ToProxy::Heard(_)) => {}
            Message::CallerGone(conn) => {
                self.callers.remove(&conn);
                turn.todo.push_back(Work::Input(Core::SourceGone(conn)));
            }
            Message::Server(id, conn, bytes) => {
                let Some(host) = self.links.get_mut(&id) else { return };
                if let Some(read) = wire::as_read(&bytes) {
                    let inputs = host.link.handle_event(turn.unix, conn, LinkEvent::Message(read));
                    turn.link(id, host, inputs, world);
                }
            }
            Message::ServerClosed(id, conn) => {
                let Some(host) = self.links.get_mut(&id) else { return };
                host.conns.remove(&conn);
                let inputs = host.link.handle_event(turn.unix, conn, LinkEvent::Closed);
                turn.link(id, host, inputs, world);
            }
            Message::List(event) => {
                if event.cursor > self.last {
                    self.last = event.cursor;
                    self.list(&event, turn, world);
                }
            }
            Message::Connected(..) | Message::Stop => {}
        }
    }

    /// As the hub does: numbers for ids, links for servers.
    fn list(&mut self, event: &ListEvent, turn: &mut Turn, world: &mut World) {
        let mut entries = Vec::new();
        for listed in &event.entries {
            let gone = listed.state == Listed::Deleted;
            let known = match gone {
                true => self.numbers.remove(&listed.id),
                false => self.numbers.get(&listed.id).copied(),
            };
            let number = match known {
                Some(number) => number,
                None if gone => continue,
                None => {
                    self.next += 1;
                    self.numbers.insert(listed.id.clone(), self.next - 1);
                    self.next - 1
                }
            };
            if gone && let Some(mut host) = self.links.remove(&number) {
                let inputs = host.link.end();
                turn.link(number, &mut host, inputs, world);
            }
            if !gone && !self.links.contains_key(&number) {
                let mut draw = Draw::new(self.draw.number(), u64::from(number));
                let draw = Box::new(move || draw.unit());
                let link = Link::new(self.shared.clone(), number, turn.unix, draw);
                let host = LinkHost { link, place: listed.place, conns: BTreeMap::new() };
                self.links.insert(number, host);
            }
            entries.push(Entry {
                server: number,
                zone: listed.site as u32,
                place: listed.place as i64,
                started: listed.started.map(|at| EPOCH + at / 1_000 * 1_000),
                state: match listed.state {
                    Listed::Serving => State::Ready,
                    Listed::Draining => State::Draining,
                    Listed::Deleted => State::Gone,
                },
            });
        }
        turn.touched = true;
        let kind = if event.full { ListKind::Saved } else { ListKind::Changes };
        turn.todo.push_back(Work::Input(Core::List(kind, entries)));
    }

    fn output(&mut self, output: Output, turn: &mut Turn, world: &mut World) {
        match output {
            Output::Reply(source, call, reply) => {
                let stands = matches!(reply, Reply::Stands(_));
                if !self.reply(source, call, reply, turn, world) && stands {
                    turn.todo.push_back(Work::Input(Core::Unheard(call)));
                }
            }
            Output::Order(server, order) => match self.links.get_mut(&server) {
                Some(host) => {
                    let inputs = host.link.handle_order(turn.unix, order);
                    turn.link(server, host, inputs, world);
                }
                None => {
                    if let Order::Start(setup) = order {
                        let end = fernspan::engine::End::plain(fernspan_core::Outcome::NotSent);
                        let input = Core::Ended { id: setup.id, attempt: setup.attempt, server, end };
                        turn.todo.push_back(Work::Input(input));
                    }
                }
            },
            Output::PassOn { server, id, cause, news } => {
                if news && self.reply(None, id, Reply::Over(cause), turn, world) {
                    turn.todo.push_back(Work::Output(Output::Order(server, Order::Heard(id))));
                }
            }
            Output::Progress(..) => {}
            Output::Note(note) => note.log(),
        }
    }

    /// As the hub does: a release goes to any connection, an answer to its own.
    fn reply(
        &mut self,
        source: Option<CallerConn>,
        call: CallId,
        reply: Reply,
        turn: &Turn,
        world: &mut World,
    ) -> bool {
        let anywhere = matches!(reply, Reply::Over(_));
        let own = source.filter(|s| self.callers.contains_key(s));
        let any = || self.callers.iter().max_by_key(|(s, served)| (**served, **s)).map(|(s, _)| *s);
        let Some(at) = (if anywhere { own.or_else(any) } else { own }) else {
            if anywhere {
                self.undelivered.push_back((call, reply));
            }
            return false;
        };
        let message = match reply {
            Reply::Stands(description) => {
                *self.callers.entry(at).or_default() += 1;
                ToCaller::Stands(call, description.to_vec())
            }
            Reply::Refused(away) => {
                ToCaller::Release(call, fernspan::isup::CAUSE_REFUSED, away.map(|us| us / 1_000 * 1_000))
            }
            Reply::Failed => ToCaller::Release(call, fernspan::isup::CAUSE_FAILED, None),
            Reply::Unknown => ToCaller::Release(call, fernspan::isup::CAUSE_NO_SUCH_CALL, None),
            Reply::Over(cause) => ToCaller::Release(call, cause, None),
            Reply::Heard => ToCaller::Other,
        };
        world.handle(turn.now, Input::ToCaller(at, message));
        true
    }
}

//! The one task that owns the engine. Sockets reach it by a bounded queue; it waits for nothing else but
//! its own next timer. What it hands on never waits for room: set-ups and idle words that another task's queue has none
//! for are that task's trouble, and what ends something always goes in.

use crate::classes::ClassTable;
use crate::clock::unix_now;
use crate::engine::{End, Engine, Input, Order, Output, Reply, Source};
use crate::figures::{Figures, Load};
use crate::invariant::{Guard, Violations};
use crate::lifecycle::Event as LifecycleEvent;
use crate::lifecycle::shared::SharedLifecycle;
use crate::limits::Limits;
use crate::memory_budget::ConnectionMemory;
use crate::net::HangUpProbe;
use crate::peers::calls::{PeerCalls, Whereabouts};
use crate::peers::{PeerEvent, PeerId, PeerSender};
use crate::reasons::{AnswerReason, Note};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use fernspan_core::{CallId, Entry, ListKind, Outcome, ServerId, Settings, State, Time};
use futures_lite::future;
use releases::{WaitingRelease, WaitingReleases};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// A server as a list names it.
#[derive(Clone, Debug)]
pub struct ListedServer {
    pub id: String,
    pub addr: String,
    /// Everything the module is told, but for the number, which the core gives.
    pub entry: Entry,
}

/// What reaches the core.
#[derive(Debug)]
pub enum Message {
    Input(Input),
    /// A caller's connection.
    Open(Source, CallerConnection),
    /// A connection ended before this could be written to it.
    Undelivered(CallId, Reply),
    List(ListKind, Vec<ListedServer>),
    /// A new configuration; the classes that set-ups may name go back once it holds.
    Settings(Box<NewSettings>, Sender<ClassTable>),
    /// Something about another process of this proxy.
    Peer(PeerEvent),
    /// SIGTERM: all that was taken is answered by then.
    Stop(Time),
    /// All connections of callers have ended, after SIGTERM.
    CallersGone,
}

/// A caller's connection as its front hands it over.
#[derive(Debug)]
pub struct CallerConnection {
    /// Where its replies go.
    pub replies: Sender<(CallId, Reply)>,
    /// What is held for it.
    pub memory: Rc<ConnectionMemory>,
    /// Whether the caller is still there.
    pub hang_up: HangUpProbe,
}

impl CallerConnection {
    /// One that is bounded by other means, and whose end its front tells.
    pub fn unlimited(replies: Sender<(CallId, Reply)>) -> Self {
        let (memory, hang_up) = (ConnectionMemory::unlimited(), HangUpProbe::default());
        CallerConnection { replies, memory, hang_up }
    }
}

/// What a new configuration changes in the core.
#[derive(Debug)]
pub struct NewSettings {
    /// The module's settings.
    pub settings: Settings,
    /// Calls without a final answer at most.
    pub most_open: usize,
}

/// Opens the link to a server. One implementation per wire.
pub trait Backend {
    fn open(&self, server: ServerId, addr: &str, orders: Receiver<Order>, core: Sender<Message>);
}

/// Messages that the core takes before all others have had a turn.
const MESSAGES_IN_A_TURN: usize = 64;

/// A caller's connection.
struct Caller {
    connection: CallerConnection,
    /// Calls of its that stood.
    served: u64,
}

struct Link {
    addr: String,
    orders: Sender<Order>,
}

/// The core's view of fronts and backends.
pub struct Core<B> {
    engine: Engine,
    backend: B,
    limits: Limits,
    queue: Sender<Message>,
    numbers: BTreeMap<String, ServerId>,
    /// The next server's number. None is given twice.
    next: ServerId,
    links: BTreeMap<ServerId, Link>,
    callers: HashMap<Source, Caller>,
    releases: WaitingReleases,
    lifecycle: SharedLifecycle,
    figures: Figures,
    /// When the load is reported next.
    load_due: Time,
    guard: Guard,
    /// Other processes of this proxy, and their calls.
    peers: BTreeMap<PeerId, PeerSender>,
    peer_calls: PeerCalls,
}

impl<B: Backend> Core<B> {
    pub fn new(
        engine: Engine,
        backend: B,
        limits: Limits,
        queue: Sender<Message>,
        lifecycle: SharedLifecycle,
        figures: Figures,
        violations: Violations,
    ) -> Self {
        let peer_calls = PeerCalls::new(limits.remembered);
        let releases = WaitingReleases::new(limits.undelivered);
        Core {
            guard: Guard::new(engine.attempt_rules(), violations),
            engine,
            backend,
            limits,
            queue,
            numbers: BTreeMap::new(),
            next: 0,
            links: BTreeMap::new(),
            callers: HashMap::new(),
            releases,
            lifecycle,
            figures,
            load_due: 0,
            peers: BTreeMap::new(),
            peer_calls,
        }
    }

    /// Serves until it is told to stop and nothing is left to answer.
    pub async fn run(mut self, messages: Receiver<Message>) {
        let mut callers_gone = false;
        let mut in_a_turn = 0;
        loop {
            let due = self.engine.due();
            let wait = due.map(|at| Duration::from_micros(at.saturating_sub(unix_now())));
            let message = future::or(async { messages.recv().await.ok() }, async {
                match wait {
                    Some(wait) => Timer::after(wait).await,
                    None => future::pending().await,
                };
                None
            })
            .await;
            let now = unix_now();
            let mut out = Vec::new();
            // What has come goes first. Guards an answer that waits here against its own deadline.
            match message {
                Some(Message::Input(Input::Left(id, source))) if self.has_hung_up_elsewhere(id) => {
                    out.push(Output::Reply(Some(source), id, Reply::Heard));
                }
                Some(Message::Input(Input::Call(request))) if self.is_known_elsewhere(request.id) => {
                    let (id, source) = (request.id, request.source);
                    self.guard.hears(now, &Input::Call(request));
                    out.push(Output::Note(Note::Failed { call: id, reason: AnswerReason::IdUsed }));
                    out.push(Output::Reply(Some(source), id, Reply::Failed));
                }
                Some(Message::Input(input)) => {
                    if let Input::SourceGone(source) = input {
                        self.callers.remove(&source);
                    }
                    self.handle(now, input, &mut out);
                }
                Some(Message::Open(source, connection)) => self.caller_opened(now, source, connection),
                Some(Message::Undelivered(id, reply)) => {
                    self.releases.note_unheard(id);
                    out.push(Output::Reply(None, id, reply));
                }
                Some(Message::List(kind, servers)) => self.list(now, kind, servers, &mut out),
                Some(Message::Settings(new, done)) => self.reconfigure(*new, &done),
                Some(Message::Peer(event)) => self.peer_event(now, event, &mut out),
                Some(Message::Stop(deadline)) => self.handle(now, Input::Stop(deadline), &mut out),
                Some(Message::CallersGone) => callers_gone = true,
                None => {}
            }
            self.engine.handle_due(now, &mut out);
            self.carry_out(now, out);
            self.report_load(now);
            // Guards the writers: they get their turn however many messages wait here. And the calls: hundreds of
            // connections that have much to say each take a turn between two of this.
            in_a_turn += 1;
            if in_a_turn >= MESSAGES_IN_A_TURN || messages.is_empty() {
                in_a_turn = 0;
                future::yield_now().await;
            }
            if callers_gone && self.engine.open() == 0 && messages.is_empty() {
                return self.peers_hear_all().await;
            }
        }
    }

    fn reconfigure(&mut self, new: NewSettings, done: &Sender<ClassTable>) {
        self.engine.reconfigure(new.settings, new.most_open);
        self.guard.reconfigure(self.engine.attempt_rules());
        let _ = done.try_send(self.engine.classes().clone());
    }

    fn report_load(&mut self, now: Time) {
        if now < self.load_due {
            return;
        }
        self.load_due = now + self.limits.load_interval.as_micros() as Time;
        let (targets, targets_disabled) = self.engine.targets();
        self.figures.set_load(Load { concurrent: self.engine.calls(), targets, targets_disabled });
    }

    /// Passes an input on to the engine. Whatever reaches that comes by here.
    fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        events::log_input(&input);
        self.guard.hears(now, &input);
        self.engine.handle(now, input, out);
    }

    fn caller_opened(&mut self, now: Time, source: Source, connection: CallerConnection) {
        self.callers.insert(source, Caller { connection, served: 0 });
        let waiting: Vec<WaitingRelease> = self.releases.iter().copied().collect();
        let mut passed_on = Vec::new();
        for WaitingRelease { call, cause, server } in waiting {
            if self.deliver(None, call, Reply::Over(cause)).is_ok() {
                passed_on.extend(server.map(|server| Output::Order(server, Order::Heard(call))));
            }
        }
        self.carry_out(now, passed_on);
    }

    fn list(&mut self, now: Time, kind: ListKind, servers: Vec<ListedServer>, out: &mut Vec<Output>) {
        let mut entries = Vec::new();
        for listed in servers {
            // Guards the memory: what has gone is forgotten once this list is through.
            let known = match listed.entry.state {
                State::Gone => self.numbers.remove(&listed.id),
                _ => self.numbers.get(&listed.id).copied(),
            };
            let number = match known {
                Some(number) => number,
                None if listed.entry.state == State::Gone => continue,
                None => {
                    self.next += 1;
                    *self.numbers.entry(listed.id).or_insert(self.next - 1)
                }
            };
            let entry = Entry { server: number, ..listed.entry };
            tracing::debug!(server = number, addr = listed.addr, state = ?entry.state, "listed");
            // An id is a server; an address is not: it may have another server's name by now.
            let moved = self.links.get(&number).is_some_and(|l| l.addr != listed.addr);
            if moved || entry.state == State::Gone {
                self.links.remove(&number);
            }
            if entry.state != State::Gone && !self.links.contains_key(&number) {
                let (orders, to_do) = async_channel::unbounded();
                self.backend.open(number, &listed.addr, to_do, self.queue.clone());
                self.links.insert(number, Link { addr: listed.addr, orders });
            }
            entries.push(entry);
        }
        if kind != ListKind::Changes {
            let listed = |number: &ServerId| entries.iter().any(|e| e.server == *number);
            self.links.retain(|number, _| listed(number));
            self.numbers.retain(|_, number| listed(number));
        }
        self.handle(now, Input::List(kind, entries), out);
        if kind != ListKind::Changes {
            self.lifecycle.handle(LifecycleEvent::ServerListKnown);
        }
    }

    fn carry_out(&mut self, now: Time, out: Vec<Output>) {
        let mut todo = VecDeque::from(out);
        while let Some(output) = todo.pop_front() {
            match output {
                Output::Reply(source, id, reply) => {
                    if !self.guard.allows_reply(source, id, &reply) {
                        continue;
                    }
                    let stands = matches!(reply, Reply::Stands(_));
                    let reply = self.bounded(source, reply);
                    let stood = matches!(reply, Reply::Stands(_));
                    // Guards against a call that stands for a caller who was never told so.
                    if !(self.reply(source, None, id, reply) && stood) && stands {
                        let mut more = Vec::new();
                        self.handle(now, Input::Unheard(id), &mut more);
                        todo.extend(more);
                    }
                }
                Output::Order(_, Order::Start(setup)) if self.has_left(setup.source) => {
                    let mut more = Vec::new();
                    self.handle(now, Input::SourceGone(setup.source), &mut more);
                    todo.extend(more);
                }
                Output::Order(server, order) => {
                    let allowed = self.guard.allows_order(now, server, &order);
                    events::log_order(server, &order);
                    // Set-ups alone are bounded. What calls them off, a drain and a release have to get through, and
                    // of these there are no more than calls.
                    let starts = matches!(order, Order::Start(_));
                    let takes = |l: &&Link| !starts || l.orders.len() < self.limits.link_queue;
                    let lost = match self.links.get(&server).filter(takes).filter(|_| allowed) {
                        Some(link) => link.orders.try_send(order).err().map(|e| e.into_inner()),
                        None => Some(order),
                    };
                    // Guards against a link that is gone or stuck: the attempt never left.
                    if let Some(Order::Start(setup)) = lost {
                        let end = End::plain(Outcome::NotSent);
                        let input = Input::Ended { id: setup.id, attempt: setup.attempt, server, end };
                        let mut more = Vec::new();
                        self.handle(now, input, &mut more);
                        todo.extend(more);
                    }
                }
                Output::PassOn { server, id, cause, news } => {
                    if self.pass_on(server, id, cause, news) {
                        todo.push_back(Output::Order(server, Order::Heard(id)));
                    }
                }
                Output::Progress(id, progress) => self.tell_peers(id, progress),
                Output::Note(note) => note.log(),
            }
        }
    }

    /// Whether a caller has left, though its front has not come to read that. Guards the servers against set-ups that
    /// waited here for longer than their caller, as after this process stood still.
    fn has_left(&self, source: Source) -> bool {
        self.callers.get(&source).is_some_and(|caller| caller.connection.hang_up.has_hung_up())
    }

    /// The reply itself, or a failure in place of an answer that there is no room for: its caller reads none.
    fn bounded(&self, source: Option<Source>, reply: Reply) -> Reply {
        let Reply::Stands(description) = &reply else { return reply };
        let caller = source.and_then(|source| self.callers.get(&source));
        match caller.is_none_or(|caller| caller.connection.memory.hold_answer(description.len())) {
            true => reply,
            false => Reply::Failed,
        }
    }

    /// Passes on the end of a call that this process does not have. Says whether it has gone on its way.
    fn pass_on(&mut self, server: ServerId, id: CallId, cause: u8, news: bool) -> bool {
        match self.peer_calls.whereabouts(id) {
            Whereabouts::StandsAt(peer) | Whereabouts::OpenAt(peer) => {
                self.release_at(peer, server, id, cause)
            }
            // Its caller was told, or has given it up: it is told nothing more.
            Whereabouts::Ended => true,
            Whereabouts::Unknown if news => self.reply(None, Some(server), id, Reply::Over(cause)),
            Whereabouts::Unknown => !self.releases.waits(id),
        }
    }

    /// What follows a call that stood may go on any connection, here or at another process; an answer has only its own.
    /// Says whether it has gone on its way; a release that has not waits, with the server that is to hear of it.
    fn reply(&mut self, source: Option<Source>, server: Option<ServerId>, id: CallId, reply: Reply) -> bool {
        let Err(reply) = self.deliver(source, id, reply) else { return true };
        let Reply::Over(cause) = reply else { return false };
        // Another process may be where its caller comes to, and this one as well if that one ends before.
        self.releases.keep(WaitingRelease { call: id, cause, server });
        self.pass_on_elsewhere(id, cause)
    }

    /// Puts a reply into the queue of its caller's connection, or a release into that of any. Gives it back where there is
    /// no connection for it.
    fn deliver(&mut self, source: Option<Source>, id: CallId, reply: Reply) -> Result<(), Reply> {
        let anywhere = matches!(reply, Reply::Over(_));
        let mut reply = reply;
        loop {
            let own = source.filter(|s| self.callers.contains_key(s));
            // Guards against a release that goes to a stranger, or to one that asks once and leaves: the caller
            // that was served most is the likeliest to stay.
            let any = || self.callers.iter().max_by_key(|(s, c)| (c.served, **s)).map(|(s, _)| *s);
            let Some(at) = (if anywhere { own.or_else(any) } else { own }) else { return Err(reply) };
            let Some(caller) = self.callers.get_mut(&at) else { return Err(reply) };
            caller.served += u64::from(matches!(reply, Reply::Stands(_)));
            // Final answers and releases are bounded by the calls there are, and have to get through however many come
            // in one moment, as when a server dies. Guards the memory against a caller that asks for other words
            // without end and reads none: its connection ends, not this program.
            let other = matches!(reply, Reply::Unknown | Reply::Heard);
            let replies = &caller.connection.replies;
            if !(other && replies.len() >= self.limits.caller_queue) {
                let over = matches!(reply, Reply::Over(_));
                let Err(back) = replies.try_send((id, reply)) else {
                    if over && self.releases.note_told(id) {
                        self.say_told(id);
                    }
                    return Ok(());
                };
                reply = back.into_inner().1;
            }
            self.callers.remove(&at);
        }
    }
}

mod events;
mod peers;
mod releases;

#[cfg(test)]
mod tests;

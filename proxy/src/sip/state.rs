//! The rules of the link to one setup server: a few connections, the set-ups on them, and those that wait for
//! one. Sans I/O: the host connects, writes and closes as it is told, and says what came of it.

use super::connections::{Connection, ConnectionId, Connections, OpenSetups};
use super::refusal::refusal;
use super::release_refresh::ReleaseRefresh;
use super::restart_detector::RestartDetector;
use super::sent_releases::SentReleases;
use super::standing_calls::StandingCalls;
use super::*;
use crate::engine::{CAUSE_CUT, CAUSE_NORMAL, End, Input, Order};
use crate::limits::Limits;
use crate::reasons::Hex;
use fernspan_core::{Outcome, Report, ServerId, Time};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// What a connection tells its link. Each ends with one `Failed` or `Closed`, also one that the link closed.
pub enum LinkEvent {
    Up,
    /// It never came up; refused, or not answered in time.
    Failed {
        refused: bool,
    },
    Message(Message),
    Closed,
}

/// What the link wants done with its connections.
#[derive(Debug)]
pub enum LinkCommand {
    Connect(u64),
    /// With a set-up, its id: where the connection takes no more, [`Link::unsent`] has to hear of it.
    Write(u64, Vec<u8>, Option<CallId>),
    Close(u64),
}

/// What all links share.
pub struct Shared {
    /// Whether a full processor states a wait.
    pub gives_wait: bool,
    pub limits: Limits,
}

/// A set-up that is on a connection.
struct Out {
    conn: u64,
    attempt: u32,
    number: String,
}

/// A probe that is out. It ends by its answer or its time alone, whatever becomes of the connection.
struct Probe {
    conn: u64,
    id: CallId,
    until: Time,
}

pub struct Link {
    shared: Rc<Shared>,
    server: ServerId,
    draw: Box<dyn FnMut() -> f64>,
    /// The time of what is being handled.
    now: Time,
    todo: Vec<LinkCommand>,
    connections: Connections,
    queue: VecDeque<Setup>,
    setups: BTreeMap<CallId, Out>,
    /// Calls that stand at this server.
    standing: StandingCalls,
    /// Connections that are opened for releases which may have been lost.
    refresh: ReleaseRefresh,
    /// The connection that gets no more set-ups, to make room for one of these, and until when.
    vacating: Option<(ConnectionId, Time)>,
    /// Releases that wait for a connection.
    releases: Vec<(CallId, u8)>,
    /// Releases that went out and were not acknowledged.
    sent_releases: SentReleases,
    /// Answers to the server's releases of calls that did not stand here, with the connections that they belong on.
    unacknowledged: VecDeque<(CallId, u64, Vec<u8>)>,
    /// Calls that were refused on a connection of late, the oldest first.
    refused: VecDeque<(CallId, u64, Time)>,
    /// Set-ups that wait until no second copy of such a refusal can come, and when that is.
    held: VecDeque<(Time, Setup)>,
    probe: Option<Probe>,
    /// Probes that went out so far.
    probes: u32,
    /// When to connect again.
    connect_at: Option<Time>,
    /// No further connection is opened before: the server has none left.
    more_at: Time,
    /// When the server last gave any sign of life: a word, a connection that came up, or a refusal of one.
    heard: Time,
    /// This process stood still, and hears again what has come from then on.
    hears_from: Time,
    /// Since when it cannot be reached.
    unreached: Option<Time>,
    /// When the server last said something.
    word: Time,
    restart: RestartDetector,
    draining: bool,
    /// Out of reach with its site: connects are few.
    resting: bool,
    /// The connection under way is to show whether a silent server lives.
    looking: bool,
}

impl Link {
    /// The link to a server that has just been listed. `draw` gives numbers from 0 to 1.
    pub fn new(shared: Rc<Shared>, server: ServerId, now: Time, draw: Box<dyn FnMut() -> f64>) -> Self {
        let sent_releases =
            SentReleases::new(shared.limits.heard.as_micros() as Time, shared.limits.undelivered);
        let restart = RestartDetector::new(shared.limits.restart_verdict.as_micros() as Time);
        let refresh = ReleaseRefresh::new(&shared.limits.releases);
        Link {
            shared,
            server,
            draw,
            now,
            todo: Vec::new(),
            connections: Connections::default(),
            queue: VecDeque::new(),
            setups: BTreeMap::new(),
            standing: StandingCalls::default(),
            refresh,
            vacating: None,
            releases: Vec::new(),
            sent_releases,
            unacknowledged: VecDeque::new(),
            refused: VecDeque::new(),
            held: VecDeque::new(),
            probe: None,
            probes: 0,
            connect_at: Some(now),
            more_at: 0,
            heard: now,
            hears_from: 0,
            unreached: None,
            word: now,
            restart,
            draining: false,
            resting: false,
            looking: false,
        }
    }

    /// What its host has to do now, in this order, before anything else reaches the link.
    pub fn poll_commands(&mut self) -> Vec<LinkCommand> {
        std::mem::take(&mut self.todo)
    }

    /// A connection took no more, and the set-up never left.
    pub fn unsent(&mut self, call: CallId) -> Vec<Input> {
        let out = self.setups.remove(&call);
        out.map(|o| self.ended(call, o.attempt, End::plain(Outcome::NotSent))).into_iter().collect()
    }

    /// The server is gone, or has moved. What is still out goes with the connections, and what is queued never
    /// left.
    pub fn end(&mut self) -> Vec<Input> {
        let mut inputs = self.fail_queue(Outcome::NotSent);
        for conn in self.connections.ids() {
            inputs.extend(self.lose(conn));
        }
        inputs
    }

    /// When it wants to be looked after.
    pub fn next_timeout(&self) -> Option<Time> {
        let held = self.held.front().map(|h| h.0);
        let probe = self.probe.as_ref().map(|p| p.until);
        held.into_iter()
            .chain(probe)
            .chain(self.connect_due())
            .chain(self.refresh_due())
            .chain(self.calls_given_up_at())
            .chain(self.restart.due())
            .chain(self.unheard_connection().map(|c| c.1))
            .min()
    }

    /// When what stands here is given up for want of any sign of life. Its end may be as long ago as the last one, and its
    /// caller is told in time from then: nothing that happens meanwhile moves this later, but a standstill of this
    /// process, in which it heard nobody.
    fn calls_given_up_at(&self) -> Option<Time> {
        let due = self.heard + self.shared.limits.mute;
        Some(due.max(self.hears_from)).filter(|_| !self.standing.is_empty())
    }

    /// Whether there are as many connections as there may be, with a set-up open on each.
    fn is_full_and_busy(&self) -> bool {
        self.is_full() && self.connections.all_busy(&self.open_setups())
    }

    /// Whether there are as many connections as there may be.
    fn is_full(&self) -> bool {
        self.connections.len() >= self.shared.limits.server_conns
    }

    /// How many set-ups are open on each connection.
    fn open_setups(&self) -> OpenSetups {
        let mut open = OpenSetups::new();
        self.setups.values().for_each(|o| *open.entry(o.conn).or_default() += 1);
        open
    }

    /// When to connect: after a loss, or to see whether a silent server lives.
    fn connect_due(&self) -> Option<Time> {
        if self.connections.any_connecting() {
            return None;
        }
        // Guards against a machine that has vanished with its calls: nobody else tells of it in time, and
        // its connections stay open and silent.
        let limits = &self.shared.limits;
        let (silent, mute) = (self.heard + limits.silent, self.word + limits.mute);
        let silent = if self.heard < mute { silent.min(mute) } else { silent };
        // Set-ups that are open everywhere end by their own deadlines first, unless these are too late.
        let silent = match self.is_full_and_busy() {
            true => silent.max(self.heard + limits.forced_look),
            false => silent,
        };
        let silent = Some(silent).filter(|_| !self.standing.is_empty());
        // Guards against a look at a silent server that fails at once and is taken again at once: after a
        // failure the next one is due at its own time, however long the silence.
        self.connect_at.or(silent)
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Time) -> Vec<Input> {
        self.now = now;
        let mut inputs = Vec::new();
        while let Some((_, setup)) = self.held.pop_front_if(|h| h.0 <= now) {
            inputs.extend(self.start(setup));
        }
        if self.probe.take_if(|p| p.until <= now).is_some() {
            inputs.push(self.probed(false, None));
        }
        inputs.extend(self.end_lost_calls());
        if let Some(due) = self.calls_given_up_at().filter(|at| *at <= now) {
            if now > due + self.shared.limits.stall {
                self.hears_from = now + self.shared.limits.stall;
            } else {
                inputs.extend(self.died());
            }
        }
        if let Some((connection, _)) = self.unheard_connection().filter(|c| c.1 <= now) {
            inputs.extend(self.give_up_calls_on(connection));
        }
        if self.connect_due().is_some_and(|at| at <= now) {
            inputs.extend(self.look_for_life());
        }
        if self.refresh_due().is_some_and(|at| at <= now) {
            inputs.extend(self.open_for_releases());
        }
        inputs
    }

    /// When a connection is opened for releases that may have been lost on another.
    fn refresh_due(&self) -> Option<Time> {
        if self.connections.any_connecting() {
            return None;
        }
        let heard_until = self.standing.heard_until(|id| self.connections.get(id).map(|c| c.last_word))?;
        let due = self.refresh.due(heard_until);
        let busy = |id: ConnectionId| self.setups.values().any(|o| o.conn == id);
        match self.vacating {
            Some((connection, until)) if busy(connection) => Some(due.max(until)),
            _ => Some(due),
        }
    }

    /// A connection that the server's words no longer reach, with calls on it, and when these are given up: the server takes no
    /// further connection on which it could release them, and what is over has to be told in time.
    fn unheard_connection(&self) -> Option<(ConnectionId, Time)> {
        let limits = &self.shared.limits;
        let unheard = |id: ConnectionId| {
            let last_word = self.connections.get(id)?.last_word;
            let lost = self.standing.has_calls(id)
                && self.connections.is_contradicted(id, limits.quiet)
                && !self.refresh.has_opened_since(last_word);
            lost.then_some((id, last_word + limits.mute))
        };
        self.connections.ids().into_iter().filter_map(unheard).min_by_key(|c| c.1)
    }

    /// The calls of a connection may be over or stand, and this side cannot hear of it any more: they are released at the server
    /// and are over for their callers.
    fn give_up_calls_on(&mut self, connection: ConnectionId) -> Vec<Input> {
        let calls = self.standing.calls_on(connection);
        for call in &calls {
            self.standing.remove(*call);
            self.release(*call, CAUSE_CUT);
        }
        calls.into_iter().map(|id| self.cut(id)).collect()
    }

    fn cut(&self, id: CallId) -> Input {
        Input::Over { id, server: self.server, cause: CAUSE_CUT, report: None }
    }

    fn open_for_releases(&mut self) -> Vec<Input> {
        let mut inputs = Vec::new();
        let setups = self.open_setups();
        let room = self.connections.least_needed(&setups, |id| self.standing.has_calls(id));
        if let Some(room) = room.filter(|_| self.is_full()) {
            if setups.contains_key(&room) && self.vacating.is_none() {
                let until = self.now + self.shared.limits.releases.vacate_timeout.as_micros() as Time;
                self.vacating = Some((room, until));
                return inputs;
            }
            inputs.extend(self.lose(room));
        }
        self.connect_for(true);
        inputs
    }

    /// The server has spoken for the first time on a connection.
    fn spoken_on(&mut self, newest: ConnectionId) {
        let Some(connection) = self.connections.get(newest) else { return };
        let for_releases = connection.for_releases;
        self.refresh.opened(connection.started);
        if !for_releases {
            return;
        }
        let interval = self.shared.limits.releases.refresh_interval.as_micros() as Time;
        let has_calls = |id| self.standing.has_calls(id);
        for id in self.connections.replaced_by(newest, &self.open_setups(), has_calls, interval) {
            self.close(id);
        }
    }

    /// The server is gone, and what stood there with it.
    fn died(&mut self) -> Vec<Input> {
        let mut inputs: Vec<Input> =
            self.connections.ids().into_iter().flat_map(|conn| self.lose(conn)).collect();
        self.standing.clear();
        self.restart.clear();
        self.connect_at = Some(self.again());
        inputs.push(Input::Died(self.server));
        inputs
    }

    fn look_for_life(&mut self) -> Vec<Input> {
        self.connect_at = None;
        let limits = &self.shared.limits;
        let silent = self.now >= (self.heard + limits.silent).min(self.word + limits.mute);
        self.looking = silent && !self.standing.is_empty();
        let mut inputs = Vec::new();
        if self.is_full()
            && let Some(conn) = self.connections.longest_unheard(&self.open_setups())
        {
            inputs.extend(self.lose(conn));
        }
        self.connect();
        inputs
    }

    /// Takes an order of the core.
    pub fn handle_order(&mut self, now: Time, order: Order) -> Vec<Input> {
        self.now = now;
        match order {
            Order::Start(setup) => self.start(setup),
            Order::Cancel(call) => {
                self.queue.retain(|s| s.id != call);
                self.held.retain(|h| h.1.id != call);
                if let Some(out) = self.setups.remove(&call) {
                    self.write(out.conn, follow_up("CANCEL", &out.number, call, out.attempt + 1, ""));
                }
                Vec::new()
            }
            Order::Release(call, cause) => {
                self.standing.remove(call);
                self.release(call, cause);
                Vec::new()
            }
            Order::Adopt(call) => {
                self.standing.adopt(call);
                Vec::new()
            }
            Order::Heard(call) => {
                // It may have been released by way of another process.
                self.standing.remove(call);
                let here = |u: &(CallId, u64, Vec<u8>)| u.0 == call;
                if let Some(position) = self.unacknowledged.iter().position(here)
                    && let Some((_, conn, heard)) = self.unacknowledged.remove(position)
                {
                    self.write(conn, heard);
                }
                Vec::new()
            }
            Order::Drain => {
                // Guards against a set-up that a slow connect would let out after the drain was told.
                self.draining = true;
                self.fail_queue(Outcome::NotSent)
            }
            Order::Probe => self.ask_load(),
            Order::Rest(rest) => {
                self.rest(rest);
                Vec::new()
            }
        }
    }

    /// Asks the server for its load, on a connection that is known to live: for a probe alone none is opened. One is
    /// out at a time.
    fn ask_load(&mut self) -> Vec<Input> {
        if self.probe.is_some() {
            return Vec::new();
        }
        let Some(conn) =
            self.connections.last_heard().filter(|id| self.connections.get(*id).is_some_and(|c| c.spoken))
        else {
            return vec![self.probed(false, None)];
        };
        self.probes = self.probes.wrapping_add(1);
        let id = u64::from(self.server) << 32 | u64::from(self.probes);
        self.probe = Some(Probe { conn, id, until: self.now + self.shared.limits.probe });
        self.write(conn, probe(id));
        Vec::new()
    }

    fn probed(&self, passed: bool, report: Option<Report>) -> Input {
        Input::Probed { server: self.server, passed, report }
    }

    /// Looks at a server whose site is lost now and then, and once the site speaks again soon: whether that one
    /// does too, only a connection shows.
    fn rest(&mut self, rest: bool) {
        // With calls standing there it has to be known soon whether they are gone.
        let soon = !rest || !self.standing.is_empty();
        let mean = if soon { self.shared.limits.awake } else { self.shared.limits.resting };
        let speaks = !rest && self.now <= self.heard + self.shared.limits.quiet;
        if self.resting != rest && !self.connections.any_connecting() {
            let at = self.now + self.drawn(mean);
            let at = self.connect_at.filter(|_| !rest).map_or(at, |before| before.min(at));
            self.connect_at = Some(at).filter(|_| !speaks || self.connections.is_empty());
        }
        self.resting = rest;
    }

    /// When calls at a server that cannot be reached since a time are taken to be gone. Where the lines in use will
    /// tell, once it speaks again, whether it has started anew, that is as late as the protocol allows.
    fn gone_from(&self, since: Time) -> Time {
        let limits = &self.shared.limits;
        let by_silence = if self.restart.is_telling() { self.word + limits.gone } else { 0 };
        by_silence.max(since + limits.vanished)
    }

    /// Takes note of the lines in use that a server states. One that speaks again on a new connection, with hardly a line in
    /// use, may have lost the calls that stood there, whose callers would else wait for the list to say so.
    fn lines_told(&mut self, message: &Message, connection: ConnectionId) {
        let Some(report) = message.report().filter(|_| message.is_state()) else { return };
        let (Some(lines), Some(free)) = (report.lines, report.free) else { return };
        let Some(opened) = self.connections.get(connection).map(|c| c.opened) else { return };
        let after_silence = opened > self.word && self.now > self.word + self.shared.limits.silent;
        self.restart.told(self.now, lines - free, after_silence, self.standing.ids());
    }

    /// Calls that were lost as the server's process was replaced.
    fn end_lost_calls(&mut self) -> Vec<Input> {
        let lost = self.restart.take_lost(self.now).into_iter();
        let lost: Vec<CallId> = lost.filter(|call| self.standing.remove(*call)).collect();
        lost.into_iter().map(|id| self.cut(id)).collect()
    }

    /// A wait before the server is connected to again. Guards a site that is lost, and the path to it, against
    /// hundreds of proxies that each connect to all of its servers once a second.
    fn again(&mut self) -> Time {
        let shared = self.shared.clone();
        let limits = &shared.limits;
        match (self.resting, self.unreached.filter(|_| !self.standing.is_empty())) {
            (false, _) => self.now + self.drawn(limits.reconnect),
            // What stands there is gone if the next connect fails as well, and that has to be late enough.
            (true, Some(since)) => {
                let late = self.gone_from(since).saturating_sub(limits.connect.as_micros() as Time);
                self.now.max(late) + self.drawn(limits.awake)
            }
            (true, None) => self.now + self.drawn(limits.resting),
        }
    }

    /// Guards against a call that stands for ever at a server that cannot be reached now: its release goes out
    /// with the next connection.
    fn release(&mut self, call: CallId, cause: u8) {
        match self.connections.last_heard() {
            Some(conn) => self.release_on(conn, call, cause),
            None => self.releases.push((call, cause)),
        }
    }

    fn release_on(&mut self, conn: u64, call: CallId, cause: u8) {
        self.write(conn, bye(call, cause));
        let last_word = |id| self.connections.get(id).map(|c| c.last_word);
        self.sent_releases.sent(self.now, conn, call, cause, last_word);
    }

    /// Keeps the answer to a release of a call that did not stand here until it is passed on. Without an answer the server
    /// says it again on its next connection, which may be that of the process at which the call stood.
    fn hear_later(&mut self, call: CallId, conn: u64, heard: Vec<u8>) {
        if self.unacknowledged.len() >= self.shared.limits.undelivered {
            self.unacknowledged.pop_front();
        }
        self.unacknowledged.push_back((call, conn, heard));
    }

    /// The connection for a set-up of a call, and how many are open there.
    ///
    /// Not the one on which the call was refused a moment ago: a second copy of that would be taken for the answer.
    fn least_loaded(&self, call: CallId) -> Option<(ConnectionId, usize)> {
        let not_on = self.refused(call).map(|r| r.1);
        self.connections.least_loaded(
            &self.open_setups(),
            self.now,
            self.shared.limits.quiet,
            not_on,
            self.vacating.map(|v| v.0),
        )
    }

    /// Sends at once where a connection is known to live, else on the next that comes up. Where all have
    /// set-ups open, another connection is made for those to come.
    fn start(&mut self, setup: Setup) -> Vec<Input> {
        self.draining = false;
        let connecting = self.connections.any_connecting();
        let full = self.is_full();
        match (self.least_loaded(setup.id), self.refused(setup.id)) {
            // Guards against a call with two attempts out, as the copy would end this one before its time.
            (None, Some((_, _, at))) => {
                self.held.push_back((at + self.shared.limits.copy, setup));
                Vec::new()
            }
            (least, _) => self.start_on(least, setup, connecting, full),
        }
    }

    /// The call's latest refusal, while a second copy of it may come.
    fn refused(&self, call: CallId) -> Option<(CallId, u64, Time)> {
        let until = |r: &(CallId, u64, Time)| r.2 + self.shared.limits.copy;
        let copies =
            |r: &&(CallId, u64, Time)| r.0 == call && self.now < until(r) && self.connections.contains(r.1);
        self.refused.iter().rfind(copies).copied()
    }

    fn start_on(
        &mut self,
        least: Option<(u64, usize)>,
        setup: Setup,
        connecting: bool,
        full: bool,
    ) -> Vec<Input> {
        match least {
            Some((id, open)) => {
                if open > 0 && !full && !connecting && self.now >= self.more_at {
                    self.connect();
                }
                return self.send(id, setup);
            }
            // Quiet on all connections there may be: it has to wait its turn there.
            None if full && !connecting => {
                if let Some(id) = self.connections.last_heard() {
                    return self.send(id, setup);
                }
            }
            None => {}
        }
        self.queue.push_back(setup);
        if !connecting {
            self.connect();
        }
        Vec::new()
    }

    fn send(&mut self, conn: u64, setup: Setup) -> Vec<Input> {
        let bytes = invite(&setup, self.now);
        // Nothing is sent on for a caller that waits no more: its set-up may have waited here for a connection.
        let late = self.now >= setup.until;
        if late || bytes.len() > self.shared.limits.message || !self.connections.contains(conn) {
            return vec![self.ended(setup.id, setup.attempt, End::plain(Outcome::NotSent))];
        }
        self.todo.push(LinkCommand::Write(conn, bytes, Some(setup.id)));
        if let Some(c) = self.connections.get_mut(conn) {
            c.asked.get_or_insert(self.now);
        }
        self.setups.insert(setup.id, Out { conn, attempt: setup.attempt, number: setup.number });
        Vec::new()
    }

    fn ended(&self, id: CallId, attempt: u32, end: End) -> Input {
        Input::Ended { id, attempt, server: self.server, end }
    }

    fn connect(&mut self) {
        self.connect_for(false);
    }

    fn connect_for(&mut self, releases: bool) {
        let connection = self.connections.start(self.now, releases);
        let part = (self.draw)().clamp(0.0, 1.0);
        self.refresh.attempted(self.now, part);
        self.vacating = None;
        // What its refusal says of a server without a word counts as that of a look for its life.
        self.looking |= releases;
        self.todo.push(LinkCommand::Connect(connection));
    }

    fn write(&mut self, conn: u64, bytes: Vec<u8>) {
        if self.connections.contains(conn) {
            self.todo.push(LinkCommand::Write(conn, bytes, None));
        }
    }

    fn close(&mut self, conn: ConnectionId) -> Option<Connection> {
        let closed = self.connections.remove(conn)?;
        self.todo.push(LinkCommand::Close(conn));
        self.unacknowledged.retain(|u| u.1 != conn);
        // Guards a call that stands for nobody against a release which met a connection that was closed already,
        // whichever side has closed it.
        self.standing.connection_ended(conn, closed.last_word);
        for (call, cause) in self.sent_releases.connection_ended(self.now, conn, closed.last_word) {
            // A later attempt of the call must not be cut.
            let again = self.setups.get(&call).is_some_and(|o| o.conn != conn);
            if !again && !self.standing.contains(call) {
                self.release(call, cause);
            }
        }
        Some(closed)
    }

    /// A wait of half to one and a half times `mean`, as in [`crate::net::drawn`].
    fn drawn(&mut self, mean: Duration) -> Time {
        mean.mul_f64(0.5 + (self.draw)().clamp(0.0, 1.0)).as_micros() as Time
    }

    fn fail_queue(&mut self, outcome: Outcome) -> Vec<Input> {
        let held = std::mem::take(&mut self.held).into_iter().map(|h| h.1);
        let queue: Vec<Setup> = std::mem::take(&mut self.queue).into_iter().chain(held).collect();
        queue.into_iter().map(|s| self.ended(s.id, s.attempt, End::plain(outcome))).collect()
    }

    /// Takes what a connection tells.
    pub fn handle_event(&mut self, now: Time, conn: u64, told: LinkEvent) -> Vec<Input> {
        self.now = now;
        match told {
            LinkEvent::Up => {
                let Some(c) = self.connections.get_mut(conn) else { return Vec::new() };
                c.up = true;
                self.looking = false;
                c.opened = self.now;
                c.last_word = c.opened;
                self.lives();
                self.retire(conn);
                for (call, cause) in std::mem::take(&mut self.releases) {
                    self.release_on(conn, call, cause);
                }
                let queue = match self.draining {
                    true => return self.fail_queue(Outcome::NotSent),
                    false => std::mem::take(&mut self.queue),
                };
                queue.into_iter().flat_map(|s| self.send(conn, s)).collect()
            }
            LinkEvent::Failed { refused } => {
                let mut inputs = self.lose(conn);
                let looked = std::mem::take(&mut self.looking);
                if !self.connections.any_connecting() {
                    inputs.extend(self.fail_queue(Outcome::NoRoute));
                }
                let now = self.now;
                // Guards the calls that stand at a server that drains or has no connection left: one that
                // refuses while those it has stay open lives, as a process that dies resets them.
                let open = self.connections.any_up();
                // Unless these have gone dead: with calls standing there, a server has a word now and then. Guards
                // their callers against a machine that is gone, but whose end no reset has told.
                let dead = !open || looked && now >= self.word + self.shared.limits.mute;
                if refused && !dead {
                    self.lives();
                    self.spare();
                    return inputs;
                }
                let since = *self.unreached.get_or_insert(now);
                self.connect_at = Some(self.again());
                // Nobody listens any more, or nothing comes through: the process is gone, and what stood
                // there with it.
                let dead = refused && (self.connections.is_empty() || open);
                if dead || now >= self.gone_from(since) {
                    inputs.extend(self.died());
                }
                inputs
            }
            LinkEvent::Closed => self.lose(conn),
            LinkEvent::Message(message) => {
                let mut inputs = Vec::new();
                let first = self.connections.get(conn).is_some_and(|c| !c.spoken);
                if let Some(c) = self.connections.get_mut(conn) {
                    // A silence worth telling of; after a shorter one nobody has doubts.
                    if !c.spoken || self.now > c.last_word + self.shared.limits.quiet {
                        inputs.push(Input::Spoke { server: self.server, fresh: !c.spoken });
                    }
                    c.heard(self.now, message.is_state());
                }
                if first {
                    self.spoken_on(conn);
                }
                self.lives();
                self.lines_told(&message, conn);
                self.word = self.now;
                inputs.extend(self.message(conn, message));
                inputs
            }
        }
    }

    /// Guards a server's few connections against hundreds of proxies that each ask for more, again and again.
    fn spare(&mut self) {
        self.more_at = self.now + self.drawn(self.shared.limits.sparing);
    }

    fn lives(&mut self) {
        self.heard = self.now;
        self.unreached = None;
    }

    /// Closes older connections that have gone quiet with nothing open, once a new one is up.
    fn retire(&mut self, newest: u64) {
        let quiet = self.connections.quiet_and_free(&self.open_setups(), self.now, self.shared.limits.quiet);
        for id in quiet.into_iter().filter(|id| *id != newest) {
            self.close(id);
        }
    }

    /// A connection has ended, and with it the set-ups open on it; calls that stand outlive it.
    fn lose(&mut self, conn: u64) -> Vec<Input> {
        let lost = self.close(conn);
        if lost.as_ref().is_some_and(|c| c.up && !c.spoken) {
            self.spare();
        }
        if self.connections.is_empty() {
            // At once, since a server sends releases that it could not deliver on its next connection; but
            // guards against one that accepts only to close.
            let wait = self.drawn(self.shared.limits.reconnect);
            let opened = lost.filter(|c| c.up).map_or(self.now, |c| c.opened);
            self.connect_at = Some(self.now.max(opened + wait));
        }
        let lost: Vec<CallId> =
            self.setups.iter().filter(|(_, o)| o.conn == conn).map(|(id, _)| *id).collect();
        let out = lost.into_iter().filter_map(|id| self.setups.remove(&id).map(|o| (id, o)));
        out.collect::<Vec<_>>()
            .into_iter()
            .map(|(id, o)| self.ended(id, o.attempt, End::plain(Outcome::Reset)))
            .collect()
    }

    fn message(&mut self, conn: u64, m: Message) -> Vec<Input> {
        match &m.start {
            Start::Request { method } => match method.as_str() {
                "BYE" => {
                    let heard = m.response("200 OK");
                    let Some(id) = m.call() else {
                        self.write(conn, heard);
                        return Vec::new();
                    };
                    // An answer may still come for one that was open, and nobody waits for it.
                    self.restart.released();
                    let known = self.standing.remove(id) | self.setups.remove(&id).is_some();
                    match known {
                        true => self.write(conn, heard),
                        false => self.hear_later(id, conn, heard),
                    }
                    let cause = m.cause().unwrap_or(CAUSE_NORMAL);
                    vec![Input::Over { id, server: self.server, cause, report: m.report() }]
                }
                "NOTIFY" => m.report().map(|r| Input::Room(self.server, r)).into_iter().collect(),
                "OPTIONS" => {
                    self.write(conn, m.response("200 OK"));
                    Vec::new()
                }
                _ => Vec::new(),
            },
            Start::Response { status } => {
                let status = *status;
                let Some(call) = m.call().filter(|_| status >= 200) else { return Vec::new() };
                match m.sequence() {
                    Some((sequence, "INVITE")) => self.answered(conn, call, sequence, status, m),
                    // One that comes late, twice or on another connection finds no probe, and is no report.
                    Some((_, "OPTIONS")) => {
                        let answered = self.probe.take_if(|p| p.conn == conn && p.id == call);
                        answered.map(|_| self.probed(status < 300, m.report())).into_iter().collect()
                    }
                    Some((_, "BYE")) => {
                        self.sent_releases.acknowledged(call);
                        Vec::new()
                    }
                    _ => Vec::new(),
                }
            }
        }
    }

    /// A final response to an `INVITE`. Whoever it is for, it gets its `ACK`.
    ///
    /// It is matched by call and connection. Guards against taking all answers but the first attempt's for late
    /// ones: servers answer with `CSeq: 1 INVITE` whatever number was asked. Any other number has to fit.
    fn answered(&mut self, conn: u64, call: CallId, sequence: u32, status: u16, m: Message) -> Vec<Input> {
        let fits = |o: &Out| o.conn == conn && (sequence == 1 || sequence == o.attempt + 1);
        let known = self.setups.get(&call).is_some_and(fits);
        // Guards the caller against a description that is noise, and the other set-ups against the connection,
        // which can't be trusted any more. The call may stand there, so it is released.
        if known && status < 300 && !m.describes() {
            tracing::warn!(server = self.server, call = %Hex(call), "an answer without a description");
            let inputs = self.lose(conn);
            self.release(call, CAUSE_NORMAL);
            return inputs;
        }
        let out = if known { self.setups.remove(&call) } else { None };
        let number = out.as_ref().map_or("unknown", |o| &o.number);
        self.write(conn, follow_up("ACK", number, call, sequence, ""));
        match out {
            Some(o) if status < 300 => {
                self.standing.add(call, conn);
                let (attempt, payload) = (o.attempt, m.body.into());
                vec![Input::Stood { id: call, attempt, server: self.server, payload }]
            }
            Some(o) => {
                let (now, copy) = (self.now, self.shared.limits.copy);
                self.refused.retain(|r| now < r.2 + copy);
                self.refused.push_back((call, conn, now));
                vec![self.ended(call, o.attempt, refusal(status, &m, self.shared.gives_wait))]
            }
            // Guards against an answer that crossed its CANCEL: nobody waits for this call here. A second copy
            // of the answer that stands must not end it.
            //
            // On whichever connection is open: this one may have been closed by this side, as another answer on it
            // could not be read.
            None if status < 300 && !self.standing.contains(call) => {
                self.release(call, CAUSE_NORMAL);
                Vec::new()
            }
            None => Vec::new(),
        }
    }
}

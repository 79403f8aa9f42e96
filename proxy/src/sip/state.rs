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

mod liveness;
mod messages;
mod releases;

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
    /// What stands is not given up for a silence before: this process stood still, or a call has been taken over at a server
    /// that had nothing to say.
    not_given_up_before: Time,
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
            not_given_up_before: 0,
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
                self.not_given_up_before = now + self.shared.limits.stall;
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
                if self.standing.is_empty() {
                    // A silence in which nothing stood there says nothing.
                    let silent = self.shared.limits.silent;
                    self.not_given_up_before = self.not_given_up_before.max(now + silent);
                }
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
    pub fn handle_event(&mut self, now: Time, conn: u64, event: LinkEvent) -> Vec<Input> {
        self.now = now;
        match event {
            LinkEvent::Up => self.connection_up(conn),
            LinkEvent::Failed { refused } => self.connection_failed(conn, refused),
            LinkEvent::Closed => self.lose(conn),
            LinkEvent::Message(message) => self.message_came(conn, message),
        }
    }

    fn connection_up(&mut self, conn: ConnectionId) -> Vec<Input> {
        let Some(connection) = self.connections.get_mut(conn) else { return Vec::new() };
        connection.came_up(self.now);
        self.looking = false;
        self.lives();
        self.retire(conn);
        for (call, cause) in std::mem::take(&mut self.releases) {
            self.release_on(conn, call, cause);
        }
        if self.draining {
            return self.fail_queue(Outcome::NotSent);
        }
        let queue = std::mem::take(&mut self.queue);
        queue.into_iter().flat_map(|setup| self.send(conn, setup)).collect()
    }

    fn message_came(&mut self, conn: ConnectionId, message: Message) -> Vec<Input> {
        let mut inputs = Vec::new();
        if let Some(connection) = self.connections.get_mut(conn) {
            let first = !connection.spoken;
            // A silence worth telling of; after a shorter one nobody has doubts.
            if first || self.now > connection.last_word + self.shared.limits.quiet {
                inputs.push(Input::Spoke { server: self.server, fresh: first });
            }
            connection.heard(self.now, message.is_state());
            if first {
                self.first_word_came(conn);
            }
        }
        self.lives();
        self.lines_told(&message, conn);
        self.word = self.now;
        inputs.extend(self.message(conn, message));
        inputs
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
}

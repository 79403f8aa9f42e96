//! Which connections to the command channel are opened, and which one is followed. No I/O, no clock.
//!
//! A channel that is slow is waited for, and one that is dead is left soon. Both hold since a later try does not end an earlier
//! one: the earlier connection goes on waiting while another is opened, and the first that speaks is followed. Events are
//! numbered, so what two connections tell is applied once.

use crate::limits::ChannelLimits;
use fernspan_core::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of a connection. None is given twice.
pub type ConnectionId = u64;

/// What the host has to do, in this order.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Connect, and ask for the events after the last that is known.
    Connect(ConnectionId),
    /// Close the connection; nothing more of it counts.
    Close(ConnectionId),
}

/// What has become of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// It has come up.
    Up,
    /// A whole line has come.
    Line,
    /// It has ended, or has to: what came on it cannot be read, or lacks events.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// On its way up.
    Connecting,
    /// Up, and waited for: nothing has come yet, or nothing for long.
    Waiting,
    /// What comes on it is taken.
    Followed,
}

struct Connection {
    phase: Phase,
    /// When it was asked for, or its last line came.
    since: Time,
}

/// The connections to the command channel.
pub struct ChannelFollower {
    limits: ChannelLimits,
    draw: Box<dyn FnMut() -> f64>,
    connections: BTreeMap<ConnectionId, Connection>,
    latest: ConnectionId,
    /// When another connection is opened, if nothing speaks before.
    connect_at: Time,
    commands: Vec<Command>,
}

impl ChannelFollower {
    /// One that connects at once. `draw` gives numbers from 0 to 1.
    pub fn new(limits: ChannelLimits, now: Time, draw: Box<dyn FnMut() -> f64>) -> Self {
        ChannelFollower {
            limits,
            draw,
            connections: BTreeMap::new(),
            latest: 0,
            connect_at: now,
            commands: Vec::new(),
        }
    }

    /// What its host has to do now.
    pub fn poll_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// When `handle_timeout` wants to be called next.
    pub fn next_timeout(&self) -> Time {
        self.connect_at
    }

    /// Whether what comes on the connection counts.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Time) {
        if now < self.connect_at {
            return;
        }
        for connection in self.connections.values_mut().filter(|c| c.phase == Phase::Followed) {
            connection.phase = Phase::Waiting;
        }
        if self.connections.len() >= self.limits.connections
            && let Some(id) = self.least_promising()
        {
            self.close(id);
        }
        self.connect(now);
    }

    /// Takes note of what has become of a connection.
    pub fn handle_event(&mut self, now: Time, id: ConnectionId, event: ConnectionEvent) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match event {
            ConnectionEvent::Up => {
                connection.phase = Phase::Waiting;
                let due = connection.since;
                if id == self.latest {
                    self.connect_at = due + self.jittered(self.limits.first_word_interval);
                }
            }
            ConnectionEvent::Line => {
                *connection = Connection { phase: Phase::Followed, since: now };
                self.close_others(id);
                self.connect_at = now + self.jittered(self.limits.silence);
            }
            ConnectionEvent::Ended => {
                self.close(id);
                if self.connections.is_empty() {
                    self.connect_at = now + self.drawn(self.limits.retry);
                } else if id == self.latest {
                    self.connect_at = now + self.drawn(self.limits.retry_beside_another);
                }
            }
        }
    }

    /// The channel is elsewhere now.
    pub fn handle_move(&mut self, now: Time) {
        for id in self.connections.keys().copied().collect::<Vec<_>>() {
            self.close(id);
        }
        self.connect(now);
    }

    fn connect(&mut self, now: Time) {
        self.latest += 1;
        self.connections.insert(self.latest, Connection { phase: Phase::Connecting, since: now });
        self.commands.push(Command::Connect(self.latest));
        self.connect_at = now + self.jittered(self.limits.connect_interval);
    }

    /// One that has not come up, or else the one that has been waited for longest.
    fn least_promising(&self) -> Option<ConnectionId> {
        let promise = |c: &Connection| (c.phase != Phase::Connecting, c.since);
        self.connections.iter().min_by_key(|(_, c)| promise(c)).map(|(id, _)| *id)
    }

    fn close_others(&mut self, followed: ConnectionId) {
        for id in self.connections.keys().copied().filter(|id| *id != followed).collect::<Vec<_>>() {
            self.close(id);
        }
    }

    fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
        self.commands.push(Command::Close(id));
    }

    /// A span with a short wait, so that proxies which lose the channel at one moment do not all come back at another.
    fn jittered(&mut self, span: Duration) -> Time {
        span.as_micros() as Time + self.drawn(self.limits.retry)
    }

    /// A wait of half to one and a half times `mean`.
    fn drawn(&mut self, mean: Duration) -> Time {
        mean.mul_f64(0.5 + (self.draw)().clamp(0.0, 1.0)).as_micros() as Time
    }
}

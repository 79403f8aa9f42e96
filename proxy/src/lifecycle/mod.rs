//! The lifecycle of a process as clients and operators see it: starting, serving, draining, shutting down.
//!
//! [`Lifecycle`] is a state machine without I/O and without a clock. Whatever shows outside whether this process takes
//! clients asks it: the answer to a test, the answer to `readyz`, the accept loop, when which connection closes, and what
//! another process on the same socket is told. [`shared::SharedLifecycle`] is the handle that tasks hold.

pub mod shared;

use crate::limits::{DrainLimits, ShutdownLimits};
use fernspan_core::Time;
use std::time::Duration;

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The core has the list of servers.
    ServerListKnown,
    /// Connections are accepted.
    ListenerOpen,
    /// An operator sends clients away.
    Evacuate,
    /// An operator ends the drain.
    Activate,
    /// Another process on the same socket tells what operators have asked for last. The latest word holds.
    PeerSays(OperatorsWord),
    /// Another process on the same socket is there.
    PeerOpened,
    /// It is gone.
    PeerClosed,
    /// The process is asked to end.
    Terminate,
}

/// What operators have asked for last, at any process of this proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperatorsWord {
    /// When they did, in Unix microseconds; 0 where they never have.
    pub at: Time,
    /// Since when clients are sent away, if they are.
    pub draining_since: Option<Time>,
}

/// Where a process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It waits for the list of servers or for its listener.
    Starting,
    /// It takes clients.
    Serving,
    /// Clients are sent away; what was taken is finished.
    Draining,
    /// It ends. No event leads out of this state.
    ShuttingDown,
}

/// Why a process takes no clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReady {
    /// No list of servers has come yet.
    #[error("the list of servers is not known yet")]
    NoServerList,
    /// Nobody accepts connections yet.
    #[error("connections are not accepted yet")]
    NotAccepting,
    /// Operators have sent clients away.
    #[error("this process is drained")]
    Draining,
    /// It has been told to end.
    #[error("this process is shutting down")]
    ShuttingDown,
}

/// What becomes of clients' connections. Each policy does all that those before it do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPolicy {
    /// They stay.
    Keep,
    /// Each closes once nothing is owed on it and no message has begun.
    CloseIdle,
    /// New set-ups are refused at once, so that a busy connection comes to be idle.
    RefuseNew,
    /// Connections on which set-ups were refused close once what is owed on them is answered, which is now.
    EndBusy,
    /// A message that has begun keeps no older connection open.
    CutUnfinished,
    /// All close as soon as no message has begun; what is owed is answered now.
    CloseAll,
}

/// A drain that is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Drain {
    /// When it began, by the Unix clock.
    since: Time,
    /// It was on at another process as this one started.
    inherited: bool,
}

/// The time limits that a lifecycle goes by.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Those of a drain.
    pub drain: DrainLimits,
    /// Those of an end.
    pub shutdown: ShutdownLimits,
}

/// The state machine. Times are microseconds of the Unix clock.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    server_list_known: bool,
    listener_open: bool,
    drain: Option<Drain>,
    /// When operators, here or at another process, have last begun or ended a drain.
    operators_at: Time,
    /// Other processes on the same socket.
    peers: usize,
    terminated_at: Option<Time>,
}

impl Lifecycle {
    /// Takes an event. What has happened already changes nothing.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::ServerListKnown => self.server_list_known = true,
            Event::ListenerOpen => self.listener_open = true,
            Event::Evacuate => {
                let since = self.drain.map_or(now, |drain| drain.since);
                self.drain = Some(Drain { since, inherited: false });
                self.operators_at = now.max(self.operators_at + 1);
            }
            Event::Activate => {
                self.drain = None;
                self.operators_at = now.max(self.operators_at + 1);
            }
            Event::PeerSays(word) if word.at > self.operators_at => {
                let inherited = self.state() == State::Starting;
                self.drain = word.draining_since.map(|since| Drain { since, inherited });
                self.operators_at = word.at;
            }
            Event::PeerSays(_) => {}
            Event::PeerOpened => self.peers += 1,
            Event::PeerClosed => self.peers = self.peers.saturating_sub(1),
            Event::Terminate => {
                self.terminated_at.get_or_insert(now);
            }
        }
    }

    /// Where the process is in its life.
    pub fn state(&self) -> State {
        if self.terminated_at.is_some() {
            State::ShuttingDown
        } else if self.serves().is_err() {
            State::Starting
        } else if self.drain.is_some() {
            State::Draining
        } else {
            State::Serving
        }
    }

    /// Whether the core has the list of servers.
    pub fn knows_server_list(&self) -> bool {
        self.server_list_known
    }

    /// What operators have asked for last, at this process or another on the same socket.
    pub fn operators_word(&self) -> OperatorsWord {
        OperatorsWord { at: self.operators_at, draining_since: self.drain.map(|drain| drain.since) }
    }

    /// Whether clients are taken after the end of a drain: here, or by another process on the same socket.
    ///
    /// # Errors
    /// This process shuts down, and no other is there.
    pub fn may_activate(&self) -> Result<(), NotReady> {
        match self.terminated_at.is_some() && self.peers == 0 {
            true => Err(NotReady::ShuttingDown),
            false => Ok(()),
        }
    }

    /// Whether a set-up would be served.
    ///
    /// # Errors
    /// Why none would be.
    pub fn serves(&self) -> Result<(), NotReady> {
        if !self.server_list_known {
            return Err(NotReady::NoServerList);
        }
        if !self.listener_open {
            return Err(NotReady::NotAccepting);
        }
        Ok(())
    }

    /// Whether a test at the clients' address passes. It is answered for all processes on the address: one that shuts down
    /// passes it, as the one that replaces it takes clients, unless these are being sent away.
    pub fn passes_test(&self) -> bool {
        self.serves().is_ok() && self.drain.is_none()
    }

    /// Whether operators are told that this process takes clients. One that has started within a drain says so although it
    /// goes on with the drain: the platform waits for that word before it ends the process that it replaces.
    ///
    /// # Errors
    /// Why it takes none.
    pub fn takes_clients(&self) -> Result<(), NotReady> {
        self.serves()?;
        if self.terminated_at.is_some() {
            return Err(NotReady::ShuttingDown);
        }
        if self.drain.is_some_and(|drain| !drain.inherited) {
            return Err(NotReady::Draining);
        }
        Ok(())
    }

    /// Whether new connections are accepted no more.
    pub fn has_stopped_accepting(&self, now: Time, timing: &Timing) -> bool {
        self.terminated_at.is_some_and(|at| elapsed(at, now) >= timing.shutdown.accept)
    }

    /// What becomes of clients' connections now.
    pub fn connection_policy(&self, now: Time, timing: &Timing) -> ConnectionPolicy {
        let drain = self.drain.map_or(ConnectionPolicy::Keep, |drain| {
            let age = elapsed(drain.since, now);
            let limits = &timing.drain;
            if age >= limits.cut_after {
                ConnectionPolicy::CutUnfinished
            } else if age >= limits.end_busy_after {
                ConnectionPolicy::EndBusy
            } else if age >= limits.refuse_after {
                ConnectionPolicy::RefuseNew
            } else {
                ConnectionPolicy::CloseIdle
            }
        });
        let shutdown = self.terminated_at.map_or(ConnectionPolicy::Keep, |at| {
            let age = elapsed(at, now);
            if age >= timing.shutdown.close_deadline {
                ConnectionPolicy::CloseAll
            } else if age >= timing.shutdown.accept {
                ConnectionPolicy::CloseIdle
            } else {
                ConnectionPolicy::Keep
            }
        });
        drain.max(shutdown)
    }
}

fn elapsed(from: Time, now: Time) -> Duration {
    Duration::from_micros(now.saturating_sub(from))
}

#[cfg(test)]
mod tests;

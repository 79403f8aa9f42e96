//! A lifecycle that tasks share, and wait for.

use super::{ConnectionPolicy, Event, Lifecycle, NotReady, State, Timing};
use crate::clock::unix_now;
use crate::limits::{Limits, ShutdownLimits};
use fernspan_core::Time;
use std::cell::{Ref, RefCell};
use std::rc::Rc;

/// The handle to one lifecycle; clones share it.
#[derive(Clone)]
pub struct SharedLifecycle(Rc<Shared>);

struct Shared {
    lifecycle: RefCell<Lifecycle>,
    timing: RefCell<Timing>,
    /// Notified after each event.
    changed: event_listener::Event,
}

impl SharedLifecycle {
    /// One that has just started.
    pub fn new(limits: &Limits) -> Self {
        let timing = Timing { drain: limits.drain.clone(), shutdown: limits.shutdown.clone() };
        SharedLifecycle(Rc::new(Shared {
            lifecycle: RefCell::default(),
            timing: RefCell::new(timing),
            changed: event_listener::Event::new(),
        }))
    }

    /// Takes an event, names a change of the state in the log, and wakes those who wait. Says whether the state has changed.
    pub fn handle(&self, event: Event) -> bool {
        let before = self.state();
        self.0.lifecycle.borrow_mut().handle(unix_now(), event);
        let after = self.state();
        if after != before {
            tracing::info!(from = ?before, to = ?after, ?event, "lifecycle");
        }
        self.0.changed.notify(usize::MAX);
        after != before
    }

    /// The state machine, for questions that need no time.
    pub fn get(&self) -> Ref<'_, Lifecycle> {
        self.0.lifecycle.borrow()
    }

    /// Where the process is in its life.
    pub fn state(&self) -> State {
        self.get().state()
    }

    /// Whether operators are told that this process takes clients.
    ///
    /// # Errors
    /// Why it takes none.
    pub fn takes_clients(&self) -> Result<(), NotReady> {
        self.get().takes_clients()
    }

    /// What becomes of clients' connections now.
    pub fn connection_policy(&self) -> ConnectionPolicy {
        self.get().connection_policy(unix_now(), &self.0.timing.borrow())
    }

    /// Whether new connections are accepted no more.
    pub fn has_stopped_accepting(&self) -> bool {
        self.get().has_stopped_accepting(unix_now(), &self.0.timing.borrow())
    }

    /// Whether set-ups that come now are refused at once.
    pub fn refuses_set_ups(&self) -> bool {
        let policy = self.connection_policy();
        policy >= ConnectionPolicy::RefuseNew && policy < ConnectionPolicy::CloseAll
    }

    /// The time limits of an end, which follow from the settings. An end that has begun keeps its own: the platform kills by
    /// what held at SIGTERM.
    pub fn set_shutdown_limits(&self, limits: ShutdownLimits) {
        if self.state() != State::ShuttingDown {
            self.0.timing.borrow_mut().shutdown = limits;
        }
    }

    /// By when all that was taken has to be answered, if the process is asked to end now. Unix microseconds.
    pub fn answer_deadline(&self) -> Time {
        unix_now() + self.0.timing.borrow().shutdown.answer_deadline.as_micros() as Time
    }

    /// Becomes ready at the next event after this call.
    pub fn changed(&self) -> impl Future<Output = ()> {
        self.0.changed.listen()
    }

    /// Waits until the lifecycle is so.
    pub async fn wait_until(&self, holds: impl Fn(&Lifecycle) -> bool) {
        loop {
            let changed = self.0.changed.listen();
            if holds(&self.get()) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until new connections are accepted no more.
    pub async fn stops_accepting(&self) {
        self.wait_until(|lifecycle| lifecycle.state() == State::ShuttingDown).await;
        let accept = self.0.timing.borrow().shutdown.accept;
        async_io::Timer::after(accept).await;
    }
}

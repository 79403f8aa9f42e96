//! The end of a process after SIGTERM: what has come is answered, and clients are let go before the platform kills.
//!
//! New work is taken for a while. Then nobody is accepted, and each connection closes as it is idle: a client that writes
//! in that moment sees the close, and knows that it has not been heard. A message that has begun keeps its connection
//! open. Connections that are never idle close once everything is answered, shortly before the kill.

use crate::hub::Message;
use crate::limits::Limits;
use crate::readiness::Readiness;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How far a process is on its way to its end. Clones share one state.
#[derive(Clone)]
pub struct ShutdownSignal {
    /// Closed from when connections close as they are idle.
    when_idle: (Sender<()>, Receiver<()>),
    /// Connections close as soon as what is owed is answered.
    now: Rc<Cell<bool>>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        ShutdownSignal { when_idle: async_channel::bounded(1), now: Rc::default() }
    }
}

impl ShutdownSignal {
    /// From now on nobody is accepted, and connections close as they are idle.
    pub fn close_when_idle(&self) {
        self.when_idle.0.close();
    }

    /// From now on connections close that are not idle as well, once all that has come is answered.
    pub fn close_now(&self) {
        self.now.set(true);
    }

    /// Waits until connections close as they are idle.
    pub async fn closes_when_idle(&self) {
        let _ = self.when_idle.1.recv().await;
    }

    /// Whether connections close that are not idle as well.
    pub fn closes_now(&self) -> bool {
        self.now.get()
    }
}

/// How a service is ended.
#[derive(Clone)]
pub struct Ending {
    /// The core, which answers everything in time.
    pub core: Sender<Message>,
    /// When what happens.
    pub limits: Limits,
    /// What operators are told.
    pub readiness: Readiness,
    /// What connections are told.
    pub signal: ShutdownSignal,
}

impl Ending {
    /// Begins the end. What is asked for a second time changes nothing.
    pub fn begin(&self, executor: &Rc<LocalExecutor<'static>>) {
        if self.readiness.shutting_down() {
            executor.spawn(self.clone().run()).detach();
        }
    }

    async fn run(self) {
        let begun = Instant::now();
        let _ = self.core.send(Message::Stop).await;
        let wait_until = async |time| Timer::at(begun + Duration::from_micros(time)).await;
        wait_until(self.limits.grace).await;
        self.signal.close_when_idle();
        wait_until(self.limits.close).await;
        self.signal.close_now();
    }
}

//! How late the event loop is, and which connections wait for it.
//!
//! All connections share one thread. Where clients send more than it can read, each message waits for a turn of all the
//! others, and callers who send little get their answers as late as those who flood. So a connection that has sent more
//! than a share pauses after what it has sent, the longer the later the loop is; the kernel's window holds its client back.

use async_io::Timer;
use rustix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often the lag is taken.
const TICK: Duration = Duration::from_millis(10);
/// A lag up to this is ordinary.
const ORDINARY: Duration = Duration::from_millis(5);
/// What a lag leaves to the next tick.
const FADE: f64 = 0.75;
/// A connection over its share pauses for so many times the lag, ...
const PAUSE_OVER_LAG: u32 = 16;
/// ... and for this at most: a message that has begun has to be whole within twice as long.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Bytes that a connection may send in a second without a pause, in one moment, and in its first.
const SHARE_PER_S: f64 = 64.0 * 1024.0;
const SHARE_AT_ONCE: f64 = 16.0 * 1024.0;
const SHARE_AT_FIRST: f64 = 2.0 * 1024.0;
/// What reading a message costs beside its bytes, in bytes.
const MESSAGE_COST: usize = 256;

/// A lag from which on the loop has more to do than it should.
const LATE: Duration = Duration::from_millis(20);
/// A lag of this and more in which the thread did not run, as the process was stopped, is a standstill. Clients may have left
/// meanwhile whose set-ups are read only now.
const STANDSTILL: Duration = Duration::from_millis(100);
/// What had come during a standstill is read within this time after it.
const AFTER_STANDSTILL: Duration = Duration::from_millis(100);

/// The lag of a thread's event loop; clones share it.
#[derive(Clone, Debug, Default)]
pub struct LoopLag(Rc<Lag>);

#[derive(Debug, Default)]
struct Lag {
    /// As of the latest tick.
    noted: Cell<Duration>,
    /// When the next tick is due.
    due: Cell<Option<Instant>>,
    /// What the thread had run for when the tick began.
    run_before: Cell<Duration>,
    /// When the latest standstill ended.
    stood_still: Cell<Option<Instant>>,
}

impl LoopLag {
    /// Takes the lag for as long as the loop runs.
    pub async fn watch(self) {
        loop {
            let due = Instant::now() + TICK;
            self.0.due.set(Some(due));
            self.0.run_before.set(thread_time());
            Timer::at(due).await;
            self.note(due.elapsed(), thread_time().saturating_sub(self.0.run_before.get()));
        }
    }

    /// A tick came so late, and the thread has run for so long meanwhile.
    fn note(&self, lag: Duration, run: Duration) {
        if self.is_standstill(lag, run) {
            self.0.stood_still.set(Some(Instant::now()));
        }
        self.0.noted.set(lag.max(self.0.noted.get().mul_f64(FADE)));
    }

    /// Whether the loop has stood still of late, or comes from a standstill now.
    pub fn stood_still(&self) -> bool {
        let run = thread_time().saturating_sub(self.0.run_before.get());
        let ended = self.0.stood_still.get();
        self.is_standstill(self.overdue(), run) || ended.is_some_and(|at| at.elapsed() < AFTER_STANDSTILL)
    }

    /// Whether the loop has more to do than it should.
    pub fn is_late(&self) -> bool {
        self.overdue().max(self.0.noted.get()) >= LATE
    }

    fn overdue(&self) -> Duration {
        self.0.due.get().map_or(Duration::ZERO, |due| due.elapsed())
    }

    /// One that is always late has not stood still: it has too little of a processor.
    fn is_standstill(&self, lag: Duration, run: Duration) -> bool {
        lag.saturating_sub(run) >= STANDSTILL && self.0.noted.get() < LATE
    }

    /// How long a connection pauses that has sent more than its share.
    pub fn pause(&self) -> Duration {
        (self.0.noted.get().saturating_sub(ORDINARY) * PAUSE_OVER_LAG).min(LONGEST_PAUSE)
    }
}

/// What this thread has run for.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.try_into().unwrap_or_default(), time.tv_nsec.try_into().unwrap_or_default())
}

/// What a connection has sent of its share.
#[derive(Debug)]
pub struct InputShare {
    left: f64,
    at: Instant,
}

impl InputShare {
    /// Of a connection that opens now. Hundreds may come in one moment, each with as much as it can send.
    pub fn new(now: Instant) -> Self {
        InputShare { left: SHARE_AT_FIRST, at: now }
    }

    /// So many messages and bytes have come. Says whether that is more than its share.
    pub fn take(&mut self, now: Instant, messages: usize, bytes: usize) -> bool {
        let regained = now.saturating_duration_since(self.at).as_secs_f64() * SHARE_PER_S;
        self.at = now;
        let left = (self.left + regained).min(SHARE_AT_ONCE) - (bytes + messages * MESSAGE_COST) as f64;
        self.left = left.max(-SHARE_AT_ONCE);
        left < 0.0
    }
}

#[cfg(test)]
mod tests;

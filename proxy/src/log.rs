//! The log: events on standard error, a line each.
//!
//! A thread of its own writes the lines. Standard error may be a pipe that nobody reads, so lines wait in a bounded
//! buffer; what has no room there is dropped and counted, and the program goes on.

use std::sync::mpsc;
use std::time::Duration;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

/// Lines that wait for their reader at most.
const BUFFERED_LINES: usize = 4096;
/// Time for the last lines to leave as the program ends.
const LAST_LINES: Duration = Duration::from_millis(100);
/// How often dropped lines are looked for.
pub const DROPPED_INTERVAL: Duration = Duration::from_secs(10);

/// The log of this process, from its start to its end.
pub struct Log {
    writer: WorkerGuard,
    dropped: DroppedLines,
}

/// How many lines had no room.
#[derive(Clone)]
pub struct DroppedLines(ErrorCounter);

impl DroppedLines {
    /// Since the start of the process.
    pub fn count(&self) -> usize {
        self.0.dropped_lines()
    }
}

impl Log {
    /// Takes all events from now on. `PROXY_LOG` names the least level that is written, as in `debug`; `info` without.
    pub fn start() -> Log {
        let (lines, writer) = NonBlockingBuilder::default()
            .buffered_lines_limit(BUFFERED_LINES)
            .lossy(true)
            .thread_name("log")
            .finish(std::io::stderr());
        let dropped = DroppedLines(lines.error_counter());
        let level = std::env::var("PROXY_LOG").ok().and_then(|name| name.parse().ok());
        write_events_to(lines, level.unwrap_or(LevelFilter::INFO));
        Log { writer, dropped }
    }

    /// The count of dropped lines.
    pub fn dropped(&self) -> DroppedLines {
        self.dropped.clone()
    }

    /// Lets the last lines leave. A reader that stands still does not hold the end of the process.
    pub fn finish(self) {
        let (flushed, done) = mpsc::channel();
        std::thread::spawn(move || {
            drop(self.writer);
            let _ = flushed.send(());
        });
        let _ = done.recv_timeout(LAST_LINES);
    }
}

fn write_events_to(lines: NonBlocking, level: LevelFilter) {
    let events = tracing_subscriber::fmt()
        .with_writer(lines)
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false)
        .finish();
    // It fails where a test has one already, which then has the events.
    let _ = tracing::subscriber::set_global_default(events);
}

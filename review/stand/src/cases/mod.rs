//! The cases, by name.

mod fall;
mod memory;
mod slow;
mod upgrade;
mod vanish;

use crate::Verdict;
use crate::proxy::Platform;
use crate::record::Record;
use std::time::{Duration, Instant};

/// What each time limit on sockets is longer by.
pub const SLACK: Duration = Duration::from_millis(50);
/// What is over is released within this, where no release could be sent.
pub const RELEASED: Duration = Duration::from_secs(8);

pub fn play(case: &str, platform: &Platform, record: &Record, trouble: bool) -> Result<Verdict, String> {
    match case {
        "fall" => fall::play(platform, record, trouble),
        "memory" => memory::play(platform, record, trouble),
        "vanish" => vanish::play(platform, record, trouble),
        "slow" => slow::play(platform, record, trouble),
        "upgrade" => upgrade::play(platform, record, trouble),
        other => Err(format!("there is no case {other}")),
    }
}

pub fn text(e: std::io::Error) -> String {
    e.to_string()
}

pub fn sleep_until(at: Instant) {
    if let Some(left) = at.checked_duration_since(Instant::now()) {
        std::thread::sleep(left);
    }
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

//! The system's Unix clock, which all times of the protocol are taken from.

use fernspan_core::Time;
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch.
pub fn unix_now() -> Time {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Time)
}

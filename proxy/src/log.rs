//! The log: lines on standard error.

use std::fmt::Arguments;
use std::io::{self, Write};

/// Writes one line, whole. Guards the program, and all that it has taken, against a log that nobody reads any more:
/// `eprintln!` would end it there.
pub fn line(text: Arguments) {
    let _ = io::stderr().write_all(format!("{text}\n").as_bytes());
}

/// As `eprintln!`, but for a log that takes nothing more.
#[macro_export]
macro_rules! log {
    ($($text:tt)*) => { $crate::log::line(format_args!($($text)*)) };
}

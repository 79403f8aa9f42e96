//! What is odd in a configuration or an event, and served all the same.
//!
//! A start ends only where a page asks for it: a file that is empty, cut short or lacks a key, and a deadline or number of
//! attempts that is not above 0 (LATER, 'Settings that change'). Whatever else is odd is named in the log, and the process
//! serves: the platform may well know fields, states and modes that this program does not.

use fernspan_settings::json::Value;
use std::fmt;

/// Something odd, and what is made of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Oddity {
    /// An unknown field is spelt nearly like an optional one that is missing.
    LikelyMisspelt {
        /// The unknown field's path.
        path: String,
        /// The missing one.
        missing: &'static str,
    },
    /// A figure that cannot be, and the one that is taken instead.
    Figure {
        /// The field's path.
        path: String,
        /// Its value.
        value: f64,
        /// What is taken.
        taken: f64,
    },
    /// A mode that is not known; the automatic one is taken.
    Mode(String),
    /// A name that stands twice in a list. The first is the one that set-ups name.
    NamedTwice {
        /// The list's path.
        path: &'static str,
        /// The name.
        name: String,
    },
    /// There are more or fewer lists of pools than classes; a class without one may go anywhere.
    PoolLists,
    /// An address that is none; the process does without.
    Address {
        /// The field's path.
        path: &'static str,
        /// Its value.
        value: String,
    },
    /// A server that cannot be used is left out.
    ServerLeftOut {
        /// Its id, where it has one.
        id: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A state that is not known; nothing new goes to the server.
    ServerState {
        /// The server's id.
        id: String,
        /// The state.
        state: String,
    },
    /// An event whose number is not above the one before is left out.
    CursorRepeats {
        /// Its number.
        cursor: u64,
        /// The number before.
        before: u64,
    },
    /// The events go on beyond the number that is said to be the last.
    CursorBehind {
        /// The number that is said.
        said: u64,
        /// The last event's.
        last: u64,
    },
}

impl fmt::Display for Oddity {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Oddity::LikelyMisspelt { path, missing } => {
                write!(f, "field config: {path} is unknown; {missing} is missing")
            }
            Oddity::Figure { path, value, taken } => {
                write!(f, "field config: {path} cannot be {value}; {taken} is taken")
            }
            Oddity::Mode(mode) => {
                write!(f, "field config: settings.registry_mode cannot be {mode:?}; automatic is taken")
            }
            Oddity::NamedTwice { path, name } => {
                write!(f, "field config: settings.{path} names {name} twice")
            }
            Oddity::PoolLists => f.write_str(
                "field config: settings.specifics.allowed_pools has not one list for each profile",
            ),
            Oddity::Address { path, value } => {
                write!(f, "field config: {path} cannot be {value}; it is left out")
            }
            Oddity::ServerLeftOut { id, reason } => write!(f, "server {id} is left out: {reason}"),
            Oddity::ServerState { id, state } => {
                write!(f, "state of {id} cannot be {state:?}: nothing new goes there")
            }
            Oddity::CursorRepeats { cursor, before } => {
                write!(f, "known.cmds: cursor {cursor} follows {before}; it is left out")
            }
            Oddity::CursorBehind { said, last } => {
                write!(f, "known.cursor is {said}, but known.cmds goes on to {last}")
            }
        }
    }
}

/// Names all of them in the log.
pub fn log(oddities: &[Oddity]) {
    for oddity in oddities {
        tracing::warn!("{oddity}");
    }
}

/// A value as JSON has it.
pub fn shown(value: &Value) -> String {
    miniserde::json::to_string(value)
}

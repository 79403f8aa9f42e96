//! What the program balances, as a model: callers, setup servers, the paths between them and the proxies, and
//! the list of servers; what goes wrong with each; and a checker that judges every rule of the protocol.
//!
//! It does no input or output and has no clock. The emulator and the rig of `fernspan-rig` both play it: one in
//! virtual time against decision modules in the same process, the other on sockets against the real program.
//! Which figures are the platform's, and which are ours, stands with each.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod callers;
pub mod check;
pub mod draw;
pub mod forecast;
pub mod message;
pub mod report;
pub mod scenario;
pub mod server;
pub mod sites;
pub mod world;

/// A moment or a span of a run, in microseconds.
pub type Time = u64;
/// A call's id.
pub type CallId = u64;

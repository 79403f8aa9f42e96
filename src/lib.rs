//! Decides which call set-ups go to which central server, and which are held or refused.
//!
//! A [`Controller`] does no input or output and has no clock: the host hands it events with the time
//! and carries out the actions it returns. The same events and seed always give the same actions.
//! All decisions on calls are in [`choice`]; what is believed of whole sites is in [`sites`]; the types are in
//! [`interface`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod choice;
pub mod interface;
mod mean;
pub mod probes;
pub mod refusal;
mod server_health;
pub mod sites;
mod throughput;
pub mod window;

pub use choice::Controller;
pub use interface::*;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

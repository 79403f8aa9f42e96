//! Budgets that a fleet of proxies divides among its members, so that what all use together is never above the whole,
//! and who is in the fleet.
//!
//! For installations that let proxies talk. Nothing of it is part of what the platform starts.
//!
//! Decisions stand in modules without I/O or clock: [`members`] says who is there, [`shares`] who may use how much.
//! [`node`] joins them and [`message`] writes them down; [`host`] has the socket and the clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod emulate;
pub mod host;
pub mod measure;
pub mod members;
pub mod message;
pub mod node;
pub mod settings;
pub mod shares;

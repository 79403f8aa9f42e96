//! A signalling proxy on real sockets around the decision module.
//!
//! `PROXY_CONFIG` names the platform's configuration, `PROXY_ENUM` an operator's file that turns the ENUM
//! front on. Each front has an engine of its own; either may be left out.
#![forbid(unsafe_code)]

pub mod classes;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod dns;
pub mod engine;
pub mod figures;
pub mod handover;
pub mod hub;
pub mod invariant;
pub mod isup;
pub mod lifecycle;
pub mod limits;
pub mod list_event;
pub mod log;
pub mod loop_lag;
pub mod management;
pub mod memory_budget;
pub mod net;
pub mod oddity;
pub mod operator;
pub mod peers;
pub mod reasons;
pub mod reload;
pub mod remembered_calls;
pub mod signals;
pub mod sip;
pub mod startup;
pub mod xds;

pub use startup::{Executor, StartError, start};

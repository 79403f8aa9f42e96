//! A fleet of fernspan on one machine, with faults between its parts.
//!
//! Both ways of playing a scenario share one model of everything round the proxies (`fernspan-model`):
//! [`emulate`] drives decision modules in virtual time, [`real`] starts the program itself many times on loopback
//! addresses. [`soak`] is apart from both: seeded faults that overlap, on real processes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod emulate;
pub mod plot;
pub mod real;
pub mod series;
pub mod soak;
pub mod told;
pub mod wire;

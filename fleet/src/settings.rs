//! The operator's file, `deploy/fleet.json`: JSON with a schema, taken whole or not at all.

use crate::message::BUDGETS;
use crate::shares::{Budget, Rules, Seat};
use ipnet::Ipv4Net;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddrV4;

/// Why a file was turned down: the field, and what is wrong with it.
#[derive(Debug, PartialEq, Eq)]
pub struct Bad {
    /// Path of the field, as in `budgets[1].floor`.
    pub field: String,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "field {}: {}", self.field, self.why)
    }
}

impl std::error::Error for Bad {}

fn bad(field: impl Into<String>, why: impl Into<String>) -> Bad {
    Bad { field: field.into(), why: why.into() }
}

/// The fleet's file. All members have the same, but for `seat`, `listen` and `via`, which may be given beside it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Seats at most, from 0 on. A seat has one process at a time; its address is what holds it.
    pub seats: u16,
    /// The few members that elect the allocator, and that others join by: an odd number of them.
    pub voters: Vec<Voter>,
    /// Networks that members are in; nothing else is heard.
    #[schemars(with = "Vec<String>")]
    pub networks: Vec<Ipv4Net>,
    /// What is divided.
    pub budgets: Vec<Whole>,
    /// How long a member may use its part without a word from the allocator, in milliseconds.
    #[serde(default = "defaults::lease")]
    pub lease_ms: u64,
    /// How long a voter's promise lasts, in milliseconds.
    #[serde(default = "defaults::term")]
    pub term_ms: u64,
    /// By how much a clock may be fast or slow, in parts of a million.
    #[serde(default = "defaults::drift")]
    pub drift_ppm: u64,
    /// Other addresses by which seats are reached from here, by seat.
    #[serde(default)]
    #[schemars(with = "BTreeMap<Seat, String>")]
    pub via: BTreeMap<Seat, SocketAddrV4>,
}

/// A voter.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// Its seat.
    pub seat: Seat,
    /// Where it is reached.
    #[schemars(with = "String")]
    pub at: SocketAddrV4,
}

/// A budget.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Whole {
    /// Its name.
    pub name: String,
    /// What all members may use together, in its own units.
    pub whole: u64,
    /// What each seat may always use; part of the whole.
    #[serde(default)]
    pub floor: u64,
}

mod defaults {
    pub fn lease() -> u64 {
        1_000
    }
    pub fn term() -> u64 {
        1_500
    }
    pub fn drift() -> u64 {
        1_000
    }
}

/// Reads a file and checks it.
///
/// # Errors
/// One field that is unknown, missing, of the wrong type or out of its bounds.
pub fn read(text: &str) -> Result<Settings, Bad> {
    let mut from = serde_json::Deserializer::from_str(text);
    let settings: Settings = serde_path_to_error::deserialize(&mut from).map_err(|e| {
        let path = e.path().to_string();
        let field = if matches!(path.as_str(), "." | "?") { "(file)".to_owned() } else { path };
        bad(field, e.into_inner().to_string())
    })?;
    from.end().map_err(|e| bad("(file)", e.to_string()))?;
    settings.check()?;
    Ok(settings)
}

/// The JSON schema of the file.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Settings).to_value()
}

impl Settings {
    fn check(&self) -> Result<(), Bad> {
        if !(1..=20_000).contains(&self.seats) {
            return Err(bad("seats", "has to be from 1 to 20000"));
        }
        if self.voters.len().is_multiple_of(2) || self.voters.len() > 9 {
            return Err(bad("voters", format!("has to be an odd number up to 9, not {}", self.voters.len())));
        }
        if self.networks.is_empty() {
            return Err(bad("networks", "has to name at least one"));
        }
        let mut seen = BTreeSet::new();
        for (i, v) in self.voters.iter().enumerate() {
            if v.seat >= self.seats {
                return Err(bad(
                    format!("voters[{i}].seat"),
                    format!("there are seats 0 to {}", self.seats - 1),
                ));
            }
            if !seen.insert(v.seat) {
                return Err(bad(format!("voters[{i}].seat"), format!("{} is there twice", v.seat)));
            }
            if !self.trusts(&v.at) {
                return Err(bad(format!("voters[{i}].at"), format!("{} is in none of the networks", v.at)));
            }
        }
        if self.budgets.is_empty() || self.budgets.len() > BUDGETS {
            return Err(bad("budgets", format!("have to be from 1 to {BUDGETS}")));
        }
        let mut names = BTreeSet::new();
        for (i, b) in self.budgets.iter().enumerate() {
            if b.name.is_empty() || !names.insert(&b.name) {
                return Err(bad(format!("budgets[{i}].name"), "has to be given, and to be its own"));
            }
            let floors = b.floor.checked_mul(u64::from(self.seats));
            if floors.is_none_or(|f| f > b.whole) {
                let why = format!(
                    "{} seats with {} each are more than the whole, {}",
                    self.seats, b.floor, b.whole
                );
                return Err(bad(format!("budgets[{i}].floor"), why));
            }
        }
        if !(100..=60_000).contains(&self.lease_ms) {
            return Err(bad("lease_ms", "has to be from 100 to 60000"));
        }
        if self.term_ms < self.lease_ms || self.term_ms > 120_000 {
            return Err(bad("term_ms", "has to lie between lease_ms and 120000"));
        }
        if self.drift_ppm > 200_000 {
            return Err(bad("drift_ppm", "has to be 200000 at most"));
        }
        Ok(())
    }

    /// Whether an address may be a member's.
    pub fn trusts(&self, at: &SocketAddrV4) -> bool {
        self.networks.iter().any(|n| n.contains(at.ip()))
    }

    /// The rules of its budgets.
    pub fn rules(&self) -> Rules {
        Rules {
            seats: self.seats,
            voters: self.voters.iter().map(|v| v.seat).collect(),
            budgets: self.budgets.iter().map(|b| Budget { whole: b.whole, floor: b.floor }).collect(),
            lease: self.lease_ms * 1_000,
            term: self.term_ms * 1_000,
            drift_ppm: self.drift_ppm,
            mistake: None,
        }
    }
}

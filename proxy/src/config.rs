//! What the platform tells a proxy at its start.

use crate::feed::{self, ListEvent};
use fernspan_settings::json::{self, Value, need};
use fernspan_settings::{Start, from_value};
use std::net::SocketAddr;
use std::time::Duration;

/// The configuration, read whole.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub channel: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    /// In bytes.
    pub memory: usize,
    pub open_calls: usize,
    pub connect: Duration,
    pub start: Start,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub cursor: u64,
    pub known: Vec<ListEvent>,
}

fn address(v: &Value) -> Option<SocketAddr> {
    json::text(v)?.parse().ok()
}

/// A seed is hex digits, or a number.
fn seed(v: &Value) -> Option<u64> {
    json::whole(v).or_else(|| u64::from_str_radix(json::text(v)?, 16).ok())
}

fn names(v: &Value, path: &str) -> Result<Vec<String>, String> {
    let list = json::maybe(v, path, json::array)?.unwrap_or_default();
    list.iter().map(|item| need(item, "name", json::word)).collect()
}

/// Reads the configuration's text.
pub fn read(text: &str) -> Result<Config, String> {
    let v = json::parse(text)?;
    let settings = need(&v, "settings", Some)?;
    let zones: Vec<String> = json::maybe(settings, "zones", json::array)?
        .unwrap_or_default()
        .iter()
        .filter_map(json::word)
        .collect();
    let known = json::maybe(&v, "known.cmds", json::array)?.unwrap_or_default();
    let known: Vec<ListEvent> = known.iter().map(|e| feed::event(e, &zones)).collect::<Result<_, _>>()?;
    let dial = json::maybe(settings, "limits.dial_timeout", json::span)?.unwrap_or(500_000);
    Ok(Config {
        name: need(&v, "name", json::word)?,
        listen: need(&v, "listen", address)?,
        channel: need(&v, "channel", address)?,
        seed: need(&v, "seed", seed)?,
        sockets: json::maybe(&v, "limits.sockets", json::count)?.unwrap_or(1024) as usize,
        memory: (json::maybe(&v, "limits.memory_mb", json::count)?.unwrap_or(192) as usize) << 20,
        open_calls: json::maybe(settings, "limits.max_open", json::count)?.unwrap_or(20_000) as usize,
        connect: Duration::from_micros(dial),
        start: from_value(settings)?,
        classes: names(settings, "profiles")?,
        tenants: names(settings, "parties")?,
        cursor: json::maybe(&v, "known.cursor", json::whole)?.unwrap_or(0),
        zones,
        known,
    })
}

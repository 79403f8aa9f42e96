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
    let zones = json::maybe(settings, "zones", json::array)?.unwrap_or_default();
    let zones: Option<Vec<String>> = zones.iter().map(json::word).collect();
    let zones = zones.ok_or("field config: settings.zones holds what is no name")?;
    let known = need(&v, "known.cmds", json::array)?;
    let known: Vec<ListEvent> = known.iter().map(|e| feed::event(e, &zones)).collect::<Result<_, _>>()?;
    let dial = need(settings, "limits.dial_timeout", json::span)?;
    let config = Config {
        name: need(&v, "name", json::word)?,
        listen: need(&v, "listen", address)?,
        channel: need(&v, "channel", address)?,
        seed: need(&v, "seed", seed)?,
        sockets: need(&v, "limits.sockets", json::count)? as usize,
        memory: (need(&v, "limits.memory_mb", json::count)? as usize) << 20,
        open_calls: need(settings, "limits.max_open", json::count)? as usize,
        connect: Duration::from_micros(dial),
        start: from_value(settings)?,
        classes: names(settings, "profiles")?,
        tenants: names(settings, "parties")?,
        cursor: need(&v, "known.cursor", json::whole)?,
        zones,
        known,
    };
    contradictions(&config, settings)?;
    Ok(config)
}

/// Names what cannot all be meant. Guards against a proxy that starts and serves a class, or a tenant, as another.
fn contradictions(config: &Config, settings: &Value) -> Result<(), String> {
    let twice = |path: &str, names: &[String]| {
        let again = (1..names.len()).find(|i| names[..*i].contains(&names[*i]));
        again.map_or(Ok(()), |i| Err(format!("field config: settings.{path} names {} twice", names[i])))
    };
    twice("profiles", &config.classes)?;
    twice("parties", &config.tenants)?;
    if config.classes.is_empty() {
        return Err("field config: settings.profiles is empty".to_owned());
    }
    let pools = json::maybe(settings, "specifics.allowed_pools", json::array)?.map(<[Value]>::len);
    if pools.is_some_and(|n| n != 0 && n != config.classes.len()) {
        return Err(
            "field config: settings.specifics.allowed_pools has not one list for each profile".to_owned()
        );
    }
    for (name, class) in config.classes.iter().zip(&config.start.settings.classes) {
        if class.goal > class.limit {
            return Err(format!(
                "field config: settings.profiles: goal_time of {name} is over its hard_limit"
            ));
        }
    }
    for (field, value) in [
        ("balancers", config.start.settings.nodes),
        ("limits.try_limit", config.start.settings.attempt_limit),
        ("limits.max_open", u32::try_from(config.open_calls).unwrap_or(u32::MAX)),
    ] {
        if value == 0 {
            return Err(format!("field config: settings.{field} cannot be 0"));
        }
    }
    let last = config.known.last().map_or(0, |e| e.cursor);
    if last > config.cursor {
        return Err(format!(
            "field config: known.cursor is {}, but known.cmds goes on to {last}",
            config.cursor
        ));
    }
    Ok(())
}

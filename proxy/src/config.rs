//! What the platform tells a proxy at its start.

use crate::feed::{self, ListEvent};
use fernspan_core::State;
use fernspan_settings::json::{self, Value, need};
use fernspan_settings::{Start, from_value};
use std::net::SocketAddr;
use std::time::Duration;

/// The configuration, read whole.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub channel: SocketAddr,
    /// Where operators call, if the configuration says.
    pub management: Option<SocketAddr>,
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
    misspelt(settings)?;
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
        management: json::maybe(&v, "mgmt", address)?,
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

/// Fields that may be missing: the object that holds them, and their names. Any other that is read has to be there.
const OPTIONAL: [(&str, &[&str]); 5] = [
    ("", &["zones", "parties", "report", "specifics", "costs"]),
    ("costs", &["probe"]),
    ("limits", &["max_retry_after"]),
    ("report", &["columns"]),
    ("specifics", &["allowed_pools", "gives_wait", "repeat", "self_no"]),
];
/// Fields of the page that are like one of these, and that nothing here reads.
const OTHERS: [&str; 1] = ["zone"];
/// Letters that are wrong, missing or too many in a name that was meant to be another, at most.
const SLIPS: usize = 2;

/// Names a field that is unknown where one like it is missing: new fields may come and are skipped, but a misspelt one
/// would be taken for one that the deployment does without.
fn misspelt(settings: &Value) -> Result<(), String> {
    for (path, names) in OPTIONAL {
        let object = if path.is_empty() { Some(settings) } else { json::get(settings, path) };
        let Some(Value::Object(fields)) = object else { continue };
        for name in names.iter().filter(|name| !fields.contains_key(**name)) {
            let like = |key: &&String| {
                let known = names.contains(&key.as_str()) || OTHERS.contains(&key.as_str());
                !known && strsim::osa_distance(key, name) <= SLIPS
            };
            if let Some(key) = fields.keys().find(like) {
                let dot = if path.is_empty() { "" } else { "." };
                return Err(format!("field config: settings.{path}{dot}{key} is unknown; {name} is missing"));
            }
        }
    }
    Ok(())
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
    let s = &config.start.settings;
    let (classes, tenants) = (&s.classes, &s.tenants);
    let none = |field: &str, any: bool| match any {
        true => Err(format!("field config: {field} cannot be 0")),
        false => Ok(()),
    };
    none("settings.balancers", s.nodes == 0)?;
    none("settings.limits.try_limit", s.attempt_limit == 0)?;
    none("settings.limits.max_open", config.open_calls == 0)?;
    none("settings.limits.dial_timeout", config.connect.is_zero())?;
    none("settings.profiles: hard_limit", classes.iter().any(|c| c.limit == 0))?;
    none("settings.contract.fall_multiple", s.fall_multiple == 0.0)?;
    none("limits.sockets", config.sockets == 0)?;
    none("limits.memory_mb", config.memory == 0)?;
    let share = |field: &str, value: f64| match (0.0..=1.0).contains(&value) {
        true => Ok(()),
        false => Err(format!("field config: settings.{field} cannot be {value}")),
    };
    share("over_share_worth", s.over_share_worth)?;
    share("contract.start_capacity", s.start_capacity)?;
    classes.iter().try_for_each(|c| share("profiles: late_worth", c.late_worth))?;
    tenants.iter().try_for_each(|t| share("parties: fraction", t.share))?;
    let below = [("contract.fall_multiple", s.fall_multiple), ("costs.probe", s.probe_price)].into_iter();
    let worths = classes.iter().map(|c| ("profiles: credit", c.worth));
    if let Some((field, value)) = below.chain(worths).find(|f| f.1 < 0.0) {
        return Err(format!("field config: settings.{field} cannot be {value}"));
    }
    let mode = need(settings, "registry_mode", json::text)?;
    if !["automatic", "subscribe"].contains(&mode) {
        return Err(format!("field config: settings.registry_mode cannot be {mode:?}"));
    }
    for server in config.known.iter().flat_map(|e| &e.servers) {
        if server.entry.state != State::Gone && server.addr.parse::<SocketAddr>().is_err() {
            return Err(format!(
                "field config: known.cmds: addr of {} cannot be {:?}",
                server.id, server.addr
            ));
        }
    }
    if let Some(pair) = config.known.windows(2).find(|pair| pair[0].cursor >= pair[1].cursor) {
        return Err(format!(
            "field config: known.cmds: cursor {} follows {}",
            pair[1].cursor, pair[0].cursor
        ));
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

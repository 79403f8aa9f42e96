//! What the platform tells a proxy at its start.

use crate::list_event::{self, ListEvent, ListEventError};
use crate::oddity::{self, Oddity};
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
    /// What is odd in it, and served all the same.
    pub oddities: Vec<Oddity>,
}

/// Why a configuration is turned down.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is no JSON, or a field is missing or cannot be read: the message names it.
    #[error("{0}")]
    Field(String),
    /// An event of the start cannot be read.
    #[error(transparent)]
    Event(#[from] ListEventError),
    /// A zone that is no text.
    #[error("field config: settings.zones holds what is no name")]
    ZoneWithoutName,
    /// There is no class that a set-up could name.
    #[error("field config: settings.profiles is empty")]
    NoClass,
    /// A deadline or number of attempts that is not above 0.
    #[error("field config: {path} cannot be 0")]
    Zero {
        /// The field's path.
        path: &'static str,
    },
}

impl From<String> for ConfigError {
    fn from(message: String) -> Self {
        ConfigError::Field(message)
    }
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

/// Reads the configuration's text. What is odd in it, and served all the same, is in `oddities`.
///
/// # Errors
/// The text is no JSON, or a field that has to be there is missing or cannot be read.
pub fn read(text: &str) -> Result<Config, ConfigError> {
    let v = json::parse(text)?;
    let settings = need(&v, "settings", Some)?;
    let mut oddities = misspelt(settings);
    let zones = json::maybe(settings, "zones", json::array)?.unwrap_or_default();
    let zones: Option<Vec<String>> = zones.iter().map(json::word).collect();
    let zones = zones.ok_or(ConfigError::ZoneWithoutName)?;
    let known = known_events(&v, &zones, &mut oddities)?;
    let dial = need(settings, "limits.dial_timeout", json::span)?;
    let mut config = Config {
        name: need(&v, "name", json::word)?,
        listen: need(&v, "listen", address)?,
        channel: need(&v, "channel", address)?,
        management: management(&v, &mut oddities),
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
        oddities,
    };
    turn_down(&config)?;
    config.check_names(settings)?;
    config.check_figures();
    config.check_cursor();
    Ok(config)
}

/// The management address, if there is one that can be used.
fn management(v: &Value, oddities: &mut Vec<Oddity>) -> Option<SocketAddr> {
    let found = json::get(v, "mgmt")?;
    let usable = address(found);
    if usable.is_none() {
        oddities.push(Oddity::Address { path: "mgmt", value: oddity::shown(found) });
    }
    usable
}

/// The events of the start, each number above the one before.
fn known_events(
    v: &Value,
    zones: &[String],
    oddities: &mut Vec<Oddity>,
) -> Result<Vec<ListEvent>, ConfigError> {
    let mut known: Vec<ListEvent> = Vec::new();
    for event in need(v, "known.cmds", json::array)? {
        let event = list_event::event(event, zones, oddities)?;
        match known.last().map(|e| e.cursor).filter(|before| *before >= event.cursor) {
            Some(before) => oddities.push(Oddity::CursorRepeats { cursor: event.cursor, before }),
            None => known.push(event),
        }
    }
    Ok(known)
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

/// Fields that are unknown where one like them is missing: new fields may come and are skipped, but a misspelt one would be
/// taken, without a word, for one that the deployment does without.
fn misspelt(settings: &Value) -> Vec<Oddity> {
    let mut found = Vec::new();
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
                found.push(Oddity::LikelyMisspelt {
                    path: format!("settings.{path}{dot}{key}"),
                    missing: name,
                });
            }
        }
    }
    found
}

/// Figures without which nothing can be served as it should: a deadline and a number of attempts above 0, and a class.
fn turn_down(config: &Config) -> Result<(), ConfigError> {
    let settings = &config.start.settings;
    if config.classes.is_empty() {
        return Err(ConfigError::NoClass);
    }
    if settings.attempt_limit == 0 {
        return Err(ConfigError::Zero { path: "settings.limits.try_limit" });
    }
    if settings.classes.iter().any(|c| c.limit == 0) {
        return Err(ConfigError::Zero { path: "settings.profiles: hard_limit" });
    }
    Ok(())
}

/// What is taken where a limit is 0: that of a scored day (DEPLOY, 'Limits').
const USUAL_SOCKETS: usize = 1024;
const USUAL_MEMORY: usize = 192 << 20;
/// What is taken for figures of the settings that cannot be.
const USUAL_OPEN_CALLS: usize = 20_000;
const USUAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const USUAL_FALL_MULTIPLE: f64 = 2.0;

impl Config {
    fn check_names(&mut self, settings: &Value) -> Result<(), ConfigError> {
        let lists = [("profiles", &self.classes), ("parties", &self.tenants)];
        for (path, names) in lists {
            if let Some(i) = (1..names.len()).find(|i| names[..*i].contains(&names[*i])) {
                self.oddities.push(Oddity::NamedTwice { path, name: names[i].clone() });
            }
        }
        let pools = json::maybe(settings, "specifics.allowed_pools", json::array)?.map(<[Value]>::len);
        if pools.is_some_and(|n| n != 0 && n != self.classes.len()) {
            self.oddities.push(Oddity::PoolLists);
        }
        let mode = need(settings, "registry_mode", json::text)?;
        if !["automatic", "subscribe"].contains(&mode) {
            self.oddities.push(Oddity::Mode(mode.to_owned()));
        }
        Ok(())
    }

    /// Puts what can be in the place of figures that cannot.
    fn check_figures(&mut self) {
        let odd = &mut self.oddities;
        let mut figure = |path: &str, value: f64, taken: f64| {
            if value != taken {
                odd.push(Oddity::Figure { path: path.to_owned(), value, taken });
            }
            taken
        };
        let or_usual = |value: usize, usual: usize| if value == 0 { usual } else { value };
        let sockets = or_usual(self.sockets, USUAL_SOCKETS);
        figure("limits.sockets", self.sockets as f64, sockets as f64);
        self.sockets = sockets;
        let memory = or_usual(self.memory, USUAL_MEMORY);
        figure("limits.memory_mb", (self.memory >> 20) as f64, (memory >> 20) as f64);
        self.memory = memory;
        let open_calls = or_usual(self.open_calls, USUAL_OPEN_CALLS);
        figure("settings.limits.max_open", self.open_calls as f64, open_calls as f64);
        self.open_calls = open_calls;
        let connect = if self.connect.is_zero() { USUAL_CONNECT_TIMEOUT } else { self.connect };
        let microseconds = |span: Duration| span.as_micros() as f64;
        figure("settings.limits.dial_timeout", microseconds(self.connect), microseconds(connect));
        self.connect = connect;

        let s = &mut self.start.settings;
        s.nodes = figure("settings.balancers", f64::from(s.nodes), f64::from(s.nodes.max(1))) as u32;
        let multiple = if s.fall_multiple > 0.0 { s.fall_multiple } else { USUAL_FALL_MULTIPLE };
        s.fall_multiple = figure("settings.contract.fall_multiple", s.fall_multiple, multiple);
        let share = |value: f64| value.clamp(0.0, 1.0);
        s.over_share_worth =
            figure("settings.over_share_worth", s.over_share_worth, share(s.over_share_worth));
        s.start_capacity =
            figure("settings.contract.start_capacity", s.start_capacity, share(s.start_capacity));
        s.probe_price = figure("settings.costs.probe", s.probe_price, s.probe_price.max(0.0));
        for tenant in &mut s.tenants {
            tenant.share = figure("settings.parties: fraction", tenant.share, share(tenant.share));
        }
        for class in &mut s.classes {
            let (goal, limit) = (class.goal as f64, class.limit as f64);
            figure("settings.profiles: goal_time", goal, goal.min(limit));
            class.goal = class.goal.min(class.limit);
            class.worth = figure("settings.profiles: credit", class.worth, class.worth.max(0.0));
            class.late_worth =
                figure("settings.profiles: late_worth", class.late_worth, share(class.late_worth));
        }
    }

    /// The number of the last event is that of the last one there is, at least.
    fn check_cursor(&mut self) {
        let last = self.known.last().map_or(0, |e| e.cursor);
        if last > self.cursor {
            self.oddities.push(Oddity::CursorBehind { said: self.cursor, last });
            self.cursor = last;
        }
    }
}

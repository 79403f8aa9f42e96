//! The form of a scenario: what stands where, what callers do, and what goes wrong when.
//!
//! A scenario is JSON. [`read`] takes it whole or not at all and names the field at fault;
//! [`schema`] is its JSON schema.

use crate::Time;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Why a scenario was turned down: the field, and what is wrong with it.
#[derive(Debug, PartialEq, Eq)]
pub struct Bad {
    /// Path of the field, as in `faults[2].servers[0]`.
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

/// A lowest and a highest figure, between which one is drawn evenly.
pub type Range = [f64; 2];

/// One scenario.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// A short name for reports.
    pub name: String,
    /// What it is for.
    #[serde(default)]
    pub about: String,
    /// How long calls arrive, in seconds.
    pub seconds: f64,
    /// How long after all proxies are ready the first calls come, in seconds.
    #[serde(default = "defaults::lead")]
    pub lead_s: f64,
    /// How long after the last calls those in progress are watched, in seconds.
    #[serde(default = "defaults::settle")]
    pub settle_s: f64,
    /// Seed of all that is drawn.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// Sites (zones) by name.
    #[serde(default = "defaults::sites")]
    pub sites: Vec<String>,
    /// Delays between and within sites.
    #[serde(default)]
    pub paths: Paths,
    /// The proxies; they are named p0, p1, and so on, and stand at the sites in turn.
    pub proxies: Proxies,
    /// Groups of like setup servers; they are named s0, s1, and so on, across all groups.
    pub servers: Vec<Servers>,
    /// Channels (tenants) that share the servers.
    #[serde(default = "defaults::channels")]
    pub channels: Vec<Channel>,
    /// What callers do.
    pub callers: Callers,
    /// How the list of servers reaches the proxies.
    #[serde(default)]
    pub list: List,
    /// Figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Delays of paths, one way, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Paths {
    /// Within a site.
    pub same_ms: Range,
    /// Between two sites.
    pub between_ms: Range,
}

impl Default for Paths {
    /// The site file's `net`, as one way.
    fn default() -> Self {
        Paths { same_ms: [1.9, 3.4], between_ms: [4.85, 12.5] }
    }
}

/// The proxies.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Proxies {
    /// How many.
    pub count: u32,
    /// Descriptors that each may hold.
    #[serde(default = "defaults::sockets")]
    pub sockets: u32,
    /// Memory that each is told of, in MiB.
    #[serde(default = "defaults::memory")]
    pub memory_mb: u32,
    /// The traffic of the busiest over that of the mean; the others lie evenly below. 1 is even.
    #[serde(default = "defaults::one")]
    pub skew: f64,
}

/// A group of like setup servers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// The site they stand at.
    #[serde(default)]
    pub site: Option<String>,
    /// How many.
    pub count: u32,
    /// Calls a second that a warm processor can do from set-up to release.
    pub rate: f64,
    /// Lines: calls that may be there at once.
    #[serde(default = "defaults::lines")]
    pub lines: u32,
    /// Connections that it takes from all proxies together.
    #[serde(default = "defaults::connections")]
    pub connections: u32,
    /// A set-up is turned away where the processor's wait is longer, in milliseconds.
    #[serde(default = "defaults::refuse")]
    pub refuse_past_ms: f64,
    /// How often load figures are refreshed, in milliseconds.
    #[serde(default = "defaults::refresh")]
    pub refresh_ms: Range,
}

/// A channel.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Channel {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// Its share of the calls; as of the service where left out.
    #[serde(default)]
    pub calls: Option<f64>,
}

/// What callers do.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// First tries a second, over the whole fleet.
    pub rate: f64,
    /// A call should stand by then, in milliseconds from the first try.
    #[serde(default = "defaults::goal")]
    pub goal_ms: f64,
    /// A caller gives up by then, in milliseconds from the first try.
    #[serde(default = "defaults::limit")]
    pub limit_ms: f64,
    /// One try is given up after this share of the limit.
    #[serde(default = "defaults::try_share")]
    pub try_share: Range,
    /// Redials of a caller at most.
    #[serde(default = "defaults::redials")]
    pub redials: u32,
    /// Wait before a redial, in milliseconds.
    #[serde(default = "defaults::redial")]
    pub redial_ms: Range,
    /// Share of the callers that heed the wait in a refusal.
    #[serde(default = "defaults::half")]
    pub heed: f64,
    /// Mean length of a call, in milliseconds.
    #[serde(default = "defaults::hold")]
    pub hold_ms: f64,
    /// Share of the calls that the caller ends.
    #[serde(default = "defaults::tenth")]
    pub hang_up: f64,
    /// Share of the tries whose caller leaves early.
    #[serde(default)]
    pub impatient: f64,
    /// How often the weights of first choices are drawn anew, in seconds.
    #[serde(default = "defaults::shift")]
    pub shift_s: Range,
    /// How unlike the weights of first choices are: 0 is by size alone.
    #[serde(default = "defaults::unlike")]
    pub unlike: f64,
    /// Stretches with more calls.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// A stretch with more or fewer calls.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// From when, in seconds.
    pub at_s: f64,
    /// For how long, in seconds.
    pub for_s: f64,
    /// How many times the usual.
    pub factor: f64,
}

/// How the list of servers reaches the proxies.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// How late a planned change is listed, in milliseconds.
    pub planned_ms: Range,
    /// How late the loss of a server is listed, in milliseconds.
    pub lost_ms: Range,
    /// How far the proxies' times of one event lie apart, in milliseconds.
    pub spread_ms: f64,
}

impl Default for List {
    fn default() -> Self {
        List { planned_ms: [600.0, 2_000.0], lost_ms: [4_400.0, 8_000.0], spread_ms: 200.0 }
    }
}

/// Figures of the rules.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Nothing new goes to a server this long after the proxy was told that it drains or is gone.
    pub drain_ms: f64,
    /// A cold server falls over when sent more than this multiple of what it can do.
    pub fall_multiple: f64,
    /// For this long.
    pub fall_ms: f64,
    /// A server starts at this share of its capacity.
    pub start_capacity: f64,
    /// And is warm after this.
    pub warm_ms: f64,
    /// A call is not sent again earlier than this after an attempt that may have run.
    pub release_wait_ms: f64,
    /// Attempts of one call at most.
    pub attempts: u32,
    /// How long an answer may come after the caller's time.
    pub answer_ms: f64,
    /// How much longer every time limit is on sockets.
    pub slack_ms: f64,
    /// What stood is released towards its caller by then.
    pub release_ms: f64,
    /// The same where the server could send no release, from the call's end.
    pub unsaid_ms: f64,
    /// What the command channel has to tell counts as told by then, whether it was read or not.
    pub told_ms: f64,
    /// Connections of one proxy to one server at most.
    pub connections: u32,
}

impl Default for Rules {
    /// PROTOCOL and BRIEF.
    fn default() -> Self {
        Rules {
            drain_ms: 1_000.0,
            fall_multiple: 2.0,
            fall_ms: 1_000.0,
            start_capacity: 0.31,
            warm_ms: 15_000.0,
            release_wait_ms: 300.0,
            attempts: 4,
            answer_ms: 20.0,
            slack_ms: 50.0,
            release_ms: 1_000.0,
            unsaid_ms: 8_000.0,
            told_ms: 7_000.0,
            connections: 4,
        }
    }
}

/// Something that goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// From when, in seconds.
    pub at_s: f64,
    /// For how long, in seconds. Left out where it is over at once.
    #[serde(default)]
    pub for_s: f64,
    /// What it is.
    pub kind: Kind,
    /// Which servers: `s3`, `s3-s5`, `@site`, or `all`.
    #[serde(default)]
    pub servers: Vec<String>,
    /// Which proxies: `p3`, `p3-p5`, `@site`, `all`, or `70%` of them, drawn.
    #[serde(default)]
    pub proxies: Vec<String>,
    /// For `slow`: how many times slower. For `erring`: the share of set-ups that fail.
    #[serde(default)]
    pub by: Option<f64>,
    /// For `pause`: by how much the proxy's clock has stepped once it goes on, in milliseconds (emulator only).
    #[serde(default)]
    pub step_ms: f64,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A path is gone: what is on its connections is lost for good, and new ones never come up.
    Drop,
    /// A path holds all bytes and passes them on later; new connections never come up.
    Stall,
    /// Bytes towards servers are held; new connections never come up.
    ToServer,
    /// Bytes towards proxies are held; new connections never come up.
    ToProxy,
    /// The server's end has forgotten the connections there are; they stay open and silent. New ones work.
    HalfOpen,
    /// All connections of a path are reset, once.
    Reset,
    /// New connections are refused; those there are live on.
    Refuse,
    /// A processor is slower.
    Slow,
    /// A machine says nothing, and returns cold with its calls cut.
    Silent,
    /// A share of the set-ups ends with an error.
    Erring,
    /// A server answers connections and loses set-ups.
    Deaf,
    /// A server's process dies, and starts again cold once the time is over.
    Crash,
    /// A server drains, stops, and another takes up its address, cold.
    Replace,
    /// A server is listed as draining, and as serving again.
    Drain,
    /// A proxy is killed, and started again once the time is over.
    Kill,
    /// A proxy is stopped, and goes on.
    Pause,
    /// A planned restart of a proxy: SIGTERM, and a new start once it has ended.
    Restart,
    /// A proxy is replaced: another starts, then this one gets SIGTERM.
    Swap,
    /// The command channel of a proxy says nothing and takes no connection.
    Channel,
}

/// What a fault is done to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The paths between its servers and its proxies.
    Path,
    /// Its servers.
    Server,
    /// Its proxies.
    Proxy,
    /// The command channels of its proxies.
    Channel,
}

impl Kind {
    /// What it is done to.
    pub fn subject(self) -> Subject {
        match self {
            Kind::Drop
            | Kind::Stall
            | Kind::ToServer
            | Kind::ToProxy
            | Kind::HalfOpen
            | Kind::Reset
            | Kind::Refuse => Subject::Path,
            Kind::Slow
            | Kind::Silent
            | Kind::Erring
            | Kind::Deaf
            | Kind::Crash
            | Kind::Replace
            | Kind::Drain => Subject::Server,
            Kind::Kill | Kind::Pause | Kind::Restart | Kind::Swap => Subject::Proxy,
            Kind::Channel => Subject::Channel,
        }
    }

    /// Whether it is over at once.
    pub fn momentary(self) -> bool {
        matches!(self, Kind::Reset | Kind::HalfOpen | Kind::Swap)
    }

    /// Its name in the form.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
    }
}

mod defaults {
    pub fn lead() -> f64 {
        0.5
    }
    pub fn settle() -> f64 {
        4.0
    }
    pub fn seed() -> u64 {
        1
    }
    pub fn sites() -> Vec<String> {
        vec!["one".to_owned()]
    }
    pub fn channels() -> Vec<super::Channel> {
        vec![super::Channel { name: "all".to_owned(), share: 1.0, calls: None }]
    }
    pub fn sockets() -> u32 {
        256
    }
    pub fn memory() -> u32 {
        64
    }
    pub fn one() -> f64 {
        1.0
    }
    pub fn lines() -> u32 {
        400
    }
    pub fn connections() -> u32 {
        1_000
    }
    pub fn refuse() -> f64 {
        2_800.0
    }
    pub fn refresh() -> super::Range {
        [100.0, 550.0]
    }
    pub fn goal() -> f64 {
        1_200.0
    }
    pub fn limit() -> f64 {
        9_000.0
    }
    pub fn try_share() -> super::Range {
        [0.3, 0.4]
    }
    pub fn redials() -> u32 {
        2
    }
    pub fn redial() -> super::Range {
        [540.0, 1_600.0]
    }
    pub fn half() -> f64 {
        0.5
    }
    pub fn hold() -> f64 {
        9_000.0
    }
    pub fn tenth() -> f64 {
        0.1
    }
    pub fn shift() -> super::Range {
        [10.0, 20.0]
    }
    pub fn unlike() -> f64 {
        0.4
    }
}

/// Microseconds of a number of milliseconds.
pub fn ms(ms: f64) -> Time {
    (ms.max(0.0) * 1_000.0) as Time
}

/// Microseconds of a number of seconds.
pub fn secs(s: f64) -> Time {
    ms(s * 1_000.0)
}

/// The JSON schema of the form.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Scenario).to_value()
}

/// Reads a scenario and checks it.
///
/// # Errors
/// One field that is unknown, missing, of the wrong type or out of its bounds.
pub fn read(text: &str) -> Result<Scenario, Bad> {
    let mut from = serde_json::Deserializer::from_str(text);
    let scenario: Scenario = serde_path_to_error::deserialize(&mut from).map_err(|e| {
        let path = e.path().to_string();
        bad(
            if matches!(path.as_str(), "." | "?") { "(file)".to_owned() } else { path },
            e.into_inner().to_string(),
        )
    })?;
    from.end().map_err(|e| bad("(file)", e.to_string()))?;
    scenario.check()?;
    Ok(scenario)
}

/// A fault with its targets by number.
#[derive(Clone, Debug)]
pub struct Planned {
    /// From when.
    pub from: Time,
    /// Until when.
    pub until: Time,
    /// What it is.
    pub kind: Kind,
    /// Numbers of the servers' places.
    pub servers: Vec<usize>,
    /// Numbers of the proxies; for a drawn share, that share.
    pub proxies: Targets,
    /// How much.
    pub by: f64,
    /// Step of the clock, in microseconds.
    pub step: Time,
}

/// Proxies that a fault is done to.
#[derive(Clone, Debug, PartialEq)]
pub enum Targets {
    /// These.
    Named(Vec<usize>),
    /// This share of all, drawn when it begins.
    Drawn(f64),
}

impl Targets {
    /// How many of `all` proxies they are.
    pub fn count(&self, all: usize) -> usize {
        match self {
            Targets::Named(named) => named.len(),
            Targets::Drawn(share) => ((share * all as f64).round() as usize).min(all),
        }
    }
}

impl Scenario {
    /// Sites of the servers by number.
    pub fn server_sites(&self) -> Vec<usize> {
        let site = |g: &Servers| g.site.as_ref().and_then(|n| self.sites.iter().position(|s| s == n));
        let mut next = 0..;
        let mut sites = Vec::new();
        for group in &self.servers {
            for _ in 0..group.count {
                let turn = next.next().unwrap_or(0) % self.sites.len().max(1);
                sites.push(site(group).unwrap_or(turn));
            }
        }
        sites
    }

    /// The group of each server.
    pub fn server_groups(&self) -> Vec<&Servers> {
        self.servers.iter().flat_map(|g| std::iter::repeat_n(g, g.count as usize)).collect()
    }

    /// Site of a proxy.
    pub fn proxy_site(&self, proxy: usize) -> usize {
        proxy % self.sites.len().max(1)
    }

    /// Another number of proxies, with calls and the servers' sizes in proportion, so that the load of a server
    /// and of a proxy stay as they were. Faults that name a proxy beyond the number are bad.
    ///
    /// # Errors
    /// As [`read`].
    pub fn resize(&mut self, proxies: u32) -> Result<(), Bad> {
        let times = f64::from(proxies) / f64::from(self.proxies.count.max(1));
        self.proxies.count = proxies;
        self.callers.rate *= times;
        for group in &mut self.servers {
            group.rate *= times;
            group.lines = ((f64::from(group.lines) * times).ceil() as u32).max(1);
            group.connections = ((f64::from(group.connections) * times).ceil() as u32).max(1);
        }
        self.check()
    }

    fn check(&self) -> Result<(), Bad> {
        let positive = |field: &str, value: f64| match value > 0.0 && value.is_finite() {
            true => Ok(()),
            false => Err(bad(field, format!("has to be above 0, not {value}"))),
        };
        let share = |field: &str, value: f64| match (0.0..=1.0).contains(&value) {
            true => Ok(()),
            false => Err(bad(field, format!("has to be from 0 to 1, not {value}"))),
        };
        let range = |field: &str, value: Range| match value[0] >= 0.0 && value[0] <= value[1] {
            true => Ok(()),
            false => Err(bad(field, "has to be a lowest and a highest figure, in this order")),
        };
        positive("seconds", self.seconds)?;
        if self.seconds > 3_600.0 {
            return Err(bad("seconds", "has to be 3600 at most"));
        }
        for (field, value) in [("settle_s", self.settle_s), ("lead_s", self.lead_s)] {
            if !(0.0..=120.0).contains(&value) {
                return Err(bad(field, "has to be from 0 to 120"));
            }
        }
        if self.sites.is_empty() || self.sites.iter().collect::<BTreeSet<_>>().len() != self.sites.len() {
            return Err(bad("sites", "has to name at least one site, and none twice"));
        }
        if !(1..=20_000).contains(&self.proxies.count) {
            return Err(bad("proxies.count", "has to be from 1 to 20000"));
        }
        if self.proxies.sockets < 16 {
            return Err(bad("proxies.sockets", "has to be 16 at least"));
        }
        if !(1.0..=50.0).contains(&self.proxies.skew) {
            return Err(bad("proxies.skew", "has to be from 1 to 50"));
        }
        let mut servers = 0;
        for (i, g) in self.servers.iter().enumerate() {
            let field = |name: &str| format!("servers[{i}].{name}");
            if let Some(site) = g.site.as_ref().filter(|s| !self.sites.contains(s)) {
                return Err(bad(field("site"), format!("there is no site {site}")));
            }
            positive(&field("rate"), g.rate)?;
            positive(&field("refuse_past_ms"), g.refuse_past_ms)?;
            range(&field("refresh_ms"), g.refresh_ms)?;
            positive(&field("refresh_ms"), g.refresh_ms[0])?;
            if g.lines == 0 || g.connections == 0 {
                return Err(bad(field("lines"), "lines and connections have to be above 0"));
            }
            servers += g.count;
        }
        if !(1..=500).contains(&servers) {
            return Err(bad("servers", format!("have to be from 1 to 500 in all, not {servers}")));
        }
        let names: BTreeSet<&str> = self.channels.iter().map(|c| c.name.as_str()).collect();
        if names.is_empty() || names.len() != self.channels.len() {
            return Err(bad("channels", "have to be at least one, and none twice"));
        }
        for (i, c) in self.channels.iter().enumerate() {
            share(&format!("channels[{i}].share"), c.share)?;
            if c.name.is_empty() || c.name.contains(|c: char| !c.is_ascii_graphic()) {
                return Err(bad(format!("channels[{i}].name"), "has to be a word"));
            }
        }
        let c = &self.callers;
        positive("callers.rate", c.rate)?;
        positive("callers.goal_ms", c.goal_ms)?;
        positive("callers.hold_ms", c.hold_ms)?;
        if c.limit_ms < c.goal_ms || c.limit_ms > 60_000.0 {
            return Err(bad("callers.limit_ms", "has to lie between goal_ms and 60000"));
        }
        range("callers.try_share", c.try_share)?;
        share("callers.try_share", c.try_share[1])?;
        range("callers.redial_ms", c.redial_ms)?;
        range("callers.shift_s", c.shift_s)?;
        positive("callers.shift_s", c.shift_s[0])?;
        for (field, value) in [
            ("callers.heed", c.heed),
            ("callers.hang_up", c.hang_up),
            ("callers.impatient", c.impatient),
            ("callers.unlike", c.unlike),
            ("rules.start_capacity", self.rules.start_capacity),
        ] {
            share(field, value)?;
        }
        for (i, b) in c.bursts.iter().enumerate() {
            positive(&format!("callers.bursts[{i}].factor"), b.factor)?;
            positive(&format!("callers.bursts[{i}].for_s"), b.for_s)?;
        }
        range("paths.same_ms", self.paths.same_ms)?;
        range("paths.between_ms", self.paths.between_ms)?;
        range("list.planned_ms", self.list.planned_ms)?;
        range("list.lost_ms", self.list.lost_ms)?;
        self.plan().map(|_| ())
    }

    /// The faults with their targets, in order of time.
    ///
    /// # Errors
    /// A fault that names what does not exist, or two that are done to one subject at the same time.
    pub fn plan(&self) -> Result<Vec<Planned>, Bad> {
        let mut plan: Vec<(usize, Planned)> = Vec::new();
        for (i, f) in self.faults.iter().enumerate() {
            let field = |name: &str| format!("faults[{i}].{name}");
            if !(0.0..=self.seconds).contains(&f.at_s) {
                return Err(bad(field("at_s"), format!("has to be from 0 to {}", self.seconds)));
            }
            if f.kind.momentary() != (f.for_s == 0.0) || f.for_s < 0.0 {
                let why = if f.kind.momentary() { "is over at once" } else { "needs a time above 0" };
                return Err(bad(field("for_s"), format!("{} {why}", f.kind.name())));
            }
            let subject = f.kind.subject();
            let (by, bounds) = match f.kind {
                Kind::Slow => (f.by.unwrap_or(2.0), 1.0..=100.0),
                Kind::Erring => (f.by.unwrap_or(1.0), 0.0..=1.0),
                _ if f.by.is_some() => {
                    return Err(bad(field("by"), format!("{} has no such figure", f.kind.name())));
                }
                _ => (0.0, 0.0..=0.0),
            };
            if !bounds.contains(&by) {
                let why = format!("has to be from {} to {}", bounds.start(), bounds.end());
                return Err(bad(field("by"), why));
            }
            if f.step_ms != 0.0 && f.kind != Kind::Pause {
                return Err(bad(field("step_ms"), "goes with pause only"));
            }
            if !(0.0..=3_600_000.0).contains(&f.step_ms) {
                return Err(bad(field("step_ms"), "has to be from 0 to 3600000"));
            }
            let servers = self.targets(&f.servers, 's', &self.server_sites(), &field("servers"))?;
            let sites: Vec<usize> = (0..self.proxies.count as usize).map(|p| self.proxy_site(p)).collect();
            let proxies = match f.proxies.as_slice() {
                [one] if one.ends_with('%') => {
                    let part = one.trim_end_matches('%').parse::<f64>().ok().map(|p| p / 100.0);
                    let part = part.filter(|p| (0.0..=1.0).contains(p));
                    Targets::Drawn(part.ok_or_else(|| bad(field("proxies"), format!("{one} is no share")))?)
                }
                [] if subject == Subject::Path => Targets::Named((0..sites.len()).collect()),
                names => Targets::Named(self.targets(names, 'p', &sites, &field("proxies"))?),
            };
            let takes_servers = matches!(subject, Subject::Path | Subject::Server);
            if takes_servers == servers.is_empty() {
                let why = if takes_servers { "has to name one" } else { "is not for this kind" };
                return Err(bad(field("servers"), why));
            }
            let none = proxies == Targets::Named(Vec::new());
            if (subject == Subject::Server) != none {
                let why = if none { "has to name one" } else { "is not for this kind" };
                return Err(bad(field("proxies"), why));
            }
            let from = secs(f.at_s);
            let until = from + secs(f.for_s);
            let step = ms(f.step_ms);
            plan.push((i, Planned { from, until, kind: f.kind, servers, proxies, by, step }));
        }
        for (n, (i, a)) in plan.iter().enumerate() {
            for (j, b) in &plan[..n] {
                if a.kind.subject() == b.kind.subject()
                    && a.from <= b.until
                    && b.from <= a.until
                    && let Some(what) = self.both(a, b)
                {
                    let why = format!("overlaps faults[{j}] ({} at {what})", b.kind.name());
                    return Err(bad(format!("faults[{i}]"), why));
                }
            }
        }
        let mut plan: Vec<Planned> = plan.into_iter().map(|(_, f)| f).collect();
        plan.sort_by_key(|f| f.from);
        Ok(plan)
    }

    /// What two faults of one subject are both done to.
    fn both(&self, a: &Planned, b: &Planned) -> Option<String> {
        let server = a.servers.iter().find(|s| b.servers.contains(s)).map(|s| format!("s{s}"));
        let proxy = match (&a.proxies, &b.proxies) {
            (Targets::Named(x), Targets::Named(y)) => {
                x.iter().find(|p| y.contains(p)).map(|p| format!("p{p}"))
            }
            _ => Some("a drawn proxy".to_owned()),
        };
        match a.kind.subject() {
            Subject::Path => proxy.and(server),
            Subject::Server => server,
            Subject::Proxy | Subject::Channel => proxy,
        }
    }

    fn targets(
        &self,
        names: &[String],
        letter: char,
        sites: &[usize],
        field: &str,
    ) -> Result<Vec<usize>, Bad> {
        let mut found = BTreeSet::new();
        for (i, name) in names.iter().enumerate() {
            let field = format!("{field}[{i}]");
            let number = |n: &str| -> Result<usize, Bad> {
                let parsed = n.strip_prefix(letter).and_then(|n| n.parse::<usize>().ok());
                let parsed = parsed.ok_or_else(|| bad(&field, format!("{name} names nothing")))?;
                match parsed < sites.len() {
                    true => Ok(parsed),
                    false => Err(bad(&field, format!("there is no {n}"))),
                }
            };
            if name == "all" {
                found.extend(0..sites.len());
            } else if let Some(site) = name.strip_prefix('@') {
                let at = self.sites.iter().position(|s| s == site);
                let at = at.ok_or_else(|| bad(&field, format!("there is no site {site}")))?;
                found.extend((0..sites.len()).filter(|n| sites[*n] == at));
            } else if let Some((first, last)) = name.split_once('-') {
                found.extend(number(first)?..=number(last)?);
            } else {
                found.insert(number(name)?);
            }
        }
        Ok(found.into_iter().collect())
    }
}

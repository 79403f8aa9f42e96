//! What a proxy is told at its start (DEPLOY), as the platform would write it.

use fernspan_model::message::{Entry, ListEvent, Listed};
use fernspan_model::scenario::Scenario;
use fernspan_model::world::CLASS;
use serde_json::{Value, json};

/// The settings, as in the simulator's first message. Times are in microseconds.
pub fn settings(scenario: &Scenario, proxy: usize, site: usize) -> Value {
    let us = |ms: f64| (ms * 1_000.0) as u64;
    let r = &scenario.rules;
    let c = &scenario.callers;
    let rates: f64 = scenario.server_groups().iter().map(|g| g.rate).sum();
    let parties: Vec<Value> = scenario
        .channels
        .iter()
        .map(|ch| json!({"name": ch.name, "fraction": ch.share, "allowance_per_s": ch.share * rates}))
        .collect();
    let places: Vec<usize> = (0..scenario.server_groups().len()).collect();
    json!({
        "balancers": scenario.proxies.count,
        "clients": {"marks_retry": true},
        "contract": {
            "answer_slack": us(r.answer_ms), "ask_every": 10_000_000, "cold": us(r.warm_ms),
            "fall": us(r.fall_ms), "fall_multiple": r.fall_multiple, "start_capacity": r.start_capacity,
            "stop_sending_within": us(r.drain_ms),
        },
        "costs": {"handshake": 0.0, "late_fail": 0.053, "waste": 0.16},
        "counted_by": "request",
        "limits": {
            "cancel": true, "conn_idle": 600_000_000, "cpu_us_per_s": 400_000, "dial_timeout": 500_000,
            "max_open": 20_000, "max_retry_after": 2_000_000, "parallel_tries": false, "peers": false,
            "probes": false, "retry_after": true, "try_limit": r.attempts,
        },
        "me": proxy,
        "over_share_worth": 0.05,
        "parties": parties,
        "profiles": [{
            "credit": 1.0, "effect": "safe", "goal_time": us(c.goal_ms), "group": "all",
            "hard_limit": us(c.limit_ms), "late_worth": 0.25, "name": CLASS, "stream": true,
            "window": 5_000_000,
        }],
        "registry_mode": "automatic",
        "report": {"columns": ["spare", "total", "cpu_share", "pending"], "how": "inline"},
        "specifics": {
            "allowed_pools": [places], "channels_needed": [1], "class_hold": [us(c.hold_ms)],
            "gives_wait": true, "hints_route": false, "layout": "groups", "release_guard": us(r.release_wait_ms),
            "remote_load": "inline", "repeat": 0, "self_no": -1,
        },
        "workload": "trunks",
        "zone": site,
        "zones": scenario.sites,
    })
}

/// An event of the command channel. `address` gives a place's address, and `unix_ms` a time's Unix millisecond.
pub fn event(
    e: &ListEvent,
    sites: &[String],
    address: &dyn Fn(usize) -> String,
    unix_ms: &dyn Fn(u64) -> u64,
) -> Value {
    let server = |s: &Entry| {
        let state = match s.state {
            Listed::Serving => "SERVING",
            Listed::Draining => "DRAINING",
            Listed::Deleted => "DELETED",
        };
        json!({
            "id": s.id, "addr": address(s.place), "zone": sites.get(s.site), "kind": "small-1c",
            "cell": s.place, "state": state, "weight": 1, "started_ms": s.started.map_or(0, unix_ms),
        })
    };
    let servers: Vec<Value> = e.entries.iter().map(server).collect();
    json!({"cursor": e.cursor, "nodes": {"version": e.cursor, "full": e.full, "servers": servers}})
}

/// The whole configuration of one proxy.
pub struct Told<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// Number of the proxy.
    pub proxy: usize,
    /// Its site.
    pub site: usize,
    /// Where callers connect.
    pub listen: String,
    /// Where its command channel is.
    pub channel: String,
    /// Its seed.
    pub seed: u64,
    /// The events that it has at its start.
    pub known: Vec<Value>,
    /// Number of the last of them.
    pub cursor: u64,
}

impl Told<'_> {
    /// As the file that `PROXY_CONFIG` names.
    pub fn text(&self) -> String {
        let p = &self.scenario.proxies;
        json!({
            "name": format!("p{}", self.proxy),
            "listen": self.listen,
            "seed": format!("{:016x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": p.memory_mb, "sockets": p.sockets},
            "channel": self.channel,
            "known": {"cursor": self.cursor, "cmds": self.known},
            "settings": settings(self.scenario, self.proxy, self.site),
        })
        .to_string()
    }
}

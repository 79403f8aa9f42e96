//! The operator's file: the ENUM front's settings, and its name servers in xDS form.

use crate::hub::Message;
use crate::limits::Limits;
use crate::xds::{self, Cluster};
use async_channel::Sender;
use async_io::Timer;
use fernspan_core::{Class, Effect, Group, ListKind, Settings};
use fernspan_settings::json::{self, Value, maybe, need};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the file says.
pub struct Operator {
    pub listen: SocketAddr,
    /// Labels that end the names that are answered.
    pub zone: Vec<String>,
    /// An asker's patience.
    pub patience: Duration,
    /// Time-out of one attempt.
    pub attempt: Duration,
    /// Most queries without an answer.
    pub open: usize,
    /// Most attempts out at one name server.
    pub most_out: usize,
    /// For a run that can be repeated; else drawn.
    pub seed: Option<u64>,
    pub settings: Settings,
    pub cluster: Cluster,
}

/// Descriptors that the front may hold, and bytes of memory.
const SOCKETS: usize = 1024;
const MEMORY: usize = 64 << 20;

impl Operator {
    /// The program's limits, with what the file says of them.
    pub fn limits(&self) -> Limits {
        let longest = self.patience.as_micros() as u64;
        let limits = Limits::new(SOCKETS, MEMORY, self.open, self.cluster.connect_timeout, longest);
        Limits { attempt: self.attempt, out_per_server: self.most_out, ..limits }
    }
}

/// No call may last longer, whatever the file says.
const PATIENCE_MOST: u64 = 9_000;

fn address(v: &Value) -> Option<SocketAddr> {
    json::text(v)?.parse().ok()
}

fn zone(v: &Value) -> Option<Vec<String>> {
    let labels: Vec<String> =
        json::text(v)?.trim_end_matches('.').split('.').map(str::to_ascii_lowercase).collect();
    labels.iter().all(|l| (1..64).contains(&l.len())).then_some(labels)
}

/// Reads the file's text.
pub fn read(text: &str) -> Result<Operator, String> {
    let v = json::parse(text)?;
    let at_least_one = |path: &str, usual: u64| match maybe(&v, path, json::whole)?.unwrap_or(usual) {
        0 => Err(format!("field config: {path} cannot be 0")),
        n => Ok(n),
    };
    let patience = at_least_one("enum.patience_ms", 3_000)?;
    if patience > PATIENCE_MOST {
        return Err(format!("field config: enum.patience_ms cannot be over {PATIENCE_MOST}"));
    }
    let attempt = at_least_one("enum.attempt_ms", 800)?;
    let name = need(&v, "enum.cluster", json::text)?;
    let class = Class {
        name: "look-up".to_owned(),
        goal: at_least_one("enum.goal_ms", 1_200)? * 1000,
        limit: patience * 1000,
        worth: 1.0,
        late_worth: 0.25,
        effect: Effect::Safe,
        group: Group::All,
        window: 0,
        places: None,
    };
    let settings = Settings {
        nodes: 1,
        classes: vec![class],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        attempt_limit: u32::try_from(at_least_one("enum.attempts", 4)?).unwrap_or(u32::MAX),
        release_wait: 300_000,
        start_capacity: 0.31,
        cold: 15_000_000,
        fall_multiple: 2.0,
        fall: 1_000_000,
        repeat: None,
        max_hold_off: Some(2_000_000),
        may_cancel: true,
        may_probe: false,
        probe_price: 0.0,
        may_tell: false,
        ask_list: None,
        own_place: None,
    };
    Ok(Operator {
        listen: need(&v, "enum.listen", address)?,
        zone: maybe(&v, "enum.zone", zone)?.unwrap_or_else(|| vec!["e164".to_owned(), "arpa".to_owned()]),
        patience: Duration::from_millis(patience),
        attempt: Duration::from_millis(attempt),
        open: at_least_one("enum.open", 256)? as usize,
        most_out: at_least_one("enum.out_per_server", 64)? as usize,
        seed: maybe(&v, "enum.seed", json::whole)?,
        settings,
        cluster: xds::cluster(&v, name)?,
    })
}

/// Reads the file again when it has changed; a file that cannot be read leaves the list as it was.
pub async fn watch(path: PathBuf, mut text: String, every: Duration, core: Sender<Message>) {
    loop {
        Timer::after(every).await;
        let Ok(now) = std::fs::read_to_string(&path) else { continue };
        if now == text {
            continue;
        }
        match read(&now) {
            Ok(operator) => {
                if core.send(Message::List(ListKind::Whole, operator.cluster.servers)).await.is_err() {
                    return;
                }
            }
            Err(e) => tracing::warn!("{}: {e}; the name servers stay as they are", path.display()),
        }
        text = now;
    }
}

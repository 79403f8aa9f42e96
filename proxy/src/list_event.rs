//! Events of the list of servers, as the configuration and the command channel hold them.

use crate::hub::ListedServer;
use crate::oddity::Oddity;
use fernspan_core::{Entry, ListKind, State};
use fernspan_settings::json::{self, Value};
use std::net::SocketAddr;

/// Why an event cannot be read, or a server of it cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ListEventError {
    /// A field is missing or cannot be read: the message names it.
    #[error("{0}")]
    Field(String),
    /// A server's address that is none.
    #[error("addr of {id} cannot be {addr:?}")]
    Address {
        /// The server.
        id: String,
        /// Its address.
        addr: String,
    },
}

impl From<String> for ListEventError {
    fn from(message: String) -> Self {
        ListEventError::Field(message)
    }
}

/// One event: its number and what it says.
#[derive(Debug)]
pub struct ListEvent {
    pub cursor: u64,
    pub kind: ListKind,
    pub servers: Vec<ListedServer>,
}

/// Reads one event. `zones` gives the zones their numbers. A server that cannot be used is left out: one that this program
/// does not understand must not keep it from the others.
pub fn event(v: &Value, zones: &[String], oddities: &mut Vec<Oddity>) -> Result<ListEvent, ListEventError> {
    let cursor = json::need(v, "cursor", json::whole)?;
    let whole = json::maybe(v, "nodes.full", json::flag)?.unwrap_or(cursor == 1);
    let mut servers = Vec::new();
    for s in json::maybe(v, "nodes.servers", json::array)?.unwrap_or_default() {
        match server(s, zones, oddities) {
            Ok(listed) => servers.push(listed),
            Err(reason) => {
                let id = json::get(s, "id").and_then(json::word).unwrap_or_default();
                oddities.push(Oddity::ServerLeftOut { id, reason: reason.to_string() });
            }
        }
    }
    Ok(ListEvent { cursor, kind: if whole { ListKind::Whole } else { ListKind::Changes }, servers })
}

fn server(v: &Value, zones: &[String], oddities: &mut Vec<Oddity>) -> Result<ListedServer, ListEventError> {
    let id = json::need(v, "id", json::word)?;
    let state = match json::need(v, "state", json::text)? {
        "SERVING" => State::Ready,
        "DRAINING" => State::Draining,
        "DELETED" => State::Gone,
        other => {
            oddities.push(Oddity::ServerState { id: id.clone(), state: other.to_owned() });
            State::Draining
        }
    };
    // What has gone needs no address.
    let addr = json::maybe(v, "addr", json::word)?.unwrap_or_default();
    if state != State::Gone && addr.parse::<SocketAddr>().is_err() {
        return Err(ListEventError::Address { id, addr });
    }
    let zone = json::maybe(v, "zone", json::text)?;
    let started = json::maybe(v, "started_ms", json::span)?.filter(|ms| *ms > 0);
    let entry = Entry {
        server: 0,
        zone: zone.and_then(|z| zones.iter().position(|n| n == z)).map_or(0, |i| i as u32),
        place: json::need(v, "cell", json::place)?,
        started: started.map(|ms| ms.saturating_mul(1000)),
        state,
    };
    Ok(ListedServer { id, addr, entry })
}

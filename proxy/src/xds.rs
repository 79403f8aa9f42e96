//! Envoy's clusters and endpoints (xDS v3) in proto3 JSON, as in a file that Envoy itself would read:
//! `{"resources":[{"@type":"type.googleapis.com/envoy.config.cluster.v3.Cluster",...},...]}`.
//!
//! Field names may be in lowerCamelCase or as in the proto files, enums by name or number, and whole numbers
//! in quotes, as the proto3 JSON mapping has it. Unknown fields are skipped.

use crate::hub::ListedServer;
use fernspan_core::{Entry, Place, State};
use fernspan_settings::json::{self, Value};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

const CLUSTER: &str = "envoy.config.cluster.v3.Cluster";
const ASSIGNMENT: &str = "envoy.config.endpoint.v3.ClusterLoadAssignment";

/// One cluster with its endpoints.
#[derive(Debug)]
pub struct Cluster {
    pub connect_timeout: Duration,
    pub servers: Vec<ListedServer>,
}

/// A field by its proto name, in either spelling.
fn field<'a>(v: &'a Value, name: &str) -> Option<&'a Value> {
    let mut camel = String::new();
    for part in name.split('_') {
        match camel.is_empty() {
            true => camel.push_str(part),
            false => camel
                .extend(part.char_indices().map(|(i, c)| if i == 0 { c.to_ascii_uppercase() } else { c })),
        }
    }
    json::get(v, name).or_else(|| json::get(v, &camel))
}

fn text<'a>(v: &'a Value, name: &str) -> Option<&'a str> {
    field(v, name).and_then(json::text)
}

fn list<'a>(v: &'a Value, name: &str) -> Result<&'a [Value], String> {
    match field(v, name) {
        None => Ok(&[]),
        Some(found) => json::array(found).ok_or_else(|| format!("{name} is no list")),
    }
}

/// A uint32, which may stand in quotes.
fn whole(v: &Value) -> Option<u32> {
    json::count(v).or_else(|| json::text(v)?.parse().ok())
}

/// A duration, as in `0.5s`.
fn duration(v: &Value) -> Option<Duration> {
    let seconds: f64 = json::text(v)?.strip_suffix('s')?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// The resources of one type.
fn resources<'a>(file: &'a Value, kind: &'a str) -> Result<impl Iterator<Item = &'a Value>, String> {
    let of_kind = move |r: &&Value| {
        let found = json::get(r, "@type").and_then(json::text);
        found.is_some_and(|t| t.rsplit('/').next() == Some(kind))
    };
    Ok(list(file, "resources")?.iter().filter(of_kind))
}

/// The cluster of that name, with the endpoints that it names or holds.
pub fn cluster(file: &Value, name: &str) -> Result<Cluster, String> {
    let cluster = resources(file, CLUSTER)?.find(|c| text(c, "name") == Some(name));
    let cluster = cluster.ok_or_else(|| format!("there is no Cluster {name}"))?;
    let connect_timeout = match field(cluster, "connect_timeout") {
        // Envoy's own default.
        None => Duration::from_secs(5),
        Some(v) => duration(v).filter(|d| !d.is_zero()).ok_or(format!("Cluster {name}: connect_timeout"))?,
    };
    let assignment = match field(cluster, "type") {
        None => own_assignment(cluster, name)?,
        Some(v) if json::text(v) == Some("STATIC") || whole(v) == Some(0) => own_assignment(cluster, name)?,
        Some(v) if json::text(v) == Some("EDS") || whole(v) == Some(3) => {
            let eds = field(cluster, "eds_cluster_config");
            let wanted = eds.and_then(|e| text(e, "service_name")).filter(|n| !n.is_empty()).unwrap_or(name);
            let found = resources(file, ASSIGNMENT)?.find(|a| text(a, "cluster_name") == Some(wanted));
            found.ok_or_else(|| format!("there is no ClusterLoadAssignment {wanted}"))?
        }
        Some(_) => return Err(format!("Cluster {name}: only the types STATIC and EDS are read")),
    };
    let servers = endpoints(assignment).map_err(|e| format!("Cluster {name}: {e}"))?;
    Ok(Cluster { connect_timeout, servers })
}

fn own_assignment<'a>(cluster: &'a Value, name: &str) -> Result<&'a Value, String> {
    field(cluster, "load_assignment").ok_or_else(|| format!("Cluster {name} has no load_assignment"))
}

/// The endpoints of an assignment. As with Envoy, those of a lower priority (a greater number) stand by
/// while one of a higher priority serves; here they are listed as draining.
fn endpoints(assignment: &Value) -> Result<Vec<ListedServer>, String> {
    let mut found: Vec<(u32, ListedServer)> = Vec::new();
    for (zone, locality) in list(assignment, "endpoints")?.iter().enumerate() {
        let priority = match field(locality, "priority") {
            None => 0,
            Some(v) => whole(v).ok_or("priority is no number")?,
        };
        for e in list(locality, "lb_endpoints")? {
            let addr = address(e)?.to_string();
            if found.iter().any(|(_, s)| s.addr == addr) {
                return Err(format!("the endpoint {addr} stands there twice"));
            }
            let place = found.len() as Place;
            let entry = Entry { server: 0, zone: zone as u32, place, started: None, state: state(e)? };
            found.push((priority, ListedServer { id: addr.clone(), addr, entry }));
        }
    }
    let serving = found.iter().filter(|(_, s)| s.entry.state == State::Ready).map(|(p, _)| *p).min();
    for (priority, server) in &mut found {
        if server.entry.state == State::Ready && serving.is_some_and(|p| *priority > p) {
            server.entry.state = State::Draining;
        }
    }
    Ok(found.into_iter().map(|(_, s)| s).collect())
}

fn address(endpoint: &Value) -> Result<SocketAddr, String> {
    let socket = field(endpoint, "endpoint").and_then(|e| field(e, "address"));
    let socket =
        socket.and_then(|a| field(a, "socket_address")).ok_or("an endpoint has no socket_address")?;
    let ip: IpAddr = text(socket, "address")
        .and_then(|a| a.parse().ok())
        .ok_or("an endpoint's address is no IP address")?;
    let port = field(socket, "port_value").and_then(whole).and_then(|p| u16::try_from(p).ok());
    let port = port.filter(|p| *p > 0).ok_or("an endpoint has no port_value")?;
    Ok(SocketAddr::new(ip, port))
}

/// Envoy's HealthStatus in the list's words. What is not known to be ill serves, as with Envoy.
fn state(endpoint: &Value) -> Result<State, String> {
    const NAMES: [&str; 6] = ["UNKNOWN", "HEALTHY", "UNHEALTHY", "DRAINING", "TIMEOUT", "DEGRADED"];
    let Some(v) = field(endpoint, "health_status") else { return Ok(State::Ready) };
    let named = json::text(v).and_then(|t| NAMES.iter().position(|n| *n == t));
    match named.or_else(|| json::count(v).map(|n| n as usize)).and_then(|n| NAMES.get(n)) {
        Some(&("UNKNOWN" | "HEALTHY" | "DEGRADED")) => Ok(State::Ready),
        Some(&"DRAINING") => Ok(State::Draining),
        Some(_) => Ok(State::Gone),
        None => Err(format!("health_status cannot be {}", miniserde::json::to_string(v))),
    }
}

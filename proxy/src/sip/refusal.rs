//! What a setup server's refusal of a set-up means.

use super::Message;
use crate::engine::End;
use fernspan_core::{Outcome, Reason, Time};

/// What a refusal means, as the simulator's adapter reads it.
pub fn refusal(status: u16, m: &Message, gives_wait: bool) -> End {
    let outcome = match status {
        503 => Outcome::Full,
        480 => Outcome::NotSent,
        504 => Outcome::Reset,
        _ => Outcome::Fault,
    };
    let reason = match m.get("X-Note") {
        Some("congestion") => Some(Reason::NoLine),
        Some("crankback") => Some(Reason::TurnedBack),
        Some("throttled" | "remote_throttled") => Some(Reason::ProcessorFull),
        Some("engaged") => Some(Reason::NumberBusy),
        _ => None,
    };
    let stated = m.get("X-Delay").and_then(|ms| ms.parse::<f64>().ok()).filter(|ms| *ms >= 1.0 && *ms < 1e9);
    let wait = stated.filter(|_| gives_wait && m.get("X-Note") == Some("throttled"));
    End {
        outcome,
        reason,
        wait: wait.map(|ms| (ms * 1000.0) as Time),
        report: m.report(),
        status: Some(status),
    }
}

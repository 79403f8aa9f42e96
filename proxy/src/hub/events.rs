//! Events of calls and servers in the log, as they pass the core.

use crate::engine::{End, Input, Order, Setup};
use crate::reasons::Hex;
use fernspan_core::ServerId;

/// What has become of an attempt, and of a server's process.
pub(super) fn log_input(input: &Input) {
    match input {
        Input::Ended { id, attempt, server, end } => {
            let End { outcome, reason, status, .. } = end;
            tracing::info!(call = %Hex(*id), attempt, server, ?outcome, ?reason, ?status, "attempt ended");
        }
        Input::Died(server) => tracing::info!(server, "server process gone: what stood there is over"),
        Input::Over { id, server, cause, .. } => {
            tracing::debug!(call = %Hex(*id), server, cause, "released by its server");
        }
        Input::Left(id, connection) => {
            tracing::debug!(call = %Hex(*id), connection, "released by its caller")
        }
        _ => {}
    }
}

/// Attempts as they go out: those after the first are retries.
pub(super) fn log_order(server: ServerId, order: &Order) {
    match order {
        Order::Start(Setup { id, attempt: 0, .. }) => {
            tracing::debug!(call = %Hex(*id), server, "first attempt")
        }
        Order::Start(Setup { id, attempt, .. }) => tracing::info!(call = %Hex(*id), attempt, server, "retry"),
        Order::Cancel(id) => tracing::debug!(call = %Hex(*id), server, "attempt given up"),
        _ => {}
    }
}

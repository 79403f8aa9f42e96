//! Why a call was refused, failed or held back, and why a connection ended: one vocabulary for the log and for tests.

use fernspan_core::{CallId, GiveUpReason, ServerId};
use std::fmt;

/// An id as the wires write it.
pub struct Hex(pub u64);

impl fmt::Display for Hex {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Why a call has got a final answer that is not an answer of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerReason {
    /// The decision module gave it up.
    GivenUp(GiveUpReason),
    /// Too many calls are open.
    TooManyOpen,
    /// Another call has this id.
    IdTaken,
    /// A call with this id may have run already, here or at another process.
    IdUsed,
    /// Its deadline has come.
    Overdue,
    /// Operators send clients away, and its connection closes.
    Draining,
    /// Its server released it before an answer had come.
    ReleasedByServer,
}

/// Why an attempt that the controller started was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// The server drains, or is gone.
    ServerNotServing,
    /// The call has had all its attempts.
    AttemptLimit,
    /// The attempt before may still hold what it took.
    ReleaseWait,
    /// The call's deadline has come.
    Overdue,
}

/// Something about a call that is worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// It was refused: trying again is harmless.
    Refused {
        /// The call.
        call: CallId,
        /// Why.
        reason: AnswerReason,
    },
    /// It failed.
    Failed {
        /// The call.
        call: CallId,
        /// Why.
        reason: AnswerReason,
    },
    /// An attempt was not sent.
    Withheld {
        /// The call.
        call: CallId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// Where it was to go.
        server: ServerId,
        /// Why it did not.
        reason: WithholdReason,
    },
    /// What the controller says.
    Controller(String),
}

impl Note {
    /// Writes it.
    pub fn log(&self) {
        match self {
            Note::Refused { call, reason } => tracing::info!(call = %Hex(*call), ?reason, "refused"),
            Note::Failed { call, reason } => tracing::info!(call = %Hex(*call), ?reason, "failed"),
            Note::Withheld { call, attempt, server, reason } => {
                tracing::info!(call = %Hex(*call), attempt, server, ?reason, "attempt withheld");
            }
            Note::Controller(text) => tracing::info!("{text}"),
        }
    }
}

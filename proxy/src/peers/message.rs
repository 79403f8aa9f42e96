//! Messages between the processes of one proxy: a line of text each.

use crate::lifecycle::OperatorsWord;
use crate::net::{Decode, WireError};
use crate::reasons::Hex;
use fernspan_core::CallId;

/// Longest line, in bytes. A server's id is the only part without a length of its own.
const LONGEST_LINE: usize = 1024;

/// What one process tells another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// The first words: the last that operators have said of a drain, with the Unix time of their call.
    Operators(OperatorsWord),
    /// A set-up is open here.
    Open(CallId),
    /// A call stands here, at the server with this id.
    Stands(CallId, String),
    /// A call has ended here: nothing is owed to its caller.
    Ended(CallId),
    /// The server with this id has released a call that the other process has.
    Released(CallId, u8, String),
    /// The caller of this call knows that it is over: it has released the call, or was told here.
    HungUp(CallId),
    /// A call is over, and this process has no connection on which its caller could be told.
    PassOn(CallId, u8),
}

impl PeerMessage {
    /// The line, with its end.
    pub fn encode(&self) -> String {
        match self {
            PeerMessage::Operators(OperatorsWord { at, draining_since: Some(since) }) => {
                format!("drains {at} {since}\n")
            }
            PeerMessage::Operators(OperatorsWord { at, draining_since: None }) => format!("active {at}\n"),
            PeerMessage::Open(call) => format!("open {}\n", Hex(*call)),
            PeerMessage::Stands(call, server) => format!("stands {} {server}\n", Hex(*call)),
            PeerMessage::Ended(call) => format!("ended {}\n", Hex(*call)),
            PeerMessage::Released(call, cause, server) => {
                format!("released {} {cause} {server}\n", Hex(*call))
            }
            PeerMessage::HungUp(call) => format!("hung-up {}\n", Hex(*call)),
            PeerMessage::PassOn(call, cause) => format!("pass-on {} {cause}\n", Hex(*call)),
        }
    }

    fn parse(line: &str) -> Option<PeerMessage> {
        let (word, rest) = line.split_once(' ')?;
        let call = |text: &str| CallId::from_str_radix(text, 16).ok();
        Some(match word {
            "drains" => {
                let (at, since) = rest.split_once(' ')?;
                let draining_since = Some(since.parse().ok()?);
                PeerMessage::Operators(OperatorsWord { at: at.parse().ok()?, draining_since })
            }
            "active" => {
                PeerMessage::Operators(OperatorsWord { at: rest.parse().ok()?, draining_since: None })
            }
            "open" => PeerMessage::Open(call(rest)?),
            "stands" => {
                let (id, server) = rest.split_once(' ')?;
                PeerMessage::Stands(call(id)?, server.to_owned())
            }
            "ended" => PeerMessage::Ended(call(rest)?),
            "released" => {
                let (id, rest) = rest.split_once(' ')?;
                let (cause, server) = rest.split_once(' ')?;
                PeerMessage::Released(call(id)?, cause.parse().ok()?, server.to_owned())
            }
            "hung-up" => PeerMessage::HungUp(call(rest)?),
            "pass-on" => {
                let (id, cause) = rest.split_once(' ')?;
                PeerMessage::PassOn(call(id)?, cause.parse().ok()?)
            }
            _ => return None,
        })
    }
}

/// Cuts a stream into messages.
pub struct Lines;

impl Decode for Lines {
    type Message = PeerMessage;

    fn decode(&mut self, bytes: &[u8]) -> Result<Option<(PeerMessage, usize)>, WireError> {
        let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
            return if bytes.len() > LONGEST_LINE { Err(WireError::TooLong) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&bytes[..end]).ok().and_then(PeerMessage::parse);
        let message = line.ok_or(WireError::Malformed("no message of another process"))?;
        Ok(Some((message, end + 1)))
    }
}

#[cfg(test)]
mod tests;

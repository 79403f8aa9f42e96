//! The callers' binary protocol: messages of a length, a type, a call and parameters.

pub mod connection;
pub mod front;
pub mod names;
pub mod reader;

use crate::net::{Decode, WireError};
use fernspan_core::CallId;

pub const SETUP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const PROGRESS: u8 = 6;
pub const RELEASE: u8 = 12;
pub const HEARD: u8 = 16;
pub const STATE: u8 = 43;
pub const TEST: u8 = 52;
pub const TESTED: u8 = 53;

pub const CLASS: u8 = 16;
pub const PATIENCE: u8 = 18;
pub const TENANT: u8 = 20;
pub const RETRY: u8 = 22;
pub const NUMBER: u8 = 24;
pub const FIGURES: u8 = 26;
pub const COME_BACK: u8 = 28;
pub const CAUSE: u8 = 44;
pub const DESCRIPTION: u8 = 46;

/// Q.850: switching equipment congestion; tells a caller that trying again is harmless.
pub const CAUSE_REFUSED: u8 = 42;
/// Q.850: temporary failure.
pub const CAUSE_FAILED: u8 = 41;
/// Q.850: invalid call reference value.
pub const CAUSE_NO_SUCH_CALL: u8 = 81;
/// Q.850: mandatory information element is missing.
pub const CAUSE_MISSING: u8 = 96;
/// Q.850: message type non-existent.
pub const CAUSE_NO_SUCH_TYPE: u8 = 97;
/// Q.850: invalid information element contents.
pub const CAUSE_INVALID: u8 = 100;

/// Bytes of kind and call id, which every message has.
const HEAD: usize = 9;

/// One message. Its parameters stay as they came: a list of very many short ones takes no more than its bytes.
#[derive(Debug, PartialEq)]
pub struct Message {
    pub kind: u8,
    pub call: CallId,
    parameters: Vec<u8>,
}

impl Message {
    pub fn new(kind: u8, call: CallId) -> Self {
        Message { kind, call, parameters: Vec::new() }
    }

    /// The message of these bytes, which follow its length.
    ///
    /// # Errors
    /// Bytes that are no message.
    pub fn read(mut body: Vec<u8>) -> Result<Self, WireError> {
        let (head, parameters) =
            body.split_at_checked(HEAD).ok_or(WireError::Malformed("message shorter than its head"))?;
        check_parameters(parameters)?;
        let (kind, call) = (head[0], call_id(head));
        body.drain(..HEAD);
        Ok(Message { kind, call, parameters: body })
    }

    /// With one more parameter. One that is too long makes the whole message too long to be encoded.
    pub fn with(mut self, code: u8, value: &[u8]) -> Self {
        let length = u16::try_from(value.len()).unwrap_or(u16::MAX);
        self.parameters.push(code);
        self.parameters.extend(length.to_be_bytes());
        self.parameters.extend(value);
        self
    }

    /// Codes and values, in their order.
    pub fn parameters(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let mut left = &self.parameters[..];
        std::iter::from_fn(move || {
            let (code, value, rest) = first_parameter(left)?;
            left = rest;
            Some((code, value))
        })
    }

    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters().find(|(parameter, _)| *parameter == code).map(|(_, value)| value)
    }

    pub fn text(&self, code: u8) -> Option<&str> {
        self.get(code).and_then(|v| std::str::from_utf8(v).ok())
    }

    /// Bytes that it took on the wire.
    pub fn length(&self) -> usize {
        2 + HEAD + self.parameters.len()
    }

    /// The bytes, or nothing where they would be over `most`.
    pub fn encode(&self, most: usize) -> Option<Vec<u8>> {
        let length = u16::try_from(HEAD + self.parameters.len()).ok().filter(|_| self.length() <= most)?;
        let mut bytes = Vec::with_capacity(self.length());
        bytes.extend(length.to_be_bytes());
        bytes.push(self.kind);
        bytes.extend(self.call.to_be_bytes());
        bytes.extend(&self.parameters);
        Some(bytes)
    }
}

/// The first parameter: its code, its value, and what follows. None where there is none that is whole.
fn first_parameter(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let [code, a, b, rest @ ..] = bytes else { return None };
    let (value, rest) = rest.split_at_checked(usize::from(u16::from_be_bytes([*a, *b])))?;
    Some((*code, value, rest))
}

fn check_parameters(mut left: &[u8]) -> Result<(), WireError> {
    while let Some((_, _, rest)) = first_parameter(left) {
        left = rest;
    }
    match left {
        [] => Ok(()),
        [_, _, _, ..] => Err(WireError::Malformed("parameter longer than its message")),
        _ => Err(WireError::Malformed("bytes after the last parameter")),
    }
}

/// Whether a message can say of itself that it has this length.
fn check_length(length: usize, most: usize) -> Result<(), WireError> {
    if length + 2 > most {
        return Err(WireError::TooLong);
    }
    if length < HEAD {
        return Err(WireError::Malformed("message shorter than its head"));
    }
    Ok(())
}

fn call_id(head: &[u8]) -> CallId {
    head[1..HEAD].iter().fold(0, |n, byte| n << 8 | CallId::from(*byte))
}

/// Cuts bytes into messages that are kept whole.
pub struct Decoder {
    pub most: usize,
}

impl Decode for Decoder {
    type Message = Message;

    fn decode(&mut self, bytes: &[u8]) -> Result<Option<(Message, usize)>, WireError> {
        let [a, b, rest @ ..] = bytes else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes([*a, *b]));
        check_length(length, self.most)?;
        let Some(body) = rest.get(..length) else { return Ok(None) };
        Ok(Some((Message::read(body.to_vec())?, length + 2)))
    }
}

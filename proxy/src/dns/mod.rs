//! ENUM look-ups over DNS (RFC 1035, 3403, 6116; EDNS by RFC 6891, extended errors by RFC 8914).
//!
//! The front takes queries and makes calls of them; a link sends a call's attempt to one name server.

pub mod front;
pub mod link;
pub mod message;

use crate::net::{Decode, WireError};

/// Cuts a TCP connection into messages, each behind its length (RFC 1035, 4.2.2).
pub struct Decoder {
    pub most: usize,
}

impl Decode for Decoder {
    type Message = Vec<u8>;

    fn decode(&mut self, bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, WireError> {
        let [a, b, rest @ ..] = bytes else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes([*a, *b]));
        if length > self.most {
            return Err(WireError::TooLong);
        }
        Ok(rest.get(..length).map(|m| (m.to_vec(), length + 2)))
    }
}

/// A message behind its length; `None` over 65,535 bytes.
pub fn framed(message: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = u16::try_from(message.len()).ok()?.to_be_bytes().to_vec();
    bytes.extend_from_slice(message);
    Some(bytes)
}

//! Cuts the bytes of a caller's connection into messages, with room reserved for each set-up at its head.
//!
//! A set-up that there is no room for is read to its end and not kept: all that its refusal takes is its id. Of other
//! messages nothing is needed but kind and id either.

use super::{HEAD, Message, SETUP, call_id, check_length};
use crate::memory_budget::{ConnectionMemory, Reservation};
use crate::net::{WireError, read_some, within};
use fernspan_core::CallId;
use futures_lite::{AsyncRead, Stream, stream};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes of a connection's input that are kept until they are looked at.
const INPUT: usize = 4_096;

/// A message as it has come.
#[derive(Debug)]
pub struct Received {
    /// With its parameters if it is a set-up that there is room for.
    pub message: Message,
    /// Bytes that it took on the wire.
    pub length: usize,
    /// What is held for such a set-up.
    pub reservation: Option<Reservation>,
}

/// Bytes of a message's length.
const LENGTH: usize = 2;
/// Bytes of a parameter's code and length.
const PARAMETER_HEAD: usize = 3;

/// What bounds a connection's input.
#[derive(Clone, Copy, Debug)]
pub struct ReaderLimits {
    /// Longest message, in bytes.
    pub message: usize,
    /// A message that has begun has to be whole within this time.
    pub rest: Duration,
}

/// A message that has begun.
enum Partial {
    Kept { body: Vec<u8>, length: usize, reservation: Reservation },
    Skipped { kind: u8, call: CallId, length: usize, left: usize, parameters: ParameterCheck },
}

/// Checks parameters as they pass.
#[derive(Default)]
struct ParameterCheck {
    head: Vec<u8>,
    value_left: usize,
}

impl ParameterCheck {
    /// Takes the next bytes of a message of which `after` are to come.
    fn pass(&mut self, mut bytes: &[u8], after: usize) -> Result<(), WireError> {
        loop {
            let passed = self.value_left.min(bytes.len());
            self.value_left -= passed;
            bytes = &bytes[passed..];
            // A head that is cut by the end of what has come is put together here.
            let missing = PARAMETER_HEAD - self.head.len();
            let Some((head, rest)) = bytes.split_at_checked(missing) else { break };
            self.head.extend_from_slice(head);
            bytes = rest;
            self.value_left = usize::from(u16::from_be_bytes([self.head[1], self.head[2]]));
            self.head.clear();
            if self.value_left > bytes.len() + after {
                return Err(WireError::Malformed("parameter longer than its message"));
            }
        }
        self.head.extend_from_slice(bytes);
        if after == 0 && !self.head.is_empty() {
            return Err(WireError::Malformed("bytes after the last parameter"));
        }
        Ok(())
    }
}

/// The input of one connection.
struct Input {
    bytes: Vec<u8>,
    taken: usize,
    partial: Option<Partial>,
    memory: Rc<ConnectionMemory>,
    limits: ReaderLimits,
}

impl Input {
    fn unread(&self) -> &[u8] {
        &self.bytes[self.taken..]
    }

    /// The next message that is whole.
    fn next(&mut self) -> Result<Option<Received>, WireError> {
        loop {
            if self.partial.is_none() && !self.begin()? {
                return Ok(None);
            }
            if let Some(received) = self.go_on()? {
                return Ok(Some(received));
            }
            if self.unread().is_empty() {
                return Ok(None);
            }
        }
    }

    /// Begins a message, if its head is there.
    fn begin(&mut self) -> Result<bool, WireError> {
        let [a, b, rest @ ..] = self.unread() else { return Ok(false) };
        let length = usize::from(u16::from_be_bytes([*a, *b]));
        check_length(length, self.limits.message)?;
        let Some(head) = rest.get(..HEAD) else { return Ok(false) };
        let (kind, call) = (head[0], call_id(head));
        let reservation = if kind == SETUP { self.memory.reserve_setup(length) } else { None };
        self.partial = Some(match reservation {
            Some(reservation) => {
                self.taken += LENGTH;
                Partial::Kept { body: Vec::with_capacity(length), length, reservation }
            }
            None => {
                self.taken += LENGTH + HEAD;
                let parameters = ParameterCheck::default();
                Partial::Skipped { kind, call, length, left: length - HEAD, parameters }
            }
        });
        Ok(true)
    }

    /// Goes on with the message that has begun, and gives it if it is whole.
    fn go_on(&mut self) -> Result<Option<Received>, WireError> {
        let unread = &self.bytes[self.taken..];
        let whole = match self.partial.as_mut() {
            None => return Ok(None),
            Some(Partial::Kept { body, length, .. }) => {
                let more = unread.len().min(*length - body.len());
                body.extend_from_slice(&unread[..more]);
                self.taken += more;
                body.len() == *length
            }
            Some(Partial::Skipped { left, parameters, .. }) => {
                let more = unread.len().min(*left);
                *left -= more;
                parameters.pass(&unread[..more], *left)?;
                self.taken += more;
                *left == 0
            }
        };
        match self.partial.take_if(|_| whole) {
            None => Ok(None),
            Some(Partial::Kept { body, length, reservation }) => {
                let message = Message::read(body)?;
                Ok(Some(Received { message, length: length + LENGTH, reservation: Some(reservation) }))
            }
            Some(Partial::Skipped { kind, call, length, .. }) => {
                let message = Message::new(kind, call);
                Ok(Some(Received { message, length: length + LENGTH, reservation: None }))
            }
        }
    }

    /// Whether a message has begun that is not whole.
    fn has_begun(&self) -> bool {
        self.partial.is_some() || !self.unread().is_empty()
    }
}

/// The messages of a connection, whatever pieces its bytes come in. `unfinished` tells whether a message has begun and is
/// not whole. Ends after an error.
pub fn received<R: AsyncRead + Unpin>(
    reader: R,
    memory: Rc<ConnectionMemory>,
    limits: ReaderLimits,
    unfinished: Rc<Cell<bool>>,
) -> impl Stream<Item = Result<Received, WireError>> {
    let input = Input { bytes: Vec::new(), taken: 0, partial: None, memory, limits };
    let state = (reader, input, None::<Instant>, unfinished);
    stream::try_unfold(state, move |(mut reader, mut input, mut begun, unfinished)| async move {
        loop {
            if let Some(received) = input.next()? {
                begun = None;
                unfinished.set(input.has_begun());
                return Ok(Some((received, (reader, input, begun, unfinished))));
            }
            input.bytes.drain(..input.taken);
            input.taken = 0;
            unfinished.set(input.has_begun());
            let most = INPUT - input.bytes.len();
            // Guards against a client that stops half way: what else it holds would wait for ever.
            let read = if input.has_begun() {
                let left = input.limits.rest.saturating_sub(begun.get_or_insert_with(Instant::now).elapsed());
                within(left, read_some(&mut reader, &mut input.bytes, most))
                    .await
                    .ok_or(WireError::Stalled)?
            } else {
                // Nothing is held for a connection that says nothing.
                input.bytes = Vec::new();
                read_some(&mut reader, &mut input.bytes, most).await
            };
            if read? == 0 {
                return Ok(None);
            }
        }
    })
}

#[cfg(test)]
mod tests;

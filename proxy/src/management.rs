//! The management line: operators connect, write one line, and get one line that starts with `done` or `error`.
//!
//! Its connections have slots of their own, which clients cannot take. A process serves whether or not its management
//! address can be bound: the address may be held by a predecessor for a while.

use crate::limits::Limits;
use crate::net::{ConnectionSlot, Decode, Next, WireError, accept_all, messages, write_all};
use crate::readiness::Readiness;
use crate::shutdown::ShutdownSignal;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::pin;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Longest line of an operator, in bytes.
const LONGEST_LINE: usize = 256;

/// What an operator asks for.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    /// Whether this process takes clients.
    Ready,
    Unknown,
}

/// Cuts a connection into lines, and reads each as a call.
struct Lines;

impl Decode for Lines {
    type Message = Call;

    fn decode(&mut self, bytes: &[u8]) -> Result<Option<(Call, usize)>, WireError> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        if end.unwrap_or(bytes.len()) > LONGEST_LINE {
            return Err(WireError::TooLong);
        }
        let Some(end) = end else { return Ok(None) };
        let call = match bytes[..end].trim_ascii() {
            b"readyz" => Call::Ready,
            _ => Call::Unknown,
        };
        Ok(Some((call, end + 1)))
    }
}

/// Answers operators.
pub struct Management {
    /// Sizes and times.
    pub limits: Limits,
    /// What `readyz` tells.
    pub readiness: Readiness,
}

impl Management {
    /// Listens at `address` for ever, from when it can be bound.
    pub async fn listen(self: Rc<Self>, address: SocketAddr, executor: Rc<LocalExecutor<'static>>) {
        let listener = self.bind(address).await;
        let limits = self.limits.clone();
        let slots = limits.management_connections;
        // Operators are answered until the process is gone.
        let shutdown = ShutdownSignal::default();
        accept_all(listener, slots, limits, executor, shutdown, move |stream, _, slot| {
            let management = self.clone();
            async move { management.serve(stream, &slot).await }
        })
        .await;
    }

    async fn bind(&self, address: SocketAddr) -> Async<TcpListener> {
        let mut told = false;
        loop {
            match Async::<TcpListener>::bind(address) {
                Ok(listener) => return listener,
                Err(e) if !told => {
                    tracing::warn!(%address, error = %e, "management line: cannot listen yet");
                    told = true;
                }
                Err(_) => {}
            }
            Timer::after(self.limits.bind_retry_interval).await;
        }
    }

    /// One connection: a line, its answer, and a close.
    async fn serve(&self, stream: Async<TcpStream>, slot: &ConnectionSlot) {
        let lines = messages(&stream, Lines, self.limits.read, self.limits.management_line_timeout);
        pin!(lines);
        let answer = match slot.next(&mut lines, &self.limits).await {
            Next::Message(call) => self.answer(&call),
            Next::Failed(WireError::Io(_)) | Next::End => return,
            Next::Failed(e) => format!("error {e}\n"),
            Next::Leave => "error no call has come\n".to_owned(),
        };
        slot.used(true);
        let _ = write_all(&stream, answer.as_bytes(), self.limits.write).await;
    }

    fn answer(&self, call: &Call) -> String {
        match call {
            Call::Ready => match self.readiness.takes_clients() {
                Ok(()) => "done\n".to_owned(),
                Err(reason) => format!("error {reason}\n"),
            },
            Call::Unknown => "error unknown call\n".to_owned(),
        }
    }
}

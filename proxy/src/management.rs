//! The management line: operators connect, write one line, and get one answer.
//!
//! Its connections have slots of their own, which clients cannot take. A process serves whether or not its management
//! address can be bound: the address may be held by a predecessor for a while.

use crate::figures::Figures;
use crate::lifecycle::Event;
use crate::lifecycle::shared::SharedLifecycle;
use crate::limits::Limits;
use crate::net::{
    ConnectionSlot, Decode, Next, SlotLimits, WireError, accept_all, messages_noting, write_all,
};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::pin;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Longest line of an operator, in bytes.
const LONGEST_LINE: usize = 256;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    /// Whether this process takes clients.
    Ready,
    /// Clients are to be sent away.
    Evacuate,
    /// Clients are to be taken again.
    Activate,
    /// The figures.
    Telemetry,
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
            b"evacuate" => Call::Evacuate,
            b"activate" => Call::Activate,
            b"telemetry" => Call::Telemetry,
            _ => Call::Unknown,
        };
        Ok(Some((call, end + 1)))
    }
}

/// Answers operators.
pub struct Management {
    /// Sizes and times.
    pub limits: Limits,
    /// What `readyz` tells, and what a drain changes.
    pub lifecycle: SharedLifecycle,
    /// What `telemetry` tells.
    pub figures: Figures,
}

impl Management {
    /// Starts to answer at an address, if there is one.
    pub fn start(self, address: Option<SocketAddr>, executor: &Rc<LocalExecutor<'static>>) {
        if let Some(address) = address {
            executor.spawn(Rc::new(self).listen(address, executor.clone())).detach();
        }
    }

    /// Listens at `address` for ever, from when it can be bound.
    async fn listen(self: Rc<Self>, address: SocketAddr, executor: Rc<LocalExecutor<'static>>) {
        let listener = self.bind(address).await;
        let limits = self.limits.clone();
        let slots = SlotLimits { most: limits.management_connections, settle: limits.management_settle };
        // Operators are answered until the process is gone.
        let lifecycle = SharedLifecycle::new(&limits);
        accept_all(listener, slots, limits, executor, lifecycle, move |stream, _, slot| {
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
        let timeout = self.limits.management_line_timeout;
        let lines = messages_noting(&stream, Lines, self.limits.read, timeout, slot.unfinished());
        pin!(lines);
        let answer = match slot.next(&mut lines, &self.limits).await {
            Next::Message(call) => {
                let answer = self.answer(call);
                // The figures are asked for all the time.
                match call {
                    Call::Telemetry => tracing::debug!(?call, "operator's call"),
                    _ => tracing::info!(?call, answer = answer.trim_end(), "operator's call"),
                }
                answer
            }
            Next::Failed(WireError::Io(_)) | Next::End => return,
            Next::Failed(e) => format!("error {e}\n"),
            Next::Leave => "error no call has come\n".to_owned(),
        };
        slot.used(true);
        let _ = write_all(&stream, answer.as_bytes(), self.limits.write).await;
    }

    fn answer(&self, call: Call) -> String {
        let answered = match call {
            Call::Ready => self.lifecycle.takes_clients().map_err(|reason| reason.to_string()),
            Call::Evacuate => {
                self.lifecycle.handle(Event::Evacuate);
                Ok(())
            }
            Call::Activate => self.activate(),
            Call::Telemetry => return format!("{}end\n", self.figures.text()),
            Call::Unknown => Err("unknown call".to_owned()),
        };
        match answered {
            Ok(()) => "done\n".to_owned(),
            Err(reason) => format!("error {reason}\n"),
        }
    }

    /// Ends the drain; a process that shuts down takes no clients all the same.
    fn activate(&self) -> Result<(), String> {
        self.lifecycle.handle(Event::Activate);
        self.lifecycle.get().may_activate().map_err(|reason| reason.to_string())
    }
}

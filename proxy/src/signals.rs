//! What the platform asks for by signals: an end, or a look at the configuration.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// SIGTERM or SIGINT: finish what has been taken, and end.
    ShutDown,
    /// SIGHUP: read the configuration again.
    Reload,
}

/// The signals that this process has got, in their order.
pub struct Requests(Signals);

impl Requests {
    /// Takes signals over from the system's default, which would end the process.
    ///
    /// # Errors
    /// The system does not let it.
    pub fn new() -> std::io::Result<Self> {
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map(Requests)
    }

    /// Waits for the next one.
    pub async fn next(&mut self) -> Request {
        loop {
            match self.0.next().await {
                Some(Ok(Signal::Hup)) => return Request::Reload,
                Some(Ok(_)) => return Request::ShutDown,
                Some(Err(e)) => tracing::warn!(error = %e, "signals"),
                None => futures_lite::future::pending().await,
            }
        }
    }
}

//! Listening sockets at the start of a process: inherited from the platform, or bound here.
//!
//! A listening address outlives processes. The platform may hold its socket and pass it on to every process, and a
//! predecessor may still hold the address as its successor starts. So an inherited socket is taken as it is, with
//! nobody else's use of it disturbed, and an address in use is waited for.

use crate::limits::Limits;
use async_io::{Async, Timer};
use filedescriptor::FileDescriptor;
use rustix::net::sockopt;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::{AsFd, OwnedFd, RawFd};
use std::time::Instant;

/// The lowest descriptor that can be inherited: those below are the standard streams.
const FIRST_INHERITED: RawFd = 3;

/// Why there is no listening socket.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The variable holds no number of a descriptor.
    #[error("PROXY_FD cannot be {value:?}: it has to be the number of an inherited descriptor, 3 or above")]
    NotADescriptor {
        /// What it holds.
        value: String,
    },
    /// The descriptor is not open, or cannot be used.
    #[error("PROXY_FD names descriptor {descriptor}: {source}")]
    Descriptor {
        /// Its number.
        descriptor: RawFd,
        /// What the system says of it.
        source: io::Error,
    },
    /// The descriptor is something else.
    #[error("PROXY_FD names descriptor {descriptor}, which is no listening TCP socket")]
    NotListening {
        /// Its number.
        descriptor: RawFd,
    },
    /// The address cannot be bound, or was in use for too long.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says of it.
        source: io::Error,
    },
}

/// The clients' listening socket: the one that `PROXY_FD` names, or else one bound to `address`.
///
/// # Errors
/// A bad descriptor, or an address that cannot be bound within `limits.bind_timeout`.
pub async fn client_listener(
    inherited: Option<&str>,
    address: SocketAddr,
    limits: &Limits,
) -> Result<Async<TcpListener>, ListenError> {
    let Some(value) = inherited else { return bind(address, limits).await };
    let listener = adopt(value)?;
    let at = listener.get_ref().local_addr().ok();
    if at != Some(address) {
        tracing::warn!(?at, configured = %address, "the inherited socket listens on another address");
    }
    Ok(listener)
}

/// Takes an inherited listening socket under a descriptor of its own, which does not pass to child processes.
fn adopt(value: &str) -> Result<Async<TcpListener>, ListenError> {
    let descriptor = value
        .parse()
        .ok()
        .filter(|number| *number >= FIRST_INHERITED)
        .ok_or_else(|| ListenError::NotADescriptor { value: value.to_owned() })?;
    let unusable = |source| ListenError::Descriptor { descriptor, source };
    let duplicate = FileDescriptor::dup(&descriptor).map_err(|e| match e {
        filedescriptor::Error::Dup { source, .. } => unusable(source),
        other => unusable(io::Error::other(other)),
    })?;
    let socket: OwnedFd = duplicate.as_fd().try_clone_to_owned().map_err(unusable)?;
    let listens = sockopt::socket_acceptconn(&socket).unwrap_or(false);
    if !listens {
        return Err(ListenError::NotListening { descriptor });
    }
    Async::new(TcpListener::from(socket)).map_err(unusable)
}

/// A listening socket at `address`. One that is in use is waited for: a predecessor may be ending.
///
/// # Errors
/// The address cannot be bound, or was in use all the time.
pub async fn bind(address: SocketAddr, limits: &Limits) -> Result<Async<TcpListener>, ListenError> {
    when_free(address, limits, || Async::<TcpListener>::bind(address)).await
}

/// The same for datagrams.
///
/// # Errors
/// As [`bind`].
pub async fn bind_datagrams(address: SocketAddr, limits: &Limits) -> Result<Async<UdpSocket>, ListenError> {
    when_free(address, limits, || Async::<UdpSocket>::bind(address)).await
}

async fn when_free<T>(
    address: SocketAddr,
    limits: &Limits,
    bind: impl Fn() -> io::Result<T>,
) -> Result<T, ListenError> {
    let begun = Instant::now();
    let mut waits = false;
    loop {
        match bind() {
            Ok(socket) => return Ok(socket),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && begun.elapsed() < limits.bind_timeout => {
                if !waits {
                    tracing::warn!("{address} is in use: waiting for it");
                }
                waits = true;
                Timer::after(limits.bind_retry_interval).await;
            }
            Err(source) => return Err(ListenError::Bind { address, source }),
        }
    }
}

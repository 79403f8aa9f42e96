//! What every socket shares: streams of messages, writes that cannot hang, and the clock.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use fernspan_core::Time;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Stream, future, stream};
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The system's Unix clock, in microseconds.
pub fn unix_now() -> Time {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Time)
}

/// Why a connection had to end.
#[derive(Debug)]
pub enum WireError {
    /// A message over the limit.
    TooLong,
    /// Bytes that are no message.
    Malformed(&'static str),
    Io(io::Error),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WireError::TooLong => write!(f, "message too long"),
            WireError::Malformed(what) => write!(f, "malformed: {what}"),
            WireError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}

/// An incremental parser: looks at the front of what has come so far.
pub trait Decode {
    type Message;
    /// The first whole message and how many bytes it takes, or nothing yet.
    fn decode(&mut self, bytes: &[u8]) -> Result<Option<(Self::Message, usize)>, WireError>;
}

/// The messages of a connection, whatever pieces its bytes come in. Ends after an error.
pub fn messages<R, D>(reader: R, decoder: D, read: usize) -> impl Stream<Item = Result<D::Message, WireError>>
where
    R: AsyncRead + Unpin,
    D: Decode,
{
    struct State<R, D> {
        reader: R,
        decoder: D,
        bytes: Vec<u8>,
        taken: usize,
        chunk: Vec<u8>,
    }
    let state = State { reader, decoder, bytes: Vec::new(), taken: 0, chunk: vec![0; read] };
    stream::try_unfold(state, |mut s| async move {
        loop {
            if let Some((message, used)) = s.decoder.decode(&s.bytes[s.taken..])? {
                s.taken += used;
                return Ok(Some((message, s)));
            }
            s.bytes.drain(..s.taken);
            s.taken = 0;
            match s.reader.read(&mut s.chunk).await? {
                0 => return Ok(None),
                n => s.bytes.extend_from_slice(&s.chunk[..n]),
            }
        }
    })
}

/// Waits for a future, but no longer than `limit`.
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::after(limit).await;
        None
    })
    .await
}

/// Writes all bytes, or fails when the other side takes none for too long.
pub async fn write_all(mut writer: impl AsyncWrite + Unpin, bytes: &[u8], limit: Duration) -> io::Result<()> {
    within(limit, writer.write_all(bytes)).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Accepts connections for ever, `most` at a time, numbered from 1, and has each served by a task of its own.
/// When it cannot accept now it looks again after `pause`.
pub async fn accept_all<F, S>(
    listener: Async<TcpListener>,
    most: usize,
    pause: Duration,
    executor: Rc<LocalExecutor<'static>>,
    serve: F,
) where
    F: Fn(Async<TcpStream>, u64) -> S,
    S: Future<Output = ()> + 'static,
{
    let open = Rc::new(Cell::new(0));
    for number in 1.. {
        // Guards the descriptors: what is over waits in the backlog.
        while open.get() >= most {
            Timer::after(pause).await;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                eprintln!("accept: {e}");
                Timer::after(pause).await;
                continue;
            }
        };
        open.set(open.get() + 1);
        let (served, open) = (serve(stream, number), open.clone());
        executor
            .spawn(async move {
                served.await;
                open.set(open.get() - 1);
            })
            .detach();
    }
}

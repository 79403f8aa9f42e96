//! What every socket shares: streams of messages, writes that cannot hang, and connections that are let go.

use crate::lifecycle::shared::SharedLifecycle;
use crate::lifecycle::{ConnectionPolicy, State};
use crate::limits::Limits;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, Stream, StreamExt, future, stream};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::{Duration, Instant};

/// A wait of half to one and a half times `mean`. Guards servers and the command channel against hundreds of
/// proxies that lost them at one moment and would all come back at another.
pub fn drawn(mean: Duration) -> Duration {
    let part = getrandom::u32().map_or(0.5, |r| f64::from(r) / f64::from(u32::MAX));
    mean.mul_f64(0.5 + part)
}

/// Why a connection had to end.
#[derive(Debug)]
pub enum WireError {
    /// A message over the limit.
    TooLong,
    /// Bytes that are no message.
    Malformed(&'static str),
    /// A message whose rest did not come in time.
    Stalled,
    Io(io::Error),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WireError::TooLong => write!(f, "message too long"),
            WireError::Malformed(what) => write!(f, "malformed: {what}"),
            WireError::Stalled => write!(f, "the rest of a message did not come"),
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
    /// How many bytes at the front mean nothing. They are dropped as they come.
    fn blank(&self, _bytes: &[u8]) -> usize {
        0
    }
    /// The first whole message and how many bytes it takes, or nothing yet.
    fn decode(&mut self, bytes: &[u8]) -> Result<Option<(Self::Message, usize)>, WireError>;
}

/// The messages of a connection, whatever pieces its bytes come in. A message that has begun has to be whole
/// within `rest`. Ends after an error.
pub fn messages<R, D>(
    reader: R,
    decoder: D,
    read: usize,
    rest: Duration,
) -> impl Stream<Item = Result<D::Message, WireError>>
where
    R: AsyncRead + Unpin,
    D: Decode,
{
    messages_noting(reader, decoder, read, rest, Rc::default())
}

/// The same; `unfinished` tells whether a message has begun and is not whole.
pub fn messages_noting<R, D>(
    reader: R,
    decoder: D,
    read: usize,
    rest: Duration,
    unfinished: Rc<Cell<bool>>,
) -> impl Stream<Item = Result<D::Message, WireError>>
where
    R: AsyncRead + Unpin,
    D: Decode,
{
    struct State<R, D> {
        reader: R,
        decoder: D,
        bytes: Vec<u8>,
        taken: usize,
        begun: Option<Instant>,
        unfinished: Rc<Cell<bool>>,
    }
    let state = State { reader, decoder, bytes: Vec::new(), taken: 0, begun: None, unfinished };
    stream::try_unfold(state, move |mut s| async move {
        let mut reads = 0;
        loop {
            s.taken += s.decoder.blank(&s.bytes[s.taken..]);
            if let Some((message, used)) = s.decoder.decode(&s.bytes[s.taken..])? {
                s.taken += used;
                s.begun = None;
                s.unfinished.set(s.taken < s.bytes.len());
                return Ok(Some((message, s)));
            }
            s.bytes.drain(..s.taken);
            s.taken = 0;
            s.unfinished.set(!s.bytes.is_empty());
            // Guards against a peer that stops half way: what else it holds would wait for ever.
            let read = if s.bytes.is_empty() {
                // Nothing is held for a connection that says nothing.
                s.bytes = Vec::new();
                read_some(&mut s.reader, &mut s.bytes, read).await
            } else {
                let left = rest.saturating_sub(s.begun.get_or_insert_with(Instant::now).elapsed());
                within(left, read_some(&mut s.reader, &mut s.bytes, read)).await.ok_or(WireError::Stalled)?
            };
            if read? == 0 {
                return Ok(None);
            }
            // Guards all others against a peer whose bytes are no message and keep coming.
            reads += 1;
            if reads >= READS_IN_A_TURN {
                reads = 0;
                future::yield_now().await;
            }
        }
    })
}

/// Reads without a whole message that one connection makes before others have their turn.
const READS_IN_A_TURN: usize = 8;

/// Bytes asked of a socket at once, at most.
const CHUNK: usize = 16 * 1024;

thread_local! {
    /// Where reads go before their length is known: all connections share it, as none keeps anything there.
    static SCRATCH: RefCell<Box<[u8]>> = RefCell::new(vec![0; CHUNK].into());
}

/// Waits for bytes and adds up to `most` of them. Nothing is allocated before they have come.
///
/// # Errors
/// As the reader's.
pub async fn read_some<R: AsyncRead + Unpin>(
    reader: &mut R,
    bytes: &mut Vec<u8>,
    most: usize,
) -> io::Result<usize> {
    future::poll_fn(|context| {
        SCRATCH.with_borrow_mut(|scratch| {
            let chunk = &mut scratch[..most.min(CHUNK)];
            let read = Pin::new(&mut *reader).poll_read(context, chunk);
            if let Poll::Ready(Ok(n)) = &read {
                bytes.extend_from_slice(&chunk[..*n]);
            }
            read
        })
    })
    .await
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

/// Tells of a socket whose owner is busy whether the other side has closed it, or its half.
#[derive(Clone, Debug, Default)]
pub struct HangUpProbe(Option<Weak<Async<TcpStream>>>);

impl HangUpProbe {
    /// Of this socket. One that is dropped counts as closed.
    pub fn new(stream: &Rc<Async<TcpStream>>) -> Self {
        HangUpProbe(Some(Rc::downgrade(stream)))
    }

    /// Whether nobody is there any more, whatever has come before and is not read yet. Never so without a socket.
    pub fn has_hung_up(&self) -> bool {
        self.0.as_ref().is_some_and(|socket| socket.upgrade().is_none_or(|stream| has_hung_up(&stream)))
    }
}

/// Whether the other side has closed a connection, or its half, whatever has come before and is not read yet.
pub fn has_hung_up(stream: &Async<TcpStream>) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let at_once = Timespec::default();
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut polled, Some(&at_once)).is_ok() && polled[0].revents().intersects(ends)
}

/// What comes next on a connection.
#[derive(Debug)]
pub enum Next<T> {
    Message(T),
    /// Bytes that nobody can read, or the connection broke.
    Failed(WireError),
    /// The other side has closed it, or closed its half.
    End,
    /// It is time to close it: its slot is wanted, or nothing has come for too long while nothing is owed.
    Leave,
}

/// A connection's place among those that its listener holds.
pub struct ConnectionSlot {
    /// An answer is owed on it.
    busy: Cell<bool>,
    /// A message has begun on it and is not whole.
    unfinished: Rc<Cell<bool>>,
    /// What becomes of connections now.
    policy: Cell<ConnectionPolicy>,
    /// The process accepts connections, and has time for those that are needed.
    accepting: Cell<bool>,
    /// Something has come on it, or it has had its time to say something.
    begun: Cell<bool>,
    /// Set-ups were refused on it so that it comes to be idle.
    refused: Cell<bool>,
    /// Calls stand that were set up on it.
    standing: Cell<bool>,
    /// It has got what it came for once.
    served_once: Cell<bool>,
    opened: Instant,
    active: Cell<Instant>,
    leave: (Sender<()>, Receiver<()>),
}

impl ConnectionSlot {
    fn new() -> Self {
        let now = Instant::now();
        ConnectionSlot {
            busy: Cell::new(false),
            unfinished: Rc::default(),
            policy: Cell::new(ConnectionPolicy::Keep),
            accepting: Cell::new(true),
            begun: Cell::new(false),
            refused: Cell::new(false),
            standing: Cell::new(false),
            served_once: Cell::new(false),
            opened: now,
            active: Cell::new(now),
            leave: async_channel::bounded(1),
        }
    }

    /// Something whole came or went; `busy` says whether an answer is owed now.
    pub fn used(&self, busy: bool) {
        self.begun.set(true);
        self.busy.set(busy);
        self.active.set(Instant::now());
        self.leave_if_told();
    }

    /// Says whether calls stand that were set up on it.
    pub fn set_standing(&self, standing: bool) {
        self.standing.set(standing);
    }

    /// A set-up was refused on it since clients are sent away.
    pub fn mark_refused(&self) {
        self.refused.set(true);
    }

    /// Whether a message has begun and is not whole, for [`messages_noting`].
    pub fn unfinished(&self) -> Rc<Cell<bool>> {
        self.unfinished.clone()
    }

    /// Whether nothing is owed on it, and nothing is about to be.
    fn idle(&self) -> bool {
        !self.busy.get() && !self.unfinished.get()
    }

    /// Whether it may close now. The release of a call that stands is owed to its caller within a second, so a connection
    /// with standing calls stays; set-ups that still come on it are refused.
    fn may_leave(&self) -> bool {
        let unneeded = self.idle() && self.begun.get() && !self.standing.get();
        let unfinished = self.unfinished.get();
        let refused = self.refused.get() && !self.standing.get();
        match self.policy.get() {
            ConnectionPolicy::Keep => self.idle(),
            ConnectionPolicy::CloseIdle if !self.accepting.get() => self.idle() && self.begun.get(),
            ConnectionPolicy::CloseIdle | ConnectionPolicy::RefuseNew => unneeded,
            ConnectionPolicy::EndBusy => unneeded || refused && !unfinished,
            ConnectionPolicy::CutUnfinished => {
                let stale = unfinished && !self.busy.get() && !self.standing.get() && !self.is_recent();
                unneeded || refused || stale
            }
            ConnectionPolicy::CloseAll => !unfinished,
        }
    }

    /// Whether a message that has begun on it may still be the first.
    fn is_recent(&self) -> bool {
        const FIRST_MESSAGE: Duration = Duration::from_secs(2);
        self.opened.elapsed() < FIRST_MESSAGE
    }

    /// Goes by a policy from now on. One that is new counts as used after `grace`.
    fn follow(&self, policy: ConnectionPolicy, accepting: bool, grace: Duration) {
        self.policy.set(policy);
        self.accepting.set(accepting);
        if self.opened.elapsed() >= grace {
            self.begun.set(true);
        }
        self.leave_if_told();
    }

    fn leave_if_told(&self) {
        if self.policy.get() > ConnectionPolicy::Keep && self.may_leave() {
            self.ask_to_leave();
        }
    }

    fn ask_to_leave(&self) {
        let _ = self.leave.0.try_send(());
    }

    pub fn mark_served(&self) {
        self.served_once.set(true);
    }

    /// How long it may say nothing while nothing is owed on it. A peer that was never served is given less time.
    fn patience(&self, limits: &Limits) -> Duration {
        if self.served_once.get() { limits.idle } else { limits.first }
    }

    /// Waits for what comes next.
    pub async fn next<T>(
        &self,
        mut messages: impl Stream<Item = Result<T, WireError>> + Unpin,
        limits: &Limits,
    ) -> Next<T> {
        loop {
            let next = async {
                match messages.next().await {
                    Some(Ok(message)) => Next::Message(message),
                    Some(Err(e)) => Next::Failed(e),
                    None => Next::End,
                }
            };
            let leave = async {
                let _ = self.leave.1.recv().await;
                Next::Leave
            };
            match within(self.patience(limits), future::or(next, leave)).await {
                // Guards a set-up that has come since the slot was asked for, or that is coming: its answer is owed here.
                Some(Next::Leave) if !self.may_leave() => {}
                Some(next) => return next,
                // Guards a connection that was served during the wait: what it is given counts as of now.
                None if self.idle() && self.active.get().elapsed() >= self.patience(limits) => {
                    return Next::Leave;
                }
                None => {}
            }
        }
    }
}

/// Asks some connections to leave on which nothing is owed: first those that were never served, and of these
/// the ones that have been idle longest. One that has just come may be about to speak.
fn make_room<'a>(slots: impl Iterator<Item = &'a Rc<ConnectionSlot>>, most: usize, settle: Duration) {
    let mut idle: Vec<_> =
        slots.filter(|s| s.idle() && s.active.get().elapsed() >= settle && s.leave.0.is_empty()).collect();
    idle.sort_by_key(|s| (s.served_once.get(), s.active.get()));
    for slot in idle.into_iter().take(most) {
        slot.ask_to_leave();
    }
}

/// Accepts connections, `most` at a time, numbered from 1, and has each served by a task of its own. Connections close as
/// `lifecycle` says; ends once it has stopped accepting and the last of them has ended.
pub async fn accept_all<F, S>(
    listener: Async<TcpListener>,
    slots: SlotLimits,
    limits: Limits,
    executor: Rc<LocalExecutor<'static>>,
    lifecycle: SharedLifecycle,
    serve: F,
) where
    F: Fn(Async<TcpStream>, u64, Rc<ConnectionSlot>) -> S,
    S: Future<Output = ()> + 'static,
{
    let acceptor = Acceptor {
        slots: Rc::default(),
        number: Cell::new(0),
        freed: async_channel::bounded(1),
        executor,
        lifecycle,
        limits,
        serve,
    };
    let stops = acceptor.lifecycle.stops_accepting();
    let accepting = acceptor.accept(&listener, slots);
    future::or(stops, future::or(accepting, acceptor.follow_policy())).await;
    // What waits in the queue was taken by this machine. Where the socket is shared, another process takes the rest.
    while let Ok((stream, _)) = listener.get_ref().accept() {
        match Async::new(stream) {
            Ok(stream) => acceptor.serve(stream),
            Err(e) => tracing::warn!(error = %e, "accept"),
        }
    }
    drop(listener);
    future::or(acceptor.all_ended(), acceptor.follow_policy()).await;
}

/// How many connections a listener holds, and which of them make room for others.
#[derive(Clone, Copy, Debug)]
pub struct SlotLimits {
    /// At most.
    pub most: usize,
    /// One that came or was used within this time does not make room.
    pub settle: Duration,
}

/// The connections that a listener holds.
struct Acceptor<F> {
    slots: Rc<RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>>,
    /// Number of the last connection.
    number: Cell<u64>,
    /// Told when a connection has ended.
    freed: (Sender<()>, Receiver<()>),
    executor: Rc<LocalExecutor<'static>>,
    lifecycle: SharedLifecycle,
    limits: Limits,
    serve: F,
}

impl<F, S> Acceptor<F>
where
    F: Fn(Async<TcpStream>, u64, Rc<ConnectionSlot>) -> S,
    S: Future<Output = ()> + 'static,
{
    async fn accept(&self, listener: &Async<TcpListener>, slots: SlotLimits) {
        loop {
            self.wait_for_room(slots).await;
            match listener.accept().await {
                Ok((stream, _)) => self.serve(stream),
                Err(e) => {
                    tracing::warn!(error = %e, "accept");
                    Timer::after(self.limits.pause).await;
                }
            }
            // A burst of connections must not keep the others from their turn.
            future::yield_now().await;
        }
    }

    /// Guards the descriptors, and the usual clients against others that fill all slots and say nothing.
    async fn wait_for_room(&self, slots: SlotLimits) {
        while self.slots.borrow().len() >= slots.most {
            make_room(self.slots.borrow().values(), slots.most / 8 + 1, slots.settle);
            within(self.limits.pause, self.freed.1.recv()).await;
        }
    }

    fn serve(&self, stream: Async<TcpStream>) {
        let number = self.number.get() + 1;
        self.number.set(number);
        let slot = Rc::new(ConnectionSlot::new());
        self.tell(&slot);
        self.slots.borrow_mut().insert(number, slot.clone());
        // On the heap at once: a future that is moved into another one takes its room twice.
        let served = Box::pin((self.serve)(stream, number, slot));
        let (slots, freed) = (self.slots.clone(), self.freed.0.clone());
        let task = async move {
            served.await;
            slots.borrow_mut().remove(&number);
            let _ = freed.try_send(());
        };
        self.executor.spawn(task).detach();
    }

    /// Tells a connection what becomes of connections now.
    fn tell(&self, slot: &ConnectionSlot) {
        let accepting = !self.lifecycle.has_stopped_accepting();
        let grace = match accepting {
            true => self.limits.drain.unused_grace,
            // Accepted in the last moment: what its client has begun to send comes by then.
            false => self.limits.settle,
        };
        slot.follow(self.lifecycle.connection_policy(), accepting, grace);
    }

    /// Has connections go by the policy of the lifecycle, for ever.
    async fn follow_policy(&self) {
        loop {
            let changed = self.lifecycle.changed();
            let policy = self.lifecycle.connection_policy();
            for slot in self.slots.borrow().values() {
                self.tell(slot);
            }
            // From then on the policy changes with time alone.
            let changes = policy > ConnectionPolicy::Keep || self.lifecycle.state() == State::ShuttingDown;
            match changes {
                true => drop(Timer::after(self.limits.close_interval).await),
                false => changed.await,
            }
        }
    }

    async fn all_ended(&self) {
        while !self.slots.borrow().is_empty() {
            let _ = self.freed.1.recv().await;
        }
    }
}

#[cfg(test)]
mod tests;

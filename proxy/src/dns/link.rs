//! The link to one name server. Each attempt has a socket of its own, and with it a port and an id that
//! cannot be foreseen; when the attempt is given up its socket closes, so a late reply reaches nobody.

use super::message::{NOERROR, NXDOMAIN, Query, Reply};
use super::{Decoder, framed};
use crate::clock::unix_now;
use crate::engine::{CAUSE_NORMAL, End, Input, Order, Payload, Setup};
use crate::hub::{Backend, Message};
use crate::limits::Limits;
use crate::net::{messages, within, write_all};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use fernspan_core::{CallId, Outcome, ServerId};
use futures_lite::{StreamExt, pin};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// What all name servers' links share.
pub struct NameServers {
    pub limits: Limits,
    pub executor: Rc<LocalExecutor<'static>>,
}

impl Backend for Rc<NameServers> {
    fn open(&self, server: ServerId, addr: &str, orders: Receiver<Order>, core: Sender<Message>) {
        match addr.parse() {
            Ok(addr) => self.executor.spawn(run(self.clone(), server, addr, core, orders)).detach(),
            Err(_) => tracing::warn!(server, addr, "name server without an address"),
        }
    }
}

/// Serves until the core drops its sender; the attempts that are out then end with it.
async fn run(
    shared: Rc<NameServers>,
    server: ServerId,
    addr: SocketAddr,
    core: Sender<Message>,
    orders: Receiver<Order>,
) {
    let mut out: BTreeMap<CallId, (u32, Task<()>)> = BTreeMap::new();
    while let Ok(order) = orders.recv().await {
        out.retain(|_, (_, task)| !task.is_finished());
        match order {
            // Guards against a second queue in front of a slow name server.
            Order::Start(setup) if out.len() >= shared.limits.out_per_server => {
                let end = End::plain(Outcome::NotSent);
                tell(&core, Input::Ended { id: setup.id, attempt: setup.attempt, server, end }).await;
            }
            Order::Start(setup) => {
                let (id, number) = (setup.id, setup.attempt);
                let task = shared.executor.spawn(attempt(shared.clone(), server, addr, core.clone(), setup));
                out.insert(id, (number, task));
            }
            // Dropping the task closes its socket.
            Order::Cancel(id) => drop(out.remove(&id)),
            // A look-up is over once it is answered, and a sent query cannot be called back. There is no load to ask for.
            Order::Release(..)
            | Order::Heard(_)
            | Order::Adopt(_)
            | Order::Drain
            | Order::Rest(_)
            | Order::Probe => {}
        }
    }
    for (id, (attempt, task)) in out {
        if task.cancel().await.is_none() {
            tell(&core, Input::Ended { id, attempt, server, end: End::plain(Outcome::Reset) }).await;
        }
    }
}

async fn tell(core: &Sender<Message>, input: Input) {
    // The core only closes its queue when the program ends.
    let _ = core.send(Message::Input(input)).await;
}

async fn attempt(
    shared: Rc<NameServers>,
    server: ServerId,
    addr: SocketAddr,
    core: Sender<Message>,
    setup: Setup,
) {
    let Setup { id, attempt, until, payload, .. } = setup;
    let limit = shared.limits.attempt.min(Duration::from_micros(until.saturating_sub(unix_now())));
    let answer = within(limit, look_up(&shared.limits, addr, &payload)).await;
    match answer.unwrap_or(Err(Outcome::Timeout)) {
        Ok(payload) => {
            tell(&core, Input::Stood { id, attempt, server, payload }).await;
            tell(&core, Input::Over { id, server, cause: CAUSE_NORMAL, report: None }).await;
        }
        Err(outcome) => tell(&core, Input::Ended { id, attempt, server, end: End::plain(outcome) }).await,
    }
}

/// Asks over UDP, and where the reply is cut short again over TCP, within the same time.
async fn look_up(limits: &Limits, addr: SocketAddr, asked: &[u8]) -> Result<Payload, Outcome> {
    // The front made the payload from a query that it had parsed.
    let query = Query::parse(asked).map_err(|_| Outcome::NotSent)?;
    let id = getrandom::u32().map_err(|_| Outcome::NotSent)? as u16;
    let bytes = query.onward(id);
    let socket = local_socket(addr).map_err(|_| Outcome::NotSent)?;
    socket.send(&bytes).await.map_err(|e| outcome(&e))?;
    let mut buffer = vec![0; limits.message];
    loop {
        let length = socket.recv(&mut buffer).await.map_err(|e| outcome(&e))?;
        match query.check(id, &buffer[..length]) {
            Reply::NotOurs => {}
            Reply::Truncated => return over_tcp(limits, addr, &query, id, &bytes).await,
            reply => return judged(reply, &buffer[..length]),
        }
    }
}

async fn over_tcp(
    limits: &Limits,
    addr: SocketAddr,
    query: &Query,
    id: u16,
    bytes: &[u8],
) -> Result<Payload, Outcome> {
    let connect = within(limits.connect, Async::<TcpStream>::connect(addr)).await;
    let stream = connect.ok_or(Outcome::NoRoute)?.map_err(|e| outcome(&e))?;
    let framed = framed(bytes).ok_or(Outcome::NotSent)?;
    write_all(&stream, &framed, limits.write).await.map_err(|e| outcome(&e))?;
    let replies = messages(&stream, Decoder { most: limits.message }, limits.read, limits.rest);
    pin!(replies);
    while let Some(Ok(reply)) = replies.next().await {
        match query.check(id, &reply) {
            Reply::NotOurs => {}
            // Nothing is cut short over TCP.
            Reply::Truncated => return judged(Reply::Malformed, &reply),
            found => return judged(found, &reply),
        }
    }
    Err(Outcome::Reset)
}

/// A socket that takes datagrams from this name server alone.
fn local_socket(addr: SocketAddr) -> io::Result<Async<UdpSocket>> {
    let any = if addr.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let any: SocketAddr = any.parse().map_err(io::Error::other)?;
    let socket = UdpSocket::bind(any)?;
    socket.connect(addr)?;
    Async::new(socket)
}

/// That a name does not exist is an answer. Any other code and a reply that is not well formed count as
/// 'full': it is the module's only word for 'not here now', upon which it goes to another server.
fn judged(reply: Reply, bytes: &[u8]) -> Result<Payload, Outcome> {
    match reply {
        Reply::Whole(NOERROR | NXDOMAIN) => Ok(bytes.into()),
        _ => Err(Outcome::Full),
    }
}

fn outcome(e: &io::Error) -> Outcome {
    match e.kind() {
        // Nobody listens there: nothing ran.
        io::ErrorKind::ConnectionRefused => Outcome::NoRoute,
        io::ErrorKind::TimedOut => Outcome::Timeout,
        _ => Outcome::Reset,
    }
}

//! The host of a link: opens the connections that it asks for, and carries messages between them and it.

use super::*;
use crate::clock::unix_now;
use crate::engine::{Input, Order};
use crate::figures::Figures;
use crate::hub::{self, Backend};
use crate::limits::Limits;
use crate::net::{messages, within, write_all};
use crate::sip::state::{Link, LinkCommand, LinkEvent, Shared};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use fernspan_core::ServerId;
use futures_lite::{StreamExt, future, pin};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Opens links.
pub struct Setups {
    pub shared: Rc<Shared>,
    pub figures: Figures,
    pub executor: Rc<LocalExecutor<'static>>,
}

impl Backend for Setups {
    fn open(&self, server: ServerId, addr: &str, orders: Receiver<Order>, core: Sender<hub::Message>) {
        let limits = &self.shared.limits;
        let Ok(addr) = addr.parse() else {
            tracing::warn!(server, addr, "no address");
            return;
        };
        let (tell, told) = async_channel::bounded(limits.link_events);
        let draw = || getrandom::u32().map_or(0.5, |r| f64::from(r) / f64::from(u32::MAX));
        let host = Host {
            link: Link::new(self.shared.clone(), server, unix_now(), Box::new(draw)),
            limits: limits.clone(),
            figures: self.figures.clone(),
            executor: self.executor.clone(),
            addr,
            server,
            core,
            tell,
            conns: BTreeMap::new(),
        };
        self.executor.spawn(host.run(orders, told)).detach();
    }
}

struct Host {
    link: Link,
    limits: Limits,
    figures: Figures,
    executor: Rc<LocalExecutor<'static>>,
    addr: SocketAddr,
    server: ServerId,
    core: Sender<hub::Message>,
    tell: Sender<(u64, LinkEvent)>,
    /// What is queued for each connection; one that is dropped here closes.
    conns: BTreeMap<u64, Sender<QueuedWrite>>,
}

/// Bytes for a connection.
struct QueuedWrite {
    bytes: Vec<u8>,
    /// They are a set-up.
    starts: bool,
}

enum Next {
    Order(Order),
    LinkEvent(u64, LinkEvent),
    Connect,
    End,
}

impl Host {
    /// Serves until the core drops its sender: the server is gone, or has moved.
    async fn run(mut self, orders: Receiver<Order>, told: Receiver<(u64, LinkEvent)>) {
        loop {
            let wait = self.link.next_timeout().map(|at| at.saturating_sub(unix_now()));
            let next = future::or(
                async { orders.recv().await.map_or(Next::End, Next::Order) },
                future::or(
                    async { told.recv().await.map_or(Next::End, |(c, t)| Next::LinkEvent(c, t)) },
                    async {
                        match wait {
                            Some(us) => Timer::after(Duration::from_micros(us)).await,
                            None => future::pending().await,
                        };
                        Next::Connect
                    },
                ),
            )
            .await;
            let now = unix_now();
            let inputs = match next {
                Next::Order(order) => self.link.handle_order(now, order),
                // Guards a release that comes as the program ends: a server that is told it was heard says it to nobody
                // else. What the core has ordered before still goes out.
                Next::LinkEvent(..) if self.core.is_closed() => continue,
                Next::LinkEvent(conn, told) => self.link.handle_event(now, conn, told),
                Next::Connect => self.link.handle_timeout(now),
                Next::End => break,
            };
            self.carry_out(inputs).await;
        }
        let inputs = self.link.end();
        self.carry_out(inputs).await;
    }

    /// Does what the link wants, and reports to the core.
    async fn carry_out(&mut self, mut inputs: Vec<Input>) {
        for todo in self.link.poll_commands() {
            match todo {
                LinkCommand::Connect(conn) => self.connect(conn),
                // Set-ups alone are bounded. What calls them off and what releases calls has to get through, and of
                // these there are no more than calls; a connection that takes nothing ends by itself.
                LinkCommand::Write(conn, bytes, setup) => {
                    let takes = |c: &&Sender<_>| setup.is_none() || c.len() < self.limits.link_queue;
                    let conn = self.conns.get(&conn).filter(takes);
                    let starts = setup.is_some();
                    let taken = conn.is_some_and(|c| c.try_send(QueuedWrite { bytes, starts }).is_ok());
                    if let Some(call) = setup.filter(|_| !taken) {
                        inputs.extend(self.link.unsent(call));
                    }
                }
                LinkCommand::Close(conn) => {
                    tracing::debug!(server = self.server, connection = conn, "server connection closed");
                    drop(self.conns.remove(&conn));
                }
            }
        }
        for input in inputs {
            if self.core.send(hub::Message::Input(input)).await.is_err() {
                return;
            }
        }
    }

    fn connect(&mut self, id: u64) {
        let (write, to_write) = async_channel::unbounded();
        self.conns.insert(id, write);
        let (addr, tell, limits) = (self.addr, self.tell.clone(), self.limits.clone());
        let (server, figures) = (self.server, self.figures.clone());
        let task = async move {
            let up = within(limits.connect, Async::<TcpStream>::connect(addr)).await;
            let stream = match up.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into())) {
                Ok(stream) => stream,
                Err(e) => {
                    let refused = e.kind() == io::ErrorKind::ConnectionRefused;
                    tracing::info!(server, connection = id, reason = %e, "server connection failed");
                    let _ = tell.send((id, LinkEvent::Failed { refused })).await;
                    return;
                }
            };
            let _ = stream.get_ref().set_nodelay(true);
            let _ = tell.send((id, LinkEvent::Up)).await;
            // Nothing more will come; what is on its way out leaves, until the link drops its end. Guards a release
            // or a give-up that crosses the close of the server's half.
            let ended = Cell::new(false);
            let reading = async {
                read(&limits, &stream, server, id, &tell).await;
                ended.set(true);
                let _ = tell.send((id, LinkEvent::Closed)).await;
                future::pending().await
            };
            future::or(reading, write_queue(&limits, &figures, &stream, to_write)).await;
            drop(stream);
            if !ended.get() {
                let _ = tell.send((id, LinkEvent::Closed)).await;
            }
        };
        self.executor.spawn(task).detach();
    }
}

async fn read(
    limits: &Limits,
    stream: &Async<TcpStream>,
    server: ServerId,
    id: u64,
    tell: &Sender<(u64, LinkEvent)>,
) {
    let messages = messages(stream, Decoder { most: limits.message }, limits.read, limits.server_rest);
    pin!(messages);
    while let Some(message) = messages.next().await {
        match message {
            Ok(message) => {
                if tell.send((id, LinkEvent::Message(message))).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                tracing::info!(server, connection = id, reason = %e, "server connection closes");
                return;
            }
        }
    }
}

/// Writes what is queued; ends when the link drops the connection or the server takes nothing more.
async fn write_queue(
    limits: &Limits,
    figures: &Figures,
    stream: &Async<TcpStream>,
    queue: Receiver<QueuedWrite>,
) {
    while let Ok(QueuedWrite { mut bytes, starts }) = queue.recv().await {
        let mut attempts = u64::from(starts);
        while let Ok(more) = queue.try_recv() {
            bytes.extend(more.bytes);
            attempts += u64::from(more.starts);
        }
        if write_all(stream, &bytes, limits.write).await.is_err() {
            return;
        }
        figures.dispatched(attempts);
    }
}

#[cfg(test)]
mod tests;

//! The host of a link: opens the connections that it asks for, and carries messages between them and it.

use super::*;
use crate::engine::{Input, Order};
use crate::hub::{self, Backend};
use crate::limits::Limits;
use crate::net::{messages, unix_now, within, write_all};
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
    pub executor: Rc<LocalExecutor<'static>>,
}

impl Backend for Setups {
    fn open(&self, server: ServerId, addr: &str, orders: Receiver<Order>, core: Sender<hub::Message>) {
        let limits = &self.shared.limits;
        let Ok(addr) = addr.parse() else {
            tracing::warn!(server, addr, "no address");
            return;
        };
        let (tell, told) = async_channel::bounded(limits.link_queue);
        let draw = || getrandom::u32().map_or(0.5, |r| f64::from(r) / f64::from(u32::MAX));
        let host = Host {
            link: Link::new(self.shared.clone(), server, unix_now(), Box::new(draw)),
            limits: limits.clone(),
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
    executor: Rc<LocalExecutor<'static>>,
    addr: SocketAddr,
    server: ServerId,
    core: Sender<hub::Message>,
    tell: Sender<(u64, LinkEvent)>,
    /// What is queued for each connection; one that is dropped here closes.
    conns: BTreeMap<u64, Sender<Vec<u8>>>,
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
                    let taken = conn.is_some_and(|c| c.try_send(bytes).is_ok());
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
        let server = self.server;
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
            future::or(reading, write_queue(&limits, &stream, to_write)).await;
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
async fn write_queue(limits: &Limits, stream: &Async<TcpStream>, bytes: Receiver<Vec<u8>>) {
    while let Ok(mut next) = bytes.recv().await {
        while let Ok(more) = bytes.try_recv() {
            next.extend(more);
        }
        if write_all(stream, &next, limits.write).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_lite::{AsyncReadExt, AsyncWriteExt};
    use std::net::TcpListener;

    type Opened = (Rc<LocalExecutor<'static>>, Async<TcpListener>, Sender<Order>, Receiver<hub::Message>);

    /// A link to a server that the test plays, with these orders: what it runs on, the server, and the core's ends.
    fn opened(first: impl Iterator<Item = Order>) -> Opened {
        let executor = Rc::new(LocalExecutor::new());
        let limits = Limits::new(256, 64 << 20, 20_000, Duration::from_millis(500), 9_000_000);
        let shared = Shared { classes: vec!["voice".to_owned()], gives_wait: true, limits };
        let server = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let at = server.get_ref().local_addr().expect("bound").to_string();
        let (core, told) = async_channel::unbounded();
        let (orders, to_do) = async_channel::unbounded();
        first.for_each(|order| orders.try_send(order).expect("room"));
        Setups { shared: Rc::new(shared), executor: executor.clone() }.open(0, &at, to_do, core);
        (executor, server, orders, told)
    }

    /// Hundreds of calls are released at a server before it can be reached, and all go out as it is. Guards against
    /// calls that stand for nobody: what a connection's queue had no room for was dropped.
    #[test]
    fn a_burst_of_releases_goes_out_whole() {
        const CALLS: u64 = 1_500;
        let (executor, server, _orders, _told) = opened((0..CALLS).map(|call| Order::Release(call, 16)));
        async_io::block_on(executor.run(async {
            let (mut link, _) = server.accept().await.expect("it connects");
            let (mut came, mut bytes) = (Vec::<u8>::new(), [0; 16_384]);
            while came.windows(4).filter(|w| w == b"BYE ").count() < CALLS as usize {
                let read = within(Duration::from_secs(10), link.read(&mut bytes)).await.expect("in time");
                came.extend(&bytes[..read.expect("open")]);
            }
        }));
    }

    /// A server releases a call in the moment in which the core has ended. Guards its caller against a release that the
    /// server takes for heard: it says it again on its next connection, which is the next process's.
    #[test]
    fn a_release_that_nobody_passes_on_is_not_heard() {
        let (executor, server, orders, told) = opened(std::iter::empty());
        let bye =
            b"BYE sip:x@net SIP/2.0\r\nCall-ID: 000000000000000a\r\nCSeq: 7 BYE\r\nContent-Length: 0\r\n\r\n";
        let heard = async_io::block_on(executor.run(async {
            let (mut link, _) = server.accept().await.expect("it connects");
            link.write_all(bye).await.expect("sent");
            let over = within(Duration::from_secs(10), told.recv()).await.expect("in time");
            assert!(matches!(over, Ok(hub::Message::Input(Input::Spoke { .. }))), "{over:?}");
            orders.try_send(Order::Heard(10)).expect("room");
            let mut bytes = [0; 256];
            let read = within(Duration::from_secs(10), link.read(&mut bytes)).await.expect("in time");
            assert!(bytes[..read.expect("open")].starts_with(b"SIP/2.0 200"), "with a core it is heard");
            told.close();
            link.write_all(bye).await.expect("sent");
            // The program closes what it has once the link's orders end, and nothing came before that.
            for _ in 0..200 {
                future::yield_now().await;
                Timer::after(Duration::from_micros(100)).await;
            }
            drop(orders);
            let read = within(Duration::from_secs(10), link.read(&mut bytes)).await.expect("in time");
            bytes[..read.unwrap_or(0)].to_vec()
        }));
        assert!(heard.is_empty(), "{}", heard.escape_ascii());
    }

    /// The core has ended with a release ordered: it goes out all the same.
    #[test]
    fn a_release_that_was_ordered_goes_out_as_the_core_ends() {
        let (executor, server, orders, told) = opened(std::iter::empty());
        let came = async_io::block_on(executor.run(async {
            let (mut link, _) = server.accept().await.expect("it connects");
            link.write_all(b"NOTIFY sip:peer@net SIP/2.0\r\nX-State: x0:1;x1:2\r\nContent-Length: 0\r\n\r\n")
                .await
                .expect("sent");
            within(Duration::from_secs(10), told.recv()).await.expect("in time").expect("the link lives");
            orders.try_send(Order::Release(10, 16)).expect("room");
            drop(orders);
            drop(told);
            let mut came = Vec::new();
            let all = within(Duration::from_secs(10), link.read_to_end(&mut came)).await;
            all.expect("in time").expect("it closes in order");
            came
        }));
        assert!(came.starts_with(b"BYE "), "{}", came.escape_ascii());
    }
}

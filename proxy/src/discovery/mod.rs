//! The client of the command channel: numbered events of the list of servers, one JSON object a line.
//!
//! [`follower`] decides on the connections, and this module opens them and hands on what the followed one tells.

pub mod follower;
mod line;

use crate::clock::unix_now;
use crate::hub::Message;
use crate::limits::Limits;
use crate::net::{WireError, messages, write_all};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use fernspan_core::Time;
use follower::{ChannelFollower, Command, ConnectionEvent, ConnectionId};
use futures_lite::{StreamExt, future, pin};
use line::{Line, LineDecoder};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Lines that may wait for the client; its connections are not read meanwhile.
const QUEUED_LINES: usize = 16;

/// What a connection tells the client.
enum ChannelEvent {
    Up,
    Line(Line),
    /// It has ended, in order or with an error.
    Ended(Result<(), WireError>),
}

/// What the client waits for.
enum Next {
    Channel(ConnectionId, ChannelEvent),
    Move(SocketAddr),
    Timeout,
}

/// How the program follows the command channel.
pub struct DiscoveryClient {
    pub addr: SocketAddr,
    pub zones: Vec<String>,
    pub limits: Limits,
    pub core: Sender<Message>,
    /// Number of the last event that is known.
    pub last: u64,
    /// Where the channel is after a reload.
    pub moves: Receiver<SocketAddr>,
    pub executor: Rc<LocalExecutor<'static>>,
}

impl DiscoveryClient {
    /// Follows the channel until the core has ended, from the last known event on.
    pub async fn run(self) {
        let draw = || getrandom::u32().map_or(0.5, |r| f64::from(r) / f64::from(u32::MAX));
        let follower = ChannelFollower::new(self.limits.channel.clone(), unix_now(), Box::new(draw));
        let (tell, events) = async_channel::bounded(QUEUED_LINES);
        let host = Host { client: self, follower, connections: HashMap::new(), tell, events, last_end: None };
        host.run().await;
    }
}

struct Host {
    client: DiscoveryClient,
    follower: ChannelFollower,
    /// One that is dropped here closes.
    connections: HashMap<ConnectionId, Task<()>>,
    tell: Sender<(ConnectionId, ChannelEvent)>,
    events: Receiver<(ConnectionId, ChannelEvent)>,
    /// How the last connection has ended, if nothing has come since.
    last_end: Option<String>,
}

impl Host {
    async fn run(mut self) {
        while !self.client.core.is_closed() {
            for command in self.follower.poll_commands() {
                match command {
                    Command::Connect(id) => self.connect(id),
                    Command::Close(id) => drop(self.connections.remove(&id)),
                }
            }
            match self.next().await {
                Next::Channel(id, event) => self.handle_event(id, event).await,
                Next::Move(addr) => {
                    self.client.addr = addr;
                    self.follower.handle_move(unix_now());
                }
                Next::Timeout => self.handle_timeout(),
            }
        }
    }

    async fn next(&self) -> Next {
        let moved = async {
            match self.client.moves.recv().await {
                Ok(addr) => Next::Move(addr),
                // No reload will come.
                Err(_) => future::pending().await,
            }
        };
        let channel = async {
            match self.events.recv().await {
                Ok((id, event)) => Next::Channel(id, event),
                Err(_) => future::pending().await,
            }
        };
        let wait: Time = self.follower.next_timeout().saturating_sub(unix_now());
        let timeout = async {
            Timer::after(Duration::from_micros(wait)).await;
            Next::Timeout
        };
        future::or(moved, future::or(channel, timeout)).await
    }

    fn handle_timeout(&mut self) {
        if !self.connections.is_empty() {
            tracing::debug!(addr = %self.client.addr, "command channel silent; another connection is opened");
        }
        self.follower.handle_timeout(unix_now());
    }

    async fn handle_event(&mut self, id: ConnectionId, event: ChannelEvent) {
        if !self.follower.is_open(id) {
            return;
        }
        match event {
            ChannelEvent::Up => self.follower.handle_event(unix_now(), id, ConnectionEvent::Up),
            ChannelEvent::Line(line) => {
                self.log_line();
                self.follower.handle_event(unix_now(), id, ConnectionEvent::Line);
                if let Err(error) = self.take(line).await {
                    self.end(id, Err(error));
                }
            }
            ChannelEvent::Ended(result) => self.end(id, result),
        }
    }

    /// Applies an event that follows on the last one. One that was applied before is nothing new.
    async fn take(&mut self, line: Line) -> Result<(), WireError> {
        match line {
            // They were lost on the way: the next connection asks again from the last one.
            Line::Last(last) if last > self.client.last => Err(WireError::Malformed("events missing")),
            Line::Event(event) if event.cursor > self.client.last + 1 => {
                Err(WireError::Malformed("gap in the events"))
            }
            Line::Event(event) if event.cursor == self.client.last + 1 => {
                self.client.last = event.cursor;
                // The core has ended where it takes nothing any more, which `run` sees.
                let _ = self.client.core.send(Message::List(event.kind, event.servers)).await;
                Ok(())
            }
            Line::Last(_) | Line::Event(_) => Ok(()),
        }
    }

    fn end(&mut self, id: ConnectionId, result: Result<(), WireError>) {
        self.follower.handle_event(unix_now(), id, ConnectionEvent::Ended);
        let reason = result.map_or_else(|error| error.to_string(), |()| "closed".to_owned());
        if self.last_end.as_ref() != Some(&reason) {
            tracing::warn!(addr = %self.client.addr, reason, "command channel ends; it is connected to again");
        }
        self.last_end = Some(reason);
    }

    fn log_line(&mut self) {
        if self.last_end.take().is_some() {
            tracing::info!(addr = %self.client.addr, last = self.client.last, "command channel speaks again");
        }
    }

    fn connect(&mut self, id: ConnectionId) {
        let connection = ChannelConnection {
            id,
            addr: self.client.addr,
            last: self.client.last,
            zones: self.client.zones.clone(),
            limits: self.client.limits.clone(),
            tell: self.tell.clone(),
        };
        self.connections.insert(id, self.client.executor.spawn(connection.run()));
    }
}

/// One connection to the channel.
struct ChannelConnection {
    id: ConnectionId,
    addr: SocketAddr,
    /// The events after this one are asked for.
    last: u64,
    zones: Vec<String>,
    limits: Limits,
    tell: Sender<(ConnectionId, ChannelEvent)>,
}

impl ChannelConnection {
    async fn run(self) {
        let result = self.read().await;
        self.tell(ChannelEvent::Ended(result)).await;
    }

    async fn read(&self) -> Result<(), WireError> {
        let stream = Async::<TcpStream>::connect(self.addr).await?;
        let _ = stream.get_ref().set_nodelay(true);
        self.tell(ChannelEvent::Up).await;
        write_all(&stream, format!("resume {}\n", self.last).as_bytes(), self.limits.write).await?;
        // A line holds a whole list, so its limit is its own.
        let decoder = LineDecoder { most: 64 * self.limits.message, zones: self.zones.clone() };
        let lines = messages(&stream, decoder, self.limits.read, self.limits.channel.line_timeout);
        pin!(lines);
        while let Some(line) = lines.next().await {
            self.tell(ChannelEvent::Line(line?)).await;
        }
        Ok(())
    }

    async fn tell(&self, event: ChannelEvent) {
        let _ = self.tell.send((self.id, event)).await;
    }
}

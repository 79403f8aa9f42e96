//! The command channel: numbered events of the list of servers, one JSON object a line.

use crate::hub::Message;
use crate::limits::Limits;
use crate::list_event::{ListEvent, event};
use crate::net::{Decode, WireError, drawn, messages, within, write_all};
use crate::oddity;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use fernspan_settings::json;
use futures_lite::{StreamExt, future, pin};
use std::net::{SocketAddr, TcpStream};

/// A line of the channel.
#[derive(Debug)]
pub enum Line {
    Event(ListEvent),
    /// The number of the last event, said every second.
    Last(u64),
}

/// Cuts the channel into lines.
struct Lines {
    most: usize,
    zones: Vec<String>,
}

impl Decode for Lines {
    type Message = Line;

    fn decode(&mut self, bytes: &[u8]) -> Result<Option<(Line, usize)>, WireError> {
        let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
            return if bytes.len() > self.most { Err(WireError::TooLong) } else { Ok(None) };
        };
        let text = std::str::from_utf8(&bytes[..end]).map_err(|_| WireError::Malformed("line is no text"))?;
        let line = match text.trim().parse() {
            Ok(last) => Line::Last(last),
            Err(_) => {
                let value = json::parse(text).map_err(|_| WireError::Malformed("line is no JSON"))?;
                let mut oddities = Vec::new();
                let event = event(&value, &self.zones, &mut oddities).map_err(|e| {
                    tracing::warn!("command channel: {e}");
                    WireError::Malformed("event")
                })?;
                oddity::log(&oddities);
                Line::Event(event)
            }
        };
        Ok(Some((line, end + 1)))
    }
}

/// The command channel of one proxy.
pub struct Feed {
    pub addr: SocketAddr,
    pub zones: Vec<String>,
    pub limits: Limits,
    pub core: Sender<Message>,
    /// Number of the last event that is known.
    pub last: u64,
    /// Where the channel is after a reload.
    pub moves: Receiver<SocketAddr>,
    /// How the last connection to it has ended, if nothing has come since.
    pub last_end: Option<String>,
}

impl Feed {
    /// Follows the channel for ever, from the last known event on.
    pub async fn run(mut self) {
        let moves = self.moves.clone();
        loop {
            let followed = async {
                let ended = self.follow().await;
                self.log_end(ended.err());
                Timer::after(drawn(self.limits.feed_retry)).await;
                None
            };
            // Without a reload to come it waits here for ever, as it should.
            let moved = async {
                match moves.recv().await {
                    Ok(addr) => Some(addr),
                    Err(_) => future::pending().await,
                }
            };
            // A move drops the old connection and goes on from the last event.
            if let Some(addr) = future::or(moved, followed).await {
                self.addr = addr;
            }
        }
    }

    /// Names an end in the log, unless the one before was the same and nothing has come since.
    fn log_end(&mut self, error: Option<WireError>) {
        let text = error.map_or_else(|| "closed".to_owned(), |error| error.to_string());
        if self.last_end.as_ref() != Some(&text) {
            tracing::warn!(addr = %self.addr, reason = text, "command channel ends; it is connected to again");
        }
        self.last_end = Some(text);
    }

    async fn follow(&mut self) -> Result<(), WireError> {
        let silent = || WireError::Io(std::io::ErrorKind::TimedOut.into());
        let connect = Async::<TcpStream>::connect(self.addr);
        let stream = within(self.limits.feed_connect, connect).await.ok_or_else(silent)??;
        let _ = stream.get_ref().set_nodelay(true);
        write_all(&stream, format!("resume {}\n", self.last).as_bytes(), self.limits.write).await?;
        // A line holds a whole list, so its limit is its own.
        let lines = Lines { most: 64 * self.limits.message, zones: self.zones.clone() };
        let lines = messages(&stream, lines, self.limits.read, self.limits.feed_silence);
        pin!(lines);
        // Closing sooner and asking again, at the end of the queue, would put a crowded channel's answer off for ever.
        let mut patience = self.limits.feed_first_word;
        while let Some(line) = within(patience, lines.next()).await.ok_or_else(silent)? {
            patience = self.limits.feed_silence;
            if line.is_ok() && self.last_end.take().is_some() {
                tracing::info!(addr = %self.addr, last = self.last, "command channel speaks again");
            }
            match line? {
                // Guards against events that were lost on the way: ask again from the last one.
                Line::Last(last) if last > self.last => return Err(WireError::Malformed("events missing")),
                Line::Event(e) if e.cursor > self.last + 1 => {
                    return Err(WireError::Malformed("gap in the events"));
                }
                Line::Event(e) if e.cursor == self.last + 1 => {
                    if self.core.send(Message::List(e.kind, e.servers)).await.is_err() {
                        return Ok(());
                    }
                    // After the core has it: a reload may drop this task's wait for room in the queue.
                    self.last = e.cursor;
                }
                Line::Last(_) | Line::Event(_) => {}
            }
        }
        Ok(())
    }
}

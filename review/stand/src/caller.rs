//! Callers: the binary protocol of the protocol page.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const SETUP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
const HEARD: u8 = 16;
const TEST: u8 = 52;
const TESTED: u8 = 53;

#[derive(Clone, Debug)]
pub struct Message {
    pub kind: u8,
    pub call: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn new(kind: u8, call: u64) -> Message {
        Message { kind, call, parameters: Vec::new() }
    }

    pub fn with(mut self, code: u8, value: &[u8]) -> Message {
        self.parameters.push((code, value.to_vec()));
        self
    }

    pub fn cause(&self) -> Option<u8> {
        self.parameters.iter().find(|p| p.0 == 44).and_then(|p| p.1.first().copied())
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut rest = vec![self.kind];
        rest.extend(self.call.to_be_bytes());
        for (code, value) in &self.parameters {
            rest.push(*code);
            rest.extend((value.len() as u16).to_be_bytes());
            rest.extend(value);
        }
        let mut all = (rest.len() as u16).to_be_bytes().to_vec();
        all.extend(rest);
        all
    }

    /// The first whole message, and how many bytes it takes.
    pub fn read(bytes: &[u8]) -> Option<(Message, usize)> {
        let length = usize::from(u16::from_be_bytes([*bytes.first()?, *bytes.get(1)?]));
        let body = bytes.get(2..2 + length)?;
        let mut message = Message::new(*body.first()?, u64::from_be_bytes(body.get(1..9)?.try_into().ok()?));
        let mut left = &body[9..];
        while let [code, a, b, rest @ ..] = left {
            let n = usize::from(u16::from_be_bytes([*a, *b])).min(rest.len());
            message.parameters.push((*code, rest[..n].to_vec()));
            left = &rest[n..];
        }
        Some((message, length + 2))
    }

    pub fn shown(&self) -> String {
        let kind = match self.kind {
            SETUP => "set-up",
            ANSWER => "answer: stands",
            RELEASE => "release",
            HEARD => "release heard",
            TEST => "test",
            TESTED => "tested",
            _ => "other",
        };
        let cause = self.cause().map(|c| format!(" cause {c}")).unwrap_or_default();
        format!("{kind} {:016x}{cause}", self.call)
    }
}

/// A caller's description of itself.
pub fn description(call: u64) -> String {
    format!("{call:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n")
}

/// A set-up whose first choice is the server of this cell.
pub fn set_up(call: u64, cell: usize, ms: u64, description: &str) -> Message {
    Message::new(SETUP, call)
        .with(16, b"session-lookup")
        .with(18, ms.to_string().as_bytes())
        .with(20, b"tv")
        .with(24, format!("{call:016x}").as_bytes())
        .with(26, format!("dest:{cell};width:1;via:-1").as_bytes())
        .with(46, description.as_bytes())
}

/// What came on a connection, with the time.
#[derive(Default)]
struct Inbox {
    messages: Mutex<Vec<(Instant, Message)>>,
    came: Condvar,
}

/// One connection to the proxy.
pub struct Caller {
    name: String,
    record: Record,
    stream: TcpStream,
    inbox: Arc<Inbox>,
}

impl Caller {
    pub fn connect(record: &Record, name: &str, listen: SocketAddr) -> std::io::Result<Caller> {
        let stream = TcpStream::connect_timeout(&listen, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let inbox = Arc::new(Inbox::default());
        let caller = Caller { name: name.to_owned(), record: record.clone(), stream, inbox };
        if name != "front" && !name.starts_with("crowd") {
            record.note(name, "connects");
        }
        let (mut reading, inbox) = (caller.stream.try_clone()?, caller.inbox.clone());
        let (record, name) = (caller.record.clone(), caller.name.clone());
        // The front's tests, and crowds, would fill the record.
        let quiet = name == "front" || name.starts_with("crowd");
        std::thread::spawn(move || {
            let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
            while let Ok(n) = reading.read(&mut chunk) {
                if n == 0 {
                    break;
                }
                bytes.extend_from_slice(&chunk[..n]);
                while let Some((message, used)) = Message::read(&bytes) {
                    bytes.drain(..used);
                    if !quiet {
                        record.note(&name, &format!("gets {}", message.shown()));
                    }
                    if let Ok(mut messages) = inbox.messages.lock() {
                        messages.push((Instant::now(), message));
                    }
                    inbox.came.notify_all();
                }
            }
            if !quiet {
                record.note(&name, "connection has ended");
            }
        });
        Ok(caller)
    }

    pub fn send(&self, message: &Message) -> bool {
        if self.name != "front" {
            self.record.note(&self.name, &format!("sends {}", message.shown()));
        }
        (&self.stream).write_all(&message.bytes()).is_ok()
    }

    /// A set-up whose first choice is the server of this cell; its caller waits 3 s.
    pub fn set_up(&self, call: u64, cell: usize) -> bool {
        self.send(&set_up(call, cell, 3_000, &description(call)))
    }

    /// Bytes at full speed, without a line in the record for each message.
    pub fn send_bytes(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }

    /// How many final answers and releases have come.
    pub fn count(&self) -> usize {
        self.inbox.messages.lock().map_or(0, |all| all.len())
    }

    /// The first message of this kind for a call, if it comes in time.
    pub fn wait(&self, call: u64, kind: u8, until: Instant) -> Option<(Instant, Message)> {
        let mut messages = self.inbox.messages.lock().ok()?;
        loop {
            if let Some(found) = messages.iter().find(|(_, m)| m.call == call && m.kind == kind) {
                return Some(found.clone());
            }
            let left = until.checked_duration_since(Instant::now())?;
            messages = self.inbox.came.wait_timeout(messages, left).ok()?.0;
        }
    }

    /// Whether one has come so far.
    pub fn got(&self, call: u64, kind: u8) -> Option<(Instant, Message)> {
        self.wait(call, kind, Instant::now())
    }

    /// Whether anything of this kind has come so far.
    pub fn got_any(&self, kind: u8) -> bool {
        self.inbox.messages.lock().is_ok_and(|all| all.iter().any(|(_, m)| m.kind == kind))
    }

    pub fn passes_test(&self) -> bool {
        self.send(&Message::new(TEST, 1).with(44, &[0]));
        let answer = self.wait(1, TESTED, Instant::now() + Duration::from_secs(1));
        answer.is_some_and(|(_, m)| m.cause() == Some(1))
    }

    pub fn close(self) {
        self.record.note(&self.name, "closes its connection");
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

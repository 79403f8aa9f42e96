//! Callers: set-ups on connections, and what comes of them.

use crate::world::{World, now, pause};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;

/// What a caller knows of its call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub stands: Option<u64>,
    /// The first release, and its cause.
    pub released: Option<(u64, u8)>,
    /// Final answers to its set-up.
    pub answers: u32,
}

/// All calls of a case, by id.
pub struct Callers {
    world: Arc<World>,
    pub proxy: String,
    class: String,
    tenant: Option<String>,
    pub calls: Mutex<BTreeMap<String, Call>>,
    next: Mutex<u64>,
}

/// One connection.
pub struct Connection {
    callers: Arc<Callers>,
    name: String,
    stream: Mutex<TcpStream>,
}

impl Callers {
    pub fn new(world: &Arc<World>, proxy: &str, class: &str, tenant: Option<&str>) -> Arc<Callers> {
        Arc::new(Callers {
            world: world.clone(),
            proxy: proxy.to_owned(),
            class: class.to_owned(),
            tenant: tenant.map(str::to_owned),
            calls: Mutex::default(),
            next: Mutex::new(0x1000_0000_0000_0001),
        })
    }

    /// Waits until the proxy passes a test.
    pub fn wait_ready(self: &Arc<Self>) {
        for _ in 0..150 {
            if let Ok(mut stream) = TcpStream::connect(&self.proxy) {
                let _ = stream.set_read_timeout(Some(std::time::Duration::from_millis(300)));
                let _ = stream.write_all(&message(52, 0x7e57, &[(44, &[0])]));
                let mut answer = [0; 64];
                if let Ok(n) = stream.read(&mut answer)
                    && n > 0
                    && answer[n - 1] == 1
                {
                    self.world.say("the proxy passes a test");
                    return;
                }
            }
            pause(100);
        }
        self.world.cannot("the proxy is not ready after 15 s");
    }

    pub fn connect(self: &Arc<Self>, name: &str) -> Arc<Connection> {
        let Ok(stream) = TcpStream::connect(&self.proxy) else {
            self.world.cannot("the proxy takes no connection")
        };
        let _ = stream.set_nodelay(true);
        let reader = stream.try_clone().unwrap();
        let connection =
            Arc::new(Connection { callers: self.clone(), name: name.to_owned(), stream: Mutex::new(stream) });
        self.world.say(format!("caller {name} connects"));
        let (callers, name) = (self.clone(), name.to_owned());
        thread::spawn(move || callers.read(reader, &name));
        connection
    }

    fn read(&self, mut stream: TcpStream, name: &str) {
        let mut bytes: Vec<u8> = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            while bytes.len() >= 2 {
                let length = usize::from(u16::from_be_bytes([bytes[0], bytes[1]])) + 2;
                if bytes.len() < length {
                    break;
                }
                let body: Vec<u8> = bytes.drain(..length).skip(2).collect();
                self.message(name, &body);
            }
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            }
        }
        self.world.say(format!("caller {name}: its connection is closed"));
    }

    fn message(&self, name: &str, body: &[u8]) {
        let call: String = body[1..9].iter().map(|b| format!("{b:02x}")).collect();
        let cause = parameter(&body[9..], 44).and_then(|v| v.first().copied()).unwrap_or(0);
        let mut calls = self.calls.lock().unwrap();
        let known = calls.get_mut(&call);
        match (body[0], known) {
            (9, Some(known)) => {
                self.world.say(format!("caller {name}: {call} stands"));
                known.stands = Some(now());
                known.answers += 1;
            }
            (12, Some(known)) => {
                self.world.say(format!("caller {name}: {call} is released, cause {cause}"));
                known.answers += u32::from(known.stands.is_none());
                known.released.get_or_insert((now(), cause));
            }
            (kind, _) => self.world.say(format!("caller {name}: message of type {kind} for {call}")),
        }
    }
}

impl Connection {
    /// Sends a set-up whose first choice is the server of that cell.
    pub fn set_up(&self, patience: u64, cell: usize) -> String {
        let callers = &self.callers;
        let id = {
            let mut next = callers.next.lock().unwrap();
            *next += 1;
            *next
        };
        let call = format!("{id:016x}");
        let (patience, figures) = (patience.to_string(), format!("dest:{cell};width:1;via:-1"));
        let body = format!("{call}\r\nc=IN IP4 127.0.0.1\r\nm=audio 30000 RTP/AVP 0\r\n");
        let mut fields: Vec<(u8, &[u8])> = vec![(16, callers.class.as_bytes()), (18, patience.as_bytes())];
        if let Some(tenant) = &callers.tenant {
            fields.push((20, tenant.as_bytes()));
        }
        let number = format!("{:016x}", id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        fields.extend([(24, number.as_bytes()), (26, figures.as_bytes()), (46, body.as_bytes())]);
        callers.world.say(format!("caller {}: set-up {call}", self.name));
        callers.calls.lock().unwrap().insert(call.clone(), Call::default());
        let bytes = message(1, id, &fields);
        if self.stream.lock().unwrap().write_all(&bytes).is_err() {
            callers.world.say(format!("caller {}: {call} could not be written", self.name));
        }
        call
    }
}

fn message(kind: u8, call: u64, fields: &[(u8, &[u8])]) -> Vec<u8> {
    let mut rest = vec![kind];
    rest.extend(call.to_be_bytes());
    for (code, value) in fields {
        rest.push(*code);
        rest.extend((value.len() as u16).to_be_bytes());
        rest.extend_from_slice(value);
    }
    let mut bytes = (rest.len() as u16).to_be_bytes().to_vec();
    bytes.extend(rest);
    bytes
}

fn parameter(mut left: &[u8], code: u8) -> Option<&[u8]> {
    while left.len() >= 3 {
        let length = usize::from(u16::from_be_bytes([left[1], left[2]]));
        let value = left.get(3..3 + length)?;
        if left[0] == code {
            return Some(value);
        }
        left = &left[3 + length..];
    }
    None
}

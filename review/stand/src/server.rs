//! A setup server: the part of SIP that the protocol page describes.

use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const LINES: usize = 200;

/// A call at the server.
struct Call {
    connection: u64,
    stands: bool,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, TcpStream>,
    next: u64,
    calls: BTreeMap<u64, Call>,
    /// How long calls stand, for those that do not stand for the usual time.
    holds: BTreeMap<u64, Duration>,
    hold: Duration,
    answer_after: Duration,
    /// Releases that this server has sent: when, and which.
    releases: Vec<(Instant, u64)>,
    /// Calls whose release is also to go out on the next connection that is opened.
    again: Vec<u64>,
    /// When set-ups came.
    set_ups: Vec<Instant>,
}

/// Handles share one server.
#[derive(Clone)]
pub struct Server {
    name: String,
    record: Record,
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Server {
    /// Listens at a free loopback address. It answers set-ups after a while, and calls stand for a while.
    pub fn start(
        record: &Record,
        name: &str,
        answer_after: Duration,
        hold: Duration,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let state = State { answer_after, hold, ..State::default() };
        let server = Server {
            name: name.to_owned(),
            record: record.clone(),
            addr,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let here = server.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                here.accept(stream);
            }
        });
        Ok(server)
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let done = f(&mut self.state.0.lock().unwrap_or_else(|e| e.into_inner()));
        self.state.1.notify_all();
        done
    }

    /// Has this call stand for so long.
    pub fn holds(&self, call: u64, hold: Duration) {
        self.with(|s| s.holds.insert(call, hold));
    }

    /// When set-ups came.
    pub fn set_ups(&self) -> Vec<Instant> {
        self.with(|s| s.set_ups.clone())
    }

    /// When this server has sent the release of a call first.
    pub fn released(&self, call: u64) -> Option<Instant> {
        self.with(|s| s.releases.iter().find(|r| r.1 == call).map(|r| r.0))
    }

    /// Waits until this server has released a call.
    pub fn wait_released(&self, call: u64, until: Instant) -> Option<Instant> {
        while Instant::now() < until {
            if let Some(at) = self.released(call) {
                return Some(at);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        None
    }

    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writing) = stream.try_clone() else { return };
        let (number, again) = self.with(|s| {
            s.next += 1;
            s.connections.insert(s.next, writing);
            (s.next, std::mem::take(&mut s.again))
        });
        self.record.note(&self.name, &format!("takes connection {number}"));
        // The state of the group comes before anything else.
        self.notify(number);
        for call in again {
            self.write_release(number, call);
        }
        let here = self.clone();
        std::thread::spawn(move || here.read(stream, number));
    }

    fn report(&self) -> String {
        let busy = self.with(|s| s.calls.len());
        format!("x0:{};x1:{LINES};util:0.3;queue:0", LINES - busy.min(LINES))
    }

    fn notify(&self, number: u64) {
        let text = format!(
            "NOTIFY sip:state@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\n\
             X-State: {}\r\nContent-Length: 0\r\n\r\n",
            self.report()
        );
        self.write(number, &text);
    }

    /// The lines in use have changed: all open connections are told.
    fn changed(&self) {
        let open: Vec<u64> = self.with(|s| s.connections.keys().copied().collect());
        open.into_iter().for_each(|number| self.notify(number));
    }

    fn write(&self, number: u64, text: &str) -> bool {
        self.with(|s| s.connections.get(&number).is_some_and(|mut c| c.write_all(text.as_bytes()).is_ok()))
    }

    fn write_release(&self, number: u64, call: u64) {
        let text = format!(
            "BYE sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 BYE\r\n\
             Reason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
        );
        let done = self.write(number, &text);
        let done = if done { "" } else { " (not written)" };
        self.record.note(&self.name, &format!("sends release {call:016x} on connection {number}{done}"));
    }

    /// A call has come to its end: its release goes out on the connection of its set-up, failing that on any open one, and
    /// also on the next connection that is opened.
    fn end_call(&self, call: u64) {
        let found = self.with(|s| {
            let own = s.calls.remove(&call)?.connection;
            s.again.push(call);
            s.releases.push((Instant::now(), call));
            let own = s.connections.contains_key(&own).then_some(own);
            Some(own.or_else(|| s.connections.keys().next().copied()))
        });
        match found {
            Some(Some(number)) => self.write_release(number, call),
            Some(None) => {
                self.record.note(&self.name, &format!("release {call:016x} waits for a connection"))
            }
            None => return,
        }
        self.changed();
    }

    fn read(&self, mut stream: TcpStream, number: u64) {
        let (mut bytes, mut chunk) = (Vec::new(), [0; 16384]);
        loop {
            match stream.read(&mut chunk) {
                Ok(n) if n > 0 => bytes.extend_from_slice(&chunk[..n]),
                _ => break,
            }
            while let Some((message, used)) = Message::read(&bytes) {
                bytes.drain(..used);
                self.take(number, message);
            }
        }
        self.record.note(&self.name, &format!("connection {number} has ended"));
        let _ = stream.shutdown(Shutdown::Both);
        self.with(|s| {
            s.connections.remove(&number);
            s.calls.retain(|_, c| c.stands || c.connection != number);
        });
    }

    fn take(&self, number: u64, message: Message) {
        let call = message.call();
        let note = |what: &str| {
            self.record.note(&self.name, &format!("gets {what} {call:016x} on connection {number}"))
        };
        match message.method.as_str() {
            "INVITE" => {
                note("set-up");
                let after = self.with(|s| {
                    s.set_ups.push(Instant::now());
                    s.calls.insert(call, Call { connection: number, stands: false });
                    s.answer_after
                });
                let here = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(after);
                    here.answer(number, call, &message);
                });
            }
            "CANCEL" => {
                note("give-up");
                self.with(|s| {
                    if s.calls.get(&call).is_some_and(|c| !c.stands) {
                        s.calls.remove(&call);
                    }
                });
            }
            "BYE" => {
                note("release");
                self.with(|s| s.calls.remove(&call));
                self.write(number, &message.response("200 OK", "", ""));
                self.changed();
            }
            "OPTIONS" => {
                note("test");
                self.write(number, &message.response("200 OK", "", ""));
            }
            _ => {}
        }
    }

    fn answer(&self, number: u64, call: u64, invite: &Message) {
        let hold = self.with(|s| {
            let call_here = s.calls.get_mut(&call).filter(|c| c.connection == number && !c.stands)?;
            call_here.stands = true;
            Some(s.holds.get(&call).copied().unwrap_or(s.hold))
        });
        let Some(hold) = hold else { return };
        let state = format!("X-State: {}\r\n", self.report());
        let made = format!("{call:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 32000 RTP/AVP 0 8 101\r\n");
        self.write(number, &invite.response("200 OK", &state, &made));
        self.record.note(&self.name, &format!("answers {call:016x}: it stands"));
        self.changed();
        std::thread::sleep(hold);
        self.end_call(call);
    }
}

/// One message of the proxy.
pub struct Message {
    pub method: String,
    headers: Vec<(String, String)>,
}

impl Message {
    fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    /// The call that it names.
    pub fn call(&self) -> u64 {
        u64::from_str_radix(self.get("Call-ID").unwrap_or_default(), 16).unwrap_or_default()
    }

    /// The first whole message, and how many bytes it takes.
    pub fn read(bytes: &[u8]) -> Option<(Message, usize)> {
        let head = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let method = lines.next()?.split(' ').next()?.to_owned();
        let headers =
            lines.filter_map(|l| l.split_once(':')).map(|(n, v)| (n.trim().into(), v.trim().into()));
        let message = Message { method, headers: headers.collect() };
        let length: usize = message.get("Content-Length").and_then(|n| n.parse().ok()).unwrap_or(0);
        (bytes.len() >= head + 4 + length).then_some((message, head + 4 + length))
    }

    pub fn response(&self, status: &str, headers: &str, body: &str) -> String {
        let same = |name: &str| self.get(name).map(|v| format!("{name}: {v}\r\n")).unwrap_or_default();
        format!(
            "SIP/2.0 {status}\r\n{}{}{}{headers}Content-Length: {}\r\n\r\n{body}",
            same("Via"),
            same("Call-ID"),
            same("CSeq"),
            body.len()
        )
    }
}

//! A setup server: answers set-ups, holds the calls that stand, and releases them at their end.

use crate::world::{World, now, pause};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// What becomes of a set-up.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The final response, after so many milliseconds.
    pub status: u16,
    pub after: u64,
    /// How long the call stands.
    pub hold: u64,
    /// It is answered so although it was given up meanwhile.
    pub late: bool,
}

/// A set-up as it came.
#[derive(Clone, Debug)]
pub struct Invite {
    pub number: String,
    /// Attempts of this call that came to this server before.
    pub before: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Out,
    GivenUp,
    Ended,
}

struct Attempt {
    call: String,
    sequence: String,
    conn: u64,
    stage: Stage,
}

/// A call that stands, or has stood.
#[derive(Clone, Debug)]
pub struct Stood {
    /// When the server ended it.
    pub ended: Option<u64>,
    /// The proxy has released it before.
    pub cut: bool,
}

#[derive(Default)]
struct State {
    conns: BTreeMap<u64, TcpStream>,
    next: u64,
    attempts: Vec<Attempt>,
    stood: BTreeMap<String, Stood>,
    lines: u64,
    /// Releases that go out on the next connection as well.
    also: Vec<String>,
    /// When each set-up came.
    came: Vec<(u64, String)>,
}

pub struct Server {
    world: Arc<World>,
    name: String,
    pub address: String,
    plan: Box<dyn Fn(&Invite) -> Plan + Send + Sync>,
    state: Mutex<State>,
}

/// Circuits of the group.
const LINES: u64 = 60;

impl Server {
    pub fn start(
        world: &Arc<World>,
        name: &str,
        plan: impl Fn(&Invite) -> Plan + Send + Sync + 'static,
    ) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = Arc::new(Server {
            world: world.clone(),
            name: name.to_owned(),
            address,
            plan: Box::new(plan),
            state: Mutex::default(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                accepting.clone().open(stream);
            }
        });
        server
    }

    /// Calls that stood here.
    pub fn stood(&self) -> BTreeMap<String, Stood> {
        self.state.lock().unwrap().stood.clone()
    }

    /// When each set-up came, and for which call.
    pub fn came(&self) -> Vec<(u64, String)> {
        self.state.lock().unwrap().came.clone()
    }

    /// What the record calls an attempt here.
    fn attempt(&self, sequence: &str, conn: u64) -> String {
        format!("{sequence} at {} on connection {conn}", self.name)
    }

    /// Its process dies, and another takes its place at once: connections are reset, and calls are cut.
    pub fn restart(&self) {
        self.say("its process dies, and starts anew".to_owned());
        let mut state = self.state.lock().unwrap();
        for (_, stream) in std::mem::take(&mut state.conns) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        for stood in state.stood.values_mut().filter(|s| s.ended.is_none()) {
            stood.ended = Some(now());
        }
        for attempt in state.attempts.iter_mut().filter(|a| a.stage == Stage::Out) {
            attempt.stage = Stage::GivenUp;
            self.world.is_over(&attempt.call, &self.attempt(&attempt.sequence, attempt.conn));
        }
        state.lines = 0;
        state.also.clear();
    }

    fn say(&self, text: String) {
        self.world.say(format!("{} {text}", self.name));
    }

    fn open(self: Arc<Self>, stream: TcpStream) {
        let mut state = self.state.lock().unwrap();
        state.next += 1;
        let conn = state.next;
        self.say(format!("connection {conn} opens"));
        let reader = stream.try_clone().unwrap();
        state.conns.insert(conn, stream);
        // The group's state comes before anything else.
        let notify = notify(state.lines);
        self.write(&mut state, conn, &notify);
        for call in std::mem::take(&mut state.also) {
            self.say(format!("BYE {call} on connection {conn}, which is the next that opened"));
            self.write(&mut state, conn, &bye(&call));
        }
        drop(state);
        let server = self.clone();
        thread::spawn(move || {
            server.read(reader, conn);
            let mut state = server.state.lock().unwrap();
            state.conns.remove(&conn);
            for attempt in state.attempts.iter_mut().filter(|a| a.conn == conn && a.stage == Stage::Out) {
                attempt.stage = Stage::GivenUp;
                server.world.is_over(&attempt.call, &server.attempt(&attempt.sequence, conn));
            }
            server.say(format!("connection {conn} is closed"));
        });
    }

    fn write(&self, state: &mut State, conn: u64, text: &str) -> bool {
        state.conns.get_mut(&conn).is_some_and(|stream| stream.write_all(text.as_bytes()).is_ok())
    }

    fn read(self: &Arc<Self>, mut stream: TcpStream, conn: u64) {
        let mut bytes = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            while let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
                let length = header(&text, "Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
                let whole = head + 4 + length;
                if bytes.len() < whole {
                    break;
                }
                bytes.drain(..whole);
                self.message(conn, &text);
            }
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            }
        }
    }

    fn message(self: &Arc<Self>, conn: u64, text: &str) {
        let first = text.lines().next().unwrap_or_default();
        let call = header(text, "Call-ID").unwrap_or_default().to_owned();
        let sequence = header(text, "CSeq").unwrap_or_default().to_owned();
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        match first.split(' ').next().unwrap_or_default() {
            "INVITE" => {
                let number = first.split(['@', ':']).nth(1).unwrap_or_default().to_owned();
                self.say(format!("gets INVITE {call} ({sequence}) on connection {conn}"));
                state.came.push((now(), call.clone()));
                self.world.is_out(&call, &self.attempt(&sequence, conn));
                let before = state.attempts.iter().filter(|a| a.call == call).count();
                state.attempts.push(Attempt {
                    call: call.clone(),
                    sequence: sequence.clone(),
                    conn,
                    stage: Stage::Out,
                });
                let at = state.attempts.len() - 1;
                let plan = (self.plan)(&Invite { number, before });
                drop(guard);
                let server = self.clone();
                thread::spawn(move || server.work(at, plan));
            }
            "CANCEL" => {
                let out = |a: &&mut Attempt| a.call == call && a.conn == conn && a.stage == Stage::Out;
                let known = state.attempts.iter_mut().rev().find(out);
                self.say(format!(
                    "gets CANCEL {call}, which is {}",
                    if known.is_some() { "out" } else { "over" }
                ));
                if let Some(attempt) = known {
                    attempt.stage = Stage::GivenUp;
                    self.world.is_over(&call, &self.attempt(&attempt.sequence, conn));
                }
                self.write(state, conn, &response(200, &call, &sequence, "", ""));
            }
            "BYE" => {
                self.say(format!("gets BYE {call}"));
                if let Some(stood) = state.stood.get_mut(&call).filter(|s| s.ended.is_none()) {
                    stood.cut = true;
                    stood.ended = Some(now());
                    state.lines -= 1;
                }
                self.write(state, conn, &response(200, &call, &sequence, "", ""));
            }
            "OPTIONS" => {
                let report = format!("X-State: {};util:0.3;queue:0\r\n", lines(state.lines));
                self.write(state, conn, &response(200, &call, &sequence, &report, ""));
            }
            _ => {}
        }
    }

    /// Works on a set-up, also on one that is given up meanwhile, and says how it ended.
    fn work(self: Arc<Self>, at: usize, plan: Plan) {
        pause(plan.after);
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let Attempt { call, sequence, conn, stage } = &state.attempts[at];
        let (call, sequence, conn, stage) = (call.clone(), sequence.clone(), *conn, *stage);
        // What was given up gets its final response as well (RFC 3261, 9.2).
        let status = if stage == Stage::GivenUp && !plan.late { 487 } else { plan.status };
        let report = format!("X-State: {};util:0.3;queue:0\r\n", lines(state.lines));
        let written = match status {
            200 => self.write(state, conn, &response(200, &call, &sequence, "", &description(&call))),
            _ => self.write(state, conn, &response(status, &call, &sequence, &report, "")),
        };
        self.say(format!(
            "{} {status} for {call} ({sequence}) on connection {conn}{}",
            if written { "writes" } else { "cannot write" },
            if stage == Stage::GivenUp { ", which was given up" } else { "" }
        ));
        if stage == Stage::Out {
            state.attempts[at].stage = Stage::Ended;
            self.world.is_over(&call, &self.attempt(&sequence, conn));
        }
        if status != 200 || !written {
            return;
        }
        state.stood.insert(call.clone(), Stood { ended: None, cut: false });
        state.lines += 1;
        self.tell_lines(state);
        drop(guard);
        pause(plan.hold);
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let Some(stood) = state.stood.get_mut(&call).filter(|s| s.ended.is_none()) else { return };
        stood.ended = Some(now());
        state.lines -= 1;
        state.also.push(call.clone());
        // On the connection of its set-up, or else on any.
        let conn =
            if state.conns.contains_key(&conn) { Some(conn) } else { state.conns.keys().next().copied() };
        self.say(format!("BYE {call} on connection {conn:?}: its end"));
        if let Some(conn) = conn {
            self.write(state, conn, &bye(&call));
        }
        self.tell_lines(state);
    }

    fn tell_lines(&self, state: &mut State) {
        let text = notify(state.lines);
        for conn in state.conns.keys().copied().collect::<Vec<_>>() {
            self.write(state, conn, &text);
        }
    }
}

/// The description that this server gives for a call.
pub fn description(call: &str) -> String {
    format!("{call}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n")
}

fn lines(used: u64) -> String {
    format!("x0:{};x1:{LINES}", LINES.saturating_sub(used))
}

fn notify(used: u64) -> String {
    format!("NOTIFY sip:group@net SIP/2.0\r\nX-State: {}\r\nContent-Length: 0\r\n\r\n", lines(used))
}

fn bye(call: &str) -> String {
    format!(
        "BYE sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: 1 BYE\r\n\
         Reason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
    )
}

fn response(status: u16, call: &str, sequence: &str, more: &str, body: &str) -> String {
    format!(
        "SIP/2.0 {status} X\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: {sequence}\r\n{more}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn header<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.trim().eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

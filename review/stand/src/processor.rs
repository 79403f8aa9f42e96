//! A setup server with a processor of one line: set-up, answer and release of a call each cost it work and wait in one queue.
//! Past a wait a set-up is turned away. One that has just started does only a part of its usual work; sent far more, it
//! falls over and stays down.

use crate::record::Record;
use crate::server::Message;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Parts of a call's work: set-up, answer, release; and what a refusal costs.
const SETUP: f64 = 0.5;
const ANSWER: f64 = 0.25;
const RELEASE: f64 = 0.25;
const REFUSAL: f64 = 0.1;
/// The wait past which a set-up is turned away.
const REFUSE_PAST: f64 = 2.8;
/// How often load figures are refreshed, and free lines told.
const REFRESH: Duration = Duration::from_millis(300);
const TELL: Duration = Duration::from_secs(1);

/// What the settings say of a cold server.
#[derive(Clone, Copy)]
pub struct Cold {
    pub start_capacity: f64,
    pub warm_s: f64,
    pub fall_multiple: f64,
    pub fall: Duration,
}

/// What pushed a server over: set-ups within the time that the settings name, and what it bears.
#[derive(Clone, Copy, Debug)]
pub struct Fall {
    pub sent: usize,
    pub bears: f64,
    pub capacity: f64,
}

enum Job {
    Setup(u64, Box<Message>),
    Answer(u64, Box<Message>),
    Release(u64),
    Other,
}

impl Job {
    fn part(&self) -> f64 {
        match self {
            Job::Setup(..) => SETUP,
            Job::Answer(..) => ANSWER,
            Job::Release(_) => RELEASE,
            Job::Other => REFUSAL,
        }
    }
}

struct Call {
    connection: u64,
    stands: bool,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, TcpStream>,
    next: u64,
    jobs: VecDeque<Job>,
    calls: BTreeMap<u64, Call>,
    ends: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Set-ups of the last moments while it is cold.
    arrived: VecDeque<Instant>,
    arrivals: usize,
    turned_away: usize,
    stood: usize,
    util: f64,
    queue: usize,
    busy: f64,
    fall: Option<Fall>,
    most: (f64, usize),
    again: Vec<u64>,
    down: bool,
}

/// Handles share one server.
#[derive(Clone)]
pub struct Busy {
    pub id: String,
    pub addr: SocketAddr,
    record: Record,
    rate: f64,
    lines: usize,
    cold: Cold,
    /// When it started, if that was of late.
    started: Option<Instant>,
    hold: Arc<dyn Fn(u64) -> Duration + Send + Sync>,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Busy {
    pub fn start(
        record: &Record,
        id: &str,
        rate: f64,
        cold: Cold,
        started: Option<Instant>,
        hold: Arc<dyn Fn(u64) -> Duration + Send + Sync>,
    ) -> std::io::Result<Busy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let lines = (rate * 40.0) as usize;
        let state = Arc::default();
        let server =
            Busy { id: id.to_owned(), addr, record: record.clone(), rate, lines, cold, started, hold, state };
        listener.set_nonblocking(true)?;
        for task in 0..4 {
            let here = server.clone();
            let listener = listener.try_clone()?;
            std::thread::spawn(move || match task {
                0 => here.listen(&listener),
                1 => here.process(),
                2 => here.end_calls(),
                _ => here.refresh(),
            });
        }
        Ok(server)
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let done = f(&mut self.state.0.lock().unwrap_or_else(|e| e.into_inner()));
        self.state.1.notify_all();
        done
    }

    fn is_down(&self) -> bool {
        self.with(|s| s.down)
    }

    /// The process ends: its connections end, and its calls are cut.
    pub fn stop(&self) {
        self.record.note(&self.id, "stops");
        let open = self.with(|s| {
            s.down = true;
            s.jobs.clear();
            s.calls.clear();
            std::mem::take(&mut s.connections)
        });
        for connection in open.values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn fall(&self) -> Option<Fall> {
        self.with(|s| s.fall)
    }

    /// The most that came while it was cold, over what it bears, and how many set-ups that were.
    pub fn most(&self) -> (f64, usize) {
        self.with(|s| s.most)
    }

    /// Set-ups that came, stood and were turned away since the last look.
    pub fn tally(&self) -> (usize, usize, usize) {
        self.with(|s| {
            (
                std::mem::take(&mut s.arrivals),
                std::mem::take(&mut s.stood),
                std::mem::take(&mut s.turned_away),
            )
        })
    }

    /// The share of its warm capacity that it has now.
    fn warmth(&self) -> f64 {
        let Cold { start_capacity, warm_s, .. } = self.cold;
        let age = self.started.map_or(f64::MAX, |at| at.elapsed().as_secs_f64());
        (start_capacity + (1.0 - start_capacity) * (age / warm_s).min(1.0)).min(1.0)
    }

    fn listen(&self, listener: &TcpListener) {
        while !self.is_down() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                    let Ok(writing) = stream.try_clone() else { continue };
                    let (number, again) = self.with(|s| {
                        s.next += 1;
                        s.connections.insert(s.next, writing);
                        (s.next, std::mem::take(&mut s.again))
                    });
                    self.notify(number);
                    again.into_iter().for_each(|call| self.write(number, &release(call)));
                    let here = self.clone();
                    std::thread::spawn(move || here.read(stream, number));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn report(&self) -> String {
        let (busy, util, queue) = self.with(|s| (s.calls.len(), s.util, s.queue));
        format!("x0:{};x1:{};util:{util:.3};queue:{queue}", self.lines.saturating_sub(busy), self.lines)
    }

    fn notify(&self, number: u64) {
        let text = format!(
            "NOTIFY sip:state@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\n\
             X-State: {}\r\nContent-Length: 0\r\n\r\n",
            self.report()
        );
        self.write(number, &text);
    }

    fn write(&self, number: u64, text: &str) {
        let stream = self.with(|s| s.connections.get(&number).and_then(|c| c.try_clone().ok()));
        if let Some(mut stream) = stream {
            let _ = stream.write_all(text.as_bytes());
        }
    }

    fn read(&self, mut stream: TcpStream, number: u64) {
        let (mut bytes, mut chunk) = (Vec::new(), [0; 16384]);
        while let Ok(n) = stream.read(&mut chunk) {
            if n == 0 {
                break;
            }
            bytes.extend_from_slice(&chunk[..n]);
            while let Some((message, used)) = Message::read(&bytes) {
                bytes.drain(..used);
                self.take(number, message);
            }
        }
        self.with(|s| {
            s.connections.remove(&number);
            s.calls.retain(|_, c| c.stands || c.connection != number);
        });
    }

    fn take(&self, number: u64, message: Message) {
        let call = message.call();
        match message.method.as_str() {
            "INVITE" => self.invite(number, call, message),
            "CANCEL" => self.with(|s| {
                // What was given up is dropped.
                if s.calls.get(&call).is_some_and(|c| !c.stands) {
                    s.calls.remove(&call);
                }
            }),
            "BYE" => {
                let stood = self.with(|s| s.calls.remove(&call).is_some());
                if stood {
                    self.with(|s| s.jobs.push_back(Job::Other));
                }
                self.write(number, &message.response("200 OK", "", ""));
            }
            "OPTIONS" => self.write(number, &message.response("200 OK", "", "")),
            _ => {}
        }
    }

    /// Counts a set-up that has reached a cold server, and whether that is more than it bears: N and a slack for chance,
    /// where N is what the settings allow it now in the time that they name.
    fn reached(&self) {
        let Some(started) = self.started.filter(|at| at.elapsed().as_secs_f64() < self.cold.warm_s) else {
            return;
        };
        let capacity = self.rate * self.warmth();
        let n = self.cold.fall_multiple * capacity * self.cold.fall.as_secs_f64();
        let bears = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        let now = Instant::now();
        let fell = self.with(|s| {
            s.arrived.push_back(now);
            while s.arrived.front().is_some_and(|at| now.duration_since(*at) >= self.cold.fall) {
                s.arrived.pop_front();
            }
            let sent = s.arrived.len();
            if sent as f64 / bears > s.most.0 {
                s.most = (sent as f64 / bears, sent);
            }
            if sent as f64 > bears && s.fall.is_none() {
                s.fall = Some(Fall { sent, bears, capacity });
                return true;
            }
            false
        });
        if fell {
            let age = started.elapsed().as_secs_f64();
            self.record.note(&self.id, &format!("falls over {age:.3} s after its start, and stays down"));
            self.stop();
        }
    }

    fn invite(&self, number: u64, call: u64, message: Message) {
        self.record.note(&self.id, &format!("gets set-up {call:016x}"));
        self.with(|s| s.arrivals += 1);
        self.reached();
        let speed = self.rate * self.warmth();
        let wait = self.with(|s| s.jobs.iter().map(Job::part).sum::<f64>() / speed);
        if wait > REFUSE_PAST {
            self.with(|s| {
                s.turned_away += 1;
                s.jobs.push_back(Job::Other);
            });
            let headers =
                format!("X-Note: throttled\r\nX-Delay: {:.0}\r\nX-State: {}\r\n", wait * 1e3, self.report());
            self.write(number, &message.response("503 Service Unavailable", &headers, ""));
            return;
        }
        self.with(|s| {
            s.calls.insert(call, Call { connection: number, stands: false });
            s.jobs.push_back(Job::Setup(call, Box::new(message)));
        });
    }

    /// The processor: one job after another.
    fn process(&self) {
        let mut free = Instant::now();
        while !self.is_down() {
            let mut state = self.state.0.lock().unwrap_or_else(|e| e.into_inner());
            let job = loop {
                // A set-up that was given up is dropped.
                let given_up = match state.jobs.front() {
                    Some(Job::Setup(call, _)) => !state.calls.contains_key(call),
                    _ => false,
                };
                match state.jobs.pop_front() {
                    Some(_) if given_up => {}
                    Some(job) => break job,
                    None if state.down => return,
                    None => {
                        let waited = self.state.1.wait_timeout(state, Duration::from_millis(50));
                        state = waited.unwrap_or_else(|e| e.into_inner()).0;
                    }
                }
            };
            drop(state);
            let takes = Duration::from_secs_f64(job.part() / (self.rate * self.warmth()));
            free = free.max(Instant::now()) + takes;
            std::thread::sleep(free.saturating_duration_since(Instant::now()));
            self.with(|s| s.busy += takes.as_secs_f64());
            match job {
                Job::Setup(call, message) => self.with(|s| s.jobs.push_back(Job::Answer(call, message))),
                Job::Answer(call, message) => self.answer(call, &message),
                Job::Release(call) => self.release(call),
                Job::Other => {}
            }
        }
    }

    fn answer(&self, call: u64, invite: &Message) {
        let Some(number) = self.with(|s| {
            let known = s.calls.get_mut(&call)?;
            known.stands = true;
            let number = known.connection;
            s.stood += 1;
            s.ends.push(Reverse((Instant::now() + (self.hold)(call), call)));
            Some(number)
        }) else {
            return;
        };
        let made = format!("{call:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 32000 RTP/AVP 0 8 101\r\n");
        self.write(number, &invite.response("200 OK", &format!("X-State: {}\r\n", self.report()), &made));
    }

    fn release(&self, call: u64) {
        let number = self.with(|s| {
            let own = s.calls.remove(&call)?.connection;
            let own = s.connections.contains_key(&own).then_some(own);
            s.again.push(call);
            own.or_else(|| s.connections.keys().next().copied())
        });
        if let Some(number) = number {
            self.write(number, &release(call));
        }
    }

    /// Calls come to their end.
    fn end_calls(&self) {
        while !self.is_down() {
            let now = Instant::now();
            self.with(|s| {
                while s.ends.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                    let Some(Reverse((_, call))) = s.ends.pop() else { break };
                    if s.calls.contains_key(&call) {
                        s.jobs.push_back(Job::Release(call));
                    }
                }
            });
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Refreshes the load figures, and tells all when the free lines have changed.
    fn refresh(&self) {
        let (mut told, mut told_at) = (0, Instant::now());
        while !self.is_down() {
            std::thread::sleep(REFRESH);
            let busy = self.with(|s| {
                s.util = (std::mem::take(&mut s.busy) / REFRESH.as_secs_f64()).min(1.0);
                s.queue = s.jobs.iter().filter(|j| matches!(j, Job::Setup(..))).count();
                s.calls.len()
            });
            if busy != told && told_at.elapsed() >= TELL {
                (told, told_at) = (busy, Instant::now());
                let open: Vec<u64> = self.with(|s| s.connections.keys().copied().collect());
                open.into_iter().for_each(|number| self.notify(number));
            }
        }
    }
}

fn release(call: u64) -> String {
    format!(
        "BYE sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 BYE\r\n\
         Reason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
    )
}

//! Eight real processes that divide a rate, with relays between each two of them that lose, hold, double and cut, while
//! processes are stopped, killed and started again. The sum is measured where it is spent: at a stand-in server that
//! counts what all of them use.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

const MEMBERS: usize = 8;
const WHOLE: u64 = 4_000;
const FLOOR: u64 = 100;

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.set_nonblocking(true).expect("a socket that does not wait");
    socket
}

/// What the relays do.
#[derive(Default)]
struct Ways {
    /// Members on one side of a cut.
    side: Vec<usize>,
    /// Nothing goes from here, though what comes arrives.
    mute: Option<usize>,
    lose: bool,
}

/// Passes datagrams between members: a socket for each ordered pair.
struct Relays {
    ways: Arc<Mutex<Ways>>,
    end: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Relays {
    fn new(pairs: Vec<(usize, usize, UdpSocket)>, listen: Vec<SocketAddr>) -> Relays {
        let ways = Arc::new(Mutex::new(Ways::default()));
        let end = Arc::new(AtomicBool::new(false));
        let (own, stop) = (ways.clone(), end.clone());
        let thread = spawn(move || {
            let mut held: VecDeque<(Instant, usize, Vec<u8>)> = VecDeque::new();
            let (mut bytes, mut count) = ([0; 2_048], 0_u32);
            while !stop.load(Ordering::Relaxed) {
                let now = Instant::now();
                for (i, (from, to, socket)) in pairs.iter().enumerate() {
                    while let Ok((length, _)) = socket.recv_from(&mut bytes) {
                        count = count.wrapping_add(1);
                        let ways = own.lock().expect("ways");
                        let apart = ways.side.contains(from) != ways.side.contains(to);
                        if apart || ways.mute == Some(*from) || ways.lose && count % 11 == 0 {
                            continue;
                        }
                        let datagram = bytes[..length].to_vec();
                        if ways.lose && count % 7 == 0 {
                            // Again, and overtaken by what follows.
                            held.push_back((now + Duration::from_millis(150), i, datagram.clone()));
                        }
                        let _ = socket.send_to(&datagram, listen[*to]);
                    }
                }
                while held.front().is_some_and(|h| h.0 <= now) {
                    if let Some((_, i, datagram)) = held.pop_front() {
                        let _ = pairs[i].2.send_to(&datagram, listen[pairs[i].1]);
                    }
                }
                sleep(Duration::from_millis(1));
            }
        });
        Relays { ways, end, thread: Some(thread) }
    }

    fn set(&self, ways: Ways) {
        *self.ways.lock().expect("ways") = ways;
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Counts what is used, by hundredths of a second.
struct Server {
    uses: Arc<Mutex<BTreeMap<u64, u64>>>,
    begin: Instant,
    end: Arc<AtomicBool>,
    at: SocketAddr,
}

impl Server {
    fn new() -> Server {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        socket.set_read_timeout(Some(Duration::from_millis(50))).expect("a time-out");
        let at = socket.local_addr().expect("an address");
        let (uses, end, begin) =
            (Arc::new(Mutex::new(BTreeMap::new())), Arc::new(AtomicBool::new(false)), Instant::now());
        let (counted, stop) = (uses.clone(), end.clone());
        spawn(move || {
            let mut bytes = [0; 8];
            while !stop.load(Ordering::Relaxed) {
                if let Ok((8, _)) = socket.recv_from(&mut bytes) {
                    let at = begin.elapsed().as_millis() as u64 / 10;
                    *counted.lock().expect("uses").entry(at).or_insert(0) += u64::from_be_bytes(bytes);
                }
            }
        });
        Server { uses, begin, end, at }
    }

    fn now(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64 / 10
    }

    fn used(&self, from: u64, until: u64) -> u64 {
        self.uses.lock().expect("uses").range(from..until).map(|(_, n)| n).sum()
    }

    /// The most in any second.
    fn most(&self) -> u64 {
        (0..self.now()).map(|t| self.used(t, t + 100)).max().unwrap_or(0)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
    }
}

struct Member {
    child: Child,
    /// The latest line that it said.
    said: Arc<Mutex<serde_json::Value>>,
}

impl Member {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process");
        kill_process(pid, signal).expect("it runs");
    }

    fn says(&self, what: &str) -> serde_json::Value {
        self.said.lock().expect("said")[what].clone()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Fleet {
    folder: PathBuf,
    files: Vec<PathBuf>,
    listen: Vec<SocketAddr>,
    members: Vec<Option<Member>>,
    relays: Relays,
    server: Server,
}

impl Fleet {
    fn new() -> Fleet {
        let folder = std::env::temp_dir().join(format!("fernspan-fleet-test-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        // An address of this process's own, so that its ports are free.
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = std::net::Ipv4Addr::new(127, 77, high, low.max(1));
        let listen: Vec<SocketAddr> = (0..MEMBERS).map(|seat| (ip, 7_400 + seat as u16).into()).collect();
        let mut pairs = Vec::new();
        let mut files = Vec::new();
        for from in 0..MEMBERS {
            let mut via = serde_json::Map::new();
            for to in (0..MEMBERS).filter(|to| *to != from) {
                let relay = socket();
                via.insert(to.to_string(), relay.local_addr().expect("an address").to_string().into());
                pairs.push((from, to, relay));
            }
            let voters: Vec<_> =
                (0..3).map(|s| serde_json::json!({"seat": s, "at": listen[s].to_string()})).collect();
            let file = folder.join(format!("{from}.json"));
            let text = serde_json::json!({
                "seats": MEMBERS, "voters": voters, "networks": ["127.0.0.0/8"], "via": via,
                "budgets": [{"name": "setups", "whole": WHOLE, "floor": FLOOR}],
            });
            std::fs::write(&file, text.to_string()).expect("a file");
            files.push(file);
        }
        let relays = Relays::new(pairs, listen.clone());
        let members = (0..MEMBERS).map(|_| None).collect();
        let mut fleet = Fleet { folder, files, listen, members, relays, server: Server::new() };
        (0..MEMBERS).for_each(|seat| fleet.start(seat));
        fleet
    }

    fn start(&mut self, seat: usize) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_fernspan-fleet"))
            .arg("member")
            .arg(&self.files[seat])
            .args(["--seat", &seat.to_string(), "--listen", &self.listen[seat].to_string()])
            .args(["--want", &WHOLE.to_string(), "--spend", &self.server.at.to_string()])
            .stdout(Stdio::piped())
            .spawn()
            .expect("a member");
        let said = Arc::new(Mutex::new(serde_json::Value::Null));
        let (own, lines) = (said.clone(), child.stdout.take().expect("its output"));
        spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                if let Ok(value) = serde_json::from_str(&line) {
                    *own.lock().expect("said") = value;
                }
            }
        });
        self.members[seat] = Some(Member { child, said });
    }

    fn allocator(&self) -> Option<usize> {
        let allocates = |m: &Option<Member>| m.as_ref().is_some_and(|m| m.says("allocates") == true);
        self.members.iter().position(allocates)
    }

    /// Waits until the second before used most of the whole.
    fn settle(&self, what: &str) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let now = self.server.now();
            if now > 100 && self.server.used(now - 100, now) > WHOLE * 8 / 10 {
                return;
            }
            sleep(Duration::from_millis(50));
        }
        let said: Vec<String> =
            self.members.iter().flatten().map(|m| m.said.lock().expect("said").to_string()).collect();
        panic!("{what}: the whole is not in use: {said:#?}");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.members.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The bound of the sum: what a second allows, and three tenths more. A member's uses lag its share by 20 ms at most;
/// the rest is this machine's, when tests beside it hold up the processes or the server. Two halves that each used the
/// whole, or a successor that did not wait, would double it for a lease.
#[test]
fn eight_processes_use_the_whole_and_never_more() {
    let mut fleet = Fleet::new();
    fleet.settle("at first");
    let everyone = |f: &Fleet| f.members.iter().flatten().all(|m| m.says("members") == MEMBERS);
    for _ in 0..100 {
        if everyone(&fleet) {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    assert!(everyone(&fleet), "all know of all");
    // Losses, copies and late copies throughout.
    fleet.relays.set(Ways { lose: true, ..Ways::default() });
    sleep(Duration::from_secs(1));
    // One stands still for longer than its lease, then goes on with work at hand.
    let still = fleet.members[5].as_ref().expect("a member");
    still.signal(Signal::STOP);
    sleep(Duration::from_millis(2_500));
    fleet.members[5].as_ref().expect("a member").signal(Signal::CONT);
    fleet.settle("after one stood still");
    // Two halves that each think the other dead.
    fleet.relays.set(Ways { side: vec![2, 6, 7], lose: true, mute: None });
    sleep(Duration::from_millis(3_500));
    for seat in [2, 6, 7] {
        let share = fleet.members[seat].as_ref().expect("a member").says("share");
        assert_eq!(share, FLOOR, "seat {seat} is cut off from most voters and keeps its floor");
    }
    fleet.relays.set(Ways { lose: true, ..Ways::default() });
    fleet.settle("after the cut");
    // A one-way link, and the allocator killed as it hands out; another follows, and it comes back.
    fleet.relays.set(Ways { mute: Some(4), lose: true, side: Vec::new() });
    let first = fleet.allocator().expect("an allocator");
    fleet.members[first] = None;
    sleep(Duration::from_millis(300));
    fleet.start(first);
    fleet.relays.set(Ways { lose: true, ..Ways::default() });
    fleet.settle("after the allocator was killed");
    // Most are killed at once, and start again.
    (1..MEMBERS).for_each(|seat| fleet.members[seat] = None);
    sleep(Duration::from_millis(200));
    (1..MEMBERS).for_each(|seat| fleet.start(seat));
    fleet.settle("after most were killed");
    // A seat is held by its address: a second process of it does not start, and says why.
    let second = Command::new(env!("CARGO_BIN_EXE_fernspan-fleet"))
        .arg("member")
        .arg(&fleet.files[3])
        .args(["--seat", "3", "--listen", &fleet.listen[3].to_string()])
        .output()
        .expect("it runs");
    assert_eq!(second.status.code(), Some(2));
    let said = String::from_utf8_lossy(&second.stderr);
    assert!(said.contains(&format!("--listen {}", fleet.listen[3])), "{said}");
    let most = fleet.server.most();
    assert!(most <= WHOLE * 13 / 10, "{most} in a second");
    for member in fleet.members.iter().flatten() {
        assert_eq!(member.says("counts")["garbage"], 0);
        assert_eq!(member.says("counts")["strangers"], 0);
    }
}

//! Hundreds of clients at once, each within the bounds on counts: the process stays under half of the memory that it is
//! given, since two processes share that in an upgrade, and usual callers get their answers.

#[allow(dead_code)]
mod play;
mod stand_in;

use play::Program;
use play::caller::{answered, connect, message, parameter, setup, start};
use stand_in::Server;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

const MIB: u64 = 1 << 20;
const MEMORY: u64 = 32 * MIB;
/// As many connections as callers may hold, with a few short of a third of 1,024 descriptors.
const CLIENTS: u64 = 330;
/// The description of a set-up that stays just under 16 KiB.
const LARGE: usize = 16_000;
/// Callers of the usual kind wait for so long.
const USUAL_PATIENCE: Duration = Duration::from_secs(3);
const PLAYED: Duration = Duration::from_secs(6);

/// What one of the crowd does on its connection.
type Client = fn(TcpStream, u64);

/// Memory of its own that a process holds, in bytes.
fn anonymous_memory(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("a Linux system");
    let kilobytes: u64 = line.split_whitespace().next().and_then(|n| n.parse().ok()).expect("a number");
    kilobytes * 1024
}

/// The set-up of a call with this description, and what else it has to say.
fn set_up_with(call: u64, description: usize, more: &[Vec<u8>]) -> Vec<u8> {
    let texts: [(u8, &[u8]); 5] =
        [(16, b"voice"), (18, b"3000"), (20, b"acme"), (24, b"555"), (26, b"dest:0;width:1;via:-1")];
    let mut parameters = texts.map(|(code, value)| parameter(code, value)).to_vec();
    parameters.push(parameter(46, &"a=x\r\n".repeat(description / 5 + 1).as_bytes()[..description]));
    parameters.extend_from_slice(more);
    message(1, call, &parameters)
}

fn id(client: u64, n: u64) -> u64 {
    0xbad0_0000_0000_0000 | client << 32 | n
}

/// Whether a client's time is over.
fn is_over(begun: Instant) -> bool {
    begun.elapsed() >= PLAYED
}

/// A usual caller: a call after another, each answered before the next. Gives the longest wait and the median.
fn usual(at: SocketAddr, ended: &AtomicBool) -> (Duration, Duration) {
    let mut caller = connect(&at);
    let mut waits = Vec::new();
    let mut call = 0xca11_0000_0000_0000;
    while !ended.load(Ordering::Relaxed) {
        call += 1;
        let begun = Instant::now();
        caller.write_all(&setup(call, "3000")).expect("sent");
        assert!(answered(&mut caller, call), "a usual caller lost its connection");
        waits.push(begun.elapsed());
        caller.write_all(&message(12, call, &[parameter(44, &[16])])).expect("sent");
        sleep(Duration::from_millis(50));
    }
    waits.sort_unstable();
    (waits[waits.len() - 1], waits[waits.len() / 2])
}

/// Plays a crowd beside a usual caller. Gives the most memory that the process held.
fn play(server: &Server, client: Client) -> u64 {
    // One crowd at a time: each keeps the machine busy.
    static ALONE: Mutex<()> = Mutex::new(());
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let (program, link, listener) = start(&[("\"memory_mb\":192", "\"memory_mb\":32")]);
    server.serve(link, listener);
    let at = program.address();
    let (most, ended) = (AtomicU64::new(0), AtomicBool::new(false));
    scope(|scope| {
        let usual = scope.spawn(|| usual(at, &ended));
        sleep(Duration::from_millis(300));
        for number in 0..CLIENTS {
            scope.spawn(move || client(connect(&at), number));
        }
        let begun = Instant::now();
        while !is_over(begun) {
            most.fetch_max(anonymous_memory(&program), Ordering::Relaxed);
            sleep(Duration::from_millis(2));
        }
        ended.store(true, Ordering::Relaxed);
        let (longest, median) = usual.join().expect("a usual caller");
        println!(
            "{:.1} MiB, usual callers {median:?}, at most {longest:?}",
            most.load(Ordering::Relaxed) as f64 / MIB as f64
        );
        assert!(
            longest < USUAL_PATIENCE + Duration::from_millis(500),
            "a usual caller waited for {longest:?}"
        );
    });
    most.into_inner()
}

fn assert_within_half(most: u64) {
    assert!(most <= MEMORY / 2, "{:.1} MiB of {}", most as f64 / MIB as f64, MEMORY / MIB);
}

/// Guards against connections that each may hold hundreds of set-ups of 16 KiB.
#[test]
fn many_large_set_ups_at_once_stay_within_the_memory() {
    let most = play(&Server::with_answers(60), |mut stream, number| {
        let all: Vec<u8> = (0..300).flat_map(|n| set_up_with(id(number, n), LARGE, &[])).collect();
        let _ = stream.set_write_timeout(Some(Duration::from_secs(3)));
        let _ = stream.write_all(&all);
        sleep(Duration::from_secs(2));
    });
    assert_within_half(most);
}

/// Guards against large set-ups that come slowly on all connections, again and again.
#[test]
fn slow_writers_of_large_set_ups_stay_within_the_memory() {
    let most = play(&Server::with_answers(60), |mut stream, number| {
        let begun = Instant::now();
        for n in 0.. {
            for piece in set_up_with(id(number, n), LARGE, &[]).chunks(700) {
                if is_over(begun) || stream.write_all(piece).is_err() {
                    return;
                }
                sleep(Duration::from_millis(70));
            }
        }
    });
    assert_within_half(most);
}

/// Guards against large set-ups that stop half way, on connections that come again.
#[test]
fn set_ups_that_stop_half_way_stay_within_the_memory() {
    let most = play(&Server::with_answers(60), |mut stream, number| {
        let begun = Instant::now();
        let at = stream.peer_addr().expect("connected");
        for n in 0.. {
            let _ = stream.write_all(&set_up_with(id(number, n), LARGE, &[])[..LARGE / 2]);
            // Until the proxy closes it.
            while stream.read(&mut [0; 64]).is_ok_and(|read| read > 0) {}
            if is_over(begun) {
                return;
            }
            stream = connect(&at);
        }
    });
    assert_within_half(most);
}

/// Guards against set-ups whose heads are thousands of parameters without a value.
#[test]
fn set_ups_of_many_short_parameters_stay_within_the_memory() {
    let most = play(&Server::with_answers(60), |mut stream, number| {
        let begun = Instant::now();
        let empty = vec![parameter(99, b""); 5_300];
        for n in 0.. {
            if is_over(begun) || stream.write_all(&set_up_with(id(number, n), 20, &empty)).is_err() {
                return;
            }
            sleep(Duration::from_millis(100));
        }
    });
    assert_within_half(most);
}

/// Guards against answers of servers that are as long as the protocol allows, while callers send on and read none.
#[test]
fn long_answers_that_nobody_reads_stay_within_the_memory() {
    let most = play(&Server::with_answers(15_000), |mut stream, number| {
        let begun = Instant::now();
        let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
        for n in 0.. {
            if is_over(begun) || stream.write_all(&set_up_with(id(number, n), 60, &[])).is_err() {
                return;
            }
            sleep(Duration::from_millis(10));
        }
    });
    assert_within_half(most);
}

/// Guards against tests without end from clients that read no answers: what is read of them waits in the program.
#[test]
fn tests_whose_answers_nobody_reads_stay_within_the_memory() {
    let most = play(&Server::with_answers(60), |mut stream, _| {
        let begun = Instant::now();
        let tests = message(52, 1, &[parameter(44, &[0])]).repeat(1_000);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
        while !is_over(begun) && stream.write_all(&tests).is_ok() {}
        sleep(Duration::from_secs(1));
    });
    assert_within_half(most);
}

/// Guards usual callers against one client that sends as fast as it can: set-ups under new names and numbers, releases of unknown
/// calls, unknown types, tests and set-ups without a field, on one connection.
#[test]
fn one_client_at_full_speed_keeps_nobody_waiting() {
    let most = play(&Server::with_answers(60), |mut stream, number| {
        if number > 0 {
            return;
        }
        let mut reader = stream.try_clone().expect("a second descriptor");
        let reading = std::thread::spawn(move || while reader.read(&mut [0; 65_536]).is_ok_and(|n| n > 0) {});
        let begun = Instant::now();
        for n in 0.. {
            let name = format!("name{n}");
            let unsound =
                message(1, id(n, 1), &[parameter(16, name.as_bytes()), parameter(20, name.as_bytes())]);
            let release = message(12, id(n, 2), &[parameter(44, &[16])]);
            let unknown = message(77, id(n, 3), &[]);
            let test = message(52, id(n, 4), &[parameter(44, &[0])]);
            let bytes = [unsound, release, unknown, test, set_up_with(id(n, 5), 20, &[])].concat();
            if is_over(begun) || stream.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = reading.join();
    });
    assert_within_half(most);
}

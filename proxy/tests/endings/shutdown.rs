//! Clients that go on writing on open connections, whole and in pieces, until the process has ended.

use super::{connect, setup, start, stood};
use crate::play::{PATIENCE, Program};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 100;
/// A set-up that crosses a close of its connection by no more than this is sent again by its client (PROTOCOL).
const CROSSING: Duration = Duration::from_millis(50);
/// SIGKILL comes no sooner than the longest deadline, 3 s at most, and this after SIGTERM (PROTOCOL).
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// A slow writer's pause within a set-up; longer than a crossing.
const PAUSE_WITHIN: Duration = Duration::from_millis(120);

/// What a client has to say against the program.
type Lost = Option<String>;

/// One client: a set-up, its answer, and the next, on one connection until that ends. `in_pieces`, it pauses within.
fn client(number: u64, at: SocketAddr, patience: Duration, in_pieces: bool, killed: &AtomicBool) -> Lost {
    let mut stream = connect(&at);
    stream.set_nodelay(true).expect("no delay");
    let patience = patience.as_millis().to_string();
    for n in 0.. {
        let call = (number << 32) | (n + 1);
        let bytes = setup(call, &patience);
        let begun = Instant::now();
        let written = match in_pieces {
            true => stream.write_all(&bytes[..20]).and_then(|()| {
                pause(&mut stream)?;
                stream.write_all(&bytes[20..])
            }),
            false => stream.write_all(&bytes),
        };
        if written.is_err() || !answered(&mut stream, call) {
            let crossed = begun.elapsed();
            let cut_by_the_kill = written.is_err() && killed.load(Ordering::SeqCst);
            return (crossed > CROSSING && !cut_by_the_kill)
                .then(|| format!("client {number}: set-up {n} was begun {crossed:?} before the close"));
        }
        sleep(Duration::from_millis(number % 23));
    }
    None
}

/// Waits within a set-up, and looks all the time whether the connection closes.
fn pause(stream: &mut TcpStream) -> std::io::Result<()> {
    let begun = Instant::now();
    stream.set_nonblocking(true)?;
    while begun.elapsed() < PAUSE_WITHIN {
        match stream.peek(&mut [0]) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Err(e) if e.kind() != ErrorKind::WouldBlock => return Err(e),
            _ => sleep(Duration::from_millis(1)),
        }
    }
    stream.set_nonblocking(false)
}

/// Reads messages until one ends that call; `false` where the connection ends first.
fn answered(stream: &mut TcpStream, call: u64) -> bool {
    loop {
        let mut length = [0; 2];
        let read = stream.read_exact(&mut length).and_then(|()| {
            let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
            stream.read_exact(&mut body).map(|()| body)
        });
        match read {
            Ok(body) if body[1..9] == call.to_be_bytes() => return true,
            Ok(_) => {}
            Err(e) => {
                assert!(
                    !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
                    "no answer in time"
                );
                return false;
            }
        }
    }
}

/// A setup server that answers each call at once, on every connection, until the program is gone.
fn serve(mut link: TcpStream) -> JoinHandle<()> {
    spawn(move || {
        let (mut read, mut bytes) = (String::new(), [0; 65_536]);
        loop {
            let Ok(n @ 1..) = link.read(&mut bytes) else { return };
            read += &String::from_utf8_lossy(&bytes[..n]);
            while let Some(end) = read.find("\r\n\r\n") {
                let head: String = read.drain(..end + 4).collect();
                if let Some(id) = head.starts_with("INVITE").then(|| call_id(&head)).flatten()
                    && link.write_all(stood(id).as_bytes()).is_err()
                {
                    return;
                }
            }
        }
    })
}

fn call_id(head: &str) -> Option<u64> {
    let (_, after) = head.split_once("Call-ID: ")?;
    u64::from_str_radix(after.get(..16)?, 16).ok()
}

/// Plays one end, with the longest deadline of a class in the configuration.
fn plays_an_end(longest: Duration) {
    let field = format!("\"hard_limit\":{}", longest.as_micros());
    let goal = format!("\"goal_time\":{}", longest.as_micros().min(1_200_000));
    let (mut program, link, server) =
        start(&[("\"hard_limit\":9000000", &field), ("\"goal_time\":1200000", &goal)]);
    let at = program.address();
    serve(link);
    spawn(move || server.incoming().map_while(Result::ok).for_each(|link| drop(serve(link))));
    let killed = Arc::new(AtomicBool::new(false));
    let clients: Vec<JoinHandle<Lost>> = (0..CLIENTS)
        .map(|number| {
            let killed = killed.clone();
            spawn(move || client(number, at, longest, number % 3 == 0, &killed))
        })
        .collect();
    sleep(Duration::from_millis(300));
    terminate(&program);
    let kill = longest.min(Duration::from_secs(3)) + KILL_AFTER_DEADLINE;
    let (kills, after) = channel();
    let id = program.child.id().to_string();
    spawn(move || {
        sleep(kill);
        killed.store(true, Ordering::SeqCst);
        let _ = Command::new("kill").args(["-KILL", &id]).status();
        let _ = kills.send(());
    });
    let lost: Vec<String> = clients.into_iter().filter_map(|c| c.join().expect("no panic")).collect();
    after.recv_timeout(PATIENCE).expect("the kill");
    let _ = program.child.wait();
    assert!(lost.is_empty(), "{} of {CLIENTS}: {lost:?}", lost.len());
}

fn terminate(program: &Program) {
    let id = program.child.id().to_string();
    Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
}

/// Guards against a close that loses what a client has begun to write, where the deadline is long.
#[test]
fn nothing_is_lost_between_sigterm_and_the_kill() {
    plays_an_end(Duration::from_secs(9));
}

/// The same where the kill comes soon.
#[test]
fn nothing_is_lost_between_sigterm_and_an_early_kill() {
    plays_an_end(Duration::from_millis(300));
}

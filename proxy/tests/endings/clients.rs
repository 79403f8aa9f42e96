//! Clients that go on writing on an open connection, whole and in pieces, until it ends; and a server that answers them.

use super::{connect, message, parameter, setup, stood};
pub use crate::play::caller::answered;
use crate::play::caller::{STANDS, answer};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// A set-up that crosses a close of its connection by no more than this is sent again by its client (PROTOCOL).
const CROSSING: Duration = Duration::from_millis(50);
/// A slow writer's pause within a set-up; longer than a crossing.
const PAUSE_WITHIN: Duration = Duration::from_millis(120);

/// What a client has to say against the program.
pub type Lost = Option<String>;

/// A client's set-up, from its first byte to its answer or the end of its connection.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub begun: Instant,
    pub ended: Instant,
}

/// What has become of a client.
pub struct Ended {
    pub lost: Lost,
    pub at: Instant,
    pub set_ups: Vec<Span>,
}

/// One client: a set-up, its answer, and the next, on one connection until that ends. `in_pieces`, it pauses within.
pub fn client(
    number: u64,
    at: SocketAddr,
    patience: Duration,
    in_pieces: bool,
    killed: &AtomicBool,
) -> Ended {
    let mut set_ups = Vec::new();
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
        let answer = written.is_ok().then(|| answer(&mut stream, call)).flatten();
        let ended = Instant::now();
        set_ups.push(Span { begun, ended });
        let Some(kind) = answer else {
            let crossed = ended - begun;
            let cut_by_the_kill = written.is_err() && killed.load(Ordering::SeqCst);
            let lost = (crossed > CROSSING && !cut_by_the_kill)
                .then(|| format!("client {number}: set-up {n} was begun {crossed:?} before the close"));
            return Ended { lost, at: ended, set_ups };
        };
        // Where the connection closes on its hang-up, no set-up is open.
        if kind == STANDS && !hangs_up(&mut stream, call) {
            return Ended { lost: None, at: Instant::now(), set_ups };
        }
        sleep(Duration::from_millis(number % 23));
    }
    unreachable!("it goes on until its connection ends")
}

/// Releases a call that stands; `false` where the connection ends.
fn hangs_up(stream: &mut TcpStream, call: u64) -> bool {
    let release = message(12, call, &[parameter(44, &[16])]);
    stream.write_all(&release).is_ok() && answered(stream, call)
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

/// A setup server that answers each call after a while, on every connection, until the program is gone.
pub fn serve(mut link: TcpStream, after: Duration) -> JoinHandle<()> {
    spawn(move || {
        let (mut read, mut bytes) = (String::new(), [0; 65_536]);
        loop {
            let Ok(n @ 1..) = link.read(&mut bytes) else { return };
            read += &String::from_utf8_lossy(&bytes[..n]);
            while let Some(end) = read.find("\r\n\r\n") {
                let head: String = read.drain(..end + 4).collect();
                let Some(id) = head.starts_with("INVITE").then(|| call_id(&head)).flatten() else { continue };
                sleep(after);
                if link.write_all(stood(id).as_bytes()).is_err() {
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

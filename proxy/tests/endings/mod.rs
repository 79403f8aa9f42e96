//! Ends that cross something, against the program on real sockets: what is still owed at them is done.

pub mod clients;
mod departed;
mod shutdown;
mod successor;

pub use crate::play::caller::{connect, message, parameter, setup, setup_of_class, start, stood, until};
use crate::play::{PATIENCE, Program, accept};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

/// An answer that crosses the end of its caller's connection, and waits in the program as the caller reads nothing:
/// nobody will ever release that call, so the program does. Guards lines against calls that stand for nobody.
#[test]
fn an_answer_that_no_caller_gets_is_released() {
    let (program, mut link, _server) = start(&[]);
    let at = program.address();
    let mut caller = connect(&at);
    caller.write_all(&setup(10, "9000")).expect("sent");
    until(&mut link, "desc");
    // Tests whose answers are not read, until the program can write no more, and so reads no more.
    let tests = message(52, 1, &[parameter(44, &[0])]).repeat(4096);
    caller.set_write_timeout(Some(Duration::from_millis(100))).expect("a time-out");
    loop {
        match caller.write_all(&tests) {
            Ok(()) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
            Err(e) => panic!("{e}"),
        }
    }
    // What it could still read and write is done: the answer finds no room.
    program.settled();
    link.write_all(stood(10).as_bytes()).expect("sent");
    // By then the core has the answer in its queue, and once it has answered another caller it has passed it on.
    let mut came = until(&mut link, "ACK");
    let mut other = connect(&at);
    other.write_all(&message(12, 99, &[parameter(44, &[16])])).expect("sent");
    other.read_exact(&mut [0; 15]).expect("no such call");
    drop(caller);
    // On a machine so slow that the caller's connection has ended before, it may be there already.
    if !came.contains("BYE") {
        came = until(&mut link, "BYE");
    }
    assert!(came.contains("Call-ID: 000000000000000a"), "{came}");
}

/// A second SIGTERM neither ends the program at once nor puts off what the first has asked for.
#[test]
fn a_second_sigterm_changes_nothing() {
    let (mut program, mut link, _server) = start(&[]);
    let mut caller = connect(&program.address());
    caller.write_all(&setup(10, "9000")).expect("sent");
    until(&mut link, "desc");
    let id = program.child.id().to_string();
    let terminate = || Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
    let first = Instant::now();
    terminate();
    std::thread::sleep(Duration::from_millis(2_500));
    terminate();
    let mut answer = [0; 11];
    caller.read_exact(&mut answer).expect("an answer");
    // 3.3 s after the first; 5.8 s if the second counted.
    assert!(first.elapsed() < Duration::from_millis(5_000), "{:?}", first.elapsed());
    assert_eq!((answer[2], answer[10]), (12, 10));
    assert_eq!(program.exit_code(), Some(0));
}

/// A caller's bytes end anywhere in a set-up, and with a close: none of these comes to the server, and the next does.
#[test]
fn a_set_up_that_is_cut_anywhere_is_none() {
    let (program, mut link, _server) = start(&[]);
    let at = program.address();
    let whole = setup(10, "3000");
    let pieces: Vec<TcpStream> = (0..whole.len())
        .map(|n| {
            let mut caller = connect(&at);
            caller.write_all(&whole[..n]).expect("sent");
            caller
        })
        .collect();
    drop(pieces);
    let mut caller = connect(&at);
    caller.write_all(&setup(11, "3000")).expect("sent");
    let came = until(&mut link, "desc");
    assert!(came.contains("Call-ID: 000000000000000b") && !came.contains("000000000000000a"), "{came}");
}

/// A server's answer ends anywhere, and with a close: the call goes again on the next connection, and stands once.
#[test]
fn an_answer_that_is_cut_anywhere_is_none() {
    let answer = stood(10);
    for cut in [1, 8, 14, 30, 60, answer.len() - 5, answer.len() - 1] {
        let (program, mut link, server) = start(&[]);
        let mut caller = connect(&program.address());
        caller.write_all(&setup(10, "9000")).expect("sent");
        until(&mut link, "desc");
        link.write_all(&answer.as_bytes()[..cut]).expect("sent");
        drop(link);
        let mut link = accept(&server).expect("the program connects again");
        link.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        until(&mut link, "desc");
        link.write_all(answer.as_bytes()).expect("sent");
        until(&mut link, "ACK");
        let mut stands = [0; 18];
        caller.read_exact(&mut stands).expect("an answer");
        assert_eq!((stands[2], &stands[14..]), (9, &b"back"[..]), "{cut}");
        caller.set_read_timeout(Some(Duration::from_millis(100))).expect("a time-out");
        assert!(caller.read(&mut stands).is_err(), "{cut}: a second answer");
    }
}

/// Nobody reads the log any more. Guards the command channel, which says there why it broke, and all that logs a line:
/// `eprintln!` ended the task that did, so that no drain was ever heard of again.
#[test]
fn a_log_that_nobody_reads_ends_nothing() {
    let channel = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = channel.local_addr().expect("bound").to_string();
    let text = include_str!("../recorded/config.json").replace("SERVERS", "").replace("CHANNEL", &at);
    let (_program, _) = Program::start_unheard("PROXY_CONFIG", &text);
    for _ in 0..3 {
        let mut follows = accept(&channel).expect("the program connects");
        follows.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        until(&mut follows, "resume 1\n");
        follows.write_all(b"no event\n").expect("sent");
    }
}

//! Clients that leave with much behind them that the program has not read, or not sent on.

use super::{connect, message, parameter, setup_of_class, start, stood, until};
use crate::play::Program;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

/// A class that may not be repeated.
const UNSAFE: (&str, &str) = ("\"effect\":\"safe\"", "\"effect\":\"unsafe\"");
const STANDSTILL: Duration = Duration::from_millis(450);
/// What was sent to a server has come to it within this.
const ARRIVED: Duration = Duration::from_millis(500);

fn signal(program: &Program, signal: &str) {
    let id = program.child.id().to_string();
    Command::new("kill").args([signal, &id]).status().expect("kill runs");
}

/// How many set-ups come to a server, and everything that does.
fn came(link: &mut TcpStream) -> (usize, String) {
    link.set_read_timeout(Some(ARRIVED)).expect("a time-out");
    let (mut read, mut bytes) = (Vec::new(), [0; 65_536]);
    while let Ok(n @ 1..) = link.read(&mut bytes) {
        read.extend_from_slice(&bytes[..n]);
    }
    let text = String::from_utf8_lossy(&read).into_owned();
    (text.matches("INVITE sip").count(), text)
}

/// Set-ups with a filling of so many bytes.
fn set_ups(count: u64, filling: usize) -> Vec<u8> {
    (0..count)
        .flat_map(|n| {
            let mut bytes = setup_of_class(0x100 + n, "voice", "9000");
            bytes.extend(parameter(99, &vec![b'x'; filling]));
            let length = (bytes.len() - 2) as u16;
            bytes[..2].copy_from_slice(&length.to_be_bytes());
            bytes
        })
        .collect()
}

/// Guards the servers against set-ups of a client that wrote them and left while this process stood still: what was behind the
/// first bytes that are read at once was sent on.
#[test]
fn nothing_is_sent_on_for_a_client_that_left_during_a_standstill() {
    for (count, filling) in [(100, 0), (100, 1_000), (20, 14_000), (1, 0)] {
        let (program, mut link, _server) = start(&[UNSAFE]);
        let mut client = connect(&program.address());
        // It is there, and known.
        client.write_all(&message(52, 1, &[parameter(44, &[0])])).expect("sent");
        client.read_exact(&mut [0; 15]).expect("a test's answer");
        signal(&program, "-STOP");
        client.write_all(&set_ups(count, filling)).expect("sent");
        drop(client);
        sleep(STANDSTILL);
        signal(&program, "-CONT");
        let (set_ups, text) = came(&mut link);
        assert_eq!(set_ups, 0, "{count} with {filling}: {text}");
    }
}

/// The same where its connection was not accepted yet.
#[test]
fn nothing_is_sent_on_for_a_client_that_came_and_left_during_a_standstill() {
    let (program, mut link, _server) = start(&[UNSAFE]);
    let at = program.address();
    signal(&program, "-STOP");
    let mut client = connect(&at);
    client.write_all(&set_ups(100, 0)).expect("sent");
    drop(client);
    sleep(STANDSTILL);
    signal(&program, "-CONT");
    let (set_ups, text) = came(&mut link);
    assert_eq!(set_ups, 0, "{text}");
}

/// Set-ups that wait in the program for a server's window: their client leaves during a standstill, and the window opens as it
/// ends.
#[test]
fn nothing_that_waits_is_sent_on_for_a_client_that_left_during_a_standstill() {
    let (program, mut link, _server) = start(&[UNSAFE]);
    let at = program.address();
    let mut client = connect(&at);
    // One after another is answered, then so many come at once that some have to wait for their turn.
    client.write_all(&setup_of_class(1, "voice", "9000")).expect("sent");
    until(&mut link, "desc");
    link.write_all(stood(1).as_bytes()).expect("sent");
    client.write_all(&set_ups(100, 0)).expect("sent");
    sleep(Duration::from_millis(60));
    signal(&program, "-STOP");
    let before = came(&mut link).0;
    assert!(before < 100, "some wait");
    drop(client);
    sleep(STANDSTILL);
    signal(&program, "-CONT");
    let (after, text) = came(&mut link);
    assert_eq!(after, 0, "{before} before; {text}");
}

/// Guards a call that stands against its client's words being dropped with its set-ups: a release that came before the close
/// counts.
#[test]
fn a_release_of_a_client_that_has_left_is_heard() {
    let (program, mut link, _server) = start(&[UNSAFE]);
    let mut client = connect(&program.address());
    client.write_all(&setup_of_class(7, "voice", "9000")).expect("sent");
    until(&mut link, "desc");
    link.write_all(stood(7).as_bytes()).expect("sent");
    client.read_exact(&mut [0; 18]).expect("an answer");
    signal(&program, "-STOP");
    client.write_all(&set_ups(100, 0)).expect("sent");
    client.write_all(&message(12, 7, &[parameter(44, &[16])])).expect("sent");
    drop(client);
    sleep(STANDSTILL);
    signal(&program, "-CONT");
    let (set_ups, text) = came(&mut link);
    assert!(set_ups == 0 && text.contains("BYE") && text.contains("0000000000000007"), "{text}");
}

//! What a process of an upgrade owes is handed over to the other one: releases whose callers are still to be told, and which ids
//! have been used.

use super::peers::{CALL, Upgrade, accept_link, bye, release, signal};
use super::{Platform, terminate, wait_until_ready};
use crate::endings::clients::answered;
use crate::endings::{connect, setup, setup_of_class, start, stood, until};
use crate::play::Program;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::Duration;

/// A release is told within this once its caller comes (PROTOCOL: 1 s).
const TOLD: Duration = Duration::from_secs(1);
/// Cause of a call that failed.
const FAILED: u8 = 41;

/// A process at which a call has ended whose caller is not there.
struct Unheard {
    platform: Platform,
    server: TcpListener,
    old: Program,
}

impl Unheard {
    fn at_the_old_process() -> Unheard {
        let server = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = server.local_addr().expect("bound");
        let platform = Platform::with_servers(format!(
            r#"{{"id":"s1","addr":"{at}","zone":"z","kind":"k","cell":0,"state":"SERVING","started_ms":0}}"#
        ));
        let (mut old, management) = platform.start();
        wait_until_ready(&mut old, management);
        let mut link = accept_link(&server);
        let mut caller = connect(&platform.clients_address());
        caller.write_all(&setup(CALL, "9000")).expect("sent");
        until(&mut link, "desc");
        link.write_all(stood(CALL).as_bytes()).expect("sent");
        assert!(answered(&mut caller, CALL));
        drop(caller);
        // The process sees that its caller has left before the server speaks.
        old.settled();
        link.write_all(bye().as_bytes()).expect("sent");
        until(&mut link, "200 OK");
        old.settled();
        Unheard { platform, server, old }
    }

    /// Starts the process that replaces the old one; its server says the release again.
    fn start_new(&self) -> Program {
        let (mut new, management) = self.platform.start();
        wait_until_ready(&mut new, management);
        let mut link = accept_link(&self.server);
        link.write_all(bye().as_bytes()).expect("sent");
        until(&mut link, "200 OK");
        new
    }
}

/// The caller comes, and hears of the end of its call once.
fn hears_once(at: SocketAddr) {
    let mut caller = connect(&at);
    caller.set_read_timeout(Some(TOLD)).expect("a time-out");
    let mut over = [0; 15];
    caller.read_exact(&mut over).expect("a release");
    assert_eq!((over[2], over[10]), (12, CALL as u8));
    caller.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
    match caller.read(&mut over) {
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
        other => panic!("a second word: {other:?}"),
    }
}

/// Guards a caller that comes after an upgrade against never hearing of the end of its call: the release waited at the process
/// that has ended.
#[test]
fn a_release_that_waits_for_its_caller_outlives_its_process() {
    let mut unheard = Unheard::at_the_old_process();
    let _new = unheard.start_new();
    terminate(&unheard.old);
    assert_eq!(unheard.old.exit_code(), Some(0));
    hears_once(unheard.platform.clients_address());
}

/// The same where the new process is killed half way: the old one goes on, and has kept the release.
#[test]
fn a_release_that_waits_outlives_a_new_process_that_is_killed() {
    let unheard = Unheard::at_the_old_process();
    let mut new = unheard.start_new();
    signal(&new, "-KILL");
    let _ = new.child.wait();
    sleep(Duration::from_millis(100));
    hears_once(unheard.platform.clients_address());
}

/// What the answer to a set-up says, and that no server heard of it.
fn fails_at_once(client: &mut TcpStream, links: &mut [&mut TcpStream]) {
    client.write_all(&setup(CALL, "3000")).expect("sent");
    let mut failed = [0; 15];
    client.read_exact(&mut failed).expect("an answer");
    assert_eq!((failed[2], failed[10], failed[14]), (12, CALL as u8, FAILED));
    for link in links {
        link.set_read_timeout(Some(Duration::from_millis(200))).expect("a time-out");
        let (mut came, mut bytes) = (String::new(), [0; 1024]);
        while let Ok(n @ 1..) = link.read(&mut bytes) {
            came += &String::from_utf8_lossy(&bytes[..n]);
        }
        assert!(!came.contains("INVITE"), "{came}");
    }
}

/// Guards against a call that runs twice: its id is open at the old process, and comes to the new one.
#[test]
fn an_id_that_is_open_at_the_old_process_is_not_sent_by_the_new_one() {
    let mut upgrade = Upgrade::with_a_call_at_the_old_process(false);
    fails_at_once(&mut upgrade.new_client, &mut [&mut upgrade.new_link, &mut upgrade.old_link]);
    // The first set-up is not touched.
    upgrade.old_link.write_all(stood(CALL).as_bytes()).expect("sent");
    let mut answer = [0; 18];
    upgrade.old_client.read_exact(&mut answer).expect("an answer");
    assert_eq!(answer[2], 9);
}

/// The same for one that stands there, and for one that has ended there.
#[test]
fn an_id_that_was_used_at_the_old_process_is_not_sent_by_the_new_one() {
    let mut upgrade = Upgrade::with_a_call_at_the_old_process(true);
    fails_at_once(&mut upgrade.new_client, &mut [&mut upgrade.new_link]);
    upgrade.old_client.write_all(&release()).expect("sent");
    until(&mut upgrade.old_link, "BYE");
    assert!(answered(&mut upgrade.old_client, CALL));
    // The other process has heard of it by then.
    sleep(Duration::from_millis(50));
    fails_at_once(&mut upgrade.new_client, &mut [&mut upgrade.new_link]);
}

/// Guards against a call that runs twice: its caller has left with the set-up at a server, and comes again.
#[test]
fn an_id_that_comes_again_after_its_caller_has_left_is_not_sent_again() {
    for wait in [0, 10, 400, 1_000] {
        let (program, mut link, _server) = start(&[("\"effect\":\"safe\"", "\"effect\":\"unsafe\"")]);
        let at = program.address();
        let mut caller = connect(&at);
        caller.write_all(&setup_of_class(CALL, "voice", "9000")).expect("sent");
        until(&mut link, "desc");
        drop(caller);
        until(&mut link, "CANCEL");
        sleep(Duration::from_millis(wait));
        fails_at_once(&mut connect(&at), &mut [&mut link]);
    }
}

/// An id that no server has heard of may come again: nothing has run.
#[test]
fn an_id_that_was_never_sent_may_come_again() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = server.local_addr().expect("bound");
    drop(server);
    let platform = Platform::with_servers(format!(
        r#"{{"id":"s1","addr":"{at}","zone":"z","kind":"k","cell":0,"state":"SERVING","started_ms":0}}"#
    ));
    let (mut program, management) = platform.start();
    wait_until_ready(&mut program, management);
    let mut caller = connect(&platform.clients_address());
    caller.write_all(&setup(CALL, "9000")).expect("sent");
    drop(caller);
    program.settled();
    let server = TcpListener::bind(at).expect("the same port");
    let mut link = accept_link(&server);
    let mut caller = connect(&platform.clients_address());
    caller.write_all(&setup(CALL, "9000")).expect("sent");
    until(&mut link, "desc");
}

//! A process that starts beside the one it replaces, on a listening socket that the platform holds for both.

use crate::play::{PATIENCE, Program, program_with_descriptor_4};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A new process says yes within this (LATER, 'Replacing the process').
const READY_WITHIN: Duration = Duration::from_secs(6);
/// A test, and the answer that it has passed (PROTOCOL, 'Messages').
const TEST: &[u8] = b"\0\x0d\x34\0\0\0\0\0\0\0\0\x2c\0\x01\0";
const TEST_PASSED: &[u8] = b"\0\x0d\x35\0\0\0\0\0\0\0\0\x2c\0\x01\x01";

/// What the platform holds while processes come and go: the clients' listening socket.
struct Platform {
    listener: TcpListener,
}

impl Platform {
    fn new() -> Platform {
        Platform { listener: TcpListener::bind("127.0.0.1:0").expect("a free port") }
    }

    fn clients_address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Starts a process with the held socket, and a management address of its own.
    fn start(&self) -> (Program, SocketAddr) {
        let management = free_address();
        let inherited = self.listener.try_clone().expect("a second descriptor");
        let mut command = program_with_descriptor_4(inherited.into());
        command.env("PROXY_FD", "4").env("PROXY_MGMT", management.to_string());
        let text = include_str!("../recorded/config.json")
            .replace("SERVERS", "")
            .replace("CHANNEL", "127.0.0.1:1")
            .replace("127.0.0.1:0", &self.clients_address().to_string());
        (Program::start_by(command, "PROXY_CONFIG", &text), management)
    }
}

/// An address that nobody listens at; another process may take it meanwhile, which fails the test.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// The answer to one call on the management line.
fn manage(at: SocketAddr, call: &str) -> std::io::Result<String> {
    let mut line = TcpStream::connect(at)?;
    line.set_read_timeout(Some(PATIENCE))?;
    line.write_all(format!("{call}\n").as_bytes())?;
    let mut answer = String::new();
    line.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Waits until the process says that it takes clients.
fn wait_until_ready(program: &mut Program, management: SocketAddr) {
    let begun = Instant::now();
    loop {
        let answer = manage(management, "readyz");
        if answer.as_ref().is_ok_and(|a| a.starts_with("done")) {
            return;
        }
        if let Some(status) = program.child.try_wait().expect("it can be waited for") {
            panic!("it ended with {status}: {}", program.says());
        }
        assert!(begun.elapsed() < READY_WITHIN, "not ready: {answer:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn passes_a_test(at: SocketAddr) {
    let mut client = TcpStream::connect(at).expect("connected");
    client.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    client.write_all(TEST).expect("sent");
    let mut answer = [0; TEST_PASSED.len()];
    client.read_exact(&mut answer).expect("an answer");
    assert_eq!(answer, TEST_PASSED);
}

/// Guards against report 3f65a3: a process that binds the address which the platform holds ends at its start.
#[test]
fn a_new_process_becomes_ready_beside_the_old_one() {
    let platform = Platform::new();
    let (mut old, old_management) = platform.start();
    wait_until_ready(&mut old, old_management);
    passes_a_test(platform.clients_address());
    let (mut new, new_management) = platform.start();
    wait_until_ready(&mut new, new_management);
    let id = old.child.id().to_string();
    std::process::Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
    assert_eq!(old.exit_code(), Some(0));
    passes_a_test(platform.clients_address());
}

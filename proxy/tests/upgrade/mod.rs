//! A process that starts beside the one it replaces, on a listening socket that the platform holds for both.

mod handover;
mod peers;

use crate::play::{PATIENCE, Program, accept, program, program_with_descriptor_4};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// A new process says yes within this (LATER, 'Replacing the process').
const READY_WITHIN: Duration = Duration::from_secs(6);
/// A test, and the answer that it has passed (PROTOCOL, 'Messages').
pub const TEST: &[u8] = b"\0\x0d\x34\0\0\0\0\0\0\0\0\x2c\0\x01\0";
pub const TEST_PASSED: &[u8] = b"\0\x0d\x35\0\0\0\0\0\0\0\0\x2c\0\x01\x01";

/// The answer that it has failed.
pub const TEST_FAILED: &[u8] = b"\0\x0d\x35\0\0\0\0\0\0\0\0\x2c\0\x01\0";

/// What the platform holds while processes come and go: the clients' listening socket, and the folder that they share.
pub struct Platform {
    listener: TcpListener,
    folder: PathBuf,
    /// The setup servers, as the configuration lists them.
    servers: String,
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Platform {
    pub fn new() -> Platform {
        Platform::with_servers(String::new())
    }

    pub fn with_servers(servers: String) -> Platform {
        static COUNT: AtomicU8 = AtomicU8::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("fernspan-platform-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Platform { listener: TcpListener::bind("127.0.0.1:0").expect("a free port"), folder, servers }
    }

    pub fn clients_address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Starts a process with the held socket, and a management address of its own.
    pub fn start(&self) -> (Program, SocketAddr) {
        let management = free_address();
        let inherited = self.listener.try_clone().expect("a second descriptor");
        let mut command = program_with_descriptor_4(inherited.into());
        command.env("PROXY_FD", "4").env("PROXY_MGMT", management.to_string()).env("TMPDIR", &self.folder);
        let text = configuration_with(&self.servers, self.clients_address());
        (Program::start_by(command, "PROXY_CONFIG", &text), management)
    }
}

/// The configuration of a process that listens there.
fn configuration(clients: SocketAddr) -> String {
    configuration_with("", clients)
}

fn configuration_with(servers: &str, clients: SocketAddr) -> String {
    include_str!("../recorded/config.json")
        .replace("SERVERS", servers)
        .replace("CHANNEL", "127.0.0.1:1")
        .replace("127.0.0.1:0", &clients.to_string())
}

/// Asks a process to end.
pub fn terminate(program: &Program) {
    let id = program.child.id().to_string();
    std::process::Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
}

/// An address that nobody else has: other tests use ports of 127.0.0.1 that the system gives, and the rig nets from 16 on.
pub fn free_address() -> SocketAddr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    const PORT: u16 = 9000;
    let process = std::process::id();
    let net = 2 + (process >> 8) % 14;
    let host = COUNT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, net as u8, process as u8, host], PORT))
}

/// The answer to one call on the management line.
pub fn manage(at: SocketAddr, call: &str) -> std::io::Result<String> {
    let mut line = TcpStream::connect(at)?;
    line.set_read_timeout(Some(PATIENCE))?;
    line.write_all(format!("{call}\n").as_bytes())?;
    let mut answer = String::new();
    line.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Waits until the process says that it takes clients.
pub fn wait_until_ready(program: &mut Program, management: SocketAddr) {
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

/// The next connection in the queue, and where it comes from.
fn accept_from(listener: &TcpListener) -> std::io::Result<(TcpStream, SocketAddr)> {
    listener.set_nonblocking(true)?;
    listener.accept()
}

/// The answer to a test on a connection of its own.
pub fn asks_for_a_test(at: SocketAddr) -> [u8; TEST_PASSED.len()] {
    let mut client = TcpStream::connect(at).expect("connected");
    client.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    client.write_all(TEST).expect("sent");
    let mut answer = [0; TEST_PASSED.len()];
    client.read_exact(&mut answer).expect("an answer");
    answer
}

fn passes_a_test(at: SocketAddr) {
    assert_eq!(asks_for_a_test(at), TEST_PASSED);
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
    terminate(&old);
    assert_eq!(old.exit_code(), Some(0));
    passes_a_test(platform.clients_address());
}

/// Guards against a log that holds the program: nobody reads it, it is full, and clients decide how many lines come.
#[test]
fn a_log_that_stands_still_stops_nothing() {
    const PIPE_BYTES: usize = 4096;
    const BAD_CLIENTS: usize = 400;
    let platform = Platform::new();
    let (unread, log) = std::io::pipe().expect("a pipe");
    rustix::pipe::fcntl_setpipe_size(&log, PIPE_BYTES).expect("a small one");
    let management = free_address();
    let inherited = platform.listener.try_clone().expect("a second descriptor");
    let mut command = program_with_descriptor_4(inherited.into());
    command.env("PROXY_FD", "4").env("PROXY_MGMT", management.to_string());
    let mut program =
        Program::start_unread(command, "PROXY_CONFIG", &configuration(platform.clients_address()), log);
    wait_until_ready(&mut program, management);
    for _ in 0..BAD_CLIENTS {
        let mut bad = TcpStream::connect(platform.clients_address()).expect("connected");
        bad.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        // No length is 0: nobody can read this.
        bad.write_all(&[0; 16]).expect("sent");
        bad.read_to_end(&mut Vec::new()).expect("it closes in order, and in time");
    }
    passes_a_test(platform.clients_address());
    terminate(&program);
    assert_eq!(program.exit_code(), Some(0));
    drop(unread);
}

/// Guards against a start that rests on its predecessor having gone: without an inherited socket, an address in use is
/// waited for.
#[test]
fn a_start_waits_for_the_address_of_its_predecessor() {
    let clients = free_address();
    let start = || Program::start_by(program(), "PROXY_CONFIG", &configuration(clients));
    let mut old = start();
    assert_eq!(old.address(), clients);
    let new = start();
    let said = new.says();
    assert!(said.ends_with(&format!("{clients} is in use: waiting for it")), "{said}");
    terminate(&old);
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(new.address(), clients);
    passes_a_test(clients);
}

/// The same for the ENUM front, whose predecessor holds its address for datagrams a little longer.
#[test]
fn an_enum_front_waits_for_its_predecessor() {
    let address = free_address();
    let text = include_str!("../recorded/enum.json")
        .replace("SERVERS", "")
        .replace("127.0.0.1:0", &address.to_string());
    let start = || Program::start_by(program(), "PROXY_ENUM", &text);
    let mut old = start();
    assert_eq!(old.address(), address);
    let new = start();
    assert!(new.says().ends_with("waiting for it"));
    terminate(&old);
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(new.address(), address);
}

/// Guards against a start that ends though it was only asked to end: it waits for an address, and takes no client.
#[test]
fn a_start_that_waits_ends_when_asked() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let text = configuration(held.local_addr().expect("bound"));
    let mut waits = Program::start_by(program(), "PROXY_CONFIG", &text);
    assert!(waits.says().ends_with("waiting for it"));
    terminate(&waits);
    assert_eq!(waits.exit_code(), Some(0));
}

/// Guards against a process that serves where no client comes, because what it inherits is not what was meant.
#[test]
fn a_bad_descriptor_is_a_clear_line_and_an_exit() {
    let bound = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = bound.local_addr().expect("bound");
    let connected = TcpStream::connect(at).expect("connected");
    for (value, line) in [
        ("four", "PROXY_FD cannot be \"four\""),
        ("-1", "PROXY_FD cannot be \"-1\""),
        ("0", "PROXY_FD cannot be \"0\""),
        ("77", "PROXY_FD names descriptor 77: Bad file descriptor"),
        ("4", "PROXY_FD names descriptor 4, which is no listening TCP socket"),
    ] {
        let inherited = connected.try_clone().expect("a second descriptor");
        let mut command = program_with_descriptor_4(inherited.into());
        command.env("PROXY_FD", value);
        let mut program = Program::start_by(command, "PROXY_CONFIG", &configuration(at));
        let said = program.says();
        assert!(said.contains(line), "{value}: {said}");
        assert_eq!(program.exit_code(), Some(1), "{value}");
    }
}

/// Guards against a yes before a set-up would be served: neither operators nor the front are told one before the list of
/// servers is known.
#[test]
fn readiness_waits_for_the_list_of_servers() {
    let platform = Platform::new();
    let channel = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let text = configuration(platform.clients_address())
        .replace("127.0.0.1:1\"", &format!("{}\"", channel.local_addr().expect("bound")))
        .replace(
            "\"cursor\":1,\"cmds\":[{\"cursor\":1,\"nodes\":{\"version\":1,\"full\":true,\"servers\":[]}}]",
            "\"cursor\":0,\"cmds\":[]",
        );
    let management = free_address();
    let inherited = platform.listener.try_clone().expect("a second descriptor");
    let mut command = program_with_descriptor_4(inherited.into());
    command.env("PROXY_FD", "4").env("PROXY_MGMT", management.to_string());
    let mut program = Program::start_by(command, "PROXY_CONFIG", &text);
    let mut follows = accept(&channel).expect("the program follows the command channel");
    let mut resume = [0; 9];
    follows.read_exact(&mut resume).expect("it resumes");
    assert_eq!(&resume, b"resume 0\n");
    assert!(manage(management, "readyz").is_ok_and(|a| a.starts_with("error")), "no list is known");
    // Until then clients are left to whoever else accepts from the socket.
    let clients: Vec<TcpStream> =
        (0..5).map(|_| TcpStream::connect(platform.clients_address()).expect("connected")).collect();
    // Time enough for the program to take them.
    std::thread::sleep(Duration::from_millis(300));
    for client in &clients {
        let (_taken, from) = accept_from(&platform.listener).expect("it waits there");
        assert_eq!(from, client.local_addr().expect("connected"));
    }
    follows
        .write_all(b"{\"cursor\":1,\"nodes\":{\"version\":1,\"full\":true,\"servers\":[]}}\n")
        .expect("sent");
    wait_until_ready(&mut program, management);
}

/// What operators write wrongly gets `error` or a close, and holds nobody up.
#[test]
fn what_is_no_call_gets_an_error() {
    let platform = Platform::new();
    let (mut program, management) = platform.start();
    wait_until_ready(&mut program, management);
    let silent: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(management).expect("connected")).collect();
    for call in ["", "ready", &"x".repeat(100_000)] {
        let answer = manage(management, call);
        assert!(answer.as_ref().map_or(true, |a| a.starts_with("error")), "{answer:?}");
    }
    let begun = Instant::now();
    assert_eq!(manage(management, "readyz").expect("an answer"), "done\n");
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    drop(silent);
}

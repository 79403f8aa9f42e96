//! A server vanishes without a word, and another process speaks at its address: nothing that was for the one reaches the other,
//! nothing runs twice, and calls that stood at the first are released.

use super::{connect, setup_of_class, stood, until};
use crate::play::{PATIENCE, Program, accept};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What stood is released within this from its end, where no release could be sent (PROTOCOL).
const RELEASED: Duration = Duration::from_millis(8_050);
/// The channel says something every second.
const BEAT: Duration = Duration::from_secs(1);
const STANDS: u64 = 0x10;
const OPEN: u64 = 0x11;

fn entry(id: &str, at: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{at}","zone":"z","kind":"k","cell":0,"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

/// A command channel: it serves each connection after a wait, beats, and tells the events that it is handed.
fn serve_channel(listener: TcpListener, wait: Duration, events: Receiver<String>) {
    spawn(move || {
        // One waits behind another: a connection that was given up has had its turn for nothing.
        let mut stream = loop {
            let Ok((stream, _)) = listener.accept() else { return };
            sleep(wait);
            stream.set_read_timeout(Some(Duration::from_millis(1))).expect("a time-out");
            let mut peeked = [0; 64];
            let asks = stream.peek(&mut peeked).is_ok_and(|n| n > 0);
            let left = (&stream).read(&mut peeked).is_ok() && matches!(stream.peek(&mut peeked), Ok(0));
            if asks && !left {
                break stream;
            }
        };
        let mut last = 1;
        loop {
            let line = match events.recv_timeout(BEAT) {
                Ok(event) => {
                    last += 1;
                    event
                }
                Err(_) => last.to_string(),
            };
            if stream.write_all(format!("{line}\n").as_bytes()).is_err() {
                return;
            }
        }
    });
}

/// Everything that comes on any connection to the successor, which states its lines and answers no set-up.
fn serve_successor(listener: TcpListener) -> Receiver<String> {
    let (tell, came) = channel();
    listener.set_nonblocking(false).expect("a listening socket");
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let tell = tell.clone();
            spawn(move || read_all(stream, &tell));
        }
    });
    came
}

fn read_all(mut stream: TcpStream, tell: &Sender<String>) {
    let state = "NOTIFY sip:state@net SIP/2.0\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\n\
                 X-State: x0:100;x1:100;util:0.0;queue:0\r\nContent-Length: 0\r\n\r\n";
    let _ = stream.write_all(state.as_bytes());
    let mut bytes = [0; 65_536];
    while let Ok(n @ 1..) = stream.read(&mut bytes) {
        if tell.send(String::from_utf8_lossy(&bytes[..n]).into_owned()).is_err() {
            return;
        }
    }
}

/// Plays it; the list tells of the change so long after the server has vanished, or never.
fn play(effect: &str, told_after: Option<Duration>) {
    let first = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = first.local_addr().expect("bound");
    let channel_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let text = include_str!("../recorded/config.json")
        .replace("SERVERS", &entry("s1", at, "SERVING"))
        .replace("CHANNEL", &channel_listener.local_addr().expect("bound").to_string())
        .replace("\"effect\":\"safe\"", &format!("\"effect\":\"{effect}\""));
    let (tell, events) = channel();
    serve_channel(channel_listener, Duration::ZERO, events);
    let program = Program::start("PROXY_CONFIG", &text);
    let mut link = accept(&first).expect("the program connects");
    link.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let mut caller = connect(&program.address());
    caller.write_all(&setup_of_class(STANDS, "voice", "9000")).expect("sent");
    until(&mut link, "desc");
    link.write_all(stood(STANDS).as_bytes()).expect("sent");
    caller.read_exact(&mut [0; 18]).expect("an answer");
    caller.write_all(&setup_of_class(OPEN, "voice", "9000")).expect("sent");
    until(&mut link, "desc");
    // Its connections stay open and silent; the address is another's from now on.
    drop(first);
    let vanished = Instant::now();
    let came = serve_successor(TcpListener::bind(at).expect("the same address"));
    if let Some(after) = told_after {
        sleep(after);
        let servers = [entry("s1", at, "DELETED"), entry("s2", at, "SERVING")].join(",");
        let event = format!(r#"{{"cursor":2,"nodes":{{"version":2,"full":false,"servers":[{servers}]}}}}"#);
        tell.send(event).expect("the channel is there");
    }
    let mut words = [0; 15];
    caller.set_read_timeout(Some(RELEASED - vanished.elapsed())).expect("a time-out");
    loop {
        caller.read_exact(&mut words).unwrap_or_else(|e| panic!("{e}: not released, told {told_after:?}"));
        if words[10] == STANDS as u8 {
            break;
        }
    }
    assert_eq!(words[2], 12, "a release");
    sleep(Duration::from_millis(600));
    let text: String = came.try_iter().collect();
    let (stands, open) = (format!("Call-ID: {STANDS:016x}"), format!("Call-ID: {OPEN:016x}"));
    assert!(!text.contains(&stands), "what was for the predecessor: {text}");
    let sent = text.matches("INVITE sip").count();
    let may_be_sent = usize::from(effect == "safe");
    assert!(sent <= may_be_sent && text.matches(&open).count() <= may_be_sent, "sent again: {text}");
    drop(link);
}

/// The list tells of it at once, or late.
#[test]
fn a_successor_at_the_address_of_a_vanished_server_is_not_taken_for_it() {
    for told_after in [Duration::ZERO, Duration::from_millis(800), Duration::from_millis(4_000)] {
        play("safe", Some(told_after));
    }
    play("unsafe", Some(Duration::from_millis(800)));
}

/// Guards callers whose list is down: what the successor says of its lines tells that the calls are gone.
#[test]
fn a_successor_shows_itself_where_the_list_is_down() {
    play("unsafe", None);
}

/// Guards a drain against a slow discovery, which serves each connection after some seconds: the program gave each up before, and
/// never heard of anything.
#[test]
fn a_drain_is_heard_from_a_slow_channel() {
    std::thread::scope(|scope| {
        for wait in [500, 3_000, 4_500, 5_500, 6_500].map(Duration::from_millis) {
            scope.spawn(move || a_drain_is_heard(wait));
        }
    });
}

/// From a channel that serves one connection after the other, each after this wait.
fn a_drain_is_heard(wait: Duration) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = server.local_addr().expect("bound");
    let channel_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let text = include_str!("../recorded/config.json")
        .replace("SERVERS", &entry("s1", at, "SERVING"))
        .replace("CHANNEL", &channel_listener.local_addr().expect("bound").to_string());
    let (tell, events) = channel();
    serve_channel(channel_listener, wait, events);
    let drains = format!(
        r#"{{"cursor":2,"nodes":{{"version":2,"full":false,"servers":[{}]}}}}"#,
        entry("s1", at, "DRAINING")
    );
    tell.send(drains).expect("the channel is there");
    let program = Program::start("PROXY_CONFIG", &text);
    let begun = Instant::now();
    let mut link = accept(&server).expect("the program connects");
    let clients = program.address();
    // It counts as told after 7 s; from 1 s later on nothing new goes there.
    sleep(Duration::from_millis(8_050).saturating_sub(begun.elapsed()));
    let mut caller = connect(&clients);
    caller.write_all(&setup_of_class(OPEN, "voice", "1000")).expect("sent");
    let mut refused = [0; 11];
    caller.read_exact(&mut refused).expect("an answer");
    link.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
    let (mut came, mut bytes) = (String::new(), [0; 4096]);
    while let Ok(n @ 1..) = link.read(&mut bytes) {
        came += &String::from_utf8_lossy(&bytes[..n]);
    }
    assert!(refused[2] == 12 && !came.contains("INVITE"), "{wait:?}: {came}");
}

//! Callers' messages, and the program with one setup server that a test answers for.

use super::{PATIENCE, Program, accept};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The program with one setup server, other values of these fields, and the first connection to that server.
pub fn start(settings: &[(&str, &str)]) -> (Program, TcpStream, TcpListener) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = server.local_addr().expect("bound");
    let listed = format!(
        r#"{{"id":"s1","addr":"{at}","zone":"z","kind":"k","cell":0,"state":"SERVING","started_ms":0}}"#
    );
    let text =
        include_str!("../recorded/config.json").replace("SERVERS", &listed).replace("CHANNEL", "127.0.0.1:1");
    let text = settings.iter().fold(text, |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    });
    let program = Program::start("PROXY_CONFIG", &text);
    let link = accept(&server).expect("the program connects");
    link.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    (program, link, server)
}

pub fn connect(at: &SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream
}

pub fn parameter(code: u8, value: &[u8]) -> Vec<u8> {
    [&[code][..], &(value.len() as u16).to_be_bytes(), value].concat()
}

pub fn message(kind: u8, call: u64, parameters: &[Vec<u8>]) -> Vec<u8> {
    let body = [&[kind][..], &call.to_be_bytes(), &parameters.concat()].concat();
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

pub fn setup(call: u64, patience: &str) -> Vec<u8> {
    setup_of_class(call, "voice", patience)
}

pub fn setup_of_class(call: u64, class: &str, patience: &str) -> Vec<u8> {
    let texts: [(u8, &[u8]); 6] = [
        (16, class.as_bytes()),
        (18, patience.as_bytes()),
        (20, b"acme"),
        (24, b"555"),
        (26, b"dest:0;width:1;via:-1"),
        (46, b"desc"),
    ];
    message(1, call, &texts.map(|(code, value)| parameter(code, value)))
}

/// Reads until the text is there; gives all that came.
pub fn until(stream: &mut TcpStream, text: &str) -> String {
    let (mut read, mut bytes) = (Vec::new(), [0; 4096]);
    while !String::from_utf8_lossy(&read).contains(text) {
        let n =
            stream.read(&mut bytes).unwrap_or_else(|e| panic!("{e} before {text}: {}", read.escape_ascii()));
        assert!(n > 0, "it closed before {text}: {}", read.escape_ascii());
        read.extend(&bytes[..n]);
    }
    String::from_utf8_lossy(&read).into_owned()
}

pub fn stood(call: u64) -> String {
    format!("SIP/2.0 200 OK\r\nCall-ID: {call:016x}\r\nCSeq: 1 INVITE\r\nContent-Length: 4\r\n\r\nback")
}

/// The type of an answer.
pub const STANDS: u8 = 9;

/// Reads messages until one is about that call; `false` where the connection ends first.
pub fn answered(stream: &mut TcpStream, call: u64) -> bool {
    answer(stream, call).is_some()
}

/// The type of the next message about that call, unless the connection ends first.
pub fn answer(stream: &mut TcpStream, call: u64) -> Option<u8> {
    loop {
        let mut length = [0; 2];
        let read = stream.read_exact(&mut length).and_then(|()| {
            let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
            stream.read_exact(&mut body).map(|()| body)
        });
        match read {
            Ok(body) if body[1..9] == call.to_be_bytes() => return Some(body[0]),
            Ok(_) => {}
            Err(e) => {
                assert!(
                    !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
                    "no answer in time"
                );
                return None;
            }
        }
    }
}

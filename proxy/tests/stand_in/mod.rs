//! A setup server that answers every set-up at once, on as many connections as are opened to it.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::spawn;

/// Its answers have descriptions of one length.
#[derive(Clone, Copy)]
pub struct Server {
    description: usize,
}

impl Server {
    pub fn with_answers(description: usize) -> Server {
        Server { description }
    }

    /// Serves this connection and all that come, until the test ends.
    pub fn serve(self, first: TcpStream, listener: TcpListener) {
        spawn(move || self.connection(first));
        listener.set_nonblocking(false).expect("a listening socket");
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                spawn(move || self.connection(stream));
            }
        });
    }

    fn connection(self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(None);
        let state = "NOTIFY sip:state@net SIP/2.0\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\n\
                     X-State: util:0.2;queue:0\r\nContent-Length: 0\r\n\r\n";
        let (mut read, mut chunk) = (Vec::new(), [0; 65_536]);
        if stream.write_all(state.as_bytes()).is_err() {
            return;
        }
        while let Ok(n @ 1..) = stream.read(&mut chunk) {
            read.extend_from_slice(&chunk[..n]);
            while let Some((answer, used)) = self.answer(&read) {
                read.drain(..used);
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
        }
    }

    /// The answer to the first whole message, and how many bytes that takes.
    fn answer(self, bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let head = std::str::from_utf8(&bytes[..end]).ok()?;
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length: usize = field("Content-Length: ")?.parse().ok()?;
        bytes.get(..end + length)?;
        let (call, sequence) = (field("Call-ID: ")?, field("CSeq: ")?);
        let answered = head.starts_with("INVITE") || head.starts_with("BYE");
        let description = if head.starts_with("INVITE") { self.description } else { 0 };
        let answer = format!(
            "SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: {sequence}\r\nX-State: util:0.2;queue:0\r\n\
             Content-Length: {description}\r\n\r\n{}",
            "x".repeat(description)
        );
        Some((if answered { answer.into_bytes() } else { Vec::new() }, end + length))
    }
}

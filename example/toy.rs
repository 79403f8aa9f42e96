//! A toy name server for ENUM, and a toy asker.
//!
//! `toy serve ADDRESS` answers every number with one NAPTR record; `toy ask ADDRESS NUMBER` asks for a number
//! and prints what comes back. Both speak UDP and know just enough DNS for that.

use std::io;
use std::net::UdpSocket;
use std::process::ExitCode;
use std::time::Duration;

/// Bytes before the question.
const HEAD: usize = 12;
/// A NAPTR record for the name in the question: its data are order, preference, flags, service, rule, name.
const RECORD: &[u8] = b"\xc0\x0c\x00\x23\x00\x01\x00\x00\x00\x3c\x00\x2b\x00\x64\x00\x0a\x01u\x07E2U+sip\
\x1b!^.*$!sip:info@example.com!\x00";

/// Answers queries that ask one plain question, as fernspan's do; drops all else.
fn serve(address: &str) -> io::Result<()> {
    let socket = UdpSocket::bind(address)?;
    let mut bytes = [0; 512];
    loop {
        let (length, peer) = socket.recv_from(&mut bytes)?;
        let Some(name) = bytes.get(HEAD..length).and_then(|b| b.iter().position(|b| *b == 0)) else {
            continue;
        };
        let end = HEAD + name + 5;
        if end > length || bytes[4..6] != [0, 1] {
            continue;
        }
        let mut reply = bytes[..end].to_vec();
        // An answer, with one record and nothing additional.
        reply[2..4].copy_from_slice(&[0x85, 0]);
        reply[6..12].copy_from_slice(&[0, 1, 0, 0, 0, 0]);
        reply.extend_from_slice(RECORD);
        socket.send_to(&reply, peer)?;
    }
}

fn ask(address: &str, number: &str) -> io::Result<String> {
    let mut query = vec![0x12, 0x34, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0];
    for digit in number.bytes().rev().filter(u8::is_ascii_digit) {
        query.extend([1, digit]);
    }
    query.extend(b"\x04e164\x04arpa\x00\x00\x23\x00\x01");
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_read_timeout(Some(Duration::from_secs(9)))?;
    socket.connect(address)?;
    socket.send(&query)?;
    let mut bytes = [0; 512];
    let length = socket.recv(&mut bytes)?;
    let code = bytes[3] & 15;
    let rest = bytes[..length].get(query.len()..).unwrap_or_default();
    let text: String = rest.iter().map(|b| if b.is_ascii_graphic() { char::from(*b) } else { ' ' }).collect();
    Ok(format!("{number}: response code {code}, {} answers: {}", bytes[7], text.trim()))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let done = match arguments[..] {
        ["serve", address] => serve(address),
        ["ask", address, number] => ask(address, number).map(|line| println!("{line}")),
        _ => Err(io::Error::other("usage: toy serve ADDRESS | toy ask ADDRESS NUMBER")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("toy: {e}");
            ExitCode::FAILURE
        }
    }
}

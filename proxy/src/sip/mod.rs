//! The setup servers' protocol: the part of SIP that the platform uses.

mod connections;
pub mod link;
mod refusal;
mod release_refresh;
mod restart_detector;
mod sent_releases;
mod standing_calls;
pub mod state;

use crate::engine::Setup;
use crate::net::{Decode, WireError};
use fernspan_core::{CallId, Report, Time};
use std::fmt::Write;

/// What the first line says.
#[derive(Debug, PartialEq)]
pub enum Start {
    Request { method: String },
    Response { status: u16 },
}

/// One message.
#[derive(Debug)]
pub struct Message {
    pub start: Start,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value; names are compared without regard to case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    /// The call it names, in 16 hex digits.
    pub fn call(&self) -> Option<CallId> {
        let id = self.get("Call-ID").or_else(|| self.get("i"))?;
        let plain = id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit());
        plain.then(|| CallId::from_str_radix(id, 16).ok())?
    }

    /// Number and method of `CSeq`.
    pub fn sequence(&self) -> Option<(u32, &str)> {
        let (number, method) = self.get("CSeq")?.split_once(' ')?;
        Some((number.trim().parse().ok()?, method.trim()))
    }

    /// The load figures in `X-State`, as in `x0:12;x1:40;queue:3`.
    pub fn report(&self) -> Option<Report> {
        let mut report = Report::default();
        for (name, value) in self.get("X-State")?.split(';').filter_map(|f| f.split_once(':')) {
            let figure = value.trim().parse::<f64>().ok();
            match name.trim() {
                "x0" | "spare" => report.free = figure,
                "x1" | "total" => report.lines = figure,
                "util" | "cpu_share" => report.occupancy = figure,
                "queue" | "pending" => report.queue = figure,
                "inflight" | "busy_reqs" => report.busy = figure,
                "latency_ms" | "svc_ms" => report.wait = figure.map(|ms| ms * 1000.0),
                "qps" | "allowed" => report.takes = figure,
                "eps" | "cut_by" => report.hold_back = figure,
                _ => {}
            }
        }
        Some(report)
    }

    /// Whether it tells the server's state.
    pub fn is_state(&self) -> bool {
        matches!(&self.start, Start::Request { method } if method == "NOTIFY")
    }

    /// Whether its body can be a session description: text without control characters but for its line ends.
    pub fn describes(&self) -> bool {
        let text = std::str::from_utf8(&self.body).unwrap_or_default();
        !text.is_empty() && !text.contains(|c: char| c.is_control() && !"\r\n\t".contains(c))
    }

    /// The cause in `Reason`, as in `Q.850;cause=16`.
    pub fn cause(&self) -> Option<u8> {
        let reason = self.get("Reason")?;
        reason.split(';').find_map(|p| p.trim().strip_prefix("cause="))?.trim().parse().ok()
    }

    /// The response to a request, with the headers that match them.
    pub fn response(&self, status: &str) -> Vec<u8> {
        let mut text = format!("SIP/2.0 {status}\r\n");
        for (name, value) in &self.headers {
            let echoed = ["Via", "From", "To", "Call-ID", "CSeq"];
            if echoed.iter().any(|e| e.eq_ignore_ascii_case(name)) {
                let _ = write!(text, "{name}: {value}\r\n");
            }
        }
        text.push_str("Content-Length: 0\r\n\r\n");
        text.into_bytes()
    }
}

/// The `INVITE` of an attempt that goes out now. Its `CSeq` counts the call's attempts; a server need not repeat it in its answer.
pub fn invite(setup: &Setup, now: Time) -> Vec<u8> {
    let patience = setup.until.saturating_sub(now) / 1000;
    let mut bytes = request("INVITE", &setup.number, setup.id, setup.attempt + 1, "INVITE");
    bytes.extend(format!("Subject: {}\r\nX-Patience: {patience}\r\n", setup.class).bytes());
    bytes.extend(format!("Content-Length: {}\r\n\r\n", setup.payload.len()).bytes());
    bytes.extend_from_slice(&setup.payload);
    bytes
}

/// A request without a body that follows an `INVITE`, with a further header line where one is given.
pub fn follow_up(method: &str, number: &str, call: CallId, sequence: u32, line: &str) -> Vec<u8> {
    let mut bytes = request(method, number, call, sequence, method);
    bytes.extend(line.bytes());
    bytes.extend(b"Content-Length: 0\r\n\r\n");
    bytes
}

fn request(method: &str, number: &str, call: CallId, sequence: u32, of: &str) -> Vec<u8> {
    format!(
        "{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n\
         CSeq: {sequence} {of}\r\n"
    )
    .into_bytes()
}

/// Releases a call that stands, or may stand, at a server.
pub fn bye(call: CallId, cause: u8) -> Vec<u8> {
    follow_up("BYE", "unknown", call, 1, &format!("Reason: Q.850;cause={cause}\r\n"))
}

/// Asks a server for its load.
pub fn probe(id: CallId) -> Vec<u8> {
    follow_up("OPTIONS", "load", id, 1, "")
}

/// Headers that are kept: what this side reads, and what a response repeats. Any other is free, and may come by the thousand.
const HEADERS: [&str; 12] = [
    "Via",
    "From",
    "To",
    "Call-ID",
    "i",
    "CSeq",
    "Content-Length",
    "l",
    "Reason",
    "X-State",
    "X-Note",
    "X-Delay",
];
/// As many of them as a message may have; of each the first counts.
const HEADERS_MOST: usize = 64;

/// Cuts the bytes of a connection into messages.
pub struct Decoder {
    pub most: usize,
}

impl Decode for Decoder {
    type Message = Message;

    /// Empty lines before a message keep a connection alive. Guards against taking them for a message whose
    /// rest does not come, and the memory against any number of them.
    fn blank(&self, bytes: &[u8]) -> usize {
        bytes.iter().take_while(|b| b"\r\n".contains(b)).count()
    }

    fn decode(&mut self, bytes: &[u8]) -> Result<Option<(Message, usize)>, WireError> {
        let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
            return if bytes.len() > self.most { Err(WireError::TooLong) } else { Ok(None) };
        };
        let text =
            std::str::from_utf8(&bytes[..head]).map_err(|_| WireError::Malformed("head is no text"))?;
        let mut lines = text.split("\r\n");
        let start = first_line(lines.next().unwrap_or_default())?;
        let mut headers = Vec::new();
        for line in lines {
            let (name, value) = line.split_once(':').ok_or(WireError::Malformed("header without a colon"))?;
            let name = name.trim();
            if headers.len() < HEADERS_MOST && HEADERS.iter().any(|known| known.eq_ignore_ascii_case(name)) {
                headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let mut message = Message { start, headers, body: Vec::new() };
        let length = match message.get("Content-Length").or_else(|| message.get("l")) {
            Some(n) => n.parse().map_err(|_| WireError::Malformed("Content-Length"))?,
            // Guards against a body that would be taken for the next message.
            None => return Err(WireError::Malformed("no Content-Length")),
        };
        let length: usize = length;
        let whole = (head + 4).checked_add(length).filter(|n| *n <= self.most).ok_or(WireError::TooLong)?;
        let Some(body) = bytes.get(head + 4..whole) else { return Ok(None) };
        message.body = body.to_vec();
        Ok(Some((message, whole)))
    }
}

fn first_line(line: &str) -> Result<Start, WireError> {
    let bad = WireError::Malformed("first line");
    if let Some(rest) = line.strip_prefix("SIP/2.0 ") {
        let status = rest.split(' ').next().and_then(|s| s.parse().ok());
        return status.filter(|s| (100..700).contains(s)).map(|status| Start::Response { status }).ok_or(bad);
    }
    let mut words = line.split(' ');
    match (words.next(), words.next(), words.next(), words.next()) {
        (Some(method), Some(_), Some("SIP/2.0"), None) if !method.is_empty() => {
            Ok(Start::Request { method: method.to_owned() })
        }
        _ => Err(bad),
    }
}

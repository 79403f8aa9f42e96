//! The model's messages as bytes, and back: callers' binary messages and setup servers' SIP.
//!
//! What proxies write to setup servers is read by a parser of the rig's own, so that a fault of the program's
//! codec does not hide in its own mirror.

use fernspan::isup;
use fernspan::sip;
use fernspan_model::message::{FromServer, Setup, ToCaller, ToProxy, ToServer};
use fernspan_model::scenario::Scenario;
use fernspan_model::server::{No, State};
use fernspan_model::world::CLASS;
use fernspan_model::{CallId, Time};
use std::fmt::Write;

/// Longest message of either wire, in bytes (PROTOCOL).
pub const MOST: usize = 16 * 1024;

/// What a caller writes.
pub fn to_proxy(message: &ToProxy, scenario: &Scenario) -> Vec<u8> {
    let message = match message {
        ToProxy::Setup(s) => setup(s, scenario),
        ToProxy::Release(call) => isup::Message::new(isup::RELEASE, *call).with(isup::CAUSE, &[16]),
        ToProxy::Heard(call) => isup::Message::new(isup::HEARD, *call),
    };
    message.encode(MOST).unwrap_or_default()
}

fn setup(s: &Setup, scenario: &Scenario) -> isup::Message {
    let channel = scenario.channels.get(s.channel).map_or("", |c| c.name.as_str());
    let figures = format!("dest:{};width:1;via:-1", s.place);
    let message = isup::Message::new(isup::SETUP, s.call)
        .with(isup::CLASS, CLASS.as_bytes())
        .with(isup::PATIENCE, (s.patience / 1_000).to_string().as_bytes())
        .with(isup::TENANT, channel.as_bytes())
        .with(isup::NUMBER, s.number.as_bytes())
        .with(isup::FIGURES, figures.as_bytes())
        .with(isup::DESCRIPTION, s.description.as_bytes());
    if s.redial { message.with(isup::RETRY, b"1") } else { message }
}

/// A test, as the front asks a proxy that has started.
pub fn test() -> Vec<u8> {
    isup::Message::new(isup::TEST, 0).with(isup::CAUSE, &[0]).encode(MOST).unwrap_or_default()
}

/// What a caller has got.
///
/// # Errors
/// What is wrong with a message that no caller understands.
pub fn to_caller(m: &isup::Message) -> Result<ToCaller, String> {
    match m.kind {
        isup::ANSWER => match m.get(isup::DESCRIPTION) {
            Some(description) => Ok(ToCaller::Stands(m.call, description.to_vec())),
            None => Err("an answer without a description".to_owned()),
        },
        isup::RELEASE => {
            let cause = m.get(isup::CAUSE).and_then(|c| c.first().copied());
            let cause = cause.ok_or("a release without a cause")?;
            let away = match m.text(isup::COME_BACK) {
                None => None,
                Some(ms) => {
                    let ms: Time = ms.parse().map_err(|_| format!("a wait of '{ms}'"))?;
                    Some(ms * 1_000)
                }
            };
            Ok(ToCaller::Release(m.call, cause, away))
        }
        isup::HEARD | isup::PROGRESS | isup::STATE | isup::TESTED => Ok(ToCaller::Other),
        other => Err(format!("a message of type {other}")),
    }
}

fn state(s: &State) -> String {
    format!("X-State: x0:{};x1:{};util:{:.3};queue:{}\r\n", s.free, s.lines, s.util, s.queue)
}

/// What a setup server writes.
pub fn from_server(message: &FromServer) -> Vec<u8> {
    let mut text = String::with_capacity(256);
    let (start, call, sequence, of) = match message {
        FromServer::Stands(call, n, ..) => ("SIP/2.0 200 OK", *call, *n, "INVITE"),
        FromServer::Refuses(call, n, No::Error, _) => ("SIP/2.0 500 Error", *call, *n, "INVITE"),
        FromServer::Refuses(call, n, ..) => ("SIP/2.0 503 Full", *call, *n, "INVITE"),
        FromServer::Bye(call, ..) => ("BYE sip:peer@net SIP/2.0", *call, 1, "BYE"),
        FromServer::Notify(_) => ("NOTIFY sip:peer@net SIP/2.0", 0, 1, "NOTIFY"),
        FromServer::ByeHeard(call) => ("SIP/2.0 200 OK", *call, 1, "BYE"),
    };
    let _ =
        write!(text, "{start}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: {sequence} {of}\r\n");
    let mut body = "";
    match message {
        FromServer::Stands(_, _, description, s) => {
            text.push_str(&state(s));
            body = description;
        }
        FromServer::Refuses(_, _, no, s) => {
            match no {
                No::Throttled(wait) => {
                    let _ = write!(text, "X-Note: throttled\r\nX-Delay: {}\r\n", wait / 1_000);
                }
                No::Congestion => text.push_str("X-Note: congestion\r\n"),
                No::Error => {}
            }
            text.push_str(&state(s));
        }
        FromServer::Bye(_, cut, s) => {
            let _ = write!(text, "Reason: Q.850;cause={}\r\n{}", if *cut { 41 } else { 16 }, state(s));
        }
        // Unasked, only the lines are told (WIRE): the processor's figures are -1.
        FromServer::Notify(s) => {
            let _ = write!(text, "X-State: x0:{};x1:{};util:-1;queue:-1\r\n", s.free, s.lines);
        }
        FromServer::ByeHeard(_) => {}
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// What a proxy reads of bytes that a setup server wrote, by the program's own codec.
pub fn as_read(bytes: &[u8]) -> Option<sip::Message> {
    use fernspan::net::Decode;
    sip::Decoder { most: MOST }.decode(bytes).ok().flatten().map(|(m, _)| m)
}

/// The first whole message that a proxy wrote to a setup server, and how many bytes it takes; nothing where more
/// have to come.
///
/// # Errors
/// What is wrong with bytes that are no message.
pub fn to_server(bytes: &[u8]) -> Result<Option<(ToServer, usize)>, String> {
    let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() > MOST { Err("a head over 16 KiB".to_owned()) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..head]).map_err(|_| "a head that is no text")?;
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let (mut call, mut sequence, mut class, mut patience, mut length) = (None, None, None, None, None);
    for line in lines {
        let (name, value) = line.split_once(':').ok_or_else(|| format!("a header '{line}'"))?;
        let value = value.trim();
        let number = || value.parse::<u64>().map_err(|_| format!("a header '{line}'"));
        match name {
            "Call-ID" => {
                let id =
                    Some(value).filter(|v| v.len() == 16).and_then(|v| CallId::from_str_radix(v, 16).ok());
                call = Some(id.ok_or_else(|| format!("a header '{line}'"))?);
            }
            "CSeq" => {
                sequence = value.split_once(' ').map(|(n, of)| (n.parse::<u32>().ok(), of));
            }
            "Subject" => class = Some(value),
            "X-Patience" => patience = Some(number()?),
            "Content-Length" => length = Some(number()? as usize),
            _ => {}
        }
    }
    let length = length.ok_or("no Content-Length")?;
    let whole = head + 4 + length;
    if whole > MOST {
        return Err("a message over 16 KiB".to_owned());
    }
    let Some(body) = bytes.get(head + 4..whole) else { return Ok(None) };
    let call = call.ok_or("no Call-ID")?;
    let (sequence, of) = sequence.ok_or("no CSeq")?;
    let message = if let Some(status) = first.strip_prefix("SIP/2.0 ") {
        match of {
            "BYE" if status.starts_with("200") => ToServer::ByeHeard(call),
            _ => ToServer::Other,
        }
    } else {
        let mut words = first.split(' ');
        let (method, uri, version) = (words.next(), words.next(), words.next());
        if version != Some("SIP/2.0") || words.next().is_some() || method != Some(of) && method != Some("ACK")
        {
            return Err(format!("a first line '{first}'"));
        }
        match method {
            Some("INVITE") => ToServer::Invite {
                call,
                sequence: sequence.ok_or("a CSeq without a number")?,
                class: class.ok_or("no Subject")?.to_owned(),
                number: uri
                    .and_then(|u| u.strip_prefix("sip:")?.strip_suffix("@net"))
                    .ok_or_else(|| format!("a first line '{first}'"))?
                    .to_owned(),
                patience: patience.ok_or("no X-Patience")? * 1_000,
                description: body.to_vec(),
            },
            Some("CANCEL") => ToServer::Cancel(call),
            Some("BYE") => ToServer::Bye(call),
            Some("ACK" | "OPTIONS") => ToServer::Other,
            _ => return Err(format!("a first line '{first}'")),
        }
    };
    Ok(Some((message, whole)))
}

#[cfg(test)]
mod tests;

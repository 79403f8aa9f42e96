use super::*;
use fernspan::engine;
use fernspan::sip::Start;
use std::rc::Rc;

fn method_of(m: &sip::Message) -> String {
    match &m.start {
        Start::Request { method } => method.clone(),
        Start::Response { status } => status.to_string(),
    }
}

#[test]
fn what_a_proxy_writes_is_read_as_it_was_meant_in_any_pieces() {
    let setup = engine::Setup {
        source: 1,
        id: 0xab,
        attempt: 1,
        class: CLASS.into(),
        number: "7f3a".to_owned(),
        until: 102_500_000,
        payload: Rc::from(&b"v=0\r\n"[..]),
    };
    let mut bytes = sip::invite(&setup, 100_000_000);
    let invite = bytes.len();
    bytes.extend(sip::follow_up("CANCEL", "7f3a", 0xab, 2, ""));
    for end in 0..invite {
        assert_eq!(to_server(&bytes[..end]), Ok(None));
    }
    let (message, used) = to_server(&bytes).expect("good bytes").expect("a whole message");
    assert_eq!(used, invite);
    assert_eq!(
        message,
        ToServer::Invite {
            call: 0xab,
            sequence: 2,
            class: CLASS.to_owned(),
            number: "7f3a".to_owned(),
            patience: 2_500_000,
            description: b"v=0\r\n".to_vec(),
        }
    );
    let (message, _) = to_server(&bytes[used..]).expect("good bytes").expect("a whole message");
    assert_eq!(message, ToServer::Cancel(0xab));
}

#[test]
fn bytes_that_are_no_message_are_named() {
    for (bytes, what) in [
        ("INVITE sip:1@net SIP/2.0\r\nCall-ID: 12\r\n\r\n", "Call-ID"),
        ("INVITE sip:1@net SIP/2.0\r\nCall-ID: 0000000000000012\r\n\r\n", "no Content-Length"),
        (
            "SMILE sip:1@net SIP/2.0\r\nCall-ID: 0000000000000012\r\nCSeq: 1 SMILE\r\nContent-Length: 0\r\n\r\n",
            "SMILE",
        ),
        ("X\r\nContent-Length: 99999\r\n\r\n", "over 16 KiB"),
    ] {
        let said = to_server(bytes.as_bytes()).expect_err("bad bytes");
        assert!(said.contains(what), "{said}");
    }
}

#[test]
fn what_servers_write_is_read_by_the_program() {
    let state = State { free: 3, lines: 9, util: 0.5, queue: 2 };
    for (message, method, call) in [
        (FromServer::Stands(7, 2, "v=0".to_owned(), state), "200", 7),
        (FromServer::Refuses(8, 1, No::Throttled(3_000_000), state), "503", 8),
        (FromServer::Refuses(8, 1, No::Error, state), "500", 8),
        (FromServer::Bye(9, true, state), "BYE", 9),
        (FromServer::Notify(state), "NOTIFY", 0),
    ] {
        let read = as_read(&from_server(&message)).expect("a whole message");
        assert_eq!((method_of(&read).as_str(), read.call()), (method, Some(call)));
        let report = read.report().expect("a report");
        let queue = if method == "NOTIFY" { Some(-1.0) } else { Some(2.0) };
        assert_eq!((report.free, report.queue), (Some(3.0), queue));
    }
    let throttled = from_server(&FromServer::Refuses(8, 1, No::Throttled(3_000_000), state));
    assert_eq!(as_read(&throttled).expect("whole").get("X-Delay"), Some("3000"));
    let cut = as_read(&from_server(&FromServer::Bye(9, true, state))).expect("whole");
    assert_eq!(cut.cause(), Some(41));
}

//! The rules of a call, by inputs and outputs alone.

use fernspan::config;
use fernspan::engine::{Engine, Input, Order, Output, Request};
use fernspan::limits::Limits;
use fernspan_core::{CallId, Entry, ListKind, State, Time};
use std::time::Duration;

const FIRST_SOURCE: u64 = 1;
const SECOND_SOURCE: u64 = 2;
const MILLISECOND: Time = 1_000;

fn engine() -> Engine {
    let text = include_str!("recorded/config.json").replace("SERVERS", "").replace("CHANNEL", "127.0.0.1:1");
    let settings = config::read(&text).expect("a good file").start.settings;
    Engine::new(settings, 7, &Limits::new(1024, 192 << 20, 20_000, Duration::from_millis(500), 9_000_000))
}

fn request(id: CallId, source: u64, at: Time) -> Request {
    Request {
        id,
        source,
        at,
        patience: 9_000 * MILLISECOND,
        class: 0,
        tenant: Some(0),
        number: format!("{id}"),
        first_choice: Some(0),
        units: 1.0,
        redialled: false,
        cut_before: false,
        payload: b"desc"[..].into(),
    }
}

/// Guards against answers and attempts for callers that left in the same moment: hundreds of calls wait, and their
/// connection ends.
#[test]
fn nothing_is_decided_for_a_caller_that_is_gone() {
    const CALLS: u64 = 400;
    for leaves_after in [50, 400, 1_100, 1_250, 1_500, 3_000] {
        let mut engine = engine();
        let mut out = Vec::new();
        let serving = Entry { server: 0, zone: 0, place: 0, started: None, state: State::Ready };
        engine.handle(0, Input::List(ListKind::Saved, vec![serving]), &mut out);
        for id in 0..CALLS {
            let source = if id % 2 == 0 { FIRST_SOURCE } else { SECOND_SOURCE };
            engine.handle(id, Input::Call(request(id, source, id)), &mut out);
        }
        for step in 1..=leaves_after {
            engine.handle_due(step * MILLISECOND, &mut out);
        }
        out.clear();
        // Its timers are late, as on a busy machine: what they would have decided is decided now.
        let late = (leaves_after + 200) * MILLISECOND;
        engine.handle(late, Input::SourceGone(FIRST_SOURCE), &mut out);
        for output in &out {
            match output {
                Output::Reply(source, id, _) => {
                    assert_ne!(*source, Some(FIRST_SOURCE), "call {id} after {leaves_after} ms");
                }
                Output::Order(_, Order::Start(setup)) => {
                    assert_eq!(setup.id % 2, 1, "call {} after {leaves_after} ms", setup.id);
                }
                _ => {}
            }
        }
    }
}

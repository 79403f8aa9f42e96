//! The rules of a link to a server that is lost with its site: when it connects, and when calls that stand there are
//! taken to be gone. By hand, without sockets.

use fernspan::engine::{End, Input, Order, Setup};
use fernspan::limits::Limits;
use fernspan::net::Decode;
use fernspan::sip::state::{Link, LinkCommand, LinkEvent, Shared};
use fernspan::sip::{Decoder, Message};
use fernspan_core::Outcome;
use std::rc::Rc;
use std::time::Duration;

const S: u64 = 1_000_000;

fn setup(id: u64) -> Setup {
    again(id, 0)
}

fn again(id: u64, attempt: u32) -> Setup {
    Setup {
        id,
        source: 1,
        attempt,
        class: "voice".into(),
        number: "n".to_owned(),
        until: 200 * S,
        payload: b"v=0"[..].into(),
    }
}

struct Host {
    link: Link,
    now: u64,
    /// Connections that it asked for, and when.
    connects: Vec<(u64, u64)>,
    /// What it wrote.
    wrote: String,
}

impl Host {
    /// A link whose first connection is up, has told its state, and has a call that stands.
    fn new() -> Host {
        let limits = Limits::new(256, 64 << 20, 20_000, Duration::from_millis(500), 9_000_000);
        let shared = Shared { gives_wait: true, limits };
        let link = Link::new(Rc::new(shared), 3, 100 * S, Box::new(|| 0.5));
        let mut host = Host { link, now: 100 * S, connects: Vec::new(), wrote: String::new() };
        host.pass(S / 10);
        host.told(LinkEvent::Up);
        assert!(matches!(host.state(60, 100)[..], [Input::Spoke { fresh: true, .. }, Input::Room(..)]));
        host.order(Order::Start(setup(7)));
        let answer =
            "SIP/2.0 200 OK\r\nCall-ID: 0000000000000007\r\nCSeq: 1 INVITE\r\nContent-Length: 3\r\n\r\nv=0";
        assert!(matches!(host.hears(answer)[..], [Input::Stood { id: 7, .. }]));
        host
    }

    fn done(&mut self) {
        for todo in self.link.poll_commands() {
            match todo {
                LinkCommand::Connect(conn) => self.connects.push((conn, self.now)),
                LinkCommand::Write(_, bytes, _) => self.wrote.push_str(&String::from_utf8_lossy(&bytes)),
                LinkCommand::Close(_) => {}
            }
        }
    }

    fn told(&mut self, told: LinkEvent) -> Vec<Input> {
        let conn = self.connects.last().expect("a connection").0;
        let inputs = self.link.handle_event(self.now, conn, told);
        self.done();
        inputs
    }

    fn hears(&mut self, text: &str) -> Vec<Input> {
        self.told(LinkEvent::Message(decoded(text)))
    }

    fn state(&mut self, free: u32, lines: u32) -> Vec<Input> {
        self.hears(&notify(free, lines))
    }

    /// Lets time pass; each connect fails after half a second. Gives what the core is told, and when.
    fn silent(&mut self, span: u64) -> Vec<(u64, Input)> {
        self.fails(span, S / 2, false)
    }

    /// The same; each connect fails after `after`, refused or not.
    fn fails(&mut self, span: u64, after: u64, refused: bool) -> Vec<(u64, Input)> {
        let (until, mut said) = (self.now + span, Vec::new());
        while self.now < until {
            let open = self.connects.len();
            self.pass(S / 100);
            if self.connects.len() > open {
                self.now += after;
                said.extend(self.told(LinkEvent::Failed { refused }).into_iter().map(|i| (self.now, i)));
            }
        }
        said
    }

    fn pass(&mut self, span: u64) {
        self.look(span);
    }

    /// The same; gives what the core is told.
    fn look(&mut self, span: u64) -> Vec<Input> {
        self.now += span;
        let due = self.link.next_timeout().is_some_and(|at| at <= self.now);
        let inputs = if due { self.link.handle_timeout(self.now) } else { Vec::new() };
        self.done();
        inputs
    }

    fn order(&mut self, order: Order) -> Vec<Input> {
        let inputs = self.link.handle_order(self.now, order);
        self.done();
        inputs
    }
}

fn decoded(text: &str) -> Message {
    Decoder { most: 16_384 }.decode(text.as_bytes()).ok().flatten().expect("a message").0
}

fn notify(free: u32, lines: u32) -> String {
    format!("NOTIFY sip:peer@net SIP/2.0\r\nX-State: x0:{free};x1:{lines}\r\nContent-Length: 0\r\n\r\n")
}

fn died(said: &[(u64, Input)]) -> Option<u64> {
    said.iter().find(|(_, i)| matches!(i, Input::Died(3))).map(|(at, _)| *at)
}

/// Guards the path to a lost site against hundreds of proxies that each connect to all of its servers once a second.
#[test]
fn a_server_that_rests_is_connected_to_seldom() {
    let connects = |rest: bool| {
        let mut host = Host::new();
        host.link.handle_order(host.now, Order::Release(7, 16));
        host.link.handle_order(host.now, Order::Rest(rest));
        let conn = host.connects.last().expect("one").0;
        let closed = host.link.handle_event(host.now, conn, LinkEvent::Closed);
        assert!(closed.is_empty());
        let before = host.connects.len();
        host.silent(20 * S);
        host.connects.len() - before
    };
    let (resting, else_) = (connects(true), connects(false));
    assert!(resting >= 5 && resting * 2 <= else_, "{resting} and {else_}");
}

/// Calls at a machine that may have vanished are taken to be gone as late as their release allows, 8 s from their end.
/// Guards calls that stand at a site that is merely cut off for a few seconds against being released by this side.
#[test]
fn calls_at_a_lost_server_are_kept_for_as_long_as_they_may_stand() {
    let mut host = Host::new();
    let from = host.now;
    host.pass(S);
    host.order(Order::Rest(true));
    let said = host.silent(10 * S);
    let gone = died(&said).expect("they are gone in the end") - from;
    assert!((5_900_000..7_500_000).contains(&gone), "{gone}");
    assert!(host.connects.len() < 12, "{:?}", host.connects);
}

/// What the core is told as a server that was silent for four seconds comes back with so many lines free.
fn returns(free: u32, lines: u32) -> Vec<Input> {
    let mut host = Host::new();
    host.link.handle_order(host.now, Order::Rest(true));
    assert_eq!(died(&host.silent(4 * S)), None);
    let before = host.connects.len();
    while host.connects.len() == before {
        host.pass(S / 100);
    }
    host.told(LinkEvent::Up);
    let mut inputs = host.state(free, lines);
    // What had ended there is released right behind its state.
    inputs.extend(host.look(3 * S / 10));
    inputs
}

/// Whether the core is told that the call which stood is over.
fn cut(inputs: &[Input]) -> bool {
    let gone = |i: &Input| matches!(i, Input::Died(3) | Input::Over { id: 7, server: 3, cause: 41, .. });
    inputs.iter().any(gone)
}

/// A machine that returned with hardly a line in use has lost what stood there: its callers hear it now.
#[test]
fn a_server_that_returns_empty_has_lost_its_calls() {
    let inputs = returns(99, 100);
    assert!(cut(&inputs), "{inputs:?}");
}

/// The same with few calls: a process that comes up at the address of one that has vanished holds fewer than stand for this proxy
/// alone. Guards their callers against waiting for a list that is down.
#[test]
fn a_server_that_holds_fewer_calls_than_stand_for_us_has_lost_them() {
    for (in_use, lost) in [(0, true), (1, false), (5, false)] {
        let mut host = Host::new();
        host.state(99, 100);
        let before = host.connects.len();
        host.now += 3 * S;
        while host.connects.len() == before {
            host.pass(S / 100);
        }
        host.told(LinkEvent::Up);
        let mut inputs = host.state(100 - in_use, 100);
        inputs.extend(host.look(3 * S / 10));
        assert_eq!(cut(&inputs), lost, "{in_use} lines in use: {inputs:?}");
    }
}

/// One that returns with the lines in use that there were was cut off, and its calls stand.
#[test]
fn a_server_that_was_cut_off_keeps_its_calls() {
    let inputs = returns(75, 100);
    assert!(!cut(&inputs), "{inputs:?}");
}

/// Calls ended while nobody heard the server: their releases come on the new connection, and those that stand there still are
/// not given up for its few lines in use.
#[test]
fn a_server_that_releases_what_had_ended_is_the_same_process() {
    let mut host = Host::new();
    for call in [8, 9] {
        host.order(Order::Start(setup(call)));
        assert!(matches!(host.hears(&stood(call, "v=0"))[..], [Input::Stood { .. }]));
    }
    let before = host.connects.len();
    host.now += 3 * S;
    while host.connects.len() == before {
        host.pass(S / 100);
    }
    host.told(LinkEvent::Up);
    let mut inputs = host.state(99, 100);
    host.now += S / 10;
    for call in [8, 9] {
        let released = format!("{}CSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n", bye(call));
        assert!(matches!(host.hears(&released)[..], [Input::Over { .. }]));
    }
    inputs.extend(host.look(S));
    assert!(!cut(&inputs), "{inputs:?}");
}

/// A word after a silence says whether it is the same process; without a silence there is nothing to say.
#[test]
fn a_word_after_a_silence_is_told() {
    let mut host = Host::new();
    host.now += S / 5;
    assert!(matches!(host.state(60, 100)[..], [Input::Room(..)]));
    host.now += S;
    assert!(matches!(host.state(60, 100)[..], [Input::Spoke { fresh: false, .. }, Input::Room(..)]));
}

/// Once another server of its site speaks again, this one is looked at soon; one that speaks itself is not.
#[test]
fn a_site_that_speaks_again_is_looked_at_soon() {
    let mut host = Host::new();
    host.link.handle_order(host.now, Order::Rest(true));
    host.silent(4 * S);
    let before = host.connects.len();
    host.link.handle_order(host.now, Order::Rest(false));
    for _ in 0..31 {
        host.pass(S / 100);
    }
    assert_eq!(host.connects.len(), before + 1);
    let mut speaks = Host::new();
    speaks.link.handle_order(speaks.now, Order::Rest(true));
    speaks.link.handle_order(speaks.now, Order::Rest(false));
    let before = speaks.connects.len();
    for _ in 0..31 {
        speaks.pass(S / 100);
    }
    assert_eq!(speaks.connects.len(), before);
}

/// A server that drains refuses connections and may have nothing to say; with its calls standing it has a word now and
/// then on the connection that is there. One that refuses and has had none for seven seconds is gone, though no reset has
/// told so: a machine that was replaced leaves half-open connections. Guards callers against a call that is never
/// released: it has to be within 8 s of its end.
#[test]
fn a_server_that_refuses_and_says_nothing_for_long_is_gone() {
    let mut host = Host::new();
    let from = host.now;
    let said = host.fails(10 * S, S / 1000, true);
    let gone = died(&said).expect("it is gone") - from;
    assert!((7_100_000..7_600_000).contains(&gone), "{gone}");
}

#[test]
fn a_server_that_refuses_and_has_a_word_now_and_then_keeps_its_calls() {
    let mut host = Host::new();
    let first = host.connects[0].0;
    for free in 60..66 {
        assert_eq!(died(&host.fails(4 * S, S / 1000, true)), None);
        host.link.handle_event(host.now, first, LinkEvent::Message(decoded(&notify(free, 100))));
        host.done();
    }
}

impl Host {
    /// A link with four connections, on each of which a set-up has just gone out.
    fn busy() -> Host {
        let mut host = Host::new();
        for id in 20..40 {
            let before = host.connects.len();
            host.order(Order::Start(setup(id)));
            if host.connects.len() > before {
                host.told(LinkEvent::Up);
                host.state(60, 100);
            }
        }
        assert_eq!(host.connects.len(), 4);
        host
    }
}

/// A machine vanishes with set-ups open on all connections that there may be, and set-ups go on coming and being given up. Guards
/// the callers of calls that stand there against hearing of their end when the last of these set-ups has ended.
#[test]
fn calls_at_a_vanished_server_are_given_up_in_time_though_all_connections_are_busy() {
    for (patience, after) in [(1, S / 2), (2, S / 2), (9, S / 2), (9, 2 * S)] {
        let mut host = Host::busy();
        let from = host.now;
        let (mut died_at, mut failing) = (None, Vec::new());
        let mut id = 100;
        while died_at.is_none() && host.now < from + 12 * S {
            let open = host.connects.len();
            let mut said = host.look(S / 100);
            if (host.now / (S / 10)).is_multiple_of(2) {
                id += 1;
                said.extend(host.order(Order::Start(setup(id))));
                if id > 100 + patience * 5 {
                    said.extend(host.order(Order::Cancel(id - patience * 5)));
                }
            }
            failing.extend(host.connects[open..].iter().map(|(conn, at)| (*conn, at + after)));
            while let Some((conn, _)) = failing.iter().find(|(_, at)| *at <= host.now).copied() {
                failing.retain(|(other, _)| *other != conn);
                said.extend(host.link.handle_event(host.now, conn, LinkEvent::Failed { refused: false }));
                host.done();
                failing.extend(
                    host.connects.last().filter(|last| last.1 == host.now).map(|l| (l.0, l.1 + after)),
                );
            }
            died_at = said.iter().any(|input| matches!(input, Input::Died(3))).then_some(host.now);
        }
        let gone = died_at.expect("they are given up") - from;
        assert!((3 * S..7_600_000).contains(&gone), "{gone} with connects that take {after}");
    }
}

/// The same with a server that is slow to answer: a new connection comes up, and the calls stand.
#[test]
fn calls_at_a_slow_server_stand_though_all_connections_are_busy() {
    let mut host = Host::busy();
    let from = host.now;
    while host.now < from + 12 * S {
        let open = host.connects.len();
        let mut said = host.look(S / 100);
        if host.connects.len() > open {
            said.extend(host.told(LinkEvent::Up));
        }
        assert!(!said.iter().any(|input| matches!(input, Input::Died(3))), "after {}", host.now - from);
    }
}

/// Guards calls that stand against a standstill of this process, in which it could hear nobody.
#[test]
fn a_standstill_of_the_process_gives_no_call_up() {
    let mut host = Host::new();
    host.now += 20 * S;
    let said = host.look(0);
    assert!(!said.iter().any(|input| matches!(input, Input::Died(3))), "{said:?}");
    host.pass(S / 100);
    host.link.handle_event(host.now, host.connects[0].0, LinkEvent::Message(decoded(&notify(60, 100))));
    host.done();
    assert_eq!(died(&host.silent(4 * S)), None);
}

/// A connection that was asked for because others have set-ups open, and that is refused, says nothing of calls which
/// stand at a server that had nothing to tell for long.
#[test]
fn a_further_connection_that_is_refused_cuts_no_calls() {
    let mut host = Host::new();
    host.now += 9 * S;
    let mut said = Vec::new();
    for id in [8, 9] {
        said.extend(host.order(Order::Start(setup(id))));
    }
    assert_eq!(host.connects.len(), 2, "the second set-up asks for a connection");
    said.extend(host.told(LinkEvent::Failed { refused: true }));
    assert!(said.is_empty(), "{said:?}");
}

fn refusal(call: u64) -> String {
    format!("SIP/2.0 486 Busy\r\nCall-ID: {call:016x}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n")
}

/// Servers answer every `INVITE` with number 1, and a second copy may come some milliseconds late. Guards a call that is
/// sent again to the server that refused it against two attempts out: the copy would be taken for the second answer.
#[test]
fn a_second_copy_of_a_refusal_is_not_the_answer_to_the_next_attempt() {
    let mut host = Host::new();
    host.order(Order::Start(setup(8)));
    assert!(matches!(host.hears(&refusal(8))[..], [Input::Ended { id: 8, attempt: 0, .. }]));
    host.wrote.clear();
    assert!(host.order(Order::Start(again(8, 1))).is_empty());
    host.pass(S / 20);
    assert!(!host.wrote.contains("INVITE"), "{}", host.wrote);
    assert!(host.hears(&refusal(8)).is_empty());
    host.wrote.clear();
    host.pass(S / 10);
    assert!(host.wrote.contains("INVITE"), "{}", host.wrote);
    assert!(matches!(host.hears(&refusal(8))[..], [Input::Ended { id: 8, attempt: 1, .. }]));
    assert_eq!(host.connects.len(), 1);
}

/// While such a set-up waits it can be called off, and ends as not sent where the server drains or is gone.
#[test]
fn a_set_up_that_waits_for_a_copy_is_still_in_hand() {
    let mut host = Host::new();
    for (call, order) in [(8, Order::Cancel(8)), (9, Order::Drain)] {
        host.order(Order::Start(setup(call)));
        host.hears(&refusal(call));
        host.order(Order::Start(again(call, 1)));
        host.wrote.clear();
        let said = host.link.handle_order(host.now, order);
        assert_eq!(said.len(), usize::from(call == 9));
        host.pass(S / 5);
        assert!(host.wrote.is_empty(), "{}", host.wrote);
    }
    host.order(Order::Start(setup(10)));
    host.hears(&refusal(10));
    host.link.handle_order(host.now, Order::Start(again(10, 1)));
    let ends = host.link.end();
    assert!(matches!(ends[..], [Input::Ended { id: 10, attempt: 1, .. }]), "{ends:?}");
}

fn stood(call: u64, description: &str) -> String {
    let length = description.len();
    format!(
        "SIP/2.0 200 OK\r\nCall-ID: {call:016x}\r\nCSeq: 1 INVITE\r\nContent-Length: {length}\r\n\r\n{description}"
    )
}

fn bye(call: u64) -> String {
    format!("BYE sip:unknown@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n")
}

/// Two answers are read together on one connection, the first without a description: the link closes it, and the
/// other call has ended as reset by then. Its answer says that it stands at the server, where nobody else would ever
/// release it: its BYE met the closed connection and was lost.
#[test]
fn an_answer_behind_one_that_cannot_be_used_is_released() {
    let mut host = Host::new();
    let first = host.connects[0].0;
    for call in [8, 9] {
        host.order(Order::Start(setup(call)));
    }
    let ends = host.link.handle_event(host.now, first, LinkEvent::Message(decoded(&stood(8, ""))));
    assert!(matches!(ends[..], [Input::Ended { .. }, Input::Ended { .. }]), "{ends:?}");
    host.done();
    assert!(
        host.link.handle_event(host.now, first, LinkEvent::Message(decoded(&stood(9, "v=0")))).is_empty()
    );
    host.done();
    host.wrote.clear();
    host.pass(S);
    host.told(LinkEvent::Up);
    for call in [8, 9] {
        assert_eq!(host.wrote.matches(&bye(call)).count(), 1, "{}", host.wrote);
    }
}

/// A release that went out on a connection which ends goes out again at once where another is open, and does not wait
/// for the next one: the server may need none for minutes.
#[test]
fn a_release_that_met_a_close_goes_out_again_at_once() {
    let mut host = Host::new();
    let first = host.connects[0].0;
    for call in [8, 9] {
        host.order(Order::Start(setup(call)));
    }
    host.now += S / 100;
    host.told(LinkEvent::Up);
    host.now += S / 100;
    host.link.handle_event(host.now, first, LinkEvent::Message(decoded(&notify(60, 100))));
    host.order(Order::Release(7, 16));
    assert_eq!(host.wrote.matches(&bye(7)).count(), 1, "{}", host.wrote);
    host.wrote.clear();
    host.link.handle_event(host.now + S / 100, first, LinkEvent::Closed);
    host.done();
    assert_eq!(host.wrote.matches(&bye(7)).count(), 1, "{}", host.wrote);
}

/// The same where this side closes the connection, as it has gone quiet.
#[test]
fn a_release_on_a_connection_that_is_retired_goes_out_again() {
    let mut host = Host::new();
    host.link.handle_order(host.now, Order::Start(setup(8)));
    host.link.handle_order(host.now, Order::Cancel(8));
    host.now += S;
    host.link.handle_order(host.now, Order::Release(7, 16));
    host.order(Order::Start(setup(9)));
    assert_eq!(host.connects.len(), 2, "the first has said nothing since the set-up");
    host.wrote.clear();
    host.now += S / 10;
    host.told(LinkEvent::Up);
    assert_eq!(host.wrote.matches(&bye(7)).count(), 1, "{}", host.wrote);
}

/// A set-up that waited for a connection says how long it will still be waited for, and is not sent once that is over.
#[test]
fn a_set_up_that_waited_states_what_is_left() {
    let mut host = Host::new();
    host.link.handle_order(host.now, Order::Release(7, 16));
    let conn = host.connects[0].0;
    host.link.handle_event(host.now, conn, LinkEvent::Closed);
    let mut said = Vec::new();
    for (call, patience) in [(8, 3 * S), (9, S)] {
        let until = host.now + patience;
        said.extend(host.link.handle_order(host.now, Order::Start(Setup { until, ..setup(call) })));
    }
    assert!(said.is_empty(), "{said:?}");
    host.done();
    host.wrote.clear();
    host.now += S + S / 2;
    host.pass(0);
    let said = host.told(LinkEvent::Up);
    let unsent =
        |i: &Input| matches!(i, Input::Ended { id: 9, end: End { outcome: Outcome::NotSent, .. }, .. });
    assert!(matches!(&said[..], [i] if unsent(i)), "{said:?}");
    assert!(host.wrote.contains("X-Patience: 1500\r\n"), "{}", host.wrote);
    assert_eq!(host.wrote.matches("INVITE sip").count(), 1, "{}", host.wrote);
}

/// The id of the probe that was written last.
fn probe(wrote: &str) -> String {
    let (_, probe) = wrote.rsplit_once("OPTIONS sip:load@net SIP/2.0\r\n").expect("a probe");
    let id = probe.lines().find_map(|l| l.strip_prefix("Call-ID: ")).expect("an id");
    assert!(id.len() == 16 && probe.contains("CSeq: 1 OPTIONS\r\n"), "{probe}");
    id.to_owned()
}

fn load(id: &str, status: &str, state: &str) -> String {
    format!("SIP/2.0 {status}\r\nCall-ID: {id}\r\nCSeq: 1 OPTIONS\r\n{state}Content-Length: 0\r\n\r\n")
}

/// An answer is the report of the probe that is out, once. Guards the module against figures that are late, doubled, of
/// another probe, or that came on another connection: they are no report.
#[test]
fn a_probe_has_one_answer() {
    let mut h = Host::new();
    assert!(h.order(Order::Probe).is_empty());
    let id = probe(&h.wrote);
    let state = "X-State: x0:60;x1:100;util:0.8;queue:3\r\n";
    assert!(h.hears(&load("00000000000000aa", "200 OK", state)).is_empty(), "another's");
    assert!(h.hears(&load(&id, "100 Trying", "")).is_empty(), "not final");
    let said = h.hears(&load(&id, "200 OK", state));
    let [Input::Probed { server: 3, passed: true, report: Some(report) }] = said[..] else {
        panic!("{said:?}")
    };
    assert_eq!((report.occupancy, report.queue, report.free), (Some(0.8), Some(3.0), Some(60.0)));
    assert!(h.hears(&load(&id, "200 OK", state)).is_empty(), "a second one");
    // The next has its own id; its time passes, and its answer is too late.
    assert!(h.order(Order::Probe).is_empty());
    assert!(h.order(Order::Probe).is_empty(), "one is out at a time");
    assert_eq!(h.wrote.matches("OPTIONS sip:load").count(), 2);
    let next = probe(&h.wrote);
    assert_ne!(next, id);
    assert!(h.look(490_000).is_empty());
    let said = h.look(20_000);
    assert!(matches!(said[..], [Input::Probed { server: 3, passed: false, report: None }]), "{said:?}");
    let said = h.hears(&load(&next, "200 OK", state));
    assert!(matches!(said[..], [Input::Spoke { fresh: false, .. }]), "too late: {said:?}");
    // One that fails, and one without a figure that can be read.
    h.order(Order::Probe);
    let said = h.hears(&load(&probe(&h.wrote), "503 No", ""));
    assert!(matches!(said[..], [Input::Probed { passed: false, report: None, .. }]), "{said:?}");
    h.order(Order::Probe);
    let said = h.hears(&load(&probe(&h.wrote), "200 OK", "X-State: util:much;;queue;x0\r\n"));
    let [Input::Probed { passed: true, report: Some(report), .. }] = said[..] else { panic!("{said:?}") };
    assert_eq!((report.occupancy, report.queue, report.free), (None, None, None));
}

/// A probe is out as its connection ends and a new one comes up: an answer there is not this one's, and the calls are
/// not touched by either.
#[test]
fn a_probe_does_not_outlive_its_connection() {
    let mut h = Host::new();
    h.order(Order::Probe);
    let id = probe(&h.wrote);
    h.told(LinkEvent::Closed);
    // None is up: a probe alone opens none.
    let open = h.connects.len();
    h.pass(S);
    assert_eq!(h.connects.len(), open + 1, "the link's own next connection");
    let said = h.order(Order::Probe);
    assert!(matches!(said[..], [Input::Probed { passed: false, .. }]), "{said:?}");
    assert_eq!(h.connects.len(), open + 1);
    h.told(LinkEvent::Up);
    h.state(60, 100);
    assert!(h.hears(&load(&id, "200 OK", "X-State: util:0.8\r\n")).is_empty());
    // The call of before stands on.
    let bye =
        "BYE sip:x@net SIP/2.0\r\nCall-ID: 0000000000000007\r\nCSeq: 7 BYE\r\nContent-Length: 0\r\n\r\n";
    assert!(matches!(h.hears(bye)[..], [Input::Over { id: 7, .. }]));
}

/// The answers of calls and of a probe are mixed on one connection, the probe's id that of a call that is out.
#[test]
fn answers_of_calls_and_probes_do_not_mix() {
    let mut h = Host::new();
    h.order(Order::Probe);
    let id = probe(&h.wrote);
    let call = u64::from_str_radix(&id, 16).expect("hex digits");
    h.order(Order::Start(setup(call)));
    let of_call = |status: &str| format!("SIP/2.0 {status}\r\nCall-ID: {id}\r\nCSeq: 1 INVITE\r\n");
    let said = h.hears(&load(&id, "503 No", ""));
    assert!(matches!(said[..], [Input::Probed { passed: false, .. }]), "{said:?}");
    let said = h.hears(&format!("{}Content-Length: 3\r\n\r\nv=0", of_call("200 OK")));
    assert!(matches!(said[..], [Input::Stood { id: at, .. }] if at == call), "{said:?}");
    h.order(Order::Probe);
    let next = probe(&h.wrote);
    let call = u64::from_str_radix(&next, 16).expect("hex digits");
    h.order(Order::Start(setup(call)));
    let refused =
        format!("SIP/2.0 503 Full\r\nCall-ID: {next}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n");
    assert!(matches!(h.hears(&refused)[..], [Input::Ended { id: at, .. }] if at == call));
    let said = h.hears(&load(&next, "200 OK", "X-State: util:0.5\r\n"));
    assert!(matches!(said[..], [Input::Probed { passed: true, .. }]), "{said:?}");
}

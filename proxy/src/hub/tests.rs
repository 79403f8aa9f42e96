use super::*;
use crate::engine::Request;
use async_executor::LocalExecutor;
use std::cell::RefCell;
use std::rc::Rc;

/// Links that take no order until the test looks.
#[derive(Clone, Default)]
struct Stuck(Rc<RefCell<Vec<Receiver<Order>>>>);

impl Backend for Stuck {
    fn open(&self, _: ServerId, _: &str, orders: Receiver<Order>, _: Sender<Message>) {
        self.0.borrow_mut().push(orders);
    }
}

fn listed(state: State) -> Vec<ListedServer> {
    let entry = Entry { server: 0, zone: 0, place: 0, started: None, state };
    vec![ListedServer { id: "s".to_owned(), addr: "127.0.0.1:1".to_owned(), entry }]
}

fn limits() -> Limits {
    Limits::new(256, 64 << 20, 20_000, Duration::from_millis(500), 9_000_000)
}

fn engine(limits: &Limits) -> Engine {
    let text = include_str!("../../tests/recorded/config.json");
    let text = text.replace("SERVERS", "").replace("CHANNEL", "127.0.0.1:1");
    Engine::new(crate::config::read(&text).expect("a good file").start.settings, 7, limits)
}

fn call(id: CallId) -> Message {
    Message::Input(Input::Call(Request {
        id,
        source: 1,
        at: unix_now(),
        patience: 9_000_000,
        class: 0,
        tenant: Some(0),
        number: format!("{id}"),
        first_choice: Some(0),
        units: 1.0,
        redialled: false,
        cut_before: false,
        payload: b"desc"[..].into(),
    }))
}

/// A link has taken nothing for so long that no further set-up fits. Guards the rules against a give-up, a release
/// or a drain that is dropped with them: a call would be out twice, stand for nobody, or go to a server that drains.
#[test]
fn what_ends_something_always_gets_through() {
    let mut limits = limits();
    limits.link_queue = 1;
    let engine = engine(&limits);
    let (queue, messages) = async_channel::unbounded();
    let stuck = Stuck::default();
    let core = Core::new(
        engine,
        stuck.clone(),
        limits.clone(),
        queue.clone(),
        SharedLifecycle::new(&limits),
        Figures::default(),
        Violations::default(),
    );
    let (replies, _answers) = async_channel::unbounded();
    let executor = LocalExecutor::new();
    let _core = executor.spawn(core.run(messages));
    let orders = async_io::block_on(executor.run(async {
        let tell = |message| queue.try_send(message).expect("the core is there");
        tell(Message::List(ListKind::Saved, listed(State::Ready)));
        tell(Message::Open(1, CallerConnection::unlimited(replies)));
        tell(call(10));
        let orders = loop {
            let first = stuck.0.borrow().first().cloned();
            match first.filter(|o| !o.is_empty()) {
                Some(orders) => break orders,
                None => future::yield_now().await,
            }
        };
        // The set-up is in the queue, which is full.
        tell(Message::Input(Input::Left(10, 1)));
        tell(call(11));
        tell(Message::List(ListKind::Changes, listed(State::Draining)));
        while !queue.is_empty() {
            future::yield_now().await;
        }
        orders
    }));
    let orders: Vec<Order> = std::iter::from_fn(|| orders.try_recv().ok()).collect();
    let of = |order: &Order| match order {
        Order::Start(setup) => format!("start {}", setup.id),
        Order::Cancel(id) => format!("cancel {id}"),
        Order::Drain => "drain".to_owned(),
        other => format!("{other:?}"),
    };
    assert_eq!(orders.iter().map(of).collect::<Vec<_>>(), ["start 10", "cancel 10", "drain"]);
}

/// A server dies with more calls than a connection's queue took, and all are released towards the one caller in one
/// moment. Guards that connection, with all that is open on it: it was closed as that of a caller that does not
/// read. One that asks for other words without end still is.
#[test]
fn releases_in_one_moment_end_no_connection() {
    let mut limits = limits();
    limits.caller_queue = 2;
    let engine = engine(&limits);
    let (queue, messages) = async_channel::unbounded();
    let core = Core::new(
        engine,
        Stuck::default(),
        limits.clone(),
        queue.clone(),
        SharedLifecycle::new(&limits),
        Figures::default(),
        Violations::default(),
    );
    let (replies, answers) = async_channel::unbounded();
    let executor = LocalExecutor::new();
    let _core = executor.spawn(core.run(messages));
    async_io::block_on(executor.run(async {
        let tell = |message| queue.try_send(message).expect("the core is there");
        let settled = async || {
            while !queue.is_empty() {
                future::yield_now().await;
            }
            // Once more: the last message is in the core's hands.
            future::yield_now().await;
        };
        tell(Message::Open(1, CallerConnection::unlimited(replies)));
        for id in 10..15 {
            tell(Message::Input(Input::Over { id, server: 0, cause: 16, report: None }));
        }
        settled().await;
        let came: Vec<_> = std::iter::from_fn(|| answers.try_recv().ok()).collect();
        assert_eq!(came, (10..15).map(|id| (id, Reply::Over(16))).collect::<Vec<_>>());
        for id in 20..24 {
            tell(Message::Input(Input::Left(id, 1)));
        }
        settled().await;
        assert!(answers.is_closed());
        assert_eq!(answers.len(), 2);
    }));
}

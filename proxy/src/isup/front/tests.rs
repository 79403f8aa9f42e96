use super::super::names::{NamedClass, Names};
use super::*;
use crate::memory_budget::MemoryBudget;
use std::io::Read as _;
use std::time::Duration;

/// One caller's connection, served by a front whose core the test plays: what happens between two looks of the
/// front happens in one moment.
struct Scene {
    executor: Rc<LocalExecutor<'static>>,
    core: Receiver<hub::Message>,
    replies: Option<Sender<(CallId, Reply)>>,
    caller: TcpStream,
}

/// How many turns settle what can happen without another word from outside.
const TURNS: usize = 200;

impl Scene {
    fn new() -> Scene {
        let (core, messages) = async_channel::unbounded();
        let limits = Limits::new(256, 64 << 20, 20_000, Duration::from_millis(500), 9_000_000);
        let memory = Rc::new(RefCell::new(MemoryBudget::new(limits.client_memory)));
        let lifecycle = SharedLifecycle::new(&limits);
        let names = Names {
            classes: vec![NamedClass { name: "voice".into(), number: 0, patience: 9_000_000, places: None }],
            ..Names::default()
        };
        let names = Rc::new(RefCell::new(Rc::new(names)));
        let front = Rc::new(Front {
            names,
            figures: Figures::default(),
            limits,
            core,
            lifecycle,
            shares_socket: false,
            violations: Violations::default(),
            memory,
            lag: LoopLag::default(),
        });
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let at = listener.get_ref().local_addr().expect("bound");
        let executor = Rc::new(LocalExecutor::new());
        executor.spawn(listen(front, listener, executor.clone())).detach();
        let caller = TcpStream::connect(at).expect("connected");
        caller.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
        let mut scene = Scene { executor, core: messages, replies: None, caller };
        let hub::Message::Open(_, connection) = scene.hears() else { panic!("a connection opens") };
        scene.replies = Some(connection.replies);
        scene
    }

    /// What the core is told next.
    fn hears(&self) -> hub::Message {
        async_io::block_on(self.executor.run(async { self.core.recv().await.expect("a front") }))
    }

    /// Lets the front do what it can.
    fn settle(&self) {
        async_io::block_on(self.executor.run(async {
            for _ in 0..TURNS {
                future::yield_now().await;
            }
        }));
    }

    fn says(&mut self, message: Message) {
        use std::io::Write as _;
        let bytes = message.encode(16_384).expect("short enough");
        self.caller.write_all(&bytes).expect("sent");
    }

    fn sets_up(&mut self, call: CallId) {
        let setup = Message::new(SETUP, call);
        self.says(
            setup
                .with(CLASS, b"voice")
                .with(NUMBER, b"555")
                .with(FIGURES, b"dest:0")
                .with(DESCRIPTION, b"desc"),
        );
        assert!(matches!(self.hears(), hub::Message::Input(Input::Call(r)) if r.id == call));
    }

    /// The core's answer, put into the connection's queue.
    fn answers(&self, call: CallId, reply: Reply) {
        self.replies.as_ref().expect("open").try_send((call, reply)).expect("room");
    }

    /// Everything that came until the front closed the connection.
    fn read(mut self) -> Vec<u8> {
        self.settle();
        let mut bytes = Vec::new();
        let executor = self.executor.clone();
        let reader = std::thread::spawn(move || {
            self.caller.read_to_end(&mut bytes).expect("it closes, and in order");
            bytes
        });
        async_io::block_on(executor.run(async {
            while !reader.is_finished() {
                async_io::Timer::after(Duration::from_millis(1)).await;
            }
        }));
        reader.join().expect("no panic")
    }
}

fn stands() -> Reply {
    Reply::Stands(b"back"[..].into())
}

fn answer(call: CallId) -> Vec<u8> {
    Message::new(ANSWER, call).with(DESCRIPTION, b"back").encode(16_384).expect("short enough")
}

/// A give-up is read while the answer waits in the connection's queue. Guards a caller against an answer after its
/// give-up, which the program already held; other answers go out, and the core hears that the caller left.
#[test]
fn no_answer_goes_out_after_a_give_up_was_read() {
    let mut scene = Scene::new();
    scene.sets_up(10);
    scene.sets_up(11);
    for call in [10, 11] {
        scene.answers(call, stands());
    }
    scene.says(Message::new(RELEASE, 10).with(CAUSE, &[16]));
    assert!(matches!(scene.hears(), hub::Message::Input(Input::Left(10, _))));
    scene.settle();
    // The connection goes on.
    scene.sets_up(12);
    scene.answers(12, stands());
    scene.replies = None;
    assert_eq!(scene.read(), [answer(11), answer(12)].concat());
}

/// The program ends with an answer in a connection's queue, and in that moment the caller says something more.
/// Guards the answer: the queue leaves before the socket does.
#[test]
fn what_waits_as_the_core_ends_goes_out() {
    let mut scene = Scene::new();
    scene.sets_up(10);
    scene.answers(10, stands());
    scene.replies = None;
    scene.core.close();
    scene.says(Message::new(RELEASE, 99).with(CAUSE, &[16]));
    assert_eq!(scene.read(), answer(10));
}
/// All calls of a server that dies are released towards one caller in one moment: each has room in its queue.
#[test]
fn a_burst_of_releases_has_room() {
    let mut scene = Scene::new();
    let calls = 1..=600;
    for call in calls.clone() {
        scene.answers(call, Reply::Over(41));
    }
    scene.replies = None;
    let release = |call| Message::new(RELEASE, call).with(CAUSE, &[41]).encode(16_384).expect("short enough");
    assert_eq!(scene.read(), calls.flat_map(release).collect::<Vec<_>>());
}
/// An answer waits in the connection's queue as the caller closes it. Guards lines against a call that stands for
/// nobody: the core hears that it was not told, and then that the caller is gone.
#[test]
fn an_answer_that_waits_as_the_caller_closes_is_told_to_nobody() {
    let mut scene = Scene::new();
    scene.sets_up(10);
    scene.answers(10, stands());
    scene.caller.shutdown(Shutdown::Write).expect("open");
    assert!(matches!(scene.hears(), hub::Message::Input(Input::Unheard(10))));
    assert!(matches!(scene.hears(), hub::Message::Input(Input::SourceGone(_))));
    assert_eq!(scene.read(), []);
}

/// A set-up and its give-up are read in one moment, and neither comes to the core. Guards the caller against an answer when it
/// says a second time that it has left (soak, seed 8): nobody would know the call then.
#[test]
fn a_call_given_up_at_once_is_answered_by_nobody_later() {
    let mut scene = Scene::new();
    let setup = Message::new(SETUP, 10)
        .with(CLASS, b"voice")
        .with(NUMBER, b"555")
        .with(FIGURES, b"dest:0")
        .with(DESCRIPTION, b"desc");
    scene.says(setup);
    scene.says(Message::new(RELEASE, 10).with(CAUSE, &[16]));
    scene.settle();
    scene.says(Message::new(RELEASE, 10).with(CAUSE, &[16]));
    scene.settle();
    scene.sets_up(11);
    scene.answers(11, stands());
    scene.replies = None;
    assert_eq!(scene.read(), answer(11));
}

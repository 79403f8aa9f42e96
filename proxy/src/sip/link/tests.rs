use super::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::TcpListener;

type Opened = (Rc<LocalExecutor<'static>>, Async<TcpListener>, Sender<Order>, Receiver<hub::Message>);

/// A link to a server that the test plays, with these orders: what it runs on, the server, and the core's ends.
fn opened(first: impl Iterator<Item = Order>) -> Opened {
    let executor = Rc::new(LocalExecutor::new());
    let limits = Limits::new(256, 64 << 20, 20_000, Duration::from_millis(500), 9_000_000);
    let shared = Shared { gives_wait: true, limits };
    let server = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let at = server.get_ref().local_addr().expect("bound").to_string();
    let (core, told) = async_channel::unbounded();
    let (orders, to_do) = async_channel::unbounded();
    first.for_each(|order| orders.try_send(order).expect("room"));
    Setups { shared: Rc::new(shared), figures: Figures::default(), executor: executor.clone() }
        .open(0, &at, to_do, core);
    (executor, server, orders, told)
}

/// Hundreds of calls are released at a server before it can be reached, and all go out as it is. Guards against
/// calls that stand for nobody: what a connection's queue had no room for was dropped.
#[test]
fn a_burst_of_releases_goes_out_whole() {
    const CALLS: u64 = 1_500;
    let (executor, server, _orders, _told) = opened((0..CALLS).map(|call| Order::Release(call, 16)));
    async_io::block_on(executor.run(async {
        let (mut link, _) = server.accept().await.expect("it connects");
        let (mut came, mut bytes) = (Vec::<u8>::new(), [0; 16_384]);
        while came.windows(4).filter(|w| w == b"BYE ").count() < CALLS as usize {
            let read = within(Duration::from_secs(10), link.read(&mut bytes)).await.expect("in time");
            came.extend(&bytes[..read.expect("open")]);
        }
    }));
}

/// A server releases a call in the moment in which the core has ended. Guards its caller against a release that the
/// server takes for heard: it says it again on its next connection, which is the next process's.
#[test]
fn a_release_that_nobody_passes_on_is_not_heard() {
    let (executor, server, orders, told) = opened(std::iter::empty());
    let bye =
        b"BYE sip:x@net SIP/2.0\r\nCall-ID: 000000000000000a\r\nCSeq: 7 BYE\r\nContent-Length: 0\r\n\r\n";
    let heard = async_io::block_on(executor.run(async {
        let (mut link, _) = server.accept().await.expect("it connects");
        link.write_all(bye).await.expect("sent");
        let over = within(Duration::from_secs(10), told.recv()).await.expect("in time");
        assert!(matches!(over, Ok(hub::Message::Input(Input::Spoke { .. }))), "{over:?}");
        orders.try_send(Order::Heard(10)).expect("room");
        let mut bytes = [0; 256];
        let read = within(Duration::from_secs(10), link.read(&mut bytes)).await.expect("in time");
        assert!(bytes[..read.expect("open")].starts_with(b"SIP/2.0 200"), "with a core it is heard");
        told.close();
        link.write_all(bye).await.expect("sent");
        // The program closes what it has once the link's orders end, and nothing came before that.
        for _ in 0..200 {
            future::yield_now().await;
            Timer::after(Duration::from_micros(100)).await;
        }
        drop(orders);
        let read = within(Duration::from_secs(10), link.read(&mut bytes)).await.expect("in time");
        bytes[..read.unwrap_or(0)].to_vec()
    }));
    assert!(heard.is_empty(), "{}", heard.escape_ascii());
}

/// The core has ended with a release ordered: it goes out all the same.
#[test]
fn a_release_that_was_ordered_goes_out_as_the_core_ends() {
    let (executor, server, orders, told) = opened(std::iter::empty());
    let came = async_io::block_on(executor.run(async {
        let (mut link, _) = server.accept().await.expect("it connects");
        link.write_all(b"NOTIFY sip:peer@net SIP/2.0\r\nX-State: x0:1;x1:2\r\nContent-Length: 0\r\n\r\n")
            .await
            .expect("sent");
        within(Duration::from_secs(10), told.recv()).await.expect("in time").expect("the link lives");
        orders.try_send(Order::Release(10, 16)).expect("room");
        drop(orders);
        drop(told);
        let mut came = Vec::new();
        let all = within(Duration::from_secs(10), link.read_to_end(&mut came)).await;
        all.expect("in time").expect("it closes in order");
        came
    }));
    assert!(came.starts_with(b"BYE "), "{}", came.escape_ascii());
}

/// Guards the memory against messages of servers whose heads are thousands of lines.
#[test]
fn headers_that_nobody_reads_are_not_kept() {
    let free = "a:b\r\n".repeat(3_000);
    let text =
        format!("NOTIFY sip:peer@net SIP/2.0\r\n{free}X-State: x0:3;x1:4\r\nContent-Length: 0\r\n\r\n");
    let (message, _) =
        Decoder { most: 16_384 }.decode(text.as_bytes()).expect("sound").expect("a whole message");
    assert_eq!(message.headers.len(), 2);
    assert_eq!(message.report().and_then(|report| report.lines), Some(4.0));
}

use super::*;
use futures_lite::pin;

/// A slot that is asked for in the moment in which a set-up comes on its connection: the answer is owed there.
#[test]
fn a_connection_on_which_something_is_owed_is_not_left() {
    let limits = Limits::new(256, 64 << 20, 20_000, Duration::from_millis(500), 9_000_000);
    let mut messages = Box::pin(stream::once(Ok(7)).chain(stream::pending()));
    async_io::block_on(async {
        let slot = Rc::new(ConnectionSlot::new());
        make_room([&slot].into_iter(), 1, Duration::ZERO);
        assert!(matches!(slot.next(&mut messages, &limits).await, Next::Message(7)));
        slot.used(true);
        assert!(future::poll_once(slot.next(&mut messages, &limits)).await.is_none());
        slot.used(false);
        make_room([&slot].into_iter(), 1, Duration::ZERO);
        assert!(matches!(slot.next(&mut messages, &limits).await, Next::Leave));
    });
}

/// A connection that is served while its wait as one never served runs, and whose timer fires late: it has the
/// longer time from then on. It was closed 1.5 s after its first call, on a loaded machine.
#[test]
fn a_connection_served_during_its_wait_stays_for_the_longer_time() {
    let mut limits = Limits::new(256, 64 << 20, 20_000, Duration::from_millis(500), 9_000_000);
    limits.first = Duration::from_millis(20);
    limits.idle = Duration::from_secs(3_600);
    let mut messages = Box::pin(stream::pending::<Result<(), WireError>>());
    async_io::block_on(async {
        let slot = ConnectionSlot::new();
        let next = slot.next(&mut messages, &limits);
        pin!(next);
        assert!(future::poll_once(&mut next).await.is_none(), "the shorter wait has begun");
        slot.mark_served();
        slot.used(false);
        std::thread::sleep(2 * limits.first);
        assert!(future::poll_once(&mut next).await.is_none(), "it was served");
    });
}

/// Empty lines without end.
struct Noise;

impl AsyncRead for Noise {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        buffer.fill(b'\n');
        Poll::Ready(Ok(buffer.len()))
    }
}

/// Guards all connections against one whose bytes are no message and keep coming: it never gave its turn up.
#[test]
fn noise_that_keeps_coming_gives_its_turn_up() {
    let lines = messages(Noise, crate::sip::Decoder { most: 16_384 }, 16_384, Duration::from_secs(2));
    pin!(lines);
    let other = async {
        for _ in 0..10 {
            future::yield_now().await;
        }
    };
    let first = async_io::block_on(future::or(async { lines.next().await.is_some() }, async {
        other.await;
        false
    }));
    assert!(!first, "there is no message");
}

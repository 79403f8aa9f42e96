use super::super::{CAUSE, DESCRIPTION, Decoder, RELEASE};
use super::*;
use crate::memory_budget::{MemoryBudget, PoolSizes};
use crate::net::Decode;
use futures_lite::StreamExt;
use std::cell::RefCell;

const MOST: usize = 16_384;
const LIMITS: ReaderLimits = ReaderLimits { message: MOST, rest: Duration::from_secs(2) };

fn memory(bytes: usize) -> Rc<ConnectionMemory> {
    ConnectionMemory::new(Rc::new(RefCell::new(MemoryBudget::new(PoolSizes::for_memory(bytes)))))
}

/// Gives its bytes in pieces of one length.
struct Pieces {
    bytes: Vec<u8>,
    piece: usize,
}

impl AsyncRead for Pieces {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        buffer: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        let n = self.piece.min(buffer.len()).min(self.bytes.len());
        buffer[..n].copy_from_slice(&self.bytes[..n]);
        self.bytes.drain(..n);
        std::task::Poll::Ready(Ok(n))
    }
}

fn read(bytes: Vec<u8>, piece: usize, memory: Rc<ConnectionMemory>) -> Vec<Result<Received, WireError>> {
    let messages = received(Pieces { bytes, piece }, memory, LIMITS, Rc::default());
    async_io::block_on(messages.collect())
}

fn setup(call: u64, description: usize) -> Vec<u8> {
    let message = Message::new(SETUP, call).with(CAUSE, b"1").with(DESCRIPTION, &vec![b'x'; description]);
    message.encode(MOST).expect("short enough")
}

/// Guards the messages against the pieces that they come in.
#[test]
fn messages_are_the_same_in_any_pieces() {
    let release = Message::new(RELEASE, 9).with(CAUSE, &[16]).encode(MOST).expect("short");
    let bytes = [setup(7, 100), release, setup(8, 16_000), setup(9, 0)].concat();
    for piece in [1, 2, 3, 11, 12, 700, 4_096, 100_000] {
        let messages = read(bytes.clone(), piece, memory(64 << 20));
        let read: Vec<_> = messages.into_iter().map(|message| message.expect("sound").message).collect();
        let mut left = &bytes[..];
        for message in &read {
            let whole = Decoder { most: MOST }.decode(left).expect("sound").expect("whole");
            let kept = if message.kind == SETUP { whole.0 } else { Message::new(whole.0.kind, whole.0.call) };
            assert_eq!(*message, kept);
            left = &left[whole.1..];
        }
        assert!(left.is_empty() && read.len() == 4, "in pieces of {piece}");
    }
}

/// Guards the memory against large set-ups beyond its room: they are known by their ids alone, and what follows is read.
#[test]
fn a_set_up_without_room_is_not_kept() {
    let bytes = [setup(1, 16_000), setup(2, 10)].concat();
    let messages: Vec<_> =
        read(bytes, 700, memory(1 << 20)).into_iter().map(|message| message.expect("sound")).collect();
    let [large, small] = &messages[..] else { panic!("{messages:?}") };
    assert_eq!((large.message.call, large.message.kind), (1, SETUP));
    assert!(large.reservation.is_none() && large.message.length() == 11 && large.length > 16_000);
    assert!(small.reservation.is_some() && small.message.call == 2);
}

/// Guards against bytes that are no message, whether they are kept or not.
#[test]
fn spoilt_parameters_end_the_input_in_any_case() {
    for (memory, kind) in [(memory(64 << 20), SETUP), (memory(1 << 20), SETUP), (memory(1 << 20), RELEASE)] {
        let whole = Message::new(kind, 5).with(DESCRIPTION, &[0; 4_000]).encode(MOST).expect("short");
        let mut longer = whole.clone();
        longer[12..14].copy_from_slice(&4_001_u16.to_be_bytes());
        let mut shorter = whole.clone();
        shorter[12..14].copy_from_slice(&3_998_u16.to_be_bytes());
        for piece in [1, 700, 100_000] {
            assert!(read(whole.clone(), piece, memory.clone()).iter().all(Result::is_ok));
            for spoilt in [&longer, &shorter] {
                let messages = read(spoilt.clone(), piece, memory.clone());
                assert!(matches!(messages[..], [Err(WireError::Malformed(_))]), "{messages:?}");
            }
        }
    }
}

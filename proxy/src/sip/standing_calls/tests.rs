use super::*;

/// What is not heard of any call decides. Guards the callers of a few calls on a dead connection against being overlooked
/// beside many that are heard.
#[test]
fn the_oldest_word_of_any_call_counts() {
    let mut standing = StandingCalls::default();
    let words = BTreeMap::from([(1, 100), (2, 500)]);
    let heard_until = |standing: &StandingCalls| standing.heard_until(|id| words.get(&id).copied());
    assert_eq!(heard_until(&standing), None);
    standing.add(8, 2);
    assert_eq!(heard_until(&standing), Some(500));
    standing.add(7, 1);
    assert_eq!(heard_until(&standing), Some(100));
    standing.connection_ended(1, 100);
    standing.add(9, 2);
    assert_eq!(heard_until(&standing), Some(100), "it may end where the server does not know of the close");
    standing.connection_ended(2, 500);
    assert_eq!(heard_until(&standing), Some(100));
    assert!(standing.remove(7) && !standing.remove(7));
    assert_eq!(heard_until(&standing), Some(100), "calls without a connection share the oldest word");
    assert!(standing.remove(8) && standing.remove(9));
    assert_eq!(heard_until(&standing), None);
    standing.adopt(10);
    assert_eq!(heard_until(&standing), Some(0));
}

#[test]
fn a_call_is_counted_once() {
    let mut standing = StandingCalls::default();
    standing.adopt(7);
    standing.adopt(7);
    standing.add(7, 3);
    standing.adopt(7);
    assert_eq!((standing.ids().count(), standing.has_calls(3)), (1, true));
    assert!(standing.remove(7));
    assert!(standing.is_empty() && !standing.has_calls(3));
    assert_eq!(standing.heard_until(|_| None), None);
}

use super::*;

fn release(call: CallId) -> WaitingRelease {
    WaitingRelease { call, cause: 16, server: None }
}

/// Guards a caller against two releases of one call, whichever process says it first.
#[test]
fn a_release_waits_once_and_until_its_caller_is_told() {
    let mut releases = WaitingReleases::new(2);
    for call in [1, 1, 2, 3] {
        releases.keep(release(call));
    }
    assert_eq!(releases.iter().map(|waiting| waiting.call).collect::<Vec<_>>(), [1, 2]);
    assert!(releases.note_told(1) && !releases.note_told(1));
    assert!(releases.is_told(1) && !releases.waits(1) && releases.waits(2));
    releases.note_unheard(1);
    assert!(!releases.is_told(1));
}

/// Guards the memory.
#[test]
fn what_was_told_is_forgotten_in_the_end() {
    let mut releases = WaitingReleases::new(2);
    for call in 0..=TOLD_REMEMBERED as CallId {
        releases.note_told(call);
    }
    assert!(!releases.is_told(0) && releases.is_told(1));
}

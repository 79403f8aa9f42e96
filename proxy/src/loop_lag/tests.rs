use super::*;

/// Guards usual callers: fifty calls a second with their releases, and a burst, are within the share.
#[test]
fn a_usual_caller_is_within_its_share() {
    let begun = Instant::now();
    let mut share = InputShare::new(begun);
    assert!(!share.take(begun, 4, 4 * 200));
    assert!(!share.take(begun + Duration::from_secs(1), 35, 35 * 200));
    for n in 0..500 {
        let now = begun + Duration::from_secs(2) + Duration::from_millis(20) * n;
        assert!(!share.take(now, 2, 400), "at message {n}");
    }
}

/// Guards the loop against a client at full speed, also once it has been quiet for a moment.
#[test]
fn a_flood_is_over_its_share_until_it_has_been_quiet() {
    let begun = Instant::now();
    let mut share = InputShare::new(begun);
    share.take(begun, 10, 64 * 1024);
    assert!(share.take(begun + Duration::from_millis(100), 1, 100));
    assert!(!share.take(begun + Duration::from_millis(600), 1, 100));
}

#[test]
fn a_lag_is_forgotten_in_a_moment_and_its_pause_is_bounded() {
    let lag = LoopLag::default();
    assert_eq!(lag.pause(), Duration::ZERO);
    lag.note(Duration::from_millis(8), Duration::ZERO);
    assert_eq!(lag.pause(), Duration::from_millis(48));
    lag.note(Duration::from_secs(3), Duration::ZERO);
    assert_eq!(lag.pause(), LONGEST_PAUSE);
    for _ in 0..30 {
        lag.note(Duration::ZERO, Duration::ZERO);
    }
    assert_eq!(lag.pause(), Duration::ZERO);
}

/// Guards a loop that has much to do against reading far ahead in each of its rounds.
#[test]
fn a_loop_that_is_always_late_has_not_stood_still() {
    let lag = LoopLag::default();
    assert!(!lag.stood_still());
    lag.note(Duration::from_millis(450), Duration::from_millis(440));
    assert!(!lag.stood_still() && lag.is_late());
    let lag = LoopLag::default();
    lag.note(Duration::from_millis(450), Duration::ZERO);
    assert!(lag.stood_still());
    std::thread::sleep(AFTER_STANDSTILL);
    lag.note(Duration::from_millis(450), Duration::ZERO);
    assert!(!lag.stood_still());
}

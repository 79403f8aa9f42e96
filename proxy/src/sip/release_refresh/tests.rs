use super::*;
use std::time::Duration;

const S: Time = 1_000_000;

fn refresh(connect: Duration) -> (ReleaseRefresh, ReleaseLimits) {
    let limits = ReleaseLimits::for_connect(connect);
    (ReleaseRefresh::new(&limits), limits)
}

/// A call ends just after a connection was taken up, the next one fails, and the one after brings the release: within 8 s.
#[test]
fn two_attempts_fit_into_the_time_of_a_release() {
    for connect in [100, 500, 1_000, 1_500].map(Duration::from_millis) {
        let (mut refresh, limits) = refresh(connect);
        refresh.attempted(100 * S, 1.0);
        refresh.opened(100 * S);
        let due = refresh.due(90 * S);
        refresh.attempted(due, 1.0);
        let again = refresh.due(90 * S);
        let released = again + (limits.refresh_timeout + limits.vacate_timeout).as_micros() as Time;
        assert!(released <= 107_500_000, "{connect:?}: {released}");
        assert!(due >= 101 * S, "{connect:?}: {due}");
    }
}

/// Guards a server that takes no connection up against being asked at short intervals for as long as calls stand.
#[test]
fn attempts_that_fail_become_rare() {
    let (mut refresh, limits) = refresh(Duration::from_millis(500));
    let mut attempts = Vec::new();
    for _ in 0..8 {
        let due = refresh.due(0);
        attempts.push(due);
        refresh.attempted(due, 0.0);
    }
    let waits: Vec<Time> = attempts.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(waits[..4], [750_000, 750_000, 1_500_000, 3_000_000]);
    assert!(waits[4..].iter().all(|wait| *wait == limits.refresh_interval.as_micros() as Time));
}

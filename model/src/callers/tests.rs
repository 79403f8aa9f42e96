use super::*;
use crate::scenario;

fn callers(more: &str) -> Callers {
    let text = format!(
        r#"{{"name":"t","seconds":60,"proxies":{{"count":1}},"servers":[{{"count":2,"rate":30}}],
        "callers":{{"rate":100{more}}}}}"#
    );
    Callers::new(&scenario::read(&text).expect("a good scenario"))
}

fn arrivals(c: &mut Callers, until: Time) -> Vec<Time> {
    let mut at = 0;
    std::iter::from_fn(|| {
        at = c.next(at);
        Some(at)
    })
    .take_while(|at| *at < until)
    .collect()
}

#[test]
fn calls_come_at_their_rate_and_more_of_them_in_a_burst() {
    let mut c = callers(r#","bursts":[{"at_s":10,"for_s":10,"factor":2}]"#);
    let all = arrivals(&mut c, 30_000_000);
    let count = |from, to| all.iter().filter(|t| (from..to).contains(*t)).count() as f64;
    let (before, burst) = (count(0, 10_000_000), count(10_000_000, 20_000_000));
    assert!((850.0..1150.0).contains(&before), "{before}");
    assert!((1800.0..2200.0).contains(&burst), "{burst}");
}

#[test]
fn a_caller_redials_as_often_as_it_may_and_within_its_time() {
    let mut c = callers(r#","heed":1"#);
    let mut one = c.caller(0, 0);
    assert!(c.attempt(&mut one, 0).is_some());
    let wait = c.redial(&mut one, Some(700_000)).expect("a first redial");
    assert!((700_000..760_000).contains(&wait));
    let own = c.redial(&mut one, None).expect("a second redial");
    assert!((540_000..=1_600_000).contains(&own));
    assert_eq!(c.redial(&mut one, None), None);
    assert!(c.attempt(&mut one, 8_950_000).is_none(), "its time is over");
}

#[test]
fn calls_last_as_long_as_the_scenario_says() {
    let mut c = callers(r#","hold_ms":4000,"hang_up":0.25"#);
    let drawn: Vec<(Time, Option<Time>)> = (0..4_000).map(|_| c.length()).collect();
    let mean = drawn.iter().map(|d| d.0 as f64).sum::<f64>() / 4e9;
    assert!((3.7..4.3).contains(&mean), "{mean} s");
    let ended = drawn.iter().filter(|d| d.1.is_some()).count();
    assert!((900..1_100).contains(&ended), "{ended}");
    assert!(drawn.iter().all(|d| d.1.is_none_or(|at| at <= d.0)));
}

#[test]
fn the_same_seed_draws_the_same_callers() {
    let (mut a, mut b) = (callers(""), callers(""));
    assert_eq!(arrivals(&mut a, 5_000_000), arrivals(&mut b, 5_000_000));
    assert_eq!(a.caller(0, 0).number, b.caller(0, 0).number);
}

use super::*;
use crate::scenario;

fn scenario(rate: f64, more: &str) -> Scenario {
    let text = format!(
        r#"{{"name":"t","seconds":60,"sites":["a","b","c","d"],"proxies":{{"count":40}},
        "servers":[{{"count":8,"rate":20}}],"callers":{{"rate":{rate}{more}}}}}"#
    );
    scenario::read(&text).expect("a good scenario")
}

#[test]
fn what_fits_into_the_remaining_servers_is_served_by_their_size() {
    let f = losing(&scenario(100.0, ""), &[0], 6.0);
    assert_eq!((f.capacity, f.remaining), (160.0, 120.0));
    assert!((f.load[0] - 0.625).abs() < 1e-9 && (f.load[1] - 100.0 / 120.0).abs() < 1e-9);
    assert!(f.in_time > 0.99 && f.refused < 0.01, "{f:?}");
    assert_eq!(f.moves.len(), 3);
    assert!(f.moves.iter().all(|(_, more)| (more - 25.0 / 3.0).abs() < 1e-6), "{f:?}");
    assert!((f.cut - 25.0 * 9.0).abs() < 1e-6, "a second's calls of the site, for as long as they last");
}

#[test]
fn what_does_not_fit_is_refused_or_late() {
    let f = losing(&scenario(150.0, ""), &[1], 8.0);
    assert!((f.load[1] - 1.25).abs() < 1e-9);
    // 120 of 150 a second.
    assert!((f.in_time - 0.8).abs() < 0.04, "{f:?}");
    assert!(f.refused > 0.1 && f.late < 0.1, "{f:?}");
    assert!(f.recovered_s.is_some_and(|s| s > 2.0), "it returns cold: {f:?}");
}

#[test]
fn a_channel_beyond_its_share_is_refused_first() {
    let mut s = scenario(140.0, "");
    let channel =
        |name: &str, share, calls| scenario::Channel { name: name.to_owned(), share, calls: Some(calls) };
    s.channels = vec![channel("over", 0.5, 0.7), channel("within", 0.5, 0.3)];
    let f = losing(&s, &[1], 8.0);
    let of = |name: &str| f.refused_of.iter().find(|c| c.0 == name).map_or(0.0, |c| c.1);
    assert!(of("over") > 0.15 && of("within") < 0.02, "{f:?}");
}

#[test]
fn a_returned_site_is_in_full_use_once_it_is_warm() {
    let f = losing(&scenario(100.0, ""), &[0], 6.0);
    assert!(f.full_s > 10.0 && f.full_s <= 15.5, "{f:?}");
}

use super::*;

#[test]
fn a_fleet_uses_nearly_all_and_divides_anew_within_seconds() {
    let f = measure(40, 1);
    assert!(f.in_use > 0.95 && f.fixed < 0.7, "{f:?}");
    assert!(f.most <= 1.0, "{f:?}");
    // A lease and a second for what leavers had; two seconds for newcomers.
    for (percent, gone, back) in &f.anew {
        assert!(gone.is_some_and(|s| s <= 2.1), "{percent}: {f:?}");
        assert!(back.is_some_and(|s| s <= 2.1), "{percent}: {f:?}");
    }
}

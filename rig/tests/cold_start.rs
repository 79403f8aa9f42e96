//! Servers that are replaced while proxies are killed and start again, in the emulator.

use fernspan_model::scenario;
use fernspan_rig::emulate::Emulator;

/// A fleet of which one server of two is replaced, and proxies are killed at a moment.
struct Fleet {
    proxies: u32,
    /// Calls a second that a warm server does.
    rate: u32,
    /// Calls offered over what both servers do.
    load: f64,
    killed: &'static str,
    killed_at_s: f64,
}

impl Fleet {
    /// Plays it; gives its fall-overs and the share of callers that were served in time.
    fn play(&self, seed: u64) -> (u64, f64) {
        let Fleet { proxies, rate, load, killed, killed_at_s } = self;
        let text = format!(
            r#"{{"name": "t", "seconds": 32, "settle_s": 4, "seed": {seed}, "sites": ["a"],
            "proxies": {{"count": {proxies}}}, "servers": [{{"count": 2, "rate": {rate}, "lines": {}}}],
            "callers": {{"rate": {}, "hold_ms": 9000}}, "faults": [
                {{"at_s": 12, "for_s": 9.5, "kind": "replace", "servers": ["s0"]}},
                {{"at_s": {killed_at_s}, "for_s": 1, "kind": "kill", "proxies": ["{killed}"]}}]}}"#,
            rate * 40,
            f64::from(*rate) * 2.0 * load
        );
        let scenario = scenario::read(&text).unwrap_or_else(|e| panic!("{e}"));
        let (world, at, _) = Emulator::new(scenario).unwrap_or_else(|e| panic!("{e}")).run();
        let (record, checker) = world.finish(at);
        assert!(checker.broken().is_empty(), "{:?}", checker.broken());
        (record.falls, record.service(22_000_000, 32_000_000).unwrap_or_default())
    }
}

/// Guards a cold server against proxies that know no usual load and take their rate while a server was missing for it.
#[test]
fn proxies_that_start_anew_do_not_push_a_cold_server_over() {
    let day = |killed_at_s| Fleet { proxies: 10, rate: 40, load: 1.2, killed: "70%", killed_at_s };
    for killed_at_s in [12.3, 15.0, 18.0, 20.5, 22.5, 23.5] {
        for seed in 1..=4 {
            let (falls, _) = day(killed_at_s).play(seed);
            assert_eq!(falls, 0, "killed at {killed_at_s} s, seed {seed}");
        }
    }
}

/// The same where no proxy knows anything, and where the fleet is small.
#[test]
fn fleets_that_start_anew_whole_do_not_push_a_cold_server_over() {
    let whole = Fleet { proxies: 10, rate: 40, load: 1.2, killed: "all", killed_at_s: 21.8 };
    let small = Fleet { proxies: 5, rate: 1, load: 1.1, killed: "70%", killed_at_s: 14.0 };
    for fleet in [whole, small] {
        for seed in 1..=6 {
            assert_eq!(fleet.play(seed).0, 0, "{} proxies, seed {seed}", fleet.proxies);
        }
    }
}

/// Guards a cold server against being spared for longer than it needs: callers are served while it warms up.
#[test]
fn a_cold_server_is_not_left_idle_on_a_calm_day() {
    let calm = Fleet { proxies: 10, rate: 40, load: 0.7, killed: "70%", killed_at_s: 15.0 };
    let service = (1..=4).map(|seed| calm.play(seed).1).sum::<f64>() / 4.0;
    assert!(service > 0.8, "{service}");
}

//! What the loss of a site cost: how much of what the remaining servers could do was served, how soon the load had
//! moved, and how soon the site was in use again once it was back.

use crate::report::{Record, Sample, worth};
use crate::scenario::{Bad, Kind, Scenario, Subject};
use crate::{Time, callers::Fate};
use serde::Serialize;

/// From when after a loss on service is compared with what is left, in microseconds (issue: 2 s).
pub const SETTLED: Time = 2_000_000;
/// Share of what is allowed at which the load counts as moved, and of its earlier part at which a site counts as in
/// use again; ours.
pub const MOSTLY: f64 = 0.9;
/// Length over which both are looked at, in microseconds; ours.
const SPAN: Time = 1_000_000;

/// One loss of one or more whole sites.
#[derive(Clone, Debug, Serialize)]
pub struct Loss {
    /// Names of the sites.
    pub sites: Vec<String>,
    /// When it began and ended, in seconds from the begin.
    pub from_s: f64,
    /// Its end.
    pub until_s: f64,
    /// First tries a second meanwhile, from 2 s after its begin.
    pub offered: f64,
    /// Calls a second that the remaining servers could do then.
    pub remaining: f64,
    /// Share of the callers in that time whose call stood in time and was not cut.
    pub in_time: f64,
    /// The same, with a quarter for those who stood late.
    pub service: f64,
    /// Share of those callers who were refused or failed at the last.
    pub refused: f64,
    /// `in_time` over what the remaining servers allow: 1, or what they can do over what was offered.
    pub kept: f64,
    /// Calls in the 2 s before and after its begin that stood at the site and were cut, as a share of the callers.
    pub cut: f64,
    /// From the begin until the calls of a second stood in time as far as the remaining servers allow, in seconds.
    pub moved_s: Option<f64>,
    /// From the end until the site got its part of the calls again, in seconds. Its part is what it could do then
    /// over what all could, of the set-ups of that second.
    pub used_s: Option<f64>,
    /// From the end until the site had all of its earlier part of the set-ups, in seconds.
    pub full_s: Option<f64>,
    /// Service of the callers in the ten seconds after the end.
    pub after: f64,
}

/// Whether a fault takes a server away for those it is done to.
fn takes_away(kind: Kind) -> bool {
    matches!(kind, Kind::Silent | Kind::Crash | Kind::Deaf | Kind::Drop | Kind::Stall | Kind::Drain)
        || matches!(kind, Kind::ToServer | Kind::ToProxy)
}

struct Span {
    from: Time,
    until: Time,
    servers: Vec<usize>,
}

/// The losses of whole sites in a run of a scenario, in order of time.
///
/// A loss is a fault, or several at the same time, that takes all servers of a site from all proxies.
///
/// # Errors
/// As [`Scenario::plan`].
pub fn losses(scenario: &Scenario, record: &Record) -> Result<Vec<Loss>, Bad> {
    let sites = scenario.server_sites();
    let everyone = scenario.proxies.count as usize;
    let mut spans: Vec<Span> = Vec::new();
    for f in scenario.plan()?.into_iter().filter(|f| takes_away(f.kind)) {
        if f.kind.subject() == Subject::Path && f.proxies.count(everyone) < everyone {
            continue;
        }
        match spans.iter_mut().find(|s| s.from == f.from && s.until == f.until) {
            Some(span) => span.servers.extend(f.servers),
            None => spans.push(Span { from: f.from, until: f.until, servers: f.servers }),
        }
    }
    let mut found = Vec::new();
    for span in spans {
        let whole = |site: &usize| {
            let mut of = sites.iter().enumerate().filter(|(_, s)| *s == site).map(|(i, _)| i).peekable();
            of.peek().is_some() && of.all(|i| span.servers.contains(&i))
        };
        let lost: Vec<usize> = (0..scenario.sites.len()).filter(whole).collect();
        if !lost.is_empty() && lost.len() < scenario.sites.len() {
            let names = lost.iter().map(|s| scenario.sites[*s].clone()).collect();
            found.push(loss(record, &span, names));
        }
    }
    Ok(found)
}

/// Sums over servers in a stretch of time.
fn sum(record: &Record, from: Time, until: Time, of: impl Fn(&Sample) -> f64) -> f64 {
    record.samples.iter().filter(|s| s.at > from && s.at <= until).map(of).sum()
}

fn loss(record: &Record, span: &Span, sites: Vec<String>) -> Loss {
    let lost = |s: &Sample| span.servers.contains(&s.server);
    let kept = |s: &Sample| if lost(s) { 0.0 } else { s.capacity * 0.1 };
    let part = |s: &Sample| if lost(s) { s.capacity * 0.1 } else { 0.0 };
    let setups = |s: &Sample| s.did.setups as f64;
    let own = |s: &Sample| if lost(s) { s.did.setups as f64 } else { 0.0 };
    let people =
        |from: Time, until: Time| record.people.iter().filter(move |p| (from..until).contains(&p.first));
    let share = |from: Time, until: Time, of: &dyn Fn(Fate) -> f64| {
        let count = people(from, until).count().max(1) as f64;
        people(from, until).map(|p| of(p.fate)).sum::<f64>() / count
    };
    let in_time = |f: Fate| f64::from(u8::from(f == Fate::InTime));
    let allows = |from: Time, until: Time| {
        let offered = people(from, until).count().max(1) as f64;
        (sum(record, from, until, kept) / offered).min(1.0)
    };
    let end = record.samples.iter().map(|s| s.at).max().unwrap_or(0);
    let last = record.people.last().map_or(0, |p| p.first);
    let steps = |from: Time, until: Time| (from..until.saturating_sub(SPAN)).step_by(100_000);
    let from = (span.from + SETTLED).min(span.until);
    let length = (span.until - from).max(1) as f64 / 1e6;
    let moved = steps(span.from, span.until)
        .find(|t| share(*t, t + SPAN, &in_time) >= MOSTLY * allows(*t, t + SPAN))
        .map(|t| (t - span.from) as f64 / 1e6);
    let before = span.from.saturating_sub(5_000_000);
    let usual = sum(record, before, span.from, own) / sum(record, before, span.from, setups).max(1.0);
    let after = |good: &dyn Fn(Time) -> bool| {
        steps(span.until, last.min(end)).find(|t| good(*t)).map(|t| (t - span.until) as f64 / 1e6)
    };
    let got = |t: Time| sum(record, t, t + SPAN, own) / sum(record, t, t + SPAN, setups).max(1.0);
    let due = |t: Time| {
        let theirs = sum(record, t, t + SPAN, part);
        theirs / (theirs + sum(record, t, t + SPAN, kept)).max(1e-9)
    };
    let allowed = allows(from, span.until);
    Loss {
        sites,
        from_s: span.from as f64 / 1e6,
        until_s: span.until as f64 / 1e6,
        offered: people(from, span.until).count() as f64 / length,
        remaining: sum(record, from, span.until, kept) / length,
        in_time: share(from, span.until, &in_time),
        service: share(from, span.until, &worth),
        refused: share(from, span.until, &|f| f64::from(u8::from(matches!(f, Fate::Refused | Fate::Failed)))),
        kept: if allowed > 0.0 { share(from, span.until, &in_time) / allowed } else { 1.0 },
        cut: share(span.from.saturating_sub(SETTLED), span.from + SETTLED, &|f| {
            f64::from(u8::from(f == Fate::Cut))
        }),
        moved_s: moved,
        used_s: after(&|t| due(t) > 0.0 && got(t) >= MOSTLY * due(t)),
        full_s: after(&|t| got(t) >= MOSTLY * usual),
        after: share(span.until, span.until + 10_000_000, &worth),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::report::Person;
    use crate::scenario;
    use crate::server::Tally;

    /// Two sites with one server of 10 calls a second each; the second is lost from 10 to 20 s. 15 calls a second
    /// come; of them the first `served` stand in time.
    fn played(served: impl Fn(u64) -> u64, own: impl Fn(u64) -> u64) -> Vec<Loss> {
        let text = r#"{"name":"t","seconds":40,"sites":["a","b"],"proxies":{"count":2},
            "servers":[{"count":2,"rate":10}],"callers":{"rate":15},
            "faults":[{"at_s":10,"for_s":10,"kind":"silent","servers":["@b"]}]}"#;
        let scenario = scenario::read(text).expect("a good scenario");
        let mut record = Record::new(2);
        for second in 0..40_u64 {
            for i in 0..15 {
                let fate = if i < served(second) { Fate::InTime } else { Fate::Refused };
                let first = second * 1_000_000 + i * 60_000;
                record.people.push(Person {
                    first,
                    channel: 0,
                    fate,
                    stood_after: None,
                    tries: 1,
                    second_choice: false,
                    cause: 0,
                });
            }
            for tenth in 0..10_u64 {
                for server in 0..2 {
                    let lost = server == 1 && (10..20).contains(&second);
                    let setups = if tenth > 0 {
                        0
                    } else if server == 1 {
                        own(second)
                    } else {
                        10
                    };
                    record.samples.push(Sample {
                        at: second * 1_000_000 + (tenth + 1) * 100_000,
                        server,
                        site: server,
                        did: Tally { setups, ..Tally::default() },
                        rate: 10.0,
                        capacity: if lost { 0.0 } else { 10.0 },
                        calls: 0,
                        queue: 0,
                        connections: 0,
                        room: true,
                    });
                }
            }
        }
        losses(&scenario, &record).expect("a good plan")
    }

    #[test]
    fn a_loss_is_judged_by_what_the_remaining_servers_allow() {
        // All that the one remaining server can do: 10 of 15, from 13 s on; nothing between.
        let served = |s| match s {
            10..13 => 0,
            13..20 => 10,
            _ => 15,
        };
        let own = |s| if (10..25).contains(&s) { 0 } else { 10 };
        let [loss] = &played(served, own)[..] else { panic!("one loss") };
        assert_eq!(loss.sites, ["b"]);
        assert!((loss.remaining - 10.0).abs() < 0.2 && (loss.offered - 15.0).abs() < 0.2, "{loss:?}");
        // From 12 s to 20 s: seven good seconds of eight.
        assert!((loss.kept - 7.0 / 8.0).abs() < 0.02, "{loss:?}");
        assert!(loss.moved_s.is_some_and(|s| (2.5..3.1).contains(&s)), "{loss:?}");
        assert!(loss.full_s.is_some_and(|s| (4.0..5.1).contains(&s)), "{loss:?}");
        assert!((loss.after - 1.0).abs() < 1e-9, "{loss:?}");
    }

    #[test]
    fn a_site_that_is_never_used_again_has_no_such_time() {
        let [loss] = &played(|_| 15, |s| if s < 10 { 10 } else { 0 })[..] else { panic!("one loss") };
        assert_eq!((loss.used_s, loss.full_s), (None, None));
        assert_eq!(loss.moved_s, Some(0.0));
    }
}

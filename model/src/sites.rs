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
mod tests;

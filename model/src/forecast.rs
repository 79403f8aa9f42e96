//! What losing a site would do, reckoned before the day: where its load would go, what would be refused and how much,
//! and how long the return would take.
//!
//! A fluid reckoning in steps of 20 ms, without chance: calls are an even stream, servers of a site are one, and
//! proxies act as one that knows what all of them know. It takes the form that the emulator and the rig play, so that
//! a forecast can be checked against a run. What it leaves out (chance, unlike first choices, what single proxies do
//! not know) makes a run worse than its forecast, where servers are close to full by some points in 100.

use crate::scenario::{Scenario, secs};
use serde::Serialize;
use std::collections::VecDeque;

/// Length of a step, in seconds.
const STEP: f64 = 0.02;
/// How long proxies take to notice that a site is silent, in seconds: as seen in the emulator with six servers a site
/// that speak once a second (1.2 to 1.6 s).
pub const NOTICED: f64 = 1.4;
/// What a cold server is sent, over what it can do then, as the emulator showed: proxies send what they usually sent
/// times the share that it is sure to be able to do, and starts that are not used at once lapse.
const COLD_PART: f64 = 0.65;
/// What is used of servers that are full, over what they can do: the occupancy that the decision module wants
/// (`MAX_OCCUP`), and what the emulator showed with three to six sites at 1.1 to 1.35 times what remains (0.94 to 1.02).
/// With two sites it showed 0.68 to 0.91: there a forecast is too good.
pub const USABLE: f64 = 0.95;
/// How long a call waits at a proxy before it counts as one that finds no room, as a part of the goal. Little: a wait
/// of all adds no room, as what waits is served in place of what comes.
const HELD: f64 = 0.1;
/// Proxies look at a lost server this often, in seconds, on average.
const LOOKED: f64 = 0.5;

/// What the loss of one site would do.
#[derive(Clone, Debug, Serialize)]
pub struct Forecast {
    /// The sites that are lost.
    pub sites: Vec<String>,
    /// Calls a second, without redials.
    pub offered: f64,
    /// Calls a second that all servers can do, and that the remaining ones can.
    pub capacity: f64,
    /// The remaining ones'.
    pub remaining: f64,
    /// Load of the remaining servers before and during the loss: calls over what they can do.
    pub load: [f64; 2],
    /// Where the lost sites' calls go: each remaining site and its calls a second more.
    pub moves: Vec<(String, f64)>,
    /// Calls standing at the lost sites when they are lost; they are cut.
    pub cut: f64,
    /// Calls that are under way to them, or sent there before that is noticed.
    pub called_off: f64,
    /// From 2 s after the loss until its end: share of callers who stand in time, who stand late, and who are refused.
    pub in_time: f64,
    /// Late ones.
    pub late: f64,
    /// Refused ones.
    pub refused: f64,
    /// Of the refused, by channel: its share of the callers that are refused. Traffic beyond a channel's share goes
    /// first.
    pub refused_of: Vec<(String, f64)>,
    /// Service of the ten seconds after the return: in time, and a quarter of those late.
    pub after: f64,
    /// From the return until all is in time again, in seconds; none within a minute.
    pub recovered_s: Option<f64>,
    /// From the return until the site takes its earlier part of the calls again, in seconds.
    pub full_s: f64,
    /// Proxies' connects to the lost sites a second, while they are lost.
    pub connects: f64,
}

/// Callers that came at the same time.
#[derive(Clone, Copy)]
struct Batch {
    /// When they came first.
    first: f64,
    /// How many.
    n: f64,
    /// Redials left.
    left: u32,
}

/// One second's callers.
#[derive(Clone, Copy, Default)]
struct Fates {
    all: f64,
    in_time: f64,
    late: f64,
}

/// Reckons the loss of some sites for a time, in seconds.
pub fn losing(scenario: &Scenario, lost: &[usize], length: f64) -> Forecast {
    let sites = scenario.server_sites();
    let rates: Vec<f64> = scenario.server_groups().iter().map(|g| g.rate).collect();
    let rate_of =
        |site: usize| sites.iter().zip(&rates).filter(|(s, _)| **s == site).map(|(_, r)| r).sum::<f64>();
    let capacity: f64 = rates.iter().sum();
    let gone: f64 = lost.iter().map(|s| rate_of(*s)).sum();
    let remaining = capacity - gone;
    let offered = scenario.callers.rate;
    // Servers are used in proportion to what they can do.
    let part = gone / capacity.max(1e-9);
    let usual = offered.min(capacity) * part;
    let (moved, load) =
        (offered.min(remaining) - (offered.min(capacity) - usual), offered / remaining.max(1e-9));
    let others: Vec<usize> =
        (0..scenario.sites.len()).filter(|s| !lost.contains(s) && rate_of(*s) > 0.0).collect();
    let moves = others
        .iter()
        .map(|s| (scenario.sites[*s].clone(), moved.max(0.0) * rate_of(*s) / remaining.max(1e-9)))
        .collect();
    let played = play(scenario, offered, gone, capacity, length);
    let span = |from: f64, until: f64| {
        let (a, b) = ((from / STEP) as usize, (until / STEP) as usize);
        let mut sum = Fates::default();
        for f in &played[a.min(played.len())..b.min(played.len())] {
            sum.all += f.all;
            sum.in_time += f.in_time;
            sum.late += f.late;
        }
        sum
    };
    let during = span(START + 2.0_f64.min(length / 2.0), START + length);
    let all = during.all.max(1e-9);
    let refused = (1.0 - (during.in_time + during.late) / all).max(0.0);
    let back = span(START + length, START + length + 10.0);
    let seconds = (0..AFTER as usize).find(|s| {
        let at = START + length + *s as f64;
        let f = span(at, at + 2.0);
        f.in_time >= 0.99 * f.all
    });
    let hold = scenario.callers.hold_ms / 1e3;
    let servers = sites.iter().filter(|s| lost.contains(s)).count() as f64;
    Forecast {
        sites: lost.iter().map(|s| scenario.sites[*s].clone()).collect(),
        offered,
        capacity,
        remaining,
        load: [offered / capacity.max(1e-9), load],
        moves,
        cut: usual * hold,
        called_off: usual * NOTICED,
        in_time: during.in_time / all,
        late: during.late / all,
        refused,
        refused_of: by_channel(scenario, refused),
        after: (back.in_time + 0.25 * back.late) / back.all.max(1e-9),
        recovered_s: seconds.map(|s| s as f64),
        full_s: full(scenario),
        // One look in 2.5 s, of which half a second is the time that a connect is waited for.
        connects: f64::from(scenario.proxies.count) * servers / 2.5,
    }
}

/// Time before the loss, and after the return, that is reckoned, in seconds.
const START: f64 = 5.0;
const AFTER: f64 = 60.0;

/// When a returned site can do what it was sent before, in seconds from its return: what it is sent grows with its
/// warmth.
fn full(scenario: &Scenario) -> f64 {
    let rules = &scenario.rules;
    // Nine tenths of its earlier part is reached when it is as warm as that.
    let warm = (0.9 / COLD_PART).min(1.0);
    let part = ((warm - rules.start_capacity) / (1.0 - rules.start_capacity).max(1e-9)).clamp(0.0, 1.0);
    LOOKED + part * rules.warm_ms / 1e3
}

/// What becomes of the callers of each step.
fn play(scenario: &Scenario, offered: f64, gone: f64, capacity: f64, length: f64) -> Vec<Fates> {
    let c = &scenario.callers;
    let rules = &scenario.rules;
    let goal = c.goal_ms / 1e3;
    let steps = ((START + length + AFTER) / STEP) as usize;
    let mut fates = vec![Fates::default(); steps];
    let mut held: VecDeque<Batch> = VecDeque::new();
    // Late calls that dial again, by when they do.
    let mut redials: Vec<Vec<Batch>> = vec![Vec::new(); steps + 1];
    // Calls under way to the lost site come back once it is noticed, and their release wait is over.
    let release = rules.release_wait_ms / 1e3;
    let part = gone / capacity.max(1e-9);
    let away = (c.redial_ms[0] + c.redial_ms[1]) / 2e3;
    let mut limit = 0.0;
    for i in 0..steps {
        let now = i as f64 * STEP;
        let lost = (START..START + length).contains(&now);
        let warmth = match now - START - length - LOOKED {
            t if t < 0.0 => 0.0,
            t => {
                let share =
                    rules.start_capacity + (1.0 - rules.start_capacity) * (t * 1e3 / rules.warm_ms).min(1.0);
                if share >= 1.0 { 1.0 } else { share * COLD_PART }
            }
        };
        let back = match lost {
            true => 0.0,
            false if now < START => 1.0,
            false => warmth,
        };
        // Within a tenth of a second what is not used lapses.
        let room = ((capacity - gone) + gone * back) * USABLE;
        limit = (limit + room * STEP).min(room * 0.1);
        fates[i].all = offered * STEP;
        let mut fresh = offered * STEP;
        if (START..START + NOTICED).contains(&now) {
            // Those of the lost site are sent there, and come back later.
            let theirs = fresh * part;
            fresh -= theirs;
            let at = ((START + NOTICED + release) / STEP) as usize;
            if let Some(then) = redials.get_mut(at) {
                then.push(Batch { first: now, n: theirs, left: c.redials + 1 });
            }
        }
        held.push_back(Batch { first: now, n: fresh, left: c.redials });
        // Fresh calls first, in the order of their coming; what has waited too long is refused and dials again.
        let mut late = std::mem::take(&mut redials[i]);
        held.extend(late.iter().filter(|b| now < b.first + HELD * goal).copied());
        late.retain(|b| now >= b.first + HELD * goal);
        while let Some(batch) = held.front_mut() {
            if now > batch.first + HELD * goal {
                late.extend(held.pop_front());
                continue;
            }
            let take = batch.n.min(limit);
            limit -= take;
            batch.n -= take;
            fates[(batch.first / STEP) as usize].in_time += take;
            if batch.n > 1e-12 {
                break;
            }
            held.pop_front();
        }
        for mut batch in late {
            // Late calls take what is left.
            let take = if held.is_empty() { batch.n.min(limit) } else { 0.0 };
            limit -= take;
            batch.n -= take;
            fates[(batch.first / STEP) as usize].late += take;
            let again = now + away;
            if batch.n > 1e-12 && batch.left > 0 && again < batch.first + c.limit_ms / 1e3 {
                batch.left -= 1;
                if let Some(then) = redials.get_mut((again / STEP) as usize) {
                    then.push(batch);
                }
            }
        }
    }
    fates
}

/// What is refused of each channel, as a share of its callers: first what is beyond its share, then of all alike.
fn by_channel(scenario: &Scenario, refused: f64) -> Vec<(String, f64)> {
    let calls = |c: &crate::scenario::Channel| c.calls.unwrap_or(c.share);
    let all: f64 = scenario.channels.iter().map(calls).sum::<f64>().max(1e-9);
    let shares: f64 = scenario.channels.iter().map(|c| c.share).sum::<f64>().max(1e-9);
    let beyond = |c: &crate::scenario::Channel| (calls(c) / all - c.share / shares).max(0.0);
    let sum: f64 = scenario.channels.iter().map(beyond).sum();
    let first = refused.min(sum);
    let rest = (refused - first) / (1.0 - sum).max(1e-9);
    scenario
        .channels
        .iter()
        .map(|c| {
            let own = calls(c) / all;
            let over = if sum > 0.0 { beyond(c) * first / sum } else { 0.0 };
            (c.name.clone(), ((over + (own - beyond(c)) * rest) / own.max(1e-9)).min(1.0))
        })
        .collect()
}

/// The loss of each site that has servers, and of the largest two together where there are more than two.
pub fn each(scenario: &Scenario, length: f64) -> Vec<Forecast> {
    let sites = scenario.server_sites();
    let groups = scenario.server_groups();
    let rate = |site: usize| {
        sites.iter().zip(&groups).filter(|(s, _)| **s == site).map(|(_, g)| g.rate).sum::<f64>()
    };
    let mut with: Vec<usize> = (0..scenario.sites.len()).filter(|s| rate(*s) > 0.0).collect();
    let mut all: Vec<Forecast> = with.iter().map(|s| losing(scenario, &[*s], length)).collect();
    with.sort_by(|a, b| rate(*b).total_cmp(&rate(*a)));
    if with.len() > 2 {
        all.push(losing(scenario, &with[..2], length));
    }
    all
}

/// How long losses last in a scenario that has one, in seconds.
pub fn length(scenario: &Scenario) -> Option<f64> {
    let first = scenario.plan().ok()?.into_iter().find(|f| f.until > f.from && !f.servers.is_empty())?;
    Some((first.until - first.from) as f64 / secs(1.0) as f64)
}

#[cfg(test)]
mod tests;

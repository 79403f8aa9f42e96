//! What a run has shown: a record of every caller and of every server over time, and figures of them.

use crate::Time;
use crate::callers::{FATES, Fate};
use crate::server::Tally;
use serde::Serialize;
use std::collections::BTreeMap;

/// How one caller fared.
#[derive(Clone, Debug, PartialEq)]
pub struct Person {
    /// When it dialled first, from the begin.
    pub first: Time,
    /// Its channel.
    pub channel: usize,
    /// How it fared at the last.
    pub fate: Fate,
    /// When its call stood, from its first try.
    pub stood_after: Option<Time>,
    /// Tries it made.
    pub tries: u32,
    /// Whether its call stood at another place than its first choice.
    pub second_choice: bool,
    /// Cause of the last release that ended it, or 0.
    pub cause: u8,
}

/// One server over one tenth of a second.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The end of that time, from the begin.
    pub at: Time,
    /// The server's place.
    pub server: usize,
    /// Its site.
    pub site: usize,
    /// What it did in that time.
    pub did: Tally,
    /// Calls a second that it can do when it is warm and well.
    pub rate: f64,
    /// Calls a second that it could do then.
    pub capacity: f64,
    /// Calls that stand there or are being set up.
    pub calls: u32,
    /// Set-ups waiting, as it last reported.
    pub queue: u32,
    /// Connections open there.
    pub connections: u32,
    /// Whether it could have taken a call at once.
    pub room: bool,
}

/// Everything that a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Servers' places.
    pub places: usize,
    /// Every caller, in order of first tries.
    pub people: Vec<Person>,
    /// Every server, every tenth of a second.
    pub samples: Vec<Sample>,
    /// Proxies in service, every tenth of a second.
    pub serving: Vec<u32>,
    /// Attempts that proxies made.
    pub attempts: u64,
    /// Attempts that servers refused.
    pub server_refusals: u64,
    /// Final answers that were no.
    pub refusals: u64,
    /// Connections that proxies opened at servers.
    pub connections: u64,
    /// Of them, those that were closed without a word.
    pub connections_refused: u64,
    /// Servers that fell over.
    pub falls: u64,
}

/// Figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Callers.
    pub callers: u64,
    /// Share of them by fate.
    pub fates: BTreeMap<&'static str, f64>,
    /// Service: share in time, and a quarter of the share that was late (BRIEF, 'What matters most').
    pub service: f64,
    /// Service of the worst ten seconds.
    pub worst_10_s: f64,
    /// Service by channel, in the order of the scenario.
    pub channels: Vec<f64>,
    /// Time from first try until the call stood, in milliseconds: median, 90, 99 in 100.
    pub stood_ms: [f64; 3],
    /// Share of the calls that stood at another place than the first choice.
    pub second_choice: f64,
    /// Attempts a caller.
    pub attempts: f64,
    /// Share of the processors' work that was for nothing.
    pub wasted: f64,
    /// Connections opened at servers, by proxy and server.
    pub connections: f64,
    /// Servers that fell over.
    pub falls: u64,
    /// Load of the servers.
    pub load: Load,
}

/// How evenly the servers were loaded. Load is set-ups over what the server could do then.
#[derive(Clone, Debug, Serialize)]
pub struct Load {
    /// Mean load of each server over the run.
    pub by_server: Vec<f64>,
    /// Highest over mean of that, over servers that ran throughout.
    pub spread: f64,
    /// Highest load of any server in a window of 0.1 s, 1 s and 10 s.
    pub highest: [f64; 3],
    /// Index of dispersion of arrivals at a server in windows of 1 s: variance over mean, where 1 is chance;
    /// the mean over servers.
    pub dispersion: f64,
    /// Longest time in which a server that had room and is due 5 set-ups a second or more got none while callers
    /// were refused or late, in seconds.
    pub idle_s: f64,
}

/// Value of a fate, as a part of the full worth.
pub fn worth(fate: Fate) -> f64 {
    match fate {
        Fate::InTime => 1.0,
        Fate::Late => 0.25,
        _ => 0.0,
    }
}

impl Record {
    /// An empty one.
    pub fn new(places: usize) -> Self {
        Record { places, ..Record::default() }
    }

    /// Service of callers whose first try lies between two times; `None` without any.
    pub fn service(&self, from: Time, until: Time) -> Option<f64> {
        let (mut sum, mut count) = (0.0, 0);
        for p in self.people.iter().filter(|p| (from..until).contains(&p.first)) {
            sum += worth(p.fate);
            count += 1;
        }
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Count of each fate by seconds of the first try.
    pub fn by_second(&self) -> Vec<[u32; FATES.len()]> {
        let mut seconds: Vec<[u32; FATES.len()]> = Vec::new();
        for p in &self.people {
            let second = (p.first / 1_000_000) as usize;
            if seconds.len() <= second {
                seconds.resize(second + 1, [0; FATES.len()]);
            }
            let fate = FATES.iter().position(|f| *f == p.fate).unwrap_or(0);
            seconds[second][fate] += 1;
        }
        seconds
    }

    /// The figures.
    pub fn figures(&self, proxies: usize, channels: usize) -> Figures {
        let all = self.people.len().max(1) as f64;
        let share = |f: &dyn Fn(&Person) -> bool| self.people.iter().filter(|p| f(p)).count() as f64 / all;
        let last = self.people.last().map_or(0, |p| p.first);
        let windows = (0..=last.saturating_sub(10_000_000) / 1_000_000).map(|s| s * 1_000_000);
        let worst = windows.filter_map(|w| self.service(w, w + 10_000_000)).fold(1.0, f64::min);
        let by_channel = (0..channels).map(|c| {
            let of: Vec<f64> = self.people.iter().filter(|p| p.channel == c).map(|p| worth(p.fate)).collect();
            of.iter().sum::<f64>() / of.len().max(1) as f64
        });
        let mut stood: Vec<Time> = self.people.iter().filter_map(|p| p.stood_after).collect();
        stood.sort_unstable();
        let at = |part: f64| {
            let n = ((stood.len() as f64 * part) as usize).min(stood.len().saturating_sub(1));
            stood.get(n).map_or(0.0, |us| *us as f64 / 1e3)
        };
        let work: f64 = self.samples.iter().map(|s| s.did.work).sum();
        let wasted: f64 = self.samples.iter().map(|s| s.did.wasted).sum();
        let second = self.people.iter().filter(|p| p.second_choice).count() as f64;
        Figures {
            callers: self.people.len() as u64,
            fates: FATES.iter().map(|f| (f.name(), share(&|p| p.fate == *f))).collect(),
            service: self.people.iter().map(|p| worth(p.fate)).sum::<f64>() / all,
            worst_10_s: worst,
            channels: by_channel.collect(),
            stood_ms: [at(0.5), at(0.9), at(0.99)],
            second_choice: second / stood.len().max(1) as f64,
            attempts: self.attempts as f64 / all,
            wasted: if work > 0.0 { wasted / work } else { 0.0 },
            connections: self.connections as f64 / (proxies * self.places).max(1) as f64,
            falls: self.falls,
            load: self.load(),
        }
    }

    fn load(&self) -> Load {
        let mut by_server: Vec<Vec<&Sample>> = vec![Vec::new(); self.places];
        for sample in &self.samples {
            by_server[sample.server].push(sample);
        }
        let over = |samples: &[&Sample]| {
            let capacity: f64 = samples.iter().map(|s| s.capacity * 0.1).sum();
            let setups: u64 = samples.iter().map(|s| s.did.setups).sum();
            if capacity > 0.0 { setups as f64 / capacity } else { 0.0 }
        };
        let highest = |window: usize| {
            let whole = |c: &&[&Sample]| c.iter().all(|s| s.capacity > 0.0);
            let of = by_server.iter().flat_map(|s| s.chunks_exact(window)).filter(whole).map(over);
            of.fold(0.0, f64::max)
        };
        let mean: Vec<f64> = by_server.iter().map(|s| over(s)).collect();
        let whole: Vec<f64> = by_server
            .iter()
            .zip(&mean)
            .filter(|(s, _)| s.iter().all(|x| x.capacity > 0.0))
            .map(|(_, m)| *m)
            .collect();
        let average = whole.iter().sum::<f64>() / whole.len().max(1) as f64;
        let top = whole.iter().copied().fold(0.0, f64::max);
        let dispersions: Vec<f64> = by_server
            .iter()
            .filter_map(|s| {
                let counts: Vec<f64> =
                    s.chunks_exact(10).map(|c| c.iter().map(|x| x.did.setups as f64).sum()).collect();
                let mean = counts.iter().sum::<f64>() / counts.len().max(1) as f64;
                let variance =
                    counts.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / counts.len().max(1) as f64;
                (mean > 0.0).then(|| variance / mean)
            })
            .collect();
        Load {
            spread: if average > 0.0 { top / average } else { 0.0 },
            by_server: mean,
            highest: [highest(1), highest(10), highest(100)],
            dispersion: dispersions.iter().sum::<f64>() / dispersions.len().max(1) as f64,
            idle_s: self.idle(&by_server),
        }
    }

    fn idle(&self, by_server: &[Vec<&Sample>]) -> f64 {
        let seconds = self.by_second();
        let short =
            |at: Time| seconds.get((at / 1_000_000) as usize).is_some_and(|s| s[1..].iter().sum::<u32>() > 0);
        let rates: f64 = by_server.iter().filter_map(|s| s.first()).map(|s| s.rate).sum();
        let setups: u64 = self.samples.iter().map(|s| s.did.setups).sum();
        let length = by_server.iter().map(|s| s.len()).max().unwrap_or(0) as f64 * 0.1;
        let due = |s: &[&Sample]| {
            let rate = s.first().map_or(0.0, |s| s.rate);
            rate / rates.max(1e-9) * setups as f64 / length.max(0.1)
        };
        let longest = |s: &Vec<&Sample>| {
            let (mut run, mut most) = (0_u32, 0_u32);
            for sample in s {
                run = if sample.room && sample.did.setups == 0 && short(sample.at) { run + 1 } else { 0 };
                most = most.max(run);
            }
            f64::from(most) * 0.1
        };
        by_server.iter().filter(|s| due(s) >= 5.0).map(longest).fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests;

//! What one node believes of each site: whether it speaks, is lost, or returns.
//!
//! A site's servers fail together when its power, its uplink or the path to it does. One node sends each of them
//! a call every few seconds at most, so that one by one it would find out late, and lose a call at each. Together
//! they say something many times a second: a short silence of all of them is telling.
//!
//! Sans I/O and without a clock, like the [`Controller`](crate::Controller) that owns it: events and turns go in
//! with the time, changes come out. It picks no server; it says which ones are out of reach, whose calls are to be
//! called off, which links are to connect seldom, and how a site comes back.
//!
//! | what is seen | what it is taken for |
//! | --- | --- |
//! | one server silent | that server: left to the decision module's own rule |
//! | all of a site silent, others speak | the site, or the path to it: it is lost for this node |
//! | all sites silent | this node is cut off: nothing changes |
//! | a site slow, but speaking | slow: its windows deal with it |
//! | a lost server speaks on a connection it had | it never went: warm |
//! | a lost server speaks on a new connection only | it may have started anew: cold |
//! | lost again soon after its return | it flaps: it has to speak for longer each time before calls go there |

use crate::interface::{CallId, Entry, Event, ListKind, Outcome, ServerId, Settings, State, Time};
use std::collections::BTreeMap;

/// Doubt from which a site is lost (ours). A server adds as many times [`PER_GAP`] as it is late in gaps, so that six
/// servers that speak once a second are lost within a second or so, and two within three.
pub const LOST: f64 = 6.0;
/// Doubt for each gap that a server is late (ours).
pub const PER_GAP: f64 = 4.0;
/// Doubt that set-ups without an answer add for one server at most (ours): it may be slow.
pub const PER_CALLS: f64 = 1.5;
/// Age of a set-up at which that is all added, over the server's usual delay (ours).
pub const DELAYS: f64 = 6.0;
/// Least delay that is reckoned with, us (ours): a path across the country and back.
pub const DELAY_LEAST: Time = 50_000;
/// A server is late from its mean gap and so many mean deviations on, and by no less than a quarter of the gap; the
/// reckoning of TCP's retransmission timer.
pub const DEVIATIONS: f64 = 2.0;
/// Servers of a site that have to be late together (ours): one alone is no common cause.
pub const COMMON: usize = 2;
/// Part of a site's silence in which others have to have spoken (ours): else this node may be the one that hears
/// nothing.
pub const SPOKEN: f64 = 0.5;
/// Silence of all servers from which on this node may be the one that is cut off, over the mean time between any two
/// words (ours), and at least, us (ours).
pub const ALONE: f64 = 6.0;
/// The least.
pub const ALONE_LEAST: Time = 300_000;
/// Mean time between a server's words before it is known, us (ours): states are told about every second.
pub const GAP_FIRST: Time = 1_500_000;
/// Bounds of that mean, us (ours).
pub const GAP: (Time, Time) = (500_000, 10_000_000);
/// Words that come within this time count as one, us (ours): an answer and a state often come together, and say no
/// more than one of them.
pub const TOGETHER: Time = 100_000;
/// Weight of the newest figure in a mean, ratio (ours).
pub const SMOOTH: f64 = 0.2;
/// A server that was silent for longer than this many gaps while its neighbours spoke is silent by itself (ours).
pub const OWN: f64 = 6.0;
/// A site lost again within this time after it came back flaps, us (ours).
pub const FLAPS: Time = 30_000_000;
/// How long a site that flaps has to speak before calls go there, us; doubled each time (ours).
pub const TRUST: Time = 500_000;
/// The longest of these times, us (ours).
pub const TRUST_MOST: Time = 8_000_000;
/// A server that was silent for longer may have started anew, us (ours): a mere pause is shorter.
pub const COLD_AFTER: Time = 3_000_000;
/// Part of the lines that were in use before it was lost from which on a server is taken not to have started anew
/// (ours): calls last for some ten seconds, so a third is left after as much.
pub const KEPT: f64 = 0.25;
/// Lines in use from which on their number tells something (ours): below, it is chance.
pub const TELLING: f64 = 8.0;
/// The same beside the others' share of lines in use, for a node that has just started (ours): what a cold server takes
/// in two seconds. Servers that have run for long differ by more than that of one server over time.
pub const NEW: f64 = 0.1;
/// Servers that have to have told their lines for one to be compared with them (ours).
pub const COMPARED: usize = 3;
/// A turn that comes later than this is the node's own stall, us (ours): what it did not hear meanwhile says nothing.
pub const STALL: Time = 100_000;

/// Part of the stated fall multiple that may be used while a server is cold, ratio: burst and error of the usual.
pub const FALL_MARGIN: f64 = 0.5;

/// The share of its capacity that a server is sure to have this long after its start.
pub fn warmth(settings: &Settings, age: Time) -> f64 {
    let start = settings.start_capacity;
    (start + (1.0 - start) * age as f64 / settings.cold.max(1) as f64).min(1.0)
}

/// What a server may be sent this long after its start, over its capacity: what it is sure to be able to do, and with a
/// wide margin less than would push it over.
pub fn cold_part(settings: &Settings, age: Time) -> f64 {
    warmth(settings, age) * (settings.fall_multiple * FALL_MARGIN).min(1.0)
}

/// Weight of the newest report in the mean occupancy of all servers, ratio (ours): some twenty seconds of a small node.
pub const REPORTED: f64 = 0.04;
/// Occupancy below which it says nothing of how much more a server could take, ratio (ours).
pub const LEAST_OCCUPANCY: f64 = 0.1;
/// What a node with one call a period may be allowed more, ratio (ours, from the square-root law of random arrivals).
pub const SPARE: f64 = 0.35;

/// What the servers that remain have room for, over the usual.
///
/// A lost site's load comes to the others at once. Where they have no room for it, each call would wait for longer than
/// its goal, and none would stand in time; so windows are held to the room that there was.
#[derive(Debug)]
pub struct Room {
    /// Mean occupancy that servers reported of late, and how many reports there were.
    occupancy: f64,
    reports: f64,
    /// Starts in an open window, over the usual: ordinarily, and now at most.
    open: f64,
    most: f64,
    wanted: f64,
}

impl Room {
    /// With what open windows have, over the usual, and the occupancy that is wanted.
    pub fn new(open: f64, wanted: f64) -> Self {
        Room { occupancy: 0.0, reports: 0.0, open, most: open, wanted }
    }

    /// A server reported its occupancy.
    pub fn report(&mut self, occupancy: f64) {
        self.reports += 1.0;
        self.occupancy += REPORTED.max(1.0 / self.reports) * (occupancy.min(1.0) - self.occupancy);
    }

    /// The mean occupancy of late.
    pub fn occupancy(&self) -> f64 {
        self.occupancy
    }

    /// Starts in an open window at most, over the usual.
    pub fn most(&self) -> f64 {
        self.most
    }

    /// A site is lost: this node usually starts so many calls a period at all servers, and at those that are left.
    /// Says whether its load is more than they have room for; they are held to that from now on.
    ///
    /// A node's calls come at random, so that of a strict limit it uses less than all: of one call a period about three
    /// quarters, of ten some nine tenths. What all nodes send together is even, and is what counts; each is allowed as
    /// much more as it will not use.
    pub fn lose(&mut self, all: f64, left: f64) -> bool {
        let spare = 1.0 + SPARE / left.max(1.0).sqrt();
        let room = self.wanted / self.occupancy.max(LEAST_OCCUPANCY) * spare;
        let short = all > room * left;
        if short {
            self.most = self.most.min(room);
        }
        short
    }

    /// No site is missing any more, and none is cold.
    pub fn restore(&mut self) {
        self.most = self.open;
    }
}

/// What has changed, for the decision module to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Out of reach, with its whole site: calls out there are called off, and no ordinary ones go there.
    Lost(ServerId),
    /// It speaks again. Where it may have started anew, it is met as a cold one.
    Back {
        /// The server.
        server: ServerId,
        /// Whether it may have started anew.
        cold: bool,
    },
    /// Its site speaks again, though it has not yet: worth a look now.
    Look(ServerId),
    /// It has started anew, as its lines in use show, though nobody has said so.
    Cold(ServerId),
}

impl Change {
    /// Whether a server is out of reach now.
    pub fn lost(self) -> bool {
        matches!(self, Change::Lost(_))
    }

    /// Whether a server may have started anew.
    pub fn cold(self) -> bool {
        matches!(self, Change::Back { cold: true, .. } | Change::Cold(_))
    }

    /// The server that it is about.
    pub fn server(self) -> ServerId {
        match self {
            Change::Lost(server)
            | Change::Back { server, .. }
            | Change::Look(server)
            | Change::Cold(server) => server,
        }
    }
}

/// A word of a server.
#[derive(Clone, Copy)]
enum Word {
    /// Its state, with the lines in use.
    State(Option<f64>),
    /// On a connection that it had spoken on before it fell silent: it is the same process.
    Same,
    /// Any other.
    Any,
}

/// What is known of one server.
#[derive(Debug)]
struct Server {
    zone: u32,
    ready: bool,
    /// Its latest word; none before its first.
    word: Option<Time>,
    /// Mean time between its words, and the mean deviation from it, us.
    gap: f64,
    deviation: f64,
    /// Usual time until it answers a set-up, us.
    delay: f64,
    /// Lost with its site, and has not come back.
    lost: bool,
    /// Lines in use as it last said, and all that it has.
    busy: f64,
    lines: f64,
    /// Speaks on a new connection, and has not told its state there.
    fresh: bool,
    /// Has not been compared with the others since this node knows it.
    new: bool,
    /// Speaks again since, and whether it may have started anew.
    spoke: Option<(Time, bool)>,
    /// Its last word before it was lost.
    silent_from: Time,
    /// Set-ups that it has not answered, and when they went out.
    out: BTreeMap<CallId, Time>,
}

impl Server {
    /// A word after a gap, us.
    fn learn(&mut self, gap: Time) {
        if gap >= TOGETHER {
            let gap = gap.clamp(GAP.0, GAP.1) as f64;
            self.deviation += SMOOTH * ((gap - self.gap).abs() - self.deviation);
            self.gap += SMOOTH * (gap - self.gap);
        }
    }

    /// From which silence on it is late, us.
    fn late_from(&self) -> f64 {
        self.gap + (DEVIATIONS * self.deviation).max(self.gap / 4.0)
    }

    /// Doubt after a silence, us: since it is late, and since set-ups are not answered.
    fn doubt(&self, now: Time, silence: Time) -> (f64, f64) {
        let late = (silence as f64 - self.late_from()).max(0.0) / self.gap;
        let whole = DELAYS * self.delay.max(DELAY_LEAST as f64);
        let age = |sent: &Time| now.saturating_sub(*sent).min(silence) as f64 / whole;
        let calls: f64 = self.out.values().map(age).sum();
        (PER_GAP * late, PER_CALLS * calls.min(1.0))
    }
}

/// What is known of one site.
#[derive(Debug, Default)]
struct Site {
    /// The last word of any of its servers.
    word: Time,
    lost: bool,
    /// When it came back last, and how often in a row it was lost soon after.
    back: Option<Time>,
    flaps: u32,
}

impl Site {
    fn trust(&self) -> Time {
        match self.flaps {
            0 => 0,
            n => (TRUST << (n - 1).min(8)).min(TRUST_MOST),
        }
    }
}

/// One node's belief of all sites.
#[derive(Debug, Default)]
pub struct Sites {
    servers: BTreeMap<ServerId, Server>,
    sites: BTreeMap<u32, Site>,
    turned: Option<Time>,
    /// The last word of any server.
    word: Time,
    /// Silence before this says nothing: this node heard nobody, or stood still.
    counts_from: Time,
    changes: Vec<Change>,
}

impl Sites {
    /// Takes an event as the decision module gets it.
    pub fn hear(&mut self, now: Time, event: &Event) {
        match event {
            Event::List(kind, entries) => self.list(now, *kind, entries),
            Event::Stood { call, server, elapsed, .. } => {
                self.answered(*call, *server);
                if let Some(s) = self.servers.get_mut(server) {
                    s.delay += SMOOTH * (*elapsed as f64 - s.delay);
                }
                self.word(now, *server, Word::Any);
            }
            Event::Ended { call, server, outcome, report, .. } => {
                self.answered(*call, *server);
                let said = matches!(outcome, Outcome::Done | Outcome::Fault | Outcome::Full);
                if said || report.is_some() {
                    self.word(now, *server, Word::Any);
                }
            }
            Event::Left(call) => {
                for s in self.servers.values_mut() {
                    s.out.remove(call);
                }
            }
            Event::Room(server, report) => {
                let lines = report.lines.filter(|lines| *lines >= 1.0);
                let free = report.free.filter(|free| *free >= 0.0);
                let busy = lines.zip(free).map(|(lines, free)| (lines - free).max(0.0));
                self.word(now, *server, Word::State(busy));
                if let Some((s, lines)) = self.servers.get_mut(server).zip(lines) {
                    s.lines = lines;
                }
            }
            Event::Probed { server, passed: true, .. } => self.word(now, *server, Word::Any),
            Event::Spoke { server, fresh: false } => self.word(now, *server, Word::Same),
            // Its state follows, and says more.
            Event::Spoke { server, fresh: true } => {
                if let Some(s) = self.servers.get_mut(server) {
                    s.fresh = true;
                }
            }
            _ => {}
        }
    }

    /// A set-up goes out.
    pub fn sent(&mut self, now: Time, call: CallId, server: ServerId) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.out.insert(call, now);
        }
    }

    fn answered(&mut self, call: CallId, server: ServerId) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.out.remove(&call);
        }
    }

    fn list(&mut self, now: Time, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Changes {
            self.servers.retain(|id, _| entries.iter().any(|e| e.server == *id));
        }
        for e in entries {
            if e.state == State::Gone {
                self.servers.remove(&e.server);
                continue;
            }
            // A newcomer at a place that is lost is not lost: it has never been silent.
            let server = self.servers.entry(e.server).or_insert_with(|| Server {
                zone: e.zone,
                ready: true,
                word: None,
                gap: GAP_FIRST as f64,
                deviation: GAP_FIRST as f64 / 2.0,
                delay: DELAY_LEAST as f64,
                lost: false,
                busy: 0.0,
                lines: 0.0,
                new: true,
                fresh: false,
                spoke: None,
                silent_from: 0,
                out: BTreeMap::new(),
            });
            server.ready = e.state == State::Ready;
            self.sites.entry(e.zone).or_insert_with(|| Site { word: now, ..Site::default() });
        }
        self.sites.retain(|zone, _| self.servers.values().any(|s| s.zone == *zone));
    }

    /// A server has said something.
    fn word(&mut self, now: Time, server: ServerId, word: Word) {
        // Guards against blaming the sites that speak second, once this node hears again.
        if now.saturating_sub(self.word) as f64 > self.quiet() {
            self.counts_from = now;
        }
        let Some(s) = self.servers.get_mut(&server) else { return };
        self.word = now;
        if let Some(last) = s.word.filter(|last| !s.lost && *last >= self.counts_from) {
            s.learn(now.saturating_sub(last));
        }
        s.word = Some(now);
        if s.lost {
            // A mere pause is shorter than a start. Guards against meeting a server that was cut off as a cold one,
            // for as long as that takes to warm up: its calls stand there still, in one that started there are none.
            let kept = |busy: f64| s.busy > 0.0 && busy >= KEPT * s.busy;
            let cold = match word {
                Word::Same => false,
                Word::State(Some(busy)) if kept(busy) => false,
                _ => s.fresh || now > s.silent_from + COLD_AFTER,
            };
            let (since, before) = s.spoke.unwrap_or((now, true));
            s.spoke = Some((since, before && cold));
        } else if let Word::State(Some(busy)) = word {
            // Guards against sending the usual to one that stopped and started unnoticed.
            if std::mem::take(&mut s.fresh) && s.busy >= TELLING && busy < KEPT * s.busy {
                self.changes.push(Change::Cold(server));
            }
            s.busy = busy;
        }
        let zone = s.zone;
        let Some(site) = self.sites.get_mut(&zone) else { return };
        site.word = now;
        if std::mem::take(&mut site.lost) {
            let silent = self.servers.iter().filter(|(id, s)| s.zone == zone && s.lost && **id != server);
            self.changes.extend(silent.map(|(id, _)| Change::Look(*id)));
        }
    }

    /// After which silence of all servers this node may have heard nobody, us.
    fn quiet(&self) -> f64 {
        let speaking = || self.servers.values().filter(|s| s.ready && !s.lost && s.word.is_some());
        let soonest = speaking().map(Server::late_from).fold(f64::MAX, f64::min);
        let often: f64 = speaking().map(|s| 1.0 / s.gap).sum();
        (ALONE / often).clamp(ALONE_LEAST as f64, soonest.max(ALONE_LEAST as f64))
    }

    /// Whether a server is lost, and has not come back.
    pub fn lost(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|s| s.lost)
    }

    /// Whether any site is out of reach.
    pub fn any_lost(&self) -> bool {
        self.sites.values().any(|s| s.lost)
    }

    /// Some time has passed. Guards against a node that stood still: what it did not hear meanwhile, it could not.
    pub fn turn(&mut self, now: Time) -> Vec<Change> {
        if self.turned.is_some_and(|at| now > at + STALL) {
            self.counts_from = now;
        }
        self.turned = Some(now);
        let silent: Vec<u32> =
            self.sites.iter().filter(|(z, s)| self.silent(now, **z, s)).map(|x| *x.0).collect();
        for zone in silent {
            self.lose(now, zone);
        }
        self.come_back(now);
        self.compare();
        std::mem::take(&mut self.changes)
    }

    /// A node that has just started knows no usual load, and the list may not know yet that a server has started anew:
    /// that one has hardly a line in use where the others have. Guards servers that return against nodes that return
    /// with them.
    fn compare(&mut self) {
        if !self.servers.values().any(|s| s.new && s.lines > 0.0) {
            return;
        }
        let told = |s: &&Server| s.ready && !s.lost && s.lines > 0.0;
        let mut shares: Vec<f64> = self.servers.values().filter(told).map(|s| s.busy / s.lines).collect();
        let ready = self.servers.values().filter(|s| s.ready).count();
        if shares.len() < COMPARED || 2 * shares.len() < ready {
            return;
        }
        shares.sort_by(f64::total_cmp);
        let middle = shares[shares.len() / 2];
        for (id, s) in self.servers.iter_mut().filter(|(_, s)| s.new && s.lines > 0.0) {
            s.new = false;
            if middle * s.lines >= TELLING && s.busy < NEW * middle * s.lines {
                self.changes.push(Change::Cold(*id));
            }
        }
    }

    /// Whether a site that was heard until now is out of reach.
    fn silent(&self, now: Time, zone: u32, site: &Site) -> bool {
        let from = site.word.max(self.counts_from);
        let spoken = from + ((now.saturating_sub(from)) as f64 * SPOKEN) as Time;
        // Others speak: it is not this node that hears nothing.
        if site.lost || !self.sites.iter().any(|(z, s)| *z != zone && s.word > spoken) {
            return false;
        }
        let (mut doubt, mut late) = (0.0, 0);
        for s in self.servers.values().filter(|s| s.zone == zone && s.ready && !s.lost) {
            let Some(word) = s.word else { continue };
            // Silent for long while its neighbours spoke: that is its own affair.
            if (site.word.saturating_sub(word)) as f64 > OWN * s.gap {
                continue;
            }
            // A slow site answers no set-up for a while, and speaks.
            let (words, calls) = s.doubt(now, now.saturating_sub(word.max(self.counts_from)));
            doubt += words + calls;
            late += usize::from(words > 0.0);
        }
        doubt >= LOST && late >= COMMON
    }

    fn lose(&mut self, now: Time, zone: u32) {
        let Some(site) = self.sites.get_mut(&zone) else { return };
        site.lost = true;
        let soon = site.back.is_some_and(|at| now < at + FLAPS);
        site.flaps = if soon { site.flaps + 1 } else { 0 };
        for (id, s) in self.servers.iter_mut().filter(|(_, s)| s.zone == zone && s.ready) {
            if s.word.is_some() && !s.lost {
                s.lost = true;
                s.silent_from = s.word.unwrap_or(now);
                self.changes.push(Change::Lost(*id));
            }
            s.spoke = None;
            s.fresh = false;
        }
    }

    /// Servers that have spoken for as long as their site has to.
    fn come_back(&mut self, now: Time) {
        for (id, s) in self.servers.iter_mut().filter(|(_, s)| s.lost) {
            let Some((since, cold)) = s.spoke else { continue };
            let Some(site) = self.sites.get_mut(&s.zone) else { continue };
            if now >= since + site.trust() {
                s.lost = false;
                s.spoke = None;
                site.back = Some(now);
                self.changes.push(Change::Back { server: *id, cold });
            }
        }
    }
}

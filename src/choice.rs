//! Decides on calls: which server each goes to, whether it is tried again, and when it is given up. The
//! types that the controller takes and gives are in `src/interface.rs`.
//!
//! A server's window and health are in [`crate::window`] and [`crate::server_health`]; where the constants
//! come from stands in `docs/CAPACITY.md`.

use crate::interface::*;
use crate::mean::Mean;
use crate::probes::Probes;
use crate::refusal::{self, Claim, Refusal};
use crate::server_health::{HOPELESS, OPEN_MOST, SMOOTH, STARTS_PER_TURN, Server, TURN};
use crate::sites::{Change, Room, STALL, Sites};
use crate::throughput::{CapacityPart, Rate, WATCHED, reported_occupancy};
use crate::window::{CC_PERIOD, MAX_OCCUP, MIN_OCCUP, Window};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

/// Age of an overtaken set-up, over the target, at which it is given up for lost.
const LOST_AFTER: f64 = 0.6;
/// Target wait as a share of the shortest goal: leaves room for a second attempt and slow servers.
const TARGET_OF_GOAL: f64 = 0.4;
/// Target wait as a share of the repeat gap: a set-up that waits longer is sent again, twice the work.
const TARGET_OF_REPEAT: f64 = 0.75;
/// A held call that expires within this is given up, and one that was not sent waits half of it, us.
const MARGIN: Time = 50_000;
/// Occupancy below which a server takes calls that would stand late, ratio: they earn little, and at a
/// server that is only just loaded they take the room of the fresh calls of other nodes.
const LATE_BELOW: f64 = 0.3;
/// Share of errors among a server's latest answers from which it is ill, ratio: others go first.
const ILL: f64 = 0.5;
/// Calls from which on one that arrives is routed by itself, and the others at the next turn.
const CROWD: usize = 64;

enum Phase {
    Held(Time),
    Out(ServerId),
}

struct Call {
    class: usize,
    number: String,
    claim: Claim,
    first_choice: Option<Place>,
    in_transit: bool,
    units: f64,
    expires: Time,
    attempts: u32,
    attempt_limit: u32,
    phase: Phase,
    called_off: bool,
    /// The server that answered it with an error last, or lost it.
    erred: Option<ServerId>,
    /// Zone and place that may have run it, and when it went there.
    may_run: Option<(u32, Place, Time)>,
}

impl Call {
    /// Whether this very attempt is the one that is out.
    fn is_out(&self, attempt: u32, server: ServerId) -> bool {
        matches!(self.phase, Phase::Out(at) if at == server) && self.attempts == attempt + 1
    }
}

/// Decides for one access node.
pub struct Controller {
    settings: Settings,
    rng: Pcg32,
    now: Time,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    sticky: BTreeMap<usize, ServerId>,
    refusal: Refusal,
    target: f64,
    /// Its own starts, from the first on.
    started: Option<Rate>,
    capacity: CapacityPart,
    /// The set-up delay a call must reckon with if it goes out now: the mean of the latest.
    delay: f64,
    ask_at: Option<Time>,
    turn_at: Time,
    sites: Sites,
    room: Room,
    probes: Probes,
}

impl Controller {
    /// A controller that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let ask_at = settings.ask_list.map(|_| 0);
        Controller {
            target: target_wait(&settings, |_| true),
            refusal: Refusal::new(&settings),
            probes: Probes::new(&settings, seed),
            settings,
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            sticky: BTreeMap::new(),
            started: None,
            capacity: CapacityPart::default(),
            delay: 0.0,
            ask_at,
            turn_at: 0,
            sites: Sites::default(),
            room: Room::new(OPEN_MOST, MAX_OCCUP),
        }
    }

    /// Goes by other settings from now on. Calls keep the number of attempts that they came with, and their
    /// classes, whose numbers stay; the class of each number in `replaced` is another one now. `listed` are
    /// those that calls may come in. What is known of the servers, their windows and the calls stays.
    pub fn reconfigure(&mut self, settings: Settings, listed: &BTreeSet<usize>, replaced: &BTreeSet<usize>) {
        self.target = target_wait(&settings, |number| listed.contains(&number));
        self.refusal.reconfigure(&settings);
        self.probes.reconfigure(&settings);
        for class in replaced {
            self.refusal.forget_class(*class);
            self.sticky.remove(class);
        }
        self.settings = settings;
    }

    /// Whether a server gets no ordinary calls now.
    pub fn avoids(&self, server: ServerId) -> bool {
        let bad = |s: &Server| !s.ready || s.down.is_some() || s.ill >= HOPELESS || self.now < s.skip_until;
        self.servers.get(&server).is_none_or(bad)
    }

    /// Takes one event at a time that never falls and adds what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.notice_own_stall();
        self.sites.hear(now, &event);
        self.probes.hear(now, &event);
        let mut route = true;
        match event {
            Event::List(kind, entries) => self.list(kind, entries),
            Event::Call(new) => {
                // The others were tried by the last turn, and a crowd must not cost its square.
                route = self.calls.len() < CROWD;
                let call = new.call;
                self.arrive(new, actions);
                if !route {
                    self.route([call], actions);
                }
            }
            Event::Stood { call, attempt, server, elapsed } => {
                route = false;
                self.stood(call, attempt, server, elapsed);
            }
            Event::Ended { call, attempt, server, outcome, finished, reason, wait, report } => {
                self.report(server, report.as_ref());
                if let Some(s) = self.servers.get_mut(&server).filter(|_| outcome == Outcome::Done) {
                    s.heard = now;
                }
                route = !finished;
                self.ended(call, attempt, server, outcome, finished, (reason, wait), actions);
            }
            Event::Left(call) => {
                if let Some(Call { phase: Phase::Out(server), units, .. }) = self.calls.remove(&call)
                    && let Some(s) = self.servers.get_mut(&server)
                {
                    s.out.remove(&call);
                    s.room += units;
                }
            }
            Event::Probed { server, report, .. } => self.report(server, report.as_ref()),
            Event::Room(server, report) => {
                if let Some(s) = self.servers.get_mut(&server) {
                    s.told_lines(&report);
                    s.spoke(now);
                }
            }
            Event::Spoke { .. } | Event::Told(..) | Event::Timer(_) => {}
        }
        if now >= self.turn_at {
            self.turn(actions);
        }
        if route {
            self.route_held(actions);
        }
    }

    /// Guards against blaming servers for the node's own stall, whatever stopped it: the ages of what was
    /// out then, and the interval it fell in, say nothing. Could hide a slow server behind a stall.
    fn notice_own_stall(&mut self) {
        if self.turn_at == 0 || self.now <= self.turn_at + STALL {
            return;
        }
        self.turn_at = self.now;
        for s in self.servers.values_mut() {
            s.judged_from = self.now;
            s.heard = self.now;
            s.window.begin_interval(self.now);
        }
    }

    /// Once a turn: windows, silent servers, the list, and the next turn's timer.
    fn turn(&mut self, actions: &mut Vec<Action>) {
        self.turn_at = self.now + TURN;
        actions.push(Action::Timer { at: self.turn_at, token: 0 });
        if self.ask_at.is_some_and(|at| self.now >= at) {
            self.ask_at = None;
            actions.push(Action::WatchList);
        }
        let now = self.now;
        self.refusal.turn(now);
        self.follow_sites(actions);
        self.call_off_lost(actions);
        actions.extend(self.probes.turn(now).into_iter().map(Action::Probe));
        let (rate, lines) = self.rate_and_lines();
        let working =
            self.servers.values().filter_map(|s| s.completed(now, s.lines.unwrap_or(lines), &self.settings));
        self.capacity.learn(working);
        for server in self.servers.values_mut() {
            server.turn_starts = 0;
            server.notice_silence(now);
            server.hand_out_lines(f64::from(self.settings.nodes.max(1)));
            let even = rate * server.lines.map_or(1.0, |own| own / lines);
            let completes = self.capacity.even(server.lines.unwrap_or(lines));
            let part = self.capacity.when_full(now, server.place_completes.unwrap_or(completes));
            let most = server.most_starts(now, (even, part), self.room.most(), &self.settings);
            // All nodes together test a down server once a period, so that few calls do not mean no tests.
            let least = server.down.as_ref().map_or(0.0, |_| 1.0 / f64::from(self.settings.nodes.max(1)));
            server.roll(now, self.target, (least, most), even);
            server.learn_place(now, completes);
        }
    }

    /// The node's own calls per period and ready server, and the mean lines of these. An even part goes by
    /// lines. Guards small servers against a large one's part, which all nodes together would send.
    fn rate_and_lines(&self) -> (f64, f64) {
        let ready = || self.servers.values().filter(|s| s.ready);
        let mut lines = Mean::default();
        ready().filter_map(|s| s.lines).for_each(|l| lines.add(l));
        let rate = self.started.as_ref().map_or(0.0, |started| started.at_last_event(self.now));
        (rate / ready().count().max(1) as f64, lines.get().unwrap_or(1.0).max(1.0))
    }

    fn follow_sites(&mut self, actions: &mut Vec<Action>) {
        let changes = self.sites.turn(self.now);
        if changes.iter().any(|c| c.lost()) {
            let usual =
                || self.servers.iter().filter_map(|(id, s)| Some((*id, s.usual.filter(|_| s.ready)?)));
            let left = usual().filter(|(id, _)| !self.sites.lost(*id)).map(|(_, n)| n).sum();
            if self.room.lose(usual().map(|(_, n)| n).sum(), left) {
                let saved = self.servers.values_mut().filter(|s| s.window.credit >= 1.0);
                saved.for_each(|s| s.window.credit = s.window.phase);
            }
        } else if !self.sites.any_lost() && self.servers.values().all(|s| s.cold_from.is_none()) {
            self.room.restore();
        }
        for change in changes {
            let Some(s) = self.servers.get_mut(&change.server()) else { continue };
            match change {
                Change::Lost(_) => s.fell_silent(self.now, true),
                _ if change.cold() && s.cold_from.is_none() => s.restart(self.now),
                Change::Back { .. } => s.down = None,
                Change::Cold(_) | Change::Look(_) => {}
            }
            actions.push(Action::Rest { server: change.server(), rest: change.lost() });
        }
    }

    /// Calls off a set-up that later ones have overtaken by far, so that the call can try again in time.
    fn call_off_lost(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_cancel {
            return;
        }
        let spare = self.settings.release_wait + MARGIN;
        for s in self.servers.values() {
            let silent_from = s.down.as_ref().filter(|d| d.unreached).map_or(0, |d| d.since);
            for (id, sent) in s.out.iter().filter(|(_, sent)| **sent < s.answered_sent.max(silent_from)) {
                let Some(call) = self.calls.get_mut(id).filter(|c| !c.called_off) else { continue };
                let lost = (self.now - sent) as f64 > LOST_AFTER * self.target;
                let safe = self.settings.classes[call.class].effect == Effect::Safe;
                let again = call.attempts < call.attempt_limit && self.now + spare < call.expires;
                if lost && safe && again {
                    call.called_off = true;
                    actions.push(Action::Cancel { call: *id, attempt: call.attempts - 1 });
                }
            }
        }
    }

    fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        if kind == ListKind::Failed {
            self.ask_at = self.settings.ask_list.map(|every| self.now + (every / 8).min(1_000_000));
            return;
        }
        if kind != ListKind::Changes {
            let listed: Vec<ServerId> = entries.iter().map(|e| e.server).collect();
            for (id, server) in &mut self.servers {
                server.ready &= listed.contains(id);
            }
        }
        for e in entries {
            let phase = Time::from(self.rng.next_u32()) % CC_PERIOD;
            let now = self.now;
            let before = || self.servers.values().rev().filter(|s| s.place == e.place);
            let (usual, lines) = (before().find_map(|s| s.usual), before().find_map(|s| s.lines));
            let place_completes = before().find_map(|s| s.place_completes);
            let server = self.servers.entry(e.server).or_insert_with(|| Server {
                zone: e.zone,
                place: e.place,
                window: Window {
                    period: now + phase,
                    interval: now + phase,
                    credit: f64::MAX,
                    phase: phase as f64 / CC_PERIOD as f64,
                    per_turn: STARTS_PER_TURN,
                    ..Window::default()
                },
                lines,
                room: f64::MAX,
                heard: now,
                floor: f64::MAX,
                completed: Rate::new(now),
                place_completes,
                place_learns_at: now + WATCHED,
                usual,
                ..Server::default()
            });
            server.ready = e.state == State::Ready;
            if let Some(at) = e.started.filter(|at| Some(*at) > server.started) {
                server.started = Some(at);
                server.restart(at);
            }
        }
        // Guards the memory: a place's latest server alone is kept, for its usual rate.
        let latest: BTreeMap<Place, ServerId> = self.servers.iter().map(|(id, s)| (s.place, *id)).collect();
        self.servers.retain(|id, s| s.ready || !s.out.is_empty() || latest.get(&s.place) == Some(id));
    }

    fn arrive(&mut self, new: NewCall, actions: &mut Vec<Action>) {
        if new.class >= self.settings.classes.len() {
            let (hold_off, reason) = (self.settings.max_hold_off, GiveUpReason::UnknownClass);
            actions.push(Action::Refuse { call: new.call, hold_off, reason });
            return;
        }
        let claim = self.refusal.arrive(self.now, &new, &self.settings);
        let call = Call {
            class: new.class,
            number: new.number,
            claim,
            first_choice: new.first_choice,
            in_transit: new.in_transit,
            units: new.units,
            expires: self.now.saturating_add(new.expires_in),
            attempts: 0,
            attempt_limit: self.settings.attempt_limit,
            phase: Phase::Held(self.now),
            called_off: false,
            erred: None,
            may_run: None,
        };
        self.calls.entry(new.call).or_insert(call);
    }

    fn stood(&mut self, call: CallId, attempt: u32, server: ServerId, elapsed: Time) {
        if !self.calls.get(&call).is_some_and(|c| c.is_out(attempt, server)) {
            return;
        }
        if let Some(known) = self.calls.remove(&call) {
            self.refusal.stood(known.number, known.class);
        }
        if let Some(s) = self.servers.get_mut(&server) {
            s.out.remove(&call);
            s.standing.insert(call);
            s.answered(self.now, elapsed, self.target);
            self.delay += SMOOTH * (elapsed as f64 - self.delay);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn ended(
        &mut self,
        id: CallId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        finished: bool,
        (reason, wait): (Option<Reason>, Option<Time>),
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        if let Some(s) = self.servers.get_mut(&server) {
            s.room += f64::from(s.standing.remove(&id));
        }
        let Some(call) = self.calls.get_mut(&id).filter(|c| c.is_out(attempt, server)) else { return };
        let (mut sent, mut cell) = (now, (0, 0));
        if let Some(s) = self.servers.get_mut(&server) {
            sent = s.out.remove(&id).unwrap_or(now);
            cell = (s.zone, s.place);
            s.room += if reason == Some(Reason::NoLine) { 0.0 } else { call.units };
            s.judge(now, sent, outcome, reason, wait, self.target);
        }
        if finished {
            self.calls.remove(&id);
            return;
        }
        call.phase = Phase::Held(match outcome {
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => now + self.settings.release_wait,
            Outcome::NotSent => now + MARGIN / 2,
            _ => now,
        });
        if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled | Outcome::Fault) {
            call.may_run.get_or_insert((cell.0, cell.1, sent));
        }
        let busy = outcome == Outcome::Fault && reason == Some(Reason::NumberBusy);
        let erred = matches!(outcome, Outcome::Cancelled | Outcome::Fault);
        call.erred = Some(server).filter(|_| erred).or(call.erred);
        // Departure: a server is kept until it answers full, or with an error.
        if outcome == Outcome::Full || outcome == Outcome::Fault && !busy {
            self.sticky.remove(&call.class);
        }
        let reason = if busy {
            Some(GiveUpReason::NumberBusy)
        } else if call.attempts >= call.attempt_limit {
            Some(GiveUpReason::AttemptsSpent)
        } else if now + MARGIN / 2 >= call.expires {
            Some(GiveUpReason::TooLateToTry)
        } else {
            None
        };
        if let Some(reason) = reason {
            self.calls.remove(&id);
            actions.push(Action::Fail { call: id, reason });
        }
    }

    fn report(&mut self, server: ServerId, report: Option<&Report>) {
        let (Some(s), Some(r)) = (self.servers.get_mut(&server), report) else { return };
        s.told_lines(r);
        if let Some(occ) = reported_occupancy(r, self.target) {
            s.window.reported.add(occ);
            self.room.report(occ);
            if s.cold_from.is_none() {
                self.capacity.report(self.now, occ);
            }
            if occ < MIN_OCCUP {
                s.idle_at = self.now;
            }
        }
    }

    fn route_held(&mut self, actions: &mut Vec<Action>) {
        let held: Vec<CallId> =
            self.calls.iter().filter(|(_, c)| matches!(c.phase, Phase::Held(_))).map(|(id, _)| *id).collect();
        self.route(held, actions);
    }

    /// Sends calls that are held where windows allow, worthiest first and oldest first among equals.
    fn route(&mut self, ids: impl IntoIterator<Item = CallId>, actions: &mut Vec<Action>) {
        let stands_at = self.now + self.delay as Time;
        let mut held: Vec<(f64, Time, CallId, bool)> = Vec::new();
        let mut done: Vec<CallId> = Vec::new();
        for id in ids {
            let Some(call) = self.calls.get(&id) else { continue };
            let Phase::Held(from) = call.phase else { continue };
            if self.now + MARGIN >= call.expires {
                done.push(id);
            } else if self.now >= from {
                let late = stands_at > call.claim.goal_at;
                let value = refusal::value(&self.settings, call.class, call.claim, late);
                held.push((value, call.claim.goal_at, id, late));
            }
        }
        for id in done {
            self.give_up(id, GiveUpReason::TooLateToTry, actions);
        }
        held.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        let mut any_open = self.servers.values().any(|s| self.is_open(s));
        for (_, _, id, late) in held {
            let chosen = if any_open { self.choose(id, late) } else { None };
            match chosen {
                Some(server) => {
                    self.start(id, server, actions);
                    any_open = self.servers.values().any(|s| self.is_open(s));
                }
                // A late call that no server takes is given up on, and hears so at once.
                None if late => {
                    let over_share = self.calls.get(&id).is_some_and(|call| call.claim.over_share);
                    let reason = if over_share { GiveUpReason::ShareUsedUp } else { GiveUpReason::NoRoom };
                    self.give_up(id, reason, actions);
                }
                None => {}
            }
        }
    }

    /// Final answer for a held call: refused where that is allowed, else failed.
    fn give_up(&mut self, id: CallId, reason: GiveUpReason, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        let class = &self.settings.classes[call.class];
        actions.push(match call.may_run.is_none() || class.refusable() {
            true => {
                let wave = self.sites.any_lost().then(|| self.rng.next_u32());
                let hold_off = refusal::hold_off(&self.settings, wave);
                Action::Refuse { call: id, hold_off, reason }
            }
            false => Action::Fail { call: id, reason },
        });
    }

    /// First choice while its window allows, else the allowed one that last took the class, else any.
    fn choose(&mut self, id: CallId, late: bool) -> Option<ServerId> {
        let call = self.calls.get(&id)?;
        let (mut allowed, mut sound_up, mut sound_takes) = (Vec::new(), false, false);
        // Guards against a call that spends its attempts on a server that errs or has lost it while a sound
        // one would take it, now or next turn; the last attempt is kept for a sound one. One that errs is
        // better than none: not all of its answers are errors. What went wrong at a sound one does so again.
        let sound = |id: &ServerId| self.servers[id].ill < ILL && call.erred != Some(*id);
        for (id, s) in &self.servers {
            let takes = self.takes(s, call, late);
            if takes && f64::from(s.turn_starts) < s.window.per_turn {
                allowed.push(*id);
            }
            sound_up |= sound(id) && s.down.is_none() && s.ready;
            sound_takes |= sound(id) && s.down.is_none() && takes;
        }
        let own = call.erred.and_then(|id| self.servers.get(&id)).is_some_and(|s| s.ill < ILL);
        if sound_up && (sound_takes || own || call.attempts + 1 >= call.attempt_limit) {
            // Guards against a server that is well again and never asked: some calls are its tests.
            allowed.retain(|id| sound(id) || call.attempts == 0 && self.servers[id].wants_test());
        }
        if let Some(first) = allowed.iter().find(|s| Some(self.servers[*s].place) == call.first_choice) {
            return Some(*first);
        }
        if call.in_transit || allowed.is_empty() {
            return None;
        }
        if let Some(last) = self.sticky.get(&call.class).filter(|s| allowed.contains(s)) {
            return Some(*last);
        }
        // Departure: drawn by free lines, as servers of all sizes are listed.
        let room = |id: &ServerId| self.servers[id].free.unwrap_or(1.0).max(1.0);
        let all: f64 = allowed.iter().map(room).sum();
        let mut left = f64::from(self.rng.next_u32()) % all;
        let drawn = *allowed.iter().find(|id| (left -= room(id), left < 0.0).1).unwrap_or(&allowed[0]);
        // The class keeps its server while that is merely not allowed at the moment; a full one is forgotten.
        self.sticky.entry(call.class).or_insert(drawn);
        Some(drawn)
    }

    /// Whether a server may have any call, be it next turn.
    fn is_open(&self, s: &Server) -> bool {
        s.ready
            && (s.down.is_none() || s.out.is_empty())
            && self.now >= s.skip_until
            && s.room >= 1.0
            && s.window.credit >= 1.0
    }

    /// Whether a server may have the call, be it next turn.
    fn takes(&self, s: &Server, call: &Call, late: bool) -> bool {
        let class = &self.settings.classes[call.class];
        self.is_open(s)
            && s.free.is_none_or(|free| free >= call.units)
            && self.settings.own_place != Some(s.place)
            && class.places.as_ref().is_none_or(|p| p.contains(&s.place))
            && self.may_resend(s, call, class)
            && !(late && (s.occup >= LATE_BELOW || self.room.occupancy() >= MIN_OCCUP))
    }

    /// Where a call that may have run can go again without being done twice.
    fn may_resend(&self, s: &Server, call: &Call, class: &Class) -> bool {
        let Some((zone, place, sent)) = call.may_run else { return true };
        let group = match class.group {
            Group::All => true,
            Group::Zone => s.zone == zone,
            Group::Place => s.place == place,
        };
        class.effect == Effect::Safe
            || class.effect == Effect::Keyed && group && self.now < sent + class.window
    }

    fn start(&mut self, id: CallId, server: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let (Some(call), Some(s)) = (self.calls.get_mut(&id), self.servers.get_mut(&server)) else {
            return;
        };
        if call.attempts == 0 {
            self.started.get_or_insert_with(|| Rate::new(now)).count(now);
        }
        call.phase = Phase::Out(server);
        call.attempts += 1;
        call.called_off = false;
        s.turn_starts += 1;
        s.window.credit -= 1.0;
        s.room -= call.units;
        s.window.starts += 1;
        s.out.insert(id, now);
        self.sites.sent(now, id, server);
        actions.push(Action::Start { call: id, server, limit: None });
    }
}

/// The wait at a server that is aimed at: a share of the shortest goal of the classes that calls may come in.
fn target_wait(settings: &Settings, listed: impl Fn(usize) -> bool) -> f64 {
    let goals = settings.classes.iter().enumerate().filter(|(number, _)| listed(*number));
    let goal = goals.map(|(_, class)| class.goal).min().unwrap_or(1_000_000) as f64;
    let repeat = settings.repeat.map_or(f64::MAX, |r| r as f64 * TARGET_OF_REPEAT);
    (goal * TARGET_OF_GOAL).min(repeat)
}

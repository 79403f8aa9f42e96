//! Callers, their connections to proxies, and what becomes of their tries.

use super::*;

impl World {
    pub(super) fn arrive(&mut self) {
        let begun = self.begun.unwrap_or(0);
        let at = self.now - begun;
        if self.now >= self.until {
            return;
        }
        let next = begun + self.callers.next(at);
        if next < self.until {
            self.at(next, Ev::Arrive);
        }
        let person = self.next_person;
        self.next_person += 1;
        let caller = self.callers.caller(at, self.now);
        self.fates.insert(
            person,
            Person {
                first: self.now,
                channel: caller.channel,
                fate: Fate::Lost,
                stood_after: None,
                tries: 0,
                second_choice: false,
                cause: 0,
            },
        );
        self.people.insert(person, caller);
        self.dial(person);
    }

    pub(super) fn settle(&mut self, person: u64, fate: Fate, cause: u8) {
        if let Some(p) = self.fates.get_mut(&person) {
            p.fate = fate;
            p.cause = cause;
        }
    }

    /// A try has come to nothing: the caller dials again, or that was all.
    pub(super) fn again(&mut self, person: u64, fate: Fate, cause: u8, away: Option<Time>) {
        self.settle(person, fate, cause);
        let Some(caller) = self.people.get_mut(&person) else { return };
        match self.callers.redial(caller, away) {
            Some(wait) => {
                let at = self.now + wait;
                self.at(at, Ev::Dial(person));
            }
            None => drop(self.people.remove(&person)),
        }
    }

    pub(super) fn dial(&mut self, person: u64) {
        let Some(mut caller) = self.people.remove(&person) else { return };
        let Some(Try { call, patience, leaves }) = self.callers.attempt(&mut caller, self.now) else {
            return;
        };
        let setup = Setup {
            call,
            channel: caller.channel,
            patience,
            redial: caller.tries > 1,
            number: caller.number.clone(),
            place: caller.place,
            description: format!("{call:016x}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"),
        };
        if let Some(p) = self.fates.get_mut(&person) {
            p.tries += 1;
        }
        self.people.insert(person, caller);
        let Some(proxy) = self.front() else {
            self.again(person, Fate::Lost, 0, None);
            return;
        };
        let open = Open { person, proxy, conn: 0, taken: self.now, resent: false, setup, stands: false };
        self.open.insert(call, open);
        let late = ms(self.scenario.rules.answer_ms + self.scenario.rules.slack_ms);
        let late = late + self.checker.lateness(self.now, self.now);
        self.at(self.now + patience + late, Ev::Expire(call));
        if let Some(leaves) = leaves {
            self.at(self.now + leaves, Ev::Leave(call));
        }
        self.send_setup(call);
    }

    /// The proxy that the front sends a caller to, if any serves.
    pub(super) fn front(&mut self) -> Option<usize> {
        if self.fronts.is_empty() {
            let mut sum = 0.0;
            self.fronts.extend(self.proxies.iter().map(|p| {
                sum += if p.serves { p.weight } else { 0.0 };
                sum
            }));
        }
        let all = self.fronts.last().copied().filter(|all| *all > 0.0)?;
        let drawn = self.draw.unit() * all;
        Some(self.fronts.partition_point(|sum| *sum <= drawn).min(self.fronts.len() - 1))
    }

    pub(super) fn serves(&mut self, p: usize, serves: bool) {
        self.proxies[p].serves = serves;
        self.fronts.clear();
    }

    /// Sends a set-up on a connection that there is, or on a new one.
    pub(super) fn send_setup(&mut self, call: CallId) {
        let Some(open) = self.open.get(&call) else { return };
        let (proxy, setup) = (open.proxy, open.setup.clone());
        let of = self.proxies[proxy].conns.iter();
        let least = of.filter_map(|id| self.sides.get(id).map(|s| (s.open.len(), *id))).min();
        let conns = self.proxies[proxy].conns.len();
        let conn = match least {
            Some((busy, id)) if busy < SHARED_BY || conns >= CALLER_CONNS => id,
            _ => self.open_side(proxy, Vec::new()),
        };
        if let Some(open) = self.open.get_mut(&call) {
            open.conn = conn;
        }
        let Some(side) = self.sides.get_mut(&conn) else { return };
        side.open.insert(call);
        side.used = self.now;
        match side.up {
            true => self.write_setup(conn, setup),
            false => side.waiting.push((call, ToProxy::Setup(setup))),
        }
    }

    pub(super) fn write_setup(&mut self, conn: CallerConn, setup: Setup) {
        let call = setup.call;
        let Some(open) = self.open.get_mut(&call) else { return };
        open.taken = self.now;
        let proxy = open.proxy;
        let (number, description) = (setup.number.clone(), setup.description.clone().into_bytes());
        self.see(Seen::Taken { proxy, call, number, description });
        self.commands.push_back(Command::CallerSend(conn, ToProxy::Setup(setup)));
    }

    pub(super) fn caller_up(&mut self, conn: CallerConn) {
        let Some(side) = self.sides.get_mut(&conn) else { return };
        side.up = true;
        for (call, message) in std::mem::take(&mut side.waiting) {
            match message {
                ToProxy::Setup(setup) if self.open.contains_key(&call) => self.write_setup(conn, setup),
                ToProxy::Setup(_) => {}
                other => self.commands.push_back(Command::CallerSend(conn, other)),
            }
        }
    }

    /// A caller's connection has ended, and not by its own doing.
    pub(super) fn caller_down(&mut self, conn: CallerConn) {
        let Some(side) = self.sides.remove(&conn) else { return };
        let proxy = side.proxy;
        self.proxies[proxy].conns.remove(&conn);
        let runs = self.answers(proxy);
        // A release that waited for it is dropped with it: that it did not come up shows that nobody is there.
        let mut cut = Vec::new();
        for call in side.open {
            let Some(open) = self.open.get_mut(&call).filter(|o| !o.stands && o.conn == conn) else {
                continue;
            };
            let crossed = self.now < open.taken + CROSSING + self.checker.lateness(open.taken, self.now);
            if side.up && runs && crossed && !open.resent {
                open.resent = true;
                self.send_setup(call);
                continue;
            }
            if side.up && runs && !crossed {
                cut.push(call);
            }
            let person = open.person;
            self.open.remove(&call);
            self.again(person, Fate::Lost, 0, Some(100_000));
        }
        if !cut.is_empty() {
            self.see(Seen::CallerCut(cut));
        }
        self.rejoin_later(proxy);
    }

    /// Callers whose calls stand at a proxy to which no connection is left open one, to hear of their end.
    pub(super) fn rejoin_later(&mut self, proxy: usize) {
        let waits = |o: &Open| o.stands && o.proxy == proxy;
        if self.proxies[proxy].conns.is_empty() && self.answers(proxy) && self.open.values().any(waits) {
            self.at(self.now + REJOIN, Ev::Rejoin(proxy));
        }
    }

    pub(super) fn rejoin(&mut self, proxy: usize) {
        let waits = |o: &Open| o.stands && o.proxy == proxy;
        if self.proxies[proxy].conns.is_empty() && self.answers(proxy) && self.open.values().any(waits) {
            self.open_side(proxy, Vec::new());
        }
    }

    /// Whether a proxy has been ready and its process is there.
    pub(super) fn answers(&self, proxy: usize) -> bool {
        matches!(self.proxies[proxy].life, Life::Up | Life::Stopped | Life::Terminated(_))
    }

    /// Connects to a proxy; what waits is written once that is up.
    pub(super) fn open_side(&mut self, proxy: usize, waiting: Vec<(CallId, ToProxy)>) -> CallerConn {
        self.next_conn += 1;
        let id = self.next_conn;
        let side =
            CallerSide { proxy, up: false, waiting, open: BTreeSet::new(), standing: 0, used: self.now };
        self.sides.insert(id, side);
        self.proxies[proxy].conns.insert(id);
        self.commands.push_back(Command::OpenCaller(id, proxy));
        id
    }

    /// Writes to a proxy on any connection there is, or on a new one.
    pub(super) fn on_any(&mut self, proxy: usize, call: CallId, message: ToProxy) {
        if !self.answers(proxy) {
            return;
        }
        let conn = self.proxies[proxy].conns.iter().next_back().copied();
        match conn.and_then(|c| self.sides.get_mut(&c).map(|s| (c, s))) {
            Some((conn, side)) if side.up => {
                side.used = self.now;
                self.commands.push_back(Command::CallerSend(conn, message));
            }
            Some((_, side)) => side.waiting.push((call, message)),
            None => {
                self.open_side(proxy, vec![(call, message)]);
            }
        }
    }

    /// A caller's time is up, or it leaves.
    pub(super) fn caller_leaves(&mut self, call: CallId, late: bool) {
        let Some(open) = self.open.remove(&call) else { return };
        self.see(Seen::CallerLeft { call, late });
        let mut unsent = false;
        if let Some(side) = self.sides.get_mut(&open.conn) {
            side.open.remove(&call);
            let before = side.waiting.len();
            side.waiting.retain(|(id, _)| *id != call);
            unsent = side.waiting.len() < before;
            if open.stands {
                side.standing = side.standing.saturating_sub(1);
            }
        }
        if open.stands {
            self.people.remove(&open.person);
        } else {
            self.again(open.person, Fate::GaveUp, 0, None);
        }
        if !unsent {
            let own = self.sides.get(&open.conn).is_some_and(|s| s.up);
            match own {
                true => self.commands.push_back(Command::CallerSend(open.conn, ToProxy::Release(call))),
                // A set-up belongs to its connection; a call that stands to none.
                false if open.stands => self.on_any(open.proxy, call, ToProxy::Release(call)),
                false => {}
            }
        }
        self.idle_later(open.conn);
    }

    pub(super) fn idle_later(&mut self, conn: CallerConn) {
        if let Some(side) = self.sides.get_mut(&conn) {
            side.used = self.now;
            if side.open.is_empty() && side.standing == 0 {
                self.at(self.now + CALLER_IDLE, Ev::Idle(conn));
            }
        }
    }

    pub(super) fn close_idle(&mut self, conn: CallerConn) {
        let Some(side) = self.sides.get(&conn) else { return };
        if side.open.is_empty() && side.standing == 0 && self.now >= side.used + CALLER_IDLE {
            let proxy = side.proxy;
            self.proxies[proxy].conns.remove(&conn);
            self.sides.remove(&conn);
            self.commands.push_back(Command::CloseCaller(conn));
            self.rejoin_later(proxy);
        }
    }

    pub(super) fn told_caller(&mut self, conn: CallerConn, message: ToCaller) {
        let Some(side) = self.sides.get_mut(&conn) else { return };
        let proxy = side.proxy;
        match message {
            ToCaller::Stands(call, description) => {
                side.open.remove(&call);
                self.see(Seen::Answer { proxy, call, stands: Some(description) });
                let Some(open) = self.open.get_mut(&call).filter(|o| !o.stands) else { return };
                open.stands = true;
                if let Some(side) = self.sides.get_mut(&conn) {
                    side.standing += 1;
                }
                let person = open.person;
                let goal = ms(self.scenario.callers.goal_ms);
                let at = self.places.iter().position(|p| p.calls.contains_key(&call));
                if let Some(p) = self.fates.get_mut(&person) {
                    let after = self.now - p.first;
                    p.stood_after = Some(after);
                    p.fate = if after <= goal { Fate::InTime } else { Fate::Late };
                    p.cause = 0;
                    let first = self.people.get(&person).map(|c| c.place);
                    p.second_choice = at.is_some() && at != first;
                }
                let (_, hangs_up) = self.callers.length();
                if let Some(after) = hangs_up {
                    self.at(self.now + after, Ev::Leave(call));
                }
            }
            ToCaller::Release(call, cause, away) => self.released(proxy, conn, call, cause, away),
            ToCaller::Other => {}
        }
    }

    pub(super) fn released(
        &mut self,
        proxy: usize,
        conn: CallerConn,
        call: CallId,
        cause: u8,
        away: Option<Time>,
    ) {
        self.commands.push_back(Command::CallerSend(conn, ToProxy::Heard(call)));
        match self.open.get(&call).map(|o| (o.stands, o.person, o.conn)) {
            Some((true, person, own)) => {
                self.open.remove(&call);
                self.see(Seen::Release(call));
                if cause == CUT {
                    self.settle(person, Fate::Cut, cause);
                }
                self.people.remove(&person);
                if let Some(side) = self.sides.get_mut(&own) {
                    side.standing = side.standing.saturating_sub(1);
                }
                self.idle_later(own);
            }
            Some((false, person, own)) if own == conn => {
                self.open.remove(&call);
                self.see(Seen::Answer { proxy, call, stands: None });
                if let Some(side) = self.sides.get_mut(&own) {
                    side.open.remove(&call);
                }
                let refused = REFUSED.contains(&cause);
                let fate = if refused { Fate::Refused } else { Fate::Failed };
                self.record.refusals += 1;
                self.again(person, fate, cause, away);
                self.idle_later(own);
            }
            _ => self.see(Seen::Release(call)),
        }
    }
}

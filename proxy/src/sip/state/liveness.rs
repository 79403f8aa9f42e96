//! Whether the server lives: looks at one that is silent, and the end of calls at one that is gone.

use super::*;
use fernspan_core::Time;

impl Link {
    /// When what stands here is given up for want of any sign of life. Its end may be as long ago as the last one, and its
    /// caller is told in time from then: nothing that happens meanwhile moves this later, but a standstill of this
    /// process, in which it heard nobody.
    pub(super) fn calls_given_up_at(&self) -> Option<Time> {
        let due = self.heard + self.shared.limits.mute;
        Some(due.max(self.not_given_up_before)).filter(|_| !self.standing.is_empty())
    }

    /// Whether there are as many connections as there may be, with a set-up open on each.
    pub(super) fn is_full_and_busy(&self) -> bool {
        self.is_full() && self.connections.all_busy(&self.open_setups())
    }

    /// When to connect: after a loss, or to see whether a silent server lives.
    pub(super) fn connect_due(&self) -> Option<Time> {
        if self.connections.any_connecting() {
            return None;
        }
        // Guards against a machine that has vanished with its calls: nobody else tells of it in time, and
        // its connections stay open and silent.
        let limits = &self.shared.limits;
        let (silent, mute) = (self.heard + limits.silent, self.word + limits.mute);
        let silent = if self.heard < mute { silent.min(mute) } else { silent };
        // Set-ups that are open everywhere end by their own deadlines first, unless these are too late.
        let silent = match self.is_full_and_busy() {
            true => silent.max(self.heard + limits.forced_look),
            false => silent,
        };
        let silent = Some(silent).filter(|_| !self.standing.is_empty());
        // Guards against a look at a silent server that fails at once and is taken again at once: after a
        // failure the next one is due at its own time, however long the silence.
        self.connect_at.or(silent)
    }

    /// The server is gone, and what stood there with it.
    pub(super) fn died(&mut self) -> Vec<Input> {
        let mut inputs: Vec<Input> =
            self.connections.ids().into_iter().flat_map(|conn| self.lose(conn)).collect();
        self.standing.clear();
        self.restart.clear();
        self.connect_at = Some(self.again());
        inputs.push(Input::Died(self.server));
        inputs
    }

    pub(super) fn look_for_life(&mut self) -> Vec<Input> {
        self.connect_at = None;
        let limits = &self.shared.limits;
        let silent = self.now >= (self.heard + limits.silent).min(self.word + limits.mute);
        self.looking = silent && !self.standing.is_empty();
        let mut inputs = Vec::new();
        if self.is_full()
            && let Some(conn) = self.connections.longest_unheard(&self.open_setups())
        {
            inputs.extend(self.lose(conn));
        }
        self.connect();
        inputs
    }

    /// Looks at a server whose site is lost now and then, and once the site speaks again soon: whether that one
    /// does too, only a connection shows.
    pub(super) fn rest(&mut self, rest: bool) {
        // With calls standing there it has to be known soon whether they are gone.
        let soon = !rest || !self.standing.is_empty();
        let mean = if soon { self.shared.limits.awake } else { self.shared.limits.resting };
        let speaks = !rest && self.now <= self.heard + self.shared.limits.quiet;
        if self.resting != rest && !self.connections.any_connecting() {
            let at = self.now + self.drawn(mean);
            let at = self.connect_at.filter(|_| !rest).map_or(at, |before| before.min(at));
            self.connect_at = Some(at).filter(|_| !speaks || self.connections.is_empty());
        }
        self.resting = rest;
    }

    /// When calls at a server that cannot be reached since a time are taken to be gone. Where the lines in use will
    /// tell, once it speaks again, whether it has started anew, that is as late as the protocol allows.
    pub(super) fn gone_from(&self, since: Time) -> Time {
        let limits = &self.shared.limits;
        let by_silence = if self.restart.is_telling() { self.word + limits.gone } else { 0 };
        by_silence.max(since + limits.vanished)
    }

    /// Takes note of the lines in use that a server states. One that speaks again on a new connection, with hardly a line in
    /// use, may have lost the calls that stood there, whose callers would else wait for the list to say so.
    pub(super) fn lines_told(&mut self, message: &Message, connection: ConnectionId) {
        let Some(report) = message.report().filter(|_| message.is_state()) else { return };
        let (Some(lines), Some(free)) = (report.lines, report.free) else { return };
        let Some(opened) = self.connections.get(connection).map(|c| c.opened) else { return };
        let after_silence = opened > self.word && self.now > self.word + self.shared.limits.silent;
        self.restart.told(self.now, lines - free, after_silence, self.standing.ids());
    }

    /// Calls that were lost as the server's process was replaced.
    pub(super) fn end_lost_calls(&mut self) -> Vec<Input> {
        let lost = self.restart.take_lost(self.now).into_iter();
        let lost: Vec<CallId> = lost.filter(|call| self.standing.remove(*call)).collect();
        lost.into_iter().map(|id| self.cut(id)).collect()
    }

    /// A wait before the server is connected to again. Guards a site that is lost, and the path to it, against
    /// hundreds of proxies that each connect to all of its servers once a second.
    pub(super) fn again(&mut self) -> Time {
        let shared = self.shared.clone();
        let limits = &shared.limits;
        match (self.resting, self.unreached.filter(|_| !self.standing.is_empty())) {
            (false, _) => self.now + self.drawn(limits.reconnect),
            // What stands there is gone if the next connect fails as well, and that has to be late enough.
            (true, Some(since)) => {
                let late = self.gone_from(since).saturating_sub(limits.connect.as_micros() as Time);
                self.now.max(late) + self.drawn(limits.awake)
            }
            (true, None) => self.now + self.drawn(limits.resting),
        }
    }

    /// Guards a server's few connections against hundreds of proxies that each ask for more, again and again.
    pub(super) fn spare(&mut self) {
        self.more_at = self.now + self.drawn(self.shared.limits.sparing);
    }

    pub(super) fn lives(&mut self) {
        self.heard = self.now;
        self.unreached = None;
    }

    /// A connection never came up: it was refused, or not answered in time.
    pub(super) fn connection_failed(&mut self, conn: ConnectionId, refused: bool) -> Vec<Input> {
        let mut inputs = self.lose(conn);
        let looked = std::mem::take(&mut self.looking);
        if !self.connections.any_connecting() {
            inputs.extend(self.fail_queue(Outcome::NoRoute));
        }
        let now = self.now;
        // Guards the calls that stand at a server that drains or has no connection left: one that
        // refuses while those it has stay open lives, as a process that dies resets them.
        let open = self.connections.any_up();
        // Unless these have gone dead: with calls standing there, a server has a word now and then. Guards
        // their callers against a machine that is gone, but whose end no reset has told.
        let dead = !open || looked && now >= self.word + self.shared.limits.mute;
        if refused && !dead {
            self.lives();
            self.spare();
            return inputs;
        }
        let since = *self.unreached.get_or_insert(now);
        self.connect_at = Some(self.again());
        // Nobody listens any more, or nothing comes through: the process is gone, and what stood
        // there with it.
        let dead = refused && (self.connections.is_empty() || open);
        if dead || now >= self.gone_from(since) {
            inputs.extend(self.died());
        }
        inputs
    }
}

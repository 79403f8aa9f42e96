//! Releases of calls that stand: ours, the server's, and those that were lost on their way.

use super::*;

impl Link {
    /// When a connection is opened for releases that may have been lost on another.
    pub(super) fn refresh_due(&self) -> Option<Time> {
        if self.connections.any_connecting() {
            return None;
        }
        let heard_until = self.standing.heard_until(|id| self.connections.get(id).map(|c| c.last_word))?;
        let due = self.refresh.due(heard_until);
        let busy = |id: ConnectionId| self.setups.values().any(|o| o.conn == id);
        match self.vacating {
            Some((connection, until)) if busy(connection) => Some(due.max(until)),
            _ => Some(due),
        }
    }

    /// A connection that the server's words no longer reach, with calls on it, and when these are given up: the server takes no
    /// further connection on which it could release them, and what is over has to be told in time.
    pub(super) fn unheard_connection(&self) -> Option<(ConnectionId, Time)> {
        let limits = &self.shared.limits;
        let unheard = |id: ConnectionId| {
            let last_word = self.connections.get(id)?.last_word;
            let lost = self.standing.has_calls(id)
                && self.connections.is_contradicted(id, limits.quiet)
                && !self.refresh.has_opened_since(last_word);
            lost.then_some((id, last_word + limits.mute))
        };
        self.connections.ids().into_iter().filter_map(unheard).min_by_key(|c| c.1)
    }

    /// The calls of a connection may be over or stand, and this side cannot hear of it any more: they are released at the server
    /// and are over for their callers.
    pub(super) fn give_up_calls_on(&mut self, connection: ConnectionId) -> Vec<Input> {
        let calls = self.standing.calls_on(connection);
        for call in &calls {
            self.standing.remove(*call);
            self.release(*call, CAUSE_CUT);
        }
        calls.into_iter().map(|id| self.cut(id)).collect()
    }

    pub(super) fn cut(&self, id: CallId) -> Input {
        Input::Over { id, server: self.server, cause: CAUSE_CUT, report: None }
    }

    pub(super) fn open_for_releases(&mut self) -> Vec<Input> {
        let mut inputs = Vec::new();
        let setups = self.open_setups();
        let room = self.connections.least_needed(&setups, |id| self.standing.has_calls(id));
        if let Some(room) = room.filter(|_| self.is_full()) {
            if setups.contains_key(&room) && self.vacating.is_none() {
                let until = self.now + self.shared.limits.releases.vacate_timeout.as_micros() as Time;
                self.vacating = Some((room, until));
                return inputs;
            }
            inputs.extend(self.lose(room));
        }
        self.connect_for(true);
        inputs
    }

    /// The server has spoken for the first time on a connection.
    pub(super) fn first_word_came(&mut self, newest: ConnectionId) {
        let Some(connection) = self.connections.get(newest) else { return };
        let for_releases = connection.for_releases;
        self.refresh.opened(connection.started);
        if !for_releases {
            return;
        }
        let interval = self.shared.limits.releases.refresh_interval.as_micros() as Time;
        let has_calls = |id| self.standing.has_calls(id);
        for id in self.connections.replaced_by(newest, &self.open_setups(), has_calls, interval) {
            self.close(id);
        }
    }

    /// Guards against a call that stands for ever at a server that cannot be reached now: its release goes out
    /// with the next connection.
    pub(super) fn release(&mut self, call: CallId, cause: u8) {
        match self.connections.last_heard() {
            Some(conn) => self.release_on(conn, call, cause),
            None => self.releases.push((call, cause)),
        }
    }

    pub(super) fn release_on(&mut self, conn: u64, call: CallId, cause: u8) {
        self.write(conn, bye(call, cause));
        let last_word = |id| self.connections.get(id).map(|c| c.last_word);
        self.sent_releases.sent(self.now, conn, call, cause, last_word);
    }

    /// Keeps the answer to a release of a call that did not stand here until it is passed on. Without an answer the server
    /// says it again on its next connection, which may be that of the process at which the call stood.
    pub(super) fn hear_later(&mut self, call: CallId, conn: u64, heard: Vec<u8>) {
        if self.unacknowledged.len() >= self.shared.limits.undelivered {
            self.unacknowledged.pop_front();
        }
        self.unacknowledged.push_back((call, conn, heard));
    }

    pub(super) fn connect_for(&mut self, releases: bool) {
        let connection = self.connections.start(self.now, releases);
        let part = (self.draw)().clamp(0.0, 1.0);
        self.refresh.attempted(self.now, part);
        self.vacating = None;
        // What its refusal says of a server without a word counts as that of a look for its life.
        self.looking |= releases;
        self.todo.push(LinkCommand::Connect(connection));
    }
}

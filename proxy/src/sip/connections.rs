//! The connections of a link to one setup server, and what each of them is worth. No I/O, no clock.

use fernspan_core::Time;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Number of a connection of one link. None is given twice.
pub type ConnectionId = u64;

/// Set-ups without an answer, by connection; one that is not in it has none.
pub type OpenSetups = BTreeMap<ConnectionId, usize>;

/// One connection to the server, from the order to connect until its end.
pub struct Connection {
    /// When it was asked for. The server has taken it up at that time at the earliest.
    pub started: Time,
    /// Whether it has come up.
    pub up: bool,
    /// When it came up.
    pub opened: Time,
    /// When the server's last word came on it, or else when it came up.
    pub last_word: Time,
    /// Whether the server has said anything on it.
    pub spoken: bool,
    /// When the first set-up went out since the last word.
    pub asked: Option<Time>,
    /// When the server last told its state on it, unless that was its first word, which comes on a new connection alone.
    pub reported: Option<Time>,
    /// It was opened for releases that may have been lost on another.
    pub for_releases: bool,
}

impl Connection {
    /// Whether it has said nothing for longer than `limit` after a set-up.
    pub fn is_quiet(&self, now: Time, limit: Time) -> bool {
        self.asked.is_some_and(|at| now > at + limit)
    }

    /// Takes note that it has come up.
    pub fn came_up(&mut self, now: Time) {
        self.up = true;
        self.opened = now;
        self.last_word = now;
    }

    /// Takes note of a message of the server, which may be the state that it tells on all of its connections.
    pub fn heard(&mut self, now: Time, is_state: bool) {
        if is_state && self.spoken {
            self.reported = Some(now);
        }
        self.last_word = now;
        self.spoken = true;
        self.asked = None;
    }
}

/// All connections of a link.
#[derive(Default)]
pub struct Connections {
    by_id: BTreeMap<ConnectionId, Connection>,
    latest: ConnectionId,
}

impl Connections {
    /// Adds one that is asked for now.
    pub fn start(&mut self, now: Time, for_releases: bool) -> ConnectionId {
        self.latest += 1;
        let connection = Connection {
            started: now,
            up: false,
            opened: 0,
            last_word: 0,
            spoken: false,
            asked: None,
            reported: None,
            for_releases,
        };
        self.by_id.insert(self.latest, connection);
        self.latest
    }

    /// Takes one out that has ended.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.by_id.remove(&id)
    }

    /// The connection of this number, unless it has ended.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.by_id.get(&id)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    /// Whether the connection has not ended.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Their numbers, the oldest first.
    pub fn ids(&self) -> Vec<ConnectionId> {
        self.by_id.keys().copied().collect()
    }

    /// How many there are, those that are not up yet included.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Whether one is on its way up.
    pub fn any_connecting(&self) -> bool {
        self.by_id.values().any(|c| !c.up)
    }

    /// Whether one is up.
    pub fn any_up(&self) -> bool {
        self.by_id.values().any(|c| c.up)
    }

    /// The one that is up and was heard last.
    pub fn last_heard(&self) -> Option<ConnectionId> {
        let up = self.by_id.iter().filter(|(_, c)| c.up);
        up.max_by_key(|(_, c)| c.last_word).map(|(id, _)| *id)
    }

    /// The one without set-ups that was heard longest ago, or of those with set-ups if each has some.
    pub fn longest_unheard(&self, setups: &OpenSetups) -> Option<ConnectionId> {
        self.by_id.iter().min_by_key(|(id, c)| (setups.contains_key(id), c.last_word)).map(|(id, _)| *id)
    }

    /// Whether the server has told its state on another connection, and not on this one, longer than `limit` after this one's
    /// last word: it no longer reaches this side here.
    pub fn is_contradicted(&self, id: ConnectionId, limit: Time) -> bool {
        let Some(last_word) = self.get(id).map(|c| c.last_word) else { return false };
        let later = |c: &Connection| c.reported.is_some_and(|at| at > last_word + limit);
        self.by_id.iter().any(|(other, c)| *other != id && later(c))
    }

    /// Whether each has a set-up open.
    pub fn all_busy(&self, setups: &OpenSetups) -> bool {
        self.by_id.keys().all(|id| setups.contains_key(id))
    }

    /// The one that makes room for another: without set-ups before any with some, and of these without calls that stand on it
    /// and heard longest ago.
    pub fn least_needed(
        &self,
        setups: &OpenSetups,
        has_calls: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let open = |id: &ConnectionId| setups.get(id).copied().unwrap_or(0);
        let need = |id: &ConnectionId, c: &Connection| (open(id), c.spoken && has_calls(*id), c.last_word);
        self.by_id.iter().min_by_key(|(id, c)| need(id, c)).map(|(id, _)| *id)
    }

    /// Those without set-ups that need not be kept once `newest`, which was opened for releases, has been spoken on: their
    /// calls stand to be told by it, as nothing has come on them for `interval`, or it takes their place.
    pub fn replaced_by(
        &self,
        newest: ConnectionId,
        setups: &OpenSetups,
        has_calls: impl Fn(ConnectionId) -> bool,
        interval: Time,
    ) -> Vec<ConnectionId> {
        let Some(started) = self.get(newest).map(|c| c.started) else { return Vec::new() };
        let replaced = |id: &ConnectionId, c: &Connection| {
            let unheard = c.last_word + interval <= started;
            let spent = c.for_releases && !has_calls(*id);
            *id != newest && c.up && !setups.contains_key(id) && (unheard || spent)
        };
        self.by_id.iter().filter(|(id, c)| replaced(id, c)).map(|(id, _)| *id).collect()
    }

    /// The one for the next set-up, `vacating` as the last resort: that with the fewest set-ups open, and how many these are. One that has gone dead or is
    /// about to be reset gets no more, as what it does not answer stays open on it. A server that has no connection left
    /// takes a further one up only to close it, so a connection is not used before the server's first word, which each
    /// begins with.
    pub fn least_loaded(
        &self,
        setups: &OpenSetups,
        now: Time,
        quiet: Time,
        not_on: Option<ConnectionId>,
        vacating: Option<ConnectionId>,
    ) -> Option<(ConnectionId, usize)> {
        let spoken = self.by_id.values().any(|c| c.up && c.spoken);
        let usable = self
            .by_id
            .iter()
            .filter(|(_, c)| c.up && (c.spoken || !spoken) && !c.is_quiet(now, quiet))
            .filter(|(id, _)| Some(**id) != not_on);
        let open = |id: &ConnectionId| setups.get(id).copied().unwrap_or(0);
        let least = usable.min_by_key(|(id, c)| {
            (Some(**id) == vacating, open(id), c.asked.is_some(), Reverse(c.last_word))
        });
        least.map(|(id, _)| (*id, open(id)))
    }

    /// Those that are up, have gone quiet and have no set-up open.
    pub fn quiet_and_free(&self, setups: &OpenSetups, now: Time, quiet: Time) -> Vec<ConnectionId> {
        let free =
            |id: &ConnectionId, c: &Connection| c.up && c.is_quiet(now, quiet) && !setups.contains_key(id);
        self.by_id.iter().filter(|(id, c)| free(id, c)).map(|(id, _)| *id).collect()
    }
}

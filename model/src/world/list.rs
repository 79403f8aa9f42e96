//! The list of servers, and when each proxy is told of a change.

use super::*;

impl World {
    pub(super) fn publish(&mut self, s: usize, state: Listed, late: Range) {
        let place = &self.places[s];
        let change = Change { entry: entry(place, s, state), instance: place.instance, at: self.now };
        self.changes.push(change);
        let number = self.changes.len() - 1;
        let base = self.draw.ms(late);
        for p in 0..self.proxies.len() {
            let spread = (self.draw.unit() * self.scenario.list.spread_ms * 1_000.0) as Time;
            let at = (self.now + base + spread).max(self.proxies[p].last_list);
            self.proxies[p].last_list = at;
            self.at(at, Ev::List(p, number));
            self.at(self.now + ms(self.scenario.rules.told_ms), Ev::Counts(p, number));
        }
    }

    /// An event reaches a proxy's command channel.
    pub(super) fn tell_list(&mut self, p: usize, number: usize) {
        let change = &self.changes[number];
        let (entry, instance) = (change.entry.clone(), change.instance);
        // A loss that has been overtaken by the return is not told any more.
        let overtaken = entry.state == Listed::Deleted
            && self.proxies[p].view.get(&instance).is_some_and(|e| e.started > entry.started);
        if overtaken {
            return;
        }
        if !self.proxies[p].channel {
            self.proxies[p].missed.push(number);
            return;
        }
        self.proxies[p].view.insert(instance, entry.clone());
        if !self.running(p) {
            return;
        }
        let cursor = self.proxies[p].log.last().map_or(0, |e| e.cursor) + 1;
        let serves = entry.state == Listed::Serving;
        let event = ListEvent { cursor, full: false, entries: vec![entry] };
        self.proxies[p].log.push(event.clone());
        self.commands.push_back(Command::List(p, event));
        self.see(Seen::Told { proxy: p, server: instance, serves });
    }

    /// Whether it was read or not, what the channel has to tell counts as told by now.
    pub(super) fn counts_as_told(&mut self, p: usize, number: usize) {
        let change = &self.changes[number];
        let (instance, state, at) = (change.instance, change.entry.state, change.at);
        let newer = self.changes.iter().any(|c| c.instance == instance && c.at > at);
        if state != Listed::Serving && !newer && self.running(p) {
            self.see(Seen::Told { proxy: p, server: instance, serves: false });
        }
    }

    /// Whether a proxy knows when a server's instance started, or counts as told.
    pub(super) fn knows(&self, p: usize, s: usize) -> bool {
        let place = &self.places[s];
        let told = self.proxies[p].view.get(&place.instance);
        told.is_some_and(|e| e.started == place.started)
            || place.started.is_none_or(|at| self.now >= at + ms(self.scenario.rules.told_ms))
    }
}

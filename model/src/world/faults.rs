//! What goes wrong, when it begins and when it ends.

use super::*;

impl World {
    pub(super) fn targets(&mut self, i: usize) -> Vec<usize> {
        if let Some(known) = self.drawn.get(&i) {
            return known.clone();
        }
        let chosen = match &self.plan[i].proxies {
            Targets::Named(named) => named.clone(),
            drawn => {
                let first = self.scenario.proxies.count as usize;
                let mut all: Vec<usize> = (0..first).collect();
                (0..drawn.count(first))
                    .map(|_| all.swap_remove((self.draw.unit() * all.len() as f64) as usize))
                    .collect()
            }
        };
        self.drawn.insert(i, chosen.clone());
        chosen
    }

    pub(super) fn fault_begins(&mut self, i: usize) {
        let (kind, by) = (self.plan[i].kind, self.plan[i].by);
        let proxies = self.targets(i);
        let servers = self.plan[i].servers.clone();
        match kind.subject() {
            Subject::Path => self.path_faults(&proxies, &servers, kind, true),
            Subject::Server => {
                for s in servers {
                    self.server_fault_begins(s, kind, by);
                }
            }
            Subject::Proxy => {
                let until = self.now + (self.plan[i].until - self.plan[i].from);
                for (n, p) in proxies.into_iter().enumerate() {
                    self.proxy_fault_begins(i, n, p, kind, until);
                }
            }
            Subject::Channel => {
                for p in proxies {
                    self.proxies[p].channel = false;
                    self.commands.push_back(Command::Channel(p, false));
                }
            }
        }
    }

    pub(super) fn fault_ends(&mut self, i: usize) {
        let kind = self.plan[i].kind;
        let proxies = self.targets(i);
        let servers = self.plan[i].servers.clone();
        match kind.subject() {
            Subject::Path => self.path_faults(&proxies, &servers, kind, false),
            Subject::Server => {
                for s in servers {
                    self.server_fault_ends(s, kind);
                }
            }
            Subject::Proxy => {
                let step = self.plan[i].step;
                for p in proxies {
                    match kind {
                        Kind::Pause if self.proxies[p].life == Life::Stopped => {
                            self.proxies[p].life = Life::Up;
                            self.serves(p, true);
                            self.see(Seen::Continued(p));
                            self.commands.push_back(Command::Process(p, Signal::Continue(step)));
                        }
                        Kind::Kill | Kind::Restart if self.proxies[p].life == Life::Down => {
                            self.start_proxy(p);
                        }
                        _ => {}
                    }
                }
            }
            Subject::Channel => {
                for p in proxies {
                    self.proxies[p].channel = true;
                    self.commands.push_back(Command::Channel(p, true));
                    for change in std::mem::take(&mut self.proxies[p].missed) {
                        self.tell_list(p, change);
                    }
                }
            }
        }
    }

    pub(super) fn proxy_fault_begins(&mut self, fault: usize, nth: usize, p: usize, kind: Kind, until: Time) {
        if !self.running(p) {
            return;
        }
        let run = self.proxies[p].run;
        match kind {
            Kind::Kill => {
                self.proxies[p].life = Life::Killed;
                self.proxies[p].again = Some(until);
                self.commands.push_back(Command::Process(p, Signal::Kill));
            }
            Kind::Pause if self.proxies[p].life == Life::Up => {
                self.proxies[p].life = Life::Stopped;
                self.see(Seen::Paused(p));
                self.commands.push_back(Command::Process(p, Signal::Stop));
                self.at(self.now + NOTICE, Ev::Notice(p, false, run));
            }
            Kind::Restart => {
                self.proxies[p].again = Some(until);
                self.terminate(p);
            }
            Kind::Swap => {
                let first = self.scenario.proxies.count as usize;
                let before = self.plan[..fault].iter().filter(|f| f.kind == Kind::Swap);
                let new = first + before.map(|f| f.proxies.count(first)).sum::<usize>() + nth;
                if let Some(newcomer) = self.proxies.get_mut(new) {
                    newcomer.replaces = Some(p);
                    self.start_proxy(new);
                }
            }
            _ => {}
        }
    }

    pub(super) fn path_faults(&mut self, proxies: &[usize], servers: &[usize], kind: Kind, begins: bool) {
        for p in proxies {
            for s in servers {
                self.path_fault(*p, *s, kind, begins);
            }
        }
    }

    pub(super) fn path_fault(&mut self, p: usize, s: usize, kind: Kind, begins: bool) {
        let n = p * self.places.len() + s;
        let path = &mut self.paths[n];
        match kind {
            Kind::Drop | Kind::Stall => {
                (path.to_server, path.to_proxy, path.silent) = (begins, begins, begins);
            }
            Kind::ToServer => (path.to_server, path.silent) = (begins, begins),
            Kind::ToProxy => (path.to_proxy, path.silent) = (begins, begins),
            Kind::Refuse => path.refuse = begins,
            _ => {}
        }
        self.look_at_mode(p, s);
        for conn in self.between[n].clone() {
            match (kind, begins) {
                (Kind::Drop | Kind::HalfOpen, true) => self.forget(conn),
                (Kind::Reset, true) | (Kind::Drop, false) => self.reset(conn),
                (_, false) => self.flow(conn),
                _ => {}
            }
        }
    }

    /// The server's end of a connection is gone, and the other does not know.
    pub(super) fn forget(&mut self, id: ServerConn) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| !c.dead) else { return };
        conn.dead = true;
        conn.up.clear();
        conn.down.clear();
        let (place, instance) = (conn.place, conn.instance);
        if self.places[place].instance == instance {
            self.places[place].open = self.places[place].open.saturating_sub(1);
            self.give_up_all(place, id);
        }
    }

    /// The set-ups open on a connection that has ended are given up at the server.
    pub(super) fn give_up_all(&mut self, place: usize, id: ServerConn) {
        let here = &self.places[place];
        let waiting: Vec<CallId> = here
            .calls
            .iter()
            .filter(|(call, c)| c.0 == id && !here.server.stands(**call))
            .map(|(call, _)| *call)
            .collect();
        let mut does = std::mem::take(&mut self.does);
        for call in waiting {
            self.places[place].calls.remove(&call);
            self.places[place].server.give_up(self.now, call, &mut does);
            let server = self.places[place].instance;
            self.see(Seen::Ended { server, call, end: End::MayHaveRun });
        }
        self.carry_out(place, does);
    }

    /// Ends a connection with a reset from the server's side.
    pub(super) fn reset(&mut self, id: ServerConn) {
        if self.conns.contains_key(&id) {
            self.commands.push_back(Command::CloseServer(id, true));
            self.server_down(id);
        }
    }

    /// A connection has ended.
    pub(super) fn server_down(&mut self, id: ServerConn) {
        let Some(conn) = self.conns.remove(&id) else { return };
        self.between[conn.proxy * self.places.len() + conn.place].retain(|c| *c != id);
        if conn.dead {
            return;
        }
        let place = conn.place;
        if self.places[place].instance == conn.instance {
            self.places[place].open = self.places[place].open.saturating_sub(1);
            self.give_up_all(place, id);
        }
    }

    pub(super) fn server_fault_begins(&mut self, s: usize, kind: Kind, by: f64) {
        match kind {
            Kind::Slow => self.places[s].server.set_slower(by),
            Kind::Erring => self.places[s].server.set_erring(by),
            Kind::Deaf => self.places[s].server.set_deaf(true),
            Kind::Silent => {
                self.stop_server(s);
                self.places[s].silent = true;
                for conn in self.conns_at(s) {
                    self.forget(conn);
                }
                self.publish(s, Listed::Deleted, self.scenario.list.lost_ms);
            }
            Kind::Crash => {
                self.stop_server(s);
                self.close_all(s);
                self.places[s].gone = true;
                self.publish(s, Listed::Deleted, self.scenario.list.lost_ms);
            }
            Kind::Replace | Kind::Drain => {
                self.publish(s, Listed::Draining, self.scenario.list.planned_ms);
            }
            _ => {}
        }
        self.look_at_modes(s);
        self.touch(s);
    }

    pub(super) fn server_fault_ends(&mut self, s: usize, kind: Kind) {
        match kind {
            Kind::Slow => self.places[s].server.set_slower(1.0),
            Kind::Erring => self.places[s].server.set_erring(0.0),
            Kind::Deaf => self.places[s].server.set_deaf(false),
            Kind::Drain => self.publish(s, Listed::Serving, self.scenario.list.planned_ms),
            Kind::Silent | Kind::Crash => {
                // What its other end still holds open is answered with a reset now.
                self.close_all(s);
                self.places[s].silent = false;
                self.places[s].gone = false;
                self.start_server(s, false);
                self.publish(s, Listed::Serving, self.scenario.list.planned_ms);
            }
            Kind::Replace => {
                // It says of each call that it is cut before it stops.
                let standing: Vec<CallId> = self.places[s].calls.keys().copied().collect();
                for call in standing {
                    if self.places[s].server.stands(call) {
                        self.say_over(s, call, true);
                    }
                }
                self.stop_server(s);
                self.publish(s, Listed::Deleted, self.scenario.list.planned_ms);
                self.close_all(s);
                self.start_server(s, true);
                self.publish(s, Listed::Serving, self.scenario.list.planned_ms);
            }
            _ => {}
        }
        self.look_at_modes(s);
        self.touch(s);
    }

    /// The calls at a server end with it, and nobody says so.
    pub(super) fn stop_server(&mut self, s: usize) {
        let server = self.places[s].instance;
        for call in self.places[s].server.stop() {
            self.see(Seen::Over { server, call });
        }
        let open = std::mem::take(&mut self.places[s].calls);
        for call in open.into_keys() {
            self.see(Seen::Ended { server, call, end: End::MayHaveRun });
        }
        self.places[s].unheard.clear();
    }

    pub(super) fn close_all(&mut self, s: usize) {
        for conn in self.conns_at(s) {
            self.reset(conn);
        }
        self.places[s].open = 0;
    }

    /// A server starts cold: the same one, or another at the same address.
    pub(super) fn start_server(&mut self, s: usize, another: bool) {
        self.instances += u32::from(another);
        let seed = self.draw.number();
        let place = &mut self.places[s];
        if another {
            place.instance = self.instances - 1;
            place.id = format!("s-{s}-{}", place.instance);
        }
        place.started = Some(self.now);
        let spec = &self.scenario.servers[place.group];
        let tally = place.server.tally;
        place.server = Server::new(spec, &self.scenario.rules, seed, Some(self.now), self.now);
        place.server.tally = tally;
        place.open = 0;
        place.due = None;
    }
}

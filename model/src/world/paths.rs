//! Paths and connections between proxies and servers, with what they hold, and the servers at their ends.

use super::*;

impl World {
    pub(super) fn look_at_modes(&mut self, s: usize) {
        for p in 0..self.proxies.len() {
            self.look_at_mode(p, s);
        }
    }

    pub(super) fn look_at_mode(&mut self, p: usize, s: usize) {
        let n = p * self.places.len() + s;
        let (path, place) = (&self.paths[n], &self.places[s]);
        let mode = if path.silent || place.silent {
            Mode::Silent
        } else if path.refuse || place.gone || place.server.is_down() {
            Mode::Refused
        } else {
            Mode::Open
        };
        if self.modes[n] != mode {
            self.modes[n] = mode;
            self.commands.push_back(Command::Listen(p, s, mode));
        }
    }

    /// All connections to a place.
    pub(super) fn conns_at(&self, s: usize) -> Vec<ServerConn> {
        let places = self.places.len();
        self.between.iter().skip(s).step_by(places).flatten().copied().collect()
    }

    /// A connection of a proxy to a place has come up; `None` where it is to be closed without a word.
    pub fn accept(&mut self, now: Time, p: usize, s: usize) -> Option<ServerConn> {
        self.run(now);
        let full = self.places[s].open >= self.scenario.servers[self.places[s].group].connections;
        self.record.connections += 1;
        if self.mode(p, s) != Mode::Open || full || !self.running(p) {
            self.record.connections_refused += 1;
            return None;
        }
        self.next_conn += 1;
        let id = self.next_conn;
        self.places[s].open += 1;
        let instance = self.places[s].instance;
        let conn =
            Conn { proxy: p, place: s, instance, dead: false, up: VecDeque::new(), down: VecDeque::new() };
        self.conns.insert(id, conn);
        let n = p * self.places.len() + s;
        self.between[n].push(id);
        let lives = |c: &&ServerConn| self.conns.get(c).is_some_and(|c| !c.dead);
        let open = self.between[n].iter().filter(lives).count();
        self.see(Seen::Connected { proxy: p, server: instance, open });
        let state = self.places[s].server.state();
        self.write(id, FromServer::Notify(state));
        let unheard: Vec<(CallId, bool)> =
            self.places[s].unheard.get(&p).into_iter().flatten().map(|(call, cut)| (*call, *cut)).collect();
        for (call, cut) in unheard {
            self.write(id, FromServer::Bye(call, cut, state));
        }
        Some(id)
    }

    pub(super) fn path(&self, p: usize, s: usize) -> (Path, Time) {
        let n = p * self.places.len() + s;
        (self.paths[n], self.delays[n])
    }

    /// A proxy's message comes into its path.
    pub(super) fn comes_in(&mut self, id: ServerConn, message: ToServer) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (p, s, server, dead) = (conn.proxy, conn.place, conn.instance, conn.dead);
        match &message {
            ToServer::Invite { call, class, number, description, .. } => {
                self.record.attempts += 1;
                self.see(Seen::Sent {
                    proxy: p,
                    server,
                    call: *call,
                    class: class.clone(),
                    number: number.clone(),
                    description: description.clone(),
                });
            }
            ToServer::Cancel(call) => self.see(Seen::GivenUp { server, call: *call }),
            ToServer::Bye(call) => {
                self.see(Seen::GivenUp { server, call: *call });
                self.see(Seen::OverTold { server, call: *call });
            }
            ToServer::ByeHeard(_) => {}
            ToServer::Other => return,
        }
        if !dead {
            let (_, delay) = self.path(p, s);
            self.at(self.now + delay, Ev::ToServer(id, message));
        }
    }

    /// It has come to the end of its path, unless that holds it.
    pub(super) fn arrives(&mut self, id: ServerConn, message: ToServer) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| !c.dead) else { return };
        conn.up.push_back(message);
        self.flow(id);
    }

    /// A server's message comes into its path.
    pub(super) fn write(&mut self, id: ServerConn, message: FromServer) {
        let Some(conn) = self.conns.get(&id).filter(|c| !c.dead) else { return };
        let (_, delay) = self.path(conn.proxy, conn.place);
        self.at(self.now + delay, Ev::ToProxy(id, message));
    }

    pub(super) fn goes_out(&mut self, id: ServerConn, message: FromServer) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| !c.dead) else { return };
        conn.down.push_back(message);
        self.flow(id);
    }

    /// Passes on what has come to the ends of a connection's path and is not held there.
    pub(super) fn flow(&mut self, id: ServerConn) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (path, _) = self.path(conn.proxy, conn.place);
        let server = conn.instance;
        while !path.to_server
            && let Some(message) = self.conns.get_mut(&id).and_then(|c| c.up.pop_front())
        {
            self.serve(id, message);
        }
        while !path.to_proxy
            && let Some(message) = self.conns.get_mut(&id).and_then(|c| c.down.pop_front())
        {
            if let FromServer::Bye(call, ..) = &message {
                self.see(Seen::OverTold { server, call: *call });
            }
            self.commands.push_back(Command::ServerSend(id, message));
        }
    }

    /// A message has come whole to a server.
    pub(super) fn serve(&mut self, id: ServerConn, message: ToServer) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (p, s, server) = (conn.proxy, conn.place, conn.instance);
        if self.places[s].instance != server {
            return;
        }
        let mut does = std::mem::take(&mut self.does);
        match message {
            ToServer::Invite { call, sequence, .. } => {
                self.see(Seen::Arrived { server, call });
                let told = self.knows(p, s);
                self.places[s].calls.insert(call, (id, sequence, p));
                self.places[s].server.setup(self.now, call, told, &mut does);
            }
            ToServer::Cancel(call) => {
                if !self.places[s].server.stands(call) {
                    self.places[s].calls.remove(&call);
                    self.places[s].server.give_up(self.now, call, &mut does);
                }
            }
            ToServer::Bye(call) => {
                self.places[s].calls.remove(&call);
                if let Some(unheard) = self.places[s].unheard.get_mut(&p) {
                    unheard.remove(&call);
                }
                self.places[s].server.give_up(self.now, call, &mut does);
                self.write(id, FromServer::ByeHeard(call));
            }
            ToServer::ByeHeard(call) => {
                if let Some(unheard) = self.places[s].unheard.get_mut(&p) {
                    unheard.remove(&call);
                }
            }
            ToServer::Other => {}
        }
        self.carry_out(s, does);
    }

    /// What a server does goes to the proxies.
    pub(super) fn carry_out(&mut self, s: usize, mut does: Vec<Does>) {
        for did in does.drain(..) {
            let server = self.places[s].instance;
            let state = self.places[s].server.state();
            match did {
                Does::Stands(call) => {
                    let Some((conn, sequence, _)) = self.places[s].calls.get(&call).copied() else {
                        continue;
                    };
                    let description = format!("{call:016x}\r\nc=IN IP4 10.9.{s}.{}\r\n", sequence % 250);
                    let made = description.clone().into_bytes();
                    self.see(Seen::Stands { server, call, description: made });
                    let (hold, _) = self.callers.length();
                    self.places[s].server.hold(self.now, call, hold);
                    self.write(conn, FromServer::Stands(call, sequence, description, state));
                }
                Does::Refuses(call, no) => {
                    let Some((conn, sequence, _)) = self.places[s].calls.remove(&call) else { continue };
                    self.record.server_refusals += 1;
                    let end = End::Refused;
                    self.see(Seen::Ended { server, call, end });
                    self.write(conn, FromServer::Refuses(call, sequence, no, state));
                }
                Does::Releases(call) => self.say_over(s, call, false),
                Does::Falls(knew) => {
                    if !self.places[s].server.is_down() {
                        self.record.falls += 1;
                        self.see(Seen::Fell { server, knew });
                        self.stop_server(s);
                        self.close_all(s);
                        self.places[s].gone = true;
                        self.publish(s, Listed::Deleted, self.scenario.list.lost_ms);
                        self.look_at_modes(s);
                    }
                }
                Does::Tells => {
                    for conn in self.conns_at(s) {
                        self.write(conn, FromServer::Notify(state));
                    }
                }
            }
        }
        if self.does.capacity() == 0 {
            self.does = does;
        }
        self.touch(s);
    }

    /// A call is over; it is said on the connection of its set-up, failing that on any, and on the next.
    pub(super) fn say_over(&mut self, s: usize, call: CallId, cut: bool) {
        let Some((own, _, p)) = self.places[s].calls.remove(&call) else { return };
        self.see(Seen::Over { server: self.places[s].instance, call });
        self.places[s].unheard.entry(p).or_default().insert(call, cut);
        let lives = |id: &ServerConn| self.conns.get(id).is_some_and(|c| !c.dead);
        let any = || {
            let of = &self.between[p * self.places.len() + s];
            of.iter().copied().rfind(lives)
        };
        let state = self.places[s].server.state();
        if let Some(conn) = Some(own).filter(lives).or_else(any) {
            self.write(conn, FromServer::Bye(call, cut, state));
        }
    }

    pub(super) fn touch(&mut self, s: usize) {
        let due = self.places[s].server.due();
        if due != self.places[s].due {
            self.places[s].due = due;
            if let Some(at) = due {
                self.at(at, Ev::Server(s));
            }
        }
    }
}

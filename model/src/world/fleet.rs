//! The proxies' processes: started, stopped, restarted and replaced.

use super::*;

impl World {
    pub(super) fn start_proxy(&mut self, p: usize) {
        let known: Vec<Entry> =
            self.proxies[p].view.values().filter(|e| e.state != Listed::Deleted).cloned().collect();
        let draining: Vec<u32> = self.proxies[p]
            .view
            .iter()
            .filter(|(_, e)| e.state != Listed::Serving)
            .map(|(instance, _)| *instance)
            .collect();
        let proxy = &mut self.proxies[p];
        proxy.run += 1;
        proxy.life = Life::Starting;
        proxy.again = None;
        proxy.log = vec![ListEvent { cursor: 1, full: true, entries: known }];
        let run = proxy.run;
        self.see(Seen::Up(p));
        for server in draining {
            self.see(Seen::Told { proxy: p, server, serves: false });
        }
        self.commands.push_back(Command::Process(p, Signal::Start));
        self.at(self.now + READY, Ev::NotReady(p, run));
    }

    pub(super) fn ready(&mut self, p: usize) {
        if self.proxies[p].life != Life::Starting {
            return;
        }
        self.proxies[p].life = Life::Up;
        self.serves(p, true);
        if let Some(old) = self.proxies[p].replaces.take() {
            self.proxies[p].weight = self.proxies[old].weight;
            self.terminate(old);
        }
    }

    pub(super) fn terminate(&mut self, p: usize) {
        if !self.running(p) {
            return;
        }
        self.proxies[p].life = Life::Terminated(self.now);
        let run = self.proxies[p].run;
        self.commands.push_back(Command::Process(p, Signal::Term));
        self.at(self.now + TERM_NOTICE, Ev::Notice(p, false, run));
        self.at(self.now + TERM_KILL, Ev::KillLate(p, run));
    }

    pub(super) fn ended(&mut self, p: usize) {
        let how = match self.proxies[p].life {
            Life::Down => return,
            Life::Killed => Gone::Killed,
            Life::Terminated(at) => Gone::After(at),
            Life::Starting | Life::Up | Life::Stopped => Gone::Unasked,
        };
        let run = self.proxies[p].run;
        self.proxies[p].life = Life::Down;
        self.see(Seen::Gone(p, how));
        if how != Gone::Unasked {
            self.at(self.now + NOTICE, Ev::Notice(p, false, run));
        }
        let conns: Vec<CallerConn> = self.proxies[p].conns.iter().copied().collect();
        for conn in conns {
            self.commands.push_back(Command::CloseCaller(conn));
            self.caller_down(conn);
        }
        let of = p * self.places.len()..(p + 1) * self.places.len();
        let gone: Vec<ServerConn> = self.between[of].iter().flatten().copied().collect();
        for conn in gone {
            self.commands.push_back(Command::CloseServer(conn, false));
            self.server_down(conn);
        }
        match self.proxies[p].again {
            Some(at) if at <= self.now => self.start_proxy(p),
            _ => {}
        }
    }
}

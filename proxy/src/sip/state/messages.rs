//! What the server says.

use super::*;

impl Link {
    pub(super) fn message(&mut self, conn: u64, m: Message) -> Vec<Input> {
        match &m.start {
            Start::Request { method } => match method.as_str() {
                "BYE" => {
                    let heard = m.response("200 OK");
                    let Some(id) = m.call() else {
                        self.write(conn, heard);
                        return Vec::new();
                    };
                    // An answer may still come for one that was open, and nobody waits for it.
                    self.restart.released();
                    let known = self.standing.remove(id) | self.setups.remove(&id).is_some();
                    match known {
                        true => self.write(conn, heard),
                        false => self.hear_later(id, conn, heard),
                    }
                    let cause = m.cause().unwrap_or(CAUSE_NORMAL);
                    vec![Input::Over { id, server: self.server, cause, report: m.report() }]
                }
                "NOTIFY" => m.report().map(|r| Input::Room(self.server, r)).into_iter().collect(),
                "OPTIONS" => {
                    self.write(conn, m.response("200 OK"));
                    Vec::new()
                }
                _ => Vec::new(),
            },
            Start::Response { status } => {
                let status = *status;
                let Some(call) = m.call().filter(|_| status >= 200) else { return Vec::new() };
                match m.sequence() {
                    Some((sequence, "INVITE")) => self.answered(conn, call, sequence, status, m),
                    // One that comes late, twice or on another connection finds no probe, and is no report.
                    Some((_, "OPTIONS")) => {
                        let answered = self.probe.take_if(|p| p.conn == conn && p.id == call);
                        answered.map(|_| self.probed(status < 300, m.report())).into_iter().collect()
                    }
                    Some((_, "BYE")) => {
                        self.sent_releases.acknowledged(call);
                        Vec::new()
                    }
                    _ => Vec::new(),
                }
            }
        }
    }

    /// A final response to an `INVITE`. Whoever it is for, it gets its `ACK`.
    ///
    /// It is matched by call and connection. Guards against taking all answers but the first attempt's for late
    /// ones: servers answer with `CSeq: 1 INVITE` whatever number was asked. Any other number has to fit.
    pub(super) fn answered(
        &mut self,
        conn: u64,
        call: CallId,
        sequence: u32,
        status: u16,
        m: Message,
    ) -> Vec<Input> {
        let fits = |o: &Out| o.conn == conn && (sequence == 1 || sequence == o.attempt + 1);
        let known = self.setups.get(&call).is_some_and(fits);
        // Guards the caller against a description that is noise, and the other set-ups against the connection,
        // which can't be trusted any more. The call may stand there, so it is released.
        if known && status < 300 && !m.describes() {
            tracing::warn!(server = self.server, call = %Hex(call), "an answer without a description");
            let inputs = self.lose(conn);
            self.release(call, CAUSE_NORMAL);
            return inputs;
        }
        let out = if known { self.setups.remove(&call) } else { None };
        let number = out.as_ref().map_or("unknown", |o| &o.number);
        self.write(conn, follow_up("ACK", number, call, sequence, ""));
        match out {
            Some(o) if status < 300 => {
                self.standing.add(call, conn);
                let (attempt, payload) = (o.attempt, m.body.into());
                vec![Input::Stood { id: call, attempt, server: self.server, payload }]
            }
            Some(o) => {
                let (now, copy) = (self.now, self.shared.limits.copy);
                self.refused.retain(|r| now < r.2 + copy);
                self.refused.push_back((call, conn, now));
                vec![self.ended(call, o.attempt, refusal(status, &m, self.shared.gives_wait))]
            }
            // Guards against an answer that crossed its CANCEL: nobody waits for this call here. A second copy
            // of the answer that stands must not end it.
            //
            // On whichever connection is open: this one may have been closed by this side, as another answer on it
            // could not be read.
            None if status < 300 && !self.standing.contains(call) => {
                self.release(call, CAUSE_NORMAL);
                Vec::new()
            }
            None => Vec::new(),
        }
    }
}

//! The rules of a call, whatever wire it came by. Sans I/O: inputs with the time go in, outputs come out.
//!
//! The [`Controller`] decides; the engine keeps the call table and sees to it that a call gets one final
//! answer, has one attempt out at most, is answered in time, waits for its release, and that nothing goes
//! to a server that drains.

use crate::classes::ClassTable;
use crate::limits::Limits;
use crate::reasons::{AnswerReason, Note, WithholdReason};
use crate::remembered_calls::RememberedCalls;
use fernspan_core::{
    Action, CallId, Class, Controller, Entry, Event, ListKind, NewCall, Outcome, Report, ServerId, State,
    Time,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

mod message;

pub use message::{
    AttemptRules, CAUSE_CUT, CAUSE_NORMAL, End, Input, Order, Output, Payload, Progress, Reply, Request,
    Setup, Source,
};

/// The source of calls that were taken over from another process; connections are numbered from 1.
const NO_SOURCE: Source = 0;

enum Stage {
    Open {
        deadline: Time,
        out: Option<(u32, ServerId, Time)>,
        attempts: u32,
        /// As many as the settings allowed when it came.
        attempt_limit: u32,
        not_before: Time,
        /// An attempt may have run: nothing has said that it did not.
        may_have_run: bool,
    },
    Stands {
        attempt: u32,
        server: ServerId,
        since: Time,
    },
}

impl Stage {
    /// Whether a server may have run the call.
    fn may_have_run(&self) -> bool {
        match self {
            Stage::Open { out, may_have_run, .. } => out.is_some() || *may_have_run,
            Stage::Stands { .. } => true,
        }
    }
}

struct Call {
    source: Source,
    class: usize,
    number: String,
    payload: Payload,
    stage: Stage,
}

/// One controller, its calls and its rules.
pub struct Engine {
    controller: Controller,
    attempt_limit: u32,
    classes: ClassTable,
    release_wait: Time,
    hold_off: Option<Time>,
    may_probe: bool,
    margin: Time,
    most_open: usize,
    now: Time,
    calls: HashMap<CallId, Call>,
    ended: RememberedCalls,
    /// Calls of those that may have run at a server.
    ran: RememberedCalls,
    timers: BTreeSet<(Time, u64)>,
    deadlines: BTreeSet<(Time, CallId)>,
    servers: BTreeMap<ServerId, (State, Option<Time>)>,
    stop_at: Option<Time>,
}

impl Engine {
    pub fn new(settings: fernspan_core::Settings, seed: u64, limits: &Limits) -> Self {
        Engine {
            attempt_limit: settings.attempt_limit,
            classes: ClassTable::new(settings.classes.clone()),
            release_wait: settings.release_wait,
            hold_off: settings.max_hold_off,
            may_probe: settings.may_probe,
            margin: limits.margin,
            most_open: limits.open_calls,
            controller: Controller::new(settings, seed),
            now: 0,
            calls: HashMap::new(),
            ended: RememberedCalls::new(limits.remembered),
            ran: RememberedCalls::new(limits.remembered),
            timers: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            servers: BTreeMap::new(),
            stop_at: None,
        }
    }

    /// The classes, by number.
    pub fn classes(&self) -> &ClassTable {
        &self.classes
    }

    /// Goes by other settings from now on. Open calls keep their class, deadline and number of attempts; what is known of
    /// the servers and all calls stays.
    pub fn reconfigure(&mut self, mut settings: fernspan_core::Settings, most_open: usize) {
        let open = |call: &&Call| matches!(call.stage, Stage::Open { .. });
        let in_use: BTreeSet<usize> = self.calls.values().filter(open).map(|call| call.class).collect();
        let replaced = self.classes.replace(std::mem::take(&mut settings.classes), &in_use);
        let listed: BTreeSet<usize> = self.classes.listed().map(|(number, _)| number).collect();
        settings.classes = self.classes.all_rules();
        self.attempt_limit = settings.attempt_limit;
        self.release_wait = settings.release_wait;
        self.hold_off = settings.max_hold_off;
        self.may_probe = settings.may_probe;
        self.most_open = most_open;
        self.controller.reconfigure(settings, &listed, &replaced);
    }

    /// How many setup servers are listed, and how many of them are avoided now.
    pub fn targets(&self) -> (usize, usize) {
        let avoided = |(id, (state, _)): &(&ServerId, &(State, Option<Time>))| {
            *state != State::Ready || self.controller.avoids(**id)
        };
        (self.servers.len(), self.servers.iter().filter(avoided).count())
    }

    /// What the settings say of a call's attempts.
    pub fn attempt_rules(&self) -> AttemptRules {
        AttemptRules { limit: self.attempt_limit, release_wait: self.release_wait }
    }

    /// When `handle_due` wants to be called next.
    pub fn due(&self) -> Option<Time> {
        let timer = self.timers.first().map(|t| t.0);
        let deadline = self.deadlines.first().map(|t| t.0);
        timer.into_iter().chain(deadline).min()
    }

    /// Set-ups that have no final answer yet.
    pub fn open(&self) -> usize {
        self.deadlines.len()
    }

    /// Whether this process has the call, or had it.
    pub fn knows(&self, id: CallId) -> bool {
        self.calls.contains_key(&id) || self.ended.contains(id)
    }

    /// What became of the calls of this process: first those that are open or stand, then the latest that have ended.
    pub fn progress(&self) -> impl Iterator<Item = (CallId, Progress)> {
        let known = self.calls.iter().map(|(id, call)| match call.stage {
            Stage::Open { .. } => (*id, Progress::Open),
            Stage::Stands { server, .. } => (*id, Progress::Stands(server)),
        });
        known.chain(self.ended.latest().map(|id| (id, Progress::Ended)))
    }

    /// Takes over a call that stood at another process of this proxy, which is gone.
    pub fn adopt(&mut self, now: Time, id: CallId, server: ServerId) {
        self.now = self.now.max(now);
        let stage = Stage::Stands { attempt: 0, server, since: self.now };
        let call = Call { source: NO_SOURCE, class: 0, number: String::new(), payload: Rc::default(), stage };
        self.calls.entry(id).or_insert(call);
    }

    /// Another process of this proxy has ended the call: one that was taken over here is over. Gives the server at which it
    /// stood.
    pub fn disown(&mut self, id: CallId) -> Option<ServerId> {
        let Stage::Stands { server, .. } = self.calls.get(&id).filter(|call| call.source == NO_SOURCE)?.stage
        else {
            return None;
        };
        self.calls.remove(&id);
        Some(server)
    }

    /// Whether the call stands here.
    pub fn stands(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|call| matches!(call.stage, Stage::Stands { .. }))
    }

    /// Calls that were taken and have not ended: set-ups that are open, and calls that stand.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Carries out what is due by now.
    pub fn handle_due(&mut self, now: Time, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        while let Some((at, id)) = self.deadlines.first().copied().filter(|d| d.0 <= self.now) {
            self.deadlines.remove(&(at, id));
            self.overdue(id, out);
        }
        while let Some(timer) = self.timers.first().copied().filter(|t| t.0 <= self.now) {
            self.timers.remove(&timer);
            self.tell(Event::Timer(timer.1), out);
        }
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Call(request) => self.call(request, out),
            Input::Left(id, source) => match self.calls.get(&id) {
                // Guards a set-up against others that know its id: it belongs to its connection. A call that
                // stands belongs to none, and may be released on any.
                Some(Call { stage: Stage::Open { .. }, source: own, .. }) if *own != source => {
                    out.push(Output::Reply(Some(source), id, Reply::Unknown));
                }
                Some(call) => {
                    let stands = matches!(call.stage, Stage::Stands { .. }).then_some(call.source);
                    self.left(id, out);
                    out.extend(stands.map(|source| Output::Reply(Some(source), id, Reply::Heard)));
                }
                // Its own release has crossed the call's end, or nobody knows it.
                None if self.ended.contains(id) => {}
                None => out.push(Output::Reply(Some(source), id, Reply::Unknown)),
            },
            Input::Unheard(id) => self.left(id, out),
            Input::SourceGone(source) => {
                let open = |c: &Call| c.source == source && matches!(c.stage, Stage::Open { .. });
                let mut gone: Vec<CallId> =
                    self.calls.iter().filter(|(_, c)| open(c)).map(|(id, _)| *id).collect();
                gone.sort_unstable();
                // All are off the table before the controller hears of the first: it may decide on any call then.
                let events: Vec<Event> = gone.into_iter().filter_map(|id| self.take_off(id, out)).collect();
                for event in events {
                    self.tell(event, out);
                }
            }
            Input::Stood { id, attempt, server, payload } => self.stood(id, attempt, server, payload, out),
            Input::Ended { id, attempt, server, end } => self.attempt_ended(id, attempt, server, end, out),
            Input::Over { id, server, cause, report } => self.over(id, server, cause, report, out),
            Input::Room(server, report) => self.tell(Event::Room(server, report), out),
            Input::Probed { server, passed, report } => {
                self.tell(Event::Probed { server, passed, report }, out);
            }
            Input::Spoke { server, fresh } => self.tell(Event::Spoke { server, fresh }, out),
            Input::Died(server) => self.cut_all(|at, _| at == server, out),
            Input::List(kind, entries) => self.list(kind, entries, out),
            Input::Stop(at) => self.stop(at),
            Input::AnswerNow(source) => self.answer_now(source, out),
        }
    }

    fn call(&mut self, r: Request, out: &mut Vec<Output>) {
        // Guards against an id that is taken: the first set-up keeps the one answer that is its own, and the
        // other, from another connection, fails.
        if self.calls.contains_key(&r.id) {
            out.push(Output::Note(Note::Failed { call: r.id, reason: AnswerReason::IdTaken }));
            out.push(Output::Reply(Some(r.source), r.id, Reply::Failed));
            return;
        }
        // Guards against a call that runs twice: its caller has left, and comes again on another connection.
        if self.ran.contains(r.id) {
            out.push(Output::Note(Note::Failed { call: r.id, reason: AnswerReason::IdUsed }));
            out.push(Output::Reply(Some(r.source), r.id, Reply::Failed));
            return;
        }
        // Guards against a queue without bounds in front of slow servers.
        if self.open() >= self.most_open {
            self.ended.add(r.id);
            out.push(Output::Note(Note::Refused { call: r.id, reason: AnswerReason::TooManyOpen }));
            out.push(Output::Reply(Some(r.source), r.id, Reply::Refused(self.hold_off)));
            return;
        }
        let gives_up = r.at.saturating_add(r.patience);
        let mut deadline = gives_up.saturating_sub(self.margin);
        if let Some(stop) = self.stop_at {
            deadline = deadline.min(stop);
        }
        self.deadlines.insert((deadline, r.id));
        let attempt_limit = self.attempt_limit;
        let stage = Stage::Open {
            deadline,
            out: None,
            attempts: 0,
            attempt_limit,
            not_before: 0,
            may_have_run: false,
        };
        let call =
            Call { source: r.source, class: r.class, number: r.number.clone(), payload: r.payload, stage };
        self.calls.insert(r.id, call);
        out.push(Output::Progress(r.id, Progress::Open));
        let new = NewCall {
            call: r.id,
            class: r.class,
            number: r.number,
            tenant: r.tenant,
            first_choice: r.first_choice,
            expires_in: deadline.saturating_sub(self.now),
            units: r.units,
            redialled: r.redialled,
            in_transit: false,
            cut_before: r.cut_before,
        };
        self.tell(Event::Call(new), out);
    }

    /// A caller that leaves is owed nothing.
    fn left(&mut self, id: CallId, out: &mut Vec<Output>) {
        if let Some(event) = self.take_off(id, out) {
            self.tell(event, out);
        }
    }

    /// Takes a call that has ended off the table, and remembers it.
    fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.ended.add(id);
        if call.stage.may_have_run() {
            self.ran.add(id);
        }
        Some(call)
    }

    /// Takes a call whose caller has left off the table, with what is to be told to the controller. What it leaves behind at
    /// a server is given up or released.
    fn take_off(&mut self, id: CallId, out: &mut Vec<Output>) -> Option<Event> {
        let call = self.remove(id)?;
        out.push(Output::Progress(id, Progress::Ended));
        match call.stage {
            Stage::Open { deadline, out: attempt, .. } => {
                self.deadlines.remove(&(deadline, id));
                if let Some((_, server, _)) = attempt {
                    out.push(Output::Order(server, Order::Cancel(id)));
                }
                Some(Event::Left(id))
            }
            Stage::Stands { attempt, server, .. } => {
                out.push(Output::Order(server, Order::Release(id, CAUSE_NORMAL)));
                Some(finished(id, attempt, server, Outcome::Cancelled, None))
            }
        }
    }

    fn stood(&mut self, id: CallId, attempt: u32, server: ServerId, payload: Payload, out: &mut Vec<Output>) {
        let now = self.now;
        let call = self.calls.get_mut(&id);
        let sent = call.as_ref().and_then(|c| match c.stage {
            Stage::Open { out: Some((n, at, sent)), deadline, .. } if n == attempt && at == server => {
                Some((sent, deadline))
            }
            _ => None,
        });
        let (Some(call), Some((sent, deadline))) = (call, sent) else {
            // Guards against an answer that crossed the end of its attempt: the call stands nowhere else.
            out.push(Output::Order(server, Order::Release(id, CAUSE_NORMAL)));
            return;
        };
        call.stage = Stage::Stands { attempt, server, since: now };
        // It goes out no more.
        call.payload = Rc::default();
        call.number = String::new();
        self.deadlines.remove(&(deadline, id));
        out.push(Output::Reply(Some(call.source), id, Reply::Stands(payload)));
        out.push(Output::Progress(id, Progress::Stands(server)));
        self.tell(Event::Stood { call: id, attempt, server, elapsed: now.saturating_sub(sent) }, out);
    }

    fn attempt_ended(&mut self, id: CallId, attempt: u32, server: ServerId, end: End, out: &mut Vec<Output>) {
        if let Some(event) = self.end_attempt(id, attempt, server, end) {
            self.tell(event, out);
        }
    }

    /// Takes an attempt off the table, once.
    fn end_attempt(&mut self, id: CallId, attempt: u32, server: ServerId, end: End) -> Option<Event> {
        let now = self.now;
        let Stage::Open { out, not_before, may_have_run, .. } = &mut self.calls.get_mut(&id)?.stage else {
            return None;
        };
        out.take_if(|(n, at, _)| *n == attempt && *at == server)?;
        *may_have_run |= !matches!(end.outcome, Outcome::Full | Outcome::NoRoute | Outcome::NotSent);
        if matches!(end.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            *not_before = now + self.release_wait;
        }
        let End { outcome, reason, wait, report, status: _ } = end;
        Some(Event::Ended { call: id, attempt, server, outcome, finished: false, reason, wait, report })
    }

    /// A server released a call. It may say so twice, and of calls from before this program's start.
    fn over(
        &mut self,
        id: CallId,
        server: ServerId,
        cause: u8,
        report: Option<Report>,
        out: &mut Vec<Output>,
    ) {
        let outcome = if cause == CAUSE_CUT { Outcome::Reset } else { Outcome::Done };
        match self.calls.get_mut(&id).map(|c| (c.source, &mut c.stage)) {
            Some((source, Stage::Stands { attempt, server: at, .. })) if *at == server => {
                let event = finished(id, *attempt, server, outcome, report);
                self.remove(id);
                out.push(Output::Reply(Some(source), id, Reply::Over(cause)));
                out.push(Output::Progress(id, Progress::Ended));
                self.tell(event, out);
            }
            // It stood there, and its answer is late or was lost. Guards against a call that is sent again though it has
            // had its time, and stands for a caller after it is over.
            Some((_, Stage::Open { out: attempt, .. })) if attempt.is_some_and(|(_, at, _)| at == server) => {
                let Some((n, ..)) = attempt.take() else { return };
                self.ran.add(id);
                self.answer(id, Reply::Failed, AnswerReason::ReleasedByServer, out);
                self.tell(finished(id, n, server, outcome, report), out);
            }
            Some(_) => {}
            None => {
                let news = self.ended.add(id);
                self.ran.add(id);
                out.push(Output::PassOn { server, id, cause, news });
                return;
            }
        }
        out.push(Output::Order(server, Order::Heard(id)));
    }

    /// The calls that stand at a server whose process is gone are over, and nobody else will say so.
    fn cut_all(&mut self, gone: impl Fn(ServerId, Time) -> bool, out: &mut Vec<Output>) {
        let mut cut: Vec<(CallId, ServerId)> = Vec::new();
        for (id, call) in &self.calls {
            if let Stage::Stands { server, since, .. } = call.stage
                && gone(server, since)
            {
                cut.push((*id, server));
            }
        }
        cut.sort_unstable();
        for (id, server) in cut {
            self.over(id, server, CAUSE_CUT, None, out);
        }
    }

    fn list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Output>) {
        let mut cut: BTreeMap<ServerId, Time> = BTreeMap::new();
        if matches!(kind, ListKind::Whole | ListKind::Saved) {
            let listed: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            self.servers.retain(|id, _| {
                let stays = listed.contains(id);
                if !stays {
                    cut.insert(*id, Time::MAX);
                    out.push(Output::Order(*id, Order::Drain));
                }
                stays
            });
        }
        for e in &entries {
            let before = self.servers.insert(e.server, (e.state, e.started));
            if e.state != State::Ready {
                out.push(Output::Order(e.server, Order::Drain));
            }
            match (e.state, e.started) {
                (State::Gone, _) => {
                    cut.insert(e.server, Time::MAX);
                    self.servers.remove(&e.server);
                }
                // Started anew: what stood there before is over.
                (_, Some(at)) if before.is_some_and(|b| b.1 < Some(at)) => {
                    cut.insert(e.server, at);
                }
                _ => {}
            }
        }
        self.cut_all(|server, since| cut.get(&server).is_some_and(|until| since < *until), out);
        self.tell(Event::List(kind, entries), out);
    }

    /// From now on no call may wait past `at`. What was said first holds: whoever said it counts from then.
    fn stop(&mut self, at: Time) {
        let at = *self.stop_at.get_or_insert(at);
        let late: Vec<(Time, CallId)> = self.deadlines.iter().copied().filter(|d| d.0 > at).collect();
        for old in late {
            self.deadlines.remove(&old);
            self.deadlines.insert((at, old.1));
            if let Some(Call { stage: Stage::Open { deadline, .. }, .. }) = self.calls.get_mut(&old.1) {
                *deadline = at;
            }
        }
    }

    /// The deadline of all that is open on a connection has come.
    fn answer_now(&mut self, source: Source, out: &mut Vec<Output>) {
        let open: Vec<(Time, CallId)> = self
            .deadlines
            .iter()
            .filter(|(_, id)| self.calls.get(id).is_some_and(|call| call.source == source))
            .copied()
            .collect();
        for (deadline, id) in open {
            self.deadlines.remove(&(deadline, id));
            self.overdue(id, out);
        }
    }

    /// The deadline of a call: its attempt has timed out, and if the controller does not answer, the engine
    /// does. Guards the one final answer whatever the controller holds.
    fn overdue(&mut self, id: CallId, out: &mut Vec<Output>) {
        let Some(Call { stage: Stage::Open { out: attempt, .. }, .. }) = self.calls.get(&id) else { return };
        if let Some((n, server, _)) = *attempt {
            out.push(Output::Order(server, Order::Cancel(id)));
            self.attempt_ended(id, n, server, End::plain(Outcome::Timeout), out);
        }
        if let Some(Call { class, stage: Stage::Open { may_have_run, .. }, .. }) = self.calls.get(&id) {
            // Guards against a caller that is told to try again what may be done already.
            let refusable = !may_have_run || self.classes.rules(*class).is_some_and(Class::refusable);
            let reply = if refusable { Reply::Refused(self.hold_off) } else { Reply::Failed };
            self.answer(id, reply, AnswerReason::Overdue, out);
            self.tell(Event::Left(id), out);
        }
    }

    /// The one final answer of a call that does not stand.
    fn answer(&mut self, id: CallId, reply: Reply, reason: AnswerReason, out: &mut Vec<Output>) {
        let Some(Call { source, stage: Stage::Open { deadline, out: attempt, .. }, .. }) =
            self.calls.get(&id)
        else {
            return;
        };
        self.deadlines.remove(&(*deadline, id));
        if let Some((_, server, _)) = attempt {
            out.push(Output::Order(*server, Order::Cancel(id)));
        }
        out.push(Output::Note(match reply {
            Reply::Refused(_) => Note::Refused { call: id, reason },
            _ => Note::Failed { call: id, reason },
        }));
        out.push(Output::Reply(Some(*source), id, reply));
        self.remove(id);
        out.push(Output::Progress(id, Progress::Ended));
    }

    /// Hands an event to the controller and carries out what it wants, and what follows from that.
    fn tell(&mut self, event: Event, out: &mut Vec<Output>) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.controller.handle(self.now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                events.extend(self.carry_out(action, out));
            }
        }
    }

    fn carry_out(&mut self, action: Action, out: &mut Vec<Output>) -> Option<Event> {
        match action {
            Action::Start { call, server, .. } => return self.start(call, server, out),
            Action::Cancel { call, attempt } => {
                let Stage::Open { out: Some((n, server, _)), .. } = self.calls.get(&call)?.stage else {
                    return None;
                };
                if n == attempt {
                    out.push(Output::Order(server, Order::Cancel(call)));
                    return self.end_attempt(call, attempt, server, End::plain(Outcome::Cancelled));
                }
            }
            Action::Refuse { call, hold_off, reason } => {
                self.answer(call, Reply::Refused(hold_off), AnswerReason::GivenUp(reason), out);
            }
            Action::Fail { call, reason } => {
                self.answer(call, Reply::Failed, AnswerReason::GivenUp(reason), out);
            }
            Action::Timer { at, token } => {
                self.timers.insert((at, token));
            }
            Action::Rest { server, rest } => out.push(Output::Order(server, Order::Rest(rest))),
            Action::Log(text) => out.push(Output::Note(Note::Controller(text))),
            // Guards servers that drain or are gone, and all where the settings forbid it.
            Action::Probe(server) => match self.may_probe && self.is_ready(server) {
                true => out.push(Output::Order(server, Order::Probe)),
                false => return Some(Event::Probed { server, passed: false, report: None }),
            },
            // The list comes unasked, and the module sends no messages to other proxies.
            Action::Tell(..) | Action::WatchList => {}
        }
        None
    }

    fn is_ready(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|s| s.0 == State::Ready)
    }

    /// Sends an attempt out if the rules allow it, else ends it as never sent.
    fn start(&mut self, id: CallId, server: ServerId, out: &mut Vec<Output>) -> Option<Event> {
        let ready = self.is_ready(server);
        let now = self.now;
        let call = self.calls.get_mut(&id)?;
        let Stage::Open { deadline, out: attempt, attempts, attempt_limit, not_before, .. } = &mut call.stage
        else {
            return None;
        };
        if attempt.is_some() {
            return None;
        }
        let n = *attempts;
        *attempts += 1;
        let withheld = if !ready {
            Some(WithholdReason::ServerNotServing)
        } else if n >= *attempt_limit {
            Some(WithholdReason::AttemptLimit)
        } else if now < *not_before {
            Some(WithholdReason::ReleaseWait)
        } else if now >= *deadline {
            Some(WithholdReason::Overdue)
        } else {
            None
        };
        if let Some(reason) = withheld {
            out.push(Output::Note(Note::Withheld { call: id, attempt: n, server, reason }));
            return Some(Event::Ended {
                call: id,
                attempt: n,
                server,
                outcome: Outcome::NotSent,
                finished: false,
                reason: None,
                wait: None,
                report: None,
            });
        }
        *attempt = Some((n, server, now));
        let setup = Setup {
            id,
            source: call.source,
            attempt: n,
            class: self.classes.name(call.class),
            number: call.number.clone(),
            until: *deadline,
            payload: call.payload.clone(),
        };
        out.push(Output::Order(server, Order::Start(setup)));
        None
    }
}

/// The end of a call that stood.
fn finished(id: CallId, attempt: u32, server: ServerId, outcome: Outcome, report: Option<Report>) -> Event {
    Event::Ended { call: id, attempt, server, outcome, finished: true, reason: None, wait: None, report }
}

//! The wire's lines, in and out. It translates and decides nothing.

use base64::{Engine, engine::general_purpose::STANDARD};
use fernspan_core::*;
use fernspan_settings::{self as settings, Start};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

/// Ids of calls stay below this.
const CALL_IDS: u64 = 1 << 52;

/// One hosted controller with the names the wire gives its servers.
struct Hosted {
    controller: Controller,
    columns: Vec<String>,
    gives_wait: bool,
    names: Vec<String>,
    numbers: BTreeMap<String, ServerId>,
}

/// A line of a catalog, with the server still under its wire name.
#[derive(Clone)]
struct Row {
    name: String,
    entry: Entry,
}

/// All controllers of this process.
#[derive(Default)]
pub struct Host {
    hosted: BTreeMap<u64, Hosted>,
    catalogs: BTreeMap<u64, Vec<Row>>,
    filling: Option<(u64, u64, Vec<Row>)>,
    now: Option<Time>,
    instance: Option<u64>,
    reply: String,
    reply_for: Option<u64>,
}

/// The values of one line, in order.
struct Values<'a> {
    message: &'a str,
    rest: std::str::Split<'a, char>,
}

impl<'a> Values<'a> {
    fn text(&mut self, field: &str) -> Result<&'a str, String> {
        self.rest
            .next()
            .filter(|t| !t.is_empty())
            .ok_or_else(|| format!("{}: field {field} is missing", self.message))
    }

    fn bad(&self, field: &str, value: &str) -> String {
        let short: String = value.chars().take(60).collect();
        format!("{}: field {field} cannot be '{short}'", self.message)
    }

    fn maybe<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, String> {
        match self.text(field)? {
            "-" => Ok(None),
            text => text.parse().map(Some).map_err(|_| self.bad(field, text)),
        }
    }

    fn need<T: FromStr>(&mut self, field: &str) -> Result<T, String> {
        self.maybe(field)?.ok_or_else(|| self.bad(field, "-"))
    }

    fn call(&mut self) -> Result<CallId, String> {
        let id: u64 = self.need("handle")?;
        match id < CALL_IDS {
            true => Ok(id),
            false => Err(self.bad("handle", &id.to_string())),
        }
    }

    fn flag(&mut self, field: &str) -> Result<bool, String> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(self.bad(field, other)),
        }
    }

    fn place(&mut self, field: &str) -> Result<Option<Place>, String> {
        let value: Option<f64> = self.maybe(field)?;
        match value {
            None => Ok(None),
            Some(n) if n.fract() == 0.0 && n.abs() < 9e15 => Ok(Some(n as i64)),
            Some(n) => Err(self.bad(field, &n.to_string())),
        }
    }

    fn report(&mut self, columns: &[String]) -> Result<Option<Report>, String> {
        let text = self.text("usage")?;
        if text == "-" {
            return Ok(None);
        }
        let mut report = Report::default();
        for (i, value) in text.split(',').enumerate() {
            let figure = match value {
                "-" | "" => None,
                v => Some(v.parse::<f64>().map_err(|_| self.bad("usage", text))?),
            };
            match columns.get(i).map(String::as_str) {
                Some("spare") => report.free = figure,
                Some("total") => report.lines = figure,
                Some("cpu_share") => report.occupancy = figure,
                Some("pending") => report.queue = figure,
                Some("busy_reqs") => report.busy = figure,
                Some("svc_ms") => report.wait = figure.map(|ms| ms * 1000.0),
                Some("allowed") => report.takes = figure,
                Some("cut_by") => report.hold_back = figure,
                _ => {}
            }
        }
        Ok(Some(report))
    }

    fn end(mut self) -> Result<(), String> {
        match self.rest.next() {
            None => Ok(()),
            Some(more) => Err(format!("{}: unexpected value '{more}'", self.message)),
        }
    }
}

impl Hosted {
    fn new(entropy: u64, start: Start) -> Self {
        Hosted {
            controller: Controller::new(start.settings, entropy),
            columns: start.columns,
            gives_wait: start.gives_wait,
            names: Vec::new(),
            numbers: BTreeMap::new(),
        }
    }

    fn number(&mut self, name: &str) -> ServerId {
        if let Some(known) = self.numbers.get(name) {
            return *known;
        }
        let id = self.names.len() as ServerId;
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), id);
        id
    }

    fn server(&self, v: &mut Values) -> Result<ServerId, String> {
        let name = v.text("server")?;
        self.numbers.get(name).copied().ok_or_else(|| v.bad("server", name))
    }

    fn inbound(&self, v: &mut Values) -> Result<NewCall, String> {
        let call = v.call()?;
        let number = v.text("object")?.to_owned();
        let expires_in = v.need("expires_in")?;
        v.maybe::<f64>("size_hint")?;
        let tenant = v.maybe("client_group")?;
        let units = v.need("units")?;
        let options: u64 = v.need("options")?;
        v.maybe::<f64>("through")?;
        let first_choice = v.place("terminates_at")?;
        let class = v.need("tier_class")?;
        Ok(NewCall {
            call,
            class,
            number,
            tenant,
            first_choice,
            expires_in,
            units,
            redialled: options & 2 != 0,
            in_transit: options & 8 != 0,
            cut_before: options & 16 != 0,
        })
    }

    fn finished(&self, v: &mut Values) -> Result<Event, String> {
        let call = v.call()?;
        let finished = v.flag("finished")?;
        let why: Option<u64> = v.maybe("why")?;
        let attempt = v.need("round_no")?;
        v.maybe::<u64>("duration")?;
        let outcome = match v.text("status")? {
            "pass" => Outcome::Done,
            "fault" => Outcome::Fault,
            "no_room" => Outcome::Full,
            "too_slow" => Outcome::Timeout,
            "no_route" => Outcome::NoRoute,
            "cut" => Outcome::Reset,
            "undone" => Outcome::Cancelled,
            "stale_send" => Outcome::NotSent,
            other => return Err(v.bad("status", other)),
        };
        let server = self.server(v)?;
        let report = v.report(&self.columns)?;
        let reason = match why.unwrap_or(0) {
            18 => Some(Reason::ProcessorFull),
            n => match n & 15 {
                1 => Some(Reason::NoLine),
                2 => Some(Reason::TurnedBack),
                3 => Some(Reason::ProcessorFull),
                4 => Some(Reason::NumberBusy),
                _ => None,
            },
        };
        let wait = why
            .filter(|n| self.gives_wait && n & 15 == 3 && n >> 4 > 0)
            .map(|n| (n >> 4).saturating_mul(1000));
        Ok(Event::Ended { call, attempt, server, outcome, finished, reason, wait, report })
    }

    fn event(&mut self, v: &mut Values) -> Result<Event, String> {
        Ok(match v.message {
            "INBOUND" => Event::Call(self.inbound(v)?),
            "FINISHED" => self.finished(v)?,
            "FIRST_BYTE" => Event::Stood {
                call: v.call()?,
                attempt: v.need("round_no")?,
                server: self.server(v)?,
                elapsed: v.need("duration")?,
            },
            "WITHDRAWN" => Event::Left(v.call()?),
            "RING" => Event::Timer(v.need("ctx")?),
            "PONG" => {
                let status = v.text("status")?;
                // Free lines are told of servers that this node's list has yet to name.
                let server = self.number(v.text("server")?);
                let elapsed: Option<u64> = v.maybe("duration")?;
                let report = v.report(&self.columns)?;
                match (status, elapsed, report) {
                    ("pass", Some(0), Some(report)) => Event::Room(server, report),
                    _ => Event::Probed { server, passed: status == "pass", report },
                }
            }
            "FROM_PEER" => {
                let by = v.need("by")?;
                let text = v.text("payload")?;
                let bytes = match text {
                    "-" => Vec::new(),
                    t => STANDARD.decode(t).map_err(|_| v.bad("payload", t))?,
                };
                Event::Told(by, bytes)
            }
            other => return Err(format!("unknown message '{other}'")),
        })
    }

    fn action(&self, action: &Action, out: &mut String) {
        let name = |id: &ServerId| &self.names[*id as usize];
        let or_dash = |t: Option<Time>| t.map_or("-".to_owned(), |t| t.to_string());
        let _ = match action {
            Action::Start { call, server, limit } => {
                writeln!(out, "TRY\t{call}\t{}\t{}", or_dash(*limit), name(server))
            }
            Action::Cancel { call, attempt } => writeln!(out, "REVOKE\t{call}\t{attempt}"),
            Action::Refuse { call, hold_off, .. } => {
                writeln!(out, "REFUSE\t{call}\t{}", or_dash(*hold_off))
            }
            Action::Fail { call, .. } => writeln!(out, "FAIL\t{call}"),
            Action::Probe(server) => writeln!(out, "SOUND_OUT\t{}", name(server)),
            Action::Tell(to, bytes) => writeln!(
                out,
                "ANNOUNCE\t{}\t{}",
                to.map_or("all".to_owned(), |n| n.to_string()),
                match bytes.is_empty() {
                    true => "-".to_owned(),
                    false => STANDARD.encode(bytes),
                }
            ),
            Action::WatchList => writeln!(out, "LISTEN\t1"),
            Action::Timer { at, token } => writeln!(out, "NOTIFY_ME\t{token}\t{at}"),
            // Connections are the simulator's own.
            Action::Rest { .. } => Ok(()),
            Action::Log(text) => writeln!(out, "SAY_LOG\t{}", text.replace(['\n', '\r'], " ")),
        };
    }
}

impl Host {
    /// Takes one line; gives the reply when it ends a batch.
    pub fn line(&mut self, line: &str) -> Result<Option<String>, String> {
        let mut rest = line.split('\t');
        let message = rest.next().unwrap_or_default();
        let mut v = Values { message, rest };
        if let Some((_, left, _)) = &self.filling
            && (message == "ROW") != (*left > 0)
        {
            return Err(format!("{message}: a catalog is {left} ROW lines from its end"));
        }
        match message {
            "CLOCK" if self.now.is_none() => self.now = Some(v.need("now")?),
            "CLOCK" => return Err("CLOCK: the batch before has not ended".to_owned()),
            _ if self.now.is_none() => return Err(format!("{message}: outside a batch")),
            "EOF_BATCH" => {
                v.end()?;
                self.now = None;
                self.instance = None;
                self.reply_for = None;
                let mut reply = std::mem::take(&mut self.reply);
                reply.push_str("EOR\n");
                return Ok(Some(reply));
            }
            "FOR" => self.instance = Some(v.need("i")?),
            "CATALOG" => {
                let set = v.need("set_id")?;
                let rows = v.need("rows_in")?;
                self.fill(set, rows, Vec::new());
            }
            "ROW" => self.row(&mut v)?,
            "HELLO" => {
                let entropy = v.need("entropy")?;
                let config = v.rest.by_ref().collect::<Vec<_>>().join("\t");
                let start = settings::read(&config).map_err(|e| format!("HELLO: {e}"))?;
                let i = self.instance.ok_or("HELLO: no FOR line before it")?;
                self.hosted.insert(i, Hosted::new(entropy, start));
            }
            "KILLED" => {
                let i = self.instance.ok_or("KILLED: no FOR line before it")?;
                self.hosted.remove(&i);
            }
            "REGISTRY" => {
                let event = self.registry(&mut v)?;
                self.handle(event)?;
            }
            _ => {
                let event = self.current(message)?.event(&mut v)?;
                self.handle(event)?;
            }
        }
        v.end()?;
        Ok(None)
    }

    /// End of input: only between batches is it clean.
    pub fn end(&self) -> Result<(), String> {
        match self.now {
            None => Ok(()),
            Some(_) => Err("input ended inside a batch".to_owned()),
        }
    }

    fn current(&mut self, message: &str) -> Result<&mut Hosted, String> {
        let i = self.instance.ok_or_else(|| format!("{message}: no FOR line before it"))?;
        self.hosted.get_mut(&i).ok_or_else(|| format!("{message}: field i: instance {i} has not started"))
    }

    fn fill(&mut self, set: u64, left: u64, rows: Vec<Row>) {
        match left {
            0 => {
                self.catalogs.insert(set, rows);
                self.filling = None;
            }
            _ => self.filling = Some((set, left, rows)),
        }
    }

    fn row(&mut self, v: &mut Values) -> Result<(), String> {
        let (set, left, mut rows) = self.filling.take().ok_or("ROW: no CATALOG before it")?;
        let name = v.text("server")?.to_owned();
        let zone = v.need("campus")?;
        let started = v.maybe("born")?.filter(|t| *t > 0);
        let state = match v.text("state")? {
            "ready" => State::Ready,
            "draining" => State::Draining,
            "gone" => State::Gone,
            other => return Err(v.bad("state", other)),
        };
        v.maybe::<f64>("hw")?;
        let place = v.place("node_no")?.ok_or_else(|| v.bad("node_no", "-"))?;
        v.maybe::<f64>("scale")?;
        let entry = Entry { server: 0, zone, place, started, state };
        rows.push(Row { name, entry });
        self.fill(set, left - 1, rows);
        Ok(())
    }

    fn registry(&mut self, v: &mut Values) -> Result<Event, String> {
        let kind = match v.text("form")? {
            "INCREMENTAL" => ListKind::Changes,
            "FULL" => ListKind::Whole,
            "SAVED" => ListKind::Saved,
            "FAILED" => ListKind::Failed,
            other => return Err(v.bad("form", other)),
        };
        v.maybe::<u64>("version")?;
        let set: Option<u64> = v.maybe("set_id")?;
        let rows = match (kind, set) {
            (ListKind::Failed, _) => Vec::new(),
            (_, Some(set)) => {
                self.catalogs.get(&set).cloned().ok_or_else(|| v.bad("set_id", &set.to_string()))?
            }
            (_, None) => return Err(v.bad("set_id", "-")),
        };
        let hosted = self.current("REGISTRY")?;
        let entries =
            rows.into_iter().map(|row| Entry { server: hosted.number(&row.name), ..row.entry }).collect();
        Ok(Event::List(kind, entries))
    }

    fn handle(&mut self, event: Event) -> Result<(), String> {
        let now = self.now.ok_or("outside a batch")?;
        let hosted = self.current("event")?;
        let mut actions = Vec::new();
        hosted.controller.handle(now, event, &mut actions);
        if actions.is_empty() {
            return Ok(());
        }
        let mut text = String::new();
        for action in &actions {
            hosted.action(action, &mut text);
        }
        if self.reply_for != self.instance {
            self.reply_for = self.instance;
            if let Some(i) = self.instance {
                let _ = writeln!(self.reply, "AT\t{i}");
            }
        }
        self.reply.push_str(&text);
        Ok(())
    }
}

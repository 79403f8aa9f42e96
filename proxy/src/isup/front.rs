//! Takes callers' connections and translates between them and the engine.

use super::*;
use crate::engine::{Input, Reply, Request, Source};
use crate::hub;
use crate::limits::Limits;
use crate::net::{Seat, accept_all, messages, unix_now, write_all};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use fernspan_core::{Place, Time};
use futures_lite::{future, pin};
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What set-ups may name, in the order of the settings.
pub struct Names {
    pub classes: Vec<String>,
    /// How long a caller of each class waits at most, and where a set-up does not say.
    pub patience: Vec<Time>,
    /// Where each class may go; any place without.
    pub places: Vec<Option<Vec<Place>>>,
    pub tenants: Vec<String>,
    /// How long a caller that is refused is told to stay away.
    pub hold_off: Option<Time>,
}

/// Listens for callers.
pub struct Front {
    pub names: Names,
    pub limits: Limits,
    pub core: Sender<hub::Message>,
}

/// The figures of a set-up, as in `dest:2;width:1;via:-1`.
#[derive(Default)]
struct Figures {
    first_choice: Option<Place>,
    units: Option<u32>,
    cut_before: bool,
}

/// `None` where a figure is no number.
fn figures(text: &str) -> Option<Figures> {
    let mut figures = Figures::default();
    for figure in text.split(';') {
        match figure.split_once(':')? {
            ("dest", value) => figures.first_choice = Some(value.parse().ok()?),
            ("width", value) => figures.units = Some(value.parse().ok()?),
            ("again", value) => figures.cut_before = flag(Some(value))?,
            ("via", value) => drop(value.parse::<i64>().ok()?),
            _ => {}
        }
    }
    Some(figures)
}

/// A mark that is 1 or absent.
fn flag(value: Option<&str>) -> Option<bool> {
    match value {
        None | Some("0") => Some(false),
        Some("1") => Some(true),
        Some(_) => None,
    }
}

impl Front {
    /// A set-up in the engine's words, or the cause for which it fails. Guards the servers, which close on what
    /// they cannot read with all that is open on the connection, and the callers whose share and windows a
    /// bad set-up would use.
    fn request(&self, m: &Message, source: Source) -> Result<Request, u8> {
        let text =
            |code| m.text(code).ok_or(if m.get(code).is_some() { CAUSE_INVALID } else { CAUSE_MISSING });
        if m.call == 0 {
            return Err(CAUSE_NO_SUCH_CALL);
        }
        let named = |names: &[String], name: &str| names.iter().position(|n| n == name).ok_or(CAUSE_INVALID);
        let class = named(&self.names.classes, text(CLASS)?)?;
        let tenant = match self.names.tenants.is_empty() {
            true => None,
            false => Some(named(&self.names.tenants, text(TENANT)?)?),
        };
        let limit = self.names.patience[class];
        let patience = match m.get(PATIENCE) {
            Some(_) => text(PATIENCE)?.parse::<Time>().ok().and_then(|ms| ms.checked_mul(1000)),
            None => Some(limit),
        };
        let number = text(NUMBER)?;
        let figures = figures(text(FIGURES)?).ok_or(CAUSE_INVALID)?;
        let first_choice = figures.first_choice.ok_or(CAUSE_INVALID)?;
        let goes = self.names.places[class].as_ref().is_none_or(|places| places.contains(&first_choice));
        let units = figures.units.unwrap_or(1);
        if !number_is_plain(number) || !goes || !(1..=self.limits.units).contains(&units) {
            return Err(CAUSE_INVALID);
        }
        Ok(Request {
            id: m.call,
            source,
            at: unix_now(),
            patience: patience.filter(|us| (1..=limit).contains(us)).ok_or(CAUSE_INVALID)?,
            class,
            tenant,
            number: number.to_owned(),
            first_choice: Some(first_choice),
            units: f64::from(units),
            redialled: flag(m.get(RETRY).map(|_| text(RETRY)).transpose()?).ok_or(CAUSE_INVALID)?,
            cut_before: figures.cut_before,
            payload: m.get(DESCRIPTION).ok_or(CAUSE_MISSING)?.into(),
        })
    }

    fn encode(&self, call: CallId, reply: &Reply) -> Option<Vec<u8>> {
        let release = |cause: u8| Message::new(RELEASE, call).with(CAUSE, &[cause]);
        let message = match reply {
            Reply::Stands(description) => Message::new(ANSWER, call).with(DESCRIPTION, description),
            Reply::Refused(None) => release(CAUSE_REFUSED),
            Reply::Refused(Some(wait)) => {
                release(CAUSE_REFUSED).with(COME_BACK, (wait / 1000).to_string().as_bytes())
            }
            Reply::Failed => release(CAUSE_FAILED),
            Reply::Unknown => release(CAUSE_NO_SUCH_CALL),
            Reply::Over(cause) => release(*cause),
            Reply::Heard => Message::new(HEARD, call),
        };
        message.encode(self.limits.message)
    }

    /// One connection, until either side ends it. Bytes that are no message end it too.
    async fn serve(&self, stream: Async<TcpStream>, source: Source, seat: &Seat) {
        let _ = stream.get_ref().set_nodelay(true);
        let (replies, to_write) = async_channel::bounded(self.limits.caller_queue);
        // The core alone holds the sender: when it drops it, the connection ends.
        if self.core.send(hub::Message::Open(source, replies)).await.is_err() {
            return;
        }
        let (own, own_to_write) = async_channel::bounded(self.limits.own_queue);
        let table = RefCell::new(Table::default());
        let reading = async {
            let decoder = Decoder { most: self.limits.message };
            let messages = messages(&stream, decoder, self.limits.read, self.limits.rest);
            pin!(messages);
            while let Some(message) = seat.next(&mut messages, &self.limits).await {
                let message = match message {
                    Ok(message) => message,
                    Err(e) => {
                        eprintln!("caller {source}: {e}");
                        return;
                    }
                };
                let read = self.input(&message, source, &mut table.borrow_mut());
                let answer = match read {
                    Read::Input(input) => {
                        if self.core.send(hub::Message::Input(input)).await.is_err() {
                            return;
                        }
                        None
                    }
                    Read::Answer(answer) => Some(answer),
                    Read::Nothing => None,
                    Read::Close(why) => {
                        eprintln!("caller {source}: {why}");
                        return;
                    }
                };
                if let Some(answer) = answer
                    && own.send(answer).await.is_err()
                {
                    return;
                }
                seat.used(!table.borrow().open.is_empty());
                // One caller's flood must not keep the others from their turn.
                future::yield_now().await;
            }
        };
        let in_hand = RefCell::new(Vec::new());
        let writing = self.write(&stream, &to_write, own_to_write, &in_hand, &table, seat);
        future::or(reading, writing).await;
        // Guards against a release that crosses the end of its connection: it goes on another one. So does one
        // that was written a moment ago and not heard, since it may have met a socket that was closed already.
        to_write.close();
        let mut left = in_hand.into_inner();
        left.extend(
            table.into_inner().unheard(self.limits.heard).map(|(call, cause)| (call, Reply::Over(cause))),
        );
        left.extend(std::iter::from_fn(|| to_write.try_recv().ok()));
        for (call, reply) in left.into_iter().filter(|(_, reply)| matches!(reply, Reply::Over(_))) {
            let _ = self.core.send(hub::Message::Undelivered(call, reply)).await;
        }
        // Before the socket closes, so that a set-up which crosses that and comes again is not taken for this.
        let _ = self.core.send(hub::Message::Input(Input::SourceGone(source))).await;
    }

    /// What a message asks for.
    fn input(&self, message: &Message, source: Source, table: &mut Table) -> Read {
        let call = message.call;
        let release = |cause: u8| Message::new(RELEASE, call).with(CAUSE, &[cause]);
        match message.kind {
            // Guards the one answer: with two set-ups under one id, it could be that of the other.
            SETUP if table.open.contains(&call) => Read::Close("two set-ups under one id"),
            // Guards the core's queue and its table against one caller's flood.
            SETUP if table.open.len() >= self.limits.open_per_caller => {
                let refused = release(CAUSE_REFUSED);
                let wait = self.names.hold_off.map(|us| (us / 1000).to_string());
                Read::Answer(wait.iter().fold(refused, |m, ms| m.with(COME_BACK, ms.as_bytes())))
            }
            SETUP => match self.request(message, source) {
                Ok(request) => {
                    table.open.insert(call);
                    Read::Input(Input::Call(request))
                }
                Err(cause) => Read::Answer(release(cause)),
            },
            RELEASE => {
                table.open.remove(&call);
                Read::Input(Input::Left(call, source))
            }
            TEST => Read::Answer(Message::new(TESTED, call).with(CAUSE, &[1])),
            HEARD => {
                table.released.retain(|(id, ..)| *id != call);
                Read::Nothing
            }
            PROGRESS | STATE | TESTED => Read::Nothing,
            _ => Read::Answer(release(CAUSE_NO_SUCH_TYPE)),
        }
    }

    /// Writes replies, which are kept `in_hand` until they are out.
    async fn write(
        &self,
        stream: &Async<TcpStream>,
        replies: &Receiver<(CallId, Reply)>,
        own: Receiver<Message>,
        in_hand: &RefCell<Vec<(CallId, Reply)>>,
        table: &RefCell<Table>,
        seat: &Seat,
    ) {
        loop {
            let reply = async { replies.recv().await.ok().map(|r| (Some(r), None)) };
            let own = async { own.recv().await.ok().map(|m| (None, Some(m))) };
            let Some((reply, own)) = future::or(reply, own).await else { return };
            let mut bytes = own.and_then(|m| m.encode(self.limits.message)).unwrap_or_default();
            let all = reply.into_iter().chain(std::iter::from_fn(|| replies.try_recv().ok()));
            in_hand.borrow_mut().extend(all);
            for (call, reply) in in_hand.borrow().iter() {
                bytes.extend(self.encode(*call, reply).unwrap_or_default());
            }
            if write_all(stream, &bytes, self.limits.write).await.is_err() {
                return;
            }
            let mut table = table.borrow_mut();
            for (call, reply) in in_hand.borrow_mut().drain(..) {
                match reply {
                    Reply::Stands(_) => seat.prove(),
                    Reply::Refused(_) | Reply::Failed => {}
                    Reply::Over(cause) => {
                        table.wrote_release(call, cause, self.limits.heard);
                        continue;
                    }
                    Reply::Unknown | Reply::Heard => continue,
                }
                table.open.remove(&call);
            }
            seat.used(!table.open.is_empty());
        }
    }
}

/// What a connection has to remember.
#[derive(Default)]
struct Table {
    /// Set-ups that have no answer yet.
    open: BTreeSet<CallId>,
    /// Releases that were written and not heard yet, with their causes, the oldest first.
    released: VecDeque<(CallId, u8, Instant)>,
}

impl Table {
    /// Notes a release. Callers need not say that they have heard one, so it is forgotten in time.
    fn wrote_release(&mut self, call: CallId, cause: u8, within: Duration) {
        while self.released.front().is_some_and(|r| r.2.elapsed() >= within) {
            self.released.pop_front();
        }
        self.released.push_back((call, cause, Instant::now()));
    }

    fn unheard(self, within: Duration) -> impl Iterator<Item = (CallId, u8)> {
        self.released
            .into_iter()
            .filter(move |r| r.2.elapsed() < within)
            .map(|(call, cause, _)| (call, cause))
    }
}

/// What to do upon a message.
enum Read {
    Input(Input),
    Answer(Message),
    Nothing,
    Close(&'static str),
}

/// Whether a number can stand in a SIP address as it is.
fn number_is_plain(number: &str) -> bool {
    !number.is_empty() && number.bytes().all(|b| b.is_ascii_graphic() && !b"@<>\"".contains(&b))
}

/// Takes callers for ever.
pub async fn listen(front: Rc<Front>, listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>) {
    let limits = front.limits.clone();
    accept_all(listener, limits.caller_conns, limits, executor, move |stream, source, seat| {
        let front = front.clone();
        async move { front.serve(stream, source, &seat).await }
    })
    .await;
}

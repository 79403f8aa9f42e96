//! Takes callers' connections and translates between them and the engine.

use super::connection::{OpenSetup, PendingReplies, Table};
use super::names::SharedNames;
use super::reader::{ReaderLimits, Received, received};
use super::*;
use crate::engine::{Input, Reply, Source};
use crate::figures::{AnswerKind, Figures};
use crate::hub;
use crate::invariant::{Invariant, Violations};
use crate::lifecycle::State;
use crate::lifecycle::shared::SharedLifecycle;
use crate::limits::Limits;
use crate::loop_lag::{InputShare, LoopLag};
use crate::memory_budget::{ConnectionMemory, Reservation, SharedBudget};
use crate::net::{ConnectionSlot, HangUpProbe, Next, SlotLimits, accept_all, has_hung_up, within};
use crate::reasons::{AnswerReason, Hex};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use fernspan_core::Time;
use futures_lite::{AsyncReadExt, future, pin};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How much of one connection is looked at together, so that set-ups which are given up further on are not sent.
struct LookAhead {
    bytes: usize,
    messages: usize,
}

/// Messages of one connection that are taken in the turn of another.
const MESSAGES_IN_A_TURN: usize = 16;

/// Listens for callers.
pub struct Front {
    pub names: SharedNames,
    pub figures: Figures,
    pub limits: Limits,
    pub core: Sender<hub::Message>,
    /// What a test tells, and whether set-ups are taken.
    pub lifecycle: SharedLifecycle,
    /// Another process accepts from the same socket, and takes what this one does not.
    pub shares_socket: bool,
    pub violations: Violations,
    /// What is held for all callers together.
    pub memory: SharedBudget,
    /// How late the loop is that all connections share.
    pub lag: LoopLag,
}

/// A release that says that trying again is harmless, and after how long.
fn refusal(call: CallId, wait: Option<Time>) -> Message {
    let refused = Message::new(RELEASE, call).with(CAUSE, &[CAUSE_REFUSED]);
    let milliseconds = wait.map(|us| (us / 1000).to_string());
    milliseconds.iter().fold(refused, |message, ms| message.with(COME_BACK, ms.as_bytes()))
}

impl Front {
    /// Refuses a set-up that the core never hears of.
    fn refuse(&self, message: &Message, table: &mut Table) -> Read {
        table.answered(message.call);
        let refused = refusal(message.call, self.names.borrow().hold_off);
        Read::Answer(OwnAnswer { message: refused, counts: self.counts(message, AnswerKind::Overload) })
    }

    /// What the final answer to a set-up counts as, if its class is one of the settings'.
    fn counts(&self, message: &Message, kind: AnswerKind) -> Option<Counted> {
        let class = self.names.borrow().class(message.text(CLASS)?)?.name.clone();
        Some(Counted { class, kind })
    }

    fn encode(&self, call: CallId, reply: &Reply) -> Option<Vec<u8>> {
        let release = |cause: u8| Message::new(RELEASE, call).with(CAUSE, &[cause]);
        let message = match reply {
            Reply::Stands(description) => Message::new(ANSWER, call).with(DESCRIPTION, description),
            Reply::Refused(wait) => refusal(call, *wait),
            Reply::Failed => release(CAUSE_FAILED),
            Reply::Unknown => release(CAUSE_NO_SUCH_CALL),
            Reply::Over(cause) => release(*cause),
            Reply::Heard => Message::new(HEARD, call),
        };
        message.encode(self.limits.message)
    }

    /// One connection, until either side ends it. Bytes that are no message end it too.
    async fn serve(&self, stream: Async<TcpStream>, source: Source, slot: &ConnectionSlot) {
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Rc::new(stream);
        let memory = ConnectionMemory::new(self.memory.clone());
        let (replies, to_write) = async_channel::unbounded();
        // The core alone holds the sender: when it drops it, the connection ends.
        let connection =
            hub::CallerConnection { replies, memory: memory.clone(), hang_up: HangUpProbe::new(&stream) };
        if self.core.send(hub::Message::Open(source, connection)).await.is_err() {
            return;
        }
        let (own, own_to_write) = async_channel::bounded(self.limits.own_queue);
        let (flushed, flushes) = async_channel::bounded(1);
        let table = RefCell::new(Table::default());
        let pending = PendingReplies::default();
        let end = {
            let mut writing = Box::pin(async {
                self.write(&stream, &to_write, &own_to_write, &pending, &table, slot, &memory, &flushed)
                    .await;
                flushed.close();
                future::pending().await
            });
            let broken = async {
                while flushes.recv().await.is_ok() {}
                End::Gone
            };
            let reading = Box::pin(self.read(&stream, source, &table, &own, slot, &memory));
            let end = future::or(reading, future::or(broken, &mut writing)).await;
            tracing::debug!(connection = source, reason = ?end, "caller's connection ends");
            let ending = Box::pin(async {
                if end == End::ClosedHere && !table.borrow().open.is_empty() {
                    let _ = self.core.send(hub::Message::Input(Input::AnswerNow(source))).await;
                }
                if end == End::ProtocolError {
                    self.answer_open_calls(&stream, &table, &to_write, &own, &flushes, &pending).await;
                }
                // What is owed is on its way: the core was asked to answer now.
                let answered =
                    async { while !table.borrow().open.is_empty() && flushes.recv().await.is_ok() {} };
                within(self.limits.flush, answered).await;
                // What is on its way to the caller leaves before the socket does.
                to_write.close();
                own.close();
                while flushes.recv().await.is_ok() {}
                end
            });
            if end != End::Gone {
                within(self.limits.write, future::or(ending, &mut writing)).await;
                let _ = stream.get_ref().shutdown(Shutdown::Write);
            }
            end
        };
        to_write.close();
        if end == End::ClosedHere && !table.borrow().open.is_empty() {
            self.violations.count(Invariant::ClosedWhileOwed, table.borrow().open.keys().next().copied());
        }
        // At once where nothing is open, so that a set-up which crosses the close is the nearer to it.
        let nothing_open = table.borrow().open.is_empty();
        let stream = Some(stream).filter(|_| !nothing_open);
        // Guards against a release that crosses the end of its connection: it goes on another one. So does one
        // that was written a moment ago and not heard, since it may have met a socket that was closed already.
        let mut left = pending.left();
        left.extend(
            table.into_inner().unheard(self.limits.heard).map(|(call, cause)| (call, Reply::Over(cause))),
        );
        left.extend(std::iter::from_fn(|| to_write.try_recv().ok()));
        let mut unheard = BTreeSet::new();
        for (call, reply) in left {
            let message = match reply {
                // Guards against a call that stands for a caller who was never told so.
                Reply::Stands(_) => {
                    unheard.insert(call);
                    hub::Message::Input(Input::Unheard(call))
                }
                Reply::Over(_) if !unheard.contains(&call) => hub::Message::Undelivered(call, reply),
                _ => continue,
            };
            let _ = self.core.send(message).await;
        }
        // Before the socket closes, so that a set-up which crosses that and comes again is not taken for this.
        let _ = self.core.send(hub::Message::Input(Input::SourceGone(source))).await;
        drop(stream);
    }

    /// Guards what else is open on a connection against bytes that concern it not: it gets its answer, or fails in
    /// the end.
    async fn answer_open_calls(
        &self,
        stream: &Async<TcpStream>,
        table: &RefCell<Table>,
        to_write: &Receiver<(CallId, Reply)>,
        own: &Sender<OwnAnswer>,
        flushes: &Receiver<()>,
        pending: &PendingReplies,
    ) {
        let answered = async {
            while !table.borrow().open.is_empty() && flushes.recv().await.is_ok() {}
            End::ProtocolError
        };
        let end = within(self.limits.spoilt, future::or(answered, discard(stream))).await;
        // Guards the one answer: what is being written stays, and what comes later is not passed on.
        to_write.close();
        let mut open = std::mem::take(&mut table.borrow_mut().open);
        let being_written: BTreeSet<CallId> = pending.replies.borrow().iter().map(|r| r.1).collect();
        open.retain(|call, _| !being_written.contains(call));
        pending.keep_back(std::iter::from_fn(|| to_write.try_recv().ok()));
        for (call, OpenSetup { class, .. }) in open.into_iter().filter(|_| end != Some(End::Gone)) {
            let message = Message::new(RELEASE, call).with(CAUSE, &[CAUSE_FAILED]);
            let counts = Some(Counted { class, kind: AnswerKind::Error });
            let _ = own.send(OwnAnswer { message, counts }).await;
        }
    }

    /// Takes what comes, until there is a reason to end the connection.
    ///
    /// What has come by now is looked at together. Guards the servers against set-ups that nobody waits for any
    /// more: while this program stood still, or had no slot, their caller may have left.
    async fn read(
        &self,
        stream: &Async<TcpStream>,
        source: Source,
        table: &RefCell<Table>,
        own: &Sender<OwnAnswer>,
        slot: &ConnectionSlot,
        memory: &Rc<ConnectionMemory>,
    ) -> End {
        let limits = ReaderLimits { message: self.limits.message, rest: self.limits.rest };
        let messages = received(stream, memory.clone(), limits, slot.unfinished());
        pin!(messages);
        let mut share = InputShare::new(Instant::now());
        // How long what is read next may have waited here.
        let mut paused = Duration::ZERO;
        loop {
            let mut next = slot.next(&mut messages, &self.limits).await;
            let (mut batch, mut held) = (Vec::new(), 0);
            let look_ahead = self.look_ahead();
            let mut end = loop {
                match next {
                    Next::Message(received) => {
                        held += received.length;
                        batch.push(received);
                    }
                    Next::End => break Some(End::Gone),
                    Next::Leave => break Some(End::ClosedHere),
                    Next::Failed(e) => {
                        tracing::info!(connection = source, reason = %e, "caller's bytes cannot be read");
                        break Some(if matches!(e, WireError::Io(_)) {
                            End::Gone
                        } else {
                            End::ProtocolError
                        });
                    }
                }
                if held >= look_ahead.bytes || batch.len() >= look_ahead.messages {
                    break None;
                }
                slot.used(true);
                match future::poll_once(slot.next(&mut messages, &self.limits)).await {
                    Some(more) => next = more,
                    None => break None,
                }
            };
            // Guards the servers against set-ups of a client that has left behind much which is not read yet.
            let sets_up = batch.iter().any(|received| received.message.kind == SETUP);
            let gone = end == Some(End::Gone) || sets_up && has_hung_up(stream);
            let given_up = withdraw(&mut batch, gone, &table.borrow().open);
            // A second give-up of these gets no word either.
            given_up.into_iter().for_each(|call| table.borrow_mut().answered(call));
            let turns = batch.len() / MESSAGES_IN_A_TURN;
            let over_share = share.take(Instant::now(), batch.len(), held);
            for Received { message, reservation, .. } in batch {
                let mut read = self.input(&message, reservation, source, &mut table.borrow_mut(), slot);
                if let Read::Input(Input::Call(request)) = &mut read {
                    request.at = request.at.saturating_sub(paused.as_micros() as Time);
                }
                let taken = match read {
                    Read::Input(input) => self.core.send(hub::Message::Input(input)).await.is_ok(),
                    Read::Answer(answer) => own.send(answer).await.is_ok(),
                    Read::Nothing => true,
                    Read::Twice => {
                        tracing::info!(connection = source, call = %Hex(message.call), "two set-ups under one id");
                        end.get_or_insert(End::ProtocolError);
                        let left = Input::Left(message.call, source);
                        self.core.send(hub::Message::Input(left)).await.is_ok()
                    }
                };
                // Guards the answers that still wait here as the core has ended.
                if !taken {
                    return End::ClosedHere;
                }
            }
            if let Some(end) = end {
                return end;
            }
            slot.used(!table.borrow().open.is_empty());
            // Guards the others against a client that sends on and on: each has as many turns.
            for _ in 0..turns {
                future::yield_now().await;
            }
            paused = if over_share { self.lag.pause() } else { Duration::ZERO };
            if !paused.is_zero() {
                self.pause(paused).await;
            }
            // One caller's flood must not keep the others from their turn.
            future::yield_now().await;
        }
    }

    /// Waits for so long, unless the process ends: what has come is answered before it does.
    async fn pause(&self, length: Duration) {
        let ends = async {
            while self.lifecycle.state() != State::ShuttingDown {
                self.lifecycle.changed().await;
            }
        };
        within(length, ends).await;
    }

    /// How much of a connection is looked at together now.
    fn look_ahead(&self) -> LookAhead {
        if self.lag.stood_still() {
            // Its client may have left meanwhile: its close comes behind all that it had written.
            LookAhead { bytes: 1 << 20, messages: 256 }
        } else if self.lag.is_late() {
            // Guards the others: each of them waits for what all connections have to say.
            LookAhead { bytes: self.limits.message / 4, messages: MESSAGES_IN_A_TURN }
        } else {
            LookAhead { bytes: self.limits.message, messages: 256 }
        }
    }

    /// What a message asks for.
    fn input(
        &self,
        message: &Message,
        reservation: Option<Reservation>,
        source: Source,
        table: &mut Table,
        slot: &ConnectionSlot,
    ) -> Read {
        let call = message.call;
        let release = |cause: u8| Message::new(RELEASE, call).with(CAUSE, &[cause]);
        match message.kind {
            // Guards the one answer: with two set-ups under one id, it could be that of the other.
            SETUP if table.open.remove(&call).is_some() => Read::Twice,
            // Clients are sent away, and this connection is to come to be idle.
            SETUP if self.lifecycle.refuses_set_ups() => {
                tracing::info!(call = %Hex(call), reason = ?AnswerReason::Draining, "refused");
                slot.mark_refused();
                self.refuse(message, table)
            }
            // Guards the core's queue and its table against one caller's flood, and the memory against all of them.
            SETUP if reservation.is_none() || table.open.len() >= self.limits.open_per_caller => {
                self.refuse(message, table)
            }
            SETUP => match self.names.borrow().request(message, source, self.limits.units) {
                Ok(request) => {
                    let Some(reservation) = reservation else { return self.refuse(message, table) };
                    if self.shares_socket && self.lifecycle.get().serves().is_err() {
                        self.violations.count(Invariant::TakenBeforeReady, Some(call));
                    }
                    let class = self.counts(message, AnswerKind::Error).map(|counted| counted.class);
                    let class = class.unwrap_or_default();
                    table.open.insert(call, OpenSetup { class, reservation });
                    Read::Input(Input::Call(request))
                }
                Err(cause) => {
                    table.answered(call);
                    let counts = self.counts(message, AnswerKind::Error);
                    Read::Answer(OwnAnswer { message: release(cause), counts })
                }
            },
            // Guards the one answer: a give-up that crosses it gets no second.
            RELEASE if table.own.contains(&call) => Read::Nothing,
            RELEASE => {
                table.open.remove(&call);
                table.standing.remove(&call);
                slot.set_standing(!table.standing.is_empty());
                Read::Input(Input::Left(call, source))
            }
            TEST => {
                let passed = u8::from(self.lifecycle.get().passes_test());
                Read::Answer(Message::new(TESTED, call).with(CAUSE, &[passed]).into())
            }
            HEARD => {
                table.released.retain(|(id, ..)| *id != call);
                Read::Nothing
            }
            PROGRESS | STATE | TESTED => Read::Nothing,
            _ => Read::Answer(release(CAUSE_NO_SUCH_TYPE).into()),
        }
    }

    /// Writes replies, which are kept in `pending` until they are out, and says each time that they are. Ends when
    /// both queues are closed and empty, or the caller takes nothing more.
    #[allow(clippy::too_many_arguments)]
    async fn write(
        &self,
        stream: &Async<TcpStream>,
        replies: &Receiver<(CallId, Reply)>,
        own: &Receiver<OwnAnswer>,
        pending: &PendingReplies,
        table: &RefCell<Table>,
        slot: &ConnectionSlot,
        memory: &ConnectionMemory,
        flushed: &Sender<()>,
    ) {
        loop {
            let reply = async { replies.recv().await.ok().map(|r| (Some(r), None)) };
            let answer = async { own.recv().await.ok().map(|m| (None, Some(m))) };
            let next = future::or(reply, answer).await;
            let ended = next.is_none();
            let (reply, answer) = next.unwrap_or_default();
            let mut bytes = Vec::new();
            let mut counted = Vec::new();
            for own in answer.into_iter().chain(std::iter::from_fn(|| own.try_recv().ok())) {
                bytes.extend(own.message.encode(self.limits.message).unwrap_or_default());
                counted.extend(own.counts);
            }
            let mut next = reply;
            while let Some((call, reply)) = next.take() {
                // Guards a caller that has given up against an answer all the same: the core has heard of it by now, or
                // will next, and releases what stands.
                if reply.ends_a_set_up() && !table.borrow().open.contains_key(&call) {
                    drop_answer(&reply, memory);
                } else {
                    bytes.extend(self.encode(call, &reply).unwrap_or_default());
                    pending.replies.borrow_mut().push((bytes.len(), call, reply));
                }
                // Guards the memory: what is written at once is copied, and answers may be long.
                if bytes.len() < self.limits.message {
                    next = replies.try_recv().ok();
                }
            }
            if bytes.is_empty() && pending.replies.borrow().is_empty() {
                match ended {
                    true => return,
                    false => continue,
                }
            }
            pending.written.set(0);
            let written = within(self.limits.write, pending.write(stream, &bytes)).await;
            if written.is_none_or(|w| w.is_err()) {
                return;
            }
            for Counted { class, kind } in counted {
                self.figures.answered(&class, kind);
            }
            let mut table = table.borrow_mut();
            for (_, call, reply) in pending.replies.borrow_mut().drain(..) {
                let kind = match reply {
                    Reply::Stands(description) => {
                        slot.mark_served();
                        memory.mark_served();
                        memory.drop_answer(description.len());
                        table.standing.insert(call);
                        AnswerKind::Success
                    }
                    Reply::Refused(_) => AnswerKind::Overload,
                    Reply::Failed => AnswerKind::Error,
                    Reply::Over(cause) => {
                        table.standing.remove(&call);
                        table.wrote_release(call, cause, self.limits.heard);
                        continue;
                    }
                    Reply::Heard => {
                        table.standing.remove(&call);
                        continue;
                    }
                    Reply::Unknown => continue,
                };
                if let Some(OpenSetup { class, .. }) = table.open.remove(&call) {
                    self.figures.answered(&class, kind);
                }
            }
            slot.set_standing(!table.standing.is_empty());
            slot.used(!table.open.is_empty());
            let _ = flushed.try_send(());
        }
    }
}

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// The caller has left, it broke, or the core has dropped it: nothing goes out on it any more.
    Gone,
    /// Closed by this side, since nothing is open on it or the program ends. What is on its way to the caller leaves.
    ClosedHere,
    /// Nobody can read what comes on it.
    ProtocolError,
}

/// An answer that is not written holds nothing any more.
fn drop_answer(reply: &Reply, memory: &ConnectionMemory) {
    if let Reply::Stands(description) = reply {
        memory.drop_answer(description.len());
    }
}

/// Takes out the set-ups whose caller has left by now: `gone`, or with a give-up further on, which goes as well. Gives the
/// calls that were given up.
fn withdraw(batch: &mut Vec<Received>, gone: bool, open: &BTreeMap<CallId, OpenSetup>) -> BTreeSet<CallId> {
    let mut given_up = BTreeSet::new();
    let mut left = BTreeSet::new();
    let messages = || batch.iter().map(|received| &received.message);
    for message in messages().rev().filter(|m| !open.contains_key(&m.call)) {
        match message.kind {
            RELEASE => given_up.insert(message.call),
            SETUP if given_up.contains(&message.call) => left.insert(message.call),
            _ => false,
        };
    }
    batch.retain(|Received { message, .. }| !(left.contains(&message.call) || gone && message.kind == SETUP));
    left
}

/// Reads and forgets, until the other side closes.
async fn discard(mut stream: &Async<TcpStream>) -> End {
    let mut bytes = [0; 1024];
    while stream.read(&mut bytes).await.is_ok_and(|n| n > 0) {
        future::yield_now().await;
    }
    End::Gone
}

/// What a final answer counts as in the figures, once it has been written.
struct Counted {
    class: Rc<str>,
    kind: AnswerKind,
}

/// A message of the front's own, without the core.
struct OwnAnswer {
    message: Message,
    counts: Option<Counted>,
}

impl From<Message> for OwnAnswer {
    fn from(message: Message) -> Self {
        OwnAnswer { message, counts: None }
    }
}

/// What to do upon a message.
enum Read {
    Input(Input),
    Answer(OwnAnswer),
    Nothing,
    /// A set-up under the id of one that was open.
    Twice,
}

/// Takes callers, until the shutdown has closed their last connection.
pub async fn listen(front: Rc<Front>, listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>) {
    let (limits, lifecycle) = (front.limits.clone(), front.lifecycle.clone());
    let slots = SlotLimits { most: limits.caller_conns, settle: limits.settle };
    accept_all(listener, slots, limits, executor, lifecycle, move |stream, source, slot| {
        let front = front.clone();
        async move { front.serve(stream, source, &slot).await }
    })
    .await;
}

#[cfg(test)]
mod tests;

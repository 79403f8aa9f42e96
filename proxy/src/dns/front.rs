//! Takes ENUM queries over UDP and TCP and answers each of them once.

use super::message::{
    BADVERS, Bad, EDE_NO_REACHABLE_AUTHORITY, EDE_NOT_READY, EDE_NOT_SUPPORTED, Query, REFUSED, SERVFAIL,
};
use super::{Decoder, framed};
use crate::clock::unix_now;
use crate::engine::{Input, Reply, Request, Source};
use crate::hub::{CallerConnection, Message};
use crate::lifecycle::shared::SharedLifecycle;
use crate::limits::Limits;
use crate::net::{ConnectionSlot, Next, SlotLimits, accept_all, messages_noting, write_all};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use fernspan_core::{CallId, Time};
use futures_lite::{future, pin};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::Hash;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;

/// The source of all queries over UDP; connections count from the next.
const DATAGRAMS: Source = 0;

/// What both transports share.
pub struct Front {
    /// Labels that end the names that are answered, as `e164`, `arpa`.
    pub zone: Vec<String>,
    pub patience: Time,
    pub limits: Limits,
    pub core: Sender<Message>,
    next: Cell<CallId>,
}

/// The queries of one transport that have no answer yet, by call and by asker.
struct Waiting<K> {
    calls: HashMap<CallId, (K, Query)>,
    askers: HashMap<(K, u16), CallId>,
}

impl<K: Copy + Eq + Hash> Waiting<K> {
    fn new() -> Self {
        Waiting { calls: HashMap::new(), askers: HashMap::new() }
    }

    fn add(&mut self, call: CallId, key: K, query: Query) {
        self.askers.insert((key, query.id), call);
        self.calls.insert(call, (key, query));
    }

    fn take(&mut self, call: CallId) -> Option<(K, Query)> {
        let (key, query) = self.calls.remove(&call)?;
        self.askers.remove(&(key, query.id));
        Some((key, query))
    }
}

impl Front {
    pub fn new(zone: Vec<String>, patience: Time, limits: Limits, core: Sender<Message>) -> Self {
        Front { zone, patience, limits, core, next: Cell::new(0) }
    }

    /// A call made of a query's bytes, or the answer that can be given at once.
    fn read(&self, bytes: &[u8], source: Source) -> Result<(Request, Query), Option<Vec<u8>>> {
        let query = Query::parse(bytes).map_err(|bad: Bad| bad.answer())?;
        if query.wants_unknown_edns() {
            return Err(Some(query.error(BADVERS, None)));
        }
        let Some(number) = query.number(&self.zone) else {
            let why = "only NAPTR questions for E.164 numbers are answered here";
            return Err(Some(query.error(REFUSED, Some((EDE_NOT_SUPPORTED, why)))));
        };
        self.next.set(self.next.get() + 1);
        let request = Request {
            id: self.next.get(),
            source,
            at: unix_now(),
            patience: self.patience,
            class: 0,
            tenant: None,
            number,
            first_choice: None,
            units: 1.0,
            redialled: false,
            cut_before: false,
            payload: query.onward(query.id).into(),
        };
        Ok((request, query))
    }

    async fn input(&self, input: Input) -> bool {
        self.core.send(Message::Input(input)).await.is_ok()
    }

    /// Serves all queries over UDP.
    pub async fn datagrams(self: Rc<Self>, socket: Async<UdpSocket>) {
        let (replies, to_send) = async_channel::unbounded();
        if self.core.send(Message::Open(DATAGRAMS, CallerConnection::unlimited(replies))).await.is_err() {
            return;
        }
        let waiting = RefCell::new(Waiting::new());
        let reading = async {
            let mut buffer = vec![0; self.limits.message];
            loop {
                let (length, peer) = match socket.recv_from(&mut buffer).await {
                    Ok(found) => found,
                    // Guards against an asker that is gone: the error is its, not the socket's.
                    Err(e) => {
                        tracing::warn!("ENUM: {e}");
                        Timer::after(self.limits.pause).await;
                        continue;
                    }
                };
                match self.read(&buffer[..length], DATAGRAMS) {
                    Ok((request, query)) => {
                        // Guards the one answer: an asker that repeats itself waits for the same.
                        if waiting.borrow().askers.contains_key(&(peer, query.id)) {
                            continue;
                        }
                        waiting.borrow_mut().add(request.id, peer, query);
                        if !self.input(Input::Call(request)).await {
                            return;
                        }
                    }
                    Err(answer) => send(&socket, answer.as_deref(), peer).await,
                }
            }
        };
        let writing = async {
            while let Ok((call, reply)) = to_send.recv().await {
                let found = waiting.borrow_mut().take(call);
                let Some((peer, query)) = found else { continue };
                send(&socket, answer(&query, &reply, true).as_deref(), peer).await;
            }
        };
        future::or(reading, writing).await;
    }

    /// Serves one connection, until the asker ends it or says nothing for too long.
    async fn connection(&self, stream: Async<TcpStream>, source: Source, slot: &ConnectionSlot) {
        let (replies, to_send) = async_channel::unbounded();
        if self.core.send(Message::Open(source, CallerConnection::unlimited(replies))).await.is_err() {
            return;
        }
        let (own, own_to_send) = async_channel::bounded::<Vec<u8>>(self.limits.own_queue);
        let waiting = RefCell::new(Waiting::new());
        let reading = async {
            let decoder = Decoder { most: self.limits.message };
            let (read, rest) = (self.limits.read, self.limits.rest);
            let queries = messages_noting(&stream, decoder, read, rest, slot.unfinished());
            pin!(queries);
            while let Next::Message(bytes) = slot.next(&mut queries, &self.limits).await {
                match self.read(&bytes, source) {
                    // Guards the core's table against one asker's flood.
                    Ok((_, query)) if waiting.borrow().calls.len() >= self.limits.open_per_caller => {
                        let why = "too many questions at once on this connection";
                        let refused = query.error(REFUSED, Some((EDE_NOT_READY, why)));
                        if own.send(refused).await.is_err() {
                            return;
                        }
                    }
                    Ok((request, query)) => {
                        slot.used(true);
                        waiting.borrow_mut().add(request.id, (), query);
                        if !self.input(Input::Call(request)).await {
                            return;
                        }
                    }
                    Err(Some(answer)) => {
                        if own.send(answer).await.is_err() {
                            return;
                        }
                    }
                    Err(None) => {}
                }
            }
        };
        future::or(reading, self.write(&stream, &waiting, to_send, own_to_send, slot)).await;
        self.input(Input::SourceGone(source)).await;
    }

    async fn write(
        &self,
        stream: &Async<TcpStream>,
        waiting: &RefCell<Waiting<()>>,
        replies: Receiver<(CallId, Reply)>,
        own: Receiver<Vec<u8>>,
        slot: &ConnectionSlot,
    ) {
        loop {
            let reply = async {
                let (call, reply) = replies.recv().await.ok()?;
                let found = waiting.borrow_mut().take(call);
                Some(found.and_then(|(_, query)| answer(&query, &reply, false)))
            };
            let next = future::or(reply, async { own.recv().await.ok().map(Some) }).await;
            let Some(message) = next else { return };
            let Some(bytes) = message.and_then(|m| framed(&m)) else { continue };
            if write_all(stream, &bytes, self.limits.write).await.is_err() {
                return;
            }
            slot.mark_served();
            slot.used(!waiting.borrow().calls.is_empty());
        }
    }

    /// Serves all queries over TCP.
    pub async fn connections(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        executor: Rc<LocalExecutor<'static>>,
        lifecycle: SharedLifecycle,
    ) {
        let limits = self.limits.clone();
        let slots = SlotLimits { most: limits.askers, settle: limits.settle };
        accept_all(listener, slots, limits, executor, lifecycle, move |stream, source, slot| {
            let front = self.clone();
            async move { front.connection(stream, DATAGRAMS + source, &slot).await }
        })
        .await;
    }
}

async fn send(socket: &Async<UdpSocket>, answer: Option<&[u8]>, peer: SocketAddr) {
    if let Some(bytes) = answer
        && let Err(e) = socket.send_to(bytes, peer).await
    {
        tracing::warn!("ENUM: {e}");
    }
}

/// The engine's reply in DNS words. What follows an answered look-up says nothing to the asker.
fn answer(query: &Query, reply: &Reply, datagram: bool) -> Option<Vec<u8>> {
    match reply {
        Reply::Stands(answer) => Some(query.passed_on(answer, datagram)),
        Reply::Refused(wait) => {
            let ms = wait.unwrap_or(0) / 1000;
            let text = format!("name servers are at their limit; retry in {ms} ms");
            Some(query.error(REFUSED, Some((EDE_NOT_READY, &text))))
        }
        Reply::Failed => {
            let why = "no name server gave an answer in time";
            Some(query.error(SERVFAIL, Some((EDE_NO_REACHABLE_AUTHORITY, why))))
        }
        Reply::Unknown | Reply::Over(_) | Reply::Heard => None,
    }
}

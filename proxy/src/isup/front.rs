//! Takes callers' connections and translates between them and the engine.

use super::*;
use crate::engine::{Input, Reply, Request, Source};
use crate::hub;
use crate::limits::Limits;
use crate::net::{accept_all, messages, unix_now, write_all};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use fernspan_core::{Place, Time};
use futures_lite::{StreamExt, future, pin};
use std::cell::RefCell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Names that set-ups use, in the order of the settings.
pub struct Names {
    pub classes: Vec<String>,
    /// How long a caller of each class waits where a set-up does not say.
    pub patience: Vec<Time>,
    pub tenants: Vec<String>,
}

/// Listens for callers.
pub struct Front {
    pub names: Names,
    pub limits: Limits,
    pub core: Sender<hub::Message>,
}

/// The figures of a set-up, as in `dest:2;width:1;via:-1`.
struct Figures {
    first_choice: Option<Place>,
    units: f64,
    cut_before: bool,
}

fn figures(text: &str) -> Figures {
    let mut figures = Figures { first_choice: None, units: 1.0, cut_before: false };
    for (name, value) in text.split(';').filter_map(|f| f.split_once(':')) {
        match name {
            "dest" => figures.first_choice = value.parse().ok(),
            "width" => figures.units = value.parse().ok().filter(|n: &f64| n.is_finite()).unwrap_or(1.0),
            "again" => figures.cut_before = value == "1",
            _ => {}
        }
    }
    figures
}

impl Front {
    /// A set-up in the engine's words; `None` where what it needs is missing.
    fn request(&self, m: &Message, source: Source) -> Option<Request> {
        let class = m.text(CLASS)?;
        let class = self.names.classes.iter().position(|c| c == class)?;
        let tenant = m.text(TENANT).and_then(|t| self.names.tenants.iter().position(|n| n == t));
        let patience = match m.text(PATIENCE) {
            Some(ms) => ms.parse::<Time>().ok()?.saturating_mul(1000),
            None => self.names.patience[class],
        };
        let figures = figures(m.text(FIGURES).unwrap_or_default());
        Some(Request {
            id: m.call,
            source,
            at: unix_now(),
            patience,
            class,
            tenant,
            number: m.text(NUMBER).filter(|n| number_is_plain(n))?.to_owned(),
            first_choice: figures.first_choice,
            units: figures.units,
            redialled: m.text(RETRY) == Some("1"),
            cut_before: figures.cut_before,
            payload: m.get(DESCRIPTION).unwrap_or_default().into(),
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
            Reply::Over(cause) => release(*cause),
            Reply::Heard => Message::new(HEARD, call),
        };
        message.encode(self.limits.message)
    }

    /// One connection, until either side ends it. Bytes that are no message end it too.
    async fn serve(&self, stream: Async<TcpStream>, source: Source) {
        let _ = stream.get_ref().set_nodelay(true);
        let (replies, to_write) = async_channel::bounded(self.limits.link_queue);
        // The core alone holds the sender: when it drops it, the connection ends.
        if self.core.send(hub::Message::Open(source, replies)).await.is_err() {
            return;
        }
        let (tests, to_test) = async_channel::bounded(self.limits.link_queue);
        let reading = async {
            let decoder = Decoder { most: self.limits.message };
            let messages = messages(&stream, decoder, self.limits.read);
            pin!(messages);
            while let Some(message) = messages.next().await {
                let message = match message {
                    Ok(message) => message,
                    Err(e) => {
                        eprintln!("caller {source}: {e}");
                        return;
                    }
                };
                let input = match message.kind {
                    SETUP => match self.request(&message, source) {
                        Some(request) => Input::Call(request),
                        None => {
                            let bad = Message::new(RELEASE, message.call).with(CAUSE, &[CAUSE_MISSING]);
                            if tests.send(bad).await.is_err() {
                                return;
                            }
                            continue;
                        }
                    },
                    RELEASE => Input::Left(message.call),
                    TEST => {
                        if tests.send(Message::new(TESTED, message.call).with(CAUSE, &[1])).await.is_err() {
                            return;
                        }
                        continue;
                    }
                    _ => continue,
                };
                if self.core.send(hub::Message::Input(input)).await.is_err() {
                    return;
                }
            }
        };
        let in_hand = RefCell::new(Vec::new());
        future::or(reading, self.write(&stream, &to_write, to_test, &in_hand)).await;
        // Guards against a release that crosses the end of its connection: it goes on another one.
        to_write.close();
        let mut left = in_hand.into_inner();
        left.extend(std::iter::from_fn(|| to_write.try_recv().ok()));
        for (call, reply) in left.into_iter().filter(|(_, reply)| matches!(reply, Reply::Over(_))) {
            let _ = self.core.send(hub::Message::Undelivered(call, reply)).await;
        }
        let _ = self.core.send(hub::Message::Input(Input::SourceGone(source))).await;
    }

    /// Writes replies, which are kept `in_hand` until they are out.
    async fn write(
        &self,
        stream: &Async<TcpStream>,
        replies: &Receiver<(CallId, Reply)>,
        own: Receiver<Message>,
        in_hand: &RefCell<Vec<(CallId, Reply)>>,
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
            in_hand.borrow_mut().clear();
        }
    }
}

/// Whether a number can stand in a SIP address as it is.
fn number_is_plain(number: &str) -> bool {
    !number.is_empty() && number.bytes().all(|b| b.is_ascii_graphic() && !b"@<>\"".contains(&b))
}

/// Takes callers for ever.
pub async fn listen(front: Rc<Front>, listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>) {
    let (most, pause) = (front.limits.caller_conns, front.limits.pause);
    accept_all(listener, most, pause, executor, move |stream, source| {
        let front = front.clone();
        async move { front.serve(stream, source).await }
    })
    .await;
}

//! A signalling proxy on real sockets around the decision module.
//!
//! `PROXY_CONFIG` names the platform's configuration, `PROXY_ENUM` an operator's file that turns the ENUM
//! front on. Each front has an engine of its own; either may be left out.
#![forbid(unsafe_code)]

pub mod config;
pub mod dns;
pub mod engine;
pub mod feed;
pub mod hub;
pub mod isup;
pub mod limits;
pub mod log;
pub mod net;
pub mod operator;
pub mod sip;
pub mod xds;

use crate::engine::Engine;
use crate::hub::{Core, Message};
use crate::limits::Limits;
use crate::net::within;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use async_signal::{Signal, Signals};
use fernspan_core::ListKind;
use futures_lite::{StreamExt, future};
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// What all tasks of the program run on.
pub type Executor = Rc<LocalExecutor<'static>>;

/// A core at work, and what serves it.
struct Serving {
    /// The way to the core.
    queue: Sender<Message>,
    core: Task<()>,
    /// What takes connections.
    front: Vec<Task<()>>,
    /// Closed once the last connection has ended.
    ended: Receiver<Infallible>,
}

/// Reads what is configured and serves until SIGTERM.
pub async fn start(executor: Executor) -> Result<(), String> {
    // Guards against the end of the process on SIGHUP: a reload must lose no call.
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
    let mut serving: Vec<Serving> = Vec::new();
    let mut flush = Duration::ZERO;
    let mut reload = None;
    if let Some((path, text)) = file_of("PROXY_CONFIG")? {
        let config = config::read(&text).map_err(|e| format!("{path}: {e}"))?;
        let longest = config.start.settings.longest();
        let limits = Limits::new(config.sockets, config.memory, config.open_calls, config.connect, longest);
        flush = limits.flush;
        let (channels, moves) = async_channel::bounded(1);
        serving.push(platform(config, limits, moves, &executor).await?);
        reload = Some((path, channels));
    }
    if let Some((path, text)) = file_of("PROXY_ENUM")? {
        let operator = operator::read(&text).map_err(|e| format!("{path}: {e}"))?;
        let limits = operator.limits();
        flush = limits.flush;
        serving.push(enumeration(operator, limits, path, text, &executor).await?);
    }
    if serving.is_empty() {
        return Err("neither PROXY_CONFIG nor PROXY_ENUM names a file".to_owned());
    }
    let queues: Vec<Sender<Message>> = serving.iter().map(|s| s.queue.clone()).collect();
    let stop = async {
        while let Some(signal) = signals.next().await {
            match (signal, &reload) {
                // The operator's file is looked at all the time and needs no signal.
                (Ok(Signal::Hup), None) => {}
                (Ok(Signal::Hup), Some((path, channels))) => read_again(path, channels),
                _ => {
                    for queue in &queues {
                        let _ = queue.send(Message::Stop).await;
                    }
                }
            }
        }
        future::pending().await
    };
    let served = async {
        for Serving { core, front, ended, .. } in serving {
            core.await;
            // The last answers are with the connections' writers by now; they get a moment to leave.
            drop(front);
            within(flush, async { while ended.recv().await.is_ok() {} }).await;
        }
    };
    future::or(served, stop).await;
    Ok(())
}

/// The file that a variable names, where it is set.
fn file_of(variable: &str) -> Result<Option<(String, String)>, String> {
    let Ok(path) = std::env::var(variable) else { return Ok(None) };
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    Ok(Some((path, text)))
}

/// SIGHUP: the command channel has moved. All else stays as it was started; a bad file changes nothing.
fn read_again(path: &str, channels: &Sender<SocketAddr>) {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
    match text.and_then(|text| config::read(&text)) {
        Ok(config) => {
            crate::log!("{path}: read again, the command channel is at {}", config.channel);
            let _ = channels.force_send(config.channel);
        }
        Err(e) => crate::log!("{path}: {e}; the configuration stays as it is"),
    }
}

/// The platform's protocol: callers in front, setup servers behind, the command channel beside them.
async fn platform(
    config: config::Config,
    limits: Limits,
    moves: Receiver<SocketAddr>,
    executor: &Executor,
) -> Result<Serving, String> {
    let (queue, messages) = async_channel::bounded(limits.core_queue);
    let classes = &config.start.settings.classes;
    let names = isup::front::Names {
        patience: classes.iter().map(|c| c.limit).collect(),
        places: classes.iter().map(|c| c.places.clone()).collect(),
        hold_off: config.start.settings.max_hold_off,
        classes: config.classes.clone(),
        tenants: config.tenants,
    };
    let shared = sip::state::Shared {
        classes: config.classes,
        gives_wait: config.start.gives_wait,
        limits: limits.clone(),
    };
    let setups = sip::link::Setups { shared: Rc::new(shared), executor: executor.clone() };
    let engine = Engine::new(config.start.settings, config.seed, &limits);
    let core = Core::new(engine, setups, limits.clone(), queue.clone());
    let core = executor.spawn(core.run(messages));

    // The events of the start go in before anybody can ask, so that a test passes only when all is ready.
    for event in config.known {
        let kind = if event.kind == ListKind::Whole { ListKind::Saved } else { event.kind };
        send(&queue, Message::List(kind, event.servers)).await?;
    }
    let feed = feed::Feed {
        addr: config.channel,
        zones: config.zones,
        limits: limits.clone(),
        core: queue.clone(),
        last: config.cursor,
        moves,
    };
    executor.spawn(feed.run()).detach();
    let listener = listen(config.listen)?;
    crate::log!("{}: serving on {}", config.name, local(&listener)?);
    let (open, ended) = async_channel::bounded(1);
    let front = isup::front::Front { names, limits, core: queue.clone(), _open: open };
    let front = vec![executor.spawn(isup::front::listen(Rc::new(front), listener, executor.clone()))];
    Ok(Serving { queue, core, front, ended })
}

/// ENUM look-ups: askers in front, name servers behind, the operator's file beside them.
async fn enumeration(
    operator: operator::Operator,
    limits: Limits,
    path: String,
    text: String,
    executor: &Executor,
) -> Result<Serving, String> {
    let (queue, messages) = async_channel::bounded(limits.core_queue);
    let backend = dns::link::NameServers { limits: limits.clone(), executor: executor.clone() };
    let seed = match operator.seed {
        Some(seed) => seed,
        None => getrandom::u64().map_err(|e| format!("no random numbers: {e}"))?,
    };
    let engine = Engine::new(operator.settings, seed, &limits);
    let core = Core::new(engine, Rc::new(backend), limits.clone(), queue.clone());
    let core = executor.spawn(core.run(messages));

    send(&queue, Message::List(ListKind::Saved, operator.cluster.servers)).await?;
    executor.spawn(operator::watch(path.into(), text, limits.watch, queue.clone())).detach();
    let listener = listen(operator.listen)?;
    let at = local(&listener)?;
    let socket = Async::<UdpSocket>::bind(at).map_err(|e| format!("cannot listen on {at}: {e}"))?;
    crate::log!("ENUM: serving on {at}");
    let patience = operator.patience.as_micros() as u64;
    let (open, ended) = async_channel::bounded(1);
    let enumerator = dns::front::Front::new(operator.zone, patience, limits, queue.clone(), open);
    let enumerator = Rc::new(enumerator);
    let front = vec![
        executor.spawn(enumerator.clone().datagrams(socket)),
        executor.spawn(enumerator.connections(listener, executor.clone())),
    ];
    Ok(Serving { queue, core, front, ended })
}

fn listen(addr: SocketAddr) -> Result<Async<TcpListener>, String> {
    Async::<TcpListener>::bind(addr).map_err(|e| format!("cannot listen on {addr}: {e}"))
}

fn local(listener: &Async<TcpListener>) -> Result<SocketAddr, String> {
    listener.get_ref().local_addr().map_err(|e| format!("no local address: {e}"))
}

async fn send(queue: &Sender<Message>, message: Message) -> Result<(), String> {
    queue.send(message).await.map_err(|_| "the core has stopped".to_owned())
}

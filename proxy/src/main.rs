//! A signalling proxy on real sockets around the decision module.
#![forbid(unsafe_code)]

mod config;
mod engine;
mod feed;
mod hub;
mod isup;
mod limits;
mod net;
mod sip;

use crate::config::Config;
use crate::engine::Engine;
use crate::hub::{Core, Message};
use crate::isup::front::{Front, Names, listen};
use crate::limits::Limits;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use fernspan_core::ListKind;
use futures_lite::{StreamExt, future};
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

fn main() -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    match async_io::block_on(executor.run(start(executor.clone()))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("proxy: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the configuration and serves until SIGTERM.
async fn start(executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG names no configuration".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let config = config::read(&text).map_err(|e| format!("{path}: {e}"))?;
    let limits = Limits::new(config.sockets, config.connect);
    serve(config, limits, executor).await
}

async fn serve(config: Config, limits: Limits, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))?;
    let (queue, messages) = async_channel::bounded(limits.core_queue);
    let patience = config.start.settings.classes.iter().map(|c| c.limit).collect();
    let setups = sip::link::Setups {
        classes: config.classes.clone(),
        gives_wait: config.start.gives_wait,
        limits: limits.clone(),
        executor: executor.clone(),
    };
    let engine = Engine::new(config.start.settings, config.seed, &limits);
    let core = Core::new(engine, Rc::new(setups), limits.clone(), queue.clone());
    let served = executor.spawn(core.run(messages));

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
    };
    executor.spawn(feed.run()).detach();
    let listener = Async::<TcpListener>::bind(config.listen)
        .map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let names = Names { classes: config.classes, patience, tenants: config.tenants };
    let front = Front { names, limits: limits.clone(), core: queue.clone() };
    executor.spawn(listen(Rc::new(front), listener, executor.clone())).detach();
    eprintln!("{}: serving on {}", config.name, config.listen);

    let stop = async {
        if signals.next().await.is_some() {
            let _ = queue.send(Message::Stop).await;
        }
        future::pending::<()>().await
    };
    future::or(served, stop).await;
    // The last answers are with the connections' writers by now; they get a moment to leave.
    Timer::after(Duration::from_millis(100)).await;
    Ok(())
}

async fn send(queue: &async_channel::Sender<Message>, message: Message) -> Result<(), String> {
    queue.send(message).await.map_err(|_| "the core has stopped".to_owned())
}

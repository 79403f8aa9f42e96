//! The Unix sockets by which the processes of one proxy find each other.
//!
//! Each process listens in `$TMPDIR` under a name made of the clients' address, its own number and a random one, and at its start
//! connects to those that are there, so that any two processes have one connection. Two processes may have the same number, one
//! after another or in namespaces of their own: neither takes the other's name.

use super::message::{Lines, PeerMessage};
use super::{PeerEvent, PeerId, PeerOutput};
use crate::hub;
use crate::lifecycle::shared::SharedLifecycle;
use crate::lifecycle::{Event, OperatorsWord};
use crate::limits::Limits;
use crate::net::{messages, within, write_all};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{StreamExt, future, pin};
use std::cell::Cell;
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The other processes of this proxy.
pub struct PeerNetwork {
    folder: PathBuf,
    /// What the names of all processes of this proxy begin with.
    prefix: String,
    core: Sender<hub::Message>,
    lifecycle: SharedLifecycle,
    limits: Limits,
    executor: Rc<LocalExecutor<'static>>,
    last: Cell<PeerId>,
}

/// The file of a listening socket, which goes with it.
struct SocketFile(PathBuf);

impl Drop for SocketFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

impl PeerNetwork {
    /// The processes that serve clients at `address` and share `folder`.
    pub fn new(
        folder: PathBuf,
        address: SocketAddr,
        core: Sender<hub::Message>,
        lifecycle: SharedLifecycle,
        limits: Limits,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let prefix = format!("fernspan-{address}-");
        Rc::new(PeerNetwork { folder, prefix, core, lifecycle, limits, executor, last: Cell::new(0) })
    }

    /// Listens for those to come, and connects to those that are there. Ends once each of these has said what operators have
    /// asked for, or has had its time to. A process serves without the others as well.
    pub async fn join(self: &Rc<Self>) {
        let random = getrandom::u32().unwrap_or_default();
        let own = self.folder.join(format!("{}{}-{random:08x}", self.prefix, std::process::id()));
        let there = self.others(&own);
        match Async::<UnixListener>::bind(&own) {
            Ok(listener) => {
                let listening = self.clone().listen(listener, SocketFile(own));
                self.executor.spawn(listening).detach();
            }
            Err(e) => tracing::warn!(path = %own.display(), error = %e, "no socket for other processes"),
        }
        for path in there {
            within(self.limits.peer_greeting_timeout, self.connect(&path)).await;
        }
    }

    fn others(&self, own: &Path) -> Vec<PathBuf> {
        let entries = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let named = |path: &PathBuf| {
            path.file_name().and_then(|name| name.to_str()).is_some_and(|name| name.starts_with(&self.prefix))
        };
        entries.map(|entry| entry.path()).filter(|path| path != own && named(path)).collect()
    }

    async fn connect(self: &Rc<Self>, path: &Path) {
        match Async::<UnixStream>::connect(path).await {
            Ok(stream) => {
                let (greeted, greeting) = async_channel::bounded(1);
                self.executor.spawn(self.clone().serve(stream, Some(greeted))).detach();
                let _ = greeting.recv().await;
            }
            // The process that had it is gone.
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                let _ = std::fs::remove_file(path);
            }
            Err(e) => tracing::warn!(path = %path.display(), error = %e, "other process"),
        }
    }

    async fn listen(self: Rc<Self>, listener: Async<UnixListener>, _file: SocketFile) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.executor.spawn(self.clone().serve(stream, None)).detach(),
                Err(e) => {
                    tracing::warn!(error = %e, "accept from other processes");
                    Timer::after(self.limits.pause).await;
                }
            }
        }
    }

    /// One other process, until either ends.
    async fn serve(self: Rc<Self>, stream: Async<UnixStream>, greeted: Option<Sender<()>>) {
        let peer = self.last.get() + 1;
        self.last.set(peer);
        let (sender, to_write) = async_channel::bounded(self.limits.peer_queue);
        if !self.tell_core(PeerEvent::Opened(peer, sender)).await {
            return;
        }
        self.lifecycle.handle(Event::PeerOpened);
        tracing::info!(peer, "another process of this proxy is there");
        future::or(self.read(&stream, peer, greeted), self.write(&stream, to_write)).await;
        tracing::info!(peer, "the other process is gone");
        self.lifecycle.handle(Event::PeerClosed);
        self.tell_core(PeerEvent::Closed(peer)).await;
    }

    async fn tell_core(&self, event: PeerEvent) -> bool {
        self.core.send(hub::Message::Peer(event)).await.is_ok()
    }

    async fn read(&self, stream: &Async<UnixStream>, peer: PeerId, greeted: Option<Sender<()>>) {
        let lines = messages(stream, Lines, self.limits.read, self.limits.rest);
        pin!(lines);
        while let Some(line) = lines.next().await {
            match line {
                Ok(PeerMessage::Operators(word)) => {
                    self.lifecycle.handle(Event::PeerSays(word));
                    if let Some(greeted) = &greeted {
                        let _ = greeted.try_send(());
                    }
                }
                Ok(message) => {
                    if !self.tell_core(PeerEvent::Said(peer, message)).await {
                        return;
                    }
                }
                Err(e) => {
                    tracing::warn!(peer, error = %e, "other process");
                    return;
                }
            }
        }
    }

    /// Writes what the core has to say, and what operators have asked for: as the greeting, and each time that it changes.
    async fn write(&self, stream: &Async<UnixStream>, to_write: Receiver<PeerOutput>) {
        let mut greeted = false;
        let mut said: Option<OperatorsWord> = None;
        loop {
            let changed = self.lifecycle.changed();
            let word = self.lifecycle.get().operators_word();
            let mut text = String::new();
            let mut written = Vec::new();
            if greeted && said != Some(word) {
                said = Some(word);
                text += &PeerMessage::Operators(word).encode();
            } else {
                let next = future::or(async { Some(to_write.recv().await) }, async {
                    changed.await;
                    None
                })
                .await;
                let first = match next {
                    Some(Ok(first)) => first,
                    Some(Err(_)) => return,
                    None => continue,
                };
                for output in std::iter::once(first).chain(std::iter::from_fn(|| to_write.try_recv().ok())) {
                    match output {
                        PeerOutput::Message(message) => text += &message.encode(),
                        PeerOutput::Greeting => greeted = true,
                        PeerOutput::Written(told) => written.push(told),
                    }
                }
            }
            if write_all(stream, text.as_bytes(), self.limits.write).await.is_err() {
                return;
            }
            drop(written);
        }
    }
}

#[cfg(test)]
mod tests;

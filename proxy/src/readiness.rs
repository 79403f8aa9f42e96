//! Whether this process takes clients.

use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// Why a process takes no clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReady {
    /// No list of servers has come yet.
    #[error("the list of servers is not known yet")]
    NoServerList,
    /// Nobody accepts connections yet.
    #[error("connections are not accepted yet")]
    NotAccepting,
    /// It has been told to end.
    #[error("this process is shutting down")]
    ShuttingDown,
}

/// What has to hold before a process says that it takes clients. Its clones share one state.
#[derive(Clone, Default)]
pub struct Readiness(Rc<State>);

struct State {
    /// Closed once the list is known.
    server_list: (Sender<()>, Receiver<()>),
    accepting: Cell<bool>,
    shutting_down: Cell<bool>,
}

impl Default for State {
    fn default() -> Self {
        State {
            server_list: async_channel::bounded(1),
            accepting: Cell::new(false),
            shutting_down: Cell::new(false),
        }
    }
}

impl Readiness {
    /// The core has the list of servers.
    pub fn server_list_known(&self) {
        self.0.server_list.0.close();
    }

    /// Waits until the core has the list of servers.
    pub async fn wait_for_server_list(&self) {
        let _ = self.0.server_list.1.recv().await;
    }

    /// Connections are accepted from now on.
    pub fn accepting(&self) {
        self.0.accepting.set(true);
    }

    /// The process has been told to end. Says whether that is news.
    pub fn shutting_down(&self) -> bool {
        !self.0.shutting_down.replace(true)
    }

    /// Whether the core has the list of servers.
    pub fn knows_server_list(&self) -> bool {
        self.0.server_list.0.is_closed()
    }

    /// Whether a set-up would be served.
    ///
    /// # Errors
    /// Why none would be.
    pub fn serves(&self) -> Result<(), NotReady> {
        if !self.knows_server_list() {
            return Err(NotReady::NoServerList);
        }
        if !self.0.accepting.get() {
            return Err(NotReady::NotAccepting);
        }
        Ok(())
    }

    /// Whether new clients are to be sent here.
    ///
    /// # Errors
    /// Why none are.
    pub fn takes_clients(&self) -> Result<(), NotReady> {
        self.serves()?;
        if self.0.shutting_down.get() {
            return Err(NotReady::ShuttingDown);
        }
        Ok(())
    }
}

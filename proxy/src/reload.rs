//! A new configuration at SIGHUP: taken whole or turned down whole, and counted.

use crate::classes::ClassTable;
use crate::config::{self, Config, ConfigError};
use crate::figures::Figures;
use crate::hub::{Message, NewSettings};
use crate::isup::names::{Names, SharedNames};
use crate::lifecycle::shared::SharedLifecycle;
use crate::limits::ShutdownLimits;
use crate::oddity;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use fernspan_settings::json::{self, Value};
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a file is turned down.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// It cannot be read.
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    /// It holds what cannot be meant.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// It lacks a key that the configuration of the start has.
    #[error("field config: {0} is missing")]
    MissingKey(String),
}

/// The text of the file at a SIGHUP, as far as it could be read.
pub type FileRead = std::io::Result<String>;

/// Takes new configurations, one after another.
pub struct Reload {
    /// The file, for the log.
    pub path: String,
    /// The configuration of the start, whose keys each new one has to have.
    pub first: Value,
    pub core: Sender<Message>,
    pub names: SharedNames,
    pub lifecycle: SharedLifecycle,
    pub figures: Figures,
    /// Where the command channel is from now on.
    pub channel_addresses: Sender<SocketAddr>,
}

impl Reload {
    /// Starts to take files; gives the way for them.
    pub fn start(self, executor: &LocalExecutor<'static>) -> Sender<FileRead> {
        let (files, files_read) = async_channel::unbounded();
        executor.spawn(self.run(files_read)).detach();
        files
    }

    /// Takes files until nobody sends any more.
    async fn run(self, files: Receiver<FileRead>) {
        while let Ok(file) = files.recv().await {
            let taken = self.take(file).await;
            self.figures.reloaded(taken.is_ok());
            match taken {
                Ok(channel) => tracing::info!("{}: taken, the command channel is at {channel}", self.path),
                Err(error) => {
                    tracing::warn!("{}: {error}; the configuration stays as it is", self.path);
                }
            }
        }
    }

    /// Checks the whole file before anything changes.
    async fn take(&self, file: FileRead) -> Result<SocketAddr, ReloadError> {
        let text = file?;
        let config = config::read(&text)?;
        let now = json::parse(&text).map_err(ConfigError::Field)?;
        if let Some(path) = missing_key(&self.first, &now) {
            return Err(ReloadError::MissingKey(path));
        }
        oddity::log(&config.oddities);
        let channel = config.channel;
        self.apply(config).await;
        let _ = self.channel_addresses.force_send(channel);
        Ok(channel)
    }

    /// The core first, and then the front, which names classes by the core's numbers. The next file waits for both, so that
    /// no set-up on its way names a number that means another class by then.
    async fn apply(&self, config: Config) {
        let settings = config.start.settings;
        let (longest, hold_off) = (settings.longest(), settings.max_hold_off);
        let new = NewSettings { settings, most_open: config.open_calls };
        let (done, classes) = async_channel::bounded(1);
        if self.core.send(Message::Settings(Box::new(new), done)).await.is_err() {
            return;
        }
        let Ok(classes) = classes.recv().await else { return };
        report_classes(&self.figures, &classes);
        *self.names.borrow_mut() = Rc::new(Names::new(&classes, config.tenants, hold_off));
        self.lifecycle.set_shutdown_limits(ShutdownLimits::for_longest_deadline(longest));
    }
}

/// Has the answers of these classes counted.
pub fn report_classes(figures: &Figures, classes: &ClassTable) {
    for (number, _) in classes.listed() {
        figures.add_class(classes.name(number));
    }
}

/// The path of a key that one configuration has and the other lacks. Items of lists come and go.
fn missing_key(before: &Value, now: &Value) -> Option<String> {
    let (Value::Object(before), Value::Object(now)) = (before, now) else { return None };
    before.iter().find_map(|(key, value)| match now.get(key) {
        None => Some(key.clone()),
        Some(found) => missing_key(value, found).map(|path| format!("{key}.{path}")),
    })
}

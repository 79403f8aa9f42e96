//! The start of the program: its configuration, its sockets and its tasks; and what its signals ask for after that.
//!
//! A start rests on nobody else's end: sockets are inherited or waited for ([`crate::handover`]). It says that it takes
//! clients only once it does ([`crate::lifecycle`]).

use crate::classes::ClassTable;
use crate::discovery::DiscoveryClient;
use crate::engine::Engine;
use crate::figures::Figures;
use crate::handover::{self, ListenError};
use crate::hub::{Core, Message};
use crate::invariant::Violations;
use crate::isup::names::{Names, SharedNames};
use crate::lifecycle::shared::SharedLifecycle;
use crate::lifecycle::{Event, Lifecycle};
use crate::limits::Limits;
use crate::list_event::ListEvent;
use crate::loop_lag::LoopLag;
use crate::management::Management;
use crate::memory_budget::MemoryBudget;
use crate::net::within;
use crate::peers::network::PeerNetwork;
use crate::reload::{self, FileRead, Reload};
use crate::signals::{Request, Requests};
use crate::{config, dns, isup, oddity, operator, sip};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use fernspan_core::ListKind;
use fernspan_settings::json;
use futures_lite::{future, pin};
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What all tasks of the program run on.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Why the program cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// No file is named.
    #[error("neither PROXY_CONFIG nor PROXY_ENUM names a file")]
    NothingToServe,
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says of it.
        source: io::Error,
    },
    /// A file holds what cannot be meant.
    #[error("{path}: {reason}")]
    Configuration {
        /// The file.
        path: String,
        /// The field, and what is wrong with it.
        reason: String,
    },
    /// There is no listening socket.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The system gives no signals or no random numbers.
    #[error("{what}: {source}")]
    System {
        /// What it does not give.
        what: &'static str,
        /// What it says.
        source: io::Error,
    },
}

/// A core at work, and what serves it.
struct Service {
    /// The way to the core.
    queue: Sender<Message>,
    core: Task<()>,
    /// What takes connections; it ends after the last of them.
    connections: Task<()>,
    /// What takes datagrams; it ends after the core.
    datagrams: Option<Task<()>>,
    limits: Limits,
    lifecycle: SharedLifecycle,
    violations: Violations,
}

/// How a service is told to end.
#[derive(Clone)]
struct Ending {
    core: Sender<Message>,
    lifecycle: SharedLifecycle,
}

impl Ending {
    /// Begins the end. What is asked for a second time changes nothing.
    fn begin(&self, executor: &Executor) {
        if self.lifecycle.handle(Event::Terminate) {
            let (core, deadline) = (self.core.clone(), self.lifecycle.answer_deadline());
            executor.spawn(async move { tell(&core, Message::Stop(deadline)).await }).detach();
        }
    }
}

impl Service {
    fn ending(&self) -> Ending {
        Ending { core: self.queue.clone(), lifecycle: self.lifecycle.clone() }
    }

    /// Waits until all that was taken is answered and all connections have ended.
    async fn ended(self) {
        self.connections.await;
        tell(&self.queue, Message::CallersGone).await;
        self.core.await;
        if let Some(datagrams) = self.datagrams {
            within(self.limits.flush, datagrams).await;
        }
    }
}

/// Where a reload is read from, and who takes what it says.
struct ReloadSource {
    path: String,
    files: Sender<FileRead>,
}

/// All that runs after the start.
struct Proxy {
    services: Vec<Service>,
    reload: Option<ReloadSource>,
}

/// Reads what is configured and serves until SIGTERM.
///
/// # Errors
/// The start has failed.
pub async fn start(executor: Executor) -> Result<(), StartError> {
    // First of all: until then a signal ends the process.
    let mut requests = Requests::new().map_err(|source| StartError::System { what: "no signals", source })?;
    let built = Proxy::build(&executor);
    pin!(built);
    let mut reload_asked = false;
    let proxy = loop {
        let signalled = async { Err(requests.next().await) };
        match future::or(async { Ok(built.as_mut().await) }, signalled).await {
            Ok(proxy) => break proxy?,
            Err(Request::Reload) => reload_asked = true,
            Err(Request::ShutDown) => return Ok(()),
        }
    };
    if reload_asked {
        proxy.read_again();
    }
    proxy.serve(requests, &executor).await;
    Ok(())
}

impl Proxy {
    async fn build(executor: &Executor) -> Result<Proxy, StartError> {
        let mut services = Vec::new();
        let mut reload = None;
        if let Some((path, text)) = file_of("PROXY_CONFIG").await? {
            let (service, follows) = platform(path, &text, executor).await?;
            services.push(service);
            reload = Some(follows);
        }
        if let Some((path, text)) = file_of("PROXY_ENUM").await? {
            services.push(enumeration(path, text, executor).await?);
        }
        if services.is_empty() {
            return Err(StartError::NothingToServe);
        }
        Ok(Proxy { services, reload })
    }

    /// Serves until the last service has ended after a signal.
    async fn serve(self, mut requests: Requests, executor: &Executor) {
        let Proxy { services, reload } = self;
        let violations: Vec<Violations> = services.iter().map(|s| s.violations.clone()).collect();
        let endings: Vec<Ending> = services.iter().map(Service::ending).collect();
        let signalled = async {
            loop {
                let request = requests.next().await;
                tracing::info!(?request, "signal");
                match request {
                    Request::Reload => read_again(reload.as_ref()),
                    Request::ShutDown => endings.iter().for_each(|ending| ending.begin(executor)),
                }
            }
        };
        let served = async {
            for service in services {
                service.ended().await;
            }
        };
        future::or(served, signalled).await;
        let violations: u64 = violations.iter().map(Violations::total).sum();
        tracing::info!(violations, "all connections have ended");
    }

    fn read_again(&self) {
        read_again(self.reload.as_ref());
    }
}

/// How long a file that is not there, or not whole, is looked at again: it may still be written.
const FILE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often.
const FILE_INTERVAL: Duration = Duration::from_millis(20);

/// The file that a variable names, where it is set. One that is no JSON has to be whole within a while.
async fn file_of(variable: &str) -> Result<Option<(String, String)>, StartError> {
    let Ok(path) = std::env::var(variable) else { return Ok(None) };
    let begun = Instant::now();
    loop {
        let read = std::fs::read_to_string(&path);
        let whole = read.as_ref().is_ok_and(|text| json::parse(text).is_ok());
        if whole || begun.elapsed() >= FILE_TIMEOUT {
            let unreadable = |source| StartError::Unreadable { path: path.clone(), source };
            return read.map_err(unreadable).map(|text| Some((path.clone(), text)));
        }
        Timer::after(FILE_INTERVAL).await;
    }
}

/// Has the configuration read again, as it is in this moment.
fn read_again(reload: Option<&ReloadSource>) {
    let Some(ReloadSource { path, files }) = reload else { return };
    let _ = files.try_send(std::fs::read_to_string(path));
}

/// The platform's protocol: callers in front, setup servers behind, the command channel and the management line beside
/// them.
async fn platform(
    path: String,
    text: &str,
    executor: &Executor,
) -> Result<(Service, ReloadSource), StartError> {
    let config = config::read(text)
        .map_err(|e| StartError::Configuration { path: path.clone(), reason: e.to_string() })?;
    oddity::log(&config.oddities);
    let longest = config.start.settings.longest();
    let limits = Limits::new(config.sockets, config.memory, config.open_calls, config.connect, longest);
    let lifecycle = SharedLifecycle::new(&limits);
    let violations = Violations::default();
    let figures = Figures::default();
    let operators =
        Management { limits: limits.clone(), lifecycle: lifecycle.clone(), figures: figures.clone() };
    operators.start(config.management.or_else(management_address), executor);
    let (queue, messages) = async_channel::bounded(limits.core_queue);
    let classes = ClassTable::new(config.start.settings.classes.clone());
    reload::report_classes(&figures, &classes);
    let names = Names::new(&classes, config.tenants, config.start.settings.max_hold_off);
    let names: SharedNames = Rc::new(RefCell::new(Rc::new(names)));
    let shared = sip::state::Shared { gives_wait: config.start.gives_wait, limits: limits.clone() };
    let setups =
        sip::link::Setups { shared: Rc::new(shared), figures: figures.clone(), executor: executor.clone() };
    let engine = Engine::new(config.start.settings, config.seed, &limits);
    let core = Core::new(
        engine,
        setups,
        limits.clone(),
        queue.clone(),
        lifecycle.clone(),
        figures.clone(),
        violations.clone(),
    );
    let core = executor.spawn(core.run(messages));
    let inherited = std::env::var("PROXY_FD").ok();
    let listener = handover::client_listener(inherited.as_deref(), config.listen, &limits).await?;

    tell_known_events(&queue, config.known).await;
    let (channel_addresses, moves) = async_channel::bounded(1);
    let discovery = DiscoveryClient {
        addr: config.channel,
        zones: config.zones,
        limits: limits.clone(),
        core: queue.clone(),
        last: config.cursor,
        moves,
        executor: executor.clone(),
    };
    executor.spawn(discovery.run()).detach();
    tracing::info!("{}: serving on {}", config.name, address_of(&listener, config.listen));
    let lag = LoopLag::default();
    executor.spawn(lag.clone().watch()).detach();
    let memory = Rc::new(RefCell::new(MemoryBudget::new(limits.client_memory)));
    figures.watch_memory(memory.clone());
    let front = isup::front::Front {
        memory,
        lag: lag.clone(),
        names: names.clone(),
        figures: figures.clone(),
        limits: limits.clone(),
        core: queue.clone(),
        lifecycle: lifecycle.clone(),
        shares_socket: inherited.is_some(),
        violations: violations.clone(),
    };
    let peers = inherited.and(temporary_folder()).map(|folder| {
        let (queue, lifecycle) = (queue.clone(), lifecycle.clone());
        PeerNetwork::new(folder, config.listen, queue, lifecycle, limits.clone(), executor.clone())
    });
    let connections = take_callers(front, peers, listener, executor.clone());
    let connections = executor.spawn(connections);
    let reload = Reload {
        path: path.clone(),
        first: json::parse(text).unwrap_or(json::Value::Null),
        core: queue.clone(),
        names,
        lifecycle: lifecycle.clone(),
        figures,
        channel_addresses,
    };
    let files = reload.start(executor);
    let service = Service { queue, core, connections, datagrams: None, limits, lifecycle, violations };
    Ok((service, ReloadSource { path, files }))
}

/// The events of the start go in before anybody can ask, so that a test passes only when all is ready.
async fn tell_known_events(queue: &Sender<Message>, known: Vec<ListEvent>) {
    for event in known {
        let kind = if event.kind == ListKind::Whole { ListKind::Saved } else { event.kind };
        tell(queue, Message::List(kind, event.servers)).await;
    }
}

/// Accepts callers until the shutdown has closed their last connection. From a socket that another process accepts from as
/// well, nobody is taken before the list of servers is known.
async fn take_callers(
    front: isup::front::Front,
    peers: Option<Rc<PeerNetwork>>,
    listener: Async<TcpListener>,
    executor: Executor,
) {
    let lifecycle = front.lifecycle.clone();
    if let Some(peers) = peers {
        peers.join().await;
    }
    if front.shares_socket {
        let known = lifecycle.wait_until(Lifecycle::knows_server_list);
        future::or(known, lifecycle.stops_accepting()).await;
        if !lifecycle.get().knows_server_list() {
            return;
        }
    }
    lifecycle.handle(Event::ListenerOpen);
    isup::front::listen(Rc::new(front), listener, executor).await;
}

/// The folder that the processes of one proxy share, if the platform names one.
fn temporary_folder() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").map(PathBuf::from)
}

/// The management line's address, where the configuration has none. A process serves without one as well.
fn management_address() -> Option<SocketAddr> {
    let value = std::env::var("PROXY_MGMT").ok()?;
    let address = value.parse();
    if address.is_err() {
        tracing::warn!("PROXY_MGMT is no address: {value:?}; there is no management line");
    }
    address.ok()
}

/// ENUM look-ups: askers in front, name servers behind, the operator's file beside them.
async fn enumeration(path: String, text: String, executor: &Executor) -> Result<Service, StartError> {
    let operator =
        operator::read(&text).map_err(|reason| StartError::Configuration { path: path.clone(), reason })?;
    let limits = operator.limits();
    let lifecycle = SharedLifecycle::new(&limits);
    let (queue, messages) = async_channel::bounded(limits.core_queue);
    let backend = dns::link::NameServers { limits: limits.clone(), executor: executor.clone() };
    let seed = match operator.seed {
        Some(seed) => seed,
        None => getrandom::u64()
            .map_err(|e| StartError::System { what: "no random numbers", source: io::Error::other(e) })?,
    };
    let engine = Engine::new(operator.settings, seed, &limits);
    let violations = Violations::default();
    let core = Core::new(
        engine,
        Rc::new(backend),
        limits.clone(),
        queue.clone(),
        lifecycle.clone(),
        Figures::default(),
        violations.clone(),
    );
    let core = executor.spawn(core.run(messages));

    tell(&queue, Message::List(ListKind::Saved, operator.cluster.servers)).await;
    executor.spawn(operator::watch(path.into(), text, limits.watch, queue.clone())).detach();
    let listener = handover::bind(operator.listen, &limits).await?;
    let at = address_of(&listener, operator.listen);
    let socket = handover::bind_datagrams(at, &limits).await?;
    tracing::info!("ENUM: serving on {at}");
    let patience = operator.patience.as_micros() as u64;
    let enumerator = dns::front::Front::new(operator.zone, patience, limits.clone(), queue.clone());
    let enumerator = Rc::new(enumerator);
    let datagrams = Some(executor.spawn(enumerator.clone().datagrams(socket)));
    let connections = enumerator.connections(listener, executor.clone(), lifecycle.clone());
    let connections = executor.spawn(connections);
    lifecycle.handle(Event::ListenerOpen);
    Ok(Service { queue, core, connections, datagrams, limits, lifecycle, violations })
}

/// The address that a socket listens on.
fn address_of(listener: &Async<TcpListener>, configured: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(configured)
}

/// Puts a message into the core's queue; one that has ended needs none.
async fn tell(queue: &Sender<Message>, message: Message) {
    let _ = queue.send(message).await;
}

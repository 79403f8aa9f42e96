//! What all parts of a soak share: its clock, its addresses, its judge, and who is there.

use super::discovery::Channel;
use super::oracle::{Oracle, Terms};
use super::plan::Plan;
use super::platform::Process;
use super::server::Server;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use fernspan_model::Time;
use fernspan_model::draw::Draw;
use fernspan_model::scenario::Scenario;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Port of callers and, from the next on, of setup servers, operators and command channels.
const CLIENTS: u16 = 3868;
const SERVERS: u16 = 4000;
const MANAGEMENT: u16 = 20_000;
const CHANNELS: u16 = 30_000;

/// The files and programs of a run.
#[derive(Clone, Debug)]
pub struct Places {
    /// The program, `fernspan`.
    pub program: PathBuf,
    /// The program that sets a process's limits and starts it.
    pub holder: PathBuf,
    /// A folder of this run's own.
    pub folder: PathBuf,
}

/// What the settings of a proxy say, where they change.
#[derive(Clone, Copy, Debug)]
pub struct Deployed {
    /// There is a further class.
    pub further_class: bool,
    /// Attempts of a call at most.
    pub attempts: usize,
}

/// One proxy: its address, and the processes that have it.
pub struct Proxy {
    /// The clients' listening socket, where the platform holds it.
    pub held: Option<TcpListener>,
    /// Its processes: one, or two in an upgrade.
    pub processes: RefCell<Vec<Rc<Process>>>,
    /// Something is being done to its process.
    pub changing: Cell<bool>,
    /// Whether clients connect.
    pub open: Cell<bool>,
    /// Until then, what it holds is not counted: it has or had two processes (LATER).
    pub uncounted_until: Cell<Time>,
    /// Number of the last process.
    pub generation: Cell<u16>,
    /// Since when operators drain it.
    pub drained_at: Cell<Option<Time>>,
    /// When its last process started that had none beside it, and knows nothing of a drain.
    pub reborn_at: Cell<Time>,
    /// The settings that its files hold.
    pub settings: Cell<Deployed>,
    /// Clients name the further class from the first time until the second.
    pub further_class: Cell<(Time, Time)>,
    /// The connections of its clients, each with the time of its last use.
    pub connections: RefCell<BTreeMap<u64, Time>>,
    /// Counts the command channels' ports.
    pub channel_ports: Cell<u16>,
}

/// A run.
pub struct World {
    /// What happens.
    pub plan: Plan,
    /// What the settings are made of.
    pub scenario: Scenario,
    /// Files and programs.
    pub places: Places,
    /// Runs all tasks; taken away at the end, as the tasks hold the world.
    executor: RefCell<Option<Rc<LocalExecutor<'static>>>>,
    /// The judge.
    pub oracle: RefCell<Oracle>,
    /// The proxies.
    pub proxies: Vec<Proxy>,
    /// The setup servers.
    pub servers: Vec<Server>,
    /// Paths that nothing passes, by proxy and server.
    pub cuts: RefCell<BTreeMap<(usize, usize), u32>>,
    /// Clients call no more.
    pub ending: Cell<bool>,
    begin: Instant,
    net: u8,
    numbers: Cell<u64>,
}

impl World {
    /// Before anything is started. `net` is the second byte of all addresses.
    pub fn new(plan: Plan, scenario: Scenario, places: Places, net: u8) -> std::io::Result<World> {
        let terms = Terms {
            attempts: scenario.rules.attempts as usize,
            release_wait: (scenario.rules.release_wait_ms * 1e3) as Time,
            drain: (scenario.rules.drain_ms * 1e3) as Time,
        };
        let proxies = (0..plan.proxies)
            .map(|proxy| {
                // Every second one binds its address by itself, as on days without upgrades.
                let held = (proxy % 2 == 0).then(|| TcpListener::bind(clients_address(net, proxy)));
                Ok(Proxy {
                    held: held.transpose()?,
                    processes: RefCell::default(),
                    changing: Cell::new(false),
                    open: Cell::new(false),
                    uncounted_until: Cell::new(0),
                    generation: Cell::new(0),
                    drained_at: Cell::new(None),
                    reborn_at: Cell::new(0),
                    settings: Cell::new(Deployed { further_class: false, attempts: terms.attempts }),
                    further_class: Cell::new((Time::MAX, Time::MAX)),
                    connections: RefCell::default(),
                    channel_ports: Cell::new(0),
                })
            })
            .collect::<std::io::Result<Vec<Proxy>>>()?;
        Ok(World {
            oracle: RefCell::new(Oracle::new(terms)),
            servers: (0..plan.servers).map(|number| Server::new(number as u32)).collect(),
            proxies,
            plan,
            scenario,
            places,
            executor: RefCell::new(Some(Rc::new(LocalExecutor::new()))),
            cuts: RefCell::default(),
            ending: Cell::new(false),
            begin: Instant::now(),
            net,
            numbers: Cell::new(1),
        })
    }

    /// Runs a task and all that it spawns, then drops what is left of these.
    pub fn run(&self, task: impl Future<Output = ()>) {
        let executor = self.executor.borrow().clone().unwrap_or_default();
        async_io::block_on(executor.run(task));
        drop(self.executor.take());
    }

    /// Runs a task beside the others.
    pub fn spawn<T: 'static>(&self, task: impl Future<Output = T> + 'static) -> Task<T> {
        self.executor.borrow().clone().unwrap_or_default().spawn(task)
    }

    /// Microseconds since the run began.
    pub fn now(&self) -> Time {
        self.begin.elapsed().as_micros() as Time
    }

    /// Waits until a time of the run; notes how late the harness was.
    pub async fn until(&self, at: Time) {
        Timer::at(self.begin + Duration::from_micros(at)).await;
    }

    /// Waits so long.
    pub async fn pause(&self, length: Time) {
        Timer::after(Duration::from_micros(length)).await;
    }

    /// Whether the harness was not late since a time, so that what did not come in time proves something.
    pub fn is_in_time_since(&self, time: Time) -> bool {
        const LATE: Time = 100_000;
        self.oracle.borrow().lateness_since(time) < LATE
    }

    /// The settings of a proxy, before any change.
    pub fn base_settings(&self, proxy: usize) -> serde_json::Value {
        crate::told::settings(&self.scenario, proxy, 0)
    }

    /// A number that no call, connection or server has.
    pub fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    /// A source of figures for one purpose.
    pub fn draw(&self, purpose: u64) -> Draw {
        Draw::new(self.plan.seed, purpose)
    }

    /// Where clients of a proxy connect.
    pub fn clients_address(&self, proxy: usize) -> SocketAddr {
        clients_address(self.net, proxy)
    }

    /// Where a server listens for a proxy.
    pub fn server_address(&self, proxy: usize, server: usize) -> SocketAddr {
        SocketAddr::new(ip(self.net, proxy), SERVERS + server as u16)
    }

    /// Where a process listens for operators.
    pub fn management_address(&self, proxy: usize, generation: u16) -> SocketAddr {
        SocketAddr::new(ip(self.net, proxy), MANAGEMENT + generation)
    }

    /// An address for a command channel of a proxy, which no other has had.
    pub fn channel_address(&self, proxy: usize) -> SocketAddr {
        let ports = &self.proxies[proxy].channel_ports;
        ports.set(ports.get() + 1);
        SocketAddr::new(ip(self.net, proxy), CHANNELS + ports.get())
    }

    /// Whether nothing passes between these.
    pub fn is_cut(&self, proxy: usize, server: usize) -> bool {
        self.cuts.borrow().get(&(proxy, server)).is_some_and(|n| *n > 0)
    }

    /// Tells all proxies of a change, and the oracle from when it counts as told.
    pub fn publish(&self, server: usize, drains: bool) {
        for (proxy, slot) in self.proxies.iter().enumerate() {
            let channels: Vec<Rc<Channel>> =
                slot.processes.borrow().iter().map(|process| process.channel.clone()).collect();
            let now = self.now();
            let told = channels.iter().map(|c| c.publish(self, proxy, server, now)).max().unwrap_or(now);
            if drains {
                self.oracle.borrow_mut().drains(proxy, self.servers[server].instance.get(), told);
            }
        }
    }
}

fn ip(net: u8, proxy: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, (proxy / 250) as u8, (proxy % 250 + 1) as u8))
}

fn clients_address(net: u8, proxy: usize) -> SocketAddr {
    SocketAddr::new(ip(net, proxy), CLIENTS)
}

//! What the platform does to processes: starts them, asks whether they are ready, replaces, ends and kills them.

use super::discovery::{Channel, event};
use super::operators;
use super::oracle::Rule;
use super::plan::Upgrade;
use super::world::World;
use async_io::{Async, Timer};
use fernspan_model::Time;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

/// Descriptors of a process.
const SOCKETS: u64 = 384;
/// A new process says yes within this (LATER).
const READY: Time = 6_000_000;
/// SIGKILL comes this much after the longest deadline has passed since SIGTERM (PROTOCOL).
const KILL_AFTER_DEADLINE: Time = 700_000;
/// The deadline counts as this where it is longer: of a planned restart, and of an upgrade.
const LONGEST_RESTART: Time = 3_000_000;
const LONGEST_UPGRADE: Time = 5_000_000;
/// After SIGTERM new connections keep coming for this long (PROTOCOL).
const FRONT_NOTICES: Time = 300_000;
/// News binds a process that has replaced another this much after its yes (LATER).
const NEWS_BINDS: Time = 2_000_000;
/// What a proxy holds is not counted for this long after two processes (LATER).
const UNCOUNTED: Time = 5_000_000;
/// How often a process that takes clients is asked for its readiness.
const ASK_EVERY: Time = 500_000;
/// Where the harness was later than this meanwhile, an answer that has not come proves nothing.
const ANSWER_LATE: Time = 100_000;
/// How often a process is looked at.
const LOOK: Time = 10_000;

/// One process.
pub struct Process {
    child: RefCell<Child>,
    pid: Pid,
    /// Its number among those of its proxy.
    pub generation: u16,
    /// Where operators call.
    pub management: SocketAddr,
    /// It has said that it takes clients.
    pub said_yes: Cell<bool>,
    /// Its command channel.
    pub channel: Rc<Channel>,
    configuration: PathBuf,
    log: PathBuf,
    /// It was asked to end, or killed.
    may_end: Cell<bool>,
    ended: Cell<bool>,
}

/// Kills what is left, however a run ends.
impl Drop for Process {
    fn drop(&mut self) {
        if !self.ended.get() {
            let mut child = self.child.borrow_mut();
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Process {
    /// Whether it was asked to end, or has ended.
    pub fn is_ending(&self) -> bool {
        self.may_end.get() || self.ended.get()
    }

    /// Changes its configuration and sends SIGHUP.
    pub fn rewrite(&self, change: impl FnOnce(&mut Value)) {
        let text = fs::read_to_string(&self.configuration).unwrap_or_default();
        let Ok(mut configuration) = serde_json::from_str::<Value>(&text) else { return };
        change(&mut configuration);
        let _ = fs::write(&self.configuration, configuration.to_string());
        self.signal(Signal::HUP);
    }

    fn signal(&self, signal: Signal) {
        if !self.ended.get() {
            let _ = kill_process(self.pid, signal);
        }
    }
}

/// Starts a process of a proxy, and watches it.
///
/// # Errors
/// The machine does not let it.
pub fn start(world: &Rc<World>, proxy: usize) -> io::Result<Rc<Process>> {
    let slot = &world.proxies[proxy];
    slot.generation.set(slot.generation.get() + 1);
    let generation = slot.generation.get();
    let channel = Channel::start(world, proxy);
    let management = world.management_address(proxy, generation);
    let configuration = world.places.folder.join(format!("p{proxy}-{generation}.json"));
    let text = configuration_text(world, proxy, &channel);
    write_slowly(world, &configuration, text)?;
    let log = world.places.folder.join(format!("p{proxy}-{generation}.log"));
    let folder = temporary_folder(world, proxy)?;
    let mut command = Command::new("sh");
    // As the deployment's `run`: SIGHUP is ignored until the program takes it.
    let take_over = "trap '' HUP; exec 4<&0 0</dev/null; exec \"$@\"";
    command
        .args(["-c", take_over, "sh"])
        .arg(&world.places.holder)
        .args(["hold", &SOCKETS.to_string(), &std::process::id().to_string()])
        .arg(&world.places.program)
        .env_clear()
        .env("PATH", "/usr/bin:/bin")
        .env("PROXY_CONFIG", &configuration)
        .env("PROXY_MGMT", management.to_string())
        .env("PROXY_LOG", "debug")
        .env("TMPDIR", &folder)
        .stdout(Stdio::null())
        .stderr(File::create(&log)?);
    match &slot.held {
        Some(listener) => {
            command.stdin(OwnedFd::from(listener.try_clone()?)).env("PROXY_FD", "4");
        }
        None => {
            command.stdin(Stdio::null());
        }
    }
    let child = command.spawn()?;
    let process = Rc::new(Process {
        pid: Pid::from_child(&child),
        child: RefCell::new(child),
        generation,
        management,
        said_yes: Cell::new(false),
        channel,
        configuration,
        log,
        may_end: Cell::new(false),
        ended: Cell::new(false),
    });
    slot.processes.borrow_mut().push(process.clone());
    world.spawn(watch(world.clone(), proxy, process.clone())).detach();
    Ok(process)
}

/// What the processes of a proxy share. It is empty at each start where the platform holds no socket for them.
fn temporary_folder(world: &World, proxy: usize) -> io::Result<PathBuf> {
    let folder = world.places.folder.join(format!("p{proxy}-tmp"));
    if world.proxies[proxy].held.is_none() {
        let _ = fs::remove_dir_all(&folder);
    }
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// The configuration with all that has happened so far as the first event.
fn configuration_text(world: &World, proxy: usize, channel: &Channel) -> String {
    let servers: Vec<Value> = world
        .servers
        .iter()
        .enumerate()
        .filter(|(_, server)| server.state.get() != "DELETED")
        .map(|(number, server)| server.listed(world, proxy, number))
        .collect();
    let known: Value = serde_json::from_str(&event(1, true, servers)).unwrap_or_default();
    json!({
        "name": format!("p{proxy}"),
        "listen": world.clients_address(proxy).to_string(),
        "seed": format!("{:016x}", world.plan.seed << 20 | world.number()),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": SOCKETS},
        "channel": channel.address().to_string(),
        "known": {"cursor": 1, "cmds": [known]},
        "settings": operators::deployed(world.base_settings(proxy), world.proxies[proxy].settings.get()),
    })
    .to_string()
}

/// Every fourth file is still being written as its process starts.
fn write_slowly(world: &Rc<World>, path: &PathBuf, text: String) -> io::Result<()> {
    if !world.number().is_multiple_of(4) {
        return fs::write(path, text);
    }
    fs::write(path, &text[..text.len() / 2])?;
    let (path, here) = (path.clone(), world.clone());
    let rest = async move {
        here.pause(150_000).await;
        let _ = fs::write(path, text);
    };
    world.spawn(rest).detach();
    Ok(())
}

/// Looks whether a process ends unasked.
async fn watch(world: Rc<World>, proxy: usize, process: Rc<Process>) {
    loop {
        world.pause(LOOK).await;
        let status = process.child.borrow_mut().try_wait();
        let Ok(Some(status)) = status else { continue };
        process.ended.set(true);
        world.proxies[proxy].processes.borrow_mut().retain(|p| !Rc::ptr_eq(p, &process));
        let killed = status.code().is_none();
        if !process.may_end.get() || !killed && !status.success() {
            let detail = format!("p{proxy} process {}: {status}", process.generation);
            world.oracle.borrow_mut().breaks(world.now(), Rule::Crash, detail);
        }
        judge_log(&world, proxy, &process);
        return;
    }
}

/// What the program says against itself.
fn judge_log(world: &World, proxy: usize, process: &Process) {
    let text = fs::read(&process.log).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let broken =
        text.lines().find(|line| line.contains("an invariant would be broken") || line.contains("panicked"));
    if let Some(line) = broken {
        let detail = format!("p{proxy} process {}: {line}", process.generation);
        world.oracle.borrow_mut().breaks(world.now(), Rule::Guard, detail);
    }
}

/// Waits until a process says that it takes clients; `false` where it does not in time, or ends.
async fn says_yes(world: &Rc<World>, proxy: usize, process: &Rc<Process>) -> bool {
    let begun = world.now();
    while !process.ended.get() && !process.may_end.get() {
        if asks(process.management, "readyz").await.is_ok_and(|answer| answer.starts_with("done")) {
            process.said_yes.set(true);
            world.spawn(ask_on(world.clone(), proxy, process.clone())).detach();
            return true;
        }
        let late = world.oracle.borrow().lateness_since(begun);
        if world.now() > begun + READY + late {
            let detail = format!("p{proxy} process {} has not said yes", process.generation);
            world.oracle.borrow_mut().breaks(world.now(), Rule::Ready, detail);
            return false;
        }
        world.pause(LOOK).await;
    }
    false
}

/// Operators go on asking: each answer is due within a second, under any load, and is yes until the process is asked to end.
async fn ask_on(world: Rc<World>, proxy: usize, process: Rc<Process>) {
    let mut figures = BTreeMap::new();
    loop {
        world.pause(ASK_EVERY).await;
        operators::ask_figures(&world, proxy, &process, &mut figures).await;
        let drained = world.proxies[proxy].drained_at.get().is_some();
        let asked = world.now();
        let answer = asks(process.management, "readyz").await;
        if process.may_end.get() || process.ended.get() {
            return;
        }
        let late = world.oracle.borrow().lateness_since(asked);
        // In a drain either answer may come, but one does.
        let drained = drained || world.proxies[proxy].drained_at.get().is_some();
        let answered = answer.as_ref().is_ok_and(|a| a.starts_with("done") || drained && !a.is_empty());
        if !answered && late < ANSWER_LATE {
            let detail = format!("p{proxy} process {}: {answer:?}", process.generation);
            world.oracle.borrow_mut().breaks(world.now(), Rule::Management, detail);
        }
    }
}

/// The answer to one call of an operator, within a second.
pub async fn asks(management: SocketAddr, call: &str) -> io::Result<String> {
    let answer = async {
        let mut line = Async::<TcpStream>::connect(management).await?;
        line.write_all(format!("{call}\n").as_bytes()).await?;
        let mut answer = String::new();
        line.read_to_string(&mut answer).await?;
        Ok(answer)
    };
    let gives_up = async {
        Timer::after(Duration::from_secs(1)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(answer, gives_up).await
}

/// SIGTERM, and SIGKILL at the earliest moment that the pages allow. Clients go on until then.
async fn end(world: &Rc<World>, proxy: usize, process: &Rc<Process>, longest: Time) {
    process.may_end.set(true);
    let kill_at = world.now() + world.plan.deadline.min(longest) + KILL_AFTER_DEADLINE;
    process.signal(Signal::TERM);
    world.oracle.borrow_mut().forget_standing(proxy);
    while !process.ended.get() && world.now() < kill_at {
        world.pause(LOOK.min(kill_at - world.now() + 1)).await;
    }
    if !process.ended.get() {
        world.oracle.borrow_mut().killed(world.now(), proxy, true);
        process.signal(Signal::KILL);
    }
    while !process.ended.get() {
        world.pause(LOOK).await;
    }
    world.oracle.borrow_mut().forget_standing(proxy);
}

/// SIGKILL without a word before.
async fn kill(world: &Rc<World>, proxy: usize, process: &Rc<Process>) {
    process.may_end.set(true);
    world.oracle.borrow_mut().killed(world.now(), proxy, false);
    process.signal(Signal::KILL);
    while !process.ended.get() {
        world.pause(LOOK).await;
    }
    world.oracle.borrow_mut().forget_standing(proxy);
}

/// The first process of a proxy.
pub async fn begin(world: Rc<World>, proxy: usize) {
    let slot = &world.proxies[proxy];
    slot.changing.set(true);
    begin_anew(&world, proxy).await;
    slot.changing.set(false);
}

/// Starts a process; clients come as it says yes.
async fn begin_anew(world: &Rc<World>, proxy: usize) -> bool {
    world.proxies[proxy].reborn_at.set(world.now());
    let ready = match start(world, proxy) {
        Ok(process) => says_yes(world, proxy, &process).await,
        Err(e) => {
            let detail = format!("p{proxy} cannot be started: {e}");
            world.oracle.borrow_mut().breaks(world.now(), Rule::Ready, detail);
            false
        }
    };
    world.proxies[proxy].open.set(ready);
    ready
}

/// The process that clients of a proxy use, if nothing is being done to it.
pub fn at_rest(world: &World, proxy: usize) -> Option<Rc<Process>> {
    let slot = &world.proxies[proxy];
    if slot.changing.get() {
        return None;
    }
    slot.processes.borrow().last().cloned()
}

fn uncounted(world: &World, proxy: usize) {
    world.proxies[proxy].uncounted_until.set(world.now() + UNCOUNTED);
}

/// A new process starts beside the one there is. Only where the platform holds the socket.
pub async fn upgrade(world: Rc<World>, proxy: usize, how: Upgrade) {
    let Some(old) = at_rest(&world, proxy) else { return };
    let slot = &world.proxies[proxy];
    if slot.held.is_none() {
        return restart(world, proxy, true).await;
    }
    slot.changing.set(true);
    slot.uncounted_until.set(Time::MAX);
    if let Some(new) = beside(&world, proxy, how).await {
        if how == Upgrade::Signals {
            old.signal(Signal::HUP);
            new.signal(Signal::HUP);
        }
        let (here, again) = (world.clone(), old.clone());
        let series = async move {
            here.pause(400_000).await;
            if how == Upgrade::Signals {
                again.signal(Signal::HUP);
                again.signal(Signal::TERM);
            }
        };
        world.spawn(series).detach();
        if how == Upgrade::OldKilled {
            kill(&world, proxy, &old).await;
        } else if how == Upgrade::Twice {
            // The second one starts while the first is being replaced.
            let ends = world.spawn(end_owned(world.clone(), proxy, old));
            if let Some(second) = beside(&world, proxy, Upgrade::Whole).await {
                end(&world, proxy, &new, LONGEST_UPGRADE).await;
                drop(second);
            }
            ends.await;
        } else {
            end(&world, proxy, &old, LONGEST_UPGRADE).await;
        }
    }
    uncounted(&world, proxy);
    slot.changing.set(false);
}

async fn end_owned(world: Rc<World>, proxy: usize, process: Rc<Process>) {
    end(&world, proxy, &process, LONGEST_UPGRADE).await;
}

/// Starts a process beside the one there is; gives it once it has said yes, where it is to live on.
async fn beside(world: &Rc<World>, proxy: usize, how: Upgrade) -> Option<Rc<Process>> {
    let new = start(world, proxy).ok()?;
    if how == Upgrade::KilledBeforeYes {
        world.pause(world.number() % 40 * 1_000).await;
        kill_beside(world, proxy, &new).await;
        return None;
    }
    if !says_yes(world, proxy, &new).await {
        return None;
    }
    let binds = world.now() + NEWS_BINDS;
    world.oracle.borrow_mut().news_binds_from(proxy, binds);
    if how == Upgrade::KilledAfterYes {
        world.pause(50_000).await;
        kill_beside(world, proxy, &new).await;
        return None;
    }
    Some(new)
}

/// The new process is killed; the old one goes on, and what stands there is still owed its release. Which process has a call is
/// not known from outside, so none is asked for.
async fn kill_beside(world: &Rc<World>, proxy: usize, new: &Rc<Process>) {
    kill(world, proxy, new).await;
}

/// A planned restart: the new process starts after the old one's end, or does not wait for it.
pub async fn restart(world: Rc<World>, proxy: usize, at_once: bool) {
    let Some(old) = at_rest(&world, proxy) else { return };
    let slot = &world.proxies[proxy];
    if slot.held.is_some() {
        // Clients would wait in the queue of the held socket with nobody to answer.
        return upgrade_boxed(world, proxy).await;
    }
    slot.changing.set(true);
    slot.uncounted_until.set(Time::MAX);
    let ends = world.spawn(end_restarted(world.clone(), proxy, old));
    world.pause(FRONT_NOTICES).await;
    slot.open.set(false);
    if !at_once {
        ends.await;
        begin_anew(&world, proxy).await;
    } else {
        begin_anew(&world, proxy).await;
        ends.await;
    }
    uncounted(&world, proxy);
    slot.changing.set(false);
}

async fn end_restarted(world: Rc<World>, proxy: usize, process: Rc<Process>) {
    end(&world, proxy, &process, LONGEST_RESTART).await;
}

fn upgrade_boxed(world: Rc<World>, proxy: usize) -> std::pin::Pin<Box<dyn Future<Output = ()>>> {
    Box::pin(upgrade(world, proxy, Upgrade::Whole))
}

/// A process is killed and started again.
pub async fn kill_and_start(world: Rc<World>, proxy: usize) {
    let Some(process) = at_rest(&world, proxy) else { return };
    let slot = &world.proxies[proxy];
    slot.changing.set(true);
    slot.open.set(false);
    kill(&world, proxy, &process).await;
    begin_anew(&world, proxy).await;
    uncounted(&world, proxy);
    slot.changing.set(false);
}

/// New configurations in quick succession: discovery is elsewhere each time, and every third file is cut short. The last one
/// is whole.
pub async fn reload(world: Rc<World>, proxy: usize, files: u32) {
    let Some(process) = at_rest(&world, proxy) else { return };
    for file in (0..files).rev() {
        process.channel.move_away(&world, proxy);
        let text = fs::read_to_string(&process.configuration).unwrap_or_default();
        let Ok(mut whole) = serde_json::from_str::<Value>(&text) else { return };
        whole["channel"] = json!(process.channel.address().to_string());
        let text = whole.to_string();
        if file % 3 == 2 {
            let _ = fs::write(&process.configuration, &text[..text.len() / 2]);
            process.signal(Signal::HUP);
            world.pause(30_000).await;
        }
        let _ = fs::write(&process.configuration, &text);
        process.signal(Signal::HUP);
        world.pause(33_000).await;
    }
}

/// The end of a run: all processes are asked to end, and killed at the earliest moment.
pub async fn end_all(world: &Rc<World>) {
    let mut ends = Vec::new();
    for (proxy, slot) in world.proxies.iter().enumerate() {
        slot.changing.set(true);
        for process in slot.processes.borrow().iter() {
            ends.push(world.spawn(end_restarted(world.clone(), proxy, process.clone())));
        }
    }
    world.pause(FRONT_NOTICES).await;
    for slot in &world.proxies {
        slot.open.set(false);
    }
    for end in ends {
        end.await;
    }
}

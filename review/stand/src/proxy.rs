//! Processes of the project, started with the command of its deploy file.

use crate::caller::Caller;
use crate::record::Record;
use crate::sys;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// A setup server's entry in the list.
pub fn entry(id: &str, addr: SocketAddr, cell: usize, state: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"{addr}\",\"zone\":\"stred\",\"kind\":\"small-1c\",\"cell\":{cell},\
         \"state\":\"{state}\",\"weight\":1,\"started_ms\":0}}"
    )
}

/// The entry of a server that has started of late.
pub fn started_entry(id: &str, addr: SocketAddr, cell: usize, unix_ms: u128) -> String {
    entry(id, addr, cell, "SERVING").replace("\"started_ms\":0", &format!("\"started_ms\":{unix_ms}"))
}

/// An event of the command channel, whole or with changes.
pub fn event(cursor: u64, full: bool, entries: &[String]) -> String {
    format!(
        "{{\"cursor\":{cursor},\"nodes\":{{\"version\":{cursor},\"full\":{full},\"servers\":[{}]}}}}",
        entries.join(",")
    )
}

/// Limits of a process, as the platform sets them.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// Limits within those of the scored days.
pub const USUAL: Limits = Limits { memory_mb: 128, sockets: 512 };

/// What differs between the configurations of the cases.
pub struct Config {
    pub listen: SocketAddr,
    pub mgmt: SocketAddr,
    pub channel: SocketAddr,
    /// The first event, with the whole list.
    pub known: String,
    pub servers: usize,
    pub limits: Limits,
    /// How many proxies there are, and which this is.
    pub proxies: (usize, usize),
}

impl Config {
    /// The text of the file: a small deployment, one class of calls, one tenant.
    pub fn text(&self) -> String {
        let Config { listen, mgmt, channel, known, servers, limits, proxies: (of, me) } = self;
        let Limits { memory_mb, sockets } = limits;
        let pools: Vec<String> = (0..*servers).map(|n| n.to_string()).collect();
        let pools = pools.join(",");
        format!(
            r#"{{"name":"n0","listen":"{listen}","mgmt":"{mgmt}","seed":"5eed0123456789ab",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"channel":"{channel}","known":{{"cursor":1,"cmds":[{known}]}},
"settings":{{"balancers":{of},"me":{me},"tier":0,"zone":0,"tick":5000,
"layers":["setup-servers"],"models":["small-1c"],"zones":["stred"],
"clients":{{"marks_retry":true}},"counted_by":"request","over_share_worth":0.05,
"registry_mode":"automatic","weight_source":"off","workload":"trunks",
"contract":{{"answer_slack":20000,"ask_every":10000000,"cold":15000000,"fall":1000000,"fall_multiple":2.0,
"start_capacity":0.31,"stop_sending_within":1000000}},
"costs":{{"late_fail":0.053,"probe":0.0,"waste":0.16}},
"limits":{{"cancel":true,"conn_idle":600000000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,
"dial_timeout":500000,"max_open":20000,"max_retry_after":2000000,"parallel_tries":false,"peers":false,
"probes":false,"retry_after":true,"streams_per_conn":1048576,"try_limit":4}},
"parties":[{{"allowance_per_s":30.0,"fraction":1.0,"name":"tv"}}],
"profiles":[{{"credit":1.0,"effect":"safe","goal_time":1200000,"group":"all","hard_limit":9000000,
"late_worth":0.25,"name":"session-lookup","stream":true,"window":5000000}}],
"report":{{"columns":["spare","total","cpu_share","pending"],"how":"inline"}},
"result_mix":{{"whole":0.7,"worst_class":0.0,"worst_tenant":0.1,"worst_window":0.2}},
"specifics":{{"allowed_pools":[[{pools}]],"channels_needed":[1],"class_hold":[10100000],"gives_wait":true,
"hints_route":false,"layout":"groups","release_guard":300000,"remote_load":"inline","repeat":0,
"self_no":-1}}}}}}"#
        )
    }
}

/// A loopback address that is free now. Below the ports that systems give to outgoing connections, one of which could take it
/// before the process that it is for does.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(std::process::id().wrapping_mul(97));
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + (n % 12_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// What all processes of a case share.
pub struct Platform {
    pub root: PathBuf,
    /// A folder of the case's own, removed at its end.
    pub folder: PathBuf,
    pub record: Record,
    run: String,
}

impl Platform {
    pub fn new(root: &Path, record: &Record) -> Result<Platform, String> {
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
        let line =
            deploy.lines().find_map(|l| l.strip_prefix("run = \"")).ok_or("no run in the deploy file")?;
        let run = line.rsplit_once('"').ok_or("run is no text")?.0.to_owned();
        // The paths of Unix sockets below it have to be short.
        let base = Some(std::env::temp_dir()).filter(|base| base.as_os_str().len() <= 40);
        let folder =
            base.unwrap_or_else(|| "/tmp".into()).join(format!("fernspan-review-{}", std::process::id()));
        fs::create_dir_all(folder.join("tmp")).map_err(|e| e.to_string())?;
        Ok(Platform { root: root.to_owned(), folder, record: record.clone(), run })
    }

    /// Starts a process. With a listener, it inherits that as descriptor 4.
    pub fn start(
        &self,
        name: &str,
        config: &Config,
        listener: Option<&TcpListener>,
    ) -> Result<Process, String> {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, config.text()).map_err(|e| e.to_string())?;
        let log = File::create(self.folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&self.run).current_dir(&self.root);
        command.env("PROXY_NAME", "n0").env("PROXY_LISTEN", config.listen.to_string());
        command.env("PROXY_CONFIG", &path).env("TMPDIR", self.folder.join("tmp"));
        command.env_remove("PROXY_ENUM").env_remove("PROXY_MGMT").env_remove("PROXY_FD");
        if let Ok(level) = std::env::var("CASE_LOG") {
            command.env("PROXY_LOG", level);
        }
        if let Some(listener) = listener {
            let descriptor = listener.as_raw_fd();
            command.env("PROXY_FD", "4");
            unsafe { command.pre_exec(move || sys::inherit_as(descriptor, 4)) };
        }
        unsafe { command.pre_exec(sys::end_with_parent) };
        command.stdin(Stdio::null()).stdout(log.try_clone().map_err(|e| e.to_string())?).stderr(log);
        let child = command.spawn().map_err(|e| e.to_string())?;
        self.record.note("platform", &format!("starts process {name}, pid {}", child.id()));
        Ok(Process { name: name.to_owned(), child, record: self.record.clone(), mgmt: config.mgmt })
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        match std::env::var_os("CASE_KEEP") {
            Some(_) => println!("kept: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// A running process; it ends with this.
pub struct Process {
    name: String,
    child: Child,
    record: Record,
    mgmt: SocketAddr,
}

impl Process {
    pub fn signal(&self, name: &str, number: i32) {
        self.record.note("platform", &format!("{name} to process {}", self.name));
        sys::signal(self.child.id(), number);
    }

    /// Memory of its own that it holds, in bytes; files and shared text are left out.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"))?;
        Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
    }

    /// Whether it has ended.
    pub fn ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// Waits until it has ended, no longer than until a moment.
    pub fn wait_end(&mut self, until: Instant) -> bool {
        while Instant::now() < until {
            if self.ended() {
                self.record.note("platform", &format!("process {} has ended", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Waits for the yes at the management line.
    pub fn wait_ready(&mut self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.ended() {
                return Err(format!("process {} has ended at its start", self.name));
            }
            if operator(self.mgmt, "readyz").is_some_and(|answer| answer.starts_with("done")) {
                self.record.note("platform", &format!("process {} says yes to readyz", self.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("process {} is not ready within 10 s", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.ended() {
            sys::signal(self.child.id(), sys::SIGKILL);
            let _ = self.child.wait();
        }
    }
}

/// An operator's call, and its answer.
pub fn operator(mgmt: SocketAddr, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&mgmt, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{call}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    Some(answer)
}

/// Waits until the clients' address passes a test, as the front does.
pub fn wait_test(record: &Record, listen: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if let Ok(caller) = Caller::connect(record, "front", listen)
            && caller.passes_test()
        {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err("no test has passed within 10 s".to_owned())
}

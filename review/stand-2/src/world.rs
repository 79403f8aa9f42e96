//! What a case shares: the record, the clock, and the processes that it started.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds of the Unix clock.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Writes what was sent, answered and run, with the time since the start.
pub struct Record {
    begun: u64,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", now() - self.begun);
    }

    /// The time of a line.
    pub fn at(&self, ms: u64) -> u64 {
        ms.saturating_sub(self.begun)
    }
}

/// One run of a case.
pub struct World {
    pub record: Record,
    pub trouble: bool,
    /// The project's root.
    pub root: PathBuf,
    /// A folder of this run, removed at its end.
    pub folder: PathBuf,
    children: Mutex<Vec<Child>>,
    /// Attempts that are out at any server, by call.
    out: Mutex<BTreeMap<String, Vec<String>>>,
    two_out: Mutex<Vec<String>>,
}

impl World {
    /// A run in the current folder, which is that of its case.
    pub fn new() -> Arc<World> {
        let root = std::env::current_dir().and_then(|d| d.join("../..").canonicalize()).unwrap();
        let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), now()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = Mutex::new(File::create("record.txt").unwrap());
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record { begun: now(), file };
        record.line(if trouble { "with the disruption" } else { "without the disruption" });
        Arc::new(World {
            record,
            trouble,
            root,
            folder,
            children: Mutex::default(),
            out: Mutex::default(),
            two_out: Mutex::default(),
        })
    }

    pub fn say(&self, text: impl AsRef<str>) {
        self.record.line(text.as_ref());
    }

    /// Starts the program with a command of the deploy file.
    pub fn start(&self, command: &str, variables: &[(&str, &str)]) {
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap();
        let prefix = format!("{command} = \"");
        let line = deploy.lines().find_map(|l| l.strip_prefix(&prefix)?.strip_suffix('"'));
        let line = line.expect("the deploy file has the command");
        let private = self.folder.join(format!("tmp-{}", self.children.lock().unwrap().len()));
        std::fs::create_dir_all(&private).unwrap();
        let log = File::create(self.folder.join("log")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", line])
            .current_dir(&self.root)
            .envs(variables.iter().copied())
            .env("TMPDIR", private)
            .env_remove("PROXY_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.say(format!("program started: process {}", child.id()));
        self.children.lock().unwrap().push(child);
    }

    /// An attempt has come whole to a server.
    pub fn is_out(&self, call: &str, attempt: &str) {
        let mut out = self.out.lock().unwrap();
        let out = out.entry(call.to_owned()).or_default();
        for other in out.iter() {
            let text = format!(
                "call {call} has two attempts out at {} ms: {other}, and {attempt}",
                self.record.at(now())
            );
            self.say(format!("TWO: {text}"));
            self.two_out.lock().unwrap().push(text);
        }
        out.push(attempt.to_owned());
    }

    /// Its end was written, or it was given up.
    pub fn is_over(&self, call: &str, attempt: &str) {
        if let Some(out) = self.out.lock().unwrap().get_mut(call) {
            out.retain(|other| other != attempt);
        }
    }

    /// Times at which a call had a second attempt out.
    pub fn two_out(&self) -> Vec<String> {
        self.two_out.lock().unwrap().clone()
    }

    /// Whether each process that was started still runs.
    pub fn all_run(&self) -> bool {
        self.children.lock().unwrap().iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Ends all processes that were started, and the whole run.
    pub fn end(&self, code: i32) -> ! {
        self.say(format!("exit {code}"));
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP_LOG").is_ok() {
            let _ = std::fs::copy(self.folder.join("log"), "program.log");
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(code)
    }

    /// The run could not be made.
    pub fn cannot(&self, why: &str) -> ! {
        self.say(format!("the case could not run: {why}"));
        eprintln!("the case could not run: {why}");
        self.end(2)
    }

    /// The verdict: a list of what broke the rule.
    pub fn judge(&self, broken: &[String]) -> ! {
        if !self.all_run() {
            self.cannot("the program has ended");
        }
        for text in broken {
            self.say(format!("BROKEN: {text}"));
        }
        match broken.first() {
            Some(first) => println!("rule broken, {} times; first: {first}", broken.len()),
            None => println!("rule held"),
        }
        self.end(i32::from(!broken.is_empty()))
    }

    /// Ends the run if it takes too long or a thread of it fails.
    pub fn guard(self: &Arc<Self>, limit_ms: u64) {
        let world = self.clone();
        std::panic::set_hook(Box::new(move |info| {
            eprintln!("{info}");
            world.cannot("a stand-in failed");
        }));
        let world = self.clone();
        thread::spawn(move || {
            pause(limit_ms);
            world.cannot("it took too long");
        });
    }
}

/// A loopback address that is free now.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Writes a whole file.
pub fn write(path: &Path, text: &str) {
    std::fs::write(path, text).unwrap();
}

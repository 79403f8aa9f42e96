//! What the platform asks of the deploy file and of the program that it starts.

use rustix::process::{Pid, Signal, kill_process};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A value of the deploy file, as it stands there.
fn line(name: &str) -> String {
    let deploy = include_str!("../../deploy/balancer.toml");
    let found = deploy.lines().find_map(|l| l.strip_prefix(name)?.trim().strip_prefix('='));
    found.map(|l| l.trim().to_owned()).unwrap_or_default()
}

/// Guards the standing test: `run` has to end by `exec` in one process, and the program has to be linked
/// dynamically, since the bench loads a library of its own into it.
#[test]
fn the_program_is_run_by_exec_and_linked_dynamically() {
    assert_eq!(line("run"), r#""trap '' HUP; exec target/release/fernspan""#);
    assert!(line("build").contains("cargo build --release"));
    for name in ["sim", "policy", "node"] {
        assert!(!line(name).is_empty(), "{name} is missing");
    }
    let program = std::fs::read(env!("CARGO_BIN_EXE_fernspan")).expect("the program was built");
    // A program that names an interpreter is loaded by it; a static one has none.
    let interpreter = b"/ld-linux";
    assert!(program.windows(interpreter.len()).any(|w| w == interpreter), "it is linked statically");
}

/// Guards against a process that SIGHUP ends in the first moment after its start, before it takes signals over: as `run`
/// starts it, the signal is ignored until then, and the configuration is read afterwards.
#[test]
fn sighup_ends_no_process_in_its_first_moment() {
    const STARTS: usize = 20;
    let program = Path::new(env!("CARGO_BIN_EXE_fernspan"));
    let run = line("run").trim_matches('"').replace("target/release/fernspan", "\"$0\"");
    let configuration = std::env::temp_dir().join(format!("fernspan-deploy-{}.json", std::process::id()));
    let text = include_str!("recorded/config.json").replace("SERVERS", "").replace("CHANNEL", "127.0.0.1:1");
    std::fs::write(&configuration, text).expect("written");
    for start in 0..STARTS {
        let mut child = Command::new("/bin/sh")
            .args(["-c", &run])
            .arg(program)
            .arg0("sh")
            .env("PROXY_CONFIG", &configuration)
            .stderr(Stdio::null())
            .spawn()
            .expect("started");
        wait_for_exec(&child, program);
        kill_process(Pid::from_child(&child), Signal::HUP).expect("it runs");
        std::thread::sleep(Duration::from_millis(30));
        let ended = child.try_wait().expect("it can be waited for");
        assert!(ended.is_none(), "start {start}: {ended:?}");
        child.kill().expect("it runs");
        child.wait().expect("it ends");
    }
    std::fs::remove_file(&configuration).expect("it is there");
}

/// Waits for the moment in which the shell has become the program.
fn wait_for_exec(child: &Child, program: &Path) {
    let link = format!("/proc/{}/exe", child.id());
    let program = program.canonicalize().expect("it is there");
    let end = Instant::now() + Duration::from_secs(10);
    while std::fs::read_link(&link).ok().as_deref() != Some(&program) {
        assert!(Instant::now() < end, "the shell does not become the program");
    }
}

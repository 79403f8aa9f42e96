//! Several real processes of the program with faults between them, judged by rules and counts. Time limits have a
//! second of slack here (the scenarios' `slack_ms`), since these tests run beside others.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const RIG: &str = env!("CARGO_BIN_EXE_fernspan-rig");

/// The program, which the workspace's tests build beside this one.
fn program() -> PathBuf {
    let program = Path::new(RIG).with_file_name("fernspan");
    assert!(program.is_file(), "build the whole workspace first: there is no {}", program.display());
    program
}

fn scenario(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(name)
}

/// A folder of this test's own, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("fernspan-rig-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn rig(args: &[&str]) -> (Output, String) {
    let output = Command::new(RIG).args(args).output().expect("the rig runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output, text)
}

fn play(file: &Path, folder: &Folder, more: &[&str]) -> (String, Value) {
    let report = folder.0.join(format!("report{}.json", more.len()));
    let program = program();
    let mut args = vec!["run", file.to_str().expect("a path"), "--report", report.to_str().expect("a path")];
    args.extend(["--program", program.to_str().expect("a path")]);
    args.extend(more);
    let (output, text) = rig(&args);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text}{said}");
    assert_eq!(text.lines().last(), Some("rules kept"), "{text}");
    let value = std::fs::read_to_string(&report).expect("a report");
    (text, serde_json::from_str(&value).expect("JSON"))
}

fn figure(report: &Value, path: &str) -> f64 {
    report.pointer(path).and_then(Value::as_f64).unwrap_or_else(|| panic!("no {path} in {report}"))
}

/// Processes that were started with the address of a run's folder in their environment, or are the rig's own.
fn left_over(marker: &str) -> usize {
    let entries = std::fs::read_dir("/proc").expect("/proc").flatten();
    let environments = entries.filter_map(|e| std::fs::read(e.path().join("environ")).ok());
    environments.filter(|e| String::from_utf8_lossy(e).contains(marker)).count()
}

/// Kills, stops, restarts, replacements, resets, cuts, crashes and a drain between six processes; and the
/// emulator, which plays the same.
///
/// The bound: service of about 1,100 callers has a standard error of 0.015, and the two runs are drawn apart from
/// the first decision on; six times the error of their difference is 0.13, less would fail by chance some day.
#[test]
fn six_processes_keep_the_rules_through_every_fault_and_agree_with_the_emulator() {
    let folder = Folder::new("faulty");
    let file = scenario("faulty.json");
    let (_, real) = play(&file, &folder, &[]);
    let (_, emulated) = play(&file, &folder, &["--emulate"]);
    // Six at first, one killed, one restarted, one replaced.
    assert_eq!(figure(&real, "/machine/processes"), 9.0);
    assert_eq!(figure(&real, "/figures/falls"), 0.0);
    assert!(figure(&real, "/figures/callers") > 900.0);
    for path in ["/figures/service", "/figures/fates/in_time"] {
        let (r, e) = (figure(&real, path), figure(&emulated, path));
        assert!((r - e).abs() < 0.13, "{path}: {r} real, {e} emulated");
    }
    // Servers crashed, fell silent and were replaced with calls on them.
    assert!(figure(&real, "/figures/fates/cut") > 0.0, "{real}");
}

/// The same bound as above, for some 500 callers of a calm day: six times 0.02.
#[test]
fn on_a_calm_day_the_rig_and_the_emulator_agree() {
    let folder = Folder::new("calm");
    let file = folder.0.join("calm.json");
    let text = r#"{"name": "calm", "seconds": 10, "sites": ["a", "b"], "proxies": {"count": 5},
        "servers": [{"count": 3, "rate": 24}], "callers": {"rate": 50, "hold_ms": 4000},
        "rules": {"slack_ms": 1000}}"#;
    std::fs::write(&file, text).expect("a file");
    let (_, real) = play(&file, &folder, &[]);
    let (_, emulated) = play(&file, &folder, &["--emulate"]);
    assert_eq!(
        figure(&real, "/figures/callers"),
        figure(&emulated, "/figures/callers"),
        "the same callers come"
    );
    for path in ["/figures/service", "/figures/fates/in_time", "/figures/attempts"] {
        let (r, e) = (figure(&real, path), figure(&emulated, path));
        assert!((r - e).abs() < 0.12, "{path}: {r} real, {e} emulated");
    }
    for fate in ["cut", "lost", "failed", "gave_up"] {
        assert_eq!(figure(&real, &format!("/figures/fates/{fate}")), 0.0, "{fate}");
    }
}

/// A proxy that breaks off is a crash, and a run that ends so exits with 1.
#[test]
fn a_program_that_ends_by_itself_is_a_broken_rule() {
    let folder = Folder::new("crash");
    let file = folder.0.join("one.json");
    let text = r#"{"name": "one", "seconds": 1, "settle_s": 0, "proxies": {"count": 2},
        "servers": [{"count": 1, "rate": 20}], "callers": {"rate": 5}}"#;
    std::fs::write(&file, text).expect("a file");
    // It is started like the program, and ends at once.
    let (output, text) = rig(&["run", file.to_str().expect("a path"), "--program", "/bin/true"]);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.lines().last().is_some_and(|l| l.starts_with("rule broken: crash, p")), "{text}");
}

#[test]
fn bad_files_and_failed_starts_are_one_clear_line_and_exit_with_2() {
    let folder = Folder::new("bad");
    let file = folder.0.join("bad.json");
    let path = file.to_str().expect("a path");
    std::fs::write(&file, r#"{"name": "bad", "seconds": 1, "proxys": {}}"#).expect("a file");
    for command in [vec!["run", path], vec!["run", path, "--emulate"], vec!["check", path]] {
        let (output, _) = rig(&command);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(said.contains("proxys") && said.trim().lines().count() == 1, "{said}");
    }
    let calm = scenario("calm.json");
    let calm = calm.to_str().expect("a path");
    let (output, _) = rig(&["run", calm, "--program", "/nowhere/fernspan"]);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(said.contains("there is no program /nowhere/fernspan"), "{said}");
    let (output, _) = rig(&["plot", path, "-o", "/dev/null"]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn every_scenario_of_the_repository_is_good() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let files: Vec<PathBuf> =
        std::fs::read_dir(folder).expect("scenarios").flatten().map(|e| e.path()).collect();
    assert!(files.len() >= 4);
    for file in files.iter().filter(|f| f.extension().is_some_and(|e| e == "json")) {
        let (output, _) = rig(&["check", file.to_str().expect("a path")]);
        assert_eq!(output.status.code(), Some(0), "{}", file.display());
    }
}

/// Guards editors and other tools against an old schema. Written by `fernspan-rig schema`.
#[test]
fn the_schema_in_the_repository_is_the_programs() {
    let (output, text) = rig(&["schema"]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(text, include_str!("../scenario.schema.json"));
}

/// Guards this machine: nothing that a run started may outlive it, however it ends.
#[test]
fn an_interrupted_or_killed_run_leaves_no_process() {
    use std::process::Stdio;
    use std::time::{Duration, Instant};
    let program = program();
    let calm = scenario("calm.json");
    for signal in ["-TERM", "-KILL"] {
        let folder = Folder::new(&format!("left{signal}"));
        let logs = folder.0.join("logs");
        let mut run = Command::new(RIG)
            .args(["run", calm.to_str().expect("a path"), "--processes", "5"])
            .args(["--program", program.to_str().expect("a path"), "--logs", logs.to_str().expect("a path")])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the rig runs");
        // The folder of a run is named after its process, and stands in each proxy's environment.
        let marker = format!("fernspan-rig-{}-", run.id());
        let begin = Instant::now();
        while left_over(&marker) < 5 {
            assert!(begin.elapsed() < Duration::from_secs(30), "no proxies came up");
            std::thread::sleep(Duration::from_millis(20));
        }
        let id = run.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill").success());
        let code = run.wait().expect("it ends").code();
        assert_eq!(code, if signal == "-TERM" { Some(2) } else { None });
        let begin = Instant::now();
        while left_over(&marker) > 0 {
            assert!(
                begin.elapsed() < Duration::from_secs(10),
                "{signal}: {} processes are left",
                left_over(&marker)
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn reports_are_plotted_and_compared() {
    let folder = Folder::new("plot");
    let file = scenario("site-lost.json");
    let reports: Vec<String> = ["1", "2"]
        .iter()
        .map(|seed| {
            let report = folder.0.join(format!("{seed}.json")).to_str().expect("a path").to_owned();
            let (output, text) = rig(&[
                "run",
                file.to_str().expect("a path"),
                "--emulate",
                "--seed",
                seed,
                "--report",
                &report,
            ]);
            assert_eq!(output.status.code(), Some(0), "{text}");
            report
        })
        .collect();
    for chosen in [&reports[..1], &reports[..]] {
        let svg = folder.0.join("plot.svg");
        let mut args = vec!["plot", "-o", svg.to_str().expect("a path")];
        args.extend(chosen.iter().map(String::as_str));
        let (output, _) = rig(&args);
        assert_eq!(output.status.code(), Some(0));
        let drawn = std::fs::read_to_string(&svg).expect("a plot");
        assert!(drawn.contains("Service by second") && drawn.contains("refused, by second and cause"));
        assert!(drawn.matches("<polyline").count() > 5);
    }
    let (output, text) = rig(&["compare", &reports[0], &reports[1]]);
    assert_eq!(output.status.code(), Some(0));
    let line = text.lines().find(|l| l.starts_with("figures.service")).expect("a line for the service");
    assert_eq!(line.split_whitespace().count(), 4, "{line}");
}

/// A site that is lost and returns cold, with other faults beside it, on sixteen processes. The bounds are those of
/// chance for some 2,000 callers, wide enough for a machine that is busy with other tests; the emulator's tests in
/// `sites.rs` are closer.
#[test]
fn sixteen_processes_lose_a_site_and_take_it_back() {
    let folder = Folder::new("site");
    let (_, real) = play(&scenario("site-faults.json"), &folder, &[]);
    assert_eq!(figure(&real, "/figures/falls"), 0.0, "a cold server was pushed over");
    assert!(figure(&real, "/figures/callers") > 1_800.0);
    assert!(figure(&real, "/losses/0/kept") > 0.5, "{real}");
    assert!(figure(&real, "/losses/0/after") > 0.5, "{real}");
    // Each proxy to each server once, and what the faults cost: kept few, though each loss is found out by connects.
    assert!(figure(&real, "/figures/connections") < 4.0, "{real}");
}

//! `fernspan-rig`: plays scenarios, checks and plots them. See `docs/RIG.md`.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use fernspan_model::forecast::{self, Forecast};
use fernspan_model::report::Record;
use fernspan_model::scenario::{self, Scenario};
use fernspan_model::sites;
use fernspan_rig::emulate::Emulator;
use fernspan_rig::plot;
use fernspan_rig::real::{self, Options, Rig};
use fernspan_rig::series::{self, Report};
use fernspan_rig::soak::{self, Outcome, plan::Plan, world::Places};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;
use tracing_subscriber::EnvFilter;

/// A fleet of fernspan on one machine, with faults between its parts
#[derive(Parser)]
#[command(name = "fernspan-rig", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario and says whether the rules were kept
    Run {
        /// The scenario, a JSON file
        file: PathBuf,
        /// In virtual time, with decision modules in this process, instead of real processes
        #[arg(long)]
        emulate: bool,
        /// Another number of proxies than the scenario's; calls and servers' sizes go with it
        #[arg(long, value_name = "N")]
        processes: Option<u32>,
        /// Another seed than the scenario's
        #[arg(long, value_name = "N")]
        seed: Option<u64>,
        /// Where to write figures as JSON; series go beside it as .callers.arrow and .servers.arrow
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
        /// The program to start; the one beside this one if not given
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        /// A folder for the proxies' logs
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
    },
    /// Plays seeded faults that overlap on real processes, and says which rules were broken
    Soak {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, one after another
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// How long clients call in each, in seconds
        #[arg(long, default_value_t = 12)]
        seconds: u64,
        /// The program to start; the one beside this one if not given
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        /// A folder for configurations and logs, which stay there
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
        /// Prints what would happen, and plays nothing
        #[arg(long)]
        plan: bool,
    },
    /// Says before the day what losing each site would do
    Forecast {
        /// The scenario, a JSON file: its servers, proxies and callers; its faults do not count
        file: PathBuf,
        /// Sites that are lost together, instead of each by itself and the largest two
        #[arg(long, value_name = "NAME", num_args = 1..)]
        sites: Vec<String>,
        /// How long they are lost, in seconds; as long as the scenario's first fault of servers if not given, or 10
        #[arg(long = "for", value_name = "S")]
        length: Option<f64>,
        /// Calls a second, instead of the scenario's
        #[arg(long, value_name = "N")]
        rate: Option<f64>,
        /// Prints JSON
        #[arg(long)]
        json: bool,
    },
    /// Reads a scenario and says whether it is good
    Check {
        /// The scenario, a JSON file
        file: PathBuf,
    },
    /// Prints the JSON schema of scenarios
    Schema,
    /// Draws reports over time; more are drawn over each other
    Plot {
        /// Reports that `run --report` wrote
        #[arg(required = true)]
        reports: Vec<PathBuf>,
        /// The plot, an SVG file
        #[arg(long, short, value_name = "FILE", default_value = "plot.svg")]
        out: PathBuf,
    },
    /// Shows the figures of two reports beside each other
    Compare {
        /// A report that `run --report` wrote
        a: PathBuf,
        /// Another
        b: PathBuf,
    },
    /// Takes a proxy's limits and becomes it; for the rig's own use
    #[command(hide = true)]
    Hold { sockets: u64, parent: i32, program: PathBuf },
}

/// Exit code for a bad file or a failed start.
const BAD: u8 = 2;

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_env("FERNSPAN_RIG_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false).init();
    let done = match Cli::parse().command {
        Command::Run { file, emulate, processes, seed, report, program, logs } => {
            run(&file, emulate, processes, seed, report.as_deref(), program, logs)
        }
        Command::Forecast { file, sites, length, rate, json } => {
            foretell(&file, &sites, length, rate, json).map(|()| ExitCode::SUCCESS)
        }
        Command::Check { file } => read(&file).map(|s| {
            println!(
                "{}: {} proxies, {} servers, {} faults: good",
                s.name,
                s.proxies.count,
                s.server_groups().len(),
                s.faults.len()
            );
            ExitCode::SUCCESS
        }),
        Command::Schema => {
            println!("{:#}", scenario::schema());
            Ok(ExitCode::SUCCESS)
        }
        Command::Plot { reports, out } => draw(&reports, &out).map(|()| ExitCode::SUCCESS),
        Command::Compare { a, b } => compare(&a, &b).map(|()| ExitCode::SUCCESS),
        Command::Soak { seed, seeds, seconds, plan: true, .. } => {
            for seed in seed..seed.saturating_add(seeds) {
                print_plan(&Plan::draw(seed, seconds * 1_000_000));
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Soak { seed, seeds, seconds, program, logs, .. } => {
            soak(seed, seeds, seconds, program, logs)
        }
        Command::Hold { sockets, parent, program } => {
            Err(format!("{}: {}", program.display(), real::hold(sockets, parent, &program)))
        }
    };
    done.unwrap_or_else(|why| {
        eprintln!("fernspan-rig: {why}");
        ExitCode::from(BAD)
    })
}

fn read(file: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    scenario::read(&text).map_err(|e| format!("{}: {e}", file.display()))
}

fn run(
    file: &Path,
    emulate: bool,
    processes: Option<u32>,
    seed: Option<u64>,
    report: Option<&Path>,
    program: Option<PathBuf>,
    logs: Option<PathBuf>,
) -> Result<ExitCode, String> {
    let mut scenario = read(file)?;
    if let Some(seed) = seed {
        scenario.seed = seed;
    }
    if let Some(count) = processes {
        scenario.resize(count).map_err(|e| format!("--processes: {e}"))?;
    }
    let played = scenario.clone();
    let begin = Instant::now();
    let (world, at, machine) = match emulate {
        true => {
            let emulator = Emulator::new(scenario).map_err(|e| format!("{}: {e}", file.display()))?;
            let (world, at, steps) = emulator.run();
            tracing::info!(steps, took_ms = begin.elapsed().as_millis() as u64, "emulated");
            (world, at, None)
        }
        false => {
            let options = options(program, logs)?;
            let rig = Rig::new(scenario, options).map_err(|e| format!("{}: {e}", file.display()))?;
            let (world, at, machine) = rig.run().map_err(|e| e.to_string())?;
            (world, at, Some(machine))
        }
    };
    let proxies = world.proxies();
    let (record, checker) = world.finish(at);
    let figures = record.figures(proxies, played.channels.len());
    let losses = sites::losses(&played, &record).map_err(|e| format!("{}: {e}", file.display()))?;
    let said = Report {
        losses,
        scenario: played.name.clone(),
        played: if emulate { "emulated" } else { "real" },
        seed: played.seed,
        proxies: played.proxies.count,
        servers: played.server_groups().len(),
        seconds: played.seconds,
        took_s: begin.elapsed().as_secs_f64(),
        figures,
        broken: checker.counts().iter().map(|(rule, n)| (rule.to_string(), *n)).collect(),
        first: series::words(checker.broken()),
        machine,
    };
    if let Some(to) = report {
        keep(to, &said, &record)?;
    }
    print(&said);
    match checker.broken().first() {
        None => {
            println!("rules kept");
            Ok(ExitCode::SUCCESS)
        }
        Some(first) => {
            println!("rule broken: {first}");
            Ok(ExitCode::from(1))
        }
    }
}

/// Names the sites whose loss is reckoned, and for how long; gives the forecasts.
fn forecasts(
    scenario: &Scenario,
    sites: &[String],
    length: Option<f64>,
) -> Result<(f64, Vec<Forecast>), String> {
    let length = length.or_else(|| forecast::length(scenario)).unwrap_or(10.0);
    if !(0.1..=3_600.0).contains(&length) {
        return Err(format!("--for: has to be from 0.1 to 3600 seconds, not {length}"));
    }
    if sites.is_empty() {
        return Ok((length, forecast::each(scenario, length)));
    }
    let number = |name: &String| {
        let at = scenario.sites.iter().position(|s| s == name);
        at.ok_or_else(|| format!("--sites: there is no site {name}"))
    };
    let lost = sites.iter().map(number).collect::<Result<BTreeSet<usize>, _>>()?;
    if lost.len() == scenario.sites.len() {
        return Err("--sites: one has to remain".to_owned());
    }
    let lost: Vec<usize> = lost.into_iter().collect();
    Ok((length, vec![forecast::losing(scenario, &lost, length)]))
}

fn foretell(
    file: &Path,
    sites: &[String],
    length: Option<f64>,
    rate: Option<f64>,
    json: bool,
) -> Result<(), String> {
    let mut scenario = read(file)?;
    if let Some(rate) = rate {
        if !(rate > 0.0 && rate.is_finite()) {
            return Err(format!("--rate: has to be above 0, not {rate}"));
        }
        scenario.callers.rate = rate;
    }
    let (length, all) = forecasts(&scenario, sites, length)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?);
        return Ok(());
    }
    println!(
        "{}: {} proxies, {} servers, {:.1} calls a second of {:.1} that they can do; each loss lasts {length} s",
        scenario.name,
        scenario.proxies.count,
        scenario.server_groups().len(),
        scenario.callers.rate,
        scenario.server_groups().iter().map(|g| g.rate).sum::<f64>()
    );
    for f in &all {
        println!();
        println!("without {}:", f.sites.join(" and "));
        println!(
            "  {:.0} standing calls are cut; {:.0} on their way are called off and sent again",
            f.cut, f.called_off
        );
        println!("  load of the remaining servers {:.2}, from {:.2}", f.load[1], f.load[0]);
        let moves: Vec<String> = f.moves.iter().map(|(site, n)| format!("{site} {n:+.1}")).collect();
        println!("  calls a second that move: {}", moves.join(", "));
        println!(
            "  from 2 s after: in time {:.3}, late {:.3}, refused {:.3}; connects to lost servers {:.1} a second",
            f.in_time, f.late, f.refused, f.connects
        );
        if f.refused >= 0.001 {
            let of: Vec<String> = f.refused_of.iter().map(|(name, n)| format!("{name} {n:.3}")).collect();
            println!("  refused by channel: {}", of.join(", "));
        }
        let recovered = f.recovered_s.map_or("not within a minute".to_owned(), |s| format!("after {s:.0} s"));
        println!(
            "  after the return: service {:.3} in ten seconds, all in time again {recovered}, in full use after {:.1} s",
            f.after, f.full_s
        );
    }
    Ok(())
}

fn options(program: Option<PathBuf>, logs: Option<PathBuf>) -> Result<Options, String> {
    let holder = std::env::current_exe().map_err(|e| format!("this program's own name: {e}"))?;
    let program = program.unwrap_or_else(|| holder.with_file_name("fernspan"));
    if !program.is_file() {
        return Err(format!("there is no program {}; name one with --program", program.display()));
    }
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone()).map_err(|e| format!("signals: {e}"))?;
    }
    Ok(Options { program, holder, logs, interrupted })
}

fn keep(to: &Path, said: &Report, record: &Record) -> Result<(), String> {
    let text = serde_json::to_string_pretty(said).map_err(|e| format!("{}: {e}", to.display()))?;
    std::fs::write(to, text + "\n").map_err(|e| format!("{}: {e}", to.display()))?;
    series::save(to, record).map_err(|e| format!("{}: {e}", to.display()))
}

fn print(r: &Report) {
    let f = &r.figures;
    println!(
        "{} ({}, seed {}): {} proxies, {} servers, {} callers in {} s, took {:.1} s",
        r.scenario, r.played, r.seed, r.proxies, r.servers, f.callers, r.seconds, r.took_s
    );
    let fates: Vec<String> =
        f.fates.iter().filter(|x| *x.1 > 0.0).map(|(name, share)| format!("{name} {share:.3}")).collect();
    println!("service {:.3}, worst 10 s {:.3}; {}", f.service, f.worst_10_s, fates.join(", "));
    println!(
        "stood after {:.0} ms, 90 in 100 after {:.0}, 99 in 100 after {:.0}; second choice {:.3}, attempts {:.3}",
        f.stood_ms[0], f.stood_ms[1], f.stood_ms[2], f.second_choice, f.attempts
    );
    println!(
        "load spread {:.2}, highest {:.2} / {:.2} / {:.2} in 0.1 / 1 / 10 s, dispersion {:.2}, idle {:.1} s; \
         wasted {:.3}, connections {:.2}, fall-overs {}",
        f.load.spread,
        f.load.highest[0],
        f.load.highest[1],
        f.load.highest[2],
        f.load.dispersion,
        f.load.idle_s,
        f.wasted,
        f.connections,
        f.falls
    );
    let after = |s: Option<f64>| s.map_or_else(|| "never".to_owned(), |s| format!("after {s:.1} s"));
    for l in &r.losses {
        println!(
            "{} lost from {} to {} s: {:.1} calls a second offered, {:.1} could be done; in time {:.3}, {:.3} of \
             what that allows; refused {:.3}, cut {:.3}; moved {}; used again {}, in full {}; service of the ten \
             seconds then {:.3}",
            l.sites.join(" and "),
            l.from_s,
            l.until_s,
            l.offered,
            l.remaining,
            l.in_time,
            l.kept,
            l.refused,
            l.cut,
            after(l.moved_s),
            after(l.used_s),
            after(l.full_s),
            l.after
        );
    }
    if let Some(m) = &r.machine {
        println!(
            "late by {:.1} ms, 99 in 100 by {:.1}, most {:.1}; processor time {:.1} s of proxies, {:.1} s of the rig; \
             a proxy had {:.1} MiB and {} descriptors at most, the rig {}",
            m.late_ms[0],
            m.late_ms[1],
            m.late_ms[2],
            m.proxies_cpu_s,
            m.rig_cpu_s,
            m.proxy_mb,
            m.proxy_descriptors,
            m.rig_descriptors
        );
        if !m.counts {
            println!("the machine was too busy: this run does not count");
        }
    }
    for line in r.first.iter().take(5) {
        println!("  {line}");
    }
}

fn report(path: &Path) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: no report: {e}", path.display()))
}

fn draw(reports: &[PathBuf], out: &Path) -> Result<(), String> {
    let mut all = Vec::new();
    for path in reports {
        let said = report(path)?;
        let name = path.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
        let played = said["played"].as_str().unwrap_or_default();
        let series = series::load(path).map_err(|e| format!("{}: {e}", path.display()))?;
        all.push((format!("{name} ({played})"), series));
    }
    plot::draw(out, &all)?;
    println!("{}", out.display());
    Ok(())
}

/// All figures of a report, by their paths.
fn flat(value: &Value, path: &str, into: &mut Vec<(String, f64)>) {
    let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Number(n) => into.extend(n.as_f64().map(|n| (path.to_owned(), n))),
        Value::Object(map) => map.iter().for_each(|(key, v)| flat(v, &below(key), into)),
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(i, v)| flat(v, &below(&i.to_string()), into))
        }
        _ => {}
    }
}

fn compare(a: &Path, b: &Path) -> Result<(), String> {
    let (mut left, mut right) = (Vec::new(), Vec::new());
    flat(&report(a)?, "", &mut left);
    flat(&report(b)?, "", &mut right);
    println!("{:<36} {:>12} {:>12} {:>12}", "", a.display(), b.display(), "change");
    for (name, x) in &left {
        if let Some((_, y)) = right.iter().find(|r| r.0 == *name) {
            println!("{name:<36} {x:>12.4} {y:>12.4} {:>+12.4}", y - x);
        }
    }
    Ok(())
}

/// Plays seeds one after another; a broken rule in any of them fails the whole.
fn soak(
    first: u64,
    count: u64,
    seconds: u64,
    program: Option<PathBuf>,
    logs: Option<PathBuf>,
) -> Result<ExitCode, String> {
    let holder = std::env::current_exe().map_err(|e| format!("this program's own name: {e}"))?;
    let program = program.unwrap_or_else(|| holder.with_file_name("fernspan"));
    let kept = logs.is_some();
    let parent = logs.unwrap_or_else(std::env::temp_dir);
    let mut red = Vec::new();
    for seed in first..first.saturating_add(count) {
        let folder = parent.join(format!("fernspan-soak-{}-{seed}", std::process::id()));
        let places = Places { program: program.clone(), holder: holder.clone(), folder: folder.clone() };
        let outcome = soak::play(seed, seconds * 1_000_000, places).map_err(|e| e.to_string())?;
        report_soak(&outcome);
        if !outcome.violations.is_empty() {
            red.push(seed);
        }
        if !kept && outcome.violations.is_empty() {
            let _ = std::fs::remove_dir_all(&folder);
        }
    }
    match red.is_empty() {
        true => println!("rules kept in {count} seeds"),
        false => println!("rules broken in {} of {count} seeds: {red:?}", red.len()),
    }
    Ok(if red.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// A line for the run, and one for each broken rule.
fn report_soak(outcome: &Outcome) {
    let Outcome { plan, counts, processes, late, violations } = outcome;
    println!(
        "seed {}: {} proxies, {processes} processes, {} servers, deadline {} ms{}, {} faults; {} taken, {} stood, {} \
         turned away, {} given up, {} crossed a close, {} with a killed process; late {} ms{}",
        plan.seed,
        plan.proxies,
        plan.servers,
        plan.deadline / 1_000,
        if plan.crowd { ", crowds" } else { "" },
        plan.faults.len(),
        counts.taken,
        counts.stood,
        counts.turned,
        counts.left,
        counts.crossed,
        counts.excused,
        late / 1_000,
        if outcome.counts_as_run() { "" } else { " (too busy: does not count)" },
    );
    for violation in violations.iter().take(20) {
        println!("  {violation}");
    }
    if !violations.is_empty() {
        print_plan(plan);
    }
}

/// What goes wrong in a run, a line each; times are from when clients begin to call.
fn print_plan(plan: &Plan) {
    println!("  seed {}:", plan.seed);
    for planned in &plan.faults {
        println!("    {:.3} s: {:?}", planned.at as f64 / 1e6, planned.fault);
    }
}

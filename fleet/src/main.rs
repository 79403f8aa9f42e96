//! `fernspan-fleet`: one member of a fleet that divides budgets, to try it out and to test it. See `docs/BUDGETS.md`.
#![forbid(unsafe_code)]

use async_io::{Async, Timer};
use clap::{Parser, Subcommand};
use fernspan_fleet::host::{Clock, Member, run};
use fernspan_fleet::measure::measure;
use fernspan_fleet::node::Node;
use fernspan_fleet::settings::{self, Settings};
use futures_lite::future;
use std::net::{SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Budgets that a fleet divides among its members
#[derive(Parser)]
#[command(name = "fernspan-fleet", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Reads a file and says whether it is good
    Check {
        /// The fleet's file
        file: PathBuf,
    },
    /// Prints the JSON schema of the file
    Schema,
    /// Measures emulated fleets: what is in use, how soon it is divided anew, and what that costs
    Emulate {
        /// Sizes, in members
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 300])]
        members: Vec<u16>,
        /// Seed of all that is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Runs one member, and says every second what it may use
    Member {
        /// The fleet's file
        file: PathBuf,
        /// This member's seat
        #[arg(long)]
        seat: u16,
        /// Its address
        #[arg(long)]
        listen: SocketAddrV4,
        /// What it could use of each budget, in the file's order
        #[arg(long, value_delimiter = ',')]
        want: Vec<u64>,
        /// Spends its share of the first budget, as so many a second, at this address: a datagram with a number each
        #[arg(long)]
        spend: Option<SocketAddrV4>,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Check { file } => read(&file).map(|s| {
            println!("{} seats, {} voters, {} budgets: good", s.seats, s.voters.len(), s.budgets.len());
        }),
        Command::Schema => {
            println!("{:#}", settings::schema());
            Ok(())
        }
        Command::Emulate { members, seed } => emulate(&members, seed),
        Command::Member { file, seat, listen, want, spend } => member(&file, seat, listen, want, spend),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("fernspan-fleet: {why}");
            ExitCode::from(2)
        }
    }
}

fn read(file: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    settings::read(&text).map_err(|e| format!("{}: {e}", file.display()))
}

fn emulate(members: &[u16], seed: u64) -> Result<(), String> {
    for n in members {
        if !(5..=20_000).contains(n) {
            return Err(format!("--members: has to be from 5 to 20000, not {n}"));
        }
        let begin = Instant::now();
        let f = measure(*n, seed);
        let said = |s: Option<f64>| s.map_or("never".to_owned(), |s| format!("{s:.2}"));
        let anew: Vec<String> = f
            .anew
            .iter()
            .map(|(p, gone, back)| format!("{p}%: {} and {} s", said(*gone), said(*back)))
            .collect();
        println!(
            "{n} members: in use {:.3} (fixed parts {:.3}), most {:.3}; anew after they go and come, {}; \
             {:.1} datagrams and {:.0} bytes a member and second; took {:.1} s",
            f.in_use,
            f.fixed,
            f.most,
            anew.join(", "),
            f.datagrams,
            f.bytes,
            begin.elapsed().as_secs_f64()
        );
    }
    Ok(())
}

fn member(
    file: &Path,
    seat: u16,
    listen: SocketAddrV4,
    want: Vec<u64>,
    spend: Option<SocketAddrV4>,
) -> Result<(), String> {
    let settings = read(file)?;
    if seat >= settings.seats {
        return Err(format!("--seat: there are seats 0 to {}", settings.seats - 1));
    }
    if !want.is_empty() && want.len() != settings.budgets.len() {
        return Err(format!("--want: there are {} budgets", settings.budgets.len()));
    }
    // The address holds the seat: a second process of it cannot start beside the first.
    let socket = Async::<UdpSocket>::bind(listen).map_err(|e| format!("--listen {listen}: {e}"))?;
    let clock = Clock::new();
    let mut node = Node::new(settings, seat, run(), listen, clock.now());
    node.want(want);
    let member = Member::new(node, clock);
    println!("ready");
    let all = future::or(future::or(member.serve(&socket), say(&member)), use_up(&member, spend));
    future::block_on(all).map_err(|e| format!("{listen}: {e}"))
}

/// Says every half second how things stand, as JSON lines.
async fn say(member: &Member) -> std::io::Result<()> {
    loop {
        Timer::after(Duration::from_millis(500)).await;
        member.with(|node, now| {
            let line = serde_json::json!({
                "seat": node.me().seat, "run": node.me().run, "share": node.share(0, now),
                "members": node.members().alive(), "allocates": node.shares().allocates(now),
                "counts": node.counts,
            });
            println!("{line}");
        });
    }
}

/// Uses its share of the first budget as a rate. What it might have used while it was stopped is gone: time counts
/// for 20 ms at most, and only by the share there is now.
async fn use_up(member: &Member, at: Option<SocketAddrV4>) -> std::io::Result<()> {
    let Some(at) = at else { return future::pending().await };
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    let (mut last, mut left) = (Instant::now(), 0.0);
    loop {
        Timer::after(Duration::from_millis(5)).await;
        let passed = last.elapsed().min(Duration::from_millis(20));
        last = Instant::now();
        let share = member.share(0) as f64;
        left = (left + share * passed.as_secs_f64()).min((share * 0.02).max(1.0));
        let whole = left.floor();
        if whole >= 1.0 && share > 0.0 {
            left -= whole;
            let _ = socket.send_to(&(whole as u64).to_be_bytes(), at);
        }
    }
}

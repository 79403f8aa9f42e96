//! The cases of the second review, each with its stand-ins. See `review/REPORT-2.md`.
#![forbid(unsafe_code)]

mod caller;
mod cases;
mod channel;
mod deployment;
mod path;
mod server;
mod world;

fn main() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        std::process::exit(2)
    }));
    let name = std::env::args().nth(1).unwrap_or_default();
    let case = cases::ALL.iter().find(|(known, _)| *known == name);
    let Some((_, run)) = case else {
        eprintln!("no case of this name: {name}");
        std::process::exit(2)
    };
    let world = world::World::new();
    world.guard(115_000);
    run(&world)
}

//! A short soak on real processes: the long one is started by hand (docs/RIG.md).

use fernspan_rig::soak::{self, world::Places};
use std::path::{Path, PathBuf};

/// Deadlines of 0.3, 0.8, 2 and 9 s, with and without crowds.
const SEEDS: [u64; 4] = [1, 6, 9, 16];
const LENGTH: u64 = 6_000_000;

/// Guards against report 3f65a3 and what was found beside it, by faults that overlap.
#[test]
fn the_rules_are_kept_under_faults_that_overlap() {
    let holder = PathBuf::from(env!("CARGO_BIN_EXE_fernspan-rig"));
    let program = holder.with_file_name("fernspan");
    assert!(program.is_file(), "build the whole workspace first: there is no {}", program.display());
    for seed in SEEDS {
        let folder = std::env::temp_dir().join(format!("fernspan-soak-test-{}-{seed}", std::process::id()));
        let places = Places { program: program.clone(), holder: holder.clone(), folder: folder.clone() };
        let outcome = soak::play(seed, LENGTH, places).expect("the run can be made");
        let broken: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
        assert!(
            broken.is_empty(),
            "seed {seed}, late {} us: {broken:#?}\nlogs: {}",
            outcome.late,
            shown(&folder)
        );
        assert!(outcome.processes > outcome.plan.proxies as u32, "seed {seed}: no process was replaced");
        assert!(outcome.counts.stood > 500, "seed {seed}: {:?}", outcome.counts);
        let _ = std::fs::remove_dir_all(folder);
    }
}

fn shown(folder: &Path) -> String {
    folder.display().to_string()
}

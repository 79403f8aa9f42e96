//! What the platform asks of the deploy file and of the program that it starts.

/// Guards the standing test: `run` has to end by `exec` in one process, and the program has to be linked
/// dynamically, since the bench loads a library of its own into it.
#[test]
fn the_program_is_run_by_exec_and_linked_dynamically() {
    let deploy = include_str!("../../deploy/balancer.toml");
    let line = |name: &str| {
        let found = deploy.lines().find_map(|l| l.strip_prefix(name)?.trim().strip_prefix('='));
        found.map(|l| l.trim().to_owned()).unwrap_or_default()
    };
    assert_eq!(line("run"), r#""exec target/release/fernspan""#);
    assert!(line("build").contains("cargo build --release"));
    for name in ["sim", "policy", "node"] {
        assert!(!line(name).is_empty(), "{name} is missing");
    }
    let program = std::fs::read(env!("CARGO_BIN_EXE_fernspan")).expect("the program was built");
    // A program that names an interpreter is loaded by it; a static one has none.
    let interpreter = b"/ld-linux";
    assert!(program.windows(interpreter.len()).any(|w| w == interpreter), "it is linked statically");
}

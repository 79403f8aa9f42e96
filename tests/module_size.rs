//! The decision modules stay readable, and the platform is told of each.

const MODULES: [(&str, &str); 7] = [
    ("src/choice.rs", include_str!("../src/choice.rs")),
    ("src/server_health.rs", include_str!("../src/server_health.rs")),
    ("src/window.rs", include_str!("../src/window.rs")),
    ("src/refusal.rs", include_str!("../src/refusal.rs")),
    ("src/sites.rs", include_str!("../src/sites.rs")),
    ("src/probes.rs", include_str!("../src/probes.rs")),
    ("src/throughput.rs", include_str!("../src/throughput.rs")),
];

/// Lines of one module at most that are not blank.
const MOST_LINES: usize = 600;
/// Characters of a line at most: in the modules that were one file with this limit, and in the others.
const MOST_CHARACTERS: usize = 110;
const MOST_CHARACTERS_ELSEWHERE: usize = 120;
const ONE_FILE_BEFORE: [&str; 3] = ["src/choice.rs", "src/server_health.rs", "src/window.rs"];

#[test]
fn decision_modules_stay_readable() {
    for (path, text) in MODULES {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MOST_LINES, "{path}: {lines} lines, {MOST_LINES} at most");
        let most = match ONE_FILE_BEFORE.contains(&path) {
            true => MOST_CHARACTERS,
            false => MOST_CHARACTERS_ELSEWHERE,
        };
        for (number, line) in text.lines().enumerate() {
            let characters = line.chars().count();
            assert!(characters <= most, "{path}: line {} has {characters} characters", number + 1);
        }
        assert!(text.starts_with("//! "), "{path} opens with what it is for");
    }
}

#[test]
fn the_platform_is_told_of_each_decision_module() {
    let deploy = include_str!("../deploy/balancer.toml");
    let policy = deploy.lines().find(|line| line.starts_with("policy = ")).expect("policy");
    for (path, _) in MODULES {
        assert!(policy.contains(&format!("\"{path}\"")), "{path}");
    }
}

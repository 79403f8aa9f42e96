//! The on-call reader's limits on the policy file.

#[test]
fn policy_file_stays_readable() {
    let text = include_str!("../src/choice.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 880, "{lines} lines, 880 at most");
    for (i, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is over 110 characters", i + 1);
    }
    assert!(text.lines().take(2).any(|l| l.contains("src/interface.rs")));
}

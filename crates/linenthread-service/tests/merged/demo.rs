//! The demo's output, which is the same for one site and for two sites with a link.

use std::process::Command;

use crate::EXE;

/// Returns the lines of the demo's output, except those with a cursor and the line that announces two sites: only these
/// may differ.
fn comparable_output(sites: &str) -> Vec<String> {
    let output = Command::new(EXE)
        .args(["try", "--show", "--sites", sites])
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    let partial = text.split("# the total").nth(1).unwrap();
    assert!(
        partial.contains("\"at-least\"") && partial.contains("\"unanswered\""),
        "{partial}"
    );
    assert_eq!(
        text.matches("\"d000").count(),
        10,
        "two pages of five: {text}"
    );
    let is_comparable = |line: &&str| !line.contains("\"next\"") && !line.starts_with("Two sites");
    text.lines()
        .filter(is_comparable)
        .map(str::to_owned)
        .collect()
}

#[test]
fn the_demo_shows_the_same_pages_and_partial_total_with_one_and_two_sites() {
    assert_eq!(comparable_output("1"), comparable_output("2"));
}

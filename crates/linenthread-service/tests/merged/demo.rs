//! The demo's output: the same on one site as over a link.

use std::process::Command;

use crate::EXE;

/// The demo's output, without what names its addresses or cursors.
fn lines_shown(sites: &str) -> Vec<String> {
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
    let is_of_rows = |line: &&str| !line.contains("\"next\"") && !line.starts_with("Two sites");
    text.lines().filter(is_of_rows).map(str::to_owned).collect()
}

#[test]
fn the_demo_shows_pages_and_a_partial_total() {
    assert_eq!(lines_shown("1"), lines_shown("2"));
}

//! The simulation of the control plane prints the same output for the same seeds, however many schedules run in
//! parallel, and covers usage reports.

use std::process::Command;

fn run_schedules(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_linenthread-simulation"))
        .args(["system", "--schedules", "4", "--seed", "3", "--summary"])
        .args(arguments)
        .output()
        .expect("the program runs");
    String::from_utf8(output.stdout).expect("text")
}

/// Returns the number after `text` on the line of the summary that starts with it.
fn number_after(summary: &str, text: &str) -> Option<usize> {
    let rest = summary.lines().find_map(|line| line.strip_prefix(text))?;
    let number = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    number.parse().ok()
}

/// Guards against schedules that do not exercise usage reports.
#[test]
fn schedules_cover_usage_reports() {
    let summary = run_schedules(&["--core", "5"]);
    for text in [
        "usage: ",
        "loss of the last caller to the next call: ",
        "error of usage in calm stretches: ",
        "platform down: ",
        "clocks stepped: ",
        "higher fence seen by the platform: ",
    ] {
        let count = number_after(&summary, text);
        assert!(count > Some(0), "{text}{count:?} in {summary}");
    }
}

#[test]
fn output_does_not_depend_on_the_number_of_jobs() {
    let one = run_schedules(&["--jobs", "1"]);
    assert!(
        one.lines()
            .last()
            .is_some_and(|line| line.starts_with("4 checked, ")),
        "{one}"
    );
    assert_eq!(one, run_schedules(&["--jobs", "3"]));
}

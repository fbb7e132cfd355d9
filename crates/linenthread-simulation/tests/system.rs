//! The simulation of control: the same seed gives the same schedule, however many are run at once.

use std::process::Command;

fn schedules(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_linenthread-simulation"))
        .args(["system", "--schedules", "4", "--seed", "3", "--summary"])
        .args(arguments)
        .output()
        .expect("the program runs");
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn schedules_do_not_depend_on_how_many_are_run_at_once() {
    let one = schedules(&["--jobs", "1"]);
    assert!(
        one.lines()
            .last()
            .is_some_and(|line| line.starts_with("4 checked, ")),
        "{one}"
    );
    assert_eq!(one, schedules(&["--jobs", "3"]));
}

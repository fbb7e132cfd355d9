//! The drill of control itself: the same seed gives the same day, however many are played at once.

use std::process::Command;

fn days(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_linenthread-drill"))
        .args(["system", "--schedules", "4", "--seed", "3", "--told"])
        .args(arguments)
        .output()
        .expect("the drill runs");
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn days_do_not_depend_on_how_many_are_played_at_once() {
    let one = days(&["--jobs", "1"]);
    assert!(
        one.lines()
            .last()
            .is_some_and(|line| line.starts_with("4 checked, ")),
        "{one}"
    );
    assert_eq!(one, days(&["--jobs", "3"]));
}

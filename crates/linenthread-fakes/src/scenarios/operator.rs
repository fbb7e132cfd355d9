//! Scenarios with commands of an operator.

use std::process::Output;

use super::ALL_ZONES;
use super::steps::{start_serving, with_seed};
use crate::rig::{Rig, Route, ZonePair};

/// The route from the first zone to the drained one.
const TO_MESSINA: ZonePair = ZonePair { from: 0, to: 2 };

/// Drains a zone and returns it to service by commands of an operator. Commands that cannot be executed must be
/// rejected with a reason.
pub(super) fn operator_commands(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let from = rig.log_position(0);
    let output = rig.run_operator_command(1, &["drain", "messina"]);
    assert!(output.status.success(), "{}", printed(&output));
    rig.wait_for_route(0, from, TO_MESSINA, |route| {
        route.is_excluded_for("Drained")
    });
    rig.wait_until_serving(&[0, 1], 20);
    let output = rig.run_operator_command(0, &["show"]);
    assert!(
        printed(&output).contains("0 drained")
            && printed(&output).contains("drained by order: messina"),
        "{}",
        printed(&output)
    );
    // If a second zone were drained, some shards would have no replica.
    let output = rig.run_operator_command(2, &["drain", "catania"]);
    assert!(
        !output.status.success() && printed(&output).contains("no replica left"),
        "{}",
        printed(&output)
    );
    let output = rig.run_operator_command(0, &["drain", "malta"]);
    assert!(
        !output.status.success() && printed(&output).contains("there is no zone malta"),
        "{}",
        printed(&output)
    );
    let from = rig.log_position(0);
    let output = rig.run_operator_command(1, &["return", "messina"]);
    assert!(output.status.success(), "{}", printed(&output));
    rig.wait_for_route(0, from, TO_MESSINA, Route::is_healthy);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// Returns the output of a command, both stdout and stderr.
fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr[..]].concat()).into_owned()
}

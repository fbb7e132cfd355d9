//! Scenarios of an operator's commands.

use std::process::Output;

use super::ALL_ZONES;
use super::steps::{start_serving, with_seed};
use crate::rig::{Rig, Route, ZonePair};

/// The route from the first zone to the one that is drained.
const TO_MESSINA: ZonePair = ZonePair { from: 0, to: 2 };

/// An operator drains a zone and takes it back; an order that cannot be carried out is rejected with its reason.
pub(super) fn operator_orders(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let from = rig.log_position(0);
    let output = rig.run_operator_command(1, &["drain", "messina"]);
    assert!(output.status.success(), "{}", printed(&output));
    rig.wait_for_route(0, from, TO_MESSINA, |route| route.is_left_for("Drained"));
    rig.wait_until_serving(&[0, 1], 20);
    let output = rig.run_operator_command(0, &["show"]);
    assert!(
        printed(&output).contains("0 drained")
            && printed(&output).contains("drained by order: messina"),
        "{}",
        printed(&output)
    );
    // Without another zone some shards would have no replica.
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

/// All that a command has printed.
fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr[..]].concat()).into_owned()
}

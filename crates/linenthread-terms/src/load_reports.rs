//! The load that replicas report.

use serde_json::Value;

use crate::error::{SettingsError, UnknownChoiceSnafu};
use crate::reader::{find, required};

/// The name of the figure that tells how many sub-requests are queued.
const QUEUE: &str = "queue";

/// The position, among the figures of a load report, of the number of queued sub-requests; `None` where it is
/// not reported.
pub fn queue_position(root: &Value) -> Option<usize> {
    find(root, "telemetry.names")?
        .as_array()?
        .iter()
        .position(|name| name == QUEUE)
}

/// Whether replicas report the depth of their queue. Settings that say nothing of load reports are older than
/// these settings, when replicas always did.
pub(crate) fn reports_queue(root: &Value) -> Result<bool, SettingsError> {
    if find(root, "telemetry").is_none() {
        return Ok(true);
    }
    let names = required(root, "telemetry.names", |value| {
        let names = value.as_array()?.iter().map(Value::as_str);
        names.collect::<Option<Vec<&str>>>()
    })?;
    let path = "telemetry.source";
    match required(root, path, Value::as_str)? {
        "none" => Ok(false),
        "answers" | "probe" => Ok(names.contains(&QUEUE)),
        value => UnknownChoiceSnafu { path, value }.fail(),
    }
}

//! Decodes the settings of the load reports that replicas send.

use serde_json::Value;

use crate::error::{SettingsError, UnknownChoiceSnafu};
use crate::reader::{find, required};

/// The name of the figure that is the number of queued sub-requests.
const QUEUE: &str = "queue";

/// Returns the position of the number of queued sub-requests among the figures of a load report; `None` if it is not
/// reported.
pub fn queue_position(root: &Value) -> Option<usize> {
    find(root, "telemetry.names")?
        .as_array()?
        .iter()
        .position(|name| name == QUEUE)
}

/// Reports whether replicas report the depth of their queue. Settings that do not mention load reports date from
/// before there was a setting for them, when replicas always reported it.
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

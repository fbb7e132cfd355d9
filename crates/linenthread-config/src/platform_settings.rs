//! Settings of the platform's API: where and how often usage is reported, and the lease of the reporting node.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::ensure;

use crate::error::{InvalidValueSnafu, SettingsError};
use crate::settings::{Fields, MIN_INTERVAL_MS, MS_PER_S, duration_from_millis};

/// Name of the usage reporting task in the list of tasks.
const ACCOUNTING_TASK: &str = "accounting";

const ADDRESS_FIELD: &str = "cloud_api.address";
const TASKS_FIELD: &str = "cloud_api.tasks";
const CALL_RATE_FIELD: &str = "cloud_api.task_rate_s";
const LEASE_FIELD: &str = "limits_table.lease_ms";
const REPORT_WINDOW_FIELD: &str = "limits_table.report_window_s";
const REPORT_DELAY_FIELD: &str = "limits_table.usage_delay_s";

// Defaults of fields that are absent from the settings file.
const DEFAULT_CALLS_PER_SECOND: f64 = 1.0;
const DEFAULT_LEASE_MS: f64 = 3_000.0;
const DEFAULT_REPORT_WINDOW_S: f64 = 5.0;
const DEFAULT_REPORT_DELAY_S: f64 = 10.0;

/// Settings for reporting usage to the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform's API.
    pub address: SocketAddr,
    /// Number of calls per second that the platform accepts from all nodes together; greater than 0.
    pub calls_per_second: f64,
    /// Time after a call from one node within which the platform does not expect a call from another node that is
    /// followed by another call from the first.
    pub lease: Duration,
    /// Length of a report window; at least one millisecond.
    pub report_window: Duration,
    /// Delay from the end of a window until its report is due.
    pub report_delay: Duration,
}

impl PlatformSettings {
    /// Reads the fields of the platform's API. Returns `None` if no address is given or the usage reporting task is not
    /// listed.
    pub(crate) fn from_fields(fields: &Fields) -> Result<Option<PlatformSettings>, SettingsError> {
        let Some(address) = fields.address(ADDRESS_FIELD)? else {
            return Ok(None);
        };
        if !fields.list_contains(TASKS_FIELD, ACCOUNTING_TASK) {
            return Ok(None);
        }
        let lease_ms = fields.number(LEASE_FIELD, DEFAULT_LEASE_MS)?;
        let window_ms = fields.number(REPORT_WINDOW_FIELD, DEFAULT_REPORT_WINDOW_S)? * MS_PER_S;
        let delay_ms = fields.number(REPORT_DELAY_FIELD, DEFAULT_REPORT_DELAY_S)? * MS_PER_S;
        Ok(Some(PlatformSettings {
            address,
            calls_per_second: call_rate(fields)?,
            lease: duration_from_millis(lease_ms),
            report_window: duration_from_millis(window_ms.max(MIN_INTERVAL_MS)),
            report_delay: duration_from_millis(delay_ms),
        }))
    }
}

/// Returns the call rate. It must not be 0, since no report could be sent then.
fn call_rate(fields: &Fields) -> Result<f64, SettingsError> {
    let Some(field) = fields.get(CALL_RATE_FIELD) else {
        return Ok(DEFAULT_CALLS_PER_SECOND);
    };
    let rate = field.parse_number(CALL_RATE_FIELD)?;
    ensure!(
        rate > 0.0,
        InvalidValueSnafu {
            line: field.line,
            field: CALL_RATE_FIELD,
            reason: format!("{rate} is not greater than 0"),
        }
    );
    Ok(rate)
}

//! The settings of the platform to which machines report usage.

use std::net::SocketAddr;
use std::time::Duration;

use linenthread_fakes::platform::PlatformRules;

/// The address and rules of a platform, and when reports are due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The address of its API.
    pub address: SocketAddr,
    /// The rules that it enforces.
    pub rules: PlatformRules,
    /// The time after the end of a window within which its report is due.
    pub report_delay: Duration,
}

impl PlatformSettings {
    /// Returns the lines for a machine's settings file.
    pub(crate) fn lines(&self) -> String {
        let PlatformSettings {
            address,
            rules,
            report_delay,
        } = self;
        format!(
            "cloud_api.address={address}\ncloud_api.tasks=accounting\ncloud_api.task_rate_s={}\n\
             limits_table.lease_ms={}\nlimits_table.report_window_s={}\nlimits_table.usage_delay_s={}\n",
            rules.calls_per_second,
            rules.lease.as_millis(),
            rules.report_window.as_secs_f64(),
            report_delay.as_secs_f64()
        )
    }
}

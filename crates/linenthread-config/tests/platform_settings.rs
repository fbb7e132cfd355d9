//! Settings of usage reports to the platform.

use std::time::Duration;

use linenthread_config::{PlatformSettings, Settings};
use yare::parameterized;

/// The settings in lines 1 to 8; those of the platform follow.
const BASE: &str = "node_name=hub-1\nzone=a\nip_addr=10.1.0.3\nbind.control_plane=10.1.0.3:8729\n\
    port_range=7120,7135\nstate_dir=/data/hub\ninitial_boot=true\nquorum_member=true\n";

const PLATFORM: &str = "cloud_api.address=10.200.0.168:8204\ncloud_api.rate_s=50.0\ncloud_api.tasks=accounting\n\
    cloud_api.task_rate_s=12.5\nlimits_table.lease_ms=2500\nlimits_table.report_window_s=4.5\n\
    limits_table.usage_delay_s=9\nlimits_table.fence_checked=true\n";

fn parse(platform: &str) -> Result<Option<PlatformSettings>, String> {
    let settings = Settings::parse(&format!("{BASE}{platform}"));
    settings
        .map(|settings| settings.platform)
        .map_err(|error| error.to_string())
}

#[test]
fn every_field_is_read_from_its_key() {
    let expected = PlatformSettings {
        address: "10.200.0.168:8204".parse().unwrap(),
        calls_per_second: 12.5,
        lease: Duration::from_millis(2_500),
        report_window: Duration::from_millis(4_500),
        report_delay: Duration::from_secs(9),
    };
    assert_eq!(parse(PLATFORM), Ok(Some(expected)));
}

#[test]
fn absent_fields_have_defaults() {
    let expected = PlatformSettings {
        address: "10.0.0.1:80".parse().unwrap(),
        calls_per_second: 1.0,
        lease: Duration::from_secs(3),
        report_window: Duration::from_secs(5),
        report_delay: Duration::from_secs(10),
    };
    let platform = "cloud_api.address=10.0.0.1:80\ncloud_api.tasks=accounting\n";
    assert_eq!(parse(platform), Ok(Some(expected)));
}

#[parameterized(
    no_field = { "" },
    no_address = { "cloud_api.tasks=accounting\ncloud_api.task_rate_s=0\n" },
    no_tasks = { "cloud_api.address=10.0.0.1:80\n" },
    empty_tasks = { "cloud_api.address=10.0.0.1:80\ncloud_api.tasks=\n" },
    other_tasks = { "cloud_api.address=10.0.0.1:80\ncloud_api.tasks=gates,accounting-2\n" },
)]
fn usage_is_not_reported_without_an_address_or_the_task(platform: &str) {
    assert_eq!(parse(platform), Ok(None));
}

#[test]
fn the_task_may_be_listed_among_others() {
    let platform = "cloud_api.address=10.0.0.1:80\ncloud_api.tasks=gates, accounting,more\n";
    assert!(parse(platform).unwrap().is_some());
}

#[test]
fn the_report_window_is_at_least_one_millisecond() {
    let settings =
        parse(&PLATFORM.replace("report_window_s=4.5", "report_window_s=0.0001")).unwrap();
    assert_eq!(
        settings.map(|platform| platform.report_window),
        Some(Duration::from_millis(1))
    );
}

#[parameterized(
    address = {
        "10.200.0.168:8204", "platform:80", "line 9, cloud_api.address", "match"
    },
    address_out_of_range = {
        "10.200.0.168:8204", "10.300.0.168:8204", "line 9: cloud_api.address", "is no address"
    },
    rate_of_zero = {
        "task_rate_s=12.5", "task_rate_s=0.0", "line 12, cloud_api.task_rate_s", "0 is not greater than 0"
    },
    negative_rate = { "task_rate_s=12.5", "task_rate_s=-1", "line 12, cloud_api.task_rate_s", "-1" },
    lease = { "lease_ms=2500", "lease_ms=long", "line 13, limits_table.lease_ms", "long" },
    window = { "window_s=4.5", "window_s=4,5", "line 14, limits_table.report_window_s", "4,5" },
    delay = { "usage_delay_s=9", "usage_delay_s=9s", "line 15, limits_table.usage_delay_s", "9s" },
)]
fn an_invalid_field_is_rejected_with_its_line(good: &str, bad: &str, position: &str, reason: &str) {
    let error = parse(&PLATFORM.replacen(good, bad, 1)).unwrap_err();
    assert!(
        error.contains(position) && error.contains(reason),
        "{error}"
    );
}

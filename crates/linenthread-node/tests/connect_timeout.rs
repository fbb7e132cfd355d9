//! The connect timeout during and after the start-up of the process.

#[path = "../src/connect_timeout.rs"]
mod connect_timeout;

use std::time::Duration;

use connect_timeout::connect_timeout;
use yare::parameterized;

#[parameterized(
    at_start = { 0, 600, 120 },
    at_end_of_startup = { 2_999, 700, 120 },
    after_startup = { 3_000, 600, 600 },
    shorter_timeout_at_start = { 10, 50, 50 },
)]
fn the_connect_timeout_is_short_during_startup(uptime: u64, timeout: u64, expected: u64) {
    let ms = Duration::from_millis;
    assert_eq!(connect_timeout(ms(uptime), ms(timeout)), ms(expected));
}

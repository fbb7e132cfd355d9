//! How long a connection to a peer may take, by the age of the process.

#[path = "../src/connect_timeout.rs"]
mod connect_timeout;

use std::time::Duration;

use connect_timeout::connect_timeout;
use yare::parameterized;

#[parameterized(
    young = { 0, 600, 120 },
    still_young = { 2_999, 700, 120 },
    grown = { 3_000, 600, 600 },
    in_more_of_a_hurry = { 10, 50, 50 },
)]
fn a_young_process_does_not_wait_long_for_a_peer_that_is_not_up(
    uptime: u64,
    timeout: u64,
    expected: u64,
) {
    let ms = Duration::from_millis;
    assert_eq!(connect_timeout(ms(uptime), ms(timeout)), ms(expected));
}

//! The sequence of a graceful shutdown, from the request to stop until all responses have been written.

use std::time::Duration;

use tokio::time::Instant;

use crate::data_plane::DataPlane;
use crate::transport::Connector;

/// How long new connections are still accepted after a shutdown request. Load balancers check readiness once a second,
/// so some still send clients here.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(2_600);
/// How long before the end of the grace period the last requests are abandoned, to leave time for the process to exit.
const LAST_REQUESTS_MARGIN: Duration = Duration::from_millis(600);
/// The interval at which a shutdown checks whether all requests have completed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The deadlines of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When new connections are no longer accepted.
    accept_until: Instant,
    /// When the last requests are abandoned.
    pub respond_until: Instant,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that is requested now and must end within `grace`.
    pub fn new(grace: Duration) -> ShutdownSchedule {
        let now = Instant::now();
        let respond_until = now + grace.saturating_sub(LAST_REQUESTS_MARGIN);
        ShutdownSchedule {
            accept_until: (now + DRAIN_ACCEPT_PERIOD).min(respond_until),
            respond_until,
        }
    }
}

/// Stops serving: accepts connections for [`DRAIN_ACCEPT_PERIOD`], then waits until all requests in flight have
/// completed, but not beyond the schedule.
pub async fn drain<C: Connector>(plane: &DataPlane<C>, schedule: &ShutdownSchedule) {
    plane.begin_drain();
    tokio::time::sleep_until(schedule.accept_until).await;
    plane.close();
    log_progress("closing", plane);
    // Lets the connection tasks run before the first check: requests that have arrived are counted as in flight, and
    // idle connections are closed.
    tokio::task::yield_now().await;
    wait_for_responses(plane, schedule.respond_until).await;
    log_progress("exiting", plane);
}

/// Waits until no request is in flight, at most until `deadline`.
async fn wait_for_responses<C: Connector>(plane: &DataPlane<C>, deadline: Instant) {
    while plane.requests_in_flight() > 0 && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Logs how many requests are in flight at a step of the shutdown, and what they wait for.
fn log_progress<C: Connector>(step: &str, plane: &DataPlane<C>) {
    let pending = plane.pending_queries();
    log::info!(step = step, requests = plane.requests_in_flight(), in_flight = pending.in_flight,
        awaiting_retry_budget = pending.awaiting_retry_budget,
        awaiting_replica = pending.awaiting_replica; "event=shutdown_progress");
}

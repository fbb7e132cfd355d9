//! The sequence of a graceful shutdown, from the request to stop until all responses have been written.

use std::time::Duration;

use tokio::time::Instant;

use crate::clock;
use crate::data_plane::DataPlane;
use crate::transport::Connector;

/// How long new connections are still accepted after a shutdown request. Load balancers check readiness once a second,
/// so some still send clients here.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(2_600);
/// How long before the end of the grace period all requests have to end, to leave time for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// The part of a short grace period that is left for the process to exit.
const MIN_EXIT_SHARE: u32 = 2;
/// The part of the exit margin in which the last responses may be written.
const WRITE_SHARE: u32 = 6;
/// The interval at which a shutdown checks whether all requests have completed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The deadlines of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When new connections are no longer accepted.
    accept_until: Instant,
    /// When the decision module has ended all requests.
    respond_until: Instant,
    /// When the last responses have been written.
    write_until: Instant,
    /// When the process has to exit.
    exit_at: Instant,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that is requested now and must end within `grace`.
    pub fn new(grace: Duration) -> ShutdownSchedule {
        let now = Instant::now();
        let exit_margin = EXIT_MARGIN.min(grace / MIN_EXIT_SHARE);
        let respond_until = now + grace - exit_margin;
        ShutdownSchedule {
            accept_until: (now + DRAIN_ACCEPT_PERIOD).min(respond_until),
            respond_until,
            write_until: respond_until + exit_margin / WRITE_SHARE,
            exit_at: now + grace,
        }
    }

    /// Returns the time within which work that follows the last response must end: half of what is then left of the
    /// grace period.
    pub fn last_work_deadline(&self) -> Instant {
        let now = Instant::now();
        now + self.exit_at.saturating_duration_since(now) / 2
    }
}

/// Stops serving. Connections are accepted for [`DRAIN_ACCEPT_PERIOD`]; requests have until the schedule's deadline,
/// at which the decision module ends those that are left, so that each request that was read gets a response.
pub async fn drain<C: Connector>(plane: &DataPlane<C>, schedule: &ShutdownSchedule) {
    plane.begin_drain(clock::to_tenth_millis_at(schedule.respond_until));
    tokio::time::sleep_until(schedule.accept_until).await;
    plane.close();
    log_progress("closing", plane);
    // Lets the connection tasks run before the first check: requests that have arrived are counted as in flight, and
    // idle connections are closed.
    tokio::task::yield_now().await;
    wait_for_responses(plane, schedule.respond_until).await;
    plane.finish();
    wait_for_responses(plane, schedule.write_until).await;
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

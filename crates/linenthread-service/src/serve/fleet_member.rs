//! Connects the fleet's thread to the coordinator driver: passes observations to the thread and routing tables to the
//! driver.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linenthread_installation::{Fleet, Zones};
use tokio::sync::mpsc;
use tokio::time::{interval, sleep};
use tracing::{info, warn};

use crate::config::Config;
use crate::coordinator_driver::CoordinatorDriver;
use crate::fleet::{self, FleetHandle, FleetRequest, FleetUpdate, MemberConfig, StartError};
use crate::installation::WithSecrets;

/// Interval at which observations are sent to the fleet's thread.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a table to become valid, so that a large difference between the clocks of processes does not delay
/// the table further.
const MAX_TABLE_WAIT: Duration = Duration::from_millis(1_000);
/// Descriptors that a member needs besides those for its connections.
const MEMBER_DESCRIPTORS: usize = 4;

/// Returns the maximum number of descriptors that a member of this fleet may need.
pub(super) fn descriptors(fleet: &Fleet) -> usize {
    let members = usize::try_from(fleet.expected_members).unwrap_or(usize::MAX);
    MEMBER_DESCRIPTORS + fleet.voters.len() * 2 + members
}

/// Joins the fleet and connects its thread to the coordinator driver.
///
/// # Errors
///
/// Returns an error if the fleet's thread cannot start.
pub(super) fn join(
    config: &Config,
    driver: &CoordinatorDriver,
    fleet: WithSecrets<Fleet>,
    zones: Option<Zones>,
) -> Result<FleetHandle, StartError> {
    let (from_fleet, received) = mpsc::unbounded_channel();
    let member = MemberConfig {
        name: config.name.clone(),
        fleet: fleet.section,
        zones,
        secrets: fleet.secrets,
        seed: config.seed.rotate_left(17),
    };
    let handle = fleet::start(member, driver.clock(), from_fleet)?;
    actix_rt::spawn(exchange(driver.clone(), handle.sender.clone(), received));
    Ok(handle)
}

async fn exchange(
    driver: CoordinatorDriver,
    to_fleet: mpsc::UnboundedSender<FleetRequest>,
    mut received: mpsc::UnboundedReceiver<FleetUpdate>,
) {
    let mut observations = interval(OBSERVATION_INTERVAL);
    loop {
        tokio::select! {
            _ = observations.tick() => {
                if let Some(report) = driver.report_zones()
                    && to_fleet.send(FleetRequest::Report(report)).is_err()
                {
                    warn!("fleet thread ended, deciding without the fleet");
                    return;
                }
            }
            Some(FleetUpdate::Table { number, table }) = received.recv() => {
                sleep(time_until(table.valid_from_ms)).await;
                let rows = table.rows.clone();
                if driver.apply_routing_table(table) {
                    info!(number, ?rows, "routing table in use");
                } else {
                    warn!(number, "routing table ignored, its zones are not those of this file");
                }
            }
        }
    }
}

/// Returns the time until the system clock reaches `valid_from_ms`, at most [`MAX_TABLE_WAIT`].
fn time_until(valid_from_ms: u64) -> Duration {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = unix.unwrap_or_default().as_millis();
    let wait_ms = u128::from(valid_from_ms).saturating_sub(unix_ms);
    let wait = u64::try_from(wait_ms).map_or(MAX_TABLE_WAIT, Duration::from_millis);
    wait.min(MAX_TABLE_WAIT)
}

//! `linenthread zones`: shows the fleet's routing table, drains a zone or restores a drained one.

mod error;
mod follower;

use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use linenthread_fleet::NumberedValue;
use linenthread_zones::RoutingTable;
use snafu::ensure;

use crate::fleet::{Order, Orders, TABLE_TOPIC, ZoneChange};
use error::RejectedSnafu;
pub use error::ZonesError;
use follower::Follower;

/// Time limit of the command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an order that was not carried out is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum width of a column in the printed table.
const MIN_COLUMN_WIDTH: usize = 8;

/// An operator's action on the fleet's zones.
#[derive(Clone, Debug)]
pub enum ZonesAction {
    /// Show the routing table in use.
    Show,
    /// Stop all sub-requests to the named zone.
    Drain(String),
    /// Restore traffic to the named zone in steps.
    Return(String),
}

/// Carries out an operator's action and returns the text to print.
///
/// # Errors
///
/// Returns an error if the installation file cannot be used, no voter or no leader responds in time, or the order is
/// rejected.
pub fn run(file: &Path, action: &ZonesAction) -> Result<String, ZonesError> {
    let seed = handshake_seed();
    let mut follower = Follower::start(file, seed)?;
    let order = |zone: &String, change| Order {
        number: seed | 1,
        zone: zone.clone(),
        change,
    };
    match action {
        ZonesAction::Show => show(&mut follower),
        ZonesAction::Drain(zone) => submit(&mut follower, &order(zone, ZoneChange::Drain)),
        ZonesAction::Return(zone) => submit(&mut follower, &order(zone, ZoneChange::Return)),
    }
}

/// Waits until all committed values are received, and formats the routing table in use.
fn show(follower: &mut Follower) -> Result<String, ZonesError> {
    while follower.elapsed() < COMMAND_TIMEOUT {
        follower.poll();
        if follower.is_up_to_date() {
            return Ok(describe(follower));
        }
    }
    Err(timeout_error(follower))
}

/// Formats the committed routing table and the list of zones that were drained by order.
fn describe(follower: &Follower) -> String {
    let Some(NumberedValue { number, value }) = follower.value(TABLE_TOPIC) else {
        return "no routing table is committed yet: all routes are open, the nearest zone first"
            .into();
    };
    let Ok(table) = RoutingTable::decode(value) else {
        return "the routing table cannot be decoded by this version".into();
    };
    let mut text = format!(
        "routing table {number}; number of keys per thousand that each route is open for\n"
    );
    text += &format_table(&table);
    let drained: Vec<String> = follower.orders().drained.into_iter().collect();
    if !drained.is_empty() {
        text += &format!("\ndrained by order: {}", drained.join(", "));
    }
    text
}

/// Formats a header line with the destination zones, then one line for each source zone.
fn format_table(table: &RoutingTable) -> String {
    let longest_name = table.zones.iter().map(String::len).max();
    let width = longest_name.unwrap_or(0).max(MIN_COLUMN_WIDTH);
    let mut text = format!("{:width$}", "from");
    for to in &table.zones {
        text += &format!("  {to:>width$}");
    }
    for (from, row) in table.zones.iter().zip(&table.rows) {
        text += &format!("\n{from:width$}");
        for route in &row.routes {
            let cell = format!("{} {}", route.share, route.reason);
            text += &format!("  {cell:>width$}");
        }
    }
    text
}

/// Sends an order repeatedly until the leader has carried it out or rejected it.
fn submit(follower: &mut Follower, order: &Order) -> Result<String, ZonesError> {
    let mut sent_at: Option<Instant> = None;
    while follower.elapsed() < COMMAND_TIMEOUT {
        follower.poll();
        let is_due = sent_at.is_none_or(|sent| sent.elapsed() > RESEND_INTERVAL);
        if follower.has_received() && is_due {
            sent_at = Some(Instant::now());
            follower.report(order.encode());
        }
        let Orders {
            last_order,
            rejection,
            ..
        } = follower.orders();
        if last_order == order.number {
            ensure!(rejection.is_empty(), RejectedSnafu { reason: rejection });
            let outcome = match order.change {
                ZoneChange::Drain => "is drained",
                ZoneChange::Return => "returns in steps",
            };
            return Ok(format!("zone {} {outcome}: committed", order.zone));
        }
    }
    Err(timeout_error(follower))
}

/// Returns the reason why the command did not succeed in time.
fn timeout_error(follower: &Follower) -> ZonesError {
    if follower.has_received() {
        ZonesError::NoLeader
    } else {
        ZonesError::NoVoter
    }
}

/// Returns a new seed for each run, as the random numbers of handshakes must not repeat.
fn handshake_seed() -> u64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let nanos = u64::try_from(unix.as_nanos()).unwrap_or(u64::MAX);
    nanos ^ (u64::from(std::process::id()) << 40)
}

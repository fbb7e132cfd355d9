//! The status of duties at the platform, merged from the reports of several control nodes.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::MembersStatus;

/// The state of a duty as one control node knows it. A report without one of the keys is from another version and is
/// rejected.
#[derive(Clone, Debug, Deserialize)]
pub struct DutyReport {
    /// The name of the duty.
    pub duty: String,
    /// Name of the reporting control node.
    pub node: String,
    /// The epoch in which this node holds the duty; absent if it doesn't.
    #[serde(deserialize_with = "Option::deserialize")]
    pub fence: Option<u64>,
    /// How long this node has held the duty in this epoch, in milliseconds; absent if it doesn't hold it.
    #[serde(deserialize_with = "Option::deserialize")]
    pub held_ms: Option<u64>,
    /// Whether the platform has rejected the fencing token.
    pub refused: bool,
    /// The newest window with a decided report, as far as this node knows.
    #[serde(deserialize_with = "Option::deserialize")]
    pub decided_window: Option<u64>,
    /// The newest window whose report has reached the platform, as far as this node knows.
    #[serde(deserialize_with = "Option::deserialize")]
    pub delivered_window: Option<u64>,
    /// Number of decided reports that are not known to have reached the platform, as far as this node knows.
    pub undelivered: u64,
}

/// A control node that could not be queried for its duties.
#[derive(Clone, Debug, Serialize)]
pub struct UnreachableNode {
    /// Its control address.
    pub address: String,
    /// Its name, if another control node knows it.
    pub name: Option<String>,
    /// Why the request failed.
    pub reason: String,
}

/// The merged reports of all control nodes.
#[derive(Clone, Debug, Serialize)]
pub struct DutiesStatus {
    /// All reported duties, ordered by name.
    pub duties: Vec<DutyStatus>,
    /// The control nodes that could not be queried. One of them may hold a duty.
    pub unreachable: Vec<UnreachableNode>,
}

/// The state of a duty, merged from the reports of all control nodes that could be queried.
#[derive(Clone, Debug, Serialize)]
pub struct DutyStatus {
    /// The name of the duty.
    pub duty: String,
    /// The holder; absent if none of the queried nodes holds the duty.
    pub holder: Option<DutyHolder>,
    /// The newest window with a decided report.
    pub decided_window: Option<u64>,
    /// The newest window whose report is known to have reached the platform.
    pub delivered_window: Option<u64>,
    /// Number of decided reports that are not known to have reached the platform.
    pub undelivered: u64,
}

/// The control node that holds a duty.
#[derive(Clone, Debug, Serialize)]
pub struct DutyHolder {
    /// Its name.
    pub node: String,
    /// The epoch in which it holds the duty, sent to the platform as the fencing token of its calls.
    pub fence: u64,
    /// How long it has held the duty in this epoch, in milliseconds.
    pub held_ms: u64,
    /// Whether the platform has rejected the fencing token.
    pub refused: bool,
}

impl DutiesStatus {
    /// Merges the reports of control nodes. A node that reports twice, at two addresses, does no harm.
    pub fn new(reports: &[DutyReport], unreachable: Vec<UnreachableNode>) -> DutiesStatus {
        let names: BTreeSet<&str> = reports.iter().map(|report| report.duty.as_str()).collect();
        let duties = names.into_iter().map(|name| {
            let duty_reports = reports.iter().filter(|report| report.duty == name);
            DutyStatus::new(name, &duty_reports.collect::<Vec<_>>())
        });
        DutiesStatus {
            duties: duties.collect(),
            unreachable,
        }
    }
}

impl DutyStatus {
    fn new(duty: &str, reports: &[&DutyReport]) -> DutyStatus {
        let holders = reports.iter().copied().filter_map(DutyHolder::from_report);
        let decided_window = reports.iter().filter_map(|r| r.decided_window).max();
        let newest = reports
            .iter()
            .filter(|r| r.decided_window == decided_window);
        DutyStatus {
            duty: duty.to_owned(),
            // The nodes are queried one after another, so the duty may move in between. The new holder has a higher
            // fencing token.
            holder: holders.max_by_key(|holder| holder.fence),
            decided_window,
            delivered_window: reports.iter().filter_map(|r| r.delivered_window).max(),
            // A node may not know yet of another node's deliveries.
            undelivered: newest.map(|r| r.undelivered).min().unwrap_or(0),
        }
    }
}

impl DutyHolder {
    fn from_report(report: &DutyReport) -> Option<DutyHolder> {
        Some(DutyHolder {
            node: report.node.clone(),
            fence: report.fence?,
            held_ms: report.held_ms?,
            refused: report.refused,
        })
    }
}

/// Returns the addresses of all control nodes without duplicates: first the given ones, then those that a control node
/// knows.
pub fn control_node_addresses(given: &[SocketAddr], members: &MembersStatus) -> Vec<String> {
    let known = members.control_nodes.iter().map(|node| &node.address);
    let addresses = given
        .iter()
        .map(SocketAddr::to_string)
        .chain(known.chain(&members.voters).cloned());
    let mut seen = BTreeSet::new();
    addresses
        .filter(|address| seen.insert(address.clone()))
        .collect()
}

/// Prints a line for each duty, then one for each unreachable control node.
impl fmt::Display for DutiesStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all_reached = self.unreachable.is_empty();
        let duties = self.duties.iter().map(|duty| duty.format_line(all_reached));
        let nodes = self.unreachable.iter().map(UnreachableNode::to_string);
        let lines: Vec<String> = duties.chain(nodes).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl DutyStatus {
    /// Formats the duty as a line. Unless all control nodes were reached, a missing holder is printed as unknown, since
    /// an unreachable node may hold the duty.
    fn format_line(&self, all_reached: bool) -> String {
        let holder = match &self.holder {
            Some(holder) => holder.to_string(),
            None if all_reached => "held_by=none".to_owned(),
            None => "held_by=unknown".to_owned(),
        };
        format!(
            "duty={} {holder} decided_window={} delivered_window={} undelivered={}",
            self.duty,
            format_window(self.decided_window),
            format_window(self.delivered_window),
            self.undelivered
        )
    }
}

impl fmt::Display for DutyHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DutyHolder {
            node,
            fence,
            held_ms,
            refused,
        } = self;
        write!(
            f,
            "held_by={node} fence={fence} held_ms={held_ms} refused={refused}"
        )
    }
}

impl fmt::Display for UnreachableNode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.name.as_deref().unwrap_or("unknown");
        write!(
            f,
            "unreachable name={name} address={} reason={:?}",
            self.address, self.reason
        )
    }
}

fn format_window(window: Option<u64>) -> String {
    window.map_or_else(|| "none".to_owned(), |window| window.to_string())
}

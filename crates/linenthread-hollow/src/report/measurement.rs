//! What was measured of a system, role by role.

use crate::cost::Work;
use crate::number::count;
use crate::scale::Scale;

/// The role of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// An ingress node.
    Ingress,
    /// A replica.
    Replica,
    /// The mean of the control nodes whose disks vote.
    Voter,
    /// The control node of most processor time.
    BusiestControl,
    /// The mean of the control nodes that do not vote.
    Learner,
}

impl Role {
    /// Its name in tables and in CSV, where recorded figures have it.
    pub fn name(self) -> &'static str {
        match self {
            Role::Ingress => "front",
            Role::Replica => "replica",
            Role::Voter => "voter",
            Role::BusiestControl => "busiest-control",
            Role::Learner => "learner",
        }
    }
}

/// What one machine of a role spends in a second.
#[derive(Clone, Debug)]
pub struct RoleRow {
    /// The role.
    pub role: Role,
    /// Only this kind of work; all of it if none is named.
    pub work: Option<Work>,
    /// How many machines have this role.
    pub machines: usize,
    /// Messages received, a second.
    pub messages_in: f64,
    /// Messages sent, a second.
    pub messages_out: f64,
    /// Bytes received, a second.
    pub bytes_in: f64,
    /// Bytes sent, a second.
    pub bytes_out: f64,
    /// Processor time in percent of one core. Not measured for replicas.
    pub processor_percent: f64,
    /// Bytes that are allocated.
    pub heap_bytes: f64,
    /// The most bytes that one call allocated on top of that.
    pub transient_bytes: f64,
    /// Bytes written to disk, a second.
    pub disk_bytes: f64,
}

impl RoleRow {
    /// The name of the row: the role, and the kind of work after a slash.
    pub(crate) fn name(&self) -> String {
        match self.work {
            Some(work) => format!("{}/{}", self.role.name(), work.name()),
            None => self.role.name().to_owned(),
        }
    }
}

/// Quantiles of times in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// How many times there are.
    pub count: u64,
    /// The median.
    pub median_ms: u64,
    /// The 99th percentile.
    pub p99_ms: u64,
    /// The longest.
    pub last_ms: u64,
}

impl From<&hdrhistogram::Histogram<u64>> for Times {
    fn from(histogram: &hdrhistogram::Histogram<u64>) -> Times {
        Times {
            count: histogram.len(),
            median_ms: histogram.value_at_quantile(0.5),
            p99_ms: histogram.value_at_quantile(0.99),
            last_ms: histogram.max(),
        }
    }
}

/// What one snapshot costs, measured in a storm of ingress nodes that have nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Snapshot {
    /// Ingress nodes that joined.
    pub ingress_nodes: usize,
    /// Bytes of one snapshot.
    pub bytes: f64,
    /// Processor time of control nodes for one, in milliseconds.
    pub control_ms: f64,
    /// Processor time of an ingress node that has a table, in milliseconds.
    pub ingress_ms: f64,
}

/// All that was measured of one system.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// How large it was.
    pub scale: Scale,
    /// What machines spent, by role and kind of work.
    pub rows: Vec<RoleRow>,
    /// From the operator's call to its acknowledgement.
    pub acknowledged: Times,
    /// From the operator's call to its being in force, ingress node by ingress node.
    pub in_force: Times,
    /// What a snapshot costs.
    pub snapshot: Snapshot,
    /// Ingress nodes that have the newest configuration at the end.
    pub ingress_in_force: usize,
    /// Replicas in the table of each ingress node that has one.
    pub table_sizes: Vec<usize>,
    /// How many disks vote at the end.
    pub voters_at_end: usize,
}

impl Measurement {
    /// What a role spends on all kinds of work.
    pub fn row(&self, role: Role) -> Option<&RoleRow> {
        self.rows
            .iter()
            .find(|row| row.role == role && row.work.is_none())
    }

    /// The measured traffic without anything that depends on the machine: the same for the same seed.
    pub fn traffic(&self) -> Vec<String> {
        let line = |row: &RoleRow| {
            let messages = row.messages_in + row.messages_out;
            let bytes = row.bytes_in + row.bytes_out;
            format!("{} {messages} {bytes} {}", row.name(), row.disk_bytes)
        };
        self.rows
            .iter()
            .filter(|row| row.role != Role::BusiestControl)
            .map(line)
            .collect()
    }

    /// The revision of the newest configuration at the end: there was one before the changes.
    pub(crate) fn newest_revision(scale: &Scale) -> u64 {
        count(scale.changes) + 1
    }
}

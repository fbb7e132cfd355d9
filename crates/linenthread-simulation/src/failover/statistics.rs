//! What runs counted, and the table that is printed of them.

use linenthread_core::interface::TenthMillis;

use super::COMMON;
use super::fault::Fault;
use super::policy::Policy;
use crate::number;

/// What a run counted, after the fault's start where it says so.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    /// Queries after the fault's start.
    pub(super) queries: f64,
    /// Of them, those that were answered in time.
    pub(super) served: f64,
    pub(super) attempts: f64,
    /// Of them, those to another zone.
    pub(super) crossing: f64,
    /// Replicas that were overloaded while they warmed up, until they failed.
    pub(super) failed_replicas: u32,
    /// From the fault's start to the first table that closes a route.
    pub(super) reaction_time: Option<TenthMillis>,
}

/// The runs of one policy under one fault.
pub(super) struct Runs(pub(super) Vec<Totals>);

impl Runs {
    fn sum(&self, of: fn(&Totals) -> f64) -> f64 {
        self.0.iter().map(of).sum()
    }

    /// The share of queries that were served.
    pub(super) fn served_share(&self) -> f64 {
        self.sum(|t| t.served) / self.sum(|t| t.queries).max(1.0)
    }

    /// The share of attempts that went to another zone.
    fn crossing_share(&self) -> f64 {
        self.sum(|t| t.crossing) / self.sum(|t| t.attempts).max(1.0)
    }

    /// A table's cell.
    fn summary(&self) -> String {
        format!(
            "{:.3} {:.2} {}",
            self.served_share(),
            self.crossing_share(),
            self.sum(|t| f64::from(t.failed_replicas))
        )
    }

    fn median_reaction(&self) -> Option<TenthMillis> {
        let times = self.0.iter().filter_map(|totals| totals.reaction_time);
        let mut times: Vec<TenthMillis> = times.collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }
}

/// Prints the heading of a table.
pub(super) fn print_heading(utilization: f64) {
    println!(
        "utilization {utilization}: share of queries served, of attempts to other zones, warming-up replicas that failed"
    );
    let headings = Policy::ALL.map(|policy| format!("{policy:>20}"));
    println!("{:10} {}  table after", "", headings.join(" "));
}

/// Prints the line of a fault: a cell for each policy, and the reaction time of deciding in common.
pub(super) fn print_line(fault: Fault, runs: &[Runs]) {
    let cells: Vec<String> = runs
        .iter()
        .map(|runs| format!("{:>20}", runs.summary()))
        .collect();
    let reaction = runs[COMMON].median_reaction();
    let reaction = reaction.map_or("-".into(), |time| format!("{:.1} s", number::seconds(time)));
    println!("{fault:10} {}  {reaction}", cells.join(" "));
}

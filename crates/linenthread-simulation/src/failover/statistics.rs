//! The counters of runs, and the printed table.

use linenthread_core::interface::TenthMillis;

use super::SHARED_POLICY_INDEX;
use super::fault::Fault;
use super::policy::Policy;
use crate::number;

/// The counters of a run. They cover the whole run unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    /// Queries made after the fault's start.
    pub(super) queries: f64,
    /// The number of those queries that were answered in time.
    pub(super) served: f64,
    pub(super) attempts: f64,
    /// The number of those attempts that went to another zone.
    pub(super) cross_zone_attempts: f64,
    /// Replicas that failed from overload while they warmed up.
    pub(super) failed_replicas: u32,
    /// The time from the fault's start to the first table that closes a route.
    pub(super) reaction_time: Option<TenthMillis>,
}

/// The runs of one policy under one fault.
pub(super) struct Runs(pub(super) Vec<Totals>);

impl Runs {
    fn sum(&self, counter: fn(&Totals) -> f64) -> f64 {
        self.0.iter().map(counter).sum()
    }

    /// Returns the share of queries that were served.
    pub(super) fn served_share(&self) -> f64 {
        self.sum(|t| t.served) / self.sum(|t| t.queries).max(1.0)
    }

    /// Returns the share of attempts that went to another zone.
    fn cross_zone_share(&self) -> f64 {
        self.sum(|t| t.cross_zone_attempts) / self.sum(|t| t.attempts).max(1.0)
    }

    /// Formats a cell of the table.
    fn summary(&self) -> String {
        format!(
            "{:.3} {:.2} {}",
            self.served_share(),
            self.cross_zone_share(),
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

pub(super) fn print_heading(utilization: f64) {
    println!(
        "utilization {utilization}: share of queries served, of attempts to other zones, warming-up replicas that failed"
    );
    let headings = Policy::ALL.map(|policy| format!("{policy:>20}"));
    println!("{:10} {}  table after", "", headings.join(" "));
}

/// Prints the line of a fault: a cell for each policy, and the median reaction time of the shared controller.
pub(super) fn print_line(fault: Fault, runs: &[Runs]) {
    let cells: Vec<String> = runs
        .iter()
        .map(|runs| format!("{:>20}", runs.summary()))
        .collect();
    let reaction = runs[SHARED_POLICY_INDEX].median_reaction();
    let reaction = reaction.map_or("-".into(), |time| format!("{:.1} s", number::seconds(time)));
    println!("{fault:10} {}  {reaction}", cells.join(" "));
}

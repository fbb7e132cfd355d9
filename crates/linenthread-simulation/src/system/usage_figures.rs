//! Figures on usage reports that the summary prints.

/// Counts, times and errors of usage reports.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageFigures {
    pub(super) accepted_calls: usize,
    pub(super) refused_calls: usize,
    /// Times from the loss of the last caller to the next call of another process, in milliseconds.
    pub(super) caller_failover_ms: Vec<u64>,
    /// The times among these with no other fault in between and a healthy platform.
    pub(super) caller_failover_without_faults_ms: Vec<u64>,
    /// Times from the end of each window to the acceptance of its report, in milliseconds.
    pub(super) delays_ms: Vec<u64>,
    /// Relative error of each report, for the tenant with the largest error.
    pub(super) errors: Vec<f64>,
    /// Errors of reports with no fault from shortly before their window until they were due.
    pub(super) errors_without_faults: Vec<f64>,
}

impl UsageFigures {
    pub(super) fn add(&mut self, other: &UsageFigures) {
        self.accepted_calls += other.accepted_calls;
        self.refused_calls += other.refused_calls;
        self.caller_failover_ms.extend(&other.caller_failover_ms);
        self.caller_failover_without_faults_ms
            .extend(&other.caller_failover_without_faults_ms);
        self.delays_ms.extend(&other.delays_ms);
        self.errors.extend(&other.errors);
        self.errors_without_faults
            .extend(&other.errors_without_faults);
    }

    pub(super) fn print(&self) {
        println!(
            "usage: {} calls accepted, {} refused by their fence",
            self.accepted_calls, self.refused_calls
        );
        print_times(
            "loss of the last caller to the next call",
            &self.caller_failover_ms,
        );
        print_times(
            "the same without another fault",
            &self.caller_failover_without_faults_ms,
        );
        print_times("end of a window to its report", &self.delays_ms);
        print_errors("error of usage", &self.errors);
        print_errors(
            "error of usage in calm stretches",
            &self.errors_without_faults,
        );
    }
}

fn print_times(name: &str, times: &[u64]) {
    let mut times = times.to_vec();
    times.sort_unstable();
    let (Some(longest), Some(median)) = (times.last(), times.get(times.len() / 2)) else {
        return;
    };
    let p99 = times[times.len() * 99 / 100];
    println!(
        "{name}: {} times, {median} ms in the median, {p99} at the 99th percentile, {longest} at most",
        times.len()
    );
}

fn print_errors(name: &str, errors: &[f64]) {
    let mut errors = errors.to_vec();
    errors.sort_unstable_by(f64::total_cmp);
    let (Some(worst), Some(median)) = (errors.last(), errors.get(errors.len() / 2)) else {
        return;
    };
    println!(
        "{name}: {} reports, {median:.4} in the median, {worst:.4} at worst",
        errors.len()
    );
}

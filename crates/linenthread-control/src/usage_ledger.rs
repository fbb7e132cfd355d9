//! The request counts of ingress nodes for the windows whose reports are not decided yet.

use std::collections::BTreeMap;

use linenthread_messages::{IngressUsage, TenantCount, WindowCounts};
use linenthread_time::WindowNumber;

use crate::IngressIncarnation;

/// The maximum number of windows that are kept. Counts of further windows are dropped; these are the newest windows,
/// since reports are decided in order.
const MAX_WINDOWS: usize = 1_024;
/// The maximum memory of the counts, in bytes; further counts are dropped. All counts fit into one message, in which
/// they are sent to a control node that has just connected.
const MAX_COUNT_BYTES: usize = 14 << 20;
/// The memory of a count besides the name of its tenant, in bytes. More than its size in a message.
const COUNT_OVERHEAD_BYTES: usize = 40;

/// Requests by tenant.
type TenantCounts = BTreeMap<String, u64>;

/// The counts of all ingress nodes, by window.
///
/// The counts of an incarnation of an ingress node only rise, and the greatest received value is used. The order of
/// messages and repeated messages therefore make no difference (*counted-once*).
#[derive(Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<WindowNumber, BTreeMap<IngressIncarnation, TenantCounts>>,
    /// The newest window whose report is decided. Counts of this window and earlier ones no longer change.
    newest_closed_window: Option<WindowNumber>,
    /// Counts received from ingress nodes that were not sent to the other control nodes yet.
    unsent: Vec<IngressUsage>,
    /// The memory of all counts, in bytes.
    count_bytes: usize,
    /// Number of requests dropped because too many windows or counts were waiting for their reports.
    dropped_requests: u64,
}

impl UsageLedger {
    /// Adds counts that an ingress node sent to this node, and queues them for the other control nodes.
    pub fn on_ingress_usage(&mut self, usage: IngressUsage) {
        self.merge(&usage);
        self.unsent.push(usage);
    }

    /// Merges counts from any source.
    pub fn merge(&mut self, usage: &IngressUsage) {
        let ingress = IngressIncarnation::from(usage);
        for counts in &usage.windows {
            self.merge_window(&ingress, counts);
        }
    }

    fn merge_window(&mut self, ingress: &IngressIncarnation, counts: &WindowCounts) {
        let window = WindowNumber::new(counts.window);
        if self
            .newest_closed_window
            .is_some_and(|closed| window <= closed)
        {
            return;
        }
        let is_full = self.windows.len() >= MAX_WINDOWS && !self.windows.contains_key(&window);
        if is_full {
            let requests = counts.tenants.iter().map(|count| count.requests);
            self.dropped_requests = requests.fold(self.dropped_requests, u64::saturating_add);
            return;
        }
        let by_ingress = self.windows.entry(window).or_default();
        let by_tenant = by_ingress.entry(ingress.clone()).or_default();
        for TenantCount { tenant, requests } in &counts.tenants {
            if let Some(known) = by_tenant.get_mut(tenant) {
                *known = (*known).max(*requests);
            } else if self.count_bytes + count_bytes(tenant) <= MAX_COUNT_BYTES {
                self.count_bytes += count_bytes(tenant);
                by_tenant.insert(tenant.clone(), *requests);
            } else {
                self.dropped_requests = self.dropped_requests.saturating_add(*requests);
            }
        }
    }

    /// Removes and returns the counts to send to the other control nodes: those received from ingress nodes since the
    /// last call.
    pub fn take_unsent(&mut self) -> Vec<IngressUsage> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns all counts, for a control node that has just connected.
    pub fn all_counts(&self) -> Vec<IngressUsage> {
        let mut by_ingress: BTreeMap<&IngressIncarnation, Vec<WindowCounts>> = BTreeMap::new();
        for (window, counts) in &self.windows {
            for (ingress, by_tenant) in counts {
                let windows = by_ingress.entry(ingress).or_default();
                windows.push(window_counts(*window, by_tenant));
            }
        }
        by_ingress
            .into_iter()
            .map(|(ingress, windows)| IngressUsage {
                name: ingress.name.clone(),
                incarnation: ingress.incarnation.get(),
                windows,
            })
            .collect()
    }

    /// Returns the oldest window with counts.
    pub fn oldest_window(&self) -> Option<WindowNumber> {
        self.windows.keys().next().copied()
    }

    /// Returns the number of requests of each tenant in a window, summed over all ingress nodes.
    pub fn totals(&self, window: WindowNumber) -> BTreeMap<&str, u64> {
        let mut totals = BTreeMap::new();
        let counts = self.windows.get(&window).into_iter();
        for (tenant, requests) in counts.flat_map(BTreeMap::values).flatten() {
            let total: &mut u64 = totals.entry(tenant.as_str()).or_default();
            *total = total.saturating_add(*requests);
        }
        totals
    }

    /// Removes the counts of all windows up to `newest_decided`, whose reports are decided.
    pub fn close_windows(&mut self, newest_decided: WindowNumber) {
        if self.newest_closed_window >= Some(newest_decided) {
            return;
        }
        self.newest_closed_window = Some(newest_decided);
        self.windows = self.windows.split_off(&newest_decided.next());
        let counts = self.windows.values().flat_map(BTreeMap::values);
        let tenants = counts.flat_map(BTreeMap::keys);
        self.count_bytes = tenants.map(|tenant| count_bytes(tenant)).sum();
    }

    /// Returns how many requests were dropped because too many windows or counts were waiting for their reports.
    pub fn dropped_requests(&self) -> u64 {
        self.dropped_requests
    }
}

/// Returns the memory that the count of a tenant takes.
fn count_bytes(tenant: &str) -> usize {
    tenant.len() + COUNT_OVERHEAD_BYTES
}

fn window_counts(window: WindowNumber, by_tenant: &TenantCounts) -> WindowCounts {
    let tenants = by_tenant.iter().map(|(tenant, requests)| TenantCount {
        tenant: tenant.clone(),
        requests: *requests,
    });
    WindowCounts {
        window: window.get(),
        tenants: tenants.collect(),
    }
}

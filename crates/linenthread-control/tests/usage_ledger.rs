//! The merged counts of ingress nodes: repeated and reordered messages, and several incarnations.

use linenthread_control::usage_ledger::UsageLedger;
use linenthread_messages::{
    IngressUsage, MAX_FRAME_LENGTH, TenantCount, UsageUpdate, WindowCounts,
};
use linenthread_time::WindowNumber;
use prost::Message;

fn usage(name: &str, incarnation: u64, counts: &[(u64, &str, u64)]) -> IngressUsage {
    let windows = counts
        .iter()
        .map(|(window, tenant, requests)| WindowCounts {
            window: *window,
            tenants: vec![TenantCount {
                tenant: (*tenant).to_owned(),
                requests: *requests,
            }],
        });
    IngressUsage {
        name: name.to_owned(),
        incarnation,
        windows: windows.collect(),
    }
}

fn totals(ledger: &UsageLedger, window: u64) -> Vec<(String, u64)> {
    ledger
        .totals(WindowNumber::new(window))
        .into_iter()
        .map(|(tenant, requests)| (tenant.to_owned(), requests))
        .collect()
}

fn count(tenant: &str, requests: u64) -> (String, u64) {
    (tenant.to_owned(), requests)
}

// Guards against requests being counted twice because a message arrives twice or late.
#[test]
fn repeated_and_reordered_messages_change_nothing() {
    let mut ledger = UsageLedger::default();
    let (first, second) = (usage("a", 1, &[(7, "t", 3)]), usage("a", 1, &[(7, "t", 5)]));
    for message in [&second, &first, &second, &first] {
        ledger.merge(message);
    }
    assert_eq!(totals(&ledger, 7), [count("t", 5)]);
}

// Guards against losing the counts of an ingress node when it restarts, or hiding them by those of its next
// incarnation.
#[test]
fn counts_of_incarnations_and_ingress_nodes_are_added() {
    let mut ledger = UsageLedger::default();
    for message in [
        usage("a", 1, &[(7, "t", 3)]),
        usage("a", 2, &[(7, "t", 2), (8, "t", 1)]),
        usage("b", 1, &[(7, "u", 4)]),
    ] {
        ledger.merge(&message);
    }
    assert_eq!(totals(&ledger, 7), [count("t", 5), count("u", 4)]);
    assert_eq!(totals(&ledger, 8), [count("t", 1)]);
    assert_eq!(totals(&ledger, 9), []);
}

#[test]
fn a_connecting_control_node_is_sent_all_counts() {
    let (mut ledger, mut other) = (UsageLedger::default(), UsageLedger::default());
    ledger.on_ingress_usage(usage("a", 1, &[(7, "t", 3), (8, "u", 1)]));
    ledger.merge(&usage("b", 4, &[(8, "t", 2)]));
    for message in ledger.all_counts() {
        other.merge(&message);
    }
    for window in [7, 8] {
        assert_eq!(totals(&other, window), totals(&ledger, window));
    }
}

// Guards against counts being forwarded between control nodes without end.
#[test]
fn only_counts_sent_by_ingress_nodes_are_forwarded_and_only_once() {
    let mut ledger = UsageLedger::default();
    let own = usage("a", 1, &[(7, "t", 3)]);
    ledger.on_ingress_usage(own.clone());
    ledger.merge(&usage("b", 4, &[(7, "t", 2)]));
    assert_eq!(ledger.take_unsent(), [own]);
    assert_eq!(ledger.take_unsent(), []);
}

// Guards against a second report for a window, and against unbounded memory.
#[test]
fn closed_windows_accept_no_counts() {
    let mut ledger = UsageLedger::default();
    ledger.merge(&usage("a", 1, &[(7, "t", 3), (8, "t", 1)]));
    ledger.close_windows(WindowNumber::new(7));
    ledger.merge(&usage("b", 1, &[(6, "t", 9), (7, "t", 9)]));
    assert_eq!(totals(&ledger, 7), []);
    assert_eq!(totals(&ledger, 8), [count("t", 1)]);
    assert_eq!(ledger.oldest_window(), Some(WindowNumber::new(8)));
    ledger.close_windows(WindowNumber::new(5));
    assert_eq!(totals(&ledger, 8), [count("t", 1)]);
}

#[test]
fn the_number_of_windows_is_bounded_and_dropped_requests_are_counted() {
    let mut ledger = UsageLedger::default();
    for window in 0..1_030 {
        ledger.merge(&usage("a", 1, &[(window, "t", 2)]));
    }
    assert_eq!(totals(&ledger, 1_023), [count("t", 2)]);
    assert_eq!(totals(&ledger, 1_024), []);
    assert_eq!(ledger.dropped_requests(), 12);
}

/// Returns one request by each of `tenants` tenants in each of `windows` windows.
fn usage_of_many_tenants(name: &str, windows: u64, tenants: usize) -> IngressUsage {
    let tenants: Vec<TenantCount> = (0..tenants)
        .map(|tenant| TenantCount {
            tenant: format!("tenant-{tenant}"),
            requests: 1,
        })
        .collect();
    let windows = (0..windows).map(|window| WindowCounts {
        window,
        tenants: tenants.clone(),
    });
    IngressUsage {
        name: name.to_owned(),
        incarnation: 1,
        windows: windows.collect(),
    }
}

// Guards against control nodes running out of memory after the platform has failed for some minutes, and against their
// peers rejecting the message with all counts: then no control node could rejoin the others.
#[test]
fn all_counts_fit_into_a_message_and_dropped_requests_are_counted() {
    const INGRESS_NODES: u64 = 90;
    const WINDOWS: u64 = 150;
    const TENANTS: usize = 90;
    let mut ledger = UsageLedger::default();
    for ingress in 0..INGRESS_NODES {
        ledger.merge(&usage_of_many_tenants(
            &format!("i-{ingress}"),
            WINDOWS,
            TENANTS,
        ));
    }
    let kept: u64 = (0..WINDOWS)
        .flat_map(|window| ledger.totals(WindowNumber::new(window)).into_values())
        .sum();
    assert_eq!(
        kept + ledger.dropped_requests(),
        INGRESS_NODES * WINDOWS * TENANTS as u64
    );
    let update = UsageUpdate {
        ingress_nodes: ledger.all_counts(),
    };
    assert!(
        update.encoded_len() < MAX_FRAME_LENGTH,
        "{} bytes",
        update.encoded_len()
    );
}

// Guards against a ledger that was once full and drops counts even after its windows are closed.
#[test]
fn closing_windows_frees_memory() {
    const WINDOWS: u64 = 1_000;
    let mut ledger = UsageLedger::default();
    ledger.merge(&usage_of_many_tenants("a", WINDOWS, 500));
    let dropped = ledger.dropped_requests();
    assert!(dropped > 0);
    ledger.close_windows(WindowNumber::new(WINDOWS - 1));
    ledger.merge(&usage("a", 1, &[(WINDOWS, "t", 3)]));
    assert_eq!(totals(&ledger, WINDOWS), [count("t", 3)]);
    assert_eq!(ledger.dropped_requests(), dropped);
}

//! An operator that sends one order after another until it is stopped, for the scenarios.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client::{CALL_TIMEOUT, replace_at_any};
use crate::order::Order;

/// A running operator, which sends each order until it has a final response.
pub(crate) struct Writer {
    shared: Arc<Shared>,
    thread: JoinHandle<WriterReport>,
}

/// State shared by the operator's thread and its handle.
struct Shared {
    /// The control nodes to which orders are sent.
    addresses: Mutex<Vec<SocketAddr>>,
    is_stopped: AtomicBool,
}

/// An order that was rejected although no other operator sends orders.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RejectedOrder {
    pub(crate) revision: u64,
    pub(crate) status: u16,
}

/// The outcome of an operator's orders.
#[derive(Clone, Debug)]
pub(crate) struct WriterReport {
    /// The newest acknowledged order.
    pub(crate) last: Order,
    /// The order after the newest acknowledged one, if it was sent and has no final response.
    pub(crate) pending: Option<Order>,
    /// The number of acknowledged orders.
    pub(crate) acknowledged: usize,
    /// The order that was rejected, if any; the operator sends no order after it.
    pub(crate) rejected: Option<RejectedOrder>,
    /// The longest time from an acknowledgement, or from the start, to the end of a later call.
    pub(crate) longest_gap: Duration,
}

impl Writer {
    /// Starts sending orders on top of `acknowledged`, with a pause of `interval` after each acknowledgement.
    pub(crate) fn start(
        addresses: Vec<SocketAddr>,
        acknowledged: Order,
        services: &'static [&'static str],
        interval: Duration,
    ) -> Writer {
        let shared = Arc::new(Shared {
            addresses: Mutex::new(addresses),
            is_stopped: AtomicBool::new(false),
        });
        let state = shared.clone();
        let thread = std::thread::spawn(move || write(&state, acknowledged, services, interval));
        Writer { shared, thread }
    }

    /// Replaces the control nodes to which orders are sent.
    pub(crate) fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        if let Ok(mut known) = self.shared.addresses.lock() {
            *known = addresses;
        }
    }

    /// Stops sending orders and waits for the end of the last call; returns `None` if the thread panicked.
    pub(crate) fn stop(self) -> Option<WriterReport> {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().ok()
    }
}

fn write(
    shared: &Shared,
    acknowledged: Order,
    services: &[&str],
    interval: Duration,
) -> WriterReport {
    let mut report = WriterReport {
        last: acknowledged,
        pending: None,
        acknowledged: 0,
        rejected: None,
        longest_gap: Duration::ZERO,
    };
    let mut acknowledged_at = Instant::now();
    while !shared.is_stopped.load(Ordering::Relaxed) {
        let order = match report.pending.take() {
            Some(order) => order,
            None => report.last.next(services),
        };
        let known = shared.addresses.lock();
        let addresses = known.map(|addresses| addresses.clone()).unwrap_or_default();
        let outcome = replace_at_any(&addresses, &order, CALL_TIMEOUT);
        report.longest_gap = report.longest_gap.max(acknowledged_at.elapsed());
        match outcome.status {
            Some(200) => {
                report.last = order;
                report.acknowledged += 1;
                acknowledged_at = Instant::now();
                std::thread::sleep(interval);
            }
            Some(status) if outcome.is_final() => {
                let revision = order.revision;
                report.rejected = Some(RejectedOrder { revision, status });
                return report;
            }
            _ => report.pending = Some(order),
        }
    }
    report
}

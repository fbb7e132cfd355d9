//! An operator that sends one order after another until it is stopped.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client::{CALL_TIMEOUT, replace_anywhere};
use crate::order::Order;

/// A running operator, who sends each order until it has a clear response.
pub(crate) struct Writer {
    shared: Arc<Shared>,
    thread: JoinHandle<WriterReport>,
}

/// What the operator's thread shares with its handle.
struct Shared {
    /// The control nodes that the operator knows.
    addresses: Mutex<Vec<SocketAddr>>,
    is_stopped: AtomicBool,
}

/// An order that was rejected though no other operator sends any.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RejectedOrder {
    pub(crate) revision: u64,
    pub(crate) status: u16,
}

/// What became of an operator's orders.
#[derive(Clone, Debug)]
pub(crate) struct WriterReport {
    /// The newest order that was acknowledged.
    pub(crate) last: Order,
    /// The one after it, if it was sent and has no clear response.
    pub(crate) pending: Option<Order>,
    /// How many were acknowledged.
    pub(crate) acknowledged: usize,
    /// An order that was rejected; none was sent after it.
    pub(crate) rejected: Option<RejectedOrder>,
    /// The longest time between two acknowledgements.
    pub(crate) longest_gap: Duration,
}

impl Writer {
    /// Starts with the order after one that was acknowledged, and waits for an interval after each acknowledgement.
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

    /// Replaces the control nodes that the operator knows.
    pub(crate) fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        if let Ok(mut known) = self.shared.addresses.lock() {
            *known = addresses;
        }
    }

    /// Sends no more and waits for the end of the last call.
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
        let outcome = replace_anywhere(&addresses, &order, CALL_TIMEOUT);
        report.longest_gap = report.longest_gap.max(acknowledged_at.elapsed());
        match outcome.status {
            Some(200) => {
                report.last = order;
                report.acknowledged += 1;
                acknowledged_at = Instant::now();
                std::thread::sleep(interval);
            }
            Some(status) if outcome.is_clear() => {
                let revision = order.revision;
                report.rejected = Some(RejectedOrder { revision, status });
                return report;
            }
            _ => report.pending = Some(order),
        }
    }
    report
}

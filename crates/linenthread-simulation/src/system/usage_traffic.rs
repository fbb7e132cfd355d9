//! Requests that replicas begin for ingress nodes, which count them and report the counts to their control node.

use std::time::Duration;

use linenthread_messages::{IngressUsage, PeerMessage, UsageUpdate, WindowCounts};

use super::event::Event;
use super::ingress::ingress_name;
use super::ingress_node::INGRESS_NODES;
use super::world::World;

/// Interval between the times at which requests begin.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Exclusive upper bounds of an ingress node's requests in one step, by tenant, in the order of the tenants.
const REQUEST_BOUNDS: [u64; 2] = [5, 2];
/// Interval at which the checker checks usage reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl World {
    /// Draws and counts the requests of an ingress node that began since the previous call.
    pub(super) fn count_requests(&mut self, index: usize) {
        let now = self.now();
        let ingress = &mut self.ingress.nodes[index];
        let usage = &mut self.usage;
        while ingress.counted_until < now {
            let at = ingress.counted_until;
            ingress.counted_until = at + REQUEST_INTERVAL;
            for (tenant, bound) in usage.tenants.clone().iter().zip(REQUEST_BOUNDS) {
                let requests = usage.random.below(bound);
                if requests > 0 {
                    usage.add_truth(tenant, at, requests);
                    ingress.counter.record(tenant, at, requests);
                }
            }
        }
    }

    /// Draws and counts the requests of all ingress nodes that began since the previous call.
    pub(super) fn count_all_requests(&mut self) {
        (0..INGRESS_NODES).for_each(|index| self.count_requests(index));
    }

    /// Sends all retained counts, at the start of a session.
    pub(super) fn send_all_usage(&mut self, index: usize) {
        let windows = self.ingress.nodes[index].counter.take_all();
        self.send_usage(index, windows);
    }

    /// Sends the counts that have changed since they were last sent.
    pub(super) fn send_changed_usage(&mut self, index: usize) {
        let windows = self.ingress.nodes[index].counter.take_changed();
        self.send_usage(index, windows);
    }

    fn send_usage(&mut self, index: usize, windows: Vec<WindowCounts>) {
        let ingress = &self.ingress.nodes[index];
        let Some(session) = ingress.session.filter(|_| !windows.is_empty()) else {
            return;
        };
        let usage = IngressUsage {
            name: ingress_name(index),
            incarnation: ingress.incarnation.get(),
            windows,
        };
        let update = UsageUpdate {
            ingress_nodes: vec![usage],
        };
        let from = ingress.process(index).node;
        self.send(from, session, PeerMessage::UsageUpdate(update));
    }

    /// Records whether a fault is in effect, and checks the reports that have become due.
    pub(super) fn step_usage(&mut self) {
        self.push_in(CHECK_INTERVAL, Event::CheckUsage);
        if !self.is_healed() && self.has_usage_fault() {
            self.record_usage_fault();
        }
        self.count_all_requests();
        self.check_due_reports();
    }

    /// Records that a fault is injected or in effect.
    pub(super) fn record_usage_fault(&mut self) {
        self.usage.last_fault_at = self.now();
    }

    /// Reports whether a fault of a machine, disk, link or the platform is in effect. Wrong clocks on fewer than half
    /// of the machines do not count, since windows must not follow them.
    fn has_usage_fault(&self) -> bool {
        let now = self.now();
        let has_slow_or_full_disk = self.machines.iter().any(|machine| {
            machine.disk.sync_duration != self.plan.sync_duration || machine.disk.is_full()
        });
        has_slow_or_full_disk
            || self.lost_machines() > 0
            || self.network.has_partition(now)
            || !self.usage.platform.is_healthy(now)
    }
}

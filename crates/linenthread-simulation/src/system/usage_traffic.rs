//! Requests that replicas begin for ingress nodes, which count them and tell their control node.

use std::time::Duration;

use linenthread_messages::{IngressUsage, PeerMessage, UsageUpdate, WindowCounts};

use super::event::Event;
use super::ingress::ingress_name;
use super::ingress_node::INGRESS_NODES;
use super::world::World;

/// Requests begin in steps of this length.
const STEP: Duration = Duration::from_millis(10);
/// In each step an ingress node has fewer requests than this of each of the tenants, in their order.
const REQUEST_BOUNDS: [u64; 2] = [5, 2];
/// How often the checker looks at usage.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl World {
    /// Counts the requests of an ingress node that began since this was last done.
    pub(super) fn count_requests(&mut self, index: usize) {
        let now = self.now();
        let ingress = &mut self.ingress.nodes[index];
        let usage = &mut self.usage;
        while ingress.counted_until < now {
            let at = ingress.counted_until;
            ingress.counted_until = at + STEP;
            for (tenant, bound) in usage.tenants.clone().iter().zip(REQUEST_BOUNDS) {
                let requests = usage.random.below(bound);
                if requests > 0 {
                    usage.add_truth(tenant, at, requests);
                    ingress.counter.record(tenant, at, requests);
                }
            }
        }
    }

    /// The same for all ingress nodes.
    pub(super) fn count_all_requests(&mut self) {
        (0..INGRESS_NODES).for_each(|index| self.count_requests(index));
    }

    /// Sends all counts that are kept, at the start of a session.
    pub(super) fn send_all_usage(&mut self, index: usize) {
        let windows = self.ingress.nodes[index].counter.take_all();
        self.send_usage(index, windows);
    }

    /// Sends the counts that have risen since they were last sent.
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

    /// Notes whether a fault is in force, and checks the reports that have become due.
    pub(super) fn step_usage(&mut self) {
        self.push_in(CHECK_INTERVAL, Event::CheckUsage);
        if !self.is_healed() && self.is_usage_disturbed() {
            self.disturb_usage();
        }
        self.count_all_requests();
        self.check_due_reports();
    }

    /// A fault is injected, or in force.
    pub(super) fn disturb_usage(&mut self) {
        self.usage.disturbed_at = self.now();
    }

    /// Whether any machine, disk or link is in trouble, or the platform. Clocks of less than half of the machines that are
    /// off are no trouble: windows must not follow them.
    fn is_usage_disturbed(&self) -> bool {
        let now = self.now();
        let has_slow_or_full_disk = self.machines.iter().any(|machine| {
            machine.disk.sync_duration != self.plan.sync_duration || machine.disk.is_full()
        });
        has_slow_or_full_disk
            || self.lost() > 0
            || self.network.has_partition(now)
            || !self.usage.platform.is_sound(now)
    }
}

//! Partitions between nodes, in one or both directions.

use std::time::Duration;

use linenthread_time::Instant;

use super::super::event::NodeIndex;
use super::super::fault::FaultKind;
use super::super::ingress_node::INGRESS_NODES;
use super::super::world::World;

/// Minimum duration of a partition.
const MIN_DURATION: Duration = Duration::from_millis(300);
/// Exclusive upper bound of the random part of a split's duration, in milliseconds.
const SPLIT_RANGE_MS: u64 = 6_000;
/// Minimum duration of a long partition.
const LONG_MIN_DURATION: Duration = Duration::from_millis(20_000);

/// Directions in which a partition drops messages.
#[derive(Clone, Copy)]
enum Directions {
    Both,
    FromOthers,
    ToOthers,
}

impl World {
    fn draw_directions(&mut self) -> Directions {
        match self.random.below(3) {
            0 => Directions::Both,
            1 => Directions::FromOthers,
            _ => Directions::ToOthers,
        }
    }

    pub(super) fn partition_node(&mut self, node: usize) {
        self.count_fault(FaultKind::Partition);
        let until = self.now() + MIN_DURATION + self.random.millis_below(6_000);
        self.partition_from_others(node, until, Directions::Both);
    }

    pub(super) fn partition_long(&mut self, node: usize) {
        self.count_fault(FaultKind::LongPartition);
        let until = self.now() + LONG_MIN_DURATION + self.random.millis_below(15_000);
        let directions = self.draw_directions();
        self.partition_from_others(node, until, directions);
    }

    /// Splits the control nodes into two halves for some seconds, regardless of the loss budget. Ingress nodes reach
    /// both. The smaller half misses what the other one decides meanwhile.
    pub(super) fn split_in_halves(&mut self) {
        self.count_fault(FaultKind::SplitInHalves);
        let until = self.now() + MIN_DURATION + self.random.millis_below(SPLIT_RANGE_MS);
        let mut nodes: Vec<usize> = (0..self.machines.len())
            .filter(|node| !self.machines[*node].decommissioned)
            .collect();
        self.random.shuffle(&mut nodes);
        let smaller = nodes.split_off(nodes.len().div_ceil(2));
        for node in smaller {
            for other in &nodes {
                let other = NodeIndex::Control(*other);
                self.partition_pair(node, other, until, Directions::Both);
            }
            self.mark_lost(node, until);
        }
    }

    pub(super) fn partition_partly(&mut self, node: usize) {
        self.count_fault(FaultKind::PartialPartition);
        let until = self.now() + MIN_DURATION + self.random.millis_below(9_000);
        let directions = self.draw_directions();
        if self.random.one_in(2) {
            self.partition_from_others(node, until, directions);
        } else {
            let other = self.random_machine();
            self.partition_pair(node, NodeIndex::Control(other), until, directions);
            self.mark_lost(node, until);
        }
    }

    pub(super) fn partition_ingress(&mut self, node: usize) {
        self.count_fault(FaultKind::IngressPartition);
        let ingress = NodeIndex::Ingress(self.random.index(INGRESS_NODES));
        let until = self.now() + MIN_DURATION + self.random.millis_below(9_000);
        self.partition_pair(node, ingress, until, Directions::Both);
    }

    fn partition_from_others(&mut self, node: usize, until: Instant, directions: Directions) {
        for other in (0..self.machines.len()).filter(|other| *other != node) {
            self.partition_pair(node, NodeIndex::Control(other), until, directions);
        }
        // The partition may include the ingress nodes.
        if self.random.one_in(4) {
            for ingress in 0..INGRESS_NODES {
                self.partition_pair(node, NodeIndex::Ingress(ingress), until, directions);
            }
        }
        self.mark_lost(node, until);
        self.on_machine_lost(node);
    }

    fn partition_pair(
        &mut self,
        node: usize,
        other: NodeIndex,
        until: Instant,
        directions: Directions,
    ) {
        let node = NodeIndex::Control(node);
        if !matches!(directions, Directions::FromOthers) {
            self.network.partition(node, other, until);
        }
        if !matches!(directions, Directions::ToOthers) {
            self.network.partition(other, node, until);
        }
    }
}

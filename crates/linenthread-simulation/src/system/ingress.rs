//! Steps of ingress nodes: they open and close sessions, and send heartbeats that request grants.

use std::time::Duration;

use linenthread_messages::PeerMessage;

use super::event::{Delivery, Event};
use super::invariant::Invariant;
use super::world::World;

/// Prefix of ingress nodes' names. Its length affects recorded figures, like that of control nodes' names (see
/// `execution`).
const NAME_PREFIX: &str = "ingrs";
/// Interval at which an ingress node sends a heartbeat or tries to connect.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the name of an ingress node.
pub(super) fn ingress_name(index: usize) -> String {
    format!("{NAME_PREFIX}-{index}")
}

impl World {
    /// Runs one step of an ingress node: it closes an unusable session, and sends a heartbeat or connects.
    pub(super) fn step_ingress(&mut self, index: usize) {
        self.push_in(
            HEARTBEAT_INTERVAL,
            Event::IngressHeartbeat { ingress: index },
        );
        self.check_grants();
        self.count_requests(index);
        self.close_unusable_session(index);
        let now = self.now();
        let ingress = &mut self.ingress.nodes[index];
        if let Some(session) = ingress.session {
            let heartbeat = ingress.heartbeat(now);
            let from = ingress.process(index).node;
            self.send(from, session, PeerMessage::Heartbeat(heartbeat));
            self.send_changed_usage(index);
        } else {
            self.connect_ingress(index);
        }
    }

    fn close_unusable_session(&mut self, index: usize) {
        let now = self.now();
        let ingress = &self.ingress.nodes[index];
        let Some(session) = ingress.session else {
            return;
        };
        if ingress.should_leave(now) || !self.network.is_open(session) {
            self.close_session(session, ingress.process(index).node);
            self.ingress.nodes[index].on_closed(now);
        }
    }

    fn connect_ingress(&mut self, index: usize) {
        let now = self.now();
        let control = self.draw_control_node(index);
        let from = self.ingress.nodes[index].process(index);
        let to = self.machines[control].process(control);
        if !self.is_up(control) || self.is_partitioned(from.node, to.node) {
            self.ingress.nodes[index].on_failed(control, now);
            return;
        }
        let session = self.network.open(from, to, now);
        let ingress = &mut self.ingress.nodes[index];
        ingress.on_opened(session, control, now);
        let hello = ingress.hello(ingress_name(index));
        let at = now + self.network.delay(&mut self.random);
        self.queue.deliver_at(at, to, Delivery::Opened { session });
        self.network.delay_until(session, at);
        self.send(from.node, session, PeerMessage::Hello(hello));
        self.send_all_usage(index);
    }

    /// Draws one of the control nodes whose last failure is the longest ago.
    fn draw_control_node(&mut self, index: usize) -> usize {
        let ingress = &self.ingress.nodes[index];
        let candidates: Vec<usize> = (0..self.machines.len())
            .filter(|node| !self.machines[*node].decommissioned)
            .collect();
        let oldest = candidates
            .iter()
            .map(|node| ingress.failed_at(*node))
            .min()
            .unwrap_or_default();
        let first: Vec<usize> = candidates
            .into_iter()
            .filter(|node| ingress.failed_at(*node) == oldest)
            .collect();
        first[self.random.index(first.len())]
    }

    /// Delivers input to the current process of an ingress node.
    pub(super) fn deliver_to_ingress(&mut self, index: usize, delivery: Delivery) {
        let now = self.now();
        if let Delivery::Message {
            sent_at, message, ..
        } = &delivery
            && let PeerMessage::IngressUpdate(update) = &**message
        {
            self.check_offered(index, *sent_at, update);
        }
        let ingress = &mut self.ingress.nodes[index];
        match delivery {
            Delivery::Message {
                session, message, ..
            } if ingress.session == Some(session) => {
                let had = ingress.revision;
                if let Err(older) = ingress.on_message(*message, now) {
                    let details = format!("ingress node {index} had {had}, now {}", older.revision);
                    self.violation(Invariant::MonotonicState, &details);
                }
                self.check_grants();
            }
            Delivery::Closed { session } if ingress.session == Some(session) => {
                ingress.on_closed(now);
            }
            _ => {}
        }
    }
}

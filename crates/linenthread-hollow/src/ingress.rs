//! An ingress node without traffic: a session, heartbeats, and the table that control sends it.

use std::collections::HashMap;

use bytes::BytesMut;
use linenthread_config::{Configuration, RoutingTable};
use linenthread_control::SessionId;
use linenthread_messages::{IngressUpdate, PeerMessage, Replica, encode};

use crate::cost::{Cost, Meter, Work};
use crate::messages::{self, ChangeLogPosition, Summary};
use crate::zones::Zone;

/// What names of ingress nodes start with. Names are part of messages, whose bytes are measured: another length
/// gives other figures than those recorded so far.
const NAME_PREFIX: &str = "ingrs";
/// Room for a heartbeat's frame.
const HEARTBEAT_BYTES: usize = 64;

/// A session with a control node.
#[derive(Clone, Copy)]
pub(crate) struct Session {
    pub(crate) id: SessionId,
    /// The control node.
    pub(crate) control: usize,
}

pub(crate) struct IngressNode {
    name: String,
    pub(crate) zone: Zone,
    incarnation: u64,
    pub(crate) session: Option<Session>,
    quota_requests: u64,
    pub(crate) revision: u64,
    pub(crate) cost: Cost,
    /// Its table; only some ingress nodes have one, to measure its cost.
    pub(crate) table: Option<Table>,
}

/// Replicas and configuration as an ingress node has them.
#[derive(Default)]
pub(crate) struct Table {
    replicas: HashMap<String, Replica>,
    document: Vec<u8>,
    routes: Option<RoutingTable>,
}

impl Table {
    /// How many replicas it has.
    pub(crate) fn len(&self) -> usize {
        self.replicas.len()
    }

    fn apply(&mut self, update: IngressUpdate) {
        if update.complete {
            self.replicas.clear();
        }
        for replica in update.replicas {
            if replica.ended {
                self.replicas.remove(&replica.id);
            } else {
                self.replicas.insert(replica.id.clone(), replica);
            }
        }
        if let Some(value) = update.value {
            self.document = value.document.to_vec();
            self.routes = Configuration::decode(&self.document)
                .ok()
                .map(RoutingTable::new);
        }
    }
}

impl IngressNode {
    pub(crate) fn new(number: usize, zone: Zone, incarnation: u64) -> IngressNode {
        IngressNode {
            name: format!("{NAME_PREFIX}-{number:05}"),
            zone,
            incarnation,
            session: None,
            quota_requests: 0,
            revision: 0,
            cost: Cost::default(),
            table: None,
        }
    }

    /// Counts a message. A node with a table reads the frame as it came and applies it.
    pub(crate) fn receive(&mut self, summary: &Summary, frame: &[u8]) {
        self.cost.receive(summary.work, frame.len());
        self.revision = self.revision.max(summary.revision.unwrap_or(0));
        let Some(table) = &mut self.table else { return };
        let meter = Meter::start();
        if let Some(PeerMessage::IngressUpdate(update)) = messages::read_frame(frame) {
            table.apply(update);
        }
        self.cost.charge(summary.work, &meter.spent());
    }

    /// Its first message, as a frame. `position` is how far it has followed the control node's change log; none
    /// if it has nothing.
    pub(crate) fn hello(&mut self, position: Option<ChangeLogPosition>, revision: u64) -> BytesMut {
        let hello = messages::hello(
            &self.name,
            &self.zone.name(),
            self.incarnation,
            position.unwrap_or_default(),
            revision,
        );
        let mut frame = BytesMut::new();
        encode(hello, &mut frame);
        self.cost.send(Work::IngressJoins, frame.len());
        frame
    }

    /// Its next heartbeat, as a frame.
    pub(crate) fn heartbeat(&mut self) -> BytesMut {
        let mut frame = BytesMut::with_capacity(HEARTBEAT_BYTES);
        self.quota_requests += 1;
        let meter = Meter::start();
        encode(
            messages::heartbeat(self.quota_requests, self.revision),
            &mut frame,
        );
        let mut spent = meter.spent();
        // The room of the frame is not this node's.
        spent.heap = 0;
        self.cost.charge(Work::IngressHeartbeats, &spent);
        self.cost.send(Work::IngressHeartbeats, frame.len());
        frame
    }
}

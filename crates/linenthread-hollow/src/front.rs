//! A front without traffic: a session, heartbeats, and what it holds of control.

use std::collections::HashMap;

use linenthread_config::{Configuration, RoutingTable};

use crate::api::{self, Notice, PeerMessage, Replica, SessionId};
use crate::cost::{Cost, Meter, Work};

pub struct Front {
    pub name: String,
    pub zone: usize,
    pub life: u64,
    /// Its session: link and control node.
    pub session: Option<(SessionId, usize)>,
    pub asked: u64,
    pub revision: u64,
    pub confirmed: bool,
    pub retry_share: f64,
    pub cost: Cost,
    /// What a front holds, kept by some of them only.
    pub table: Option<Table>,
}

/// Replicas and configuration as a front has to hold them.
#[derive(Default)]
pub struct Table {
    replicas: HashMap<String, Replica>,
    document: Vec<u8>,
    plan: Option<RoutingTable>,
}

impl Table {
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    fn apply(&mut self, update: api::IngressUpdate) {
        if update.complete {
            self.replicas.clear();
        }
        for replica in update.replicas {
            if replica.removed_for_good {
                self.replicas.remove(&replica.id);
            } else {
                self.replicas.insert(replica.id.clone(), replica);
            }
        }
        if let Some(value) = update.value {
            self.document = value.document.to_vec();
            self.plan = Configuration::decode(&self.document)
                .ok()
                .map(RoutingTable::new);
        }
    }
}

impl Front {
    pub fn new(number: usize, zone: usize, life: u64) -> Front {
        Front {
            name: format!("front-{number:05}"),
            zone,
            life,
            session: None,
            asked: 0,
            revision: 0,
            confirmed: false,
            retry_share: 0.0,
            cost: Cost::default(),
            table: None,
        }
    }

    /// Takes note of a message and counts it. A front with a table reads the frame as it came and applies it.
    pub fn hear(&mut self, notice: &Notice, frame: &[u8]) {
        self.cost.receive(notice.work, frame.len());
        self.revision = self.revision.max(notice.revision.unwrap_or(0));
        self.confirmed |= notice.confirmed;
        if let Some(share) = notice.share.filter(|(life, _)| *life == self.life) {
            self.retry_share = share.1;
        }
        let Some(table) = &mut self.table else { return };
        let meter = Meter::begin();
        if let Some(PeerMessage::IngressUpdate(update)) = api::read_frame(frame) {
            table.apply(update);
        }
        self.cost.charge(notice.work, &meter.spent());
    }

    /// Its next heartbeat, as a frame.
    pub fn heartbeat(&mut self, frame: &mut bytes::BytesMut) {
        self.asked += 1;
        frame.clear();
        let meter = Meter::begin();
        api::encode(api::front_heartbeat(self.asked, self.revision), frame);
        let mut spent = meter.spent();
        spent.heap = 0; // The frame's room is not the front's.
        self.cost.charge(Work::FrontHeartbeats, &spent);
        self.cost.send(Work::FrontHeartbeats, frame.len());
    }
}

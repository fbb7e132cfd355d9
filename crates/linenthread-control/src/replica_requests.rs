//! Calls of replicas, and what control nodes tell each other of them.

use linenthread_messages::{ControlUpdate, PeerMessage, Replica, UpdateAck};

use crate::replica_registry::{HeartbeatOutcome, Phase, ReplicaHeartbeat};
use crate::{CallId, ControlNode, Effect, SessionId};

impl ControlNode {
    /// A replica's heartbeat.
    pub fn on_replica_heartbeat(
        &mut self,
        now: u64,
        call: CallId,
        ident: &str,
        beat: ReplicaHeartbeat,
        effects: &mut Vec<Effect>,
    ) {
        self.awake(now, effects);
        if let Some(answer) = self.refusal(now) {
            effects.push(Effect::Respond {
                call,
                response: answer,
            });
            return;
        }
        let said = replica(ident, beat);
        let mut also = Vec::new();
        let heard = self.registry.observe(now, &said, &mut also);
        self.spread(ident, heard, &also);
        let drains = self
            .registry
            .get(ident)
            .is_some_and(|known| known.replica.draining || known.replica.removed_for_good);
        if said.draining && drains && !self.drains.is_known_by_majority(ident) {
            self.await_receipts(now, call, ident, effects);
        } else {
            let answer = crate::Response::Acknowledged(self.report_to(now, &said.zone));
            effects.push(Effect::Respond {
                call,
                response: answer,
            });
        }
        if heard == HeartbeatOutcome::Changed {
            self.flush(now, effects);
        }
    }

    /// A replica says that it ends.
    pub fn on_replica_departure(
        &mut self,
        now: u64,
        call: CallId,
        ident: &str,
        effects: &mut Vec<Effect>,
    ) {
        self.awake(now, effects);
        if let Some(answer) = self.refusal(now) {
            effects.push(Effect::Respond {
                call,
                response: answer,
            });
            return;
        }
        let departs = self.registry.depart(now, ident);
        if departs {
            self.drains.forget(ident);
            self.spread(ident, HeartbeatOutcome::Changed, &[]);
        }
        // It may have ended before, and too few others have said so far that they know.
        let unknown =
            self.registry.get(ident).is_some() && !self.drains.is_known_by_majority(ident);
        if unknown {
            self.await_receipts(now, call, ident, effects);
            self.flush(now, effects);
        } else {
            effects.push(Effect::Respond {
                call,
                response: crate::Response::Acknowledged(None),
            });
        }
    }

    /// The call is acknowledged when more than half of the voters' machines have said that they know.
    fn await_receipts(&mut self, now: u64, call: CallId, ident: &str, effects: &mut Vec<Effect>) {
        let receipt = self.drains.begin(now, call, ident, self.register.id());
        let replicas: Vec<Replica> = self
            .registry
            .get(ident)
            .iter()
            .map(|known| known.snapshot(now))
            .collect();
        let update = ControlUpdate {
            replicas,
            update_id: receipt,
            ..ControlUpdate::default()
        };
        for (link, _) in self.members.iter() {
            effects.push(Effect::Send {
                session: link,
                message: PeerMessage::ControlUpdate(update.clone()),
            });
        }
        self.settle_drains(now, effects);
    }

    pub(crate) fn on_receipt(
        &mut self,
        now: u64,
        disk: u64,
        receipt: &UpdateAck,
        effects: &mut Vec<Effect>,
    ) {
        self.drains.on_receipt(disk, receipt.update_id);
        self.settle_drains(now, effects);
    }

    pub(crate) fn settle_drains(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let register = &self.register;
        let settled = self
            .drains
            .settle(now, |disks| register.is_majority(disks.iter().copied()));
        effects.extend(settled.into_iter().map(|(call, answer)| Effect::Respond {
            call,
            response: answer,
        }));
    }

    /// One that drains no more must be made known anew when it drains again.
    fn forget_drain(&mut self, ident: &str) {
        if self
            .registry
            .get(ident)
            .is_some_and(|known| !known.replica.draining && !known.replica.removed_for_good)
        {
            self.drains.forget(ident);
        }
    }

    /// Notes who is to be told what.
    fn spread(&mut self, ident: &str, heard: HeartbeatOutcome, also: &[String]) {
        if heard == HeartbeatOutcome::Stale {
            return;
        }
        self.forget_drain(ident);
        let all = || also.iter().map(String::as_str).chain([ident]);
        for (_, peer) in self.members.iter_mut() {
            peer.changed_replicas.extend(all().map(str::to_owned));
        }
        if heard == HeartbeatOutcome::Changed {
            all().for_each(|ident| self.fronts.changes.add(ident));
        }
    }

    /// The control address of the first node of a zone that takes calls; this one's if the zone is its own.
    fn report_to(&self, now: u64, zone: &str) -> Option<String> {
        if self.local.zone == zone {
            return Some(self.local.control_address.clone());
        }
        let of_zone = self
            .members
            .contacts(now)
            .filter(|peer| peer.hello.zone == zone);
        of_zone
            .filter(|peer| peer.takes_calls(now))
            .map(|peer| &peer.hello.control_address)
            .min()
            .cloned()
    }

    // --- between control nodes ---

    /// Tells a control node all that this one has.
    pub(crate) fn synchronise(&mut self, now: u64, link: SessionId, effects: &mut Vec<Effect>) {
        let replicas = self
            .registry
            .iter()
            .map(|known| known.snapshot(now))
            .collect();
        let Some(peer) = self.members.get_mut(link) else {
            return;
        };
        peer.changed_replicas.clear();
        (peer.synchronised_at, peer.addresses_version) = (now, self.addresses.version());
        let update = ControlUpdate {
            replicas,
            sessions: self.fronts.own(),
            has_sessions: true,
            control_addresses: self.addresses.all(),
            update_id: 0,
            complete: true,
        };
        effects.push(Effect::Send {
            session: link,
            message: PeerMessage::ControlUpdate(update),
        });
    }

    /// Tells all control nodes of the sessions of this one, and of addresses that they do not know.
    pub(crate) fn send_sessions(&mut self, effects: &mut Vec<Effect>) {
        let (sessions, version) = (self.fronts.own(), self.addresses.version());
        let addresses = self.addresses.all();
        for (link, peer) in self.members.iter_mut() {
            let known = std::mem::replace(&mut peer.addresses_version, version) == version;
            let update = ControlUpdate {
                sessions: sessions.clone(),
                has_sessions: true,
                control_addresses: if known { Vec::new() } else { addresses.clone() },
                ..ControlUpdate::default()
            };
            effects.push(Effect::Send {
                session: link,
                message: PeerMessage::ControlUpdate(update),
            });
        }
    }

    /// What all others must know at once.
    pub(crate) fn flush(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let registry = &self.registry;
        for (link, peer) in self
            .members
            .iter_mut()
            .filter(|(_, peer)| !peer.changed_replicas.is_empty())
        {
            let changed = std::mem::take(&mut peer.changed_replicas);
            let known = changed.iter().filter_map(|ident| registry.get(ident));
            let replicas = known.map(|known| known.snapshot(now)).collect();
            let update = ControlUpdate {
                replicas,
                ..ControlUpdate::default()
            };
            effects.push(Effect::Send {
                session: link,
                message: PeerMessage::ControlUpdate(update),
            });
        }
        for link in self.fronts.links() {
            self.update_ingress_node(now, link, effects);
        }
    }

    pub(crate) fn on_control_update(
        &mut self,
        now: u64,
        link: SessionId,
        update: ControlUpdate,
        effects: &mut Vec<Effect>,
    ) {
        let mut changed = false;
        for said in &update.replicas {
            let mut also = Vec::new();
            let heard = self.registry.observe(now, said, &mut also);
            self.forget_drain(&said.id);
            // What a node has said goes on to fronts, not to further nodes: each tells all.
            if heard == HeartbeatOutcome::Changed {
                also.iter()
                    .chain([&said.id])
                    .for_each(|ident| self.fronts.changes.add(ident));
                changed = true;
            }
        }
        for address in &update.control_addresses {
            self.addresses.learn(now, address);
        }
        if update.has_sessions {
            self.fronts.learn_elsewhere(link, update.sessions);
        }
        if update.update_id > 0 {
            let receipt = UpdateAck {
                update_id: update.update_id,
            };
            effects.push(Effect::Send {
                session: link,
                message: PeerMessage::UpdateAck(receipt),
            });
        }
        if changed {
            self.flush(now, effects);
        }
    }
}

fn replica(ident: &str, beat: ReplicaHeartbeat) -> Replica {
    Replica {
        id: ident.to_owned(),
        backend: beat.backend,
        address: beat.address,
        zone: beat.zone,
        revision: beat.revision,
        capacity: beat.capacity,
        call_count: beat.call_count,
        draining: beat.phase == Phase::Draining,
        warmup_ms: beat.warmup_ms,
        ..Replica::default()
    }
}

//! Sessions with peers: how they begin and end, and where each message goes.

use linenthread_messages::{Hello, PeerMessage, VERSION};
use linenthread_time::Instant;

use crate::timing::STARTING;
use crate::{ControlNode, Effect, SessionId};

impl ControlNode {
    /// A connection with a peer stands, whoever opened it.
    pub fn opened(&mut self, link: SessionId, effects: &mut Vec<Effect>) {
        let hello = Hello {
            version: VERSION,
            name: self.local.name.clone(),
            zone: self.local.zone.clone(),
            incarnation: self.local.incarnation,
            control_address: self.local.control_address.clone(),
            node_id: self.register.id(),
            is_voter: self.local.may_vote,
            change_log_id: self.local.incarnation,
            change_log_offset: self.fronts.changes.offset(),
            value_number: self.value_number(),
        };
        effects.push(Effect::Send {
            session: link,
            message: PeerMessage::Hello(hello),
        });
    }

    /// A connection has ended.
    pub fn closed(&mut self, now: u64, link: SessionId, effects: &mut Vec<Effect>) {
        if let Some(front) = self.fronts.close(link) {
            effects.push(Effect::Log(format!(
                "event=session_closed peer={} control_node=false",
                front.hello.name
            )));
        }
        if let Some(peer) = self.members.close(now, link) {
            effects.push(Effect::Log(format!(
                "event=session_closed peer={} control_node=true",
                peer.hello.name
            )));
            self.drains.disk_gone(peer.hello.node_id);
        }
    }

    pub(crate) fn drop_session(&mut self, now: u64, link: SessionId, effects: &mut Vec<Effect>) {
        self.closed(now, link, effects);
        effects.push(Effect::Close(link));
    }

    /// An address could not be reached.
    pub fn unreached(&mut self, now: u64, address: &str) {
        self.addresses.unreached(now, address);
    }

    /// A message of a peer.
    pub fn on_message(
        &mut self,
        now: u64,
        link: SessionId,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        self.awake(now, effects);
        if let PeerMessage::Hello(hello) = message {
            self.on_hello(now, link, hello, effects);
        } else if let Some(front) = self.fronts.get_mut(link) {
            front.heard = now;
            if let PeerMessage::Heartbeat(heartbeat) = message {
                (front.asked, front.revision) =
                    (heartbeat.quota_request_or_value_number, heartbeat.revision);
            }
        } else if let Some(peer) = self.members.get_mut(link) {
            peer.heard = now;
            let disk = peer.hello.node_id;
            self.on_control_message(now, link, disk, message, effects);
        } else {
            effects.push(Effect::Close(link));
        }
    }

    fn on_hello(&mut self, now: u64, link: SessionId, hello: Hello, effects: &mut Vec<Effect>) {
        let known = self.members.get(link).is_some() || self.fronts.get(link).is_some();
        let is_front = hello.control_address.is_empty();
        let refused =
            hello.version != VERSION || hello.incarnation == self.local.incarnation || known;
        if refused || is_front && !self.takes_fronts(now) {
            effects.push(Effect::Close(link));
            return;
        }
        let superseded = if is_front {
            self.fronts.superseded(&hello)
        } else {
            self.members.superseded(&hello)
        };
        for old in superseded {
            self.drop_session(now, old, effects);
        }
        let (name, zone) = (&hello.name, &hello.zone);
        effects.push(Effect::Log(format!(
            "event=session_opened peer={name} zone={zone} control_node={}",
            !is_front
        )));
        if is_front {
            self.fronts.open(now, link, hello);
            self.confirm(now, link, effects);
            self.update_ingress_node(now, link, effects);
        } else {
            self.addresses.learn(now, &hello.control_address);
            self.members.open(now, link, hello);
            self.send_heartbeat(now, link, None, effects);
            self.synchronise(now, link, effects);
            self.send_value(link, effects);
        }
    }

    /// A front that would have to wait for contact goes elsewhere at once; while this node starts it waits.
    fn takes_fronts(&self, now: u64) -> bool {
        self.leaving.is_none() && (self.in_contact(now) || now < self.began + STARTING)
    }

    fn on_control_message(
        &mut self,
        now: u64,
        link: SessionId,
        disk: u64,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, link, &heartbeat, effects),
            PeerMessage::ControlUpdate(update) => {
                self.on_control_update(now, link, update, effects);
            }
            PeerMessage::DurableProgress(durable) => self.on_durable(now, link, &durable),
            PeerMessage::UpdateAck(receipt) => self.on_receipt(now, disk, &receipt, effects),
            PeerMessage::QuotaGrants(quota_grants) => self.pass_allotments(quota_grants, effects),
            PeerMessage::LeaseRequest(request) => {
                self.on_lease_request(now, disk, &request, effects);
            }
            PeerMessage::LeaseRelease(release) => self.on_lease_release(disk, &release),
            PeerMessage::LeaseVote(vote) => self.on_lease_vote(now, disk, &vote, effects),
            message => {
                if let (PeerMessage::Decided(value), Some(peer)) =
                    (&message, self.members.get_mut(link))
                {
                    peer.value = peer.value.max(value.number);
                }
                self.agree(
                    now,
                    |register, agreed| {
                        register.on_message(Instant::from_millis(now), disk, message, agreed);
                    },
                    effects,
                );
            }
        }
    }

    /// A value goes to a control node that is not known to have it.
    pub(crate) fn send_value(&mut self, link: SessionId, effects: &mut Vec<Effect>) {
        let Some(value) = self.register.decided().cloned() else {
            return;
        };
        if let Some(peer) = self
            .members
            .get_mut(link)
            .filter(|peer| peer.lacks(value.number))
        {
            peer.value = value.number;
            effects.push(Effect::Send {
                session: link,
                message: PeerMessage::Decided(value),
            });
        }
    }
}

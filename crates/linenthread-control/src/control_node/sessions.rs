//! Sessions with peers: opens and closes them, and dispatches their messages.

use linenthread_consensus::{NodeId, ValueNumber};
use linenthread_messages::{Hello, PeerMessage, VERSION};
use linenthread_time::Instant;

use crate::peer_hello::{ControlNodeHello, IngressNodeHello, PeerHello};
use crate::{ControlEvent, ControlNode, Effect, SessionId};

impl ControlNode {
    /// Handles a new connection with a peer, opened by either side: sends this node's [`Hello`].
    pub fn on_session_opened(&mut self, session: SessionId, effects: &mut Vec<Effect>) {
        let hello = Hello {
            version: VERSION,
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            incarnation: self.config.incarnation.get(),
            control_address: self.config.control_address.clone(),
            node_id: self.register.id().0,
            voter_eligible: self.config.voter_eligible,
            change_log_id: self.config.incarnation.get(),
            change_log_offset: self.registry.changes().offset().get(),
            value_number_or_revision: self.value_number().get(),
        };
        effects.push(Effect::Send {
            session,
            message: PeerMessage::Hello(hello),
        });
    }

    /// Handles the end of a connection. Does nothing if the session is unknown or already closed.
    pub fn on_session_closed(
        &mut self,
        now: Instant,
        session: SessionId,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(ingress) = self.ingress_nodes.close(session) {
            effects.push(Effect::Log(ControlEvent::SessionClosed {
                peer: ingress.hello().name.clone(),
                is_control_node: false,
            }));
        }
        if let Some(peer) = self.membership.close(now, session) {
            if self.membership.session_with(peer.node_id()).is_none() {
                self.pending_drains.on_node_disconnected(peer.node_id());
            }
            effects.push(Effect::Log(ControlEvent::SessionClosed {
                peer: peer.hello().name.clone(),
                is_control_node: true,
            }));
        }
    }

    /// Closes a session and its connection.
    pub(super) fn drop_session(
        &mut self,
        now: Instant,
        session: SessionId,
        effects: &mut Vec<Effect>,
    ) {
        self.on_session_closed(now, session, effects);
        effects.push(Effect::Close(session));
    }

    /// Closes all sessions with ingress nodes, which then connect to another control node.
    pub(super) fn drop_ingress_sessions(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for session in self.ingress_nodes.sessions() {
            self.drop_session(now, session, effects);
        }
    }

    /// Replaces the control addresses from the settings, after the settings were reloaded.
    pub fn set_bootstrap(&mut self, now: Instant, bootstrap: &[String]) {
        self.address_book.set_bootstrap(now, bootstrap);
    }

    /// Records that dialling a control node at this address failed.
    pub fn on_dial_failed(&mut self, now: Instant, address: &str) {
        self.address_book.on_dial_failed(now, address);
    }

    /// Handles a message from a peer. The first message of a session must be a [`Hello`]; otherwise the session is closed.
    pub fn on_message(
        &mut self,
        now: Instant,
        session: SessionId,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        self.detect_pause(now, effects);
        if let PeerMessage::Hello(hello) = message {
            self.on_hello(now, session, hello, effects);
        } else if let Some(ingress) = self.ingress_nodes.get_mut(session) {
            ingress.on_received(now);
            match message {
                PeerMessage::Heartbeat(heartbeat) => ingress.on_heartbeat(&(&heartbeat).into()),
                PeerMessage::UsageUpdate(update) => self.on_ingress_usage(session, update),
                _ => {}
            }
        } else if let Some(peer) = self.membership.get_mut(session) {
            peer.on_received(now);
            let node_id = peer.node_id();
            self.on_control_message(now, session, node_id, message, effects);
        } else {
            effects.push(Effect::Close(session));
        }
    }

    fn on_hello(
        &mut self,
        now: Instant,
        session: SessionId,
        hello: Hello,
        effects: &mut Vec<Effect>,
    ) {
        let is_accepted = self.accepts_hello(session, &hello);
        match PeerHello::from(hello) {
            PeerHello::ControlNode(hello) if is_accepted => {
                self.open_control_session(now, session, hello, effects);
            }
            PeerHello::IngressNode(hello) if is_accepted && self.accepts_ingress_sessions(now) => {
                self.open_ingress_session(now, session, hello, effects);
            }
            _ => effects.push(Effect::Close(session)),
        }
    }

    fn open_control_session(
        &mut self,
        now: Instant,
        session: SessionId,
        hello: ControlNodeHello,
        effects: &mut Vec<Effect>,
    ) {
        for old_session in self.membership.superseded_sessions(&hello) {
            self.drop_session(now, old_session, effects);
        }
        effects.push(Effect::Log(ControlEvent::SessionOpened {
            peer: hello.name.clone(),
            zone: hello.zone.clone(),
            is_control_node: true,
        }));
        self.address_book.learn(now, &hello.control_address);
        self.membership.open(now, session, hello);
        self.send_heartbeat(now, session, None, effects);
        self.synchronize_peer(now, session, effects);
        self.synchronize_usage(session, effects);
        self.send_value(session, effects);
    }

    fn open_ingress_session(
        &mut self,
        now: Instant,
        session: SessionId,
        hello: IngressNodeHello,
        effects: &mut Vec<Effect>,
    ) {
        for old_session in self.ingress_nodes.superseded_sessions(&hello) {
            self.drop_session(now, old_session, effects);
        }
        effects.push(Effect::Log(ControlEvent::SessionOpened {
            peer: hello.name.clone(),
            zone: hello.zone.clone(),
            is_control_node: false,
        }));
        self.ingress_nodes.open(now, session, hello);
        self.confirm_configuration(now, session, effects);
        self.update_ingress_node(now, session, effects);
    }

    /// Reports whether a hello is acceptable: same protocol version, not from this process itself, and the first hello
    /// of its session.
    fn accepts_hello(&self, session: SessionId, hello: &Hello) -> bool {
        let has_hello =
            self.membership.get(session).is_some() || self.ingress_nodes.get(session).is_some();
        let is_this_process = hello.incarnation == self.config.incarnation.get();
        hello.version == VERSION && !is_this_process && !has_hello
    }

    fn on_control_message(
        &mut self,
        now: Instant,
        session: SessionId,
        node_id: NodeId,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.on_heartbeat(now, session, &(&heartbeat).into(), effects);
            }
            PeerMessage::ControlUpdate(update) => {
                self.on_control_update(now, session, update, effects);
            }
            PeerMessage::DurableProgress(progress) => {
                self.on_durable_progress(now, session, &progress);
            }
            PeerMessage::UpdateAck(ack) => self.on_update_ack(now, node_id, &ack, effects),
            PeerMessage::UsageUpdate(update) => self.on_control_usage(&update),
            PeerMessage::QuotaGrants(grants) => self.forward_quota_grants(grants, effects),
            PeerMessage::LeaseRequest(request) => {
                self.on_lease_request(now, node_id, &request, effects);
            }
            PeerMessage::LeaseRelease(release) => self.on_lease_release(node_id, &release),
            PeerMessage::LeaseReply(reply) => self.on_lease_reply(now, node_id, &reply, effects),
            message => self.on_register_message(now, session, node_id, message, effects),
        }
    }

    fn on_register_message(
        &mut self,
        now: Instant,
        session: SessionId,
        node_id: NodeId,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        if let (PeerMessage::Decided(value), Some(peer)) =
            (&message, self.membership.get_mut(session))
        {
            peer.observe_value(ValueNumber::of(value));
        }
        self.drive_register(
            now,
            |register, register_effects| {
                register.on_message(now, node_id, message, register_effects);
            },
            effects,
        );
    }

    /// Sends the newest value to a control node unless it is known to have it.
    pub(super) fn send_value(&mut self, session: SessionId, effects: &mut Vec<Effect>) {
        let Some(value) = self.register.decided().cloned() else {
            return;
        };
        if let Some(peer) = self
            .membership
            .get_mut(session)
            .filter(|peer| peer.lacks(ValueNumber::of(&value)))
        {
            peer.on_value_sent(ValueNumber::of(&value));
            effects.push(Effect::Send {
                session,
                message: PeerMessage::Decided(value),
            });
        }
    }
}

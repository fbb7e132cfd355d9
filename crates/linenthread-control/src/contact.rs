//! Contact with a majority of the voters: what a node may say without it, and after a freeze.

use linenthread_messages::{DurableProgress, Heartbeat, PeerMessage};
use linenthread_time::Instant;

use crate::timing::{PAUSE, STARTING};
use crate::{ControlNode, Effect, Response, SessionId};

impl ControlNode {
    /// Disks in contact, this one too.
    pub(crate) fn disks_in_contact(&self, now: u64) -> Vec<u64> {
        let others = self.members.contacts(now).map(|peer| peer.hello.node_id);
        others.chain([self.register.id()]).collect()
    }

    /// More than half of the voters hear this node and are heard by it.
    pub fn in_contact(&self, now: u64) -> bool {
        self.register.is_majority(self.disks_in_contact(now))
    }

    /// Runs before all that comes: after a pause everything that rests on contact is stale, so all sessions
    /// end and what waited is answered as unclear before anything else is.
    pub(crate) fn awake(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let paused = now.saturating_sub(self.active);
        self.active = now;
        if paused <= PAUSE {
            return;
        }
        effects.push(Effect::Log(format!(
            "event=resumed_after_pause paused_ms={paused}"
        )));
        for link in self.members.links().into_iter().chain(self.fronts.links()) {
            self.drop_session(now, link, effects);
        }
        self.contact_since = None;
        self.settle_drains(now, effects);
        self.agree(
            now,
            |register, agreed| register.tick(Instant::from_millis(now), agreed),
            effects,
        );
    }

    /// From no contact to contact fronts that came before are told; from contact to none all are let go.
    pub(crate) fn note_contact(&mut self, now: u64, effects: &mut Vec<Effect>) {
        match (self.in_contact(now), self.contact_since) {
            (true, None) => {
                self.contact_since = Some(now);
                for link in self.fronts.links() {
                    self.confirm(now, link, effects);
                    self.update_ingress_node(now, link, effects);
                }
            }
            (false, Some(_)) => {
                self.contact_since = None;
                effects.push(Effect::Log("event=quorum_lost".into()));
                self.drop_fronts(now, effects);
            }
            _ => {}
        }
    }

    pub(crate) fn drop_fronts(&mut self, now: u64, effects: &mut Vec<Effect>) {
        for link in self.fronts.links() {
            self.drop_session(now, link, effects);
        }
    }

    // --- calls ---

    /// Why a call is not taken at all, if so: this node leaves, or is out of contact with a majority.
    pub(crate) fn refusal(&self, now: u64) -> Option<Response> {
        if self.leaving.is_some() {
            return Some(self.sent_on(now));
        }
        (!self.in_contact(now)).then_some(Response::Unavailable(
            "no contact with more than half of the voters",
        ))
    }

    /// The same for calls that a round of the voters settles: while the node starts that may come in time.
    pub(crate) fn refusal_of_round(&self, now: u64) -> Option<Response> {
        self.refusal(now)
            .filter(|_| self.leaving.is_some() || now >= self.began + STARTING)
    }

    /// Calls that come while it leaves go to another control node.
    fn sent_on(&self, now: u64) -> Response {
        let other = self
            .members
            .contacts(now)
            .find(|peer| peer.takes_calls(now));
        other.map_or(Response::Unavailable("about to end"), |peer| {
            Response::Redirect(peer.hello.control_address.clone())
        })
    }

    // --- heartbeats ---

    fn heartbeat(&self, now: u64) -> Heartbeat {
        Heartbeat {
            quota_request_or_value_number: self.value_number(),
            has_quorum: self.in_contact(now) && self.leaving.is_none(),
            registry_digest: self.registry.digest(),
            revision: 0,
            durable_value_number: self.durable.value_number,
            sent_at: now,
            echoed_sent_at: None,
            leaving: self.leaving.is_some(),
            reconfiguring: self.reconfigures(now),
        }
    }

    pub(crate) fn send_heartbeat(
        &self,
        now: u64,
        link: SessionId,
        echo: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let word = PeerMessage::Heartbeat(Heartbeat {
            echoed_sent_at: echo,
            ..self.heartbeat(now)
        });
        effects.push(Effect::Send {
            session: link,
            message: word,
        });
    }

    pub(crate) fn send_heartbeats(&self, now: u64, effects: &mut Vec<Effect>) {
        let heartbeat = self.heartbeat(now);
        for (link, peer) in self.members.iter() {
            let word = PeerMessage::Heartbeat(Heartbeat {
                echoed_sent_at: peer.echo,
                ..heartbeat.clone()
            });
            effects.push(Effect::Send {
                session: link,
                message: word,
            });
        }
        for link in self.fronts.links() {
            effects.push(Effect::Send {
                session: link,
                message: PeerMessage::Heartbeat(heartbeat.clone()),
            });
        }
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        now: u64,
        link: SessionId,
        heartbeat: &Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let digest = self.registry.digest();
        let Some(news) = self.members.on_heartbeat(now, link, heartbeat, digest) else {
            return;
        };
        if news.answer {
            self.send_heartbeat(now, link, Some(heartbeat.sent_at), effects);
        }
        self.note_contact(now, effects);
        if news.synchronise {
            self.synchronise(now, link, effects);
        }
        self.send_value(link, effects);
    }

    // --- durability ---

    /// Tells the others as soon as the own disk holds all that this node knows.
    pub(crate) fn note_durable(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let value = self
            .register
            .is_fully_durable()
            .then(|| self.value_number());
        if value <= self.durable.value_number {
            return;
        }
        self.durable.value_number = value;
        let message = PeerMessage::DurableProgress(DurableProgress {
            value_number: value,
            epoch: 0,
        });
        for (link, _) in self.members.iter() {
            effects.push(Effect::Send {
                session: link,
                message: message.clone(),
            });
        }
        self.voters_may_change(now);
    }

    pub(crate) fn on_durable(&mut self, now: u64, link: SessionId, durable: &DurableProgress) {
        if let Some(peer) = self.members.get_mut(link) {
            peer.durable = peer.durable.max(durable.value_number);
        }
        self.voters_may_change(now);
    }

    /// A standby that has become ready need not wait for the next tick.
    fn voters_may_change(&mut self, now: u64) {
        if self.lease.held_epoch(Instant::from_millis(now)).is_some()
            && !self.standbys(now, Some(self.value_number())).is_empty()
        {
            self.hurry();
        }
    }
}

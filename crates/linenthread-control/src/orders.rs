//! Orders and reads of operators, and the configuration on its way to fronts.

use linenthread_consensus::Change;
use linenthread_messages::{PeerMessage, QuotaGrants};
use linenthread_time::Instant;

use crate::ingress_nodes::Source;
use crate::requests::Purpose;
use crate::timing::CALL;
use crate::{CallId, ControlNode, Effect, SessionId};

/// A document may take a millisecond more for so many bytes.
const BYTES_A_MS: u64 = 1_000;

impl ControlNode {
    /// An operator's order: a whole configuration on top of the revision `base`.
    pub fn replace(
        &mut self,
        now: u64,
        call: CallId,
        base: u64,
        revision: u64,
        document: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        self.awake(now, effects);
        if let Some(answer) = self.refusal_of_round(now) {
            effects.push(Effect::Respond {
                call,
                response: answer,
            });
            return;
        }
        let job = self.requests.add(Purpose::Call(call));
        let until = Instant::from_millis(now + CALL + document.len() as u64 / BYTES_A_MS);
        let change = Change::Document {
            base,
            revision,
            document,
        };
        self.agree(
            now,
            |register, agreed| {
                register.propose(Instant::from_millis(now), job, change, until, agreed);
            },
            effects,
        );
    }

    /// An operator reads the newest configuration.
    pub fn read(&mut self, now: u64, call: CallId, effects: &mut Vec<Effect>) {
        self.awake(now, effects);
        if let Some(answer) = self.refusal_of_round(now) {
            effects.push(Effect::Respond {
                call,
                response: answer,
            });
            return;
        }
        let job = self.requests.add(Purpose::Call(call));
        self.agree(
            now,
            |register, agreed| {
                register.read(
                    Instant::from_millis(now),
                    job,
                    Instant::from_millis(now + CALL),
                    agreed,
                );
            },
            effects,
        );
    }

    /// Reads what is newest for a front that has just come.
    pub(crate) fn confirm(&mut self, now: u64, link: SessionId, effects: &mut Vec<Effect>) {
        if !self.in_contact(now) {
            return;
        }
        let Some(front) = self.fronts.get_mut(link) else {
            return;
        };
        if front.confirmed || front.confirming {
            return;
        }
        front.confirming = true;
        let job = self.requests.add(Purpose::Confirmation(link));
        self.agree(
            now,
            |register, agreed| {
                register.read(
                    Instant::from_millis(now),
                    job,
                    Instant::from_millis(now + CALL),
                    agreed,
                );
            },
            effects,
        );
    }

    /// Tells a front all that it lacks: nothing while out of contact with a majority.
    pub(crate) fn update_ingress_node(
        &mut self,
        now: u64,
        link: SessionId,
        effects: &mut Vec<Effect>,
    ) {
        if !self.in_contact(now) {
            return;
        }
        let source = Source {
            registry: &self.registry,
            decided: self.register.decided(),
            addresses: &self.addresses,
            settled: self.is_settled(),
        };
        if let Some(update) = self.fronts.update(now, link, &source) {
            effects.push(Effect::Send {
                session: link,
                message: PeerMessage::IngressUpdate(update),
            });
        }
    }

    /// The leader's allotments go to the fronts here, and to the nodes that hold the sessions of others.
    pub(crate) fn send_quota_grants(
        &mut self,
        quota_grants: QuotaGrants,
        effects: &mut Vec<Effect>,
    ) {
        if quota_grants.grants.is_empty() {
            return;
        }
        for (link, _) in self.members.iter() {
            effects.push(Effect::Send {
                session: link,
                message: PeerMessage::QuotaGrants(quota_grants.clone()),
            });
        }
        self.pass_allotments(quota_grants, effects);
    }

    pub(crate) fn pass_allotments(&mut self, quota_grants: QuotaGrants, effects: &mut Vec<Effect>) {
        for allotment in quota_grants.grants {
            let Some(link) = self.fronts.link_of(&allotment.name, allotment.incarnation) else {
                continue;
            };
            let word = PeerMessage::QuotaGrants(QuotaGrants {
                grants: vec![allotment],
            });
            effects.push(Effect::Send {
                session: link,
                message: word,
            });
        }
    }
}

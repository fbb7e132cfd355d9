//! Orders and reads of operators, and the configuration on its way to fronts.

use linenthread_consensus::Change;
use linenthread_messages::{PeerMessage, QuotaGrants};

use crate::fronts::Source;
use crate::requests::Purpose;
use crate::timing::CALL;
use crate::{Control, Effect, Link, Token};

/// A document may take a millisecond more for so many bytes.
const BYTES_A_MS: u64 = 1_000;

impl Control {
    /// An operator's order: a whole configuration on top of the revision `base`.
    pub fn replace(
        &mut self,
        now: u64,
        token: Token,
        base: u64,
        revision: u64,
        document: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        self.awake(now, effects);
        if let Some(answer) = self.refusal_of_round(now) {
            effects.push(Effect::Answer { token, answer });
            return;
        }
        let job = self.requests.add(Purpose::Call(token));
        let until = now + CALL + document.len() as u64 / BYTES_A_MS;
        let change = Change::Document {
            base,
            revision,
            document,
        };
        self.agree(
            now,
            |register, agreed| register.propose(now, job, change, until, agreed),
            effects,
        );
    }

    /// An operator reads the newest configuration.
    pub fn read(&mut self, now: u64, token: Token, effects: &mut Vec<Effect>) {
        self.awake(now, effects);
        if let Some(answer) = self.refusal_of_round(now) {
            effects.push(Effect::Answer { token, answer });
            return;
        }
        let job = self.requests.add(Purpose::Call(token));
        self.agree(
            now,
            |register, agreed| register.read(now, job, now + CALL, agreed),
            effects,
        );
    }

    /// Reads what is newest for a front that has just come.
    pub(crate) fn confirm(&mut self, now: u64, link: Link, effects: &mut Vec<Effect>) {
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
            |register, agreed| register.read(now, job, now + CALL, agreed),
            effects,
        );
    }

    /// Tells a front all that it lacks: nothing while out of contact with a majority.
    pub(crate) fn tell(&mut self, now: u64, link: Link, effects: &mut Vec<Effect>) {
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
                link,
                word: PeerMessage::IngressUpdate(update),
            });
        }
    }

    /// The leader's allotments go to the fronts here, and to the nodes that hold the sessions of others.
    pub(crate) fn send_allotments(&mut self, allotments: QuotaGrants, effects: &mut Vec<Effect>) {
        if allotments.grants.is_empty() {
            return;
        }
        for (link, _) in self.members.iter() {
            effects.push(Effect::Send {
                link,
                word: PeerMessage::QuotaGrants(allotments.clone()),
            });
        }
        self.pass_allotments(allotments, effects);
    }

    pub(crate) fn pass_allotments(&mut self, allotments: QuotaGrants, effects: &mut Vec<Effect>) {
        for allotment in allotments.grants {
            let Some(link) = self.fronts.link_of(&allotment.name, allotment.incarnation) else {
                continue;
            };
            let word = PeerMessage::QuotaGrants(QuotaGrants {
                grants: vec![allotment],
            });
            effects.push(Effect::Send { link, word });
        }
    }
}

//! The leader lease of this node, and its vote for another's.

use linenthread_messages::{LeaseRelease, LeaseRequest, LeaseVote, PeerMessage, Record};
use linenthread_time::Instant;

use crate::reconfiguration::Leave;
use crate::{ControlNode, Effect};

impl ControlNode {
    pub(crate) fn ask_for_lease(&mut self, now: u64, effects: &mut Vec<Effect>) {
        if !self.may_lead(now) {
            return;
        }
        let first = self.is_first(now);
        let Some(request) = self
            .lease
            .tick(Instant::from_millis(now), first, self.value_number())
        else {
            return;
        };
        for (link, _) in self.members.iter() {
            effects.push(Effect::Send {
                session: link,
                message: PeerMessage::LeaseRequest(request.clone()),
            });
        }
        self.on_lease_request(now, self.register.id(), &request, effects);
    }

    /// Whether this voter is the first in contact, in the order of the newest value, of those that stay; where all
    /// leave, of all: without a leader no standby could take the place of any of them.
    fn is_first(&self, now: u64) -> bool {
        let own = self.register.id();
        let disks = self.disks_in_contact(now);
        let leaves = |disk: u64| {
            if disk == own {
                self.leaving.is_some()
            } else {
                self.members.leaves(disk)
            }
        };
        let in_contact = || {
            self.register
                .voters()
                .iter()
                .map(|voter| voter.id)
                .filter(|id| disks.contains(id))
        };
        in_contact()
            .find(|disk| !leaves(*disk))
            .or_else(|| in_contact().next())
            == Some(own)
    }

    /// One that leaves asks for no more time once it has nothing left to do.
    fn may_lead(&self, now: u64) -> bool {
        self.leaving.is_none() || matches!(self.next_step_of_leaving(now), Leave::Wait(_))
    }

    /// Votes for who asks, or not. A vote under a new epoch is said only once that epoch is on disk.
    pub(crate) fn on_lease_request(
        &mut self,
        now: u64,
        from: u64,
        request: &LeaseRequest,
        effects: &mut Vec<Effect>,
    ) {
        let number = Some(self.value_number()).filter(|_| !self.register.has_undecided());
        let vote = PeerMessage::LeaseVote(self.lease.on_lease_request(
            Instant::from_millis(now),
            from,
            request,
            number,
        ));
        let epoch = self.lease.epoch();
        if epoch > self.durable.epoch {
            self.keep(
                Record {
                    epoch,
                    ..Record::default()
                },
                vec![(from, vote)],
                effects,
            );
        } else {
            self.post(from, vote, effects);
            self.agree(now, |_, _| {}, effects);
        }
    }

    pub(crate) fn on_lease_vote(
        &mut self,
        now: u64,
        from: u64,
        vote: &LeaseVote,
        effects: &mut Vec<Effect>,
    ) {
        let (register, number) = (&self.register, self.value_number());
        let held = self.lease.held_epoch(Instant::from_millis(now)).is_some();
        if !self
            .lease
            .on_lease_vote(Instant::from_millis(now), from, vote, number, |disks| {
                register.is_majority(disks)
            })
        {
            return;
        }
        // What it has to do does not wait for the next tick.
        self.hurry();
        // Held already, or the votes came so late that it has ended.
        let Some(epoch) = self
            .lease
            .held_epoch(Instant::from_millis(now))
            .filter(|_| !held)
        else {
            return;
        };
        self.quota_allocator.on_lease(now, epoch);
        effects.push(Effect::Log(format!("event=lease_acquired epoch={epoch}")));
    }

    pub(crate) fn on_lease_release(&mut self, from: u64, release: &LeaseRelease) {
        if self.lease.on_release(from, release) {
            // Whoever is next need not wait for its tick.
            self.hurry();
        }
    }

    /// One that leaves, and has nothing left to do as the leader, lets another lead at once.
    pub(crate) fn release_when_free(&mut self, now: u64, effects: &mut Vec<Effect>) {
        if self.leaving.is_none() || self.next_step_of_leaving(now) != Leave::Release {
            return;
        }
        let Some(release) = self.lease.release() else {
            return;
        };
        effects.push(Effect::Log(format!(
            "event=lease_released epoch={}",
            release.epoch
        )));
        let voters: Vec<u64> = self
            .register
            .voters()
            .iter()
            .map(|voter| voter.id)
            .collect();
        for voter in voters {
            self.post(voter, PeerMessage::LeaseRelease(release.clone()), effects);
        }
        self.agree(now, |_, _| {}, effects);
    }
}

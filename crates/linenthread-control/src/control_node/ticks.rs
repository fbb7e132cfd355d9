//! Periodic work of a control node.

use std::time::Duration;

use linenthread_consensus::AfterSync;
use linenthread_messages::QuotaGrants;
use linenthread_time::Instant;

use crate::{ControlEvent, ControlNode, Effect};

/// A replica times out after this many heartbeat intervals plus [`REPLICA_TIMEOUT_MARGIN`] without a heartbeat.
const MISSED_HEARTBEATS: u32 = 3;

/// Time allowed for a heartbeat to reach this node through another control node.
const REPLICA_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

impl ControlNode {
    /// Returns the time by which [`ControlNode::tick`] must be called next.
    pub fn next_tick_at(&self, now: Instant) -> Instant {
        let awaits_messages =
            self.is_shutting_down() || self.register.is_busy() || !self.pending_drains.is_empty();
        self.ticks
            .next_tick_at(awaits_messages || self.is_discovering(now))
    }

    /// Performs all work that is due at `now`. Call it at [`ControlNode::next_tick_at`] at the latest.
    pub fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.detect_pause(now, effects);
        self.ticks.on_tick(now);
        self.drive_register(
            now,
            |register, register_effects| register.tick(now, register_effects),
            effects,
        );
        self.complete_drains(now, effects);
        self.release_lease_for_shutdown(now, effects);
        if self.is_discovering(now) {
            self.dial(now, effects);
        }
        if !self.ticks.begin_upkeep(now) {
            return;
        }
        self.upkeep(now, effects);
        if self.ticks.begin_heartbeat(now) {
            self.heartbeat_tick(now, effects);
        }
    }

    /// Reports whether the node has just started and has not found a majority yet.
    fn is_discovering(&self, now: Instant) -> bool {
        self.contact.is_starting(now) && !self.has_quorum(now)
    }

    /// Closes duplicate sessions, ends sessions and replicas that have timed out, dials missing control nodes, and sends
    /// the changes since the last run.
    fn upkeep(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let timed_out = self
            .membership
            .timed_out_sessions(now)
            .into_iter()
            .chain(self.ingress_nodes.timed_out_sessions(now));
        let duplicates = self
            .membership
            .duplicate_sessions(now, &self.config.control_address);
        for session in timed_out.chain(duplicates) {
            self.drop_session(now, session, effects);
        }
        self.update_contact(now, effects);
        self.expire_replicas(now, effects);
        self.dial(now, effects);
        self.flush_changed_replicas(now, effects);
        self.write_replica_snapshot(now, effects);
        self.propose_voter_change(now, effects);
        self.flush_usage(effects);
        self.report_usage(now, effects);
    }

    /// Expires replicas, but only after this node has been in contact with a majority for longer than the replica
    /// time-out: before that, heartbeats may not have reached it.
    fn expire_replicas(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let timeout = MISSED_HEARTBEATS * self.config.heartbeat_interval + REPLICA_TIMEOUT_MARGIN;
        let is_registry_complete = self
            .contact
            .in_contact_since()
            .is_some_and(|since| now > since + timeout);
        if self.registry.set_complete(is_registry_complete) {
            // From now on a replica that is missing from a complete update is not running.
            self.ingress_nodes.resend_all();
        }
        if !is_registry_complete {
            return;
        }
        for id in self.registry.expire(now, timeout) {
            effects.push(Effect::Log(ControlEvent::ReplicaTimedOut { id }));
        }
    }

    /// Writes a snapshot of the replicas to disk if they changed, so that a restart of all nodes at once does not have to
    /// wait for their heartbeats.
    fn write_replica_snapshot(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let snapshot = self.snapshot_writer.next_snapshot(now, &self.registry);
        effects.extend(snapshot.map(|snapshot| Effect::Persist {
            record: snapshot.record,
            after_sync: vec![AfterSync::SnapshotSynced(snapshot.number)],
        }));
    }

    /// Sends heartbeats, and performs the work that depends on received heartbeats: lease requests and quota grants.
    fn heartbeat_tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let voters = self.register.voters();
        self.agreed_time.remove_silent_peers(now, |address| {
            voters.iter().any(|voter| voter.address == address)
        });
        self.send_heartbeats(now, effects);
        self.send_ingress_sessions(effects);
        let registry = &self.registry;
        self.pending_drains
            .retain(|replica_id| registry.get(replica_id).is_some());
        for session in self.ingress_nodes.sessions() {
            self.confirm_configuration(now, session, effects);
        }
        self.complete_stalled_value(now, effects);
        self.request_lease(now, effects);
        if let Some(epoch) = self.lease_epoch(now) {
            let grants =
                self.quota_allocator
                    .allocate(now, epoch, &self.ingress_nodes.all_sessions());
            self.send_quota_grants(QuotaGrants { grants }, effects);
        }
    }

    /// Completes a value that is still undecided at the second heartbeat tick in a row, because no lease is granted while
    /// a value is undecided.
    fn complete_stalled_value(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let has_undecided = self.register.has_undecided_value();
        if self.voting.on_heartbeat_tick(has_undecided) {
            self.complete_undecided(now, effects);
        }
    }

    fn dial(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let (membership, voters) = (&self.membership, self.register.voters());
        let is_connected = |address: &str| {
            membership
                .iter()
                .any(|(_, peer)| peer.hello().control_address == address)
        };
        let is_voter = |address: &str| voters.iter().any(|voter| voter.address == address);
        let addresses = self.address_book.next_to_dial(now, is_connected, is_voter);
        effects.extend(addresses.into_iter().map(Effect::Dial));
    }
}

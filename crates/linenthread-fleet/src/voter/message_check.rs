//! Validates peers' Raft messages before they are passed to Raft.

use linenthread_core::interface::TenthMillis;
use linenthread_store::Files;
use raft::Raft;
use raft::eraftpb::{Message, MessageType};
use snafu::{ResultExt, ensure};

use super::Voter;
use super::clock::{ELECTION_TIMEOUT, TICK};
use super::stage::State;
use crate::error::{
    InvalidCommitSnafu, InvalidEntrySnafu, LocalMessageSnafu, MalformedSnapshotSnafu, MessageError,
};
use crate::identifiers::{LogIndex, Term};
use crate::state_table::StateTable;
use crate::storage::VoterStorage;

impl<F: Files> Voter<F> {
    /// Validates a message and passes it to Raft.
    pub(super) fn step(&mut self, now: TenthMillis, message: Message) -> Result<(), MessageError> {
        if self.ignores_vote_request(now, &message) {
            return Ok(());
        }
        let State::Active(node) = &mut self.state else {
            return Ok(());
        };
        if message.to != node.raft.id {
            // Sent to a former identity of this voter.
            return Ok(());
        }
        check(&node.raft, &message)?;
        // Raft rejects responses of identities that no longer vote; nothing depends on them.
        let _ = node.step(message);
        Ok(())
    }

    fn ignores_vote_request(&self, now: TenthMillis, message: &Message) -> bool {
        let requests_vote = matches!(
            message.msg_type,
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote
        );
        // Before a restart it may have confirmed a leader's lease, which is not stored: it votes for nobody until such
        // a lease has expired.
        let lease_may_be_valid = now < self.started_at + ELECTION_TIMEOUT + TICK;
        let is_known = self.conf_state.voters.is_empty() || self.is_voter_id(message.from);
        requests_vote && (lease_may_be_valid || !is_known)
    }
}

fn check<F: Files>(raft: &Raft<VoterStorage<F>>, message: &Message) -> Result<(), MessageError> {
    check_entries(raft, message)?;
    let commit = LogIndex(message.commit);
    let last_index = LogIndex(raft.raft_log.last_index());
    match message.msg_type {
        MessageType::MsgHeartbeat => {
            let is_current = message.term >= raft.term;
            ensure!(
                commit <= last_index || !is_current,
                InvalidCommitSnafu { commit, last_index }
            );
        }
        MessageType::MsgSnapshot => {
            let data = &message.get_snapshot().data;
            StateTable::decode(data).context(MalformedSnapshotSnafu)?;
        }
        MessageType::MsgUnreachable => return LocalMessageSnafu.fail(),
        _ => {}
    }
    Ok(())
}

/// Checks that entries are consecutive, have no later term than the message, and contradict no committed entry.
fn check_entries<F: Files>(
    raft: &Raft<VoterStorage<F>>,
    message: &Message,
) -> Result<(), MessageError> {
    let mut expected_index = message.index;
    for entry in &message.entries {
        expected_index += 1;
        let (index, term) = (entry.index, entry.term);
        let is_committed = index <= raft.raft_log.committed;
        let differs = |known: u64| known != 0 && known != term;
        let contradicts = is_committed && raft.raft_log.term(index).is_ok_and(differs);
        ensure!(
            index == expected_index && term <= message.term && !contradicts,
            InvalidEntrySnafu {
                index: LogIndex(index),
                term: Term(term)
            }
        );
    }
    Ok(())
}

//! Raft's clock: it counts ticks, and elections begin by it.

use linenthread_core::interface::TenthMillis;
use linenthread_store::Files;
use oorandom::Rand64;
use raft::StateRole;

use super::stage::State;
use super::{Voter, VoterAction};
use crate::random::random_index;

/// The interval of Raft's clock.
pub(super) const TICK: TenthMillis = 500;
/// An election begins after so many ticks without a message of the leader, and up to as many more.
const ELECTION_TICKS_U16: u16 = 20;
/// The same as Raft counts them.
pub(super) const ELECTION_TICKS: usize = ELECTION_TICKS_U16 as usize;
/// The same as a time.
pub(super) const ELECTION_TIMEOUT: TenthMillis = TICK * ELECTION_TICKS_U16 as TenthMillis;
/// A leader sends a heartbeat after so many ticks.
pub(super) const HEARTBEAT_TICKS: usize = 4;
/// A leader that was suspended catches up with so many ticks: after two checks of its quorum it has stepped down.
const MAX_MISSED_LEADER_TICKS: usize = 2 * ELECTION_TICKS + 2;
/// Mixes a term into an election seed (the golden ratio as a 64-bit fraction).
const TERM_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl<F: Files> Voter<F> {
    /// When [`Voter::wake`] is to be called at the latest.
    pub fn wake_at(&self) -> TenthMillis {
        self.ticked_until + TICK
    }

    /// Lets Raft's clock catch up with the time.
    pub(super) fn run_clock(&mut self, now: TenthMillis, actions: &mut Vec<VoterAction>) {
        if !matches!(self.state, State::Active(_)) {
            self.ticked_until = now;
            return;
        }
        let missed = ((now - self.ticked_until) / TICK).max(0);
        self.ticked_until += missed * TICK;
        // A leader must notice that it was suspended, before it acts as one again. Any other voter need not hurry to
        // an election.
        let max_ticks = if self.has_leader_role() {
            MAX_MISSED_LEADER_TICKS
        } else {
            HEARTBEAT_TICKS
        };
        let ticks = usize::try_from(missed).map_or(max_ticks, |missed| missed.min(max_ticks));
        for _ in 0..ticks {
            if let State::Active(node) = &mut self.state {
                node.tick();
            }
            self.set_election_timeout();
            self.drive(actions);
        }
    }

    /// Sets a random election time-out in place of Raft's own, which Raft draws anew whenever its term or role changes:
    /// so this follows each step that may change them. It depends on the seed, the term and the role only, so that a
    /// seed always gives the same.
    pub(super) fn set_election_timeout(&mut self) {
        if let State::Active(node) = &mut self.state {
            let term = node.raft.term.wrapping_mul(TERM_MULTIPLIER);
            let seed = self.election_seed ^ term ^ role_number(node.raft.state);
            let mut rng = Rand64::new(u128::from(seed));
            let timeout = ELECTION_TICKS + random_index(&mut rng, ELECTION_TICKS);
            node.raft.set_randomized_election_timeout(timeout);
        }
    }
}

fn role_number(role: StateRole) -> u64 {
    match role {
        StateRole::Follower => 0,
        StateRole::Candidate => 1,
        StateRole::Leader => 2,
        StateRole::PreCandidate => 3,
    }
}

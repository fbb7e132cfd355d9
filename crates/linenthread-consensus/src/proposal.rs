//! A pending change in the proposer: the value that results from it, and its outcome.

use linenthread_messages::{OrderIdentity, UsageReport, Value, Voter};
use linenthread_time::{Instant, WindowNumber};
use prost::bytes::Bytes;

use crate::change::{Change, document_digest};
use crate::decided_state::{DecidedState, OrderStatus, UsageStatus};
use crate::epoch::Epoch;
use crate::jobs::{JobId, Outcome, UnknownReason};
use crate::revision::Revision;
use crate::value_number::ValueNumber;

/// The source from which this node has learned that a value is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LearnedFrom {
    /// A majority of the voters has just accepted it in a round of this node.
    LocalRound,
    /// Another node sent it, possibly some time ago and over a connection that works in one direction only.
    Peer,
}

/// A change that is waiting for a round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingChange {
    pub(crate) job: JobId,
    pub(crate) proposal: Proposal,
    /// The time at which the change is completed as [`Outcome::Unknown`].
    pub(crate) deadline: Instant,
}

/// The proposer's form of a [`Change`], in which the digest of the document is computed once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Proposal {
    Order {
        identity: OrderIdentity,
        document: Bytes,
    },
    Voters {
        base_number: ValueNumber,
        voters: Vec<Voter>,
        epoch: Epoch,
    },
    Usage {
        report: UsageReport,
        delivered: Option<WindowNumber>,
    },
}

impl Proposal {
    pub(crate) fn is_voter_change(&self) -> bool {
        matches!(self, Proposal::Voters { .. })
    }

    /// Returns the value that results from applying this change to the newest value.
    ///
    /// Must only be called after a majority of the voters has promised and none of them has accepted a value for the
    /// next number. Only then is the newest value known to this node also the newest decided one.
    ///
    /// # Errors
    /// Fails with the outcome of the change if it needs no round or can never be decided.
    pub(crate) fn next_value(&self, decided: &DecidedState) -> Result<Value, Outcome> {
        let revision = decided.revision();
        match self {
            Proposal::Order { identity, document } => match decided.check_order(identity) {
                OrderStatus::Proposable => decided
                    .with_order(identity, document)
                    .ok_or(Outcome::Unknown(UnknownReason::NoValue)),
                OrderStatus::Committed => Err(committed(identity)),
                OrderStatus::Conflict => Err(Outcome::Conflict(revision)),
                OrderStatus::Unknown(reason) => Err(Outcome::Unknown(reason)),
            },
            Proposal::Voters {
                base_number,
                voters,
                epoch,
            } if *base_number == decided.number() && !voters.is_empty() => decided
                .with_voters(voters, *epoch)
                .ok_or(Outcome::Unknown(UnknownReason::NoValue)),
            Proposal::Voters { .. } => Err(Outcome::Conflict(revision)),
            Proposal::Usage { report, delivered } => {
                match decided.check_usage(WindowNumber::new(report.window)) {
                    UsageStatus::Proposable => decided
                        .with_usage(report, *delivered)
                        .ok_or(Outcome::Unknown(UnknownReason::NoValue)),
                    UsageStatus::Decided => Err(Outcome::Committed(revision)),
                    UsageStatus::TooEarly => Err(Outcome::Conflict(revision)),
                }
            }
        }
    }

    /// Returns the outcome of this change after a value was decided, if no further round is needed to determine it.
    ///
    /// An order that was decided in another node's round is only acknowledged after a round of this node, because an
    /// acknowledgement requires contact with a majority of the voters (*no-response-without-quorum*).
    pub(crate) fn outcome_after(
        &self,
        decided: &DecidedState,
        learned: LearnedFrom,
    ) -> Option<Outcome> {
        match self {
            Proposal::Order { identity, .. } if learned == LearnedFrom::LocalRound => decided
                .order_log()
                .contains(identity)
                .then(|| committed(identity)),
            Proposal::Voters { base_number, .. } if *base_number < decided.number() => {
                Some(Outcome::Committed(decided.revision()))
            }
            Proposal::Usage { report, .. }
                if decided.check_usage(WindowNumber::new(report.window))
                    == UsageStatus::Decided =>
            {
                Some(Outcome::Committed(decided.revision()))
            }
            _ => None,
        }
    }
}

/// Returns the outcome of an accepted order.
fn committed(identity: &OrderIdentity) -> Outcome {
    Outcome::Committed(Revision::new(identity.revision))
}

impl From<Change> for Proposal {
    fn from(change: Change) -> Proposal {
        match change {
            Change::Order(order) => Proposal::Order {
                identity: OrderIdentity {
                    revision: order.revision.get(),
                    base: order.base.get(),
                    digest: document_digest(&order.document),
                },
                document: order.document.into(),
            },
            Change::Voters {
                base_number,
                voters,
                epoch,
            } => Proposal::Voters {
                base_number,
                voters,
                epoch,
            },
            Change::Usage {
                report,
                delivered_window: delivered,
            } => Proposal::Usage { report, delivered },
        }
    }
}

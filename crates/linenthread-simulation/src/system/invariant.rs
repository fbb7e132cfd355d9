//! Invariants that must hold in every schedule.

use std::fmt;

/// An invariant, printed under its name in `docs/control-safety.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// No two different values are decided under one number.
    OneValuePerNumber,
    /// No two changes are acknowledged on top of the same revision.
    OneChangePerBase,
    /// Of two changes under one revision at most one is committed, and the other is never acknowledged.
    OneChangePerRevision,
    /// Each acknowledged configuration is in the chain of decided configurations.
    AcknowledgedLasts,
    /// A retry of a committed change is acknowledged or gets no clear response.
    CommittedIsNeverRejected,
    ReadsAreNewest,
    /// Neither the decided value of a process nor the configuration of an ingress node moves back to an older one.
    MonotonicState,
    /// A majority of the voters knows each acknowledged drain.
    DrainsAreKnown,
    /// Once a drain was acknowledged, no ingress node is told any more that the replica is available.
    AcknowledgedDrainLasts,
    /// At most one node holds the lease at any time, and no two incarnations hold it under the same epoch.
    OneLeaseHolderPerEpoch,
    /// The retries that all ingress nodes together may use stay within the retry allowance.
    GrantsWithinAllowance,
    /// A node without contact to a majority of the voters confirms nothing.
    NoResponseWithoutQuorum,
    /// An ingress node moves its session away from a control node that is partitioned off.
    IngressFailsOver,
    /// A started node gets the newest value within bounded time, messages and bytes.
    CatchesUp,
    /// The durable state and the log stay within their bounds, which grow with the number of changes.
    BoundedState,
    /// Each disk can be opened again after a restart.
    AcknowledgedIsSynced,
    /// After the loss of a disk or machine without any other fault, all machines but at most one standby vote again
    /// within the sum of the waits in `recovery_time`.
    WholeAgain,
    /// After the faults, changes are acknowledged, all machines but at most one standby vote, and every ingress node
    /// has a recent configuration that is confirmed.
    Recovers,
    /// The platform accepts only one report body for each window.
    OneReportPerWindow,
    /// No two processes call the platform with one fence.
    OneSenderPerFence,
    /// Within the lease time the platform never accepts calls of one node, then of another, then of the first one
    /// again.
    NoReturnWithinLease,
    /// A process does not reuse a fence after it has learned that the platform refused it.
    RefusedIsRefused,
    /// No call is written under a lease after a lease of a higher epoch is held, except by a process that was paused
    /// between its check of the lease and the write.
    CallsEndWithLease,
    /// The platform accepts the reports of consecutive windows in order, without gaps after the first one.
    ReportsInOrder,
    /// Without faults each report reaches the platform by its due time.
    UsageInTime,
    /// Without faults each report is correct within the error that users permit.
    UsageRight,
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Invariant::OneValuePerNumber => "one-value-per-number",
            Invariant::OneChangePerBase => "one-order-per-base",
            Invariant::OneChangePerRevision => "one-order-per-revision",
            Invariant::AcknowledgedLasts => "acknowledged-lasts",
            Invariant::CommittedIsNeverRejected => "committed-is-never-rejected",
            Invariant::ReadsAreNewest => "reads-are-newest",
            Invariant::MonotonicState => "monotonic-state",
            Invariant::DrainsAreKnown => "drains-are-known",
            Invariant::AcknowledgedDrainLasts => "acknowledged-drain-lasts",
            Invariant::OneLeaseHolderPerEpoch => "one-lease-holder-per-epoch",
            Invariant::GrantsWithinAllowance => "grants-within-allowance",
            Invariant::NoResponseWithoutQuorum => "no-response-without-quorum",
            Invariant::IngressFailsOver => "ingress-fails-over",
            Invariant::CatchesUp => "catches-up",
            Invariant::BoundedState => "bounded-state",
            Invariant::AcknowledgedIsSynced => "acknowledged-is-synced",
            Invariant::WholeAgain => "whole-again",
            Invariant::Recovers => "recovers",
            Invariant::OneReportPerWindow => "one-report-per-window",
            Invariant::OneSenderPerFence => "one-sender-per-fence",
            Invariant::NoReturnWithinLease => "no-return-within-lease",
            Invariant::RefusedIsRefused => "refused-is-refused",
            Invariant::CallsEndWithLease => "calls-end-with-lease",
            Invariant::ReportsInOrder => "reports-in-order-without-gaps",
            Invariant::UsageInTime => "usage-in-time",
            Invariant::UsageRight => "usage-right",
        })
    }
}

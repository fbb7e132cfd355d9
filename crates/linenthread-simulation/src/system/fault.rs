//! Kinds of faults and incidents that are counted for each schedule.

use std::fmt;

/// An injected fault, or an incident that resulted from one. The summary lists them in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FaultKind {
    TornWrite,
    WriteRejected,
    AllProcessesKilled,
    AllProcessesKilledAfterAcknowledgement,
    AllMachinesLosePower,
    AllMachinesLosePowerAfterAcknowledgement,
    ProcessKilled,
    Partition,
    LongPartition,
    PartialPartition,
    SplitInHalves,
    DiskLost,
    DiskLostAfterAcknowledgement,
    IngressPartition,
    IngressRestart,
    DiskFull,
    ShutdownTimedOut,
    LongPause,
    PowerLoss,
    Pause,
    PlannedReplacement,
    UnplannedReplacement,
    PlannedRestart,
    RollingRestart,
    SecondDiskLost,
    AllOthersLosePower,
    BootstrapChanged,
    DiskSlow,
    ClosingLoss,
    PlatformDown,
    PlatformSlow,
    PlatformCut,
    ClockStep,
    FenceRaised,
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FaultKind::TornWrite => "write cut off by a crash",
            FaultKind::WriteRejected => "write rejected by the disk",
            FaultKind::AllProcessesKilled => "all processes killed",
            FaultKind::AllProcessesKilledAfterAcknowledgement => {
                "all processes killed after an acknowledgement"
            }
            FaultKind::AllMachinesLosePower => "all machines lose power",
            FaultKind::AllMachinesLosePowerAfterAcknowledgement => {
                "all machines lose power after an acknowledgement"
            }
            FaultKind::ProcessKilled => "process killed",
            FaultKind::Partition => "partition",
            FaultKind::LongPartition => "long partition",
            FaultKind::PartialPartition => "partition in one direction, or from one node",
            FaultKind::SplitInHalves => "control nodes split in halves",
            FaultKind::DiskLost => "disk lost",
            FaultKind::DiskLostAfterAcknowledgement => "disk lost after an acknowledgement",
            FaultKind::IngressPartition => "ingress node partitioned from a control node",
            FaultKind::IngressRestart => "ingress node restarted",
            FaultKind::DiskFull => "disk full",
            FaultKind::ShutdownTimedOut => "shutdown ended by its deadline",
            FaultKind::LongPause => "long pause",
            FaultKind::PowerLoss => "power loss",
            FaultKind::Pause => "pause",
            FaultKind::PlannedReplacement => "planned replacement",
            FaultKind::UnplannedReplacement => "unplanned replacement",
            FaultKind::PlannedRestart => "planned restart",
            FaultKind::RollingRestart => "rolling restart",
            FaultKind::SecondDiskLost => "second loss: a disk",
            FaultKind::AllOthersLosePower => "second loss: all others lose power",
            FaultKind::BootstrapChanged => "bootstrap addresses changed",
            FaultKind::DiskSlow => "disk slow",
            FaultKind::ClosingLoss => "disks lost while all others lose power",
            FaultKind::PlatformDown => "platform down",
            FaultKind::PlatformSlow => "platform slow",
            FaultKind::PlatformCut => "link to the platform cut",
            FaultKind::ClockStep => "clocks stepped",
            FaultKind::FenceRaised => "higher fence seen by the platform",
        })
    }
}

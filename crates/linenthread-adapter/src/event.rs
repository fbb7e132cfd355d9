//! Event kinds, and the values that events contain.

use linenthread_core::interface::{AttemptOutcome, MembershipEntry, Phase};
use linenthread_terms::tenth_millis;

use crate::error::{AdapterError, UnknownEventSnafu, UnknownOutcomeSnafu, UnknownPhaseSnafu};
use crate::fields::Fields;
use crate::ids::IdTable;

/// The kind of an event, identified by its code on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// Defines a list that later events refer to.
    List,
    /// Starts an instance.
    Boot,
    /// Ends an instance.
    Killed,
    /// Addressed to a running instance.
    Input(InputKind),
}

/// The kind of an event for a running instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InputKind {
    Membership,
    Request,
    Streaming,
    AttemptResult,
    Abandoned,
    Timer,
    ProbeResult,
    PeerMessage,
}

impl EventKind {
    pub(crate) fn read(fields: &mut Fields) -> Result<EventKind, AdapterError> {
        Ok(match fields.u8("event code")? {
            1 => EventKind::Boot,
            2 => EventKind::Input(InputKind::Membership),
            3 => EventKind::Input(InputKind::Request),
            4 => EventKind::Input(InputKind::Streaming),
            5 => EventKind::Input(InputKind::AttemptResult),
            6 => EventKind::Input(InputKind::Abandoned),
            7 => EventKind::Input(InputKind::Timer),
            8 => EventKind::Input(InputKind::ProbeResult),
            9 => EventKind::Input(InputKind::PeerMessage),
            10 => EventKind::Killed,
            11 => EventKind::List,
            code => return UnknownEventSnafu { code }.fail(),
        })
    }
}

/// Codes of the kinds of membership updates.
pub(crate) mod membership_mode {
    pub(crate) const DELTA: u8 = 0;
    pub(crate) const SNAPSHOT: u8 = 1;
    pub(crate) const CACHED: u8 = 2;
    pub(crate) const UNAVAILABLE: u8 = 3;
}

/// Size of a streaming event after the instance number. Such events are skipped, since no search index of this
/// family streams.
pub(crate) const STREAMING_BYTES: usize = 21;

/// A list entry as received. Its replica gets an index in an instance only when a membership event refers to the list.
pub(crate) struct ListEntry {
    replica: u32,
    zone: u16,
    replica_group: u16,
    phase: Phase,
    /// In milliseconds; 0 means long ago.
    started_at: f64,
}

impl ListEntry {
    pub(crate) fn read(fields: &mut Fields) -> Result<ListEntry, AdapterError> {
        let replica = fields.u32("replica")?;
        let zone = fields.u16("site")?;
        fields.u16("sku")?;
        let replica_group = fields.u16("set-no")?;
        let phase = match fields.u8("phase")? {
            0 => Phase::Removed,
            1 => Phase::Ready,
            2 => Phase::Draining,
            phase => return UnknownPhaseSnafu { phase }.fail(),
        };
        fields.f32("size")?;
        Ok(ListEntry {
            replica,
            zone,
            replica_group,
            phase,
            started_at: fields.f64("online-since-ms")?,
        })
    }

    pub(crate) fn to_membership(&self, ids: &mut IdTable) -> MembershipEntry {
        MembershipEntry {
            replica: ids.replica_index(self.replica),
            id: u64::from(self.replica),
            replica_group: usize::from(self.replica_group),
            zone: usize::from(self.zone),
            phase: self.phase,
            started_at: (self.started_at != 0.0).then(|| tenth_millis(self.started_at)),
            slow_start_share: None,
        }
    }
}

/// Reads the outcome of an attempt or a probe.
pub(crate) fn read_outcome(fields: &mut Fields) -> Result<AttemptOutcome, AdapterError> {
    Ok(match fields.u16("rc")? {
        100 => AttemptOutcome::Success,
        301 => AttemptOutcome::Error,
        302 => AttemptOutcome::Rejected,
        303 => AttemptOutcome::TimedOut,
        304 => AttemptOutcome::ConnectFailed,
        305 => AttemptOutcome::ConnectionLost,
        306 => AttemptOutcome::Cancelled,
        307 => AttemptOutcome::NotSent,
        code => return UnknownOutcomeSnafu { code }.fail(),
    })
}

/// Reads a load report and returns its number of queued sub-requests, which is at `position` if the report includes it.
pub(crate) fn read_queue_depth(
    fields: &mut Fields,
    position: Option<usize>,
) -> Result<Option<f64>, AdapterError> {
    let mut queue_depth = None;
    for at in 0..usize::from(fields.u8("stats")?) {
        let value = f64::from(fields.f32("stats")?);
        if Some(at) == position {
            queue_depth = Some(value.max(0.0));
        }
    }
    Ok(queue_depth)
}

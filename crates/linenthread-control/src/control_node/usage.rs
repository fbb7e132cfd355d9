//! Usage reporting: collects counts from ingress nodes, shares them between control nodes, proposes reports to the
//! register, and sends decided reports to the platform.

use linenthread_consensus::{Change, Epoch, Register, ValueNumber};
use linenthread_messages::{PeerMessage, UsageReport, UsageUpdate};
use linenthread_time::{Instant, WallTime, WindowNumber, whole_millis};
use serde_json::{Value as Json, json};

use crate::pending_jobs::JobOwner;
use crate::platform_call::{PlatformCallId, PlatformOutcome};
use crate::timing::{CALL_TIMEOUT, USAGE_SETTLE_TIME};
use crate::usage_body::usage_body;
use crate::usage_duty::{ActiveLease, CallConsequence};
use crate::{ControlEvent, ControlNode, Effect, SessionId};

/// The fraction of the report delay, counted from the end of a window, during which late counts are still awaited.
const COLLECTION_SHARE: f64 = 0.4;
/// The very first report covers a window at most this many windows before the last closed one. Otherwise an ingress node
/// whose clock is far off could keep all reports in the past.
const MAX_FIRST_REPORT_LAG_WINDOWS: u64 = 16;
/// Maximum number of decided reports that are not known to be delivered to the platform. When it is reached, no report is
/// proposed and counts stay in memory.
const MAX_UNDELIVERED_REPORTS: usize = 32;

impl ControlNode {
    /// Adds counts sent by an ingress node on its session with this node. Counts of any other ingress node are ignored.
    pub(super) fn on_ingress_usage(&mut self, session: SessionId, update: UsageUpdate) {
        let Some(ingress) = self.ingress_nodes.get(session) else {
            return;
        };
        let own_usage = update
            .ingress_nodes
            .into_iter()
            .filter(|usage| ingress.is_with(&usage.into()));
        for usage in own_usage {
            self.usage_ledger.on_ingress_usage(usage);
        }
    }

    /// Merges counts that another control node has received.
    pub(super) fn on_control_usage(&mut self, update: &UsageUpdate) {
        for usage in &update.ingress_nodes {
            self.usage_ledger.merge(usage);
        }
    }

    /// Sends all counts of this node to a control node that has just connected.
    pub(super) fn synchronize_usage(&self, session: SessionId, effects: &mut Vec<Effect>) {
        let ingress_nodes = self.usage_ledger.all_counts();
        if !ingress_nodes.is_empty() {
            effects.push(Effect::Send {
                session,
                message: PeerMessage::UsageUpdate(UsageUpdate { ingress_nodes }),
            });
        }
    }

    /// Sends the other control nodes the counts that this node has received since the last call.
    pub(super) fn flush_usage(&mut self, effects: &mut Vec<Effect>) {
        let ingress_nodes = self.usage_ledger.take_unsent();
        if ingress_nodes.is_empty() {
            return;
        }
        let update = UsageUpdate { ingress_nodes };
        effects.extend(
            self.membership
                .sessions()
                .into_iter()
                .map(|session| Effect::Send {
                    session,
                    message: PeerMessage::UsageUpdate(update.clone()),
                }),
        );
    }

    /// Performs the usage reporting that is due: proposes the next report, and sends decided reports to the platform.
    /// Only the holder of the leader lease does so, and only while in contact with a majority.
    pub(super) fn report_usage(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if let Some(newest) = self.register.newest_usage_window() {
            self.usage_ledger.close_windows(newest);
        }
        let Some(active_lease) = self.usage_lease(now) else {
            return;
        };
        self.propose_usage_report(now, effects);
        self.call_platform(now, active_lease, effects);
    }

    /// Returns the lease epoch and expiry under which this node may report usage now; `None` if it may not.
    fn usage_lease(&self, now: Instant) -> Option<ActiveLease> {
        let has_duty = self.config.usage.is_some() && self.has_quorum(now);
        let epoch = self.lease_epoch(now).filter(|_| has_duty)?;
        Some(ActiveLease {
            epoch,
            expires_at: self.lease.expires_at(now)?,
        })
    }

    /// Proposes the report of the next window, once that window ended long enough ago.
    fn propose_usage_report(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_settled = now >= self.contact.started_at() + USAGE_SETTLE_TIME;
        let is_busy = self.pending_jobs.has_usage_report()
            || self.pending_jobs.has_voter_change()
            || self.undelivered_reports() >= MAX_UNDELIVERED_REPORTS;
        if !is_settled || is_busy {
            return;
        }
        let Some(window) = self.next_usage_window(now) else {
            return;
        };
        let body = usage_body(window, &self.usage_ledger.totals(window));
        let report = UsageReport {
            window: window.get(),
            body: body.into(),
        };
        let change = Change::Usage {
            report,
            delivered_window: self.usage_duty.delivered_window(),
        };
        let job = self.pending_jobs.add(JobOwner::UsageReport);
        self.drive_register(
            now,
            |register, register_effects| {
                register.propose(now, job, change, now + CALL_TIMEOUT, register_effects);
            },
            effects,
        );
    }

    fn agreed_time(&self, now: Instant) -> Option<WallTime> {
        let offset = self.agreed_offset(now)?;
        Some(offset.wall_time(now))
    }

    /// Returns the next window to report, if it ended long enough ago.
    fn next_usage_window(&self, now: Instant) -> Option<WindowNumber> {
        let usage = self.config.usage.as_ref()?;
        let collection_time = usage.report_delay.mul_f64(COLLECTION_SHARE);
        let now_ms = self.agreed_time(now)?.as_millis();
        let collected_until_ms = now_ms.checked_sub(whole_millis(collection_time))?;
        let current = WindowNumber::containing(
            WallTime::from_millis(collected_until_ms),
            usage.window_length,
        );
        let newest_closed = WindowNumber::new(current.get().checked_sub(1)?);
        let next = self.register.newest_usage_window().map_or_else(
            || self.first_usage_window(newest_closed),
            WindowNumber::next,
        );
        (next <= newest_closed).then_some(next)
    }

    /// Returns the window of the very first report: the oldest one with counts, limited to
    /// [`MAX_FIRST_REPORT_LAG_WINDOWS`], or the last closed one if there are no counts.
    fn first_usage_window(&self, newest_closed: WindowNumber) -> WindowNumber {
        let earliest = newest_closed
            .get()
            .saturating_sub(MAX_FIRST_REPORT_LAG_WINDOWS);
        let oldest = self.usage_ledger.oldest_window().unwrap_or(newest_closed);
        oldest.clamp(WindowNumber::new(earliest), newest_closed)
    }

    /// Returns the number of decided reports that are not known to be delivered to the platform.
    fn undelivered_reports(&self) -> usize {
        let reports = decided_reports(&self.register);
        self.usage_duty.undelivered_reports(reports).count()
    }

    fn call_platform(
        &mut self,
        now: Instant,
        active_lease: ActiveLease,
        effects: &mut Vec<Effect>,
    ) {
        let reports = decided_reports(&self.register);
        if let Some(call) = self.usage_duty.next_call(now, active_lease, reports) {
            effects.push(Effect::CallPlatform(call));
        }
    }

    /// Handles the outcome of a call to the platform.
    pub fn on_platform_outcome(
        &mut self,
        now: Instant,
        call: PlatformCallId,
        outcome: PlatformOutcome,
        effects: &mut Vec<Effect>,
    ) {
        self.detect_pause(now, effects);
        match self.usage_duty.on_outcome(now, call, outcome) {
            Some(CallConsequence::ReportClosed { window, outcome }) => {
                effects.push(Effect::Log(ControlEvent::UsageReported { window, outcome }));
                self.report_usage(now, effects);
            }
            Some(CallConsequence::Retry { window, outcome }) => {
                effects.push(Effect::Log(ControlEvent::UsageDelayed { window, outcome }));
            }
            Some(CallConsequence::StepDown { epoch }) => self.step_down(now, epoch, effects),
            None => {}
        }
    }

    /// Releases the lease if this node still holds it under the refused epoch: another node has used a higher fencing
    /// token.
    fn step_down(&mut self, now: Instant, refused: Epoch, effects: &mut Vec<Effect>) {
        effects.push(Effect::Log(ControlEvent::FenceRefused { epoch: refused }));
        if self.lease_epoch(now) == Some(refused) {
            self.release_lease(now, effects);
        }
    }

    /// Returns this node's view of the usage reporting duty, as a JSON array that is empty if none is configured. The JSON
    /// keys are part of the control API.
    pub fn duties_status(&self, now: Instant) -> Json {
        if self.config.usage.is_none() {
            return json!([]);
        }
        let epoch = self.lease_epoch(now);
        let acquired_at = self.lease_acquired_at.filter(|_| epoch.is_some());
        json!([{
            "duty": "accounting",
            "node": self.config.name,
            "held_here": epoch.is_some(),
            "fence": epoch.map(Epoch::get),
            "held_ms": acquired_at.map(|acquired_at| whole_millis(now.since(acquired_at))),
            "refused": epoch.is_some_and(|epoch| self.usage_duty.is_refused(epoch)),
            "last_fence_used": self.usage_duty.last_call_epoch().map(Epoch::get),
            "decided_window": self.register.newest_usage_window().map(WindowNumber::get),
            "delivered_window": self.usage_duty.delivered_window().map(WindowNumber::get),
            "undelivered": self.undelivered_reports(),
            "dropped_requests": self.usage_ledger.dropped_requests(),
            "value": self.register.decided().map(|value| ValueNumber::of(value).get()),
        }])
    }
}

/// Returns the decided reports in the newest value, oldest first.
fn decided_reports(register: &Register) -> &[UsageReport] {
    let usage = register.decided().and_then(|value| value.usage.as_ref());
    usage.map_or(&[], |usage| &usage.reports)
}

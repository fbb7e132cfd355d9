//! Checks usage reports: what the platform may receive, and what it must have received in time.

use std::time::Duration;

use linenthread_control::PlatformCall;
use linenthread_time::{WindowNumber, whole_millis};

use super::super::event::Process;
use super::super::invariant::Invariant;
use super::super::platform_calls::LeaseCheck;
use super::super::usage::MAX_ERROR;
use super::super::world::World;

/// Time after a fault within which the reports that it delayed have been sent.
const SETTLE_TIME: Duration = Duration::from_millis(10_000);

impl World {
    /// Checks [`Invariant::RefusedIsRefused`] and [`Invariant::CallsEndWithLease`] when a call is written.
    pub(in super::super) fn check_write(
        &mut self,
        caller: Process,
        call: &PlatformCall,
        lease_check: LeaseCheck,
    ) {
        let fence = call.fence;
        if self.usage.platform.knows_refusal(caller, fence) {
            let details = format!("{caller:?} uses {fence} again");
            self.violation(Invariant::RefusedIsRefused, &details);
        }
        let newest = self.history.lease_holders.keys().next_back().copied();
        if lease_check != LeaseCheck::Passed && newest > Some(fence) {
            let details = format!("{caller:?} writes under {fence}, {newest:?} is held already");
            self.violation(Invariant::CallsEndWithLease, &details);
        }
    }

    /// Checks the invariants on accepted calls, before the platform accepts a call: [`Invariant::OneReportPerWindow`],
    /// [`Invariant::OneSenderPerFence`], [`Invariant::NoReturnWithinLease`] and [`Invariant::ReportsInOrder`].
    pub(in super::super) fn check_accepted_call(&mut self, caller: Process, call: &PlatformCall) {
        let window = WindowNumber::new(call.report.window);
        let platform = &self.usage.platform;
        let report = platform.report(window);
        let has_other_body = report.is_some_and(|report| report.body[..] != call.report.body[..]);
        let is_known = report.is_some();
        let newest = platform.newest_window();
        let sender = platform.sender(call.fence);
        let would_return = platform.would_return(self.now(), caller);
        if has_other_body {
            let details = format!("a second report for window {window}, of {caller:?}");
            self.violation(Invariant::OneReportPerWindow, &details);
        }
        if sender.is_some_and(|sender| sender != caller) {
            let details = format!("{sender:?} and {caller:?} use {}", call.fence);
            self.violation(Invariant::OneSenderPerFence, &details);
        }
        if would_return {
            let details = format!("{caller:?} calls again after another one");
            self.violation(Invariant::NoReturnWithinLease, &details);
        }
        if !is_known && newest.is_some_and(|newest| window != newest.next()) {
            let details = format!("window {window} follows {newest:?}");
            self.violation(Invariant::ReportsInOrder, &details);
        }
    }

    /// Checks [`Invariant::UsageInTime`], for windows of the users' length, and [`Invariant::UsageRight`], for reports
    /// that became due with no fault since [`SETTLE_TIME`] before their window.
    pub(in super::super) fn check_due_reports(&mut self) {
        while self.usage.due_at(self.usage.next_due) <= self.now() {
            let window = self.usage.next_due;
            self.usage.next_due = window.next();
            if self.usage.last_fault_at + SETTLE_TIME <= self.usage.start_of(window) {
                self.check_report_without_faults(window);
            }
        }
    }

    fn check_report_without_faults(&mut self, window: WindowNumber) {
        let due_at = self.usage.due_at(window);
        let report = self.usage.platform.report(window);
        let is_late = report.is_none_or(|report| report.at > due_at);
        if is_late && self.usage.has_target_windows() {
            let details = format!("no report of window {window} when it is due");
            self.violation(Invariant::UsageInTime, &details);
        }
        let Some(error) = self.usage.error_of(window) else {
            return;
        };
        self.report.coverage.usage.errors_without_faults.push(error);
        if error > MAX_ERROR {
            let details = format!("the report of window {window} is off by {error:.3}");
            self.violation(Invariant::UsageRight, &details);
        }
    }

    /// Records the delay and the error of each report, at the end of a schedule.
    pub(in super::super) fn measure_reports(&mut self) {
        let usage = &self.usage;
        let coverage = &mut self.report.coverage.usage;
        for (window, report) in usage.platform.reports() {
            let delay = report.at.since(usage.end_of(window));
            coverage.delays_ms.push(whole_millis(delay));
            coverage.errors.extend(usage.error_of(window));
        }
    }
}

//! The platform's rules for calls, without sockets or clocks: the response to each call, and the rules that it
//! violates.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use serde_json::Value;

use super::log::{AcceptedReport, ConnectionEnd, PlatformLog, PlatformViolation};

/// How many calls with a refused fencing token are allowed more than a lease after its first refusal.
const MAX_CALLS_AFTER_REFUSAL: usize = 3;

/// The limits that a platform enforces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformRules {
    /// The maximum rate of calls, per second.
    pub calls_per_second: f64,
    /// The duration of a lease. Calls of holders in the order A, B, A within this time violate a rule.
    pub lease: Duration,
    /// The length of a reporting window.
    pub report_window: Duration,
}

/// A received call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedCall {
    /// The lease holder that sent it, in lower case.
    pub owner: String,
    /// Its fencing token.
    pub fence: u64,
    /// Its body.
    pub body: String,
    /// When it arrived, as the time since the Unix epoch.
    pub received_at: Duration,
}

/// The response to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResponse {
    /// 200: the report is accepted, or repeats one that was accepted.
    Accepted,
    /// 400: the call is malformed.
    Invalid,
    /// 409: a higher fencing token was received before.
    FenceTooLow,
    /// 429: the rate of calls is too high.
    TooManyRequests,
}

/// A call with a fencing token that was not too low.
#[derive(Debug)]
struct HolderCall {
    owner: String,
    at: Duration,
}

/// The refusals of one fencing token of one holder.
#[derive(Debug)]
struct Refusal {
    first_at: Duration,
    /// Calls more than a lease after the first refusal.
    late_calls: usize,
}

/// Validates the calls to one platform, in the order in which they arrive.
#[derive(Debug)]
pub struct CallValidator {
    rules: PlatformRules,
    /// Tokens of the token bucket that limits the rate of calls.
    rate_tokens: f64,
    rate_tokens_updated_at: Option<Duration>,
    greatest_fence: u64,
    /// The holder that sent each fencing token first.
    owner_by_fence: BTreeMap<u64, String>,
    recent_calls: Vec<HolderCall>,
    refusals: BTreeMap<(String, u64), Refusal>,
    log: PlatformLog,
}

impl CallValidator {
    /// Returns a validator that has received no call.
    pub fn new(rules: PlatformRules) -> CallValidator {
        CallValidator {
            rules,
            rate_tokens: rules.calls_per_second.max(1.0),
            rate_tokens_updated_at: None,
            greatest_fence: 0,
            owner_by_fence: BTreeMap::new(),
            recent_calls: Vec::new(),
            refusals: BTreeMap::new(),
            log: PlatformLog::default(),
        }
    }

    /// Returns the log of everything received so far.
    pub fn log(&self) -> &PlatformLog {
        &self.log
    }

    /// Counts a complete request, valid or not.
    pub fn count_received(&mut self) {
        self.log.received_requests += 1;
    }

    /// Records how the caller ended a connection.
    pub fn add_connection_end(&mut self, end: ConnectionEnd) {
        self.log.connection_ends.push(end);
    }

    /// Records a malformed call as a violation.
    pub fn reject(&mut self, reason: &str) -> CallResponse {
        self.add_violation(PlatformViolation::InvalidCall {
            reason: reason.to_owned(),
        });
        CallResponse::Invalid
    }

    /// Checks the fencing token and the holder of a call without processing its report, as for a platform that is busy
    /// or silent. Returns whether no higher fencing token was received before.
    pub fn observe(&mut self, call: &ReceivedCall) -> bool {
        self.check_holder(call);
        let is_greatest = call.fence >= self.greatest_fence;
        if is_greatest {
            self.greatest_fence = call.fence;
            self.check_order(call);
        }
        is_greatest
    }

    /// Handles a call: accepts its report, or refuses it.
    pub fn handle(&mut self, call: &ReceivedCall) -> CallResponse {
        if !self.observe(call) {
            self.log.refused_calls += 1;
            self.check_refusal(call);
            return CallResponse::FenceTooLow;
        }
        if !self.is_within_rate(call.received_at) {
            self.log.rate_limited_calls += 1;
            return CallResponse::TooManyRequests;
        }
        match Report::parse(&call.body) {
            Some(report) => {
                self.accept(call, report);
                CallResponse::Accepted
            }
            None => self.reject(&format!("not a usage report: {}", call.body)),
        }
    }

    fn check_holder(&mut self, call: &ReceivedCall) {
        match self.owner_by_fence.entry(call.fence) {
            Entry::Vacant(entry) => {
                entry.insert(call.owner.clone());
            }
            Entry::Occupied(entry) if *entry.get() == call.owner => {}
            Entry::Occupied(entry) => {
                let violation = PlatformViolation::SharedFence {
                    fence: call.fence,
                    first: entry.get().clone(),
                    second: call.owner.clone(),
                };
                self.add_violation(violation);
            }
        }
    }

    fn check_refusal(&mut self, call: &ReceivedCall) {
        let key = (call.owner.clone(), call.fence);
        let refusal = self.refusals.entry(key).or_insert(Refusal {
            first_at: call.received_at,
            late_calls: 0,
        });
        if call.received_at.saturating_sub(refusal.first_at) > self.rules.lease {
            refusal.late_calls += 1;
            if refusal.late_calls > MAX_CALLS_AFTER_REFUSAL {
                self.add_violation(PlatformViolation::RefusedFence {
                    owner: call.owner.clone(),
                    fence: call.fence,
                });
            }
        }
    }

    /// Records a violation if, within a lease, this holder made a call and another holder made one since.
    fn check_order(&mut self, call: &ReceivedCall) {
        let lease_start = call.received_at.saturating_sub(self.rules.lease);
        self.recent_calls.retain(|recent| recent.at >= lease_start);
        let is_own = |recent: &&HolderCall| recent.owner == call.owner;
        let mut since_own = self
            .recent_calls
            .iter()
            .skip_while(|recent| !is_own(recent));
        let inner = since_own.find(|recent| !is_own(recent));
        if let Some(inner) = inner.map(|recent| recent.owner.clone()) {
            self.add_violation(PlatformViolation::AlternatingHolders {
                outer: call.owner.clone(),
                inner,
            });
        }
        self.recent_calls.push(HolderCall {
            owner: call.owner.clone(),
            at: call.received_at,
        });
    }

    /// Takes a token of the rate limit. Returns false if there is none, so that the call exceeds the rate.
    fn is_within_rate(&mut self, at: Duration) -> bool {
        let rate = self.rules.calls_per_second;
        let elapsed = at.saturating_sub(self.rate_tokens_updated_at.unwrap_or(at));
        let refilled = self.rate_tokens + elapsed.as_secs_f64() * rate;
        self.rate_tokens = refilled.min(rate.max(1.0));
        self.rate_tokens_updated_at = Some(at);
        let is_within = self.rate_tokens >= 1.0;
        if is_within {
            self.rate_tokens -= 1.0;
        }
        is_within
    }

    fn accept(&mut self, call: &ReceivedCall, report: Report) {
        let Report { window, tallies } = report;
        match self.log.report(window) {
            Some(accepted) if accepted.body == call.body => {
                self.log.duplicate_reports += 1;
                return;
            }
            Some(_) => self.add_violation(PlatformViolation::DifferentReports { window }),
            None => {}
        }
        let window_end = self.end_of(window);
        self.log.reports.push(AcceptedReport {
            window,
            owner: call.owner.clone(),
            fence: call.fence,
            tallies,
            body: call.body.clone(),
            accepted_at: call.received_at,
            after_window_end: window_end.and_then(|end| call.received_at.checked_sub(end)),
        });
    }

    /// Returns the end of a window as the time since the Unix epoch, or `None` if it overflows.
    fn end_of(&self, window: u64) -> Option<Duration> {
        let window_millis = u64::try_from(self.rules.report_window.as_millis()).ok()?;
        let millis = window.checked_add(1)?.checked_mul(window_millis)?;
        Some(Duration::from_millis(millis))
    }

    fn add_violation(&mut self, violation: PlatformViolation) {
        self.log.violations.push(violation);
    }
}

/// The decoded body of a usage report.
struct Report {
    window: u64,
    tallies: BTreeMap<String, u64>,
}

impl Report {
    fn parse(body: &str) -> Option<Report> {
        let document: Value = serde_json::from_str(body).ok()?;
        let tallies = document.get("tallies")?.as_object()?.iter();
        Some(Report {
            window: document.get("epoch")?.as_u64()?,
            tallies: tallies
                .map(|(tenant, count)| Some((tenant.clone(), count.as_u64()?)))
                .collect::<Option<_>>()?,
        })
    }
}

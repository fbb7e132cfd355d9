//! What must hold, checked from each execution at each replica and each response at each client.
//!
//! | rule | what it says |
//! | --- | --- |
//! | *own-response-only* | a response with a seal is of an execution of this very request, with its body |
//! | *mutating-at-most-once* | a request that may not be repeated is executed at most once |
//! | *rejected-never-executed* | where a client got 503 with no seal, nothing of its request was executed |
//! | *no-ambiguous-connection* | nothing is written on a connection with an unanswered request or unread bytes |
//! | *key-never-forwarded* | no byte of a client's key, nor an `Authorization`, reaches a replica |
//! | *tenant-of-key* | a request reaches replicas only with the name of the tenant that has its key, and is rejected with 401 only if none has it |
//! | *complete-or-declared* | each request gets one response in time, complete or with the number of missing parts |

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::ops::AddAssign;
use std::time::Duration;

use linenthread_http::{Head, merge_top_records};
use tokio::time::Instant;

use crate::content::{PUBLIC_PREFIX, response_body};
use crate::deployment::{MERGED_BACKENDS, RECORD_LIMIT};
use crate::event_log::{Arrival, EventLog, Execution};
use crate::tenants::{Identity, KeyHistory};

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A response with a seal is of an execution of this very request, with its body.
    OwnResponseOnly,
    /// A request that may not be repeated is executed at most once.
    MutatingAtMostOnce,
    /// Where a client got 503 with no seal, nothing of its request was executed.
    RejectedNeverExecuted,
    /// Nothing is written on a connection with an unanswered request or unread bytes.
    NoAmbiguousConnection,
    /// No byte of a client's key reaches a replica.
    KeyNeverForwarded,
    /// A request reaches replicas only with the name of the tenant that has its key, and is rejected with 401 only if none
    /// has it. On public routes it may have none.
    TenantOfKey,
    /// Each request gets one response in time, which is complete or says how many parts are missing.
    CompleteOrDeclared,
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Rule::OwnResponseOnly => "own-response-only",
            Rule::MutatingAtMostOnce => "mutating-at-most-once",
            Rule::RejectedNeverExecuted => "rejected-never-executed",
            Rule::NoAmbiguousConnection => "no-ambiguous-connection",
            Rule::KeyNeverForwarded => "key-never-forwarded",
            Rule::TenantOfKey => "tenant-of-key",
            Rule::CompleteOrDeclared => "complete-or-declared",
        })
    }
}

/// A rule that was broken, and how.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What happened.
    pub cause: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.rule, self.cause)
    }
}

/// How many requests there were, and what became of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests that were sent.
    pub requests: usize,
    /// Successes of which nothing is missing.
    pub complete: usize,
    /// Merged responses of which parts are missing.
    pub partial: usize,
    /// Failures: 500 of a replica, or 502.
    pub failed: usize,
    /// 503 of the ingress node.
    pub rejected: usize,
    /// 401: no tenant has the key.
    pub unauthorized: usize,
    /// Requests whose client left.
    pub abandoned: usize,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.requests += other.requests;
        self.complete += other.complete;
        self.partial += other.partial;
        self.failed += other.failed;
        self.rejected += other.rejected;
        self.unauthorized += other.unauthorized;
        self.abandoned += other.abandoned;
    }
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// It may be executed once only.
    Mutating,
    /// It may be executed more than once.
    Idempotent,
    /// The same, and the responses of several backends are merged for it.
    Merged,
}

/// What a client gets.
pub(crate) struct ClientResponse {
    pub(crate) head: Head,
    pub(crate) body: Vec<u8>,
}

/// What a client requests.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) request_id: String,
    pub(crate) path: String,
    pub(crate) kind: RequestKind,
    pub(crate) identity: Identity,
    pub(crate) sent_at: Instant,
}

impl ClientRequest {
    fn is_public(&self) -> bool {
        self.path.starts_with(PUBLIC_PREFIX)
    }

    fn matches(&self, execution: &Execution) -> bool {
        execution.request_id == self.request_id && execution.path == self.path
    }
}

/// The checker of one simulation.
pub(crate) struct Checker {
    log: EventLog,
    keys: KeyHistory,
    violations: Vec<Violation>,
    counts: Counts,
    requests: Vec<ClientRequest>,
    /// Requests of which nothing may have been executed.
    rejected: Vec<String>,
}

impl Checker {
    /// Checks against this log, and by who has the keys.
    pub(crate) fn new(log: EventLog, keys: KeyHistory) -> Checker {
        Checker {
            log,
            keys,
            violations: Vec::new(),
            counts: Counts::default(),
            requests: Vec::new(),
            rejected: Vec::new(),
        }
    }

    pub(crate) fn counts(&self) -> Counts {
        self.counts
    }

    /// Notes a violation.
    pub(crate) fn add_violation(&mut self, rule: Rule, cause: String) {
        self.violations.push(Violation { rule, cause });
    }

    /// A client has sent a request.
    pub(crate) fn on_request(&mut self, request: &ClientRequest) {
        self.counts.requests += 1;
        self.requests.push(request.clone());
    }

    /// A client has left without waiting for its response.
    pub(crate) fn on_abandoned(&mut self) {
        self.counts.abandoned += 1;
    }

    /// A client got a response, so much later than it may arrive.
    pub(crate) fn on_response(
        &mut self,
        request: &ClientRequest,
        response: &ClientResponse,
        lateness: Duration,
    ) {
        let ClientResponse { head, body } = response;
        let id = &request.request_id;
        if !lateness.is_zero() {
            let cause = format!("{id} was answered {lateness:?} too late");
            self.add_violation(Rule::CompleteOrDeclared, cause);
        }
        let seal = head.header("x-replica-seal");
        let is_merged = request.kind == RequestKind::Merged;
        match (head.status(), is_merged, seal) {
            (200, true, _) => self.check_merged(request, head, body),
            (200..=299, false, Some(seal)) => {
                self.counts.complete += 1;
                if let Some(execution) = self.check_seal(request, seal) {
                    self.check_forwarded(request, head, body, &execution);
                }
            }
            (500, false, Some(seal)) => {
                self.counts.failed += 1;
                self.check_seal(request, seal);
            }
            (401, _, None) => self.check_unauthorized(request),
            (502, _, None) => self.counts.failed += 1,
            (503, _, None) => {
                self.counts.rejected += 1;
                self.rejected.push(id.clone());
            }
            (status, _, seal) => {
                let cause = format!("{id} got {status}, seal {seal:?}");
                self.add_violation(Rule::CompleteOrDeclared, cause);
            }
        }
    }

    /// A request was rejected since no tenant has its key, which was so at some time since it was sent. Nothing of it may
    /// have been executed.
    fn check_unauthorized(&mut self, request: &ClientRequest) {
        self.counts.unauthorized += 1;
        self.rejected.push(request.request_id.clone());
        let owners = self.key_owners_until(request, Instant::now());
        if request.is_public() || !owners.contains(&None) {
            let cause = format!("{} got 401, {:?}", request.request_id, request.identity);
            self.add_violation(Rule::TenantOfKey, cause);
        }
    }

    /// Who had the key of a request at some time since it was sent.
    fn key_owners_until(
        &self,
        request: &ClientRequest,
        until: Instant,
    ) -> Vec<Option<&'static str>> {
        let credentials = request.identity.credentials;
        self.keys
            .owners_between(credentials, request.sent_at, until)
    }

    /// A request as it reached a replica.
    fn check_arrival(&mut self, request: &ClientRequest, arrival: &Arrival) {
        let owners = self.key_owners_until(request, arrival.at);
        let is_allowed = match arrival.tenants.as_slice() {
            [] => request.is_public() && owners.contains(&None),
            [tenant] => owners.contains(&Some(tenant.as_str())),
            _ => false,
        };
        if !is_allowed {
            let cause = format!("{arrival:?} of {owners:?}, {:?}", request.identity);
            self.add_violation(Rule::TenantOfKey, cause);
        }
    }

    /// The connection ended, or stalled, where a response was due.
    pub(crate) fn on_missing_response(&mut self, request: &ClientRequest, cause: &str) {
        let cause = format!("{} got no response: {cause}", request.request_id);
        self.add_violation(Rule::CompleteOrDeclared, cause);
    }

    /// The execution whose seal a response has, if that is of the request.
    fn check_seal(&mut self, request: &ClientRequest, seal: &str) -> Option<Execution> {
        let execution = self.log.execution_by_seal(seal);
        let own = execution.filter(|execution| request.matches(execution));
        if own.is_none() {
            let cause = format!("{} got the seal {seal}", request.request_id);
            self.add_violation(Rule::OwnResponseOnly, cause);
        }
        own
    }

    /// A replica's response as it arrived.
    fn check_forwarded(
        &mut self,
        request: &ClientRequest,
        head: &Head,
        body: &[u8],
        execution: &Execution,
    ) {
        let id = &request.request_id;
        if head.header("x-attempt-id") != Some(id) {
            let cause = format!("{id} got a response with another id");
            self.add_violation(Rule::OwnResponseOnly, cause);
        }
        if body != response_body(&execution.backend, &execution.path, &execution.request_id) {
            let cause = format!("{id} got another body");
            self.add_violation(Rule::CompleteOrDeclared, cause);
        }
    }

    /// A response merged from parts.
    fn check_merged(&mut self, request: &ClientRequest, head: &Head, body: &[u8]) {
        let id = &request.request_id;
        let seals: Vec<&str> = head
            .header("x-part-seals")
            .unwrap_or_default()
            .split(", ")
            .collect();
        let missing = head
            .header("x-missing-parts")
            .and_then(|missing| missing.parse::<usize>().ok());
        match missing {
            Some(0) => self.counts.complete += 1,
            _ => self.counts.partial += 1,
        }
        if missing != Some(MERGED_BACKENDS.len().saturating_sub(seals.len())) {
            let cause = format!("{id} was told that {missing:?} parts are missing");
            self.add_violation(Rule::CompleteOrDeclared, cause);
        }
        let backends: BTreeSet<String> = seals
            .iter()
            .filter_map(|seal| self.check_seal(request, seal))
            .map(|execution| execution.backend)
            .collect();
        let parts: Vec<Vec<u8>> = backends
            .iter()
            .map(|backend| response_body(backend, &request.path, id))
            .collect();
        if body != merge_top_records(parts.iter().map(Vec::as_slice), RECORD_LIMIT) {
            let cause = format!("{id} got other records");
            self.add_violation(Rule::OwnResponseOnly, cause);
        }
    }

    /// Checks the requests as they reached replicas.
    fn check_arrivals(&mut self, requests: &[ClientRequest]) {
        let by_id: HashMap<&str, &ClientRequest> = requests
            .iter()
            .map(|request| (request.request_id.as_str(), request))
            .collect();
        for arrival in self.log.take_arrivals() {
            match by_id.get(arrival.request_id.as_str()) {
                Some(request) => self.check_arrival(request, &arrival),
                None => self.add_violation(Rule::TenantOfKey, format!("nobody sent {arrival:?}")),
            }
        }
    }

    /// Checks what can only be checked at the end; all violations.
    pub(crate) fn finish(&mut self) -> Vec<Violation> {
        for request_id in std::mem::take(&mut self.rejected) {
            let executions = self.log.executions_of(&request_id);
            if executions > 0 {
                let cause = format!("{request_id} was rejected and executed {executions} times");
                self.add_violation(Rule::RejectedNeverExecuted, cause);
            }
        }
        for cause in self.log.take_misused_connections() {
            self.add_violation(Rule::NoAmbiguousConnection, cause);
        }
        for cause in self.log.take_leaked_keys() {
            self.add_violation(Rule::KeyNeverForwarded, cause);
        }
        let requests = std::mem::take(&mut self.requests);
        self.check_arrivals(&requests);
        for request in requests {
            let executions = self.log.executions_of(&request.request_id);
            if request.kind == RequestKind::Mutating && executions > 1 {
                let cause = format!("{} was executed {executions} times", request.request_id);
                self.add_violation(Rule::MutatingAtMostOnce, cause);
            }
        }
        std::mem::take(&mut self.violations)
    }
}

//! Checks the rules that the data plane must obey, using the executions at replicas and the responses at clients.
//!
//! | rule | meaning |
//! | --- | --- |
//! | *own-response-only* | a response with a seal belongs to an execution of the same request and has its body |
//! | *mutating-at-most-once* | a request that must not be repeated is executed at most once |
//! | *rejected-never-executed* | if a client gets 401 or 503 without a seal, no attempt of its request was executed |
//! | *no-ambiguous-connection* | nothing is written on a connection with an unanswered request or unread bytes |
//! | *key-never-forwarded* | neither a byte of a client's key nor an `Authorization` header reaches a replica |
//! | *tenant-of-key* | a request reaches replicas only with the name of the tenant that owns its key, and is rejected with 401 only if no tenant owns it |
//! | *complete-or-declared* | each request gets one response in time, which is complete or states the number of missing parts |
//! | *answered-before-exit* | at a planned shutdown, each request that was read gets its response before the process exits |

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

/// A request that was written this long before its connection ended was read.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(200);

/// A rule that the data plane must obey.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A response with a seal belongs to an execution of the same request and has its body.
    OwnResponseOnly,
    /// A request that must not be repeated is executed at most once.
    MutatingAtMostOnce,
    /// If a client gets 401 or 503 without a seal, no attempt of its request was executed.
    RejectedNeverExecuted,
    /// Nothing is written on a connection with an unanswered request or unread bytes.
    NoAmbiguousConnection,
    /// Neither a byte of a client's key nor an `Authorization` header reaches a replica.
    KeyNeverForwarded,
    /// A request reaches replicas only with the name of the tenant that owns its key, and is rejected with 401 only if
    /// no tenant owns it. On public routes it may come without a key that a tenant owns, and is then forwarded without
    /// a name.
    TenantOfKey,
    /// Each request gets one response in time, which is complete or states the number of missing parts.
    CompleteOrDeclared,
    /// At a planned shutdown, each request that was read gets its response before the process exits.
    AnsweredBeforeExit,
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
            Rule::AnsweredBeforeExit => "answered-before-exit",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Description of the violation.
    pub cause: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.rule, self.cause)
    }
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests that were sent.
    pub requests: usize,
    /// Successful responses without missing parts.
    pub complete: usize,
    /// Merged responses with missing parts.
    pub partial: usize,
    /// Failures: 500 from a replica, or 502.
    pub failed: usize,
    /// Responses with 503 from the ingress node.
    pub rejected: usize,
    /// Responses with 401, for keys that no tenant owns.
    pub unauthorized: usize,
    /// Requests whose client gave up before the response.
    pub abandoned: usize,
    /// Requests whose connection ended at a shutdown before they were read.
    pub unread: usize,
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
        self.unread += other.unread;
    }
}

/// How a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// At most once.
    Mutating,
    /// Any number of times.
    Idempotent,
    /// Any number of times. The responses of several backends are merged.
    Merged,
}

/// A response as received by a client.
pub(crate) struct ClientResponse {
    pub(crate) head: Head,
    pub(crate) body: Vec<u8>,
}

/// A request as sent by a client.
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

/// Checks the rules in one simulation.
pub(crate) struct Checker {
    log: EventLog,
    keys: KeyHistory,
    violations: Vec<Violation>,
    counts: Counts,
    requests: Vec<ClientRequest>,
    /// Ids of requests that must not have been executed.
    rejected: Vec<String>,
    /// Ids of requests whose connection ended at a shutdown and that must not have arrived at a replica.
    unread: Vec<String>,
}

impl Checker {
    /// Creates a checker that uses the executions in `log` and the key owners in `keys`.
    pub(crate) fn new(log: EventLog, keys: KeyHistory) -> Checker {
        Checker {
            log,
            keys,
            violations: Vec::new(),
            counts: Counts::default(),
            requests: Vec::new(),
            rejected: Vec::new(),
            unread: Vec::new(),
        }
    }

    pub(crate) fn counts(&self) -> Counts {
        self.counts
    }

    pub(crate) fn add_violation(&mut self, rule: Rule, cause: String) {
        self.violations.push(Violation { rule, cause });
    }

    /// Records a request that a client has sent.
    pub(crate) fn on_request(&mut self, request: &ClientRequest) {
        self.counts.requests += 1;
        self.requests.push(request.clone());
    }

    /// Records that a client gave up before its response arrived.
    pub(crate) fn on_abandoned(&mut self) {
        self.counts.abandoned += 1;
    }

    /// Checks a response. `lateness` is the time by which it exceeded its deadline; zero if it was in time.
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

    /// Checks a response with 401: the route must not be public, and the key must have had no owner at some time since
    /// the request was sent. No attempt of the request may have been executed, which is checked at the end.
    fn check_unauthorized(&mut self, request: &ClientRequest) {
        self.counts.unauthorized += 1;
        self.rejected.push(request.request_id.clone());
        let owners = self.key_owners_until(request, Instant::now());
        if request.is_public() || !owners.contains(&None) {
            let cause = format!("{} got 401, {:?}", request.request_id, request.identity);
            self.add_violation(Rule::TenantOfKey, cause);
        }
    }

    /// Returns the owners of the key of a request between the time when it was sent and `until`. `None` means no owner.
    fn key_owners_until(
        &self,
        request: &ClientRequest,
        until: Instant,
    ) -> Vec<Option<&'static str>> {
        let credentials = request.identity.credentials;
        self.keys
            .owners_between(credentials, request.sent_at, until)
    }

    /// Checks the tenant of a request that arrived at a replica.
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

    /// Records that a connection ended at a shutdown before a response arrived. `pending` is the time since the last byte
    /// of the request was written; `None` if not all of it was accepted.
    pub(crate) fn on_closed_at_shutdown(
        &mut self,
        request: &ClientRequest,
        pending: Option<Duration>,
    ) {
        self.counts.unread += 1;
        self.unread.push(request.request_id.clone());
        if let Some(pending) = pending.filter(|pending| *pending > MAX_UNREAD_TIME) {
            let cause = format!("{} got no response within {pending:?}", request.request_id);
            self.add_violation(Rule::AnsweredBeforeExit, cause);
        }
    }

    /// Records that a connection ended or stalled before a response arrived.
    pub(crate) fn on_missing_response(&mut self, request: &ClientRequest, cause: &str) {
        let cause = format!("{} got no response: {cause}", request.request_id);
        self.add_violation(Rule::CompleteOrDeclared, cause);
    }

    /// Returns the execution that the seal of a response identifies. Reports a violation if that is not an execution of
    /// this request.
    fn check_seal(&mut self, request: &ClientRequest, seal: &str) -> Option<Execution> {
        let execution = self.log.execution_by_seal(seal);
        let matching = execution.filter(|execution| request.matches(execution));
        if matching.is_none() {
            let cause = format!("{} got the seal {seal}", request.request_id);
            self.add_violation(Rule::OwnResponseOnly, cause);
        }
        matching
    }

    /// Checks the id and the body of a replica's response that was forwarded to a client.
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

    /// Checks a merged response.
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

    /// Checks all requests that arrived at replicas.
    fn check_arrivals(&mut self, requests: &[ClientRequest]) {
        let by_id: HashMap<&str, &ClientRequest> = requests
            .iter()
            .map(|request| (request.request_id.as_str(), request))
            .collect();
        let unread: BTreeSet<String> = std::mem::take(&mut self.unread).into_iter().collect();
        for arrival in self.log.take_arrivals() {
            if unread.contains(&arrival.request_id) {
                let cause = format!(
                    "{} was sent to a replica and got no response",
                    arrival.request_id
                );
                self.add_violation(Rule::AnsweredBeforeExit, cause);
            }
            match by_id.get(arrival.request_id.as_str()) {
                Some(request) => self.check_arrival(request, &arrival),
                None => self.add_violation(Rule::TenantOfKey, format!("nobody sent {arrival:?}")),
            }
        }
    }

    /// Performs the checks that need the complete execution, and returns all violations.
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

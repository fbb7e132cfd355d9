//! Which requests count as usage.

use crate::outcome::SendState;

/// How often a request counts towards its tenant's usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageRule {
    /// Once, regardless of how many of its attempts may have run.
    OncePerRequest,
    /// Once per attempt that may have run: retries, hedges and the sub-requests of a fan-out.
    OncePerAttempt,
}

impl UsageRule {
    /// The rule that this version applies.
    pub const CURRENT: UsageRule = UsageRule::OncePerRequest;
}

/// Returns how many requests to count for an attempt that ended in `send_state`. `earlier` is the number of attempts
/// of the same request that have already ended and may have run.
pub fn requests_to_count(rule: UsageRule, send_state: SendState, earlier: usize) -> u64 {
    let is_counted = match rule {
        UsageRule::OncePerRequest => earlier == 0,
        UsageRule::OncePerAttempt => true,
    };
    u64::from(is_counted && send_state == SendState::MayHaveRun)
}

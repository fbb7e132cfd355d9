//! The retry budget of the cluster, and the shares of it that may be in use.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_time::Instant;

use crate::IngressIncarnation;

/// How long a grant may be used, counted from when the ingress node requested it.
pub(crate) const GRANT_LIFETIME: Duration = Duration::from_millis(5_000);

/// A grant that may still be in use.
#[derive(Clone, Copy)]
struct Grant {
    /// The number of retries in any window.
    share: f64,
    /// The end of the time in which retries under the grant may fall into a window.
    in_use_until: Instant,
}

/// The grants of one incarnation of an ingress node.
#[derive(Default)]
struct Grantee {
    grants: Vec<Grant>,
}

impl Grantee {
    /// Returns the largest share of the selected grants: only one of them is used at a time.
    fn max_share(&self, is_selected: impl Fn(&Grant) -> bool) -> f64 {
        self.grants
            .iter()
            .filter(|grant| is_selected(grant))
            .map(|grant| grant.share)
            .fold(0.0, f64::max)
    }
}

/// Whether grants that this process did not make may still be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierGrants {
    /// There was no earlier leader.
    None,
    /// An earlier leader may have granted the whole allowance.
    MayBeInUse,
}

/// The shares of the retry allowance that the leader has granted, where the allowance is the number of retries that all
/// ingress nodes together may make in any window. The sum of the shares that may be in use never exceeds the allowance
/// (rule *grants-within-allowance*).
pub struct RetryBudget {
    allowance: f64,
    window: Duration,
    /// Nothing is granted before this instant: grants of an earlier leader may be in use.
    available_from: Instant,
    grantees: BTreeMap<IngressIncarnation, Grantee>,
}

impl RetryBudget {
    /// Creates a budget of `allowance` retries in any `window`. Nothing is granted before
    /// [`RetryBudget::start_granting`].
    pub fn new(allowance: f64, window: Duration) -> RetryBudget {
        RetryBudget {
            allowance,
            window,
            available_from: Instant::NEVER,
            grantees: BTreeMap::new(),
        }
    }

    /// Makes this node the one that grants from the budget, from `now` on.
    pub fn start_granting(&mut self, now: Instant, earlier: EarlierGrants) {
        self.available_from = match earlier {
            EarlierGrants::None => now,
            EarlierGrants::MayBeInUse => now + GRANT_LIFETIME + self.window,
        };
        self.grantees.clear();
    }

    /// Grants a share to one incarnation of an ingress node, out of `ingress_count` ingress nodes, and returns it as
    /// the number of retries in any window; 0 if nothing is available.
    pub fn grant(
        &mut self,
        now: Instant,
        ingress: &IngressIncarnation,
        ingress_count: usize,
    ) -> f64 {
        if now < self.available_from {
            return 0.0;
        }
        self.grantees.retain(|_, grantee| {
            grantee.grants.retain(|grant| grant.in_use_until > now);
            !grantee.grants.is_empty()
        });
        let others: f64 = self
            .grantees
            .iter()
            .filter(|(other, _)| *other != ingress)
            .map(|(_, grantee)| grantee.max_share(|_| true))
            .sum();
        // Leaves a share for one more ingress node: the old share of a restarted node remains in use for a while.
        let share = (self.allowance / (ingress_count + 1) as f64)
            .min(self.allowance - others)
            .max(0.0);
        let grants = &mut self.grantees.entry(ingress.clone()).or_default().grants;
        grants.retain(|grant| grant.share > share);
        grants.push(Grant {
            share,
            in_use_until: now + GRANT_LIFETIME + self.window,
        });
        share
    }

    /// Returns how many retries in any window may be in use under all grants.
    pub fn total_granted(&self, now: Instant) -> f64 {
        self.grantees
            .values()
            .map(|grantee| grantee.max_share(|grant| grant.in_use_until > now))
            .sum()
    }
}

//! Fault scenarios: each starts its own cluster, injects one kind of fault at random moments, and checks what callers
//! see.
//!
//! Scenarios are grouped by points. Points 1 to 5 are failures that users reported from systems of this kind; point 6
//! is about the keys of tenants, which also change in the scenarios of points 1 to 4; point 7 is about the reports of
//! their usage. The module of each scenario documents its fault and what must hold; a [`Violation`] contains the
//! invariant as the check states it.
//!
//! `linenthread-demo rounds` prints the seed and the point of each scenario. `linenthread-demo rounds --seed N --point P`
//! draws the same faults at the same moments again; the timing of real processes and sockets may differ.

mod catch_up;
mod conflicting_orders;
mod context;
mod faulty_replicas;
mod findings;
mod key_watch;
mod late_retry;
mod lost_quorum;
mod paused_node;
mod platform_trouble;
mod replacement;
mod revoked_keys;
mod rolling_restart;
mod scale;
mod setup;
mod usage_reports;

use std::path::Path;

use oorandom::Rand64;

use crate::error::DemoError;
use crate::transcript::Transcript;
use context::Context;
use replacement::Loss;

pub use findings::{Findings, Violation};
pub use scale::Scale;

/// A fault scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Point 1: a control node is paused for longer than every lease, and calls are pending when it resumes.
    PausedNode,
    /// Point 1: two of three control nodes are paused.
    LostQuorum,
    /// Point 2: two operators send different orders of one revision.
    ConflictingOrders,
    /// Point 2: committed orders are sent again after many later ones.
    LateRetry,
    /// Point 3: a control node is replaced as planned, and another one loses its disk right after the shutdown.
    LossAfterReplacement,
    /// Point 3: a control node is replaced as planned, and another one loses its disk at a random moment within 3 s of
    /// the request to shut down.
    LossDuringReplacement,
    /// Point 3: all control nodes are restarted one after another while orders are sent.
    RollingRestart,
    /// Point 4: a control node is started again after it missed many changes.
    CatchUp,
    /// Point 5: replicas send duplicate, late, truncated or misattributed responses, some without id, or none.
    FaultyReplicas,
    /// Point 6: keys of connected clients are revoked, added, and moved to other tenants.
    RevokedKeys,
    /// Point 7: the control node that reports usage is killed, and its successor is paused.
    UsageReports,
    /// Point 7: the platform fails in several ways, and the control node that reports usage is killed meanwhile.
    PlatformTrouble,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 12] = [
        Scenario::PausedNode,
        Scenario::LostQuorum,
        Scenario::ConflictingOrders,
        Scenario::LateRetry,
        Scenario::LossAfterReplacement,
        Scenario::LossDuringReplacement,
        Scenario::RollingRestart,
        Scenario::CatchUp,
        Scenario::FaultyReplicas,
        Scenario::RevokedKeys,
        Scenario::UsageReports,
        Scenario::PlatformTrouble,
    ];

    /// Returns the point, 1 to 7, that the scenario belongs to.
    pub fn point(self) -> u8 {
        match self {
            Scenario::PausedNode | Scenario::LostQuorum => 1,
            Scenario::ConflictingOrders | Scenario::LateRetry => 2,
            Scenario::LossAfterReplacement
            | Scenario::LossDuringReplacement
            | Scenario::RollingRestart => 3,
            Scenario::CatchUp => 4,
            Scenario::FaultyReplicas => 5,
            Scenario::RevokedKeys => 6,
            Scenario::UsageReports | Scenario::PlatformTrouble => 7,
        }
    }

    /// Runs the scenario once on processes of this program. If an invariant did not hold, or the cluster did not start,
    /// prints the output of all processes to standard error.
    ///
    /// # Errors
    /// The cluster could not be started.
    pub fn run(
        self,
        program: &Path,
        scale: &Scale,
        random: &mut Rand64,
    ) -> Result<Findings, DemoError> {
        let transcript = Transcript::default();
        let found = self.run_in(&mut Context {
            program,
            scale,
            random,
            transcript: transcript.clone(),
        });
        let all_hold = found
            .as_ref()
            .is_ok_and(|findings| findings.violations.is_empty());
        if !all_hold {
            transcript.show();
        }
        found
    }

    fn run_in(self, context: &mut Context<'_>) -> Result<Findings, DemoError> {
        match self {
            Scenario::PausedNode => paused_node::run(context),
            Scenario::LostQuorum => lost_quorum::run(context),
            Scenario::ConflictingOrders => conflicting_orders::run(context),
            Scenario::LateRetry => late_retry::run(context),
            Scenario::LossAfterReplacement => replacement::run(context, Loss::AfterShutdown),
            Scenario::LossDuringReplacement => replacement::run(context, Loss::DuringShutdown),
            Scenario::RollingRestart => rolling_restart::run(context),
            Scenario::CatchUp => catch_up::run(context),
            Scenario::FaultyReplicas => faulty_replicas::run(context),
            Scenario::RevokedKeys => revoked_keys::run(context),
            Scenario::UsageReports => usage_reports::run(context),
            Scenario::PlatformTrouble => platform_trouble::run(context),
        }
    }
}

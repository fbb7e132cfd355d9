//! Point 7: the platform is down, silent, busy or slow, resets connections or loses responses, in a random order, and
//! the node that reports usage is killed and started again meanwhile. All missed reports must be sent afterwards, and the
//! rules for reports hold as without faults, except that reports may be late.

use std::time::Duration;

use linenthread_fakes::platform::{FakePlatform, PlatformMode};

use super::context::Context;
use super::findings::Findings;
use super::scale::RECOVERY_TIMEOUT;
use super::setup::{draw_duration, draw_index};
use super::usage_reports::{check_reports_continue, last_reporter, restart, run_with};
use crate::cluster::Cluster;
use crate::error::DemoError;

/// How long each fault lasts: longer than a node waits for a response.
const FAULT_DURATION: Duration = Duration::from_secs(4);
/// The additional delay of each response of a slow platform.
const RESPONSE_DELAY: Duration = Duration::from_millis(900);
const MODES: [PlatformMode; 6] = [
    PlatformMode::Slow(RESPONSE_DELAY),
    PlatformMode::ResponseLost,
    PlatformMode::Silent,
    PlatformMode::Busy,
    PlatformMode::Reset,
    PlatformMode::Down,
];

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    // Reports may be late by the duration of all faults and the time to send the missed ones.
    let allowed_delay = MODES.iter().map(|_| FAULT_DURATION).sum::<Duration>() + RECOVERY_TIMEOUT;
    run_with(context, allowed_delay, inject_platform_faults)
}

fn inject_platform_faults(
    findings: &mut Findings,
    cluster: &mut Cluster,
    platform: &FakePlatform,
    context: &mut Context<'_>,
) -> Result<(), DemoError> {
    let kill_index = draw_index(0, MODES.len(), context.random);
    let mut modes = MODES.to_vec();
    let mut past_modes = Vec::new();
    while !modes.is_empty() {
        let mode = modes.remove(draw_index(0, modes.len(), context.random));
        platform.set_mode(mode);
        let kill_delay = draw_duration(FAULT_DURATION, context.random);
        std::thread::sleep(kill_delay);
        if past_modes.len() == kill_index
            && let Some(killed) = last_reporter(platform)
        {
            cluster.kill(&killed);
            findings.add_note(format!(
                "{killed} was killed while the platform was {mode:?}"
            ));
            restart(findings, cluster, &killed)?;
        }
        std::thread::sleep(FAULT_DURATION.saturating_sub(kill_delay));
        past_modes.push(mode);
    }
    platform.set_mode(PlatformMode::Healthy);
    findings.add_note(format!("modes of the platform: {past_modes:?}"));
    check_reports_continue(findings, platform);
    Ok(())
}

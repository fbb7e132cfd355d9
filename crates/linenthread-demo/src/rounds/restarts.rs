//! Point 3: all control nodes are restarted one after another in any order, as planned, while orders go on.

use std::path::Path;
use std::time::Duration;

use oorandom::Rand64;

use crate::Signal;
use crate::operator::Writer;
use crate::rounds::Findings;
use crate::rounds::setup::{
    SERVICES, check_next_order, check_written, draw_one, draw_time, started,
};

/// A node that was asked to end has ended within its grace and a second.
const GRACE: Duration = Duration::from_secs(7);
/// A node that was started again is in touch and has the newest value within this time.
const BACK: Duration = Duration::from_secs(6);
/// Between two restarts at most.
const APART: Duration = Duration::from_millis(500);
/// Between two orders.
const PAUSE: Duration = Duration::from_millis(30);

pub(super) fn play(program: &Path, random: &mut Rand64) -> std::io::Result<Findings> {
    let mut findings = Findings::default();
    let (mut cluster, first) = started(program, 3, 1)?;
    let writer = Writer::start(cluster.control(), first, &SERVICES, PAUSE);
    let mut waiting = cluster.control_names();
    while !waiting.is_empty() {
        let (name, others) = draw_one(&waiting, random);
        waiting = others;
        std::thread::sleep(draw_time(APART, random));
        cluster.signal(&name, Signal::Terminate);
        let ended = cluster.wait_end(&name, GRACE);
        findings.check(
            ended == Some(true),
            "a node that is asked to end ends well in its grace",
            || format!("{name}: {ended:?}"),
        );
        cluster.run(&name)?;
        let back = cluster.wait_members(&name, BACK, |m| {
            m["whole"] == true && m["revision"].as_u64().is_some_and(|r| r > 0)
        });
        findings.check(
            back,
            "a node that was restarted is in touch within the bound",
            || name.clone(),
        );
    }
    let Some(written) = writer.stop() else {
        return Ok(findings);
    };
    check_written(&mut findings, &written, &cluster.control());
    check_next_order(&mut findings, &written, &cluster.control());
    Ok(findings)
}

//! Point 3: a control node is replaced as planned: a new one joins with an empty disk, the old one is asked
//! to end. Right after its end, or at any instant of it, another one is killed and its disk lost.

use std::path::Path;
use std::time::Duration;

use oorandom::Rand64;

use crate::operator::{Writer, read_anywhere};
use crate::rounds::setup::{
    SERVICES, check_next_order, check_written, draw_one, draw_time, started, words,
};
use crate::rounds::{BOUND, Findings};
use crate::{Cluster, Signal};

/// When the other node is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    AfterEnd,
    AnyTime,
}

/// A new node is in touch, or counted, within this time.
const JOIN: Duration = Duration::from_secs(10);
/// A node that was asked to end has ended within its grace (`limits_table.grace_s`) and a second.
const GRACE: Duration = Duration::from_secs(7);
/// A loss at any instant comes up to so long after the old node was asked to end.
const WINDOW: Duration = Duration::from_secs(3);
/// What control nodes log of a replacement.
const REPLACEMENT_EVENTS: [&str; 4] = [
    "event=voters_changed",
    "event=shutdown_complete",
    "event=stopping",
    "event=stopped",
];
/// Between two orders.
const PAUSE: Duration = Duration::from_millis(30);

pub(super) fn play(program: &Path, loss: Loss, random: &mut Rand64) -> std::io::Result<Findings> {
    let mut findings = Findings::default();
    let (mut cluster, first) = started(program, 3, 1)?;
    let (leaving, rest) = draw_one(&cluster.control_names(), random);
    let (lost, rest) = draw_one(&rest, random);
    let writer = Writer::start(cluster.control(), first, &SERVICES, PAUSE);
    let joined = cluster.add_control_node()?;
    writer.know(cluster.control());
    let ready = is_in_touch(&cluster, &rest[0], &joined);
    findings.check(ready, "the new node is in touch and serves reads", || {
        joined.clone()
    });

    cluster.signal(&leaving, Signal::Terminate);
    if loss == Loss::AfterEnd {
        check_end(&mut findings, &mut cluster, &leaving);
    } else {
        std::thread::sleep(draw_time(WINDOW, random));
    }
    cluster.kill(&lost);
    cluster.wipe(&lost)?;
    let survivors = cluster.control_without(&[&leaving, &lost]);
    writer.know(survivors.clone());
    if loss == Loss::AnyTime {
        check_end(&mut findings, &mut cluster, &leaving);
    }
    let Some(written) = writer.stop() else {
        return Ok(findings);
    };
    check_written(&mut findings, &written, &survivors);
    let next = check_next_order(&mut findings, &written, &survivors);
    let counted = is_counted(&cluster, &rest[0], &joined, true);
    findings.check(
        counted,
        "the new node is counted in the place of one that is gone",
        || joined.clone(),
    );
    findings.note(format!(
        "{leaving} was replaced by {joined}, {lost} was lost"
    ));
    for name in [&leaving, &joined, &rest[0]] {
        for line in cluster.lines_of(name, &REPLACEMENT_EVENTS) {
            findings.note(format!("{name}: {line}"));
        }
    }

    cluster.run(&lost)?;
    let counted = is_counted(&cluster, &rest[0], &lost, true);
    findings.check(
        counted,
        "the node that lost its disk is counted again",
        || lost.clone(),
    );
    // With two machines gone and one successor one of them stays in the set, until there is another successor.
    let off = is_counted(&cluster, &rest[0], &leaving, false);
    findings.check(off, "the old node is not counted any more", || {
        leaving.clone()
    });
    let back: Vec<_> = cluster.control_of(&lost).into_iter().collect();
    let seen = read_anywhere(&back, BOUND);
    findings.check(
        seen.body == next.document,
        "the node that lost its disk reads the newest",
        || words(&seen),
    );
    Ok(findings)
}

/// Whether a new node has a session with another one, is in contact, and answers a read, in time.
fn is_in_touch(cluster: &Cluster, asked: &str, name: &str) -> bool {
    let Some(peer) = cluster.control_of(name) else {
        return false;
    };
    let address = peer.to_string();
    let known = cluster.wait_members(asked, JOIN, |members| {
        members["hubs"]
            .as_array()
            .is_some_and(|all| all.iter().any(|peer| peer["control"] == *address))
    });
    known
        && cluster.wait_members(name, JOIN, |m| m["whole"] == true)
        && read_anywhere(&[peer], BOUND).is(200)
}

/// Whether a node's address is among the counted ones, or is not, as another one knows them, in time.
fn is_counted(cluster: &Cluster, asked: &str, name: &str, wanted: bool) -> bool {
    let Some(address) = cluster.control_of(name) else {
        return false;
    };
    let address = address.to_string();
    cluster.wait_members(asked, JOIN, |members| {
        members["counted"]
            .as_array()
            .is_some_and(|all| all.iter().any(|a| *a == *address) == wanted)
    })
}

fn check_end(findings: &mut Findings, cluster: &mut Cluster, leaving: &str) {
    let ended = cluster.wait_end(leaving, GRACE);
    findings.check(
        ended == Some(true),
        "a node that is asked to end ends well in its grace",
        || format!("{leaving}: {ended:?}"),
    );
}

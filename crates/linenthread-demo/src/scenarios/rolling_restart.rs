//! Point 3: all control nodes are shut down and restarted one after another, in a random order, while orders are sent.

use std::time::Duration;

use super::context::Context;
use super::findings::Findings;
use super::key_watch::{KeyWatch, check_keys};
use super::setup::{
    SERVICES, check_next_order, check_report, check_shutdown, draw_duration, draw_one,
    start_cluster,
};
use crate::error::DemoError;
use crate::machine::Signal;
use crate::writer::Writer;

/// The time within which a restarted node has a quorum and a configuration.
const RESTART_TIMEOUT: Duration = Duration::from_secs(6);
/// The longest pause before the next restart.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// The pause after each acknowledged order.
const ORDER_INTERVAL: Duration = Duration::from_millis(30);

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let (mut cluster, first) = start_cluster(context)?;
    let keys = KeyWatch::start(&cluster, &first);
    let writer = Writer::start(
        cluster.control_addresses(),
        first,
        &SERVICES,
        ORDER_INTERVAL,
    );
    let mut remaining = cluster.control_names();
    while !remaining.is_empty() {
        let (name, others) = draw_one(&remaining, context.random);
        remaining = others;
        std::thread::sleep(draw_duration(MAX_DELAY, context.random));
        cluster.signal(&name, Signal::Terminate);
        check_shutdown(&mut findings, &mut cluster, &name);
        cluster.start_process(&name)?;
        let is_back = cluster.wait_for_members(&name, RESTART_TIMEOUT, |members| {
            members.quorum && members.revision > 0
        });
        findings.check(
            is_back,
            "a restarted node is connected within the bound",
            || name.clone(),
        );
    }
    if let Some(report) = writer.stop() {
        check_report(&mut findings, &report, &cluster.control_addresses());
        let next = check_next_order(&mut findings, &report, &cluster.control_addresses());
        check_keys(&mut findings, &cluster, &next);
    }
    keys.check(&mut findings, &mut cluster);
    Ok(findings)
}

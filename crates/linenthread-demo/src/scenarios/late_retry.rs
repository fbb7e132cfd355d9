//! Point 2: committed orders are sent again to every control node after many later ones, before and after a restart of
//! all control nodes. None may be rejected.

use linenthread_ctl::control_api::OK;

use super::context::Context;
use super::findings::Findings;
use super::key_watch::{KeyWatch, check_keys};
use super::scale::RECOVERY_TIMEOUT;
use super::setup::{SERVICES, describe, draw_index, restart_all, start_cluster};
use crate::client::{CALL_TIMEOUT, read_at_any, replace_at, replace_at_any};
use crate::cluster::Cluster;
use crate::error::DemoError;
use crate::order::Order;

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let (mut cluster, first) = start_cluster(context)?;
    let keys = KeyWatch::start(&cluster, &first);
    let mut last = first.clone();
    let mut orders = vec![first];
    for _ in 0..context.scale.later_orders {
        let order = last.next(&SERVICES);
        let outcome = replace_at_any(&cluster.control_addresses(), &order, RECOVERY_TIMEOUT);
        findings.check(
            outcome.has_status(OK),
            "an order is acknowledged within the bound",
            || describe(&outcome),
        );
        if !outcome.has_status(OK) {
            return Ok(findings);
        }
        last = order.clone();
        orders.push(order);
    }
    let drawn = draw_index(1, orders.len(), context.random);
    let retries = [&orders[0], &orders[1], &orders[drawn], &last];
    check_retries(&mut findings, &cluster, &retries);
    restart_all(&mut cluster)?;
    check_retries(&mut findings, &cluster, &retries);
    let read = read_at_any(&cluster.control_addresses(), RECOVERY_TIMEOUT);
    findings.check(
        read.body == last.document,
        "the newest configuration reads back",
        || describe(&read),
    );
    check_keys(&mut findings, &cluster, &last);
    keys.check(&mut findings, &mut cluster);
    Ok(findings)
}

fn check_retries(findings: &mut Findings, cluster: &Cluster, orders: &[&Order]) {
    for peer in cluster.control_addresses() {
        for order in orders {
            let outcome = replace_at(peer, order, CALL_TIMEOUT);
            findings.check(
                outcome.is_or_not_final(OK),
                "a committed order is never rejected",
                || {
                    format!(
                        "revision {} at {peer}: {}",
                        order.revision,
                        describe(&outcome)
                    )
                },
            );
        }
    }
}

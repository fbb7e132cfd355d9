//! Set-up of clusters, random draws and checks that several scenarios share.

use std::net::SocketAddr;
use std::time::Duration;

use linenthread_ctl::control_api::OK;
use oorandom::Rand64;

use super::context::Context;
use super::findings::Findings;
use super::scale::RECOVERY_TIMEOUT;
use crate::client::{CallOutcome, read_at_any, replace_at_any};
use crate::cluster::Cluster;
use crate::error::{DemoError, NotReadySnafu};
use crate::order::Order;
use crate::writer::WriterReport;

pub(super) const SERVICES: [&str; 2] = ["s1", "s2"];
/// The ingress node of clusters that have only one.
pub(super) const INGRESS: &str = "ingress-1";
/// The time within which processes have started and connected.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The time within which a control node exits: its grace period (`limits_table.grace_s`) and a second.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(7);
/// The number of replicas of each service.
const REPLICAS: usize = 2;
/// The status of the response to a query with a key that no tenant has.
pub(super) const UNAUTHORIZED: u16 = 401;
/// The number of characters of a response's body that [`describe`] prints.
const SHOWN_BODY_CHARS: usize = 60;

/// Starts a cluster of three control nodes, an ingress node and replicas, and sends the first order; returns the
/// cluster and the order once the ingress node has applied it.
pub(super) fn start_cluster(context: &Context<'_>) -> Result<(Cluster, Order), DemoError> {
    let mut cluster = context.new_cluster()?;
    cluster.start(3, 1)?;
    for service in SERVICES {
        cluster.start_replicas(service, REPLICAS)?;
    }
    let first = configure(&mut cluster, REPLICAS * SERVICES.len())?;
    Ok((cluster, first))
}

/// Sends the first order, and waits until all ingress nodes have applied it and know this many replicas.
pub(super) fn configure(cluster: &mut Cluster, replicas: usize) -> Result<Order, DemoError> {
    let first = Order::new(0, 1, &SERVICES, 0);
    configure_with(cluster, &first, replicas)?;
    Ok(first)
}

/// Does the same as [`configure`] with a given order, which must be of revision 1.
pub(super) fn configure_with(
    cluster: &mut Cluster,
    first: &Order,
    replicas: usize,
) -> Result<(), DemoError> {
    for name in cluster.control_names() {
        let is_listening =
            cluster.wait_for_line(&name, &["event=control_listening"], START_TIMEOUT);
        let is_ready = is_listening
            && cluster.wait_for_members(&name, START_TIMEOUT, |members| members.quorum);
        ensure_ready(is_ready, || {
            format!("{name} is not listening or has no quorum")
        })?;
    }
    let outcome = replace_at_any(&cluster.control_addresses(), first, START_TIMEOUT);
    ensure_ready(outcome.has_status(OK), || {
        "the first order was not acknowledged".to_owned()
    })?;
    let present = format!("present={replicas}");
    for name in cluster.ingress_names() {
        let applied = ["event=configuration_applied", "revision=1"];
        let updated = ["event=replicas_updated", &present];
        let is_ready = cluster.wait_for_line(&name, &applied, START_TIMEOUT)
            && cluster.wait_for_line(&name, &updated, START_TIMEOUT);
        ensure_ready(is_ready, || {
            format!("{name} has not applied revision 1 or does not know all replicas")
        })?;
    }
    Ok(())
}

fn ensure_ready(is_ready: bool, what: impl FnOnce() -> String) -> Result<(), DemoError> {
    if is_ready {
        Ok(())
    } else {
        NotReadySnafu { what: what() }.fail()
    }
}

/// Returns a random one of these names, and the others.
pub(super) fn draw_one(names: &[String], random: &mut Rand64) -> (String, Vec<String>) {
    let mut others = names.to_vec();
    let one = others.remove(draw_index(0, names.len(), random));
    (one, others)
}

/// Returns a random index, at least `start` and below `end`.
pub(super) fn draw_index(start: usize, end: usize, random: &mut Rand64) -> usize {
    let bound = |index| u64::try_from(index).unwrap_or(u64::MAX);
    let drawn = random.rand_range(bound(start)..bound(end));
    usize::try_from(drawn).unwrap_or(start)
}

/// Returns a random duration below `max`.
pub(super) fn draw_duration(max: Duration, random: &mut Rand64) -> Duration {
    max.mul_f64(random.rand_float())
}

/// Formats the outcome of a call for violations and notes.
pub(super) fn describe(outcome: &CallOutcome) -> String {
    let body = String::from_utf8_lossy(&outcome.body);
    let body: String = body.chars().take(SHOWN_BODY_CHARS).collect();
    format!(
        "{:?} after {} ms {body}",
        outcome.status,
        outcome.elapsed.as_millis()
    )
}

/// Checks that the single operator had no order rejected and no long gap between acknowledgements, and that the newest
/// acknowledged order, or the pending one after it, reads back at these addresses.
pub(super) fn check_report(
    findings: &mut Findings,
    report: &WriterReport,
    addresses: &[SocketAddr],
) {
    findings.check(
        report.rejected.is_none(),
        "the orders of a single operator are not rejected",
        || {
            report.rejected.map_or(String::new(), |rejected| {
                format!(
                    "revision {} with status {}",
                    rejected.revision, rejected.status
                )
            })
        },
    );
    let longest_ms = report.longest_gap.as_millis();
    findings.check(
        report.longest_gap <= RECOVERY_TIMEOUT,
        "the time between acknowledgements stays within the bound",
        || format!("{longest_ms} ms without an acknowledgement"),
    );
    let read = read_at_any(addresses, RECOVERY_TIMEOUT);
    let is_read = |order: &Order| read.has_status(OK) && read.body == order.document;
    let reads_back = is_read(&report.last) || report.pending.as_ref().is_some_and(is_read);
    findings.check(reads_back, "acknowledged orders read back", || {
        format!(
            "{} after revision {}",
            describe(&read),
            report.last.revision
        )
    });
    findings.add_note(format!(
        "{} orders acknowledged, at most {longest_ms} ms between two",
        report.acknowledged
    ));
}

/// Sends the pending order again, if any, and then a new one; checks that both are acknowledged within the bound at one
/// of these addresses. Returns the new order.
pub(super) fn check_next_order(
    findings: &mut Findings,
    report: &WriterReport,
    addresses: &[SocketAddr],
) -> Order {
    let mut last = report.last.clone();
    if let Some(pending) = &report.pending {
        let outcome = replace_at_any(addresses, pending, RECOVERY_TIMEOUT);
        findings.check(
            outcome.has_status(OK),
            "an order without a final response is committed when sent again",
            || describe(&outcome),
        );
        last = pending.clone();
    }
    let next = last.next(&SERVICES);
    let outcome = replace_at_any(addresses, &next, RECOVERY_TIMEOUT);
    findings.check(
        outcome.has_status(OK),
        "a new order is acknowledged within the bound",
        || describe(&outcome),
    );
    findings.add_note(format!("new order: {}", describe(&outcome)));
    next
}

/// Kills all control nodes and starts them again; waits until each listens and has a quorum, but at most for
/// [`RECOVERY_TIMEOUT`] each time.
pub(super) fn restart_all(cluster: &mut Cluster) -> Result<(), DemoError> {
    let names = cluster.control_names();
    for name in &names {
        cluster.kill(name);
    }
    for name in &names {
        cluster.start_process(name)?;
    }
    for name in &names {
        cluster.wait_for_line(name, &["event=control_listening"], RECOVERY_TIMEOUT);
        cluster.wait_for_members(name, RECOVERY_TIMEOUT, |members| members.quorum);
    }
    Ok(())
}

/// Checks that a control node that was asked to shut down exits with success within its grace period.
pub(super) fn check_shutdown(findings: &mut Findings, cluster: &mut Cluster, name: &str) {
    let exited = cluster.wait_for_exit(name, SHUTDOWN_TIMEOUT);
    findings.check(
        exited.is_some_and(|status| status.success()),
        "a node that is asked to shut down exits with success within its grace period",
        || format!("{name}: {exited:?}"),
    );
}

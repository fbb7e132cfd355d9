//! Point 3: a control node is replaced as planned: a new one joins with an empty disk, and the old one is asked to shut
//! down. Right after its exit, or at a random moment within 3 s of the request, another one is killed and loses its
//! disk.

use std::net::SocketAddr;
use std::time::Duration;

use linenthread_ctl::control_api::OK;
use oorandom::Rand64;

use super::context::Context;
use super::findings::Findings;
use super::key_watch::{KeyWatch, check_keys};
use super::scale::RECOVERY_TIMEOUT;
use super::setup::{
    SERVICES, check_next_order, check_report, check_shutdown, describe, draw_duration, draw_one,
    start_cluster,
};
use crate::client::read_at_any;
use crate::cluster::Cluster;
use crate::error::DemoError;
use crate::machine::Signal;
use crate::order::Order;
use crate::writer::{Writer, WriterReport};

/// When the other node is killed and loses its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    AfterShutdown,
    DuringShutdown,
}

/// The time within which a new node has connected, or votes.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest time from the request to shut down to a loss during the shutdown.
const LOSS_WINDOW: Duration = Duration::from_secs(3);
/// The log events of a replacement.
const REPLACEMENT_EVENTS: [&str; 4] = [
    "event=voter_change_proposed",
    "event=shutdown_complete",
    "event=stopping",
    "event=stopped",
];
/// The pause after each acknowledged order.
const ORDER_INTERVAL: Duration = Duration::from_millis(30);

/// The control nodes of the scenario, by name.
struct Nodes {
    /// The node that shuts down.
    replaced: String,
    /// The new node that takes its place.
    replacement: String,
    /// The node that is killed and loses its disk.
    wiped: String,
    /// The node that runs all the time.
    surviving: String,
}

pub(super) fn run(context: &mut Context<'_>, loss: Loss) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let (mut cluster, first) = start_cluster(context)?;
    let keys = KeyWatch::start(&cluster, &first);
    let (replaced, others) = draw_one(&cluster.control_names(), context.random);
    let (wiped, others) = draw_one(&others, context.random);
    let writer = Writer::start(
        cluster.control_addresses(),
        first,
        &SERVICES,
        ORDER_INTERVAL,
    );
    let replacement = cluster.add_control_node()?;
    writer.set_addresses(cluster.control_addresses());
    let nodes = Nodes {
        replaced,
        replacement,
        wiped,
        surviving: others[0].clone(),
    };
    let is_serving = serves_reads(&cluster, &nodes.surviving, &nodes.replacement);
    findings.check(
        is_serving,
        "the new node is connected and serves reads",
        || nodes.replacement.clone(),
    );

    let survivors = replace_and_wipe(
        &mut findings,
        &mut cluster,
        &nodes,
        &writer,
        loss,
        context.random,
    )?;
    let Some(report) = writer.stop() else {
        return Ok(findings);
    };
    let next = check_survivors(&mut findings, &mut cluster, &nodes, &report, &survivors);
    check_keys(&mut findings, &cluster, &next);
    cluster.start_process(&nodes.wiped)?;
    check_wiped_node(&mut findings, &cluster, &nodes, &next);
    keys.check(&mut findings, &mut cluster);
    Ok(findings)
}

/// Shuts down the replaced node, and kills another one and erases its disk; returns the addresses of the others.
fn replace_and_wipe(
    findings: &mut Findings,
    cluster: &mut Cluster,
    nodes: &Nodes,
    writer: &Writer,
    loss: Loss,
    random: &mut Rand64,
) -> Result<Vec<SocketAddr>, DemoError> {
    let Nodes {
        replaced, wiped, ..
    } = nodes;
    cluster.signal(replaced, Signal::Terminate);
    match loss {
        Loss::AfterShutdown => check_shutdown(findings, cluster, replaced),
        Loss::DuringShutdown => std::thread::sleep(draw_duration(LOSS_WINDOW, random)),
    }
    cluster.kill(wiped);
    cluster.erase_disk(wiped)?;
    let survivors = cluster.control_addresses_except(&[replaced, wiped]);
    writer.set_addresses(survivors.clone());
    if loss == Loss::DuringShutdown {
        check_shutdown(findings, cluster, replaced);
    }
    Ok(survivors)
}

/// Checks that the two running nodes commit orders and that the new one votes; returns the newest order.
fn check_survivors(
    findings: &mut Findings,
    cluster: &mut Cluster,
    nodes: &Nodes,
    report: &WriterReport,
    survivors: &[SocketAddr],
) -> Order {
    check_report(findings, report, survivors);
    let next = check_next_order(findings, report, survivors);
    let votes = wait_for_vote(cluster, &nodes.surviving, &nodes.replacement, true);
    findings.check(votes, "the new node votes in place of a lost one", || {
        nodes.replacement.clone()
    });
    findings.add_note(format!(
        "{} was replaced by {}, {} lost its disk",
        nodes.replaced, nodes.replacement, nodes.wiped
    ));
    for name in [&nodes.replaced, &nodes.replacement, &nodes.surviving] {
        for line in cluster.lines_with_any(name, &REPLACEMENT_EVENTS) {
            findings.add_note(format!("{name}: {line}"));
        }
    }
    next
}

/// Checks that the node that lost its disk votes again and serves the newest configuration, and that the replaced node
/// does not vote any more.
fn check_wiped_node(findings: &mut Findings, cluster: &Cluster, nodes: &Nodes, newest: &Order) {
    let votes = wait_for_vote(cluster, &nodes.surviving, &nodes.wiped, true);
    findings.check(votes, "the node that lost its disk votes again", || {
        nodes.wiped.clone()
    });
    // Only one node could take the place of the two lost ones until now, so one of them may have remained a voter.
    let is_removed = wait_for_vote(cluster, &nodes.surviving, &nodes.replaced, false);
    findings.check(
        is_removed,
        "the replaced node does not vote any more",
        || nodes.replaced.clone(),
    );
    let addresses: Vec<SocketAddr> = cluster.control_address(&nodes.wiped).into_iter().collect();
    let outcome = read_at_any(&addresses, RECOVERY_TIMEOUT);
    findings.check(
        outcome.body == newest.document,
        "the node that lost its disk serves the newest configuration",
        || describe(&outcome),
    );
}

/// Waits until `observer` lists a new node as a member and the new node has a quorum and responds to a read; returns
/// false after the time-out.
fn serves_reads(cluster: &Cluster, observer: &str, name: &str) -> bool {
    let Some(peer) = cluster.control_address(name) else {
        return false;
    };
    let address = peer.to_string();
    let is_known = cluster.wait_for_members(observer, JOIN_TIMEOUT, |members| {
        members
            .control_nodes
            .iter()
            .any(|node| node.address == address)
    });
    is_known
        && cluster.wait_for_members(name, JOIN_TIMEOUT, |members| members.quorum)
        && read_at_any(&[peer], RECOVERY_TIMEOUT).has_status(OK)
}

/// Waits until the voters that `observer` reports contain a node's address, or don't if `votes` is false; returns false
/// after the time-out.
fn wait_for_vote(cluster: &Cluster, observer: &str, name: &str, votes: bool) -> bool {
    let Some(address) = cluster.control_address(name) else {
        return false;
    };
    let address = address.to_string();
    cluster.wait_for_members(observer, JOIN_TIMEOUT, |members| {
        !members.voters.is_empty() && members.voters.contains(&address) == votes
    })
}

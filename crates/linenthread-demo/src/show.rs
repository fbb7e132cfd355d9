//! The `show` command: a merged response, then the same with a crashed replica, a control node that lost its disk and a
//! killed ingress node.

use std::path::Path;
use std::time::Duration;

use linenthread_console::print_line;
use linenthread_demo::Cluster;
use snafu::{ResultExt, ensure};

use crate::command_error::{
    CommandError, ConfigureSnafu, IncompleteSnafu, NotLoggedSnafu, RejectedSnafu,
};

/// The time within which an awaited event is logged.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
const SERVICES: [&str; 3] = ["s1", "s2", "s3"];
/// The number of replicas of each service.
const REPLICAS: usize = 2;
/// How often a query is sent at most until a response is complete.
const MAX_QUERIES: usize = 500;
const RECORD_BYTES: usize = 16;

pub(crate) fn run(program: &Path) -> Result<(), CommandError> {
    let mut show = Show {
        cluster: Cluster::new(program)?,
    };
    show.start()?;
    show.crash_replica()?;
    show.lose_disk()?;
    show.kill_ingress()?;
    let control: Vec<String> = show
        .cluster
        .control_addresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    print_line(format_args!(
        "done; for the status of such a system run: linenthread-ctl --control {} status",
        control.join(",")
    ))?;
    Ok(())
}

struct Show {
    cluster: Cluster,
}

impl Show {
    fn start(&mut self) -> Result<(), CommandError> {
        print_line(format_args!(
            "three control nodes, two ingress nodes, two stub replicas of each of {}",
            SERVICES.join(", ")
        ))?;
        self.cluster.start(3, 2)?;
        for name in self.cluster.control_names() {
            self.wait_for(&name, "event=control_listening", &[])?;
        }
        for service in SERVICES {
            self.cluster.start_replicas(service, REPLICAS)?;
        }
        print_line(format_args!("an operator sends the first configuration"))?;
        self.configure(0, 1)?;
        for name in self.cluster.ingress_names() {
            self.wait_for(&name, "event=configuration_applied", &["revision=1"])?;
            self.wait_for(&name, "event=replicas_updated", &["present=6"])?;
        }
        print_line(format_args!(
            "a query to all shards returns the five greatest records of their sub-responses"
        ))?;
        self.query("ingress-1", "first")
    }

    fn crash_replica(&mut self) -> Result<(), CommandError> {
        print_line(format_args!(
            "a replica crashes; the next response is still complete"
        ))?;
        self.cluster.replicas[0].crash();
        self.query("ingress-1", "second")
    }

    fn lose_disk(&mut self) -> Result<(), CommandError> {
        print_line(format_args!(
            "control-1 is killed and loses its disk; the others acknowledge a configuration"
        ))?;
        self.cluster.kill("control-1");
        self.cluster.erase_disk("control-1")?;
        self.configure(1, 4)?;
        print_line(format_args!(
            "control-1 is started with an empty disk and votes under a new id; then control-2 is killed"
        ))?;
        self.cluster.start_process("control-1")?;
        self.wait_for(
            "control-1",
            "event=value_decided",
            &["number=3", "revision=4"],
        )?;
        self.cluster.kill("control-2");
        self.configure(4, 6)
    }

    fn kill_ingress(&mut self) -> Result<(), CommandError> {
        print_line(format_args!(
            "ingress-1 is killed; ingress-2 applies the newest configuration and serves the queries"
        ))?;
        self.cluster.kill("ingress-1");
        self.wait_for("ingress-2", "event=configuration_applied", &["revision=6"])?;
        self.query("ingress-2", "third")
    }

    /// Waits until a machine logs an event with these fields.
    fn wait_for(
        &mut self,
        machine: &str,
        event: &'static str,
        fields: &[&str],
    ) -> Result<(), CommandError> {
        let parts: Vec<&str> = std::iter::once(event)
            .chain(fields.iter().copied())
            .collect();
        let is_logged = self.cluster.wait_for_line(machine, &parts, EVENT_TIMEOUT);
        ensure!(is_logged, NotLoggedSnafu { machine, event });
        Ok(())
    }

    fn configure(&self, base: u64, revision: u64) -> Result<(), CommandError> {
        let response = self.cluster.configure(base, revision, &SERVICES);
        let status = response.context(ConfigureSnafu { revision })?.status;
        ensure!(status == 200, RejectedSnafu { revision, status });
        Ok(())
    }

    /// Sends a query until its response is complete, at most [`MAX_QUERIES`] times, and prints the response.
    fn query(&self, machine: &str, name: &str) -> Result<(), CommandError> {
        for number in 0..MAX_QUERIES {
            let attempt = format!("{name}-{number}");
            let Ok(response) = self.cluster.query(machine, "/all/example", &attempt) else {
                continue;
            };
            let missing = response.head.header("x-missing-parts");
            if response.status != 200 || missing != Some("0") {
                continue;
            }
            let seals = response.head.header("x-part-seals").unwrap_or_default();
            print_line(format_args!(
                "    {machine} responds with status {} and parts {seals}",
                response.status
            ))?;
            for record in response.body.chunks(RECORD_BYTES) {
                let hex: String = record.iter().map(|byte| format!("{byte:02x}")).collect();
                print_line(format_args!("      {hex}"))?;
            }
            return Ok(());
        }
        IncompleteSnafu { machine }.fail()
    }
}

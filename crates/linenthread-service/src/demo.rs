//! `linenthread try`: a demo on loopback, of stub replicas, stub service discovery and this program, with rows to query.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use linenthread_fakes::rig::{Rig, RigConfig, Route, ZonePair};
use linenthread_fakes::row_store::{INSTALLATION, RowStore};
use linenthread_fakes::{
    Behavior, Class, Client, RowReplicas, ServiceDiscovery, SubRequest, config_of, member,
    membership,
};
use oorandom::Rand64;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};

use crate::config::{Config, ConfigFileError};
use crate::installation::{InstallationError, InstallationSettings};
use crate::serve::{ReloadedFiles, ServeError};
use crate::{log, serve};

/// Replica groups of the demo, of one replica each.
const REPLICA_GROUPS: usize = 4;
/// Shards of each index.
const SHARDS: usize = 8;
/// The shard whose response to a query of pledges is late.
const LATE_SHARD: usize = 5;
/// Delay of the late response, beyond the query's deadline.
const LATE_DELAY: Duration = Duration::from_secs(3);

/// Why the demo could not start or has failed.
#[derive(Debug, Snafu)]
enum DemoError {
    #[snafu(display("no folder for files: {source}"))]
    Directory { source: io::Error },
    #[snafu(display("{}: {source}", file.display()))]
    Write { file: PathBuf, source: io::Error },
    #[snafu(display("{source}"), context(false))]
    Config { source: ConfigFileError },
    #[snafu(display("{source}"), context(false))]
    Installation { source: InstallationError },
    #[snafu(display("{source}"))]
    FreePort { source: io::Error },
    #[snafu(display("{source}"), context(false))]
    Serve { source: ServeError },
    #[snafu(display("a lookup was not answered"))]
    Unanswered,
}

fn buckets() -> Value {
    let part = |shard| json!({"bucket": shard, "part": 1.0 / SHARDS as f64});
    (0..SHARDS).map(part).collect::<Vec<_>>().into()
}

fn commands(address: SocketAddr) -> String {
    let curl = |index: &str, page: &str| {
        format!(
            "curl -s http://{address}/{index} -H \"X-Trace-Id: try-$RANDOM$RANDOM\" -H 'X-Customer: acme' \
             -H 'X-Expires-In-Ms: 5000' \\\n    -d '{{\"buckets\":{},\"body\":\"{index}\"{page}}}'",
            buckets()
        )
    };
    let mark = "MARK=$(printf %s \"$PAGE\" | sed 's/.*\"next\":\"\\([^\"]*\\)\".*/\\1/')";
    format!(
        "The co-ordinator listens on {address}, with {REPLICA_GROUPS} replicas of {SHARDS} slices behind it. Ask it:\n\n\
         # Page one of all donations, latest first, and page two.\n\
         PAGE=$({})\nprintf '%s\\n' \"$PAGE\"\n{mark}\n{}\n\n\
         # The total of all pledges. Slice {LATE_SHARD} comes too late: the total says that it lacks it.\n{}\n\n\
         # The three charities with the most, and the rest as one.\n{}\n\nCtrl-C ends it.",
        curl("history", ",\"page\":{\"rows\":5}"),
        curl("history", ",\"page\":{\"rows\":5,\"after\":\"'$MARK'\"}"),
        curl("pledges", ""),
        curl("charities", ""),
    )
}

/// Asks what the printed commands ask, and prints the answers.
fn show(address: SocketAddr) -> bool {
    let shards: Vec<usize> = (0..SHARDS).collect();
    let mut mark = Value::Null;
    let mut good = true;
    let asks = [
        ("page one of all donations, latest first", "history"),
        ("page two", "history"),
        (
            "the total of all pledges, without slice 5, which comes too late",
            "pledges",
        ),
        (
            "the three charities with the most, and the rest",
            "charities",
        ),
    ];
    for (n, (title, index)) in asks.into_iter().enumerate() {
        let page = if index == "history" {
            json!({"rows": 5, "after": mark})
        } else {
            Value::Null
        };
        let (status, answer) = Client::connect(address).query_merged(
            index,
            &format!("try-{n}"),
            &shards,
            index,
            &page,
        );
        mark = answer["next"].clone();
        good &= status == 200;
        println!("# {title}\n{status} {answer:#}\n");
    }
    good
}

/// The files of one program, read as `serve` reads them.
struct Prepared {
    /// Removes the files when it is dropped.
    _directory: tempfile::TempDir,
    file: PathBuf,
    installation_file: PathBuf,
    config: Config,
    settings: InstallationSettings,
}

fn prepare(config: &Value, installation: &str, seed: u64) -> Result<Prepared, DemoError> {
    let directory = tempfile::tempdir().context(DirectorySnafu)?;
    let put = |name: &str, text: &str| {
        let file = directory.path().join(name);
        std::fs::write(&file, text).context(WriteSnafu { file: &file })?;
        Ok::<_, DemoError>(file)
    };
    for key in ["marks.key", "link.key"] {
        put(key, &format!("only for a first try {seed:016x}"))?;
    }
    let installation_file = put("installation.xml", installation)?;
    let file = put("config.json", &config.to_string())?;
    let config = Config::read(&file)?;
    let settings = InstallationSettings::read(&installation_file, &config)?;
    Ok(Prepared {
        _directory: directory,
        file,
        installation_file,
        config,
        settings,
    })
}

/// Runs one program; `ready` is told where it listens.
async fn serve_one(prepared: Prepared, ready: impl FnOnce(SocketAddr)) -> Result<(), DemoError> {
    let Prepared {
        _directory,
        file,
        installation_file,
        config,
        settings,
    } = prepared;
    let files = ReloadedFiles {
        config: &file,
        installation: Some(&installation_file),
    };
    Ok(serve::serve(config, settings, files, ready).await?)
}

/// Starts stub replicas and gives the endpoint list that names them.
fn start_replicas(seed: u64) -> String {
    let response = |part: &SubRequest| match (part.shard, part.text.as_str()) {
        (LATE_SHARD, "pledges") => (LATE_DELAY, Behavior::Respond),
        _ => (Duration::from_millis(5), Behavior::Respond),
    };
    let ledger = RowStore::new(&mut Rand64::new(u128::from(seed)), SHARDS, 9);
    let hosts = RowReplicas::start(REPLICA_GROUPS, ledger, 50, response);
    let addresses = hosts.addresses.iter().enumerate();
    let entries = addresses.map(|(replica, address)| member(replica, *address, "active"));
    membership(1, true, entries.collect())
}

/// Starts stub service discovery for an endpoint list and gives a configuration that uses it.
fn configuration(endpoints: &str) -> Value {
    let class = |name| Class {
        name,
        non_idempotent: false,
        soft_deadline: Duration::from_secs(1),
        floor: 0.5,
    };
    let classes = ["history", "pledges", "charities"].map(class);
    let discovery = ServiceDiscovery::start(endpoints.to_owned());
    let config = config_of(
        discovery.address,
        endpoints,
        &classes,
        REPLICA_GROUPS,
        SHARDS,
    );
    // Its thread must answer until the program ends.
    std::mem::forget(discovery);
    config
}

/// The programs to run: with two sites, the one that is queried reaches all replicas through the other.
fn programs(seed: u64, two_sites: bool) -> Result<Vec<Prepared>, DemoError> {
    let with_replicas = configuration(&start_replicas(seed));
    if !two_sites {
        return Ok(vec![prepare(&with_replicas, INSTALLATION, seed)?]);
    }
    let address = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .context(FreePortSnafu)?;
    let gateway = format!(
        "<installation version=\"1\"><gateway listen=\"{address}\" secret=\"link.key\" cold-share=\"500\"/></installation>"
    );
    let peers = format!(
        "<peers><peer name=\"messina\" address=\"{address}\" secret=\"link.key\"/></peers></installation>"
    );
    let with_peer = INSTALLATION.replace("</installation>", &peers);
    let without_replicas = configuration(&membership(1, true, Vec::new()));
    Ok(vec![
        prepare(&without_replicas, &with_peer, seed)?,
        prepare(&with_replicas, &gateway, seed)?,
    ])
}

/// Options of `linenthread try`.
#[derive(Clone)]
pub(crate) struct DemoOptions {
    /// Show some answers and end.
    pub show: bool,
    /// Seed of the rows.
    pub seed: u64,
    /// With two sites, all replicas are behind a gateway.
    pub sites: u8,
    /// Run three zones and the loss of one instead.
    pub zones: Option<u8>,
}

/// Runs the demo that the options choose.
pub(crate) fn run(options: &DemoOptions) -> ExitCode {
    match options.zones {
        Some(_) => run_zones(options.seed),
        None => run_sites(options.seed, options.show, options.sites == 2),
    }
}

/// Runs until SIGINT or SIGTERM, or shows some answers and ends.
fn run_sites(seed: u64, show_only: bool, two_sites: bool) -> ExitCode {
    let mut programs = match programs(seed, two_sites) {
        Ok(programs) => programs.into_iter(),
        Err(message) => {
            eprintln!("linenthread: {message}");
            return ExitCode::FAILURE;
        }
    };
    let (Some(asked), gateway) = (programs.next(), programs.next()) else {
        return ExitCode::FAILURE;
    };
    let (done, shown) = tokio::sync::oneshot::channel();
    let ready = move |address| {
        if two_sites {
            println!("Two sites: all replicas are reached over a link through a gateway.");
        }
        if show_only {
            thread::spawn(move || done.send(reached(address) && show(address)));
        } else {
            println!("{}", commands(address));
        }
    };
    if !show_only {
        log::start();
    }
    let ends = async {
        let gateway = async {
            match gateway {
                Some(gateway) => serve_one(gateway, |_| {}).await,
                None => Ok(()),
            }
        };
        tokio::select! {
            served = async { tokio::join!(serve_one(asked, ready), gateway).0 } => served,
            Ok(good) = shown => if good { Ok(()) } else { Err(DemoError::Unanswered) },
        }
    };
    match actix_rt::System::new().block_on(ends) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("linenthread: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Parts by zone of clients and zone of replicas since some moment.
fn print_flows(rig: &Rig, names: &[&str], since: usize) {
    let flows = rig.traffic(since);
    for (from, name) in names.iter().enumerate() {
        let to: Vec<String> = names
            .iter()
            .enumerate()
            .map(|(to, name)| format!("{name} {}", flows.between(from, to)))
            .collect();
        println!("  parts from {name}: {}", to.join(", "));
    }
}

/// Runs the demo of three zones in a thread, which ends with a panic's message if what it awaits does not come.
fn run_zones(seed: u64) -> ExitCode {
    let exe = match std::env::current_exe() {
        Ok(exe) => exe.to_string_lossy().into_owned(),
        Err(error) => {
            eprintln!("linenthread: {error}");
            return ExitCode::FAILURE;
        }
    };
    match thread::spawn(move || show_zones(&exe, seed)).join() {
        Ok(true) => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Three zones, each of a co-ordinator and two replicas, with a common routing table: one is killed and comes back.
/// Gives whether all rules were kept.
fn show_zones(exe: &str, seed: u64) -> bool {
    let plan = RigConfig {
        seed,
        ..RigConfig::default()
    };
    let names: Vec<&str> = plan.zones.iter().map(|zone| zone.name).collect();
    println!(
        "Three co-ordinators in {} found a fleet and a record.",
        names.join(", ")
    );
    let mut rig = Rig::start_all(exe, plan);
    rig.start_clients(25);
    rig.wait_until_serving(&[0, 1, 2], 20);
    let since = rig.executed();
    rig.wait_until_serving(&[0, 1, 2], 40);
    println!("All act on one table; parts stay in the zones that hold their shards:");
    print_flows(&rig, &names, since);
    let lost = 2;
    lose_zone(&mut rig, &names, lost);
    restore_zone(&mut rig, &names, lost);
    let breaches = rig.check();
    println!(
        "{} lookups, {} breaches of the rules.",
        rig.outcomes().len(),
        breaches.len()
    );
    breaches.is_empty()
}

/// Kills a zone and waits until the others act on a table without it.
fn lose_zone(rig: &mut Rig, names: &[&str], lost: usize) {
    let from = [rig.log_position(0), rig.log_position(1)];
    println!(
        "\n{} is killed, its co-ordinator and its replicas.",
        names[lost]
    );
    let began = Instant::now();
    for node in rig.zone(lost) {
        rig.network.set_down(node, true);
        if node < rig.count() {
            rig.kill(node, false);
        }
    }
    for n in [0, 1] {
        let zones = ZonePair { from: n, to: lost };
        rig.wait_for_route(n, from[n], zones, |route| route.share == 0);
    }
    println!(
        "After {:.1} s all others act on a table without it:",
        began.elapsed().as_secs_f64()
    );
    let since = rig.executed();
    rig.wait_until_serving(&[0, 1], 30);
    print_flows(rig, names, since);
    println!("Service is whole again in {} and {}.\n", names[0], names[1]);
}

/// Starts a zone again and waits until all keys are routed to it.
fn restore_zone(rig: &mut Rig, names: &[&str], lost: usize) {
    let from = rig.log_position(0);
    println!("{} is started again.", names[lost]);
    let began = Instant::now();
    for node in rig.zone(lost) {
        rig.network.set_down(node, false);
        if node < rig.count() {
            rig.start(node);
        }
    }
    let zones = ZonePair { from: 0, to: lost };
    rig.wait_for_route(0, from, zones, Route::is_healthy);
    println!(
        "After {:.1} s it was taken back, step by step.",
        began.elapsed().as_secs_f64()
    );
    rig.wait_until_serving(&[0, 1, 2], 20);
}

/// Waits until there are replicas to ask: a link takes a moment to come up.
fn reached(address: SocketAddr) -> bool {
    let ask = |n: usize| {
        let id = format!("try-first-{n}");
        Client::connect(address)
            .query_merged("charities", &id, &[0], "charities", &Value::Null)
            .0
            == 200
    };
    (0..100).any(|n| {
        ask(n) || {
            thread::sleep(Duration::from_millis(50));
            false
        }
    })
}

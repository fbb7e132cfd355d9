//! `linenthread try`: a small fleet of stand-ins, a roster and this program on loopback, with rows to ask for.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use linenthread_stand_ins::ledger::{Hosts, How, INSTALLATION, Ledger};
use linenthread_stand_ins::{Class, Client, Part, Roster, config_of, entry, list};
use oorandom::Rand64;
use serde_json::{Value, json};

use crate::config::Config;
use crate::own::Own;
use crate::{log, serve};

const CELLS: usize = 4;
const SHARDS: usize = 8;
/// This slice's pledges come too late.
const LATE: usize = 5;
const LATE_BY: Duration = Duration::from_secs(3);

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
        "The co-ordinator listens on {address}, with {CELLS} replicas of {SHARDS} slices behind it. Ask it:\n\n\
         # Page one of all donations, latest first, and page two.\n\
         PAGE=$({})\nprintf '%s\\n' \"$PAGE\"\n{mark}\n{}\n\n\
         # The total of all pledges. Slice {LATE} comes too late: the total says that it lacks it.\n{}\n\n\
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
        ("the total of all pledges, without slice 5, which comes too late", "pledges"),
        ("the three charities with the most, and the rest", "charities"),
    ];
    for (n, (title, index)) in asks.into_iter().enumerate() {
        let page = if index == "history" { json!({"rows": 5, "after": mark}) } else { Value::Null };
        let (status, answer) =
            Client::connect(address).merged(index, &format!("try-{n}"), &shards, index, &page);
        mark = answer["next"].clone();
        good &= status == 200;
        println!("# {title}\n{status} {answer:#}\n");
    }
    good
}

/// Runs until SIGINT or SIGTERM, or shows some answers and ends.
pub fn run(seed: u64, show_only: bool) -> ExitCode {
    let cue = |part: &Part| match (part.shard, part.text.as_str()) {
        (LATE, "pledges") => (LATE_BY, How::Answer),
        _ => (Duration::from_millis(5), How::Answer),
    };
    let ledger = Ledger::new(&mut Rand64::new(u128::from(seed)), SHARDS, 9);
    let hosts = Hosts::start(CELLS, ledger, 50, cue);
    let entries = hosts.addresses.iter().enumerate().map(|(i, a)| entry(i, *a, "active"));
    let known = list(1, true, entries.collect());
    let roster = Roster::start(known.clone());
    let class = |name| Class { name, once_only: false, soft_ms: 1_000, floor: 0.5 };
    let classes = ["history", "pledges", "charities"].map(class);
    let config = config_of(roster.address, &known, &classes, CELLS, SHARDS);
    let prepared = || -> Result<_, String> {
        let folder = tempfile::tempdir().map_err(|e| format!("no folder for files: {e}"))?;
        let put = |name: &str, text: &str| {
            let file = folder.path().join(name);
            std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
            Ok::<_, String>(file)
        };
        put("marks.key", &format!("only for a first try {seed:016x}"))?;
        let own = put("installation.xml", INSTALLATION)?;
        let file = put("config.json", &config.to_string())?;
        let config = Config::read(&file)?;
        let read = Own::read(&own, &config)?;
        Ok((folder, file, own, config, read))
    };
    let (_folder, file, own, config, read) = match prepared() {
        Ok(prepared) => prepared,
        Err(message) => {
            eprintln!("linenthread: {message}");
            return ExitCode::FAILURE;
        }
    };
    let (done, shown) = tokio::sync::oneshot::channel();
    let ready = move |address| {
        if show_only {
            thread::spawn(move || done.send(show(address)));
        } else {
            println!("{}", commands(address));
        }
    };
    if !show_only {
        log::start();
    }
    let ends = async {
        tokio::select! {
            served = serve::serve(config, &file, (read, Some(&own)), ready) => served,
            Ok(good) = shown => if good { Ok(()) } else { Err("a lookup was not answered".into()) },
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

//! `linenthread-demo`: the system at work on this machine. Three control nodes, two fronts and six stand-in
//! replicas of three services on loopback; a merged answer; a control node that loses its disk, a replica and
//! a front that are killed. `linenthread-demo rounds` plays the worst days of a deployment instead.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use linenthread_demo::Cluster;
use linenthread_demo::rounds::{Scale, Scenario};

const SOON: Duration = Duration::from_secs(20);
const SERVICES: [&str; 3] = ["s1", "s2", "s3"];

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The system at work on loopback, step by step; it ends by itself.
        cmd linenthread-demo {
            /// The daemon to run; by default linenthread-node beside this program.
            optional --program path: PathBuf
            /// The steps, one after another. This is what it does without any word.
            default cmd show {}
            /// Rounds of the worst days, with instants drawn at random; exit 1 at a breach.
            cmd rounds {
                /// How many rounds; 1 by default.
                optional --rounds count: u64
                /// The seed of the first round; the next ones follow.
                optional --seed seed: u64
                /// Only the scenarios of this point, 1 to 5.
                optional --point point: u8
                /// As short as the tests.
                optional --brief
            }
        }
    }
}

type Step<T> = Result<T, Box<dyn std::error::Error>>;

fn reached(is: bool, what: &str) -> Step<()> {
    if is {
        Ok(())
    } else {
        Err(format!("{what} did not come to be in time").into())
    }
}

/// Asks until the answer is whole, a bounded number of times, and prints it.
fn ask(cluster: &Cluster, front: &str, attempt: &str) -> Step<()> {
    for n in 0..500 {
        let attempt = format!("{attempt}-{n}");
        let Ok(reply) = cluster.ask(front, "/all/example", &attempt) else {
            continue;
        };
        if reply.status != 200 || reply.head.header("x-missing-parts") != Some("0") {
            continue;
        }
        let seals = reply.head.header("x-part-seals").unwrap_or_default();
        println!("    {front} answers {} with parts {seals}", reply.status);
        for record in reply.body.chunks(16) {
            let hex: String = record.iter().map(|b| format!("{b:02x}")).collect();
            println!("      {hex}");
        }
        return Ok(());
    }
    Err(format!("{front} gave no whole answer").into())
}

fn show(program: &Path) -> Step<()> {
    let mut cluster = Cluster::new(program)?;
    println!(
        "three control nodes, two fronts, two stand-in replicas of each of {}",
        SERVICES.join(", ")
    );
    cluster.start(3, 2)?;
    for node in ["control-1", "control-2", "control-3"] {
        reached(
            cluster.wait_for(node, &["event=control_listening"], SOON),
            "a control node",
        )?;
    }
    for service in SERVICES {
        cluster.serve(service, 2)?;
    }
    println!("an operator sends the first configuration");
    reached(
        cluster.configure(0, 1, &SERVICES)?.status == 200,
        "the configuration",
    )?;
    for front in ["front-1", "front-2"] {
        reached(
            cluster.wait_for(front, &["event=configuration_applied", "revision=1"], SOON),
            "its news at a front",
        )?;
        reached(
            cluster.wait_for(front, &["event=replicas_updated", "available=6"], SOON),
            "news of replicas",
        )?;
    }
    println!("a lookup of all shards: the five greatest records of their parts");
    ask(&cluster, "front-1", "first")?;
    println!("a replica crashes; the next lookup is whole all the same");
    cluster.replicas[0].crash();
    ask(&cluster, "front-1", "second")?;
    println!(
        "control-1 is killed and loses its disk; a configuration is acknowledged by the others"
    );
    cluster.kill("control-1");
    cluster.wipe("control-1")?;
    reached(
        cluster.configure(1, 4, &SERVICES)?.status == 200,
        "the configuration",
    )?;
    println!("it comes back empty, is counted under a new name, and another may go");
    cluster.run("control-1")?;
    reached(
        cluster.wait_for(
            "control-1",
            &["event=value_decided", "number=3", "revision=4"],
            SOON,
        ),
        "the swap",
    )?;
    cluster.kill("control-2");
    reached(
        cluster.configure(4, 6, &SERVICES)?.status == 200,
        "the configuration",
    )?;
    println!("front-1 is killed; front-2 goes by the newest configuration and takes its work on");
    cluster.kill("front-1");
    reached(
        cluster.wait_for(
            "front-2",
            &["event=configuration_applied", "revision=6"],
            SOON,
        ),
        "its news",
    )?;
    ask(&cluster, "front-2", "third")?;
    let control: Vec<String> = cluster.control().iter().map(ToString::to_string).collect();
    println!(
        "done; such a system is looked at by: linenthread-ctl --control {} status",
        control.join(",")
    );
    Ok(())
}

fn play_rounds(program: &Path, flags: &flags::Rounds) -> Step<()> {
    let rounds = flags.rounds.unwrap_or(1);
    let seed = flags.seed.unwrap_or(1);
    let scale = if flags.brief {
        Scale::BRIEF
    } else {
        Scale::LONG
    };
    let mut breaches = 0;
    for round in 0..rounds {
        for scenario in Scenario::ALL {
            if flags.point.is_none_or(|point| point == scenario.point()) {
                breaches += play(program, scenario, &scale, seed + round)?;
            }
        }
    }
    println!("{rounds} rounds checked, {breaches} breaches");
    if breaches == 0 {
        Ok(())
    } else {
        Err("there were breaches".into())
    }
}

/// Plays one scenario, prints what it found and counts its breaches.
fn play(program: &Path, scenario: Scenario, scale: &Scale, seed: u64) -> Step<usize> {
    let began = Instant::now();
    let mut random = oorandom::Rand64::new(u128::from(seed));
    let found = scenario.play(program, scale, &mut random)?;
    println!(
        "seed {seed} point {} {scenario:?}: {} checks, {} breaches in {:.1} s",
        scenario.point(),
        found.checks,
        found.breaches.len(),
        began.elapsed().as_secs_f64()
    );
    for note in &found.notes {
        println!("    {note}");
    }
    for breach in &found.breaches {
        println!("    breach: {breach}");
    }
    Ok(found.breaches.len())
}

/// The daemon beside this program.
fn beside() -> Option<PathBuf> {
    Some(
        std::env::current_exe()
            .ok()?
            .with_file_name("linenthread-node"),
    )
}

fn main() -> ExitCode {
    let flags = match flags::LinenthreadDemo::from_env() {
        Ok(flags) => flags,
        Err(e) => e.exit(),
    };
    let Some(program) = flags.program.or_else(beside) else {
        eprintln!("linenthread-demo: no program is named");
        return ExitCode::from(2);
    };
    let done = match flags.subcommand {
        flags::LinenthreadDemoCmd::Show(_) => show(&program),
        flags::LinenthreadDemoCmd::Rounds(rounds) => play_rounds(&program, &rounds),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("linenthread-demo: {e} ({})", program.display());
            ExitCode::from(1)
        }
    }
}

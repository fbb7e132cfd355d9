//! `linenthread-demo`: the system at work on this machine. Three hubs, two fronts and six stand-in replicas of three
//! services on loopback; a merged answer; a hub that loses its disk, a replica and a front that are killed.

use std::process::ExitCode;
use std::time::Duration;

use linenthread_demo::Rig;

const SOON: Duration = Duration::from_secs(20);
const SERVICES: [&str; 3] = ["s1", "s2", "s3"];

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The system at work on loopback, step by step; it ends by itself.
        cmd linenthread-demo {
            /// The daemon to run; by default linenthread-node beside this program.
            optional --program path: PathBuf
        }
    }
}

type Step<T> = Result<T, Box<dyn std::error::Error>>;

fn reached(is: bool, what: &str) -> Step<()> {
    if is { Ok(()) } else { Err(format!("{what} did not come to be in time").into()) }
}

/// Asks until the answer is whole, a bounded number of times, and prints it.
fn ask(rig: &Rig, front: &str, attempt: &str) -> Step<()> {
    for n in 0..500 {
        let attempt = format!("{attempt}-{n}");
        let Ok(reply) = rig.ask(front, "/all/example", &attempt) else { continue };
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

fn show(program: &std::path::Path) -> Step<()> {
    let mut rig = Rig::new(program)?;
    println!("three hubs, two fronts, two stand-in replicas of each of {}", SERVICES.join(", "));
    rig.start(3, 2)?;
    for hub in ["hub-1", "hub-2", "hub-3"] {
        reached(rig.wait_for(hub, &["event=control_open"], SOON), "a hub")?;
    }
    for service in SERVICES {
        rig.serve(service, 2)?;
    }
    println!("an operator sends the first configuration");
    reached(rig.configure(0, 1, &SERVICES)?.status == 200, "the configuration")?;
    for front in ["front-1", "front-2"] {
        reached(rig.wait_for(front, &["event=configuration", "revision=1"], SOON), "its news at a front")?;
        reached(rig.wait_for(front, &["event=replicas", "here=6"], SOON), "news of replicas")?;
    }
    println!("a lookup of all shards: the five greatest records of their parts");
    ask(&rig, "front-1", "first")?;
    println!("a replica crashes; the next lookup is whole all the same");
    rig.replicas[0].crash();
    ask(&rig, "front-1", "second")?;
    println!("hub-1 is killed and loses its disk; a configuration is acknowledged by the others");
    rig.kill("hub-1");
    rig.wipe("hub-1")?;
    reached(rig.configure(1, 4, &SERVICES)?.status == 200, "the configuration")?;
    println!("it comes back empty, is counted under a new name, and another may go");
    rig.run("hub-1")?;
    reached(rig.wait_for("hub-1", &["event=decided", "number=3", "revision=4"], SOON), "the swap")?;
    rig.kill("hub-2");
    reached(rig.configure(4, 6, &SERVICES)?.status == 200, "the configuration")?;
    println!("front-1 is killed; front-2 goes by the newest configuration and takes its work on");
    rig.kill("front-1");
    reached(rig.wait_for("front-2", &["event=configuration", "revision=6"], SOON), "its news")?;
    ask(&rig, "front-2", "third")?;
    let control: Vec<String> = rig.control().iter().map(ToString::to_string).collect();
    println!("done; such a system is looked at by: linenthread-ctl --control {} status", control.join(","));
    Ok(())
}

fn main() -> ExitCode {
    let flags = match flags::LinenthreadDemo::from_env() {
        Ok(flags) => flags,
        Err(e) => e.exit(),
    };
    let beside = || Some(std::env::current_exe().ok()?.with_file_name("linenthread-node"));
    let Some(program) = flags.program.or_else(beside) else {
        eprintln!("linenthread-demo: no program is named");
        return ExitCode::from(2);
    };
    match show(&program) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("linenthread-demo: {e} ({})", program.display());
            ExitCode::from(1)
        }
    }
}

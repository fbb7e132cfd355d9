//! `linenthread-drill`: long checks of each subsystem. Each takes a seed and a count, prints what breaches it
//! found with all that is needed to play them again, ends with `N checked, B breaches`, and exits with 1
//! where B is not 0.

mod dataplane;
mod failover;
mod fleet;
mod link;
mod link_speed;
mod members;
mod merged;
mod merging_speed;
mod record;
mod system;
mod zones;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct, long, positional};
use linenthread_stand_ins::scenarios;
use linenthread_stand_ins::sites::{Verdict, cut_everywhere};

#[derive(Clone)]
enum Command {
    Merged(merged::Options),
    Link(link::Options),
    Fleet(record::Drill),
    Zones(zones::Drill),
    System(system::Drill),
    Dataplane(dataplane::Drill),
    Members {
        seed: u64,
    },
    Failover {
        seeds: usize,
        seed: u64,
    },
    Processes {
        program: Option<PathBuf>,
        rounds: usize,
        seed: u64,
        scenario: String,
    },
    LinkSpeed {
        program: Option<PathBuf>,
    },
    LinkBytes {
        program: Option<PathBuf>,
        step: usize,
        keep: u64,
        at_once: usize,
    },
    MergingSpeed {
        rounds: usize,
    },
}

fn command() -> bpaf::OptionParser<Command> {
    let lookups = long("lookups")
        .help("Lookups to ask")
        .argument("N")
        .fallback(10_000);
    let seed = long("seed")
        .help("What all chance comes from")
        .argument("S")
        .fallback(1);
    let slow = long("slow")
        .help("Share of parts that take longer than a lookup waits, 0 to 1; by chance where not given")
        .argument("SHARE")
        .optional();
    let floor = long("floor")
        .help("Least share of an answer's weight that may be given; 1 where all parts must be in")
        .argument("SHARE")
        .fallback(0.5);
    let only_delays = long("only-delays")
        .help("No faults and no changes of replicas, only slow parts")
        .switch();
    let merged = construct!(merged::Options {
        lookups,
        seed,
        slow,
        floor,
        only_delays
    })
    .map(Command::Merged)
    .to_options()
    .descr(
        "Random lookups of merged indexes over a fleet in simulated time, judged by the full data",
    )
    .footer("Example: linenthread-drill merged --lookups 100000 --seed 7")
    .command("merged")
    .help("Check merged answers");
    let schedules = long("schedules")
        .help("Schedules of troubles to play")
        .argument("N")
        .fallback(2_000);
    let seed = long("seed")
        .help("The first schedule's seed; the others count on from it")
        .argument("S")
        .fallback(1);
    let no_resume = long("no-resume")
        .help("Sessions end with their connection")
        .switch();
    let link = construct!(link::Options { schedules, seed, no_resume })
        .map(Command::Link)
        .to_options()
        .descr(
            "Both ends of a link through random cuts, loss, slowness and restarts, judged by what truly ran",
        )
        .footer("Example: linenthread-drill link --schedules 100000 --seed 7")
        .command("link")
        .help("Check the link between sites");
    let schedules = long("schedules")
        .help("Schedules of troubles to play")
        .argument("N")
        .fallback(300);
    let seed = long("seed")
        .help("The first schedule's seed; the others count on from it")
        .argument("S")
        .fallback(1);
    let fleet = construct!(record::Drill { schedules, seed })
        .map(Command::Fleet)
        .to_options()
        .descr(
            "Members and the agreed record of fleets in simulated time, through loss, cuts, crashes with and \
             without disk, pauses, failing disks and clocks that run apart",
        )
        .footer("Example: linenthread-drill fleet --schedules 10000 --seed 7")
        .command("fleet")
        .help("Check the fleet's members and record");
    let schedules = long("schedules")
        .help("Schedules of troubles to play")
        .argument("N")
        .fallback(300);
    let seed = long("seed")
        .help("The first schedule's seed; the others count on from it")
        .argument("S")
        .fallback(1);
    let zones = construct!(zones::Drill { schedules, seed })
        .map(Command::Zones)
        .to_options()
        .descr("What is decided in common on zones: left, slow, cut off, drained and back, judged by their true state")
        .footer("Example: linenthread-drill zones --schedules 10000 --seed 7")
        .command("zones")
        .help("Check failover between zones");
    let schedules = long("schedules")
        .help("Schedules of troubles to play")
        .argument("N")
        .fallback(200);
    let seed = long("seed")
        .help("The first schedule's seed; the others count on from it")
        .argument("S")
        .fallback(1);
    let core = long("core")
        .help("Machines with a disk that counts")
        .argument("N")
        .fallback(3);
    let changes = long("changes")
        .help("Changes of each day, sent one after another; by chance where not given")
        .argument("N")
        .optional();
    let jobs = long("jobs")
        .help("Schedules played at once")
        .argument("N")
        .fallback(1);
    let told = long("told")
        .help("Say how much was acknowledged and which troubles came, too")
        .switch();
    let traced = long("traced")
        .help("Say all that comes to pass, for one schedule")
        .switch();
    let system = construct!(system::Drill { schedules, seed, core, changes, jobs, told, traced })
        .map(Command::System)
        .to_options()
        .descr(
            "The system's hubs, fronts and operators in simulated time, through crashes with and without disk, \
             replaced and leaving machines, cuts, pauses, slow and full disks, judged by what was acknowledged",
        )
        .footer("Example: linenthread-drill system --core 5 --schedules 10000 --seed 7")
        .command("system")
        .help("Check the system's control");
    let sessions = long("sessions")
        .help("Sessions of clients to play")
        .argument("N")
        .fallback(2_000);
    let seed = long("seed")
        .help("The first world's seed; the others count on from it")
        .argument("S")
        .fallback(1);
    let told = long("told")
        .help("Say what was answered, and the digest of all that happened, too")
        .switch();
    let dataplane = construct!(dataplane::Drill { sessions, seed, told })
        .map(Command::Dataplane)
        .to_options()
        .descr(
            "The traffic path in simulated time against replicas that answer twice, half, late or not at all, \
             judged by each run at each replica and each answer at each client",
        )
        .footer("Example: linenthread-drill dataplane --sessions 100000 --seed 7")
        .command("dataplane")
        .help("Check the data plane");
    let names: Vec<&str> = scenarios::ALL.iter().map(|(name, _)| *name).collect();
    let names = format!(
        "zones (random troubles, round after round), all, or one of: {}",
        names.join(", ")
    );
    let of_processes = long("program")
        .help("The program to run; by default linenthread beside this one")
        .argument::<PathBuf>("FILE")
        .optional();
    let rounds = long("rounds")
        .help("Rounds of zones, or times that a scenario is played")
        .argument("N")
        .fallback(1);
    let seed = long("seed")
        .help("What all chance comes from")
        .argument("S")
        .fallback(1);
    let scenario = positional::<String>("SCENARIO").help(names.as_str());
    let processes = construct!(of_processes, rounds, seed, scenario)
        .map(|(program, rounds, seed, scenario)| Command::Processes { program, rounds, seed, scenario })
        .to_options()
        .descr(
            "Several processes of the program in zones on loopback with faults between them, and one judge",
        )
        .footer("Example: linenthread-drill processes zones --rounds 20 --seed 7")
        .command("processes")
        .help("Check several processes with faults between them");
    let seeds = long("seeds").help("Runs of each").argument("N").fallback(3);
    let seed = long("seed")
        .help("The first run's seed; the others count on from it")
        .argument("S")
        .fallback(1);
    let failover = construct!(Command::Failover { seeds, seed })
        .to_options()
        .descr(
            "What deciding in common is worth on six troubles, against the design alone, a fixed near preference, \
             each deciding alone, and the true state; counts where it is worse than those by over 0.01",
        )
        .footer("Example: linenthread-drill failover --seeds 5 --seed 7")
        .command("failover")
        .help("Measure failover between zones");
    let members = long("seed")
        .help("What all chance comes from")
        .argument("S")
        .fallback(1)
        .map(|seed| Command::Members { seed })
        .to_options()
        .descr("What members cost: fleets of 10 and 100 in simulated time")
        .footer("Example: linenthread-drill members --seed 7")
        .command("members")
        .help("Measure the fleet's members");
    let program = || {
        long("program")
            .help("The program to run at both ends; by default linenthread beside this one")
            .argument::<PathBuf>("FILE")
            .optional()
    };
    let of_speed = program();
    let link_speed = of_speed
        .map(|program| Command::LinkSpeed { program })
        .to_options()
        .descr(
            "What the hop adds to a lookup, parts a second over one link, and what cuts cost; some minutes",
        )
        .footer("Example: linenthread-drill link-speed")
        .command("link-speed")
        .help("Measure the link");
    let program = program();
    let step = long("step")
        .help("Cut after every so manieth byte")
        .argument("N")
        .fallback(1);
    let keep = long("keep")
        .help("Milliseconds for which a session outlives its connection; 10 is without resume")
        .argument("MS")
        .fallback(3_000);
    let at_once = long("at-once")
        .help("Pairs of sites at once")
        .argument("N")
        .fallback(4);
    let link_bytes = construct!(Command::LinkBytes {
        program,
        step,
        keep,
        at_once
    })
    .to_options()
    .descr(
        "A once-only lookup between two sites on loopback, the link cut after each byte, both ways",
    )
    .footer("Example: linenthread-drill link-bytes --keep 10")
    .command("link-bytes")
    .help("Check the link at every byte");
    let rounds = long("rounds")
        .help("Runs of each size")
        .argument("N")
        .fallback(5);
    let speed = construct!(Command::MergingSpeed { rounds })
        .to_options()
        .descr("Rows merged a second and memory held, beside collecting, sorting and cutting all")
        .footer("Example: linenthread-drill merging-speed --rounds 9")
        .command("merging-speed")
        .help("Measure merging");
    construct!([
        merged, link, fleet, zones, system, dataplane, processes, members, failover, link_bytes,
        link_speed, speed
    ])
    .to_options()
    .descr("Long checks of linenthread's subsystems")
    .footer("Example: linenthread-drill merged --lookups 100000 --seed 7")
}

/// The closing line of every check.
fn close(checked: usize, breaches: usize) -> ExitCode {
    println!("{checked} checked, {breaches} breaches");
    if breaches == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The program to run: as told, or beside this one.
fn beside(program: Option<PathBuf>) -> String {
    let own = || Some(std::env::current_exe().ok()?.with_file_name("linenthread"));
    program
        .or_else(own)
        .unwrap_or_else(|| "linenthread".into())
        .to_string_lossy()
        .into_owned()
}

fn main() -> ExitCode {
    match command().run() {
        Command::Merged(drill) => {
            let (checked, breaches) = drill.run();
            close(checked, breaches)
        }
        Command::Link(drill) => {
            let (checked, breaches) = drill.run();
            close(checked, breaches)
        }
        Command::Fleet(drill) => {
            let (checked, breaches) = drill.run();
            close(checked, breaches)
        }
        Command::Members { seed } => {
            let (checked, breaches) = members::run(seed);
            close(checked, breaches)
        }
        Command::Failover { seeds, seed } => {
            let (checked, breaches) = failover::run(seeds, seed);
            close(checked, breaches)
        }
        Command::System(drill) => {
            let (checked, breaches) = drill.run();
            close(checked, breaches)
        }
        Command::Dataplane(drill) => {
            let (checked, breaches) = drill.run();
            println!("{checked} sessions checked, {breaches} breaches");
            if breaches == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Command::Zones(drill) => {
            let (checked, breaches) = drill.run();
            close(checked, breaches)
        }
        Command::Processes {
            program,
            rounds,
            seed,
            scenario,
        } => {
            let program = beside(program);
            if scenario == "zones" {
                let (checked, breaches) = scenarios::rounds(&program, rounds, seed);
                breaches
                    .iter()
                    .take(20)
                    .for_each(|why| println!("breach: {why}"));
                return close(checked, breaches.len());
            }
            let (mut checked, mut all) = (0, 0);
            for (name, script) in scenarios::ALL
                .iter()
                .filter(|(name, _)| scenario == "all" || scenario == *name)
            {
                for seed in seed..seed + rounds as u64 {
                    let mut rig = script(&program, seed);
                    let breaches = rig.judge();
                    breaches
                        .iter()
                        .take(5)
                        .for_each(|why| println!("breach: {name}, seed {seed}: {why}"));
                    checked += rig.told().len();
                    all += breaches.len();
                    println!("{name}, seed {seed}: {} lookups", rig.told().len());
                }
            }
            if checked == 0 {
                eprintln!("linenthread-drill: there is no scenario {scenario}");
                return ExitCode::from(2);
            }
            close(checked, all)
        }
        Command::LinkSpeed { program } => {
            let (checked, breaches) = link_speed::run(&beside(program));
            close(checked, breaches)
        }
        Command::LinkBytes {
            program,
            step,
            keep,
            at_once,
        } => {
            let verdict = cut_everywhere(&beside(program), keep, step, at_once);
            verdict
                .breaches
                .iter()
                .for_each(|why| println!("breach: {why}"));
            let Verdict {
                checked,
                answered,
                nacked,
                aborted,
                ..
            } = verdict;
            println!("{answered} answered, {nacked} nacked, {aborted} aborted");
            close(checked, verdict.breaches.len())
        }
        Command::MergingSpeed { rounds } => {
            let (checked, breaches) = merging_speed::run(rounds);
            close(checked, breaches)
        }
    }
}

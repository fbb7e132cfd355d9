//! `linenthread`: a co-ordinator of lookups over replicated shards, on sockets.

mod clock;
mod config;
mod dispatcher;
mod first_try;
mod fleet;
mod frontends;
mod log;
mod merge_responses;
mod migrate;
mod near;
mod operator;
mod own;
mod query;
mod serve;
mod service_discovery;
mod transports;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{Parser, construct, long, positional, pure};

use config::Config;
use own::Own;

#[derive(Clone)]
enum Command {
    Serve(Option<PathBuf>, Option<PathBuf>),
    Check(PathBuf, Option<PathBuf>),
    Schema,
    Migrate {
        dry_run: bool,
        output: Option<PathBuf>,
        old: PathBuf,
    },
    Try {
        show: bool,
        seed: u64,
        sites: u8,
        zones: Option<u8>,
    },
    Zones {
        installation: PathBuf,
        wish: operator::Wish,
    },
    Version,
}

fn command() -> bpaf::OptionParser<Command> {
    let file = long("config")
        .env("EDGE_CONFIG")
        .help("The configuration, as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    let installation = || {
        long("installation")
            .help("The operators' own file, as XML; what it switches on is off without it")
            .argument::<PathBuf>("FILE")
            .optional()
    };
    let own = installation();
    let serve = construct!(Command::Serve(file, own))
        .to_options()
        .descr(
            "Serves lookups until SIGTERM or SIGINT, then answers what it has taken; SIGHUP reads its files",
        )
        .footer("Example: linenthread serve --config config.json --installation deploy/installation.xml")
        .command("serve")
        .help("Serve lookups");
    let file = positional::<PathBuf>("FILE").help("The configuration to read");
    let own = installation();
    let check = construct!(own, file)
        .map(|(own, file)| Command::Check(file, own))
        .to_options()
        .descr(
            "Reads a configuration as serve would, and the operators' file beside it; says in one line what \
             is wrong, with file and line, and exits with 2",
        )
        .footer("Example: linenthread check config.json --installation deploy/installation.xml")
        .command("check")
        .help("Check a configuration");
    let schema = pure(Command::Schema)
        .to_options()
        .descr("Prints the schema (XSD) of the operators' file")
        .footer("Example: linenthread schema > installation.xsd")
        .command("schema")
        .help("Print the schema of the operators' file");
    let dry_run = long("dry-run")
        .help("Say what would be written and left out, and write nothing")
        .switch();
    let output = long("output")
        .help("The new file; it must not exist")
        .argument::<PathBuf>("NEW")
        .optional();
    let old =
        positional::<PathBuf>("OLD").help("The configuration to carry over; it is not changed");
    let migrate = construct!(Command::Migrate { dry_run, output, old })
        .to_options()
        .descr(
            "Writes the counterpart of a configuration for replicas in sets that report no load: the sets are \
             made of neighbouring cells. Lists what each replica must hold besides and what could not be \
             carried over. Exits with 0, with 3 where something was left out, with 2 where nothing can be \
             written",
        )
        .footer("Example: linenthread migrate --dry-run config.json, then --output new.json in its place")
        .command("migrate")
        .help("Carry a configuration over to sets of replicas");
    let show = long("show")
        .help("Ask some lookups, print their answers and end")
        .switch();
    let seed = long("seed")
        .help("What the rows come from")
        .argument("S")
        .fallback(5);
    let sites = long("sites")
        .help("1, or 2: all replicas behind a gateway, over a link")
        .argument::<u8>("N")
        .guard(|n| (1..=2).contains(n), "there are 1 or 2 sites")
        .fallback(1);
    let zones = long("zones")
        .help("3: co-ordinators in three zones that decide in common; one is killed and comes back, shown")
        .argument::<u8>("N")
        .guard(|n| *n == 3, "there are 3 zones")
        .optional();
    let first_try = construct!(Command::Try { show, seed, sites, zones })
        .to_options()
        .descr(
            "Starts a small fleet of stand-ins, a roster and a co-ordinator with merged indexes on loopback, \
             and prints the commands to ask it",
        )
        .footer("Example: linenthread try --show")
        .command("try")
        .help("See it work on this machine, with nothing else set up");
    let zone =
        || positional::<String>("ZONE").help("The zone's name, as the operators' file has it");
    let show = pure(operator::Wish::Show)
        .to_options()
        .descr("Prints the table that all act on")
        .command("show");
    let drain = zone().map(operator::Wish::Drain).to_options();
    let drain = drain
        .descr("Has all co-ordinators leave a zone")
        .command("drain");
    let back = zone().map(operator::Wish::Return).to_options();
    let back = back
        .descr("Has a zone taken back, step by step")
        .command("return");
    let wish = construct!([show, drain, back]);
    let installation = long("installation")
        .help("The operators' own file, which names the fleet's voters and its secret")
        .argument::<PathBuf>("FILE");
    let zones = construct!(Command::Zones { installation, wish })
        .to_options()
        .descr(
            "Looks at the table of zones that the fleet acts on, or has a zone left or taken back",
        )
        .footer("Example: linenthread zones --installation deploy/installation.xml drain palermo")
        .command("zones")
        .help("Show zones, leave one or take it back");
    let version = pure(Command::Version)
        .to_options()
        .descr("Prints the version")
        .command("version")
        .help("Print the version");
    construct!([serve, check, migrate, schema, first_try, zones, version])
        .to_options()
        .descr("linenthread co-ordinates lookups over replicated shards")
        .footer("Start with: EDGE_CONFIG=/run/balancer/config.json linenthread serve")
}

/// Reads both files; what is wrong with either is one line and exit 2.
fn with_files(
    file: Option<PathBuf>,
    own: Option<&Path>,
    use_them: impl FnOnce(Config, &Path, Own) -> ExitCode,
) -> ExitCode {
    let read = || {
        let file = file.ok_or("EDGE_CONFIG is not set and there is no --config")?;
        let config = Config::read(&file)?;
        let own = own
            .map(|own| Own::read(own, &config))
            .transpose()?
            .unwrap_or_default();
        Ok::<_, String>((config, file, own))
    };
    match read() {
        Ok((config, file, own)) => use_them(config, &file, own),
        Err(message) => {
            eprintln!("linenthread: {message}");
            ExitCode::from(2)
        }
    }
}

fn main() -> ExitCode {
    match command().run() {
        Command::Version => {
            println!("linenthread {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Schema => {
            print!("{}", linenthread_installation::SCHEMA);
            ExitCode::SUCCESS
        }
        Command::Zones { installation, wish } => match operator::run(&installation, &wish) {
            Ok(said) => {
                println!("{said}");
                ExitCode::SUCCESS
            }
            Err(message) => {
                eprintln!("linenthread: {message}");
                ExitCode::FAILURE
            }
        },
        Command::Migrate {
            dry_run,
            output,
            old,
        } => migrate::run(&old, output.as_deref(), dry_run),
        Command::Try {
            seed,
            zones: Some(_),
            ..
        } => first_try::run_zones(seed),
        Command::Try {
            show,
            seed,
            sites,
            zones: None,
        } => first_try::run(seed, show, sites == 2),
        Command::Check(file, own) => with_files(Some(file), own.as_deref(), |config, _, read| {
            let (indexes, replicas) = (
                config.deployment.indexes.len(),
                config.remembered.replicas.len(),
            );
            let merged = if own.is_some() {
                format!(", {} merged", read.merging.count())
            } else {
                String::new()
            };
            println!(
                "{}: {indexes} indexes{merged}, {replicas} replicas remembered",
                config.name
            );
            ExitCode::SUCCESS
        }),
        Command::Serve(file, own) => with_files(file, own.as_deref(), |config, file, read| {
            log::start();
            let served = serve::serve(config, file, (read, own.as_deref()), |_| {});
            match actix_rt::System::new().block_on(served) {
                Ok(()) => ExitCode::SUCCESS,
                Err(message) => {
                    tracing::error!("{message}");
                    ExitCode::FAILURE
                }
            }
        }),
    }
}

//! The command line: its commands, their options and their help.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};

use crate::demo::DemoOptions;
use crate::migrate::MigrateOptions;
use crate::zones_command::ZonesAction;

/// What the process is to do.
#[derive(Clone)]
pub enum Command {
    /// Serve queries.
    Serve {
        /// The platform's configuration file.
        config: Option<PathBuf>,
        /// The operators' own file.
        installation: Option<PathBuf>,
    },
    /// Check a configuration as `Serve` would read it.
    Check {
        /// The platform's configuration file.
        config: PathBuf,
        /// The operators' own file.
        installation: Option<PathBuf>,
    },
    /// Print the schema of the installation file.
    Schema,
    /// Carry a configuration over to sets of replicas.
    Migrate(MigrateOptions),
    /// Run a demo on this machine.
    Try(DemoOptions),
    /// Show the routing table of the fleet, drain a zone or take it back.
    Zones {
        /// The operators' own file, which names the fleet.
        installation: PathBuf,
        /// What is asked of the fleet.
        action: ZonesAction,
    },
    /// Print the version.
    Version,
}

/// The parser of the whole command line.
pub fn command() -> OptionParser<Command> {
    let serve = serve();
    let check = check();
    let migrate = migrate();
    let schema = schema();
    let demo = demo();
    let zones = zones();
    let version = version();
    construct!([serve, check, migrate, schema, demo, zones, version])
        .to_options()
        .descr("linenthread co-ordinates lookups over replicated shards")
        .footer("Start with: EDGE_CONFIG=/run/balancer/config.json linenthread serve")
}

fn installation() -> impl Parser<Option<PathBuf>> {
    long("installation")
        .help("The operators' own file, as XML; what it switches on is off without it")
        .argument::<PathBuf>("FILE")
        .optional()
}

fn serve() -> impl Parser<Command> {
    let config = long("config")
        .env("EDGE_CONFIG")
        .help("The configuration, as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    let installation = installation();
    construct!(Command::Serve {
        config,
        installation
    })
        .to_options()
        .descr(
            "Serves lookups until SIGTERM or SIGINT, then answers what it has taken; SIGHUP reads its files",
        )
        .footer("Example: linenthread serve --config config.json --installation deploy/installation.xml")
        .command("serve")
        .help("Serve lookups")
}

fn check() -> impl Parser<Command> {
    let config = positional::<PathBuf>("FILE").help("The configuration to read");
    let installation = installation();
    construct!(Command::Check {
        installation,
        config
    })
        .to_options()
        .descr(
            "Reads a configuration as serve would, and the operators' file beside it; says in one line what \
             is wrong, with file and line, and exits with 2",
        )
        .footer("Example: linenthread check config.json --installation deploy/installation.xml")
        .command("check")
        .help("Check a configuration")
}

fn schema() -> impl Parser<Command> {
    pure(Command::Schema)
        .to_options()
        .descr("Prints the schema (XSD) of the operators' file")
        .footer("Example: linenthread schema > installation.xsd")
        .command("schema")
        .help("Print the schema of the operators' file")
}

fn migrate() -> impl Parser<Command> {
    let dry_run = long("dry-run")
        .help("Say what would be written and left out, and write nothing")
        .switch();
    let output = long("output")
        .help("The new file; it must not exist")
        .argument::<PathBuf>("NEW")
        .optional();
    let old =
        positional::<PathBuf>("OLD").help("The configuration to carry over; it is not changed");
    construct!(MigrateOptions { dry_run, output, old })
        .map(Command::Migrate)
        .to_options()
        .descr(
            "Writes the counterpart of a configuration for replicas in sets that report no load: the sets are \
             made of neighbouring cells. Lists what each replica must hold besides and what could not be \
             carried over. Exits with 0, with 3 where something was left out, with 2 where nothing can be \
             written",
        )
        .footer("Example: linenthread migrate --dry-run config.json, then --output new.json in its place")
        .command("migrate")
        .help("Carry a configuration over to sets of replicas")
}

fn demo() -> impl Parser<Command> {
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
    construct!(DemoOptions {
        show,
        seed,
        sites,
        zones
    })
    .map(Command::Try)
        .to_options()
        .descr(
            "Starts a small fleet of stand-ins, a roster and a co-ordinator with merged indexes on loopback, \
             and prints the commands to ask it",
        )
        .footer("Example: linenthread try --show")
        .command("try")
        .help("See it work on this machine, with nothing else set up")
}

fn zones() -> impl Parser<Command> {
    let installation = long("installation")
        .help("The operators' own file, which names the fleet's voters and its secret")
        .argument::<PathBuf>("FILE");
    let action = zones_action();
    construct!(Command::Zones {
        installation,
        action
    })
    .to_options()
    .descr("Looks at the table of zones that the fleet acts on, or has a zone left or taken back")
    .footer("Example: linenthread zones --installation deploy/installation.xml drain palermo")
    .command("zones")
    .help("Show zones, leave one or take it back")
}

fn zones_action() -> impl Parser<ZonesAction> {
    let zone =
        || positional::<String>("ZONE").help("The zone's name, as the operators' file has it");
    let show = pure(ZonesAction::Show)
        .to_options()
        .descr("Prints the table that all act on")
        .command("show");
    let drain = zone().map(ZonesAction::Drain).to_options();
    let drain = drain
        .descr("Has all co-ordinators leave a zone")
        .command("drain");
    let back = zone().map(ZonesAction::Return).to_options();
    let back = back
        .descr("Has a zone taken back, step by step")
        .command("return");
    construct!([show, drain, back])
}

fn version() -> impl Parser<Command> {
    pure(Command::Version)
        .to_options()
        .descr("Prints the version")
        .command("version")
        .help("Print the version")
}

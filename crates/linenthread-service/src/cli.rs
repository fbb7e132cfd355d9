//! Parses the command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};

use crate::demo::DemoOptions;
use crate::migrate::MigrateOptions;
use crate::zones_command::ZonesAction;

/// A command of the program, with its options.
#[derive(Clone)]
pub enum Command {
    /// Serve queries.
    Serve {
        /// The platform's configuration file.
        config: Option<PathBuf>,
        /// The installation file.
        installation: Option<PathBuf>,
    },
    /// Validate the files that `Serve` would read.
    Check {
        /// The platform's configuration file.
        config: PathBuf,
        /// The installation file.
        installation: Option<PathBuf>,
    },
    /// Print the schema of the installation file.
    Schema,
    /// Convert a configuration to replica sets.
    Migrate(MigrateOptions),
    /// Run a demo on this machine.
    Try(DemoOptions),
    /// Show the fleet's routing table, drain a zone or restore one.
    Zones {
        /// The installation file, which names the fleet.
        installation: PathBuf,
        /// The action to carry out.
        action: ZonesAction,
    },
    /// Print the version.
    Version,
}

/// Returns the parser of the command line.
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
        .descr("linenthread co-ordinates queries over replicated shards")
        .footer("Start with: EDGE_CONFIG=/run/balancer/config.json linenthread serve")
}

fn installation() -> impl Parser<Option<PathBuf>> {
    long("installation")
        .help("The installation file, as XML; without it, the features that it enables are off")
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
            "Serves queries until SIGTERM or SIGINT, then completes those in flight; SIGHUP reloads the files",
        )
        .footer("Example: linenthread serve --config config.json --installation deploy/installation.xml")
        .command("serve")
        .help("Serve queries")
}

fn check() -> impl Parser<Command> {
    let config = positional::<PathBuf>("FILE").help("The configuration to validate");
    let installation = installation();
    construct!(Command::Check {
        installation,
        config
    })
        .to_options()
        .descr(
            "Validates the configuration and the installation file that serve would read; if one is invalid, prints \
             one line with the file, the place in it and the reason, and exits with 2",
        )
        .footer("Example: linenthread check config.json --installation deploy/installation.xml")
        .command("check")
        .help("Validate a configuration")
}

fn schema() -> impl Parser<Command> {
    pure(Command::Schema)
        .to_options()
        .descr("Prints the schema (XSD) of the installation file")
        .footer("Example: linenthread schema > installation.xsd")
        .command("schema")
        .help("Print the schema of the installation file")
}

fn migrate() -> impl Parser<Command> {
    let dry_run = long("dry-run")
        .help("Print what would be written and omitted, and write nothing")
        .switch();
    let output = long("output")
        .help("The new file; it must not exist")
        .argument::<PathBuf>("NEW")
        .optional();
    let old = positional::<PathBuf>("OLD").help("The configuration to migrate; it is not changed");
    construct!(MigrateOptions { dry_run, output, old })
        .map(Command::Migrate)
        .to_options()
        .descr(
            "Converts a configuration to sets of replicas that report no load; each set consists of consecutive \
             cells. Lists the shards that each replica must load first, and the omitted settings. Exit codes: 0, 3 \
             if settings were omitted, 2 if nothing can be written",
        )
        .footer("Example: linenthread migrate --dry-run config.json, then --output new.json in its place")
        .command("migrate")
        .help("Convert a configuration to replica sets")
}

fn demo() -> impl Parser<Command> {
    let show = long("show")
        .help("Send some queries, print their responses and exit")
        .switch();
    let seed = long("seed")
        .help("The seed for the generated rows")
        .argument("S")
        .fallback(5);
    let sites = long("sites")
        .help("1, or 2 to reach all replicas over a link through a gateway")
        .argument::<u8>("N")
        .guard(|n| (1..=2).contains(n), "there are 1 or 2 sites")
        .fallback(1);
    let zones = long("zones")
        .help("3: co-ordinators in three zones with a common routing table; one zone is killed and restarted")
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
            "Starts stub replicas, stub service discovery and a co-ordinator with merged indexes on loopback, and \
             prints the commands to query it",
        )
        .footer("Example: linenthread try --show")
        .command("try")
        .help("Run a demo on this machine; it needs no set-up")
}

fn zones() -> impl Parser<Command> {
    let installation = long("installation")
        .help("The installation file, which names the fleet's voters and its secret")
        .argument::<PathBuf>("FILE");
    let action = zones_action();
    construct!(Command::Zones {
        installation,
        action
    })
    .to_options()
    .descr("Shows the fleet's routing table between zones, drains a zone or restores a drained one")
    .footer("Example: linenthread zones --installation deploy/installation.xml drain palermo")
    .command("zones")
    .help("Show zones, drain one or restore one")
}

fn zones_action() -> impl Parser<ZonesAction> {
    let zone = || positional::<String>("ZONE").help("The zone's name in the installation file");
    let show = pure(ZonesAction::Show)
        .to_options()
        .descr("Prints the routing table in use")
        .command("show");
    let drain = zone().map(ZonesAction::Drain).to_options();
    let drain = drain
        .descr("Drains a zone: all co-ordinators stop sending sub-requests to it")
        .command("drain");
    let restore = zone().map(ZonesAction::Return).to_options();
    let restore = restore
        .descr("Restores traffic to a drained zone in steps")
        .command("return");
    construct!([show, drain, restore])
}

fn version() -> impl Parser<Command> {
    pure(Command::Version)
        .to_options()
        .descr("Prints the version")
        .command("version")
        .help("Print the version")
}

//! `linenthread serve`: starts the tasks of the process and runs them until a signal to stop.

mod descriptors;
mod error;
mod fleet_member;
mod links;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tracing::info;

use crate::clock;
use crate::config::Config;
use crate::coordinator_driver::CoordinatorDriver;
use crate::fleet::{self, FleetHandle, FleetRequest};
use crate::frontends::http::HttpFrontend;
use crate::frontends::link::Gateway;
use crate::frontends::listener;
use crate::installation::InstallationSettings;
use crate::merge_responses::{MergePlans, ResponseMerging};
use crate::query::QueryContext;
use crate::service_discovery::{self, FirstFetch};
use crate::transports::Transports;
use crate::transports::attempt::ConnectionConfig;
use crate::zone_routing::{ZoneRouting, ZoneRoutingConfig, numbered_zones};

use descriptors::{max_clients, max_idle_clients, replica_descriptors};
pub use error::ServeError;
use error::{FleetSnafu, ListenSnafu, SignalsSnafu};

/// Time limit for the calls that are in progress on incoming links when the process shuts down.
const LINKS_DRAIN: Duration = Duration::from_millis(1_500);

/// The files that a running process reads again on SIGHUP.
#[derive(Clone, Copy)]
pub struct ReloadedFiles<'a> {
    /// The platform's configuration.
    pub config: &'a Path,
    /// The installation file.
    pub installation: Option<&'a Path>,
}

/// The signals that a running process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Signals, ServeError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).context(SignalsSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(SignalsSnafu)?,
            hangup: signal(SignalKind::hangup()).context(SignalsSnafu)?,
        })
    }
}

/// Serves until SIGTERM or SIGINT, then completes all accepted queries. Calls `ready` with the address on which the
/// process listens.
///
/// # Errors
///
/// Returns an error if the process cannot start or an essential task fails.
pub async fn serve(
    config: Config,
    settings: InstallationSettings,
    files: ReloadedFiles<'_>,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), ServeError> {
    let address = config.listen;
    let listener = listener::listen(address).context(ListenSnafu { address })?;
    let mut signals = Signals::new()?;
    let mut process = Process::start(&config, settings)?;
    let listen = listener.local_addr().unwrap_or(address);
    let merged_indexes = process.query_context.merging.plans.borrow().count();
    info!(name = config.name, %listen, discovery = %config.discovery, merged_indexes, "serving");
    ready(listen);
    process.run(&listener, &mut signals, &config, files).await?;
    process.shut_down(listener).await;
    Ok(())
}

/// The tasks and handles of a serving process.
struct Process {
    frontend: HttpFrontend,
    query_context: Rc<QueryContext>,
    fleet: Option<FleetHandle>,
    gateway: Option<Gateway>,
    /// The address of service discovery; a change makes its watch switch to the new address.
    discovery_address: watch::Sender<SocketAddr>,
    /// The task that runs the decision module.
    decisions: JoinHandle<()>,
    /// The task that watches service discovery.
    discovery: JoinHandle<()>,
}

impl Process {
    /// Starts all tasks except those that accept clients.
    fn start(config: &Config, settings: InstallationSettings) -> Result<Process, ServeError> {
        let max_clients = max_clients(config, &settings);
        let transports = transports(config);
        let driver = driver(config, &transports, &settings);
        let fleet = settings
            .fleet
            .map(|fleet| fleet_member::join(config, &driver, fleet, settings.zones));
        let fleet = fleet.transpose().context(FleetSnafu)?;
        let decisions = actix_rt::spawn(driver.clone().run());
        let (discovery_address, watched_address) = watch::channel(config.discovery);
        let discovery = actix_rt::spawn(service_discovery::watch(
            driver.clone(),
            watched_address,
            config.coordinator.layout.replica_groups,
            first_fetch(config),
        ));
        for (peer, number) in settings.peers.into_iter().zip(1..) {
            let seed = config.seed.wrapping_add(number);
            links::start_peer(config, &driver, &transports, peer, seed);
        }
        let gateway = settings
            .gateway
            .map(|gateway| links::start_gateway(config, &driver, &transports, gateway));
        let gateway = gateway.transpose()?;
        let query_context = query_context(config, driver, transports, settings.merging);
        let query_context = Rc::new(query_context);
        let frontend =
            HttpFrontend::new(query_context.clone(), max_clients, max_idle_clients(config));
        Ok(Process {
            frontend,
            query_context,
            fleet,
            gateway,
            discovery_address,
            decisions,
            discovery,
        })
    }

    /// Serves until SIGTERM or SIGINT, and reloads the files on each SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error if an essential task fails.
    async fn run(
        &mut self,
        listener: &TcpListener,
        signals: &mut Signals,
        config: &Config,
        files: ReloadedFiles<'_>,
    ) -> Result<(), ServeError> {
        let reload = reload(
            &mut signals.hangup,
            config,
            files,
            &self.discovery_address,
            &self.query_context,
        );
        tokio::select! {
            () = self.frontend.accept(listener) => Ok(()),
            () = self.frontend.sweep() => Ok(()),
            _ = &mut self.decisions => Err(ServeError::Decisions),
            _ = &mut self.discovery => Err(ServeError::ServiceDiscovery),
            _ = signals.terminate.recv() => Ok(()),
            _ = signals.interrupt.recv() => Ok(()),
            () = reload => Ok(()),
        }
    }

    /// Leaves the fleet and completes the accepted queries, those received over links as well. The health check fails
    /// from now on.
    async fn shut_down(self, listener: TcpListener) {
        if let Some(fleet) = &self.fleet {
            fleet.sender.send(FleetRequest::Leave).ok();
        }
        let drain_links = async {
            if let Some(gateway) = &self.gateway {
                gateway.drain(LINKS_DRAIN).await;
            }
        };
        tokio::join!(self.frontend.stop(listener), drain_links);
        if let Some(fleet) = self.fleet {
            fleet.leave();
        }
    }
}

/// Returns when the first membership list is fetched: if the settings let the coordinator watch the list, the
/// coordinator requests the first one itself.
fn first_fetch(config: &Config) -> FirstFetch {
    if config.coordinator.watch_membership {
        FirstFetch::OnRequest
    } else {
        FirstFetch::Immediately
    }
}

/// Creates the connections to replicas. Idle connections are closed somewhat earlier than the replicas would close
/// them.
fn transports(config: &Config) -> Transports {
    let cluster = &config.cluster;
    let connect_timeout = clock::to_duration(cluster.connect_timeout.max(1));
    let replica_idle_timeout = clock::to_duration(cluster.idle_timeout.max(1));
    Transports::new(ConnectionConfig {
        max_streams: cluster.max_streams,
        sends_cancellations: config.coordinator.permissions.cancellation,
        connect_timeout,
        probe_timeout: connect_timeout,
        idle_timeout: replica_idle_timeout - replica_idle_timeout / 8,
        max_connections: replica_descriptors(config),
    })
}

/// Creates the coordinator driver, with zone-aware routing if this process is in a fleet that has zones.
fn driver(
    config: &Config,
    transports: &Transports,
    settings: &InstallationSettings,
) -> CoordinatorDriver {
    let installed_zones = settings.zones.as_ref().map(|zones| &zones.zones[..]);
    let zone_names = numbered_zones(
        &config.cluster.zone_names,
        installed_zones.unwrap_or_default(),
    );
    let zones = zone_routing(config, settings, &zone_names);
    CoordinatorDriver::new(config, transports.clone(), zone_names, zones)
}

/// Creates the routing between zones; `None` unless this process is in a fleet that has zones.
fn zone_routing(
    config: &Config,
    settings: &InstallationSettings,
    zone_names: &[String],
) -> Option<ZoneRouting> {
    let fleet = &settings.fleet.as_ref()?.section;
    let zones = settings.zones.as_ref()?;
    let routing_config = ZoneRoutingConfig {
        zones: fleet::configured_zones(zones),
        local_zone: fleet.zone.clone(),
        table_lifetime: clock::to_tenths(zones.table_lifetime),
        layout: config.coordinator.layout.clone(),
        shard_count: config.cluster.shard_count,
    };
    Some(ZoneRouting::new(routing_config, zone_names))
}

/// Creates the state that the tasks of all queries share.
fn query_context(
    config: &Config,
    driver: CoordinatorDriver,
    transports: Transports,
    merging: MergePlans,
) -> QueryContext {
    let indexes = config.coordinator.indexes.iter();
    QueryContext {
        driver,
        transports,
        cluster: config.cluster.clone(),
        sends_cancellations: config.coordinator.permissions.cancellation,
        priorities: indexes.map(|index| thousandths(index.value)).collect(),
        merging: ResponseMerging {
            plans: RefCell::new(Rc::new(merging)),
            ..ResponseMerging::default()
        },
        open_ids: RefCell::default(),
    }
}

/// Converts a value to thousandths, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the fraction is dropped deliberately; the cast saturates, and values are far below its limit"
)]
fn thousandths(value: f64) -> u32 {
    (value * 1_000.0) as u32
}

/// Reloads the files on each SIGHUP.
async fn reload(
    hangup: &mut Signal,
    config: &Config,
    files: ReloadedFiles<'_>,
    discovery_address: &watch::Sender<SocketAddr>,
    query_context: &QueryContext,
) {
    loop {
        hangup.recv().await;
        if let Some(new) = config.reload(files.config) {
            discovery_address.send_if_modified(|address| std::mem::replace(address, new) != new);
        }
        // Queries in progress keep the plans that were in use when they started.
        if let Some(new) = files
            .installation
            .and_then(|file| InstallationSettings::reload(file, config))
        {
            query_context.merging.plans.replace(new);
        }
    }
}

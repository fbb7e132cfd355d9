//! Puts the program together and runs it until it is told to stop.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linenthread_link::{ClientConfig, LinkServer, Secrets, ServerConfig};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, sleep};
use tracing::{info, warn};

use crate::clock;
use crate::config::Config;
use crate::dispatcher::Dispatcher;
use crate::duration::tenth_millis;
use crate::fleet::{self, FleetHandle, FromFleet, MemberConfig, ToFleet};
use crate::frontends::http::{self, HttpFrontend};
use crate::frontends::link::{self, Gateway};
use crate::installation::Own;
use crate::merge_responses::ResponseMerging;
use crate::query::QueryContext;
use crate::service_discovery;
use crate::transports::attempt::ConnectionLimits;
use crate::transports::{Transports, link as far};
use crate::zone_routing::ZoneRouting;

/// Descriptors that are neither a client's nor a replica's: standard streams, the listener, the roster's,
/// the runtime's own.
const OWN_DESCRIPTORS: usize = 24;

/// Bytes of calls that wait for one link at the most.
const MOST_WAITING: u64 = 8 * 1024 * 1024;
/// After the word to stop, what runs for links may go on for so long.
const LINKS_DRAIN: Duration = Duration::from_millis(1_500);

/// What the desk sees of zones is passed on this often.
const SEEN: Duration = Duration::from_millis(500);

/// Serves until told to stop, then answers all it has taken. Told to, it reads its files again. `ready` is
/// told the address that is listened on.
pub(crate) async fn serve(
    config: Config,
    file: &Path,
    (own, installation): (Own, Option<&Path>),
    ready: impl FnOnce(SocketAddr),
) -> Result<(), String> {
    let listener = http::listen(config.listen)
        .map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let [terminate, interrupt, hangup] = [
        SignalKind::terminate(),
        SignalKind::interrupt(),
        SignalKind::hangup(),
    ]
    .map(signal);
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (terminate, interrupt, hangup)
    else {
        return Err("cannot watch signals".into());
    };
    // Descriptors for replicas come before those for clients: a quarter of all, or two a replica. The fleet
    // may change, but not beyond what the rest can do without.
    let for_replicas = (config.sockets / 4)
        .max(config.remembered.replicas.len() * 2)
        .min(config.sockets / 2);
    let (surroundings, layout) = (&config.surroundings, &config.deployment.layout);
    let withdraw = config.deployment.permissions.cancellation;
    let connect = clock::to_duration(surroundings.connect_timeout.max(1));
    let idle = clock::to_duration(surroundings.idle_timeout.max(1));
    let carriers = Transports::new(ConnectionLimits {
        max_streams: surroundings.max_streams,
        cancellation: withdraw,
        connect_timeout: connect,
        probe_timeout: connect,
        idle_timeout: idle - idle / 8,
        max_connections: for_replicas,
    });
    let Own {
        merging,
        gateway,
        peers,
        fleet,
        zones,
    } = own;
    let names: Vec<String> = zones
        .iter()
        .flat_map(|z| &z.zones)
        .map(|z| z.name.clone())
        .collect();
    let desk = Dispatcher::new(&config, carriers.clone(), &names, |sites| {
        let ((fleet, _), zones) = (fleet.as_ref()?, zones.as_ref()?);
        let shards = (config.deployment.layout.clone(), surroundings.shard_count);
        Some(ZoneRouting::new(
            fleet::configured_zones(zones),
            &fleet.zone,
            tenth_millis(zones.table_lifetime),
            sites,
            shards,
        ))
    });
    let fleet = match fleet {
        Some((fleet, secrets)) => Some(join_fleet(&config, &desk, fleet, zones, secrets)?),
        None => None,
    };
    let ask_first = !config.deployment.watch_membership;
    let mut rounds = actix_rt::spawn(desk.clone().run());
    let (moved, address) = watch::channel(config.roster);
    let mut watch = actix_rt::spawn(service_discovery::watch(
        desk.clone(),
        address,
        layout.replica_groups,
        ask_first,
    ));
    // A link takes one descriptor, a gateway as many as it may have sessions and the listener.
    let for_fleet = fleet.as_ref().map_or(0, |(_, descriptors)| *descriptors);
    let for_links = for_fleet
        + peers.len()
        + gateway
            .as_ref()
            .map_or(0, |(gateway, _)| 2 * gateway.max_sessions + 1);
    for (n, (peer, secrets)) in peers.into_iter().enumerate() {
        let number = desk.add_peer();
        let (changes, mut news) = mpsc::unbounded_channel();
        let near = ClientConfig {
            name: config.name.clone(),
            max_in_flight: peer.max_in_flight,
            max_queued_bytes: MOST_WAITING,
            session_timeout: tenth_millis(peer.session_timeout),
            ping_interval: tenth_millis(peer.ping_interval),
            grace_period: tenth_millis(peer.grace_period),
            min_backoff: tenth_millis(Duration::from_millis(50)),
            max_backoff: tenth_millis(Duration::from_millis(500)),
        };
        let seed = config.seed.wrapping_add(1 + n as u64);
        let terms = far::LinkConfig {
            name: peer.name,
            address: peer.address,
            secrets,
            client: near,
            seed,
        };
        carriers.add_peer(far::Peer::start(terms, desk.clock(), changes));
        let desk = desk.clone();
        actix_rt::spawn(async move {
            while let Some(news) = news.recv().await {
                desk.on_link_event(number, news);
            }
        });
    }
    let mut for_leaving = None;
    if let Some((gateway, secrets)) = gateway {
        let listener = link::listen(gateway.listen)
            .map_err(|e| format!("cannot listen for links on {}: {e}", gateway.listen))?;
        let listen = listener.local_addr().unwrap_or(gateway.listen);
        let terms = ServerConfig {
            name: config.name.clone(),
            window_calls: gateway.window_calls,
            window_bytes: gateway.window_bytes,
            session_timeout: tenth_millis(gateway.session_timeout),
            max_sessions: gateway.max_sessions,
            handshake_timeout: tenth_millis(Duration::from_millis(2_000)),
            idle_timeout: tenth_millis(Duration::from_millis(10_000)),
        };
        let far = LinkServer::new(terms, secrets, config.seed);
        let gateway = Gateway::new(
            desk.clone(),
            carriers.clone(),
            far,
            gateway.slow_start_share,
        );
        for_leaving = Some(gateway.clone());
        actix_rt::spawn(async move { gateway.run(&listener).await });
        info!(%listen, "gateway");
    }
    let work = Rc::new(QueryContext {
        dispatcher: desk,
        transports: carriers,
        cluster: surroundings.clone(),
        cancellation: withdraw,
        priorities: config
            .deployment
            .indexes
            .iter()
            .map(|i| (i.value * 1_000.0) as u32)
            .collect(),
        merging: ResponseMerging {
            plans: RefCell::new(Rc::new(merging)),
            ..ResponseMerging::default()
        },
        open_ids: RefCell::default(),
    });
    let most = config
        .sockets
        .saturating_sub(for_replicas + for_links + OWN_DESCRIPTORS)
        .max(1);
    let front = HttpFrontend::new(work.clone(), most, config.sockets / 6);
    let listen = listener.local_addr().unwrap_or(config.listen);
    let merged = work.merging.plans.borrow().count();
    info!(name = config.name, %listen, roster = %config.roster, merged, "serving");
    ready(listen);
    tokio::select! {
        () = front.accept(&listener) => {}
        () = front.sweep() => {}
        _ = &mut rounds => return Err("the decision module failed".into()),
        _ = &mut watch => return Err("the roster's watch failed".into()),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = async {
            loop {
                hangup.recv().await;
                if let Some(roster) = config.again(file) {
                    moved.send_if_modified(|at| std::mem::replace(at, roster) != roster);
                }
                // Lookups under way go on by the file that they began with.
                if let Some(new) = installation.and_then(|file| Own::again(file, &config)) {
                    work.merging.plans.replace(new);
                }
            }
        } => {}
    }
    if let Some((fleet, _)) = &fleet {
        fleet.sender.send(ToFleet::Leave).ok();
    }
    if let Some(gateway) = for_leaving {
        gateway.drain(LINKS_DRAIN).await;
    }
    front.stop(listener).await;
    if let Some((fleet, _)) = &fleet {
        fleet.leave();
    }
    Ok(())
}

/// Takes part in the fleet: passes on what the desk sees, and has it act on the tables that are agreed on. Gives the
/// way to the fleet's thread, and how many descriptors it may need.
fn join_fleet(
    config: &Config,
    desk: &Dispatcher,
    fleet: linenthread_installation::Fleet,
    zones: Option<linenthread_installation::Zones>,
    secrets: Secrets,
) -> Result<(FleetHandle, usize), String> {
    let descriptors = 4 + fleet.voters.len() * 2 + fleet.expected_members as usize;
    let (from, mut told) = mpsc::unbounded_channel();
    let seed = config.seed.rotate_left(17);
    let member = MemberConfig {
        name: config.name.clone(),
        fleet,
        zones,
        secrets,
        seed,
    };
    let handle = fleet::start(member, desk.clock(), from).map_err(|error| error.to_string())?;
    let (desk, to) = (desk.clone(), handle.sender.clone());
    actix_rt::spawn(async move {
        let mut tell = interval(SEEN);
        loop {
            tokio::select! {
                _ = tell.tick() => {
                    if let Some((report, ground)) = desk.report_zones()
                        && to.send(ToFleet::Observed(report, ground)).is_err()
                    {
                        warn!("the fleet's thread has ended: decides alone");
                        return;
                    }
                }
                Some(FromFleet::Table { number, table }) = told.recv() => {
                    // From the moment on that it states; clocks that are apart are not waited for.
                    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
                    let wait = u128::from(table.valid_from_ms).saturating_sub(unix).min(1_000) as u64;
                    sleep(Duration::from_millis(wait)).await;
                    let rows = table.rows.clone();
                    if desk.apply_routing_table(table) {
                        info!(number, ?rows, "acts on a table");
                    } else {
                        warn!(number, "a table of other zones than this file has is not acted on");
                    }
                }
            }
        }
    });
    Ok((handle, descriptors))
}

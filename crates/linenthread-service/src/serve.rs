//! Puts the program together and runs it until it is told to stop.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tracing::info;

use crate::carriers::{Carriers, Limits};
use crate::config::Config;
use crate::desk::{self, Desk};
use crate::fronts::http::{self, Front};
use crate::gather::{Gathering, Merging};
use crate::lookup::Work;
use crate::roster;

/// Descriptors that are neither a client's nor a replica's: standard streams, the listener, the roster's,
/// the runtime's own.
const OWN_DESCRIPTORS: usize = 24;

/// Serves until told to stop, then answers all it has taken. Told to, it reads its files again. `ready` is
/// told the address that is listened on.
pub async fn serve(
    config: Config,
    file: &Path,
    (merging, installation): (Merging, Option<&Path>),
    ready: impl FnOnce(SocketAddr),
) -> Result<(), String> {
    let listener =
        http::listen(config.listen).map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let [terminate, interrupt, hangup] =
        [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()].map(signal);
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (terminate, interrupt, hangup) else {
        return Err("cannot watch signals".into());
    };
    // Descriptors for replicas come before those for clients: a quarter of all, or two a replica. The fleet
    // may change, but not beyond what the rest can do without.
    let for_replicas = (config.sockets / 4).max(config.remembered.replicas.len() * 2).min(config.sockets / 2);
    let (surroundings, layout) = (&config.surroundings, &config.deployment.layout);
    let withdraw = config.deployment.allowance.withdraw;
    let connect = desk::span(surroundings.connect_time_out.max(1));
    let idle = desk::span(surroundings.idle.max(1));
    let carriers = Carriers::new(Limits {
        streams: surroundings.streams,
        withdraw,
        connect,
        probe: connect,
        idle: idle - idle / 8,
        connections: for_replicas,
    });
    let desk = Desk::new(&config, carriers.clone());
    let ask_first = !config.deployment.watch_roster;
    let mut rounds = actix_rt::spawn(desk.clone().run());
    let (moved, address) = watch::channel(config.roster);
    let mut watch = actix_rt::spawn(roster::watch(desk.clone(), address, layout.cells, ask_first));
    let work = Rc::new(Work {
        desk,
        carriers,
        surroundings: surroundings.clone(),
        withdraw,
        parts_a_call: layout.parts_a_call,
        gathering: Gathering { merging: RefCell::new(Rc::new(merging)), ..Gathering::default() },
        open: RefCell::default(),
    });
    let most = config.sockets - for_replicas - OWN_DESCRIPTORS;
    let front = Front::new(work.clone(), most, config.sockets / 6);
    let listen = listener.local_addr().unwrap_or(config.listen);
    let merged = work.gathering.merging.borrow().count();
    info!(name = config.name, %listen, roster = %config.roster, merged, "serving");
    ready(listen);
    tokio::select! {
        _ = front.accept(&listener) => {}
        _ = front.sweep() => {}
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
                if let Some(new) = installation.and_then(|file| Merging::again(file, &config)) {
                    work.gathering.merging.replace(new);
                }
            }
        } => {}
    }
    front.stop(listener).await;
    Ok(())
}

//! A front's session with a hub: it follows the log of changes from its place on, and goes elsewhere when the
//! hub is silent or out of touch with the others.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::{DataPlane, Share};
use linenthread_messages::{Heartbeat, Hello, PeerMessage, VERSION};
use oorandom::Rand64;
use tokio::sync::{mpsc, watch};

use crate::{clock, links};

const TICK: Duration = Duration::from_millis(500);
const SILENT: u64 = 1_600;
const DIAL: Duration = Duration::from_millis(600);
/// Between tries, at first and at most; half of it by chance.
const WAIT: (u64, u64) = (50, 800);

/// What outlasts a session.
struct Following {
    plane: Rc<DataPlane>,
    life: u64,
    log: Cell<u64>,
    place: Cell<u64>,
    hubs: RefCell<Vec<SocketAddr>>,
    asked: Cell<u64>,
    /// When each word that asks for a share was said.
    said: RefCell<VecDeque<(u64, u64)>>,
}

impl Following {
    /// The number of the next word that asks for a share; when it was said is kept.
    fn ask(&self) -> u64 {
        let asked = self.asked.get() + 1;
        self.asked.set(asked);
        let mut said = self.said.borrow_mut();
        said.push_back((asked, clock::ms()));
        if said.len() > 64 {
            said.pop_front();
        }
        asked
    }
}

pub(crate) async fn follow(
    plane: Rc<DataPlane>,
    life: u64,
    mut changed: watch::Receiver<Option<Rc<linenthread_config::Settings>>>,
) {
    let mut chance = Rand64::new(u128::from(life));
    let following = Rc::new(Following {
        hubs: RefCell::new(plane.settings.bootstrap_peers.clone()),
        plane,
        life,
        log: Cell::new(0),
        place: Cell::new(0),
        asked: Cell::new(0),
        said: RefCell::default(),
    });
    // Which hub is met in which zone, as far as is known.
    let zones: Rc<RefCell<HashMap<SocketAddr, String>>> = Rc::default();
    let mut failed: HashMap<SocketAddr, u64> = HashMap::new();
    let mut wait = WAIT.0;
    loop {
        if changed.has_changed().unwrap_or(false)
            && let Some(settings) = changed.borrow_and_update().clone()
        {
            let mut hubs = following.hubs.borrow_mut();
            let new = settings
                .bootstrap_peers
                .iter()
                .filter(|a| !hubs.contains(a))
                .copied();
            let new: Vec<SocketAddr> = new.collect();
            hubs.extend(new);
        }
        // The longest ago failed first; of those, the own zone's, then by chance.
        let mut hubs = following.hubs.borrow().clone();
        let own = &following.plane.settings.zone;
        let far = |a: &SocketAddr| zones.borrow().get(a).is_none_or(|z| z != own);
        hubs.sort_by_cached_key(|a| {
            (
                failed.get(a).copied().unwrap_or(0),
                far(a),
                chance.rand_u64(),
            )
        });
        let Some(hub) = hubs.first().copied() else {
            return;
        };
        let began = clock::ms();
        let zone = zones.clone();
        match session(&following, hub, move |z| {
            drop(zone.borrow_mut().insert(hub, z));
        })
        .await
        {
            Ok(why) => log::info!(hub = hub.to_string(), cause = why; "event=session_closed"),
            Err(e) => log::info!(cause = e.to_string(); "event=session_failed"),
        }
        let now = clock::ms();
        failed.insert(hub, now);
        wait = if now > began + 5_000 {
            WAIT.0
        } else {
            (wait * 2).min(WAIT.1)
        };
        if failed.len() <= hubs.len() / 2 {
            wait = WAIT.0;
        }
        tokio::time::sleep(Duration::from_millis(
            wait / 2 + chance.rand_range(0..wait / 2 + 1),
        ))
        .await;
    }
}

async fn session(
    following: &Rc<Following>,
    hub: SocketAddr,
    met: impl Fn(String),
) -> Result<&'static str, crate::errors::Error> {
    let plane = &following.plane;
    let peer = SocketAddr::new(hub.ip(), plane.settings.peers_port);
    let stream = links::dial(peer, DIAL).await?;
    let (to, words) = mpsc::channel(links::WAITING);
    let hello = Hello {
        version: VERSION,
        name: plane.settings.node_name.clone(),
        zone: plane.settings.zone.clone(),
        incarnation: following.life,
        change_log_id: following.log.get(),
        change_log_offset: following.place.get(),
        value_number: plane.revision(),
        ..Hello::default()
    };
    let _ = to.try_send(PeerMessage::Hello(hello));
    let heard = Rc::new(Cell::new(clock::ms()));
    let outside = Rc::new(Cell::new(0u32));
    let (at, alone, state) = (heard.clone(), outside.clone(), following.clone());
    let take = move |word| {
        at.set(clock::ms());
        hear(&state, word, &alone, &met)
    };
    let name = peer.to_string();
    let carried = links::carry(stream, &name, words, take);
    let ticking = async {
        loop {
            let asked = following.ask();
            let tick = Heartbeat {
                quota_request_or_value_number: asked,
                revision: plane.revision(),
                ..Heartbeat::default()
            };
            if to.try_send(PeerMessage::Heartbeat(tick)).is_err() {
                return "the hub does not read";
            }
            tokio::time::sleep(TICK).await;
            let now = clock::ms();
            let share = plane.share();
            if share.until <= now && share.free > 0.0 {
                plane.allot(Share { free: 0.0, ..share });
            }
            if now > heard.get() + SILENT {
                return "the hub is silent";
            }
            if outside.get() >= 2 {
                return "the hub is out of touch with the others";
            }
        }
    };
    tokio::select! {
        done = carried => done.map(|()| "the hub has closed"),
        why = ticking => Ok(why),
    }
}

/// One word of the hub; false ends the session.
fn hear(
    following: &Following,
    word: PeerMessage,
    outside: &Cell<u32>,
    met: &impl Fn(String),
) -> bool {
    let plane = &following.plane;
    match word {
        PeerMessage::Hello(hello) => {
            met(hello.zone);
            return hello.version == VERSION;
        }
        PeerMessage::Heartbeat(tick) => outside.set(if tick.has_quorum {
            0
        } else {
            outside.get() + 1
        }),
        PeerMessage::IngressUpdate(news) => {
            following.log.set(news.change_log_id);
            following.place.set(news.change_log_offset);
            if !news.control_addresses.is_empty() {
                let mut hubs: Vec<SocketAddr> = news
                    .control_addresses
                    .iter()
                    .filter_map(|h| h.parse().ok())
                    .collect();
                hubs.extend(
                    plane
                        .settings
                        .bootstrap_peers
                        .iter()
                        .filter(|b| !news.control_addresses.contains(&b.to_string())),
                );
                *following.hubs.borrow_mut() = hubs;
            }
            plane.hear(&news.replicas, news.complete && news.registry_settled);
            if let Some(value) = news.value {
                plane.adopt(&value.document);
            }
            if news.confirmed && !plane.confirmed.replace(true) {
                log::info!(revision = plane.revision(); "event=configuration_confirmed");
            }
        }
        PeerMessage::QuotaGrants(grants) => {
            let own = |g: &linenthread_messages::QuotaGrant| {
                g.incarnation == following.life && g.epoch >= plane.share().epoch
            };
            for grant in grants.grants.iter().filter(|g| own(g)) {
                // Counted from when it was asked for: that was before it was given.
                let said = following
                    .said
                    .borrow()
                    .iter()
                    .find(|(n, _)| *n == grant.quota_request)
                    .map(|(_, at)| *at);
                if let Some(said) = said {
                    plane.allot(Share {
                        free: grant.share,
                        until: said + u64::from(grant.lease_ms),
                        own: grant.ingress_index as usize,
                        fronts: grant.ingress_count as usize,
                        epoch: grant.epoch,
                    });
                }
            }
        }
        _ => {}
    }
    true
}

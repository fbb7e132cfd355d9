//! Fronts: each holds a session with one core machine, follows its log and asks for shares.

use std::collections::BTreeMap;

use linenthread_messages::{Heartbeat, Hello, PeerMessage, VERSION};

use super::world::{Event, World};

/// The allowance that all fronts together may use in a window.
pub(super) const WHOLE: f64 = 50.0;
pub(super) const WINDOW: u64 = 4_000;
pub(super) const FRONTS: usize = 4;

pub(super) struct Front {
    pub(super) life: u64,
    pub(super) link: Option<u64>,
    pub(super) hub: usize,
    pub(super) log: u64,
    pub(super) place: u64,
    pub(super) asked: u64,
    pub(super) said: BTreeMap<u64, u64>,
    pub(super) share: f64,
    pub(super) until: u64,
    /// Shares held of late: how much, until when.
    pub(super) held: Vec<(f64, u64)>,
    pub(super) revision: u64,
    pub(super) confirmed: bool,
    pub(super) heard: u64,
    pub(super) outside: u32,
    pub(super) epoch: u64,
    /// When it last tried each core machine in vain: the longest ago comes first.
    pub(super) failed: BTreeMap<usize, u64>,
    /// Without a session with a node in contact, though there is one.
    pub(super) without_since: Option<u64>,
}

/// Fronts are numbered from here on, behind all core machines.
pub(super) const FIRST_FRONT: usize = 1_000;

/// The number of a front among all machines.
pub(super) fn front_number(front: usize) -> usize {
    FIRST_FRONT + front
}

impl Front {
    pub(super) fn new(life: u64) -> Front {
        Front {
            life,
            link: None,
            hub: 0,
            log: 0,
            place: 0,
            asked: 0,
            said: BTreeMap::new(),
            share: 0.0,
            until: 0,
            held: Vec::new(),
            revision: 0,
            confirmed: false,
            heard: 0,
            outside: 0,
            epoch: 0,
            failed: BTreeMap::new(),
            without_since: None,
        }
    }
}

impl World {
    pub(super) fn front(&mut self, f: usize) {
        let me = front_number(f);
        let now = self.now;
        let again = now + 500;
        self.push(again, Event::Front { front: f });
        self.count_shares();
        if let Some(link) = self.fronts[f].link {
            let silent = now > self.fronts[f].heard + 1_600 || self.fronts[f].outside >= 2;
            if silent || !self.wires.contains_key(&link) {
                self.end_link(link, me);
                self.front_is_closed(f);
            }
        }
        if let Some(link) = self.fronts[f].link {
            let front = &mut self.fronts[f];
            front.asked += 1;
            front.said.insert(front.asked, now);
            let tick = Heartbeat {
                quota_request_or_value_number: front.asked,
                revision: front.revision,
                ..Heartbeat::default()
            };
            self.send(me, link, PeerMessage::Heartbeat(tick));
        } else {
            let n = self.next_to_try(f);
            if !self.is_up(n) || self.is_cut_either_way(me, n) {
                self.fronts[f].failed.insert(n, now);
                return;
            }
            let (life, to_life) = (self.fronts[f].life, self.nodes[n].life);
            let link = self.open(me, life, n, to_life);
            let front = &mut self.fronts[f];
            (front.link, front.hub, front.heard, front.outside) = (Some(link), n, now, 0);
            let hello = Hello {
                version: VERSION,
                name: format!("front-{f}"),
                zone: "z0".into(),
                incarnation: life,
                change_log_id: front.log,
                change_log_offset: front.place,
                value_number: front.revision,
                ..Hello::default()
            };
            let at = now + self.delay();
            self.push(
                at,
                Event::Opened {
                    to: n,
                    life: to_life,
                    link,
                },
            );
            self.wires.get_mut(&link).expect("just made").last = [at, at];
            self.send(me, link, PeerMessage::Hello(hello));
        }
    }

    pub(super) fn front_hears(&mut self, f: usize, word: PeerMessage) {
        let now = self.now;
        let mut breach = None;
        let front = &mut self.fronts[f];
        front.heard = now;
        match word {
            PeerMessage::Heartbeat(tick) => {
                front.outside = if tick.has_quorum {
                    0
                } else {
                    front.outside + 1
                }
            }
            PeerMessage::IngressUpdate(news) => {
                (front.log, front.place) = (news.change_log_id, news.change_log_offset);
                if let Some(value) = news.value {
                    if value.revision < front.revision {
                        breach = Some(format!(
                            "nothing-goes-back: front {f} is told {}",
                            value.revision
                        ));
                    }
                    front.revision = value.revision;
                }
                front.confirmed |= news.confirmed;
            }
            PeerMessage::QuotaGrants(grants) => {
                for grant in grants.grants {
                    let said = front.said.get(&grant.quota_request).copied();
                    if let (Some(said), true) = (
                        said,
                        grant.incarnation == front.life && grant.epoch >= front.epoch,
                    ) {
                        let until = said + u64::from(grant.lease_ms);
                        (front.share, front.until, front.epoch) = (grant.share, until, grant.epoch);
                        if until > now {
                            front.held.push((grant.share, until));
                        }
                    }
                }
            }
            _ => {}
        }
        if let Some(what) = breach {
            self.breach(what);
        }
        self.count_shares();
    }

    /// Its session is over, whoever ended it.
    pub(super) fn front_is_closed(&mut self, f: usize) {
        let front = &mut self.fronts[f];
        front.failed.insert(front.hub, self.now);
        front.link = None;
    }

    /// The core machine whose last failure is the longest ago; of several, by chance.
    fn next_to_try(&mut self, f: usize) -> usize {
        let there: Vec<usize> = (0..self.nodes.len())
            .filter(|n| !self.nodes[*n].removed)
            .collect();
        let failed = |w: &World, n: usize| w.fronts[f].failed.get(&n).copied().unwrap_or(0);
        let oldest = there.iter().map(|n| failed(self, *n)).min().unwrap_or(0);
        let first: Vec<usize> = there
            .into_iter()
            .filter(|n| failed(self, *n) == oldest)
            .collect();
        first[self.up_to(first.len() as u64) as usize]
    }
}

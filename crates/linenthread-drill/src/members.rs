//! What members cost: fleets of 10 and 100 in simulated time, all joining at once; datagrams, bytes and
//! processor time a member, and how long it takes until all know all and until one that falls silent is gone for all.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Instant;

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{Members, MembersAction, MembersConfig, NodeIdentity};
use linenthread_frames::Secrets;

const SECOND: TenthMillis = 10_000;
const STEP: TenthMillis = 250;

fn address(n: usize) -> SocketAddr {
    ([127, (n >> 8) as u8 + 1, n as u8, 1], 7_500).into()
}

fn number(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else {
        return None;
    };
    let [_, high, low, _] = v4.ip().octets();
    Some(usize::from(high.checked_sub(1)?) << 8 | usize::from(low))
}

/// A datagram on its way: when it is there, its number, to whom, and its bytes.
type Mail = (TenthMillis, u64, usize, Vec<u8>);

struct Fleet {
    now: TenthMillis,
    all: Vec<Option<Members>>,
    mail: BinaryHeap<Reverse<Mail>>,
    sent: u64,
    bytes: u64,
}

impl Fleet {
    fn carry(&mut self, to: Vec<MembersAction>) {
        for one in to {
            if let MembersAction::Send { to, bytes } = one
                && let Some(at) = number(to)
            {
                self.sent += 1;
                self.bytes += bytes.len() as u64;
                self.mail
                    .push(Reverse((self.now + 10, self.sent, at, bytes)));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        while self.mail.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, at, bytes))) = self.mail.pop() else {
                break;
            };
            let mut to = Vec::new();
            if let Some(Some(member)) = self.all.get_mut(at) {
                member.on_datagram(now, &bytes, &mut to).ok();
            }
            self.carry(to);
        }
        for n in 0..self.all.len() {
            let mut to = Vec::new();
            if let Some(member) = self.all[n].as_mut().filter(|m| m.wake_at() <= now) {
                member.wake(now, &mut to);
            }
            self.carry(to);
        }
    }

    fn until(&mut self, end: TenthMillis, known: usize) -> Option<TenthMillis> {
        let began = self.now;
        while self.now < began + end {
            for _ in 0..10 {
                self.step();
            }
            if self
                .all
                .iter()
                .flatten()
                .all(|m| m.alive().count() == known)
            {
                return Some(self.now - began);
            }
        }
        None
    }
}

/// Measures; how many sizes, and how many of them did not come to know all.
pub(crate) fn run(seed: u64) -> (usize, usize) {
    let mut breaches = 0;
    let sizes = [10, 100];
    println!(
        "members  all know all  datagrams/s  bytes/s  CPU us/s  one gone for all   (each, but for the times)"
    );
    for count in sizes {
        let secrets = Secrets::new(vec![b"a secret of some length".to_vec()]).expect("long enough");
        let ask: Vec<(String, SocketAddr)> = (0..3)
            .map(|n| (format!("palermo-{n}"), address(n)))
            .collect();
        let member = |n: usize| {
            let own = NodeIdentity {
                machine: format!("rack-{n}"),
                zone: "palermo".into(),
                region: "sicily".into(),
                version: 1,
                weight: 1_000,
                incarnation: 1_700_000_000_000,
                ..NodeIdentity::unknown(&format!("palermo-{n}"), address(n))
            };
            let terms = MembersConfig {
                local: own,
                seeds: ask.clone(),
                expected_members: count as u32,
                probe_interval: 5_000,
            };
            Some(Members::new(
                terms,
                secrets.clone(),
                seed.wrapping_mul(10_007) + n as u64,
                0,
            ))
        };
        let mut fleet = Fleet {
            now: 0,
            all: (0..count).map(member).collect(),
            mail: BinaryHeap::new(),
            sent: 0,
            bytes: 0,
        };
        let whole = fleet.until(120 * SECOND, count - 1);
        // A while later only what goes on for ever is left.
        let calm = fleet.now + 20 * SECOND;
        while fleet.now < calm {
            fleet.step();
        }
        let (sent, bytes, began, from) = (fleet.sent, fleet.bytes, Instant::now(), fleet.now);
        while fleet.now < from + 10 * SECOND {
            fleet.step();
        }
        let each = count as f64 * 10.0;
        let cpu = began.elapsed().as_micros() as f64 / each;
        let (sent, bytes) = (
            (fleet.sent - sent) as f64 / each,
            (fleet.bytes - bytes) as f64 / each,
        );
        fleet.all[count / 2] = None;
        let gone = fleet.until(120 * SECOND, count - 2);
        let time = |t: Option<TenthMillis>| {
            t.map_or("never".into(), |t| {
                format!("{:.1} s", t as f64 / SECOND as f64)
            })
        };
        println!(
            "{count:7}  {:>12}  {sent:11.1}  {bytes:7.0}  {cpu:8.0}  {:>16}",
            time(whole),
            time(gone)
        );
        breaches += usize::from(whole.is_none()) + usize::from(gone.is_none());
    }
    (sizes.len(), breaches)
}

//! A member's identity, and its bytes in gossip.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use linenthread_frames::{Put, Res, Take};

/// Bytes of a name at the most.
const LONGEST_NAME: usize = 64;

/// Who a member is and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Who {
    /// Its name: one process at a time has it.
    pub name: String,
    /// Where its gossip is taken.
    pub gossip: SocketAddr,
    pub machine: String,
    pub zone: String,
    pub region: String,
    /// The version of what it speaks.
    pub version: u16,
    /// Its weight among the fleet's members, in thousandths of one.
    pub share: u16,
    /// When it started, as it has it: of two with one name the later one counts.
    pub life: u64,
    /// How often it was taken for gone in this life.
    pub turn: u32,
}

impl Who {
    /// As much as is known of one that is to be asked for the others.
    pub fn stranger(name: &str, gossip: SocketAddr) -> Who {
        let none = String::new;
        Who {
            name: name.into(),
            gossip,
            machine: none(),
            zone: none(),
            region: none(),
            version: 0,
            share: 0,
            life: 0,
            turn: 0,
        }
    }

    fn is_sound(&self) -> bool {
        let short = [&self.machine, &self.zone, &self.region]
            .iter()
            .all(|t| t.len() <= LONGEST_NAME);
        (1..=LONGEST_NAME).contains(&self.name.len()) && short
    }

    pub(crate) fn put(&self, put: &mut Put) {
        put.text(&self.name);
        match self.gossip.ip() {
            IpAddr::V4(ip) => {
                put.0.push(4);
                put.0.extend(ip.octets());
            }
            IpAddr::V6(ip) => {
                put.0.push(6);
                put.0.extend(ip.octets());
            }
        }
        put.u16(self.gossip.port());
        [&self.machine, &self.zone, &self.region]
            .into_iter()
            .for_each(|text| put.text(text));
        put.u16(self.version);
        put.u16(self.share);
        put.u64(self.life);
        put.u32(self.turn);
    }

    pub(crate) fn take(take: &mut Take) -> Res<Who> {
        let name = take.text()?;
        let ip = match take.u8()? {
            4 => IpAddr::V4(Ipv4Addr::from(take.array::<4>()?)),
            6 => IpAddr::V6(Ipv6Addr::from(take.array::<16>()?)),
            other => return Err(format!("an address cannot be of kind {other}")),
        };
        let who = Who {
            name,
            gossip: SocketAddr::new(ip, take.u16()?),
            machine: take.text()?,
            zone: take.text()?,
            region: take.text()?,
            version: take.u16()?,
            share: take.u16()?,
            life: take.u64()?,
            turn: take.u32()?,
        };
        who.is_sound()
            .then_some(who)
            .ok_or_else(|| "a name is too long or empty".into())
    }
}

impl foca::Identity for Who {
    type Addr = String;

    /// Taken for gone though it lives: it comes back as one that counts for more. Its life stays, so that the next
    /// one, which starts later, still wins; only where that does not help, since the machine's clock went back,
    /// does it grow, by ever larger steps.
    fn renew(&self) -> Option<Self> {
        let step = if self.turn < 8 {
            0
        } else {
            1_000_u64 << (self.turn - 8).min(40)
        };
        Some(Who {
            life: self.life.saturating_add(step),
            turn: self.turn.saturating_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.life, self.turn) > (other.life, other.turn)
    }
}

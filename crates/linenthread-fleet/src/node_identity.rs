//! A member's identity and its encoding in gossip.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use linenthread_frames::{Decoder, Encoder};
use snafu::ensure;

use crate::error::{InvalidNameSnafu, RecordError, UnknownAddressFamilySnafu};
use crate::identifiers::ProcessIncarnation;

/// Maximum length of the name of a member, machine, zone or region, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

const IPV4: u8 = 4;
const IPV6: u8 = 6;

/// Number of renewals after which each further one also increases the incarnation.
const RENEWALS_BEFORE_INCARNATION: u32 = 8;
/// First step by which a renewal increases the incarnation; each further step is twice as large.
const FIRST_INCARNATION_STEP: u64 = 1_000;
/// Number of doublings after which the steps stop growing.
const MAX_STEP_DOUBLINGS: u32 = 40;

/// A member's identity and location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Its name, unique in the fleet.
    pub name: String,
    /// The address at which it receives gossip.
    pub gossip_address: SocketAddr,
    /// The machine that it runs on.
    pub machine: String,
    /// The zone of that machine.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// The protocol version that it uses.
    pub version: u16,
    /// Its weight among the fleet's members, in thousandths.
    pub weight: u16,
    /// Of two members with the same name, the one with the later incarnation replaces the other.
    pub incarnation: ProcessIncarnation,
    /// Number of times that it renewed its identity since its process started, after it had been declared down.
    pub renewals: u32,
}

impl NodeIdentity {
    /// Returns the identity with which to contact a member of which only the name and the address are known.
    pub fn unknown(name: &str, gossip: SocketAddr) -> NodeIdentity {
        NodeIdentity {
            name: name.into(),
            gossip_address: gossip,
            machine: String::new(),
            zone: String::new(),
            region: String::new(),
            version: 0,
            weight: 0,
            incarnation: ProcessIncarnation(0),
            renewals: 0,
        }
    }

    fn has_valid_names(&self) -> bool {
        let places = [&self.machine, &self.zone, &self.region];
        (1..=MAX_NAME_BYTES).contains(&self.name.len())
            && places.iter().all(|text| text.len() <= MAX_NAME_BYTES)
    }

    pub(crate) fn encode(&self, encoder: &mut Encoder) {
        encoder.text(&self.name);
        match self.gossip_address.ip() {
            IpAddr::V4(ip) => {
                encoder.u8(IPV4);
                encoder.raw(ip.octets());
            }
            IpAddr::V6(ip) => {
                encoder.u8(IPV6);
                encoder.raw(ip.octets());
            }
        }
        encoder.u16(self.gossip_address.port());
        encoder.text(&self.machine);
        encoder.text(&self.zone);
        encoder.text(&self.region);
        encoder.u16(self.version);
        encoder.u16(self.weight);
        encoder.u64(self.incarnation.0);
        encoder.u32(self.renewals);
    }

    pub(crate) fn decode(decoder: &mut Decoder) -> Result<NodeIdentity, RecordError> {
        let name = decoder.text()?;
        let ip = match decoder.u8()? {
            IPV4 => IpAddr::V4(Ipv4Addr::from(decoder.array::<4>()?)),
            IPV6 => IpAddr::V6(Ipv6Addr::from(decoder.array::<16>()?)),
            kind => return UnknownAddressFamilySnafu { kind }.fail(),
        };
        let identity = NodeIdentity {
            name,
            gossip_address: SocketAddr::new(ip, decoder.u16()?),
            machine: decoder.text()?,
            zone: decoder.text()?,
            region: decoder.text()?,
            version: decoder.u16()?,
            weight: decoder.u16()?,
            incarnation: ProcessIncarnation(decoder.u64()?),
            renewals: decoder.u32()?,
        };
        ensure!(identity.has_valid_names(), InvalidNameSnafu);
        Ok(identity)
    }
}

impl foca::Identity for NodeIdentity {
    type Addr = String;

    /// Returns an identity that supersedes this one, for a member that was declared down although it is alive. The
    /// incarnation stays the same, so that a later start of the process still supersedes it. Only after several
    /// renewals without success, which happens if the machine's clock was set back, the incarnation increases too, in
    /// growing steps.
    fn renew(&self) -> Option<Self> {
        let step = match self.renewals.checked_sub(RENEWALS_BEFORE_INCARNATION) {
            None => 0,
            Some(doublings) => FIRST_INCARNATION_STEP << doublings.min(MAX_STEP_DOUBLINGS),
        };
        Some(NodeIdentity {
            incarnation: ProcessIncarnation(self.incarnation.0.saturating_add(step)),
            renewals: self.renewals.saturating_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.renewals) > (other.incarnation, other.renewals)
    }
}

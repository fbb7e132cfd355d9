//! The operators' orders to drain zones, as they are sent to the leader and as they stand in the log.

use std::collections::BTreeSet;

use linenthread_frames::{DecodeError, Decoder, Encoder};

/// First byte of a report that carries a member's observations.
pub(super) const OBSERVATIONS: u8 = 1;
/// First byte of a report that carries an operator's order.
pub(super) const ORDER: u8 = 2;

/// The zones drained by order, and the outcome of the last order.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Orders {
    pub drained: BTreeSet<String>,
    /// Number of the last order that was carried out or refused.
    pub last: u64,
    /// Why the last order was refused; empty if it was carried out.
    pub refused: String,
}

impl Orders {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut encoder = Encoder::new();
        encoder.u16(u16::try_from(self.drained.len()).unwrap_or(u16::MAX));
        self.drained.iter().for_each(|zone| encoder.text(zone));
        encoder.u64(self.last);
        encoder.text(&self.refused);
        encoder.into_bytes()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Orders, DecodeError> {
        let mut decoder = Decoder::new(bytes);
        let mut orders = Orders::default();
        for _ in 0..decoder.u16()? {
            orders.drained.insert(decoder.text()?);
        }
        orders.last = decoder.u64()?;
        orders.refused = decoder.text()?;
        decoder.finish()?;
        Ok(orders)
    }
}

/// One operator's order on its way to the leader.
pub(super) struct Order {
    pub number: u64,
    pub zone: String,
    /// Whether the zone is to be drained; otherwise it is to be taken back.
    pub drain: bool,
}

impl Order {
    /// Decodes the report without its first byte.
    pub(super) fn decode(bytes: &[u8]) -> Result<Order, DecodeError> {
        let mut decoder = Decoder::new(bytes);
        Ok(Order {
            number: decoder.u64()?,
            zone: decoder.text()?,
            drain: decoder.flag()?,
        })
    }
}

/// Encodes an operator's order as a report to the leader.
pub(crate) fn encode_order(number: u64, zone: &str, drain: bool) -> Vec<u8> {
    let mut encoder = Encoder::new();
    encoder.u8(ORDER);
    encoder.u64(number);
    encoder.text(zone);
    encoder.u8(drain.into());
    encoder.into_bytes()
}

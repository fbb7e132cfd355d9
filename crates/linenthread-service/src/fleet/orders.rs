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
    /// Number of the last order that was carried out or rejected.
    pub last_order: u64,
    /// Why the last order was rejected; empty if it was carried out.
    pub rejection: String,
}

impl Orders {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut encoder = Encoder::new();
        encoder.u16(u16::try_from(self.drained.len()).unwrap_or(u16::MAX));
        self.drained.iter().for_each(|zone| encoder.text(zone));
        encoder.u64(self.last_order);
        encoder.text(&self.rejection);
        encoder.into_bytes()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Orders, DecodeError> {
        let mut decoder = Decoder::new(bytes);
        let mut orders = Orders::default();
        for _ in 0..decoder.u16()? {
            orders.drained.insert(decoder.text()?);
        }
        orders.last_order = decoder.u64()?;
        orders.rejection = decoder.text()?;
        decoder.finish()?;
        Ok(orders)
    }
}

/// What an operator asks of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneChange {
    /// All co-ordinators leave the zone.
    Drain,
    /// The zone is taken back, step by step.
    Return,
}

/// One operator's order on its way to the leader.
pub(crate) struct Order {
    /// Drawn by the operator's program, to recognise the order in the log.
    pub number: u64,
    pub zone: String,
    pub change: ZoneChange,
}

impl Order {
    /// Encodes the order as a report to the leader.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut encoder = Encoder::new();
        encoder.u8(ORDER);
        encoder.u64(self.number);
        encoder.text(&self.zone);
        encoder.u8((self.change == ZoneChange::Drain).into());
        encoder.into_bytes()
    }

    /// Decodes the report without its first byte.
    pub(super) fn decode(bytes: &[u8]) -> Result<Order, DecodeError> {
        let mut decoder = Decoder::new(bytes);
        Ok(Order {
            number: decoder.u64()?,
            zone: decoder.text()?,
            change: if decoder.flag()? {
                ZoneChange::Drain
            } else {
                ZoneChange::Return
            },
        })
    }
}

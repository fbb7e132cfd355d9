//! The operators' orders to drain or restore zones: their encoding in reports to the leader and in the fleet's log.

use std::collections::BTreeSet;

use linenthread_frames::{DecodeError, Decoder, Encoder};

/// First byte of a report with a member's observations.
pub(super) const OBSERVATIONS: u8 = 1;
/// First byte of a report with an operator's order.
pub(super) const ORDER: u8 = 2;

/// The zones that are drained by order, and the outcome of the last order.
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

/// The change of a zone that an operator orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneChange {
    /// All co-ordinators stop sending sub-requests to the zone.
    Drain,
    /// Traffic to the zone is restored in steps.
    Return,
}

/// An operator's order to the leader.
pub(crate) struct Order {
    /// Chosen by the operator's command, to recognise the order in the log.
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

    /// Decodes an order from a report without its first byte.
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

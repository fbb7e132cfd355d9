//! The replicated state: numbered values by topic, and which voter goes by which id.

use std::collections::BTreeMap;

use linenthread_frames::{DecodeError, Decoder, Encoder};
use snafu::ensure;

use crate::error::{RecordError, ValueTooLongSnafu};

/// The most topics.
pub const MAX_TOPICS: usize = 16;
/// The longest value of a topic, in bytes.
pub const MAX_VALUE_BYTES: usize = 48 * 1024;
const MAX_TOPIC_BYTES: usize = 64;
/// The most voters' identities that are remembered, replaced ones included.
const MAX_VOTER_IDENTITIES: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A voter with one disk: an empty disk gets another identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VoterIdentity {
    pub(crate) name: String,
    /// 0 for the fleet's founders.
    pub(crate) incarnation: u64,
}

impl VoterIdentity {
    /// The identity of a founder.
    pub(crate) fn founder(name: String) -> VoterIdentity {
        VoterIdentity {
            name,
            incarnation: 0,
        }
    }

    /// The id by which Raft knows the voter (FNV-1a of the identity); never 0.
    pub(crate) fn id(&self) -> u64 {
        let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        let name = self.name.as_bytes().iter().fold(FNV_OFFSET, mix);
        let incarnation = self.incarnation.to_be_bytes();
        incarnation.iter().fold(mix(name, &0), mix).max(1)
    }

    pub(crate) fn encode(&self, encoder: &mut Encoder) {
        encoder.text(&self.name);
        encoder.u64(self.incarnation);
    }

    pub(crate) fn decode(decoder: &mut Decoder) -> Result<VoterIdentity, DecodeError> {
        Ok(VoterIdentity {
            name: decoder.text()?,
            incarnation: decoder.u64()?,
        })
    }
}

/// A value to be written if the topic's number is still the expected one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ConditionalWrite {
    pub(crate) topic: String,
    pub(crate) expected_number: u64,
    pub(crate) value: Vec<u8>,
}

impl ConditionalWrite {
    pub(crate) fn has_valid_lengths(&self) -> bool {
        (1..=MAX_TOPIC_BYTES).contains(&self.topic.len()) && self.value.len() <= MAX_VALUE_BYTES
    }

    pub(crate) fn encode(&self, encoder: &mut Encoder) {
        encoder.text(&self.topic);
        encoder.u64(self.expected_number);
        encoder.bytes(&self.value);
    }

    pub(crate) fn decode(decoder: &mut Decoder) -> Result<ConditionalWrite, RecordError> {
        let write = ConditionalWrite {
            topic: decoder.text()?,
            expected_number: decoder.u64()?,
            value: decoder.bytes()?.to_vec(),
        };
        ensure!(write.has_valid_lengths(), ValueTooLongSnafu);
        Ok(write)
    }
}

#[derive(Clone, Debug, PartialEq)]
struct NumberedValue {
    number: u64,
    value: Vec<u8>,
}

/// All that was committed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateTable {
    values: BTreeMap<String, NumberedValue>,
    /// By id, with those that were replaced.
    voter_identities: BTreeMap<u64, VoterIdentity>,
}

impl StateTable {
    /// A topic's number, from 1, and its value.
    pub fn value(&self, topic: &str) -> Option<(u64, &[u8])> {
        let entry = self.values.get(topic)?;
        Some((entry.number, &entry.value))
    }

    /// The number of a topic's value; 0 if it has none.
    pub fn number(&self, topic: &str) -> u64 {
        self.values.get(topic).map_or(0, |entry| entry.number)
    }

    /// All topics with their numbers and values.
    pub fn values(&self) -> impl Iterator<Item = (&str, u64, &[u8])> {
        self.values
            .iter()
            .map(|(topic, entry)| (topic.as_str(), entry.number, &entry.value[..]))
    }

    pub(crate) fn voter_identity(&self, id: u64) -> Option<&VoterIdentity> {
        self.voter_identities.get(&id)
    }

    pub(crate) fn voter_identities(&self) -> impl Iterator<Item = &VoterIdentity> {
        self.voter_identities.values()
    }

    pub(crate) fn voter_ids(&self) -> impl Iterator<Item = u64> {
        self.voter_identities.keys().copied()
    }

    /// Applies a committed write and returns the value's number; `None` if it is not based on the current value.
    pub(crate) fn apply(&mut self, write: ConditionalWrite) -> Option<u64> {
        let number = self.number(&write.topic);
        let is_valid = write.expected_number == number
            && self.has_space_for(&write.topic)
            && write.has_valid_lengths();
        is_valid.then(|| {
            self.set(write.topic, number + 1, write.value);
            number + 1
        })
    }

    /// Learns a committed value from a voter; returns whether it was newer than the known one.
    pub(crate) fn learn(&mut self, topic: &str, number: u64, value: &[u8]) -> bool {
        let is_newer = number > self.number(topic)
            && self.has_space_for(topic)
            && value.len() <= MAX_VALUE_BYTES;
        if is_newer {
            self.set(topic.to_owned(), number, value.to_vec());
        }
        is_newer
    }

    fn has_space_for(&self, topic: &str) -> bool {
        self.values.contains_key(topic) || self.values.len() < MAX_TOPICS
    }

    fn set(&mut self, topic: String, number: u64, value: Vec<u8>) {
        self.values.insert(topic, NumberedValue { number, value });
    }

    /// Remembers a voter's identity beside its former ones.
    pub(crate) fn admit(&mut self, identity: &VoterIdentity) {
        while self.voter_identities.len() >= MAX_VOTER_IDENTITIES {
            self.voter_identities.pop_first();
        }
        self.voter_identities
            .insert(identity.id(), identity.clone());
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut encoder = Encoder::new();
        encoder.u16(count(self.values.len()));
        for (topic, entry) in &self.values {
            encoder.text(topic);
            encoder.u64(entry.number);
            encoder.bytes(&entry.value);
        }
        encoder.u16(count(self.voter_identities.len()));
        for identity in self.voter_identities.values() {
            identity.encode(&mut encoder);
        }
        encoder.into_bytes()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<StateTable, DecodeError> {
        let mut decoder = Decoder::new(bytes);
        let mut table = StateTable::default();
        for _ in 0..decoder.u16()? {
            let topic = decoder.text()?;
            let number = decoder.u64()?;
            table.set(topic, number, decoder.bytes()?.to_vec());
        }
        for _ in 0..decoder.u16()? {
            let identity = VoterIdentity::decode(&mut decoder)?;
            table.voter_identities.insert(identity.id(), identity);
        }
        decoder.finish()?;
        Ok(table)
    }
}

/// A count as two bytes; the tables above are far smaller than that.
pub(crate) fn count(length: usize) -> u16 {
    u16::try_from(length).unwrap_or(u16::MAX)
}

//! The replicated state: numbered values by topic, and the voters' identities by id.
//!
//! All voters apply the same committed entries in the same order, so all have the same table (*one-value-per-number*):
//! whether an entry is applied must depend on the table and the entry alone.

use std::collections::BTreeMap;

use linenthread_frames::{DecodeError, Decoder, Encoder};
use snafu::ensure;

use crate::error::{RecordError, ValueTooLongSnafu};
use crate::voter_identity::{RaftId, VoterIdentity};

/// Maximum number of topics.
pub const MAX_TOPICS: usize = 16;
/// Maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 48 * 1024;
const MAX_TOPIC_BYTES: usize = 64;
/// Maximum number of voters' identities that are kept, including replaced ones.
const MAX_VOTER_IDENTITIES: usize = 64;

/// A write that is applied only if the topic's current number is the expected one.
#[derive(Clone, Debug, PartialEq)]
pub struct ConditionalWrite {
    /// The topic.
    pub topic: String,
    /// The number of the value that this one is based on; 0 if the topic has no value yet.
    pub expected_number: u64,
    /// The new value.
    pub value: Vec<u8>,
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

/// A topic's current value.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedValue {
    /// Its number within the topic, from 1; each committed value has the next number.
    pub number: u64,
    /// Its bytes.
    pub value: Vec<u8>,
}

/// A value that was committed.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedValue {
    /// The value's topic.
    pub topic: String,
    /// The value's number within its topic, from 1.
    pub number: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// The state after all committed entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateTable {
    values: BTreeMap<String, NumberedValue>,
    /// By id, including replaced ones.
    voter_identities: BTreeMap<RaftId, VoterIdentity>,
}

impl StateTable {
    /// Returns a topic's value and its number; `None` if it has no value.
    pub fn value(&self, topic: &str) -> Option<&NumberedValue> {
        self.values.get(topic)
    }

    /// Returns the number of a topic's value; 0 if it has none.
    pub fn number(&self, topic: &str) -> u64 {
        self.values.get(topic).map_or(0, |entry| entry.number)
    }

    /// Returns all topics with their values, ordered by topic.
    pub fn values(&self) -> impl Iterator<Item = (&str, &NumberedValue)> {
        let values = self.values.iter();
        values.map(|(topic, value)| (topic.as_str(), value))
    }

    /// Returns all values in the form in which committed values are reported.
    pub(crate) fn committed_values(&self) -> impl Iterator<Item = CommittedValue> {
        self.values().map(|(topic, current)| CommittedValue {
            topic: topic.to_owned(),
            number: current.number,
            value: current.value.clone(),
        })
    }

    pub(crate) fn voter_identity(&self, id: RaftId) -> Option<&VoterIdentity> {
        self.voter_identities.get(&id)
    }

    pub(crate) fn voter_identities(&self) -> impl Iterator<Item = &VoterIdentity> {
        self.voter_identities.values()
    }

    pub(crate) fn voter_ids(&self) -> impl Iterator<Item = RaftId> {
        self.voter_identities.keys().copied()
    }

    /// Applies a committed write and returns the resulting value; `None`, and no change, if the write is not based on
    /// the current value or exceeds a limit.
    pub(crate) fn apply(&mut self, write: ConditionalWrite) -> Option<CommittedValue> {
        let is_valid = write.expected_number == self.number(&write.topic)
            && self.has_space_for(&write.topic)
            && write.has_valid_lengths();
        is_valid.then(|| {
            let number = write.expected_number + 1;
            self.set(write.topic.clone(), number, write.value.clone());
            CommittedValue {
                topic: write.topic,
                number,
                value: write.value,
            }
        })
    }

    /// Stores a committed value that was received from a voter if it is newer than the present one, and returns whether
    /// it was stored. Values in between may be missing: a follower that reconnects receives only the current ones.
    pub(crate) fn update_if_newer(&mut self, committed: &CommittedValue) -> bool {
        let CommittedValue {
            topic,
            number,
            value,
        } = committed;
        let is_newer = *number > self.number(topic)
            && self.has_space_for(topic)
            && value.len() <= MAX_VALUE_BYTES;
        if is_newer {
            self.set(topic.clone(), *number, value.clone());
        }
        is_newer
    }

    fn has_space_for(&self, topic: &str) -> bool {
        self.values.contains_key(topic) || self.values.len() < MAX_TOPICS
    }

    fn set(&mut self, topic: String, number: u64, value: Vec<u8>) {
        self.values.insert(topic, NumberedValue { number, value });
    }

    /// Adds a voter's identity and keeps earlier ones. Above [`MAX_VOTER_IDENTITIES`], those with the lowest ids are
    /// removed.
    pub(crate) fn add_voter_identity(&mut self, identity: &VoterIdentity) {
        while self.voter_identities.len() >= MAX_VOTER_IDENTITIES {
            self.voter_identities.pop_first();
        }
        self.voter_identities
            .insert(identity.id(), identity.clone());
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut encoder = Encoder::new();
        encoder.count(self.values.len());
        for (topic, entry) in &self.values {
            encoder.text(topic);
            encoder.u64(entry.number);
            encoder.bytes(&entry.value);
        }
        encoder.count(self.voter_identities.len());
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

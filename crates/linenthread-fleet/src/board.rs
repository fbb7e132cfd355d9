//! What the record says: numbered values by topic, and which voter goes by which id.

use std::collections::BTreeMap;

use linenthread_frames::{Put, Res, Take};

/// Topics at the most, and bytes of one's value.
pub const MOST_TOPICS: usize = 16;
pub const LONGEST_VALUE: usize = 48 * 1024;
const LONGEST_TOPIC: usize = 64;
/// Former selves of voters that are remembered.
const MOST_LIVES: usize = 64;

/// One voter's self: a new one for each disk it has.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Life {
    pub name: String,
    /// 0 for the fleet's founders.
    pub life: u64,
}

impl Life {
    /// The id by which voters know it (FNV-1a); never 0.
    pub(crate) fn id(&self) -> u64 {
        let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        let name = self.name.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, mix);
        self.life
            .to_be_bytes()
            .iter()
            .fold(mix(name, &0), mix)
            .max(1)
    }

    pub(crate) fn put(&self, put: &mut Put) {
        put.text(&self.name);
        put.u64(self.life);
    }

    pub(crate) fn take(take: &mut Take) -> Res<Life> {
        Ok(Life {
            name: take.text()?,
            life: take.u64()?,
        })
    }
}

/// A value to be written, if the topic's number is still the one that it is based on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Write {
    pub topic: String,
    pub based_on: u64,
    pub value: Vec<u8>,
}

impl Write {
    pub(crate) fn is_sound(&self) -> bool {
        (1..=LONGEST_TOPIC).contains(&self.topic.len()) && self.value.len() <= LONGEST_VALUE
    }

    pub(crate) fn put(&self, put: &mut Put) {
        put.text(&self.topic);
        put.u64(self.based_on);
        put.bytes(&self.value);
    }

    pub(crate) fn take(take: &mut Take) -> Res<Write> {
        let write = Write {
            topic: take.text()?,
            based_on: take.u64()?,
            value: take.lot()?.to_vec(),
        };
        write
            .is_sound()
            .then_some(write)
            .ok_or_else(|| "a value is too long for the record".into())
    }
}

/// All that was agreed on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Board {
    values: BTreeMap<String, (u64, Vec<u8>)>,
    /// Voters' selves, by id, with those that were replaced.
    pub(crate) lives: BTreeMap<u64, Life>,
}

impl Board {
    /// A topic's value and its number, from 1.
    pub fn value(&self, topic: &str) -> Option<(u64, &[u8])> {
        self.values
            .get(topic)
            .map(|(number, value)| (*number, &value[..]))
    }

    pub fn number(&self, topic: &str) -> u64 {
        self.values.get(topic).map_or(0, |(number, _)| *number)
    }

    pub fn values(&self) -> impl Iterator<Item = (&str, u64, &[u8])> {
        self.values
            .iter()
            .map(|(topic, (number, value))| (topic.as_str(), *number, &value[..]))
    }

    /// Writes a value that is based on what stands there; its number. One that is not changes nothing.
    pub(crate) fn write(&mut self, write: Write) -> Option<u64> {
        let number = self.number(&write.topic);
        let fits = self.values.contains_key(&write.topic) || self.values.len() < MOST_TOPICS;
        (write.based_on == number && fits && write.is_sound()).then(|| {
            self.values.insert(write.topic, (number + 1, write.value));
            number + 1
        })
    }

    /// Takes what a voter tells as agreed; whether it was news.
    pub(crate) fn hear(&mut self, topic: &str, number: u64, value: &[u8]) -> bool {
        let fits = self.values.contains_key(topic) || self.values.len() < MOST_TOPICS;
        let news = number > self.number(topic) && fits && value.len() <= LONGEST_VALUE;
        if news {
            self.values
                .insert(topic.to_owned(), (number, value.to_vec()));
        }
        news
    }

    /// A voter's new self takes the place of its former ones, which are remembered.
    pub(crate) fn admit(&mut self, life: &Life) {
        while self.lives.len() >= MOST_LIVES {
            self.lives.pop_first();
        }
        self.lives.insert(life.id(), life.clone());
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut put = Put(Vec::new());
        put.u16(self.values.len() as u16);
        for (topic, (number, value)) in &self.values {
            put.text(topic);
            put.u64(*number);
            put.bytes(value);
        }
        put.u16(self.lives.len() as u16);
        self.lives.values().for_each(|life| life.put(&mut put));
        put.0
    }

    pub(crate) fn decode(bytes: &[u8]) -> Res<Board> {
        let mut take = Take(bytes);
        let mut board = Board::default();
        for _ in 0..take.u16()? {
            let (topic, number, value) = (take.text()?, take.u64()?, take.lot()?.to_vec());
            board.values.insert(topic, (number, value));
        }
        for _ in 0..take.u16()? {
            let life = Life::take(&mut take)?;
            board.lives.insert(life.id(), life);
        }
        take.end()?;
        Ok(board)
    }
}

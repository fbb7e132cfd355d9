//! A disk in memory, with the faults of real ones on cue: for tests and drills.

use std::collections::BTreeMap;
use std::io;

use oorandom::Rand64;

use crate::Files;

#[derive(Clone, Debug, Default)]
struct Kept {
    bytes: Vec<u8>,
    /// So many are there for good, and whether the name is.
    synced: usize,
    named: bool,
}

/// A disk that keeps for good only what was synced.
#[derive(Clone, Debug, Default)]
pub struct Model {
    files: BTreeMap<String, Kept>,
    /// Names that were removed, and would be back after a crash: the folder was not synced since.
    removed: BTreeMap<String, Kept>,
    /// Writes fail once so many bytes are held in all.
    pub room: Option<usize>,
    /// The next so many syncs go well, the one after fails; it may have written all the same.
    pub syncs_left: Option<usize>,
    pub syncs: usize,
}

fn full() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

fn missing() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Model {
    /// The machine stops: of what was not synced any pages are there, others not or spoilt.
    pub fn crash(&mut self, chance: &mut Rand64) {
        const PAGE: usize = 64;
        for (name, kept) in std::mem::take(&mut self.removed) {
            if chance.rand_range(0..2) == 0 {
                self.files.entry(name).or_insert(kept);
            }
        }
        self.files
            .retain(|_, kept| kept.named || chance.rand_range(0..2) == 0);
        for kept in self.files.values_mut() {
            let at_least = kept.synced as u64;
            let end = chance.rand_range(at_least..kept.bytes.len() as u64 + 1) as usize;
            kept.bytes.truncate(end);
            let mut at = kept.synced;
            while at < end {
                let to = ((at / PAGE + 1) * PAGE).min(end);
                match chance.rand_range(0..4) {
                    0 => kept.bytes[at..to].fill(0),
                    1 => kept.bytes[to - 1] ^= 1 << chance.rand_range(0..8),
                    _ => {}
                }
                at = to;
            }
            (kept.synced, kept.named) = (kept.bytes.len(), true);
        }
        (self.room, self.syncs_left) = (None, None);
    }

    /// Takes so many bytes more and is full then.
    pub fn leave_room(&mut self, bytes: usize) {
        let held: usize = self.files.values().map(|kept| kept.bytes.len()).sum();
        self.room = Some(held + bytes);
    }

    /// Turns one bit of what is there for good, and says where; `None` where there is nothing.
    pub fn spoil(&mut self, chance: &mut Rand64) -> Option<(String, usize)> {
        let name = self
            .files
            .iter()
            .find(|(_, kept)| kept.synced > 0)?
            .0
            .clone();
        let kept = self.files.get_mut(&name)?;
        let at = chance.rand_range(0..kept.synced as u64) as usize;
        kept.bytes[at] ^= 1 << chance.rand_range(0..8);
        Some((name, at))
    }

    pub fn is_empty(&self) -> bool {
        self.files.is_empty()
    }
}

impl Files for Model {
    fn names(&mut self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.files
            .get(name)
            .map(|kept| kept.bytes.clone())
            .ok_or_else(missing)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let held: usize = self.files.values().map(|kept| kept.bytes.len()).sum();
        let room = self
            .room
            .map_or(usize::MAX, |room| room.saturating_sub(held));
        let kept = self.files.entry(name.to_owned()).or_default();
        // A full disk takes what it has room for.
        kept.bytes.extend(&bytes[..bytes.len().min(room)]);
        if bytes.len() > room {
            Err(full())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.syncs += 1;
        if let Some(left) = &mut self.syncs_left {
            if *left == 0 {
                return Err(io::Error::other("a sync failed"));
            }
            *left -= 1;
        }
        let kept = self.files.get_mut(name).ok_or_else(missing)?;
        kept.synced = kept.bytes.len();
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.files.values_mut().for_each(|kept| kept.named = true);
        self.removed.clear();
        Ok(())
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        let kept = self.files.get_mut(name).ok_or_else(missing)?;
        kept.bytes.truncate(length as usize);
        kept.synced = kept.bytes.len();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let kept = self.files.remove(name).ok_or_else(missing)?;
        if kept.named {
            self.removed.insert(name.to_owned(), kept);
        }
        Ok(())
    }
}

//! A disk in memory, with the faults of real ones on demand: for tests and simulations.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;

use oorandom::Rand64;

use crate::Files;

/// Bytes that a crash loses or spoils together.
const PAGE_BYTES: usize = 64;

#[derive(Clone, Debug, Default)]
struct SimulatedFile {
    bytes: Vec<u8>,
    /// How many of the bytes are durable.
    synced_bytes: usize,
    /// The name is durable.
    name_synced: bool,
}

/// A disk on which only what was synced outlasts a crash.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    files: BTreeMap<String, SimulatedFile>,
    /// Files that were removed, and may be back after a crash: the directory was not synced since.
    removed: BTreeMap<String, SimulatedFile>,
    /// Writes fail once all files together have so many bytes; `None` for no bound.
    pub capacity: Option<usize>,
    /// So many syncs succeed, all after them fail; what a failed one wrote may be durable all the same.
    pub syncs_until_failure: Option<usize>,
    /// How many times a file was synced, or was to be.
    pub sync_count: usize,
}

fn full() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

fn missing() -> io::Error {
    io::ErrorKind::NotFound.into()
}

/// A random offset in this range, which is not empty.
fn draw(random: &mut Rand64, range: Range<usize>) -> usize {
    let drawn = random.rand_range(range.start as u64..range.end as u64);
    usize::try_from(drawn).unwrap_or(range.start)
}

impl SimulatedDisk {
    /// The machine loses power: of what was not synced any page may be there, missing or spoilt. Faults end.
    pub fn crash(&mut self, random: &mut Rand64) {
        for (name, file) in std::mem::take(&mut self.removed) {
            if random.rand_range(0..2) == 0 {
                self.files.entry(name).or_insert(file);
            }
        }
        self.files
            .retain(|_, file| file.name_synced || random.rand_range(0..2) == 0);
        for file in self.files.values_mut() {
            let end = draw(random, file.synced_bytes..file.bytes.len() + 1);
            file.bytes.truncate(end);
            let mut at = file.synced_bytes;
            while at < end {
                let to = ((at / PAGE_BYTES + 1) * PAGE_BYTES).min(end);
                match random.rand_range(0..4) {
                    0 => file.bytes[at..to].fill(0),
                    1 => file.bytes[to - 1] ^= 1 << random.rand_range(0..8),
                    _ => {}
                }
                at = to;
            }
            (file.synced_bytes, file.name_synced) = (file.bytes.len(), true);
        }
        (self.capacity, self.syncs_until_failure) = (None, None);
    }

    /// Leaves room for so many more bytes.
    pub fn limit_free_bytes(&mut self, bytes: usize) {
        let held: usize = self.files.values().map(|file| file.bytes.len()).sum();
        self.capacity = Some(held + bytes);
    }

    /// Flips one bit of what is durable; the file's name and the byte's offset, or `None` if nothing is durable.
    pub fn flip_bit(&mut self, random: &mut Rand64) -> Option<(String, usize)> {
        let name = self
            .files
            .iter()
            .find(|(_, file)| file.synced_bytes > 0)?
            .0
            .clone();
        let file = self.files.get_mut(&name)?;
        let at = draw(random, 0..file.synced_bytes);
        file.bytes[at] ^= 1 << random.rand_range(0..8);
        Some((name, at))
    }

    /// Whether there is no file.
    pub fn is_empty(&self) -> bool {
        self.files.is_empty()
    }
}

impl Files for SimulatedDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.files
            .get(name)
            .map(|file| file.bytes.clone())
            .ok_or_else(missing)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let held: usize = self.files.values().map(|file| file.bytes.len()).sum();
        let room = self
            .capacity
            .map_or(usize::MAX, |capacity| capacity.saturating_sub(held));
        let file = self.files.entry(name.to_owned()).or_default();
        // A full disk writes what it has room for.
        file.bytes.extend(&bytes[..bytes.len().min(room)]);
        if bytes.len() > room {
            Err(full())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.sync_count += 1;
        if let Some(left) = &mut self.syncs_until_failure {
            if *left == 0 {
                return Err(io::Error::other("a sync failed"));
            }
            *left -= 1;
        }
        let file = self.files.get_mut(name).ok_or_else(missing)?;
        file.synced_bytes = file.bytes.len();
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.files
            .values_mut()
            .for_each(|file| file.name_synced = true);
        self.removed.clear();
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = self.files.get_mut(name).ok_or_else(missing)?;
        file.bytes
            .truncate(usize::try_from(length).unwrap_or(usize::MAX));
        file.synced_bytes = file.bytes.len();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let file = self.files.remove(name).ok_or_else(missing)?;
        if file.name_synced {
            self.removed.insert(name.to_owned(), file);
        }
        Ok(())
    }
}

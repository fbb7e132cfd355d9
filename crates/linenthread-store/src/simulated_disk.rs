//! An in-memory disk with fault injection, for tests and simulations.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;

use oorandom::Rand64;

use crate::Files;

/// Size of the unit that a crash loses or corrupts, in bytes.
const PAGE_BYTES: usize = 64;

#[derive(Clone, Debug, Default)]
struct SimulatedFile {
    bytes: Vec<u8>,
    /// Number of bytes, from the start, that are durable.
    synced_bytes: usize,
    /// The file's name is durable.
    name_synced: bool,
}

/// A disk on which only synced data is sure to survive a crash.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    files: BTreeMap<String, SimulatedFile>,
    /// Files that were removed and may reappear after a crash, because the directory was not synced since.
    removed: BTreeMap<String, SimulatedFile>,
    /// Total size of all files, in bytes, beyond which writes fail; `None` for no limit.
    pub capacity: Option<usize>,
    /// Number of syncs that succeed before all further ones fail; `None` if none fails. Bytes whose sync failed may
    /// survive a crash nevertheless.
    pub syncs_until_failure: Option<usize>,
    /// Number of calls to [`Files::sync`], failed ones included.
    pub sync_count: usize,
}

fn disk_full_error() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

fn not_found_error() -> io::Error {
    io::ErrorKind::NotFound.into()
}

/// Returns a random offset in `range`, which must not be empty.
fn random_offset(random: &mut Rand64, range: Range<usize>) -> usize {
    let offset = random.rand_range(range.start as u64..range.end as u64);
    usize::try_from(offset).unwrap_or(range.start)
}

impl SimulatedDisk {
    /// Simulates a power failure: each page that was not synced may be kept, lost or corrupted, and each change of a
    /// name that was not synced may be undone. Clears the injected faults.
    pub fn crash(&mut self, random: &mut Rand64) {
        for (name, file) in std::mem::take(&mut self.removed) {
            if random.rand_range(0..2) == 0 {
                self.files.entry(name).or_insert(file);
            }
        }
        self.files
            .retain(|_, file| file.name_synced || random.rand_range(0..2) == 0);
        for file in self.files.values_mut() {
            let end = random_offset(random, file.synced_bytes..file.bytes.len() + 1);
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

    /// Sets the capacity so that `bytes` more bytes can be written.
    pub fn limit_free_bytes(&mut self, bytes: usize) {
        let used: usize = self.files.values().map(|file| file.bytes.len()).sum();
        self.capacity = Some(used + bytes);
    }

    /// Flips a random bit in the durable part of the first file that has one, and returns the file's name and the
    /// byte's offset; `None` if nothing is durable.
    pub fn flip_bit(&mut self, random: &mut Rand64) -> Option<(String, usize)> {
        let name = self
            .files
            .iter()
            .find(|(_, file)| file.synced_bytes > 0)?
            .0
            .clone();
        let file = self.files.get_mut(&name)?;
        let at = random_offset(random, 0..file.synced_bytes);
        file.bytes[at] ^= 1 << random.rand_range(0..8);
        Some((name, at))
    }

    /// Reports whether there are no files.
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
            .ok_or_else(not_found_error)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let used: usize = self.files.values().map(|file| file.bytes.len()).sum();
        let free = self
            .capacity
            .map_or(usize::MAX, |capacity| capacity.saturating_sub(used));
        let file = self.files.entry(name.to_owned()).or_default();
        // A full disk writes as many bytes as fit.
        file.bytes.extend(&bytes[..bytes.len().min(free)]);
        if bytes.len() > free {
            Err(disk_full_error())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.sync_count += 1;
        if let Some(remaining) = &mut self.syncs_until_failure {
            if *remaining == 0 {
                return Err(io::Error::other("a sync failed"));
            }
            *remaining -= 1;
        }
        let file = self.files.get_mut(name).ok_or_else(not_found_error)?;
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
        let file = self.files.get_mut(name).ok_or_else(not_found_error)?;
        file.bytes
            .truncate(usize::try_from(length).unwrap_or(usize::MAX));
        file.synced_bytes = file.bytes.len();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let file = self.files.remove(name).ok_or_else(not_found_error)?;
        if file.name_synced {
            self.removed.insert(name.to_owned(), file);
        }
        Ok(())
    }
}

//! Marks for the next page: how far each slice was read, signed, so that any co-ordinator can go on.
//!
//! The bytes, before they are written in base64 (URL alphabet, no padding):
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | version, 1 |
//! | 8 | when it was made, seconds since 1970 |
//! | 16 | the lookup: index, order, customer, key and query, hashed |
//! | 16 | the layout: how many shards there are and which are asked, hashed |
//! | 1, then 2 + n each | places: how many, then each one's length and bytes |
//! | 1 each | for each slice, in the order of shards: 0 for its first row, else the place's number from 1 |
//! | 16 | the first bytes of HMAC-SHA-256 over all before them |

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

use crate::place::Place;

const VERSION: u8 = 1;
const HEAD: usize = 41;
const SIGNATURE: usize = 16;
/// A mark that would be longer, in letters, is not made and not read.
pub(crate) const LONGEST: usize = 8 * 1024;
/// Clocks of two co-ordinators may differ by so many seconds.
const CLOCKS_DIFFER: u64 = 60;
/// A shorter secret could be guessed.
pub const SHORTEST_SECRET: usize = 16;

pub(crate) type Hash = [u8; 16];

/// Makes and reads page marks.
#[derive(Clone, PartialEq)]
pub struct Marks {
    /// The one that signs, then others that are still taken.
    secrets: Vec<Vec<u8>>,
    /// Seconds for which a mark is good.
    pub life: u64,
}

impl std::fmt::Debug for Marks {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            f,
            "Marks {{ secrets: {}, life: {} }}",
            self.secrets.len(),
            self.life
        )
    }
}

/// A hash of words that keeps them apart.
pub(crate) fn hash(words: &[&[u8]]) -> Hash {
    let mut hash = Sha256::new();
    for word in words {
        hash.update((word.len() as u64).to_be_bytes());
        hash.update(word);
    }
    let all: [u8; 32] = hash.finalize().into();
    let mut first = Hash::default();
    first.copy_from_slice(&all[..16]);
    first
}

/// What a mark belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belongs {
    pub lookup: Hash,
    pub layout: Hash,
}

impl Marks {
    /// # Errors
    ///
    /// A secret that is too short, or none.
    pub fn new(secrets: Vec<Vec<u8>>, life: u64) -> Result<Marks, String> {
        match secrets.iter().all(|s| s.len() >= SHORTEST_SECRET) && !secrets.is_empty() {
            true => Ok(Marks { secrets, life }),
            false => Err(format!("a secret needs {SHORTEST_SECRET} bytes or more")),
        }
    }

    fn signature(secret: &[u8], bytes: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret).ok()?;
        mac.update(bytes);
        Some(mac)
    }

    /// A mark for slices read up to these places; `None` where it would be too long.
    pub fn make(&self, to: &Belongs, places: &[Option<Place>], now: u64) -> Option<String> {
        let mut known: Vec<&Place> = places.iter().flatten().collect();
        known.sort();
        known.dedup();
        let mut bytes = vec![VERSION];
        bytes.extend(now.to_be_bytes());
        bytes.extend(to.lookup);
        bytes.extend(to.layout);
        bytes.push(u8::try_from(known.len()).ok()?);
        for place in &known {
            bytes.extend(u16::try_from(place.0.len()).ok()?.to_be_bytes());
            bytes.extend(&place.0);
        }
        for place in places {
            let at = place.as_ref().and_then(|p| known.binary_search(&p).ok());
            bytes.push(at.map_or(0, |at| at as u8 + 1));
        }
        let signature = Self::signature(&self.secrets[0], &bytes)?
            .finalize()
            .into_bytes();
        bytes.extend(&signature[..SIGNATURE]);
        let mark = BASE64.encode(bytes);
        (mark.len() <= LONGEST).then_some(mark)
    }

    /// The places in a mark.
    ///
    /// # Errors
    ///
    /// One that was not made here, or for something else, or that is too old.
    pub fn read(
        &self,
        mark: &str,
        to: &Belongs,
        slices: usize,
        now: u64,
    ) -> Result<Vec<Option<Place>>, String> {
        const UNKNOWN: &str = "the page mark is not one that was given here, or not all of it";
        if mark.len() > LONGEST {
            return Err(UNKNOWN.into());
        }
        let bytes = BASE64.decode(mark).map_err(|_| UNKNOWN)?;
        let (said, signature) = bytes
            .split_at_checked(bytes.len().wrapping_sub(SIGNATURE))
            .ok_or(UNKNOWN)?;
        let signed = |secret: &Vec<u8>| {
            Self::signature(secret, said)
                .is_some_and(|mac| mac.verify_truncated_left(signature).is_ok())
        };
        if !self.secrets.iter().any(signed) {
            return Err(UNKNOWN.into());
        }
        let (head, mut rest) = said.split_at_checked(HEAD).ok_or(UNKNOWN)?;
        if head[0] != VERSION {
            return Err(format!(
                "the page mark has version {}, and {VERSION} is known",
                head[0]
            ));
        }
        let made = u64::from_be_bytes(head[1..9].try_into().map_err(|_| UNKNOWN)?);
        if made > now + CLOCKS_DIFFER || now > made.saturating_add(self.life) {
            return Err("the page mark is no longer good; begin with the first page".into());
        }
        if head[9..25] != to.lookup {
            return Err("the page mark belongs to another lookup".into());
        }
        if head[25..] != to.layout {
            return Err("the page mark belongs to another layout of shards".into());
        }
        let mut take = |n: usize| -> Option<&[u8]> {
            let (taken, after) = rest.split_at_checked(n)?;
            rest = after;
            Some(taken)
        };
        let mut places = Vec::new();
        let known = take(1).ok_or(UNKNOWN)?[0];
        for _ in 0..known {
            let length = take(2).ok_or(UNKNOWN)?;
            let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
            places.push(Place(take(length).ok_or(UNKNOWN)?.into()));
        }
        let of_slices = take(slices).ok_or(UNKNOWN)?;
        if !rest.is_empty() {
            return Err(UNKNOWN.into());
        }
        let place = |at: &u8| match at.checked_sub(1) {
            None => Ok(None),
            Some(at) => places
                .get(usize::from(at))
                .cloned()
                .map(Some)
                .ok_or(UNKNOWN.to_owned()),
        };
        of_slices.iter().map(place).collect()
    }
}

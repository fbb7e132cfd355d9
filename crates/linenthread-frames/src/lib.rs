//! What linenthread's own programs say to each other is made of frames: four bytes of length, most significant
//! first, a byte for the kind, and fields. Here stand the fields and the lengths, whatever the frames mean, and
//! the proof that the other side knows a shared secret.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod proof;

pub use proof::{Nonce, Proof, SHORTEST, Secrets, Side};

/// Bytes that are put together: numbers big-endian, texts with two bytes of length before them, values four.
pub struct Put(pub Vec<u8>);

impl Put {
    /// The beginning of a frame: room for its length and its kind.
    pub fn frame() -> Put {
        Put(vec![0; 5])
    }

    /// The whole frame, its length first.
    pub fn finish(mut self, kind: u8) -> Vec<u8> {
        self.0[4] = kind;
        let length = (self.0.len() - 4) as u32;
        self.0[..4].copy_from_slice(&length.to_be_bytes());
        self.0
    }

    pub fn u16(&mut self, number: u16) {
        self.0.extend(number.to_be_bytes());
    }

    pub fn u32(&mut self, number: u32) {
        self.0.extend(number.to_be_bytes());
    }

    pub fn u64(&mut self, number: u64) {
        self.0.extend(number.to_be_bytes());
    }

    /// Bytes with four of length before them.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.u32(bytes.len() as u32);
        self.0.extend(bytes);
    }

    pub fn text(&mut self, text: &str) {
        // Longer ones are cut: none that goes on a link is.
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.0.extend((bytes.len() as u16).to_be_bytes());
        self.0.extend(bytes);
    }

    pub fn value(&mut self, text: &str) {
        self.0.extend((text.len() as u32).to_be_bytes());
        self.0.extend(text.as_bytes());
    }

    /// A number that may not be there.
    pub fn maybe(&mut self, number: Option<f64>) {
        self.0.extend(number.unwrap_or(f64::NAN).to_be_bytes());
    }
}

/// Bytes that are taken apart; each field is bounded by what is there.
pub struct Take<'a>(pub &'a [u8]);

pub type Res<T> = Result<T, String>;

impl<'a> Take<'a> {
    pub fn bytes(&mut self, n: usize) -> Res<&'a [u8]> {
        let (taken, rest) = self
            .0
            .split_at_checked(n)
            .ok_or("a frame ends within a field")?;
        self.0 = rest;
        Ok(taken)
    }

    pub fn array<const N: usize>(&mut self) -> Res<[u8; N]> {
        self.bytes(N)?
            .try_into()
            .map_err(|_| "a frame ends within a field".into())
    }

    pub fn u8(&mut self) -> Res<u8> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Res<u16> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Res<u32> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Res<u64> {
        self.array().map(u64::from_be_bytes)
    }

    pub fn words(&mut self, n: usize) -> Res<String> {
        let text = std::str::from_utf8(self.bytes(n)?).map_err(|_| "a text is not UTF-8")?;
        Ok(text.to_owned())
    }

    pub fn text(&mut self) -> Res<String> {
        let n = self.u16()?;
        self.words(n.into())
    }

    /// Bytes with four of length before them.
    pub fn lot(&mut self) -> Res<&'a [u8]> {
        let n = self.u32()?;
        self.bytes(n as usize)
    }

    /// Nothing may be left.
    pub fn end(self) -> Res<()> {
        match self.0.len() {
            0 => Ok(()),
            more => Err(format!("{more} bytes too many")),
        }
    }

    pub fn value(&mut self) -> Res<String> {
        let n = self.u32()?;
        self.words(n as usize)
    }

    /// A number that may not be there, not below 0.
    pub fn maybe(&mut self) -> Res<Option<f64>> {
        let number = f64::from_be_bytes(self.array()?);
        Ok(number.is_finite().then_some(number.max(0.0)))
    }

    pub fn flag(&mut self) -> Res<bool> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            other => Err(format!("a flag cannot be {other}")),
        }
    }
}

/// The fields of the first whole frame in what was read, its kind first, and how many bytes it took; `None`
/// while it is not all there.
///
/// # Errors
///
/// What can be no frame; the connection is of no more use then.
pub fn whole(read: &[u8], longest: usize) -> Res<Option<(&[u8], usize)>> {
    let Some(length) = read
        .first_chunk::<4>()
        .map(|l| u32::from_be_bytes(*l) as usize)
    else {
        return Ok(None);
    };
    if length == 0 || length > longest {
        return Err(format!("a frame cannot be of {length} bytes"));
    }
    Ok(read.get(4..4 + length).map(|bytes| (bytes, 4 + length)))
}

/// Takes all whole frames off what was read, in their order; what is not all there stays.
///
/// # Errors
///
/// What can be no frame; those before it were taken.
pub fn take_all(
    read: &mut Vec<u8>,
    longest: usize,
    mut take: impl FnMut(&[u8]) -> Res<()>,
) -> Res<()> {
    let mut at = 0;
    let all = loop {
        match whole(&read[at..], longest) {
            Ok(None) => break Ok(()),
            Ok(Some((fields, took))) => {
                at += took;
                if let Err(why) = take(fields) {
                    break Err(why);
                }
            }
            Err(why) => break Err(why),
        }
    };
    read.drain(..at);
    all
}

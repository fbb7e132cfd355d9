//! Fields put together to bytes.

use crate::stream::LENGTH_BYTES;

/// A complete frame: its length, its kind, and the fields that `encode_fields` appends.
pub fn encode_frame(kind: u8, encode_fields: impl FnOnce(&mut Encoder)) -> Vec<u8> {
    let mut encoder = Encoder(vec![0; LENGTH_BYTES]);
    encoder.u8(kind);
    encode_fields(&mut encoder);
    let mut frame = encoder.into_bytes();
    let length = u32::try_from(frame.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Appends fields to bytes. Its counterpart is [`crate::Decoder`].
#[derive(Debug, Default)]
pub struct Encoder(Vec<u8>);

impl Encoder {
    /// Without a length or a kind: for records and values that are no frames. [`encode_frame`] is for frames.
    pub fn new() -> Encoder {
        Encoder::default()
    }

    /// The bytes so far.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    /// One byte.
    pub fn u8(&mut self, number: u8) {
        self.0.push(number);
    }

    /// Two bytes.
    pub fn u16(&mut self, number: u16) {
        self.0.extend(number.to_be_bytes());
    }

    /// Four bytes.
    pub fn u32(&mut self, number: u32) {
        self.0.extend(number.to_be_bytes());
    }

    /// Eight bytes.
    pub fn u64(&mut self, number: u64) {
        self.0.extend(number.to_be_bytes());
    }

    /// How many items follow, in two bytes; the lists of our frames and records are far shorter than that.
    pub fn count(&mut self, count: usize) {
        self.u16(u16::try_from(count).unwrap_or(u16::MAX));
    }

    /// One byte, 0 or 1.
    pub fn flag(&mut self, flag: bool) {
        self.0.push(flag.into());
    }

    /// Bytes as they are, without their length.
    pub fn raw(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.extend_from_slice(bytes.as_ref());
    }

    /// Bytes behind their length in four bytes.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.u32(u32::try_from(bytes.len()).unwrap_or(u32::MAX));
        self.raw(bytes);
    }

    /// A text behind its length in two bytes. A longer one is truncated; no text of ours is.
    pub fn text(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.u16(u16::try_from(bytes.len()).unwrap_or(u16::MAX));
        self.raw(bytes);
    }

    /// A text behind its length in four bytes.
    pub fn long_text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    /// A number that may be absent: eight bytes, not-a-number where it is.
    pub fn optional_f64(&mut self, number: Option<f64>) {
        self.raw(number.unwrap_or(f64::NAN).to_be_bytes());
    }
}

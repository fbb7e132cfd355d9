//! Encoding of fields and frames.

use crate::stream::LENGTH_BYTES;

/// Encodes a complete frame: its length, its kind, and the fields that `encode_fields` appends.
pub fn encode_frame(kind: u8, encode_fields: impl FnOnce(&mut Encoder)) -> Vec<u8> {
    let mut encoder = Encoder(vec![0; LENGTH_BYTES]);
    encoder.u8(kind);
    encode_fields(&mut encoder);
    let mut frame = encoder.into_bytes();
    let length = u32::try_from(frame.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Encodes fields to bytes. Its counterpart is [`crate::Decoder`].
#[derive(Debug, Default)]
pub struct Encoder(Vec<u8>);

impl Encoder {
    /// Creates an encoder without a length or a kind, for records and values that are not frames. For frames, use
    /// [`encode_frame`].
    pub fn new() -> Encoder {
        Encoder::default()
    }

    /// Returns the encoded bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    /// Appends a number of one byte.
    pub fn u8(&mut self, number: u8) {
        self.0.push(number);
    }

    /// Appends a number of two bytes.
    pub fn u16(&mut self, number: u16) {
        self.0.extend(number.to_be_bytes());
    }

    /// Appends a number of four bytes.
    pub fn u32(&mut self, number: u32) {
        self.0.extend(number.to_be_bytes());
    }

    /// Appends a number of eight bytes.
    pub fn u64(&mut self, number: u64) {
        self.0.extend(number.to_be_bytes());
    }

    /// Appends the number of the items that follow, in two bytes. A greater number is encoded as 65,535; the lists in
    /// frames and records are far shorter.
    pub fn count(&mut self, count: usize) {
        self.u16(u16::try_from(count).unwrap_or(u16::MAX));
    }

    /// Appends a flag of one byte, 0 or 1.
    pub fn flag(&mut self, flag: bool) {
        self.0.push(flag.into());
    }

    /// Appends bytes without their length.
    pub fn raw(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.extend_from_slice(bytes.as_ref());
    }

    /// Appends bytes preceded by their length in four bytes.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.u32(u32::try_from(bytes.len()).unwrap_or(u32::MAX));
        self.raw(bytes);
    }

    /// Appends a text preceded by its length in two bytes. A text of more than 65,535 bytes is truncated; no text in
    /// frames and records is that long.
    pub fn text(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.u16(u16::try_from(bytes.len()).unwrap_or(u16::MAX));
        self.raw(bytes);
    }

    /// Appends a text preceded by its length in four bytes.
    pub fn long_text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    /// Appends an optional number of eight bytes; an absent one is encoded as NaN.
    pub fn optional_f64(&mut self, number: Option<f64>) {
        self.raw(number.unwrap_or(f64::NAN).to_be_bytes());
    }
}

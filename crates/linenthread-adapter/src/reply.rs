//! Builds replies: a header, followed by records of big-endian fields without padding.

/// The action codes.
pub(crate) mod action {
    pub(crate) const FAIL: u8 = 1;
    pub(crate) const WAKE_AT: u8 = 2;
    pub(crate) const PANICKED: u8 = 3;
    pub(crate) const CANCEL: u8 = 4;
    pub(crate) const REJECT: u8 = 5;
    pub(crate) const RESPOND: u8 = 8;
    pub(crate) const CLOSE_IDLE: u8 = 10;
    pub(crate) const WATCH: u8 = 11;
    pub(crate) const SEND: u8 = 12;
    pub(crate) const PROBE: u8 = 13;
}

/// Size of each header field: the reply's length and its number of records.
const HEADER_FIELD_BYTES: usize = 4;

/// A reply under construction; the header is written by [`finish`](Self::finish).
pub(crate) struct Reply {
    bytes: Vec<u8>,
    record_count: u32,
}

impl Reply {
    pub(crate) fn new() -> Self {
        Reply {
            bytes: vec![0; 2 * HEADER_FIELD_BYTES],
            record_count: 0,
        }
    }

    /// Starts a record for an instance.
    pub(crate) fn record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.record_count += 1;
        self.bytes.push(code);
        self.put(&instance.to_be_bytes())
    }

    /// Appends a field to the record.
    pub(crate) fn put(&mut self, field: &[u8]) -> &mut Self {
        self.bytes.extend_from_slice(field);
        self
    }

    /// Appends a text with its length, truncated to the maximum of the length field.
    pub(crate) fn put_text(&mut self, text: &str) -> &mut Self {
        let length = u16::try_from(text.len()).unwrap_or(u16::MAX);
        let text = &text.as_bytes()[..usize::from(length)];
        self.put(&length.to_be_bytes()).put(text)
    }

    /// Writes the header and returns the bytes of the reply.
    pub(crate) fn finish(mut self) -> Vec<u8> {
        let length = u32::try_from(self.bytes.len()).expect("a reply is under 4 GiB");
        let (length_field, rest) = self.bytes.split_at_mut(HEADER_FIELD_BYTES);
        length_field.copy_from_slice(&length.to_be_bytes());
        rest[..HEADER_FIELD_BYTES].copy_from_slice(&self.record_count.to_be_bytes());
        self.bytes
    }
}

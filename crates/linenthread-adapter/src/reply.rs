//! Builds replies: a header, then records of big-endian fields without padding.

/// The codes of actions.
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

/// The bytes of a reply's length, and of the count of records that follows it.
const FIELD_BYTES: usize = 4;

/// A reply being built; its header is filled in at the end.
pub(crate) struct Reply {
    bytes: Vec<u8>,
    record_count: u32,
}

impl Reply {
    pub(crate) fn new() -> Self {
        Reply {
            bytes: vec![0; 2 * FIELD_BYTES],
            record_count: 0,
        }
    }

    /// Begins a record of an instance.
    pub(crate) fn record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.record_count += 1;
        self.bytes.push(code);
        self.put(&instance.to_be_bytes())
    }

    /// Adds a field to the record.
    pub(crate) fn put(&mut self, field: &[u8]) -> &mut Self {
        self.bytes.extend_from_slice(field);
        self
    }

    /// Adds a text after its length, cut to what the length can say.
    pub(crate) fn put_text(&mut self, text: &str) -> &mut Self {
        let length = u16::try_from(text.len()).unwrap_or(u16::MAX);
        let text = &text.as_bytes()[..usize::from(length)];
        self.put(&length.to_be_bytes()).put(text)
    }

    /// The bytes of the reply.
    pub(crate) fn finish(mut self) -> Vec<u8> {
        let length = u32::try_from(self.bytes.len()).expect("a reply is under 4 GiB");
        let (length_field, rest) = self.bytes.split_at_mut(FIELD_BYTES);
        length_field.copy_from_slice(&length.to_be_bytes());
        rest[..FIELD_BYTES].copy_from_slice(&self.record_count.to_be_bytes());
        self.bytes
    }
}

//! Decoding of fields.

use snafu::{OptionExt, Snafu, ensure};

/// An error in decoding fields. The connection that the bytes were received on can no longer be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes end within a field.
    #[snafu(display("a frame ends within a field"))]
    Truncated,
    /// A text is not UTF-8.
    #[snafu(display("a text is not UTF-8"))]
    InvalidUtf8,
    /// A flag is neither 0 nor 1.
    #[snafu(display("a flag cannot be {value}"))]
    InvalidFlag {
        /// The byte that encodes the flag.
        value: u8,
    },
    /// Bytes are left after the last field.
    #[snafu(display("{count} bytes too many"))]
    TrailingBytes {
        /// The number of bytes left.
        count: usize,
    },
    /// The length of a frame is 0 or exceeds the connection's limit.
    #[snafu(display("a frame cannot be of {length} bytes"))]
    InvalidLength {
        /// The stated length in bytes.
        length: usize,
    },
}

/// Decodes fields from the front of a byte slice. Lengths are checked against the remaining bytes before use.
#[derive(Clone, Debug)]
pub struct Decoder<'a>(&'a [u8]);

/// All methods that decode a field fail with [`DecodeError::Truncated`] if the bytes end within it.
impl<'a> Decoder<'a> {
    /// Creates a decoder that starts at the first byte.
    pub fn new(bytes: &'a [u8]) -> Decoder<'a> {
        Decoder(bytes)
    }

    /// Returns the next `count` bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn raw(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (field, rest) = self.0.split_at_checked(count).context(TruncatedSnafu)?;
        self.0 = rest;
        Ok(field)
    }

    /// Returns the next `N` bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (field, rest) = self.0.split_first_chunk().context(TruncatedSnafu)?;
        self.0 = rest;
        Ok(*field)
    }

    /// Decodes a number of one byte.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        self.array().map(u8::from_be_bytes)
    }

    /// Decodes a number of two bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        self.array().map(u16::from_be_bytes)
    }

    /// Decodes a number of four bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_be_bytes)
    }

    /// Decodes a number of eight bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_be_bytes)
    }

    /// Decodes a flag of one byte, 0 or 1.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`], [`DecodeError::InvalidFlag`].
    pub fn flag(&mut self) -> Result<bool, DecodeError> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            value => InvalidFlagSnafu { value }.fail(),
        }
    }

    /// Decodes bytes preceded by their length in four bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn bytes(&mut self) -> Result<&'a [u8], DecodeError> {
        let length = self.u32()?;
        self.raw(length as usize)
    }

    /// Decodes a text preceded by its length in two bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`], [`DecodeError::InvalidUtf8`].
    pub fn text(&mut self) -> Result<String, DecodeError> {
        let length = self.u16()?;
        self.utf8(length.into())
    }

    /// Decodes a text preceded by its length in four bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`], [`DecodeError::InvalidUtf8`].
    pub fn long_text(&mut self) -> Result<String, DecodeError> {
        let length = self.u32()?;
        self.utf8(length as usize)
    }

    fn utf8(&mut self, length: usize) -> Result<String, DecodeError> {
        let text = std::str::from_utf8(self.raw(length)?).ok();
        Ok(text.context(InvalidUtf8Snafu)?.to_owned())
    }

    /// Decodes an optional number of eight bytes. A number that is not finite is absent, and a negative one is read
    /// as 0.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn optional_f64(&mut self) -> Result<Option<f64>, DecodeError> {
        let number = f64::from_be_bytes(self.array()?);
        Ok(number.is_finite().then_some(number.max(0.0)))
    }

    /// Skips the remaining bytes, which must be options of later versions: each has a kind in one byte, a length in
    /// two, and that many bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn skip_options(&mut self) -> Result<(), DecodeError> {
        while !self.is_empty() {
            self.u8()?;
            let length = self.u16()?;
            self.raw(length.into())?;
        }
        Ok(())
    }

    /// Reports whether no bytes are left.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of bytes left.
    pub fn remaining(&self) -> usize {
        self.0.len()
    }

    /// Checks that no bytes are left.
    ///
    /// # Errors
    /// [`DecodeError::TrailingBytes`].
    pub fn finish(self) -> Result<(), DecodeError> {
        let count = self.remaining();
        ensure!(count == 0, TrailingBytesSnafu { count });
        Ok(())
    }
}

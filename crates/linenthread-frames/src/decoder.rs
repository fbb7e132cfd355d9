//! Bytes taken apart to fields.

use snafu::{OptionExt, Snafu, ensure};

/// Why bytes are no fields. A connection that carried them is of no more use.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes end before the field does.
    #[snafu(display("a frame ends within a field"))]
    Truncated,
    /// A text is not UTF-8.
    #[snafu(display("a text is not UTF-8"))]
    InvalidUtf8,
    /// A flag is neither 0 nor 1.
    #[snafu(display("a flag cannot be {value}"))]
    InvalidFlag {
        /// The byte that stands for the flag.
        value: u8,
    },
    /// Bytes are left after the last field.
    #[snafu(display("{count} bytes too many"))]
    TrailingBytes {
        /// How many.
        count: usize,
    },
    /// A frame states a length of 0, or one over the connection's limit.
    #[snafu(display("a frame cannot be of {length} bytes"))]
    InvalidLength {
        /// The stated length in bytes.
        length: usize,
    },
}

/// For callers that report errors as text.
impl From<DecodeError> for String {
    fn from(error: DecodeError) -> String {
        error.to_string()
    }
}

/// Takes fields off the front of bytes; no field is longer than what is there.
#[derive(Clone, Debug)]
pub struct Decoder<'a>(&'a [u8]);

/// All methods fail with [`DecodeError::Truncated`] where the bytes end within the field.
impl<'a> Decoder<'a> {
    /// From these bytes.
    pub fn new(bytes: &'a [u8]) -> Decoder<'a> {
        Decoder(bytes)
    }

    /// So many bytes as they are.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn raw(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (field, rest) = self.0.split_at_checked(count).context(TruncatedSnafu)?;
        self.0 = rest;
        Ok(field)
    }

    /// An array as it is.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (field, rest) = self.0.split_first_chunk().context(TruncatedSnafu)?;
        self.0 = rest;
        Ok(*field)
    }

    /// One byte.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        self.array().map(u8::from_be_bytes)
    }

    /// Two bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        self.array().map(u16::from_be_bytes)
    }

    /// Four bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_be_bytes)
    }

    /// Eight bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_be_bytes)
    }

    /// One byte, 0 or 1.
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

    /// Bytes behind their length in four bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn bytes(&mut self) -> Result<&'a [u8], DecodeError> {
        let length = self.u32()?;
        self.raw(length as usize)
    }

    /// A text behind its length in two bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`], [`DecodeError::InvalidUtf8`].
    pub fn text(&mut self) -> Result<String, DecodeError> {
        let length = self.u16()?;
        self.utf8(length.into())
    }

    /// A text behind its length in four bytes.
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

    /// A number that may be absent; a negative one is read as 0.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`].
    pub fn optional_f64(&mut self) -> Result<Option<f64>, DecodeError> {
        let number = f64::from_be_bytes(self.array()?);
        Ok(number.is_finite().then_some(number.max(0.0)))
    }

    /// Skips options of later versions, each a kind, a length in two bytes and that many bytes, to the end.
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

    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many bytes are left.
    pub fn remaining(&self) -> usize {
        self.0.len()
    }

    /// Checks that nothing is left.
    ///
    /// # Errors
    /// [`DecodeError::TrailingBytes`].
    pub fn finish(self) -> Result<(), DecodeError> {
        let count = self.remaining();
        ensure!(count == 0, TrailingBytesSnafu { count });
        Ok(())
    }
}

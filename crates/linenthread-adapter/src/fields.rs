//! Reads the fields of a batch: big-endian, without padding.

use snafu::{OptionExt, ensure};

use crate::error::{AdapterError, NotFiniteSnafu, TruncatedFieldSnafu};

/// The unread part of a batch. Reading past the end is an error that names the field.
pub(crate) struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Fields { rest: bytes }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Reads the next `needed` bytes.
    pub(crate) fn bytes(
        &mut self,
        needed: usize,
        field: &'static str,
    ) -> Result<&'a [u8], AdapterError> {
        let left = self.rest.len();
        let (head, tail) = self
            .rest
            .split_at_checked(needed)
            .context(TruncatedFieldSnafu {
                field,
                needed,
                left,
            })?;
        self.rest = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], AdapterError> {
        let bytes = self.bytes(N, field)?;
        Ok(bytes.try_into().expect("a slice of N bytes"))
    }

    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, AdapterError> {
        Ok(u8::from_be_bytes(self.array(field)?))
    }

    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, AdapterError> {
        Ok(u16::from_be_bytes(self.array(field)?))
    }

    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, AdapterError> {
        Ok(u32::from_be_bytes(self.array(field)?))
    }

    /// Reads a 32-bit count or number.
    pub(crate) fn count(&mut self, field: &'static str) -> Result<usize, AdapterError> {
        Ok(usize::try_from(self.u32(field)?).expect("usize has at least 32 bits"))
    }

    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, AdapterError> {
        Ok(u64::from_be_bytes(self.array(field)?))
    }

    pub(crate) fn f32(&mut self, field: &'static str) -> Result<f32, AdapterError> {
        let value = f32::from_be_bytes(self.array(field)?);
        ensure!(value.is_finite(), NotFiniteSnafu { field });
        Ok(value)
    }

    pub(crate) fn f64(&mut self, field: &'static str) -> Result<f64, AdapterError> {
        let value = f64::from_be_bytes(self.array(field)?);
        ensure!(value.is_finite(), NotFiniteSnafu { field });
        Ok(value)
    }
}

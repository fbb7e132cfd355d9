//! Splitting a stream of bytes into frames.

use crate::DecodeError;
use crate::decoder::InvalidLengthSnafu;

/// The size of a frame's length field in bytes. The length does not include the field itself.
pub const LENGTH_BYTES: usize = 4;

/// A frame at the front of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstFrame<'b> {
    /// The frame's kind and fields, without the length field.
    pub fields: &'b [u8],
    /// The number of bytes of the buffer that the frame occupies, including the length field.
    pub encoded_bytes: usize,
}

/// Returns the first frame in the buffer; `None` while it is incomplete.
///
/// # Errors
/// [`DecodeError::InvalidLength`] if the frame is empty or longer than `max_length` bytes.
pub fn first_frame(
    buffer: &[u8],
    max_length: usize,
) -> Result<Option<FirstFrame<'_>>, DecodeError> {
    let Some((prefix, rest)) = buffer.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length == 0 || length > max_length {
        return InvalidLengthSnafu { length }.fail();
    }
    Ok(rest.get(..length).map(|fields| FirstFrame {
        fields,
        encoded_bytes: LENGTH_BYTES + length,
    }))
}

/// Removes all complete frames from the buffer and passes each to `handle`, in order; an incomplete frame stays.
///
/// # Errors
/// [`DecodeError::InvalidLength`], or the error of `handle`. The frames before the failure are removed, and so is a
/// frame for which `handle` failed.
pub fn drain_frames<E: From<DecodeError>>(
    buffer: &mut Vec<u8>,
    max_length: usize,
    mut handle: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<(), E> {
    let mut consumed = 0;
    let result = loop {
        match first_frame(&buffer[consumed..], max_length) {
            Ok(None) => break Ok(()),
            Ok(Some(frame)) => {
                consumed += frame.encoded_bytes;
                if let Err(error) = handle(frame.fields) {
                    break Err(error);
                }
            }
            Err(error) => break Err(error.into()),
        }
    };
    buffer.drain(..consumed);
    result
}

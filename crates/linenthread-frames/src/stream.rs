//! A stream of bytes split into frames.

use crate::DecodeError;
use crate::decoder::InvalidLengthSnafu;

/// Bytes of a frame's length, which does not count itself.
pub const LENGTH_BYTES: usize = 4;

/// A frame at the front of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstFrame<'b> {
    /// Its kind and its fields, without its length.
    pub fields: &'b [u8],
    /// How many bytes of the buffer it takes, its length included.
    pub encoded_bytes: usize,
}

/// The first frame in the buffer; `None` while it is incomplete.
///
/// # Errors
/// [`DecodeError::InvalidLength`] for a frame that is empty or longer than `max_length` bytes.
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

/// Removes all complete frames from the buffer and hands each to `handle`, in their order; an incomplete one stays.
///
/// # Errors
/// [`DecodeError::InvalidLength`], or what `handle` fails with. The frames before it, and for a failure of `handle`
/// the frame itself, are removed.
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

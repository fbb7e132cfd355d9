//! Reads frames from standard input: a length of four bytes, which includes itself, followed by the body.

use std::io::{ErrorKind, Read};

use snafu::{ResultExt, ensure};

use crate::error::{
    AdapterError, ReadSnafu, ShortLengthSnafu, TruncatedFrameSnafu, TruncatedLengthSnafu,
};

/// Size of the length field.
const LENGTH_BYTES: usize = 4;

/// Size of a batch's header, which consists of the length and the clock.
const HEADER_BYTES: u64 = 12;

/// Reads the next frame and returns its body, or `None` if the input ends between frames.
pub(crate) fn read(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let Some(length) = read_length(input)? else {
        return Ok(None);
    };
    ensure!(length >= HEADER_BYTES, ShortLengthSnafu { length });
    let body_length = length - LENGTH_BYTES as u64;
    let mut body = Vec::new();
    input
        .take(body_length)
        .read_to_end(&mut body)
        .context(ReadSnafu)?;
    ensure!(
        body.len() as u64 == body_length,
        TruncatedFrameSnafu {
            received: body.len() + LENGTH_BYTES,
            length,
        }
    );
    Ok(Some(body))
}

fn read_length(input: &mut impl Read) -> Result<Option<u64>, AdapterError> {
    let mut length = [0; LENGTH_BYTES];
    let mut received = 0;
    while received < LENGTH_BYTES {
        match input.read(&mut length[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return TruncatedLengthSnafu.fail(),
            Ok(count) => received += count,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e).context(ReadSnafu),
        }
    }
    Ok(Some(u64::from(u32::from_be_bytes(length))))
}

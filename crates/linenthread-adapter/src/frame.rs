//! Reading frames and building replies: big-endian fields, no padding.

use std::io::{self, Read};

/// Reads fields off a frame; running out is an error that names the field.
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

    pub(crate) fn bytes(&mut self, n: usize, field: &str) -> Result<&'a [u8], String> {
        let (head, tail) = self.rest.split_at_checked(n).ok_or_else(|| {
            format!(
                "truncated frame: {field} needs {n} bytes, {} left",
                self.rest.len()
            )
        })?;
        self.rest = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self, field: &str) -> Result<[u8; N], String> {
        Ok(self.bytes(N, field)?.try_into().expect("split to length"))
    }

    pub(crate) fn u8(&mut self, field: &str) -> Result<u8, String> {
        Ok(self.array::<1>(field)?[0])
    }

    pub(crate) fn u16(&mut self, field: &str) -> Result<u16, String> {
        Ok(u16::from_be_bytes(self.array(field)?))
    }

    pub(crate) fn u32(&mut self, field: &str) -> Result<u32, String> {
        Ok(u32::from_be_bytes(self.array(field)?))
    }

    pub(crate) fn u64(&mut self, field: &str) -> Result<u64, String> {
        Ok(u64::from_be_bytes(self.array(field)?))
    }

    pub(crate) fn f32(&mut self, field: &str) -> Result<f32, String> {
        let value = f32::from_be_bytes(self.array(field)?);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("{field} is not a finite number"))
        }
    }

    pub(crate) fn f64(&mut self, field: &str) -> Result<f64, String> {
        let value = f64::from_be_bytes(self.array(field)?);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("{field} is not a finite number"))
        }
    }
}

/// A reply frame under way; the header is filled in at the end.
pub(crate) struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

impl Reply {
    pub(crate) fn new() -> Self {
        Reply {
            bytes: vec![0; 8],
            records: 0,
        }
    }

    pub(crate) fn record(&mut self, code: u8, who: u32) -> &mut Self {
        self.records += 1;
        self.bytes.push(code);
        self.put(&who.to_be_bytes())
    }

    pub(crate) fn put(&mut self, field: &[u8]) -> &mut Self {
        self.bytes.extend_from_slice(field);
        self
    }

    /// A text with its length before it, cut to what the length can say.
    pub(crate) fn put_text(&mut self, text: &str) -> &mut Self {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(&(bytes.len() as u16).to_be_bytes()).put(bytes)
    }

    pub(crate) fn finish(mut self) -> Vec<u8> {
        let length = self.bytes.len() as u32;
        self.bytes[..4].copy_from_slice(&length.to_be_bytes());
        self.bytes[4..8].copy_from_slice(&self.records.to_be_bytes());
        self.bytes
    }
}

/// The next frame without its length, or `None` where the input ends between frames.
pub(crate) fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut length = [0; 4];
    let mut got = 0;
    while got < 4 {
        match input.read(&mut length[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err("truncated frame: input ends inside the length".into()),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read standard input: {e}")),
        }
    }
    let length = u64::from(u32::from_be_bytes(length));
    if length < 12 {
        return Err(format!("frame length {length} is shorter than a header"));
    }
    let mut body = Vec::new();
    input
        .take(length - 4)
        .read_to_end(&mut body)
        .map_err(|e| format!("cannot read standard input: {e}"))?;
    if body.len() as u64 != length - 4 {
        return Err(format!(
            "truncated frame: {} of {length} bytes",
            body.len() + 4
        ));
    }
    Ok(Some(body))
}

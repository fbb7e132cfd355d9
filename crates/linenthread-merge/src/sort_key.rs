//! Sort keys: the position of a row in its index's order, encoded as bytes that compare as the rows do.
//!
//! Each sort field contributes a byte that says whether it is present, then its value in an encoding that sorts
//! bytewise, inverted if the order is descending. The row's identity ends the key. So keys from all shards can be
//! compared with each other and stored in cursors.

use serde_json::Value;

use crate::decimal;
use crate::error::{MissingIdentitySnafu, NotTextSnafu, ValueError};
use crate::plan::{FieldType, RowPlan, SortField};
use crate::row_fields::{RowFields, is_json_string, scalar};

const PRESENT: u8 = 1;
/// Greater than [`PRESENT`], so that rows that lack a field come last, whether ascending or descending.
const ABSENT: u8 = 2;
/// Two of these end a text; a zero byte within the text is followed by [`ESCAPED`].
const TERMINATOR: u8 = 0;
const ESCAPED: u8 = 0xff;
/// The length of an encoded number in bytes.
const NUMBER_BYTES: usize = 16;
/// Flipped in encoded numbers, so that two's complement sorts bytewise.
const SIGN_BIT: u128 = 1 << 127;
/// The initial capacity of a key in bytes.
const KEY_CAPACITY: usize = 64;

/// The encoded position of a row in its index's order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SortKey(pub(crate) Box<[u8]>);

/// The parts of a row that a merge needs.
pub(crate) struct RowKey {
    pub(crate) key: SortKey,
    /// The value of the field by which rows are to be distinct.
    pub(crate) distinct: Option<Box<[u8]>>,
}

impl RowPlan {
    /// Reads a row's position and the value of its distinct field.
    pub(crate) fn row_key(&self, row: &str) -> Result<RowKey, ValueError> {
        let fields = RowFields::find(self, row)?;
        let mut key = Vec::with_capacity(KEY_CAPACITY);
        let mut distinct = None;
        for (field, raw) in self.order.iter().zip(fields.sort_fields()) {
            let start = key.len();
            let is_present = field.encode(*raw, &mut key)?;
            if is_present && self.is_distinct_by(field) {
                // The encoded value, so that different notations of a number are equal.
                distinct = Some(key[start..].into());
            }
        }
        let Some(identity) = scalar(fields.identity())? else {
            let field = &self.identity;
            return MissingIdentitySnafu { field }.fail();
        };
        encode_text(&mut key, &identity, false);
        if !self.order.iter().any(|field| self.is_distinct_by(field)) {
            distinct = scalar(fields.distinct())?.map(|value| value.as_bytes().into());
        }
        Ok(RowKey {
            key: SortKey(key.into()),
            distinct,
        })
    }

    fn is_distinct_by(&self, field: &SortField) -> bool {
        self.distinct.as_ref() == Some(&field.field)
    }

    /// Decodes a position into the values after which a shard is to continue: one for each sort field, then the
    /// identity. Returns `None` if the key is not a position in this order.
    pub(crate) fn position_values(&self, key: &SortKey) -> Option<Vec<Value>> {
        let mut rest = &key.0[..];
        let mut values = Vec::with_capacity(self.order.len() + 1);
        for field in &self.order {
            values.push(field.decode(&mut rest)?);
        }
        values.push(Value::String(decode_text(&mut rest, false)?));
        rest.is_empty().then_some(values)
    }

    /// Returns the part of a key that encodes the first sort field, if the field is present.
    pub(crate) fn first_field<'k>(&self, key: &'k SortKey) -> Option<&'k [u8]> {
        let field = self.order.first()?;
        let (presence, mut rest) = key.0.split_first()?;
        if *presence == ABSENT {
            return None;
        }
        match field.field_type {
            FieldType::Text => drop(decode_text(&mut rest, field.descending)?),
            FieldType::Decimal(_) => rest = rest.get(NUMBER_BYTES..)?,
        }
        Some(&key.0[..key.0.len() - rest.len()])
    }
}

impl SortField {
    /// Appends the field's raw JSON value to a key, and reports whether the row has one.
    fn encode(&self, raw: Option<&str>, key: &mut Vec<u8>) -> Result<bool, ValueError> {
        let Some(value) = scalar(raw)? else {
            key.push(ABSENT);
            return Ok(false);
        };
        key.push(PRESENT);
        match self.field_type {
            FieldType::Text if raw.is_some_and(is_json_string) => {
                encode_text(key, &value, self.descending);
            }
            FieldType::Text => {
                let field = &self.field;
                return NotTextSnafu { field }.fail();
            }
            FieldType::Decimal(scale) => {
                encode_number(key, decimal::parse(&value, scale)?, self.descending);
            }
        }
        Ok(true)
    }

    /// Decodes the field's value from the front of a key, and advances the key.
    fn decode(&self, key: &mut &[u8]) -> Option<Value> {
        let (presence, rest) = key.split_first()?;
        *key = rest;
        match (*presence, self.field_type) {
            (ABSENT, _) => Some(Value::Null),
            (PRESENT, FieldType::Text) => decode_text(key, self.descending).map(Value::String),
            (PRESENT, FieldType::Decimal(scale)) => {
                let number = decode_number(key, self.descending)?;
                Some(Value::String(decimal::format(number, scale)))
            }
            _ => None,
        }
    }
}

/// Inverts a byte of a key if the order is descending.
fn in_direction(byte: u8, descending: bool) -> u8 {
    if descending { !byte } else { byte }
}

fn encode_text(key: &mut Vec<u8>, text: &str, descending: bool) {
    for byte in text.bytes() {
        key.push(in_direction(byte, descending));
        if byte == TERMINATOR {
            key.push(in_direction(ESCAPED, descending));
        }
    }
    key.extend([in_direction(TERMINATOR, descending); 2]);
}

fn decode_text(key: &mut &[u8], descending: bool) -> Option<String> {
    let encoded = *key;
    let mut text = Vec::new();
    let mut bytes = encoded.iter().map(|byte| in_direction(*byte, descending));
    loop {
        let byte = bytes.next()?;
        if byte == TERMINATOR && bytes.next()? == TERMINATOR {
            break;
        }
        text.push(byte);
    }
    let remaining = bytes.len();
    *key = &encoded[encoded.len() - remaining..];
    String::from_utf8(text).ok()
}

fn encode_number(key: &mut Vec<u8>, number: i128, descending: bool) {
    let bits = number.cast_unsigned() ^ SIGN_BIT;
    let bits = if descending { !bits } else { bits };
    key.extend(bits.to_be_bytes());
}

fn decode_number(key: &mut &[u8], descending: bool) -> Option<i128> {
    let (bytes, rest) = key.split_first_chunk::<NUMBER_BYTES>()?;
    *key = rest;
    let bits = u128::from_be_bytes(*bytes);
    let bits = if descending { !bits } else { bits };
    Some((bits ^ SIGN_BIT).cast_signed())
}

//! A row's position in its index's order: bytes that compare as the rows do.
//!
//! Each sort field contributes a byte that says whether it is present, then its value in an encoding that sorts
//! by its bytes, inverted where the order descends; the identity ends the key. So keys from all shards compare in
//! the same way, and a cursor can carry them.

use std::borrow::Cow;

use serde::de::{Deserializer, IgnoredAny, MapAccess, Visitor};
use serde_json::Value;
use serde_json::value::RawValue;

use crate::decimal;
use crate::error::{
    FieldTooLongSnafu, InvalidFieldSnafu, MalformedRowSnafu, MissingIdentitySnafu, NotTextSnafu,
    ValueError,
};
use crate::plan::{FieldType, RowPlan, SortField};

const PRESENT: u8 = 1;
/// Rows that lack a field come last, in either direction.
const ABSENT: u8 = 2;
/// Ends a text, twice; a zero within the text is followed by [`ESCAPED`].
const TERMINATOR: u8 = 0;
const ESCAPED: u8 = 0xff;
/// The bytes of an encoded number.
const NUMBER_BYTES: usize = 16;
/// Flipping the sign bit makes two's complement sort by its bytes.
const SIGN_BIT: u128 = 1 << 127;
/// The most bytes of a sort field or an identity.
const MAX_FIELD_BYTES: usize = 256;
/// What a key has room for before it must grow.
const KEY_CAPACITY: usize = 64;

/// A row's position in the order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SortKey(pub(crate) Box<[u8]>);

/// What a merge must know of a row.
pub(crate) struct RowKey {
    pub(crate) key: SortKey,
    /// The value of the field by which rows are to be distinct.
    pub(crate) distinct: Option<Box<[u8]>>,
}

impl RowPlan {
    /// Reads a row's position.
    pub(crate) fn row_key(&self, row: &str) -> Result<RowKey, ValueError> {
        let found = self.find_fields(row)?;
        let mut key = Vec::with_capacity(KEY_CAPACITY);
        let mut distinct = None;
        for (field, raw) in self.order.iter().zip(&found) {
            let start = key.len();
            let is_present = field.encode(*raw, &mut key)?;
            if is_present && self.distinct.as_ref() == Some(&field.field) {
                // The value counts, not how it is written.
                distinct = Some(key[start..].into());
            }
        }
        let mut others = found[self.order.len()..].iter().copied();
        let identity = scalar(others.next().flatten())?;
        let Some(identity) = identity else {
            let field = &self.identity;
            return MissingIdentitySnafu { field }.fail();
        };
        encode_text(&mut key, &identity, false);
        let is_sort_field = self
            .order
            .iter()
            .any(|field| self.distinct.as_ref() == Some(&field.field));
        if !is_sort_field {
            distinct = scalar(others.next().flatten())?.map(|value| value.as_bytes().into());
        }
        Ok(RowKey {
            key: SortKey(key.into()),
            distinct,
        })
    }

    /// The raw JSON of the sort fields, of the identity, and of the distinct field if there is one.
    fn find_fields<'r>(&self, row: &'r str) -> Result<Vec<Option<&'r str>>, ValueError> {
        let mut wanted: Vec<&str> = self.order.iter().map(|o| o.field.as_str()).collect();
        wanted.push(&self.identity);
        wanted.extend(self.distinct.as_deref());
        serde_json::Deserializer::from_str(row)
            .deserialize_map(FieldVisitor { wanted: &wanted })
            .or_else(|error| {
                let reason = error.to_string();
                MalformedRowSnafu { reason }.fail()
            })
    }

    /// A position's values, for a shard to go on from: one for each sort field, then the identity. `None` if it
    /// is not a position in this order.
    pub(crate) fn position_values(&self, key: &SortKey) -> Option<Vec<Value>> {
        let mut rest = &key.0[..];
        let mut values = Vec::with_capacity(self.order.len() + 1);
        for field in &self.order {
            values.push(field.decode(&mut rest)?);
        }
        values.push(Value::String(decode_text(&mut rest, false)?));
        rest.is_empty().then_some(values)
    }

    /// The part of a key that encodes the first sort field, if the field is present.
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
    /// Adds the field's raw JSON value to a key; whether the row has one.
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

    /// Takes the field's value off a key.
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

fn is_json_string(raw: &str) -> bool {
    raw.starts_with('"')
}

/// A value as it stands in JSON: a string's text, a number's digits, or nothing.
fn scalar(raw: Option<&str>) -> Result<Option<Cow<'_, str>>, ValueError> {
    let Some(raw) = raw else {
        return Ok(None);
    };
    match raw.as_bytes().first() {
        Some(b'"') => {
            let inner = &raw[1..raw.len() - 1];
            let text: Cow<str> = if inner.contains('\\') {
                Cow::Owned(serde_json::from_str(raw)?)
            } else {
                Cow::Borrowed(inner)
            };
            if text.len() > MAX_FIELD_BYTES {
                let max_bytes = MAX_FIELD_BYTES;
                return FieldTooLongSnafu { max_bytes }.fail();
            }
            Ok(Some(text))
        }
        Some(b'n') => Ok(None),
        Some(b'-' | b'0'..=b'9') if raw.len() <= MAX_FIELD_BYTES => Ok(Some(Cow::Borrowed(raw))),
        _ => InvalidFieldSnafu.fail(),
    }
}

/// A byte of a key in the order's direction.
fn directed(byte: u8, descending: bool) -> u8 {
    if descending { !byte } else { byte }
}

fn encode_text(key: &mut Vec<u8>, text: &str, descending: bool) {
    for byte in text.bytes() {
        key.push(directed(byte, descending));
        if byte == TERMINATOR {
            key.push(directed(ESCAPED, descending));
        }
    }
    key.extend([directed(TERMINATOR, descending); 2]);
}

fn decode_text(key: &mut &[u8], descending: bool) -> Option<String> {
    let encoded = *key;
    let mut text = Vec::new();
    let mut bytes = encoded.iter().map(|byte| directed(*byte, descending));
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

/// Finds the raw JSON of some fields of a row without building the rest.
struct FieldVisitor<'f> {
    wanted: &'f [&'f str],
}

impl<'de> Visitor<'de> for FieldVisitor<'_> {
    type Value = Vec<Option<&'de str>>;

    fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str("a row")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut found = vec![None; self.wanted.len()];
        while let Some(name) = map.next_key::<Cow<'de, str>>()? {
            let mut raw = None;
            // A field may be wanted twice: to sort by and to be distinct by.
            let slots = found.iter_mut().zip(self.wanted);
            for (slot, _) in slots.filter(|(_, wanted)| **wanted == name) {
                if slot.is_some() {
                    return Err(serde::de::Error::custom("a field stands twice in a row"));
                }
                let value = match raw {
                    Some(value) => value,
                    None => *raw.insert(map.next_value::<&RawValue>()?.get()),
                };
                *slot = Some(value);
            }
            if raw.is_none() {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(found)
    }
}

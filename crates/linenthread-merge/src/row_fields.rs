//! Finds the fields of a row that a merge needs, without parsing the rest into values.

use std::borrow::Cow;

use serde::de::{Deserializer, Error, IgnoredAny, MapAccess, Visitor};
use serde_json::value::RawValue;

use crate::error::{FieldTooLongSnafu, InvalidFieldSnafu, MalformedRowSnafu, ValueError};
use crate::plan::RowPlan;

/// The maximum length of a sort field, a distinct field or an identity in bytes.
const MAX_FIELD_BYTES: usize = 256;

/// The raw JSON of the fields that a plan uses; `None` for those that the row lacks.
pub(crate) struct RowFields<'r> {
    /// The sort fields, then the identity, then the distinct field if the plan has one.
    found: Vec<Option<&'r str>>,
    sort_field_count: usize,
}

impl<'r> RowFields<'r> {
    /// Finds the fields in a row's JSON.
    pub(crate) fn find(plan: &RowPlan, row: &'r str) -> Result<RowFields<'r>, ValueError> {
        let sort_fields = plan.order.iter().map(|field| field.field.as_str());
        let names: Vec<&str> = sort_fields
            .chain([plan.identity.as_str()])
            .chain(plan.distinct.as_deref())
            .collect();
        let found = serde_json::Deserializer::from_str(row)
            .deserialize_map(FieldVisitor { names: &names })
            .or_else(|error| {
                let reason = error.to_string();
                MalformedRowSnafu { reason }.fail()
            })?;
        Ok(RowFields {
            found,
            sort_field_count: plan.order.len(),
        })
    }

    /// Returns the sort fields, in the plan's order.
    pub(crate) fn sort_fields(&self) -> &[Option<&'r str>] {
        &self.found[..self.sort_field_count]
    }

    pub(crate) fn identity(&self) -> Option<&'r str> {
        self.found[self.sort_field_count]
    }

    /// Returns the distinct field, if the plan has one.
    pub(crate) fn distinct(&self) -> Option<&'r str> {
        *self.found.get(self.sort_field_count + 1)?
    }
}

/// Reports whether raw JSON is a string.
pub(crate) fn is_json_string(raw: &str) -> bool {
    raw.starts_with('"')
}

/// Returns the text of a JSON string or the digits of a JSON number; `None` for null or an absent field.
pub(crate) fn scalar(raw: Option<&str>) -> Result<Option<Cow<'_, str>>, ValueError> {
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

/// Collects the raw JSON of the fields with these names, in their order.
struct FieldVisitor<'f> {
    names: &'f [&'f str],
}

impl<'de> Visitor<'de> for FieldVisitor<'_> {
    type Value = Vec<Option<&'de str>>;

    fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str("a row")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut found = vec![None; self.names.len()];
        while let Some(name) = map.next_key::<Cow<'de, str>>()? {
            // A plan may name a field twice: as a sort field and as the distinct field.
            let mut slots = found
                .iter_mut()
                .zip(self.names)
                .filter(|(_, named)| **named == name)
                .map(|(slot, _)| slot)
                .peekable();
            if slots.peek().is_none() {
                map.next_value::<IgnoredAny>()?;
                continue;
            }
            let raw = map.next_value::<&RawValue>()?.get();
            for slot in slots {
                if slot.replace(raw).is_some() {
                    return Err(Error::custom("a field is repeated in a row"));
                }
            }
        }
        Ok(found)
    }
}

//! Reads a shard's rows and checks their order; rows that can no longer be on the page are skipped.

use std::borrow::Cow;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;

use crate::error::{NoRowsSnafu, ValueError};
use crate::page::{Batch, PageBuilder, Row};
use crate::sort_key::{RowKey, SortKey};

/// The maximum length of a row in bytes; a row that alone filled a response could never be returned.
const MAX_ROW_BYTES: usize = 16 * 1024;

/// Reads a shard's value `{"rows":[...],"more":...}`. The page changes only by [`PageBuilder::add`].
///
/// # Errors
///
/// The value is malformed, a row lacks required fields or is too long, or the rows are not sorted or do not rank after
/// the requested position.
pub(crate) fn read_batch(
    page: &PageBuilder<'_>,
    sub_request: usize,
    value: &str,
) -> Result<Batch, ValueError> {
    let last = page.frontier(sub_request).cloned();
    let mut json = serde_json::Deserializer::from_str(value);
    let batch = json.deserialize_map(BatchVisitor { page, last })?;
    json.end()?;
    if batch.has_more && batch.rows.is_empty() && !batch.trimmed {
        return NoRowsSnafu.fail();
    }
    Ok(batch)
}

struct BatchVisitor<'r, 'p> {
    page: &'r PageBuilder<'p>,
    /// The position after which the value's rows must rank.
    last: Option<SortKey>,
}

impl<'de> Visitor<'de> for BatchVisitor<'_, '_> {
    type Value = Batch;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object with rows and more")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Batch, A::Error> {
        let (mut rows, mut more) = (None, None);
        while let Some(key) = map.next_key::<Cow<'de, str>>()? {
            match &*key {
                "rows" if rows.is_none() => {
                    rows = Some(map.next_value_seed(RowsVisitor {
                        page: self.page,
                        last: self.last.clone(),
                    })?);
                }
                "more" if more.is_none() => more = Some(map.next_value::<bool>()?),
                "rows" | "more" => return Err(Error::custom(format!("{key} is repeated"))),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        let rows: SortedRows = rows.ok_or_else(|| Error::missing_field("rows"))?;
        Ok(Batch {
            rows: rows.rows,
            has_more: more.ok_or_else(|| Error::missing_field("more"))?,
            trimmed: rows.trimmed,
        })
    }
}

struct SortedRows {
    rows: Vec<Row>,
    /// Rows were skipped because they rank after a full page or exceed its limit.
    trimmed: bool,
}

struct RowsVisitor<'r, 'p> {
    page: &'r PageBuilder<'p>,
    /// The position of the previous row.
    last: Option<SortKey>,
}

impl<'de> DeserializeSeed<'de> for RowsVisitor<'_, '_> {
    type Value = SortedRows;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<SortedRows, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for RowsVisitor<'_, '_> {
    type Value = SortedRows;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a list of rows")
    }

    fn visit_seq<A: SeqAccess<'de>>(mut self, mut list: A) -> Result<SortedRows, A::Error> {
        let mut rows = Vec::new();
        while let Some(json) = list.next_element::<&RawValue>()? {
            let json = json.get();
            let RowKey { key, distinct } = self.page.plan().row_key(json).map_err(Error::custom)?;
            self.check(&key, json).map_err(Error::custom)?;
            if rows.len() >= self.page.limit() || self.page.ranks_after_page(&key) {
                while list.next_element::<IgnoredAny>()?.is_some() {}
                return Ok(SortedRows {
                    rows,
                    trimmed: true,
                });
            }
            self.last = Some(key.clone());
            rows.push(Row {
                key,
                distinct,
                json: json.into(),
            });
        }
        Ok(SortedRows {
            rows,
            trimmed: false,
        })
    }
}

impl RowsVisitor<'_, '_> {
    /// Checks a row's length, and that it ranks after the previous one.
    fn check(&self, key: &SortKey, json: &str) -> Result<(), String> {
        if json.len() > MAX_ROW_BYTES {
            return Err(format!("a row has more than {MAX_ROW_BYTES} bytes"));
        }
        if self.last.as_ref().is_some_and(|last| key <= last) {
            return Err("its rows are not in order, or not after the requested position".into());
        }
        Ok(())
    }
}

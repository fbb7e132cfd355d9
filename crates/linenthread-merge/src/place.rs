//! Where a row stands in its index's order: bytes that compare as the rows do.
//!
//! Each order field gives a byte that says whether it is there, then its value in a form that sorts by its
//! bytes, turned round where the order descends; the identity ends it. So places from all slices compare
//! the same everywhere, and a page mark can carry one.

use std::borrow::Cow;

use serde::de::{Deserializer, IgnoredAny, MapAccess, Visitor};
use serde_json::Value;
use serde_json::value::RawValue;

use crate::decimal;
use crate::plan::{Kind, Rows};

const HERE: u8 = 1;
/// Rows that lack a field come last, whichever way it is ordered.
const ABSENT: u8 = 2;
/// A row's order fields and identity may have so many bytes each.
const LONGEST_FIELD: usize = 256;

/// A row's place in the order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place(pub(crate) Box<[u8]>);

/// What a merge must know of a row.
pub(crate) struct Known {
    pub place: Place,
    /// The value of the field that rows are to differ by.
    pub distinct: Option<Box<[u8]>>,
}

fn put_text(to: &mut Vec<u8>, text: &str, turned: bool) {
    let turn = |b: u8| if turned { !b } else { b };
    for b in text.bytes() {
        to.push(turn(b));
        if b == 0 {
            to.push(turn(0xff));
        }
    }
    to.extend([turn(0), turn(0)]);
}

fn put_number(to: &mut Vec<u8>, number: i128, turned: bool) {
    let bits = number as u128 ^ (1 << 127);
    to.extend(if turned { !bits } else { bits }.to_be_bytes());
}

/// One value of a row as it stands: a text, a number's digits, or nothing.
fn scalar(raw: &str) -> Result<Option<Cow<'_, str>>, String> {
    match raw.as_bytes().first() {
        Some(b'"') => {
            let text: Cow<str> = match raw[1..raw.len() - 1].contains('\\') {
                false => Cow::Borrowed(&raw[1..raw.len() - 1]),
                true => Cow::Owned(serde_json::from_str(raw).map_err(|e| e.to_string())?),
            };
            if text.len() > LONGEST_FIELD {
                return Err(format!("a field has more than {LONGEST_FIELD} bytes"));
            }
            Ok(Some(text))
        }
        Some(b'n') => Ok(None),
        Some(b'-' | b'0'..=b'9') if raw.len() <= LONGEST_FIELD => Ok(Some(Cow::Borrowed(raw))),
        _ => Err("a field is neither a text nor a number".into()),
    }
}

/// Takes a row's wanted fields out of its JSON, without building the rest.
struct Fields<'a, 'w> {
    wanted: &'w [&'a str],
}

impl<'de> Visitor<'de> for Fields<'_, '_> {
    type Value = Vec<Option<&'de str>>;

    fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a row")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut found = vec![None; self.wanted.len()];
        while let Some(key) = map.next_key::<Cow<'de, str>>()? {
            let mut raw = None;
            for (slot, _) in found
                .iter_mut()
                .zip(self.wanted)
                .filter(|(_, w)| **w == key)
            {
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

impl Rows {
    /// Reads where a row stands.
    pub(crate) fn read(&self, row: &str) -> Result<Known, String> {
        let mut wanted: Vec<&str> = self.order.iter().map(|o| o.field.as_str()).collect();
        wanted.push(&self.identity);
        wanted.extend(self.distinct.as_deref());
        let mut json = serde_json::Deserializer::from_str(row);
        let found = json
            .deserialize_map(Fields { wanted: &wanted })
            .map_err(|e| format!("a row: {e}"))?;
        let mut place = Vec::with_capacity(64);
        // Of an order field the value counts, not how it is written.
        let mut distinct = None;
        for (order, raw) in self.order.iter().zip(&found) {
            let value = raw.map(scalar).transpose()?.flatten();
            let is_text = raw.is_some_and(|r| r.starts_with('"'));
            let begin = place.len();
            place.push(if value.is_some() { HERE } else { ABSENT });
            match (value, order.kind) {
                (None, _) => {}
                (Some(text), Kind::Text) if is_text => {
                    put_text(&mut place, &text, order.descending);
                }
                (Some(_), Kind::Text) => return Err(format!("{} is not a text", order.field)),
                (Some(text), Kind::Decimal(scale)) => {
                    put_number(&mut place, decimal::parse(&text, scale)?, order.descending);
                }
            }
            if place[begin] == HERE && self.distinct.as_ref() == Some(&order.field) {
                distinct = Some(place[begin..].into());
            }
        }
        let of = |at: usize| {
            found
                .get(at)
                .copied()
                .flatten()
                .map(scalar)
                .transpose()
                .map(Option::flatten)
        };
        let identity =
            of(self.order.len())?.ok_or_else(|| format!("a row lacks {}", self.identity))?;
        put_text(&mut place, &identity, false);
        if distinct.is_none()
            && !self
                .order
                .iter()
                .any(|o| self.distinct.as_ref() == Some(&o.field))
        {
            distinct = of(self.order.len() + 1)?.map(|value| value.as_bytes().into());
        }
        Ok(Known {
            place: Place(place.into()),
            distinct,
        })
    }

    /// A place's values, for a slice to go on from: one a field of the order, then the identity.
    pub(crate) fn values(&self, place: &Place) -> Option<Vec<Value>> {
        let mut rest = &place.0[..];
        let mut values = Vec::with_capacity(self.order.len() + 1);
        for order in &self.order {
            let (here, after) = rest.split_first()?;
            rest = after;
            values.push(match (*here, order.kind) {
                (ABSENT, _) => Value::Null,
                (HERE, Kind::Text) => Value::String(take_text(&mut rest, order.descending)?),
                (HERE, Kind::Decimal(scale)) => {
                    let (bits, after) = rest.split_first_chunk::<16>()?;
                    rest = after;
                    let bits = u128::from_be_bytes(*bits);
                    let bits = if order.descending { !bits } else { bits };
                    Value::String(decimal::format((bits ^ (1 << 127)) as i128, scale))
                }
                _ => return None,
            });
        }
        values.push(Value::String(take_text(&mut rest, false)?));
        rest.is_empty().then_some(values)
    }

    /// What of a place the first field of the order takes, where it is there: rows alike in it have that much
    /// in common.
    pub(crate) fn first_field<'p>(&self, place: &'p Place) -> Option<&'p [u8]> {
        let order = self.order.first()?;
        let mut rest = &place.0[1..];
        match (place.0[0], order.kind) {
            (ABSENT, _) => return None,
            (_, Kind::Text) => drop(take_text(&mut rest, order.descending)?),
            (_, Kind::Decimal(_)) => rest = rest.get(16..)?,
        }
        Some(&place.0[..place.0.len() - rest.len()])
    }
}

fn take_text(from: &mut &[u8], turned: bool) -> Option<String> {
    let turn = |b: u8| if turned { !b } else { b };
    let (mut text, mut at) = (Vec::new(), 0);
    loop {
        let b = turn(*from.get(at)?);
        at += 1;
        if b == 0 {
            at += 1;
            if turn(*from.get(at - 1)?) == 0 {
                break;
            }
        }
        text.push(b);
    }
    *from = &from[at..];
    String::from_utf8(text).ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Order;

    fn rows(kind: Kind, descending: bool) -> Rows {
        let order = vec![Order {
            field: "f".into(),
            kind,
            descending,
        }];
        Rows {
            order,
            identity: "id".into(),
            distinct: None,
            page: 10,
            most: 10,
            pages: true,
        }
    }

    #[test]
    fn places_sort_as_their_values_and_give_them_back() {
        let texts = [
            "",
            "\u{0}",
            "\u{0}\u{0}",
            "\u{0}a",
            "a",
            "a\u{0}",
            "aa",
            "b",
            "é",
            "\u{10ffff}",
        ];
        let numbers = [
            "-100",
            "-2.5",
            "-0.01",
            "0",
            "0.01",
            "2",
            "10",
            "99999999999999999999",
        ];
        for (kind, values) in [(Kind::Text, &texts[..]), (Kind::Decimal(2), &numbers[..])] {
            for descending in [false, true] {
                let rows = rows(kind, descending);
                let place = |v: &str| {
                    rows.read(
                        &serde_json::json!({"id": "x", "f": v, "more": [1, {"f": 2}]}).to_string(),
                    )
                    .unwrap()
                    .place
                };
                let mut places: Vec<_> = values.iter().map(|v| place(v)).collect();
                if descending {
                    places.reverse();
                }
                assert!(
                    places.is_sorted() && places.windows(2).all(|w| w[0] != w[1]),
                    "{kind:?}"
                );
                let absent = rows.read(r#"{"id":"x"}"#).unwrap().place;
                assert!(places.iter().all(|p| *p < absent), "absent comes last");
                assert_eq!(rows.values(&absent), Some(vec![Value::Null, "x".into()]));
                for value in values {
                    let back = rows.values(&place(value)).unwrap()[0]
                        .as_str()
                        .unwrap()
                        .to_owned();
                    match kind {
                        Kind::Text => assert_eq!(back, **value),
                        Kind::Decimal(scale) => {
                            assert_eq!(decimal::parse(&back, scale), decimal::parse(value, scale));
                        }
                    }
                }
            }
        }
    }

    #[test]
    fn rows_without_their_fields_are_not_read() {
        let rows = rows(Kind::Text, false);
        for bad in [
            r#"{"f":"a"}"#,
            r#"{"id":"a","f":3}"#,
            r#"{"id":"a","id":"b"}"#,
            r#"{"id":["a"]}"#,
            "[]",
        ] {
            assert!(rows.read(bad).is_err(), "{bad}");
        }
        let long = format!(r#"{{"id":"{}"}}"#, "x".repeat(300));
        assert!(rows.read(&long).is_err());
    }
}

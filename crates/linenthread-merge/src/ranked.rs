//! Rows of many slices, each in order, merged into the first so many: memory is the page's, not the data's.
//!
//! No more than a page of rows is ever held. A row worse than all of a full page is dropped, and so is the
//! rest of its slice's value, unread: neither can be on this page. What a slice has beyond the last row that
//! is known of it (its *frontier*) is unknown while it says that there is more, so rows ranked after that
//! frontier can't be shown yet.

use std::collections::{BTreeMap, HashMap};

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;

use crate::place::{Known, Place};
use crate::plan::Rows;

/// A row may have so many bytes: one that fills an answer by itself could never be passed on.
const LONGEST_ROW: usize = 16 * 1024;

struct Kept {
    slice: usize,
    text: Box<str>,
    distinct: Option<Box<[u8]>>,
}

#[derive(Clone, Default)]
struct Reach {
    /// Where this lookup begins to read the slice; `None` for its first row.
    from: Option<Place>,
    /// The last row that is known of it, shown or not.
    frontier: Option<Place>,
    /// It says that rows follow that one.
    more: bool,
    /// All that follows is worse than a full page.
    trimmed: bool,
    is_in: bool,
}

/// The rows of one value, read and found in order, not yet taken.
pub struct Batch {
    rows: Vec<(Known, Box<str>)>,
    more: bool,
    trimmed: bool,
}

/// A page under way.
pub struct Ranked<'p> {
    plan: &'p Rows,
    limit: usize,
    rows: BTreeMap<Place, Kept>,
    /// The place held for each value of the distinct field.
    by_value: HashMap<Box<[u8]>, Place>,
    slices: Vec<Reach>,
}

/// A page as far as it can be shown.
pub struct Shown<'r> {
    pub rows: Vec<&'r str>,
    /// Slices that hold the page back: what follows their last row is not known.
    pub behind: Vec<usize>,
    /// It was cut off for its length.
    pub full_of_bytes: bool,
    /// Where each slice is to be read on from.
    pub places: Vec<Option<Place>>,
    /// There are or may be rows after these in the slices that are in.
    pub goes_on: bool,
}

impl<'p> Ranked<'p> {
    /// A page of at most so many rows, with each slice read from a place on.
    pub fn new(plan: &'p Rows, limit: usize, from: Vec<Option<Place>>) -> Self {
        let reach = |from: Option<Place>| Reach {
            frontier: from.clone(),
            from,
            ..Reach::default()
        };
        Ranked {
            plan,
            limit: limit.max(1),
            rows: BTreeMap::new(),
            by_value: HashMap::new(),
            slices: from.into_iter().map(reach).collect(),
        }
    }

    /// Where a slice is to be read on from: the last row known of it.
    pub fn frontier(&self, slice: usize) -> Option<&Place> {
        self.slices[slice].frontier.as_ref()
    }

    /// Rows held, never more than the page has.
    pub fn held(&self) -> usize {
        self.rows.len()
    }

    fn is_beyond(&self, place: &Place) -> bool {
        self.rows.len() >= self.limit
            && self
                .rows
                .last_key_value()
                .is_some_and(|(last, _)| place > last)
    }

    /// Reads a slice's value `{"rows":[...],"more":...}`; nothing of it counts before [`Ranked::take`].
    ///
    /// # Errors
    ///
    /// What is wrong with it: its form, a row without its fields, or rows that are not in order or lie before
    /// the place that was asked for.
    pub fn read(&self, slice: usize, value: &str) -> Result<Batch, String> {
        let mut json = serde_json::Deserializer::from_str(value);
        let reader = Reader {
            ranked: self,
            last: self.frontier(slice).cloned(),
        };
        let batch = json.deserialize_map(reader).map_err(|e| e.to_string())?;
        json.end().map_err(|e| e.to_string())?;
        match batch.more && batch.rows.is_empty() && !batch.trimmed {
            true => Err("it has more rows and gives none".into()),
            false => Ok(batch),
        }
    }

    /// Takes what was read of a slice's value.
    pub fn take(&mut self, slice: usize, batch: Batch) {
        for (Known { place, distinct }, text) in batch.rows {
            self.slices[slice].frontier = Some(place.clone());
            if self.rows.contains_key(&place) || self.is_seen(slice, &place) {
                continue;
            }
            if self.is_beyond(&place) {
                self.slices[slice].trimmed = true;
                break;
            }
            if let Some(value) = &distinct {
                match self.by_value.get(value) {
                    Some(better) if *better < place => continue,
                    worse => worse.cloned().map(|worse| self.rows.remove(&worse)),
                };
                self.by_value.insert(value.clone(), place.clone());
            }
            self.rows.insert(
                place,
                Kept {
                    slice,
                    text,
                    distinct,
                },
            );
            if self.rows.len() > self.limit
                && let Some((_, last)) = self.rows.pop_last()
            {
                self.slices[last.slice].trimmed = true;
                last.distinct.map(|value| self.by_value.remove(&value));
            }
        }
        let reach = &mut self.slices[slice];
        (reach.is_in, reach.more) = (true, batch.more);
        reach.trimmed |= batch.trimmed;
    }

    /// Its value of the distinct field was shown on the page before, as the last one there.
    fn is_seen(&self, slice: usize, place: &Place) -> bool {
        let from = self.slices[slice]
            .from
            .as_ref()
            .filter(|_| self.plan.distinct.is_some());
        let value = from.and_then(|from| self.plan.first_field(from));
        value.is_some_and(|value| self.plan.first_field(place) == Some(value))
    }

    /// Slices that hold the page back, as long as it is not full before their frontier.
    pub fn behind(&self) -> Vec<usize> {
        let unknown = |s: &Reach| s.is_in && s.more && !s.trimmed;
        let holds_back = |s: &Reach| {
            let frontier = s.frontier.as_ref();
            unknown(s) && frontier.is_none_or(|f| self.rows.range(..=f).count() < self.limit)
        };
        (0..self.slices.len())
            .filter(|&s| holds_back(&self.slices[s]))
            .collect()
    }

    /// The page as far as it is known, within so many bytes.
    pub fn shown(&self, bytes: usize) -> Shown<'_> {
        let behind = self.behind();
        let bound = behind.iter().filter_map(|&s| self.frontier(s)).min();
        let (mut rows, mut left, mut last, mut full) = (Vec::new(), bytes, None, false);
        for (place, kept) in self
            .rows
            .iter()
            .take_while(|(p, _)| bound.is_none_or(|b| *p <= b))
        {
            full = kept.text.len() + 1 > left && !rows.is_empty();
            if full {
                break;
            }
            left = left.saturating_sub(kept.text.len() + 1);
            rows.push(&*kept.text);
            last = Some(place);
        }
        let on = |s: &Reach| {
            if s.is_in {
                s.from.as_ref().max(last).cloned()
            } else {
                s.from.clone()
            }
        };
        let goes_on = rows.len() < self.rows.len()
            || self.slices.iter().any(|s| s.is_in && (s.more || s.trimmed));
        // A page that is full of bytes is not held back by anybody.
        let behind = if full { Vec::new() } else { behind };
        Shown {
            behind,
            full_of_bytes: full,
            places: self.slices.iter().map(on).collect(),
            goes_on,
            rows,
        }
    }
}

/// Reads a value's rows in order, and stops looking at them where they can't be on the page any more.
struct Reader<'r, 'p> {
    ranked: &'r Ranked<'p>,
    last: Option<Place>,
}

impl<'de> Visitor<'de> for Reader<'_, '_> {
    type Value = Batch;

    fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("an object with rows and more")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Batch, A::Error> {
        let (mut rows, mut more) = (None, None);
        let last = self.last;
        while let Some(key) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            match &*key {
                "rows" if rows.is_none() => {
                    rows = Some(map.next_value_seed(RowsOf {
                        ranked: self.ranked,
                        last: last.clone(),
                    })?);
                }
                "more" if more.is_none() => more = Some(map.next_value::<bool>()?),
                "rows" | "more" => return Err(Error::custom(format!("{key} stands twice"))),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        let (rows, trimmed) = rows.ok_or_else(|| Error::missing_field("rows"))?;
        Ok(Batch {
            rows,
            more: more.ok_or_else(|| Error::missing_field("more"))?,
            trimmed,
        })
    }
}

struct RowsOf<'r, 'p> {
    ranked: &'r Ranked<'p>,
    last: Option<Place>,
}

type Read = (Vec<(Known, Box<str>)>, bool);

impl<'de> DeserializeSeed<'de> for RowsOf<'_, '_> {
    type Value = Read;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Read, D::Error> {
        from.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for RowsOf<'_, '_> {
    type Value = Read;

    fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a list of rows")
    }

    fn visit_seq<A: SeqAccess<'de>>(mut self, mut list: A) -> Result<Read, A::Error> {
        let mut rows = Vec::new();
        while let Some(row) = list.next_element::<&RawValue>()? {
            let known = self.ranked.plan.read(row.get()).map_err(Error::custom)?;
            if row.get().len() > LONGEST_ROW {
                return Err(Error::custom(format!(
                    "a row has more than {LONGEST_ROW} bytes"
                )));
            }
            if self.last.as_ref().is_some_and(|last| known.place <= *last) {
                return Err(Error::custom(
                    "its rows are not in order, or before what was asked for",
                ));
            }
            if rows.len() >= self.ranked.limit || self.ranked.is_beyond(&known.place) {
                while list.next_element::<IgnoredAny>()?.is_some() {}
                return Ok((rows, true));
            }
            self.last = Some(known.place.clone());
            rows.push((known, row.get().into()));
        }
        Ok((rows, false))
    }
}

//! One lookup's answers on their way into one: what each slice is asked, what came, what is told.
//!
//! Per slice there is a *round*, 0 for the first question; asking it on begins the next. Edges:
//!
//! | slice | what comes | then |
//! | --- | --- | --- |
//! | asked, round r | a value of round r that can be read | in |
//! | asked, round r | one that can't | as before: it failed, and is named if nothing better comes |
//! | in | a second value of the round it came from | counted, compared and dropped: the first one stands |
//! | in | behind, all others in | asked, round r + 1, and still in with what it has |
//! | any | a value of an earlier round | dropped, compared if it is the last one taken |

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash as _, Hasher};

use serde_json::value::RawValue;
use serde_json::{Map, Value, json};

use crate::MOST_SLICES;
use crate::mark::{self, Belongs, Marks};
use crate::plan::{Form, Plan};
use crate::ranked::Ranked;
use crate::totals::{self, Grouped, Totals};

/// Bytes of rows or groups in one answer: with the mark and the slices' names it stays under 64 KiB.
const MOST_BYTES: usize = 40 * 1024;

/// What a client asked, as far as merging goes.
#[derive(Clone, Debug)]
pub struct Asked<'a> {
    pub customer: Option<&'a str>,
    pub key: Option<&'a str>,
    /// The client's text for every slice.
    pub query: &'a str,
    /// Shards with their weights, in the client's order.
    pub slices: &'a [(usize, f64)],
    /// How many shards there are in all.
    pub shards: usize,
}

/// Which page is wanted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PageWish {
    pub rows: Option<usize>,
    pub mark: Option<String>,
}

/// Why a slice is missing from an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Missing {
    /// It has not answered.
    #[default]
    Unanswered,
    /// It failed, or could not be asked.
    Failed,
    /// It answered what can't be read as its index's form.
    Unreadable,
}

impl Missing {
    fn word(self) -> &'static str {
        match self {
            Missing::Unanswered => "unanswered",
            Missing::Failed => "failed",
            Missing::Unreadable => "unreadable",
        }
    }
}

/// What became of a slice's value.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// It counts.
    In,
    /// The slice's answer is in already, and that one counts. Whether this one says something else.
    Again { differs: bool },
    /// It can't be read: the part has run, and has failed.
    Unreadable(String),
}

struct Slice {
    shard: usize,
    weight: f64,
    round: u32,
    /// The round and the hash of the value last taken.
    taken: Option<(u32, u64)>,
    missing: Missing,
}

enum Gathered<'p> {
    Totals(Totals),
    Groups(Grouped),
    Rows(Ranked<'p>),
}

/// One lookup's answers under way. Memory: a page's rows or the groups that may be held, and a record a slice.
pub struct Merge<'p> {
    plan: &'p Plan,
    query: String,
    belongs: Belongs,
    slices: Vec<Slice>,
    gathered: Gathered<'p>,
    limit: usize,
}

fn hash_of(value: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The slices' numbers in the order of their shards, in which a mark has them.
fn by_shard(slices: &[(usize, f64)]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..slices.len()).collect();
    order.sort_by_key(|&s| slices[s].0);
    order
}

impl<'p> Merge<'p> {
    /// Begins a lookup's merge. `now` is in seconds since 1970, for the life of marks.
    ///
    /// # Errors
    ///
    /// A wish that the plan can't meet, or a page mark that is not good for this lookup.
    pub fn begin(
        plan: &'p Plan,
        asked: &Asked,
        wish: &PageWish,
        marks: Option<&Marks>,
        now: u64,
    ) -> Result<Self, String> {
        if asked.slices.len() > MOST_SLICES {
            return Err(format!("more than {MOST_SLICES} shards are asked"));
        }
        let order = by_shard(asked.slices);
        let layout: Vec<u8> = order
            .iter()
            .flat_map(|&s| (asked.slices[s].0 as u64).to_be_bytes())
            .collect();
        let text = |t: Option<&str>| t.map_or_else(Vec::new, |t| [b"+", t.as_bytes()].concat());
        let belongs = Belongs {
            lookup: mark::hash(&[
                plan.index.as_bytes(),
                plan.order_words().as_bytes(),
                &text(asked.customer),
                &text(asked.key),
                asked.query.as_bytes(),
            ]),
            layout: mark::hash(&[&(asked.shards as u64).to_be_bytes(), &layout]),
        };
        let (gathered, limit) = match &plan.form {
            Form::Rows(rows) => {
                let limit = wish.rows.unwrap_or(rows.page);
                if limit == 0 || limit > rows.most {
                    return Err(format!(
                        "a page of {} has from 1 to {} rows",
                        plan.index, rows.most
                    ));
                }
                let mut places = vec![None; order.len()];
                match (&wish.mark, marks.filter(|_| rows.pages)) {
                    (None, _) => {}
                    (Some(_), None) => return Err(format!("{} has no further pages", plan.index)),
                    (Some(mark), Some(marks)) => {
                        let read = marks.read(mark, &belongs, order.len(), now)?;
                        order
                            .iter()
                            .zip(read)
                            .for_each(|(&s, place)| places[s] = place);
                    }
                }
                if places
                    .iter()
                    .flatten()
                    .any(|place| rows.values(place).is_none())
                {
                    return Err("the page mark has a place that is none".into());
                }
                (Gathered::Rows(Ranked::new(rows, limit, places)), limit)
            }
            _ if *wish != PageWish::default() => {
                return Err(format!("{} has no pages", plan.index));
            }
            Form::Totals(measures) => (Gathered::Totals(totals::none(measures)), 0),
            Form::Groups(groups) => (Gathered::Groups(Grouped::new(groups)), 0),
        };
        let slice = |&(shard, weight): &(usize, f64)| Slice {
            shard,
            weight,
            round: 0,
            taken: None,
            missing: Missing::default(),
        };
        Ok(Merge {
            plan,
            query: asked.query.to_owned(),
            belongs,
            slices: asked.slices.iter().map(slice).collect(),
            gathered,
            limit,
        })
    }

    /// How many times a slice has been asked on.
    pub fn round(&self, slice: usize) -> u32 {
        self.slices[slice].round
    }

    /// What a slice is to be asked now: the client's text, for rows within
    /// `{"query":TEXT,"rows":N,"after":[VALUES,IDENTITY]}`, where `after` is null for the first row.
    pub fn text(&self, slice: usize) -> String {
        match (&self.gathered, &self.plan.form) {
            (Gathered::Rows(page), Form::Rows(rows)) => {
                let after = page.frontier(slice).and_then(|place| rows.values(place));
                json!({"query": self.query, "rows": self.limit, "after": after}).to_string()
            }
            _ => self.query.clone(),
        }
    }

    /// Takes a slice's value, an answer to what it was asked in a round.
    pub fn take(&mut self, slice: usize, round: u32, value: &str) -> Taken {
        let known = &self.slices[slice];
        if let Some((last, hash)) = known.taken
            && round <= last
        {
            return Taken::Again {
                differs: round == last && hash != hash_of(value),
            };
        }
        if round != known.round {
            return Taken::Again { differs: false };
        }
        let read = match (&mut self.gathered, &self.plan.form) {
            (Gathered::Totals(all), Form::Totals(measures)) => {
                totals::read(value, measures).map(|totals| totals::add(all, &totals))
            }
            (Gathered::Groups(all), Form::Groups(plan)) => {
                Grouped::read(value, plan).map(|groups| all.take(groups, plan))
            }
            (Gathered::Rows(page), _) => {
                page.read(slice, value).map(|batch| page.take(slice, batch))
            }
            _ => Err("no such form".into()),
        };
        match read {
            Ok(()) => {
                self.slices[slice].taken = Some((round, hash_of(value)));
                Taken::In
            }
            Err(why) => {
                self.slices[slice].missing = Missing::Unreadable;
                Taken::Unreadable(why)
            }
        }
    }

    /// A slice's part failed in another way.
    pub fn fail(&mut self, slice: usize) {
        self.slices[slice].missing = Missing::Failed;
    }

    fn is_in(&self, slice: &Slice) -> bool {
        slice.taken.is_some()
    }

    /// Slices that must be asked once more before the page can be whole, each named once a round. There are
    /// none before all are in: what is still to come may fill the page.
    pub fn onward(&mut self) -> Vec<usize> {
        let Gathered::Rows(page) = &self.gathered else {
            return Vec::new();
        };
        if !self
            .slices
            .iter()
            .all(|s| s.taken.is_some_and(|(round, _)| round == s.round))
        {
            return Vec::new();
        }
        let behind = page.behind();
        behind.iter().for_each(|&s| self.slices[s].round += 1);
        behind
    }

    /// The slices whose answer is in.
    pub fn in_count(&self) -> usize {
        self.slices.iter().filter(|s| self.is_in(s)).count()
    }

    /// Rows held at this moment.
    pub fn held(&self) -> usize {
        match &self.gathered {
            Gathered::Rows(page) => page.held(),
            _ => 0,
        }
    }

    /// The answer from what is in, as JSON. `whole` is whether the answer may be marked so; it is not where a
    /// slice is missing. `now` is in seconds since 1970.
    pub fn answer(&self, whole: bool, marks: Option<&Marks>, now: u64) -> Vec<u8> {
        let lacks = self.slices.iter().any(|s| !self.is_in(s));
        let mut body = Map::new();
        body.insert("finished".into(), json!(whole && !lacks));
        body.insert("slices".into(), self.tell_slices());
        match (&self.gathered, &self.plan.form) {
            (Gathered::Totals(all), Form::Totals(measures)) => {
                body.insert("totals".into(), totals::tell(all, measures, lacks));
            }
            (Gathered::Groups(all), Form::Groups(plan)) => {
                body.extend(all.tell(plan, lacks, MOST_BYTES));
            }
            (Gathered::Rows(page), Form::Rows(rows)) => {
                let marks = marks.filter(|_| rows.pages);
                return self.tell_rows(body, page, lacks, marks, now);
            }
            _ => {}
        }
        serde_json::to_vec(&body).unwrap_or_default()
    }

    fn tell_slices(&self) -> Value {
        let shards = |of: &dyn Fn(&Slice) -> bool| -> Vec<usize> {
            let mut shards: Vec<usize> = self
                .slices
                .iter()
                .filter(|s| of(s))
                .map(|s| s.shard)
                .collect();
            shards.sort_unstable();
            shards
        };
        let weigh = |of: &dyn Fn(&Slice) -> bool| -> f64 {
            self.slices.iter().filter(|s| of(s)).map(|s| s.weight).sum()
        };
        let (is_in, all) = (weigh(&|s| self.is_in(s)), weigh(&|_| true));
        let mut missing = Map::new();
        for why in [Missing::Unanswered, Missing::Failed, Missing::Unreadable] {
            let named = shards(&|s| !self.is_in(s) && s.missing == why);
            if !named.is_empty() {
                missing.insert(why.word().into(), json!(named));
            }
        }
        // Rounded down, so that no share is told that is not in.
        let share = if missing.is_empty() {
            1.0
        } else {
            (is_in / all * 1e4).floor() / 1e4
        };
        json!({"in": shards(&|s| self.is_in(s)), "missing": missing, "share": share})
    }

    fn tell_rows(
        &self,
        mut body: Map<String, Value>,
        page: &Ranked,
        lacks: bool,
        marks: Option<&Marks>,
        now: u64,
    ) -> Vec<u8> {
        let shown = page.shown(MOST_BYTES);
        let mut cut = Map::new();
        if !shown.behind.is_empty() && shown.rows.len() < self.limit {
            let behind: Vec<usize> = shown.behind.iter().map(|&s| self.slices[s].shard).collect();
            cut.insert("behind".into(), json!(behind));
        }
        if shown.full_of_bytes {
            cut.insert("length".into(), json!(MOST_BYTES));
        }
        let goes_on = lacks || shown.goes_on;
        let mut next = Value::Null;
        if let (true, Some(marks)) = (goes_on, marks) {
            let slices: Vec<_> = self.slices.iter().map(|s| (s.shard, s.weight)).collect();
            let places: Vec<_> = by_shard(&slices)
                .into_iter()
                .map(|s| shown.places[s].clone())
                .collect();
            match marks.make(&self.belongs, &places, now) {
                Some(mark) => next = mark.into(),
                None => drop(cut.insert("mark".into(), json!("too long"))),
            }
        }
        body.insert("goes_on".into(), json!(goes_on));
        body.insert("next".into(), next);
        body.insert(
            "cut".into(),
            if cut.is_empty() {
                Value::Null
            } else {
                cut.into()
            },
        );
        let rows = shown
            .rows
            .iter()
            .filter_map(|row| serde_json::from_str(row).ok())
            .collect();
        serde_json::to_vec(&Page { body, rows }).unwrap_or_default()
    }
}

/// A ranked answer with the rows as the shards wrote them.
#[derive(serde::Serialize)]
struct Page<'r> {
    #[serde(flatten)]
    body: Map<String, Value>,
    rows: Vec<&'r RawValue>,
}

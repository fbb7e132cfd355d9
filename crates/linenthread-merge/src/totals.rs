//! Totals of many slices, and totals by group, exact and with a statement of how each figure may be off.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};

use crate::decimal;
use crate::plan::{Figure, First, Groups, Measure};

/// A group's name may have so many bytes.
const LONGEST_NAME: usize = 64;

/// What is known of one measure's values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Total {
    count: u64,
    sum: i128,
    /// The least and the most, where there is any value.
    span: Option<(i128, i128)>,
    /// The sum left the range of numbers and is not told.
    overflown: bool,
}

impl Total {
    fn add(&mut self, other: &Total) {
        self.count = self.count.saturating_add(other.count);
        match self.sum.checked_add(other.sum) {
            Some(sum) => self.sum = sum,
            None => self.overflown = true,
        }
        self.overflown |= other.overflown;
        self.span = match (self.span, other.span) {
            (Some((a, b)), Some((c, d))) => Some((a.min(c), b.max(d))),
            (one, other) => one.or(other),
        };
    }

    /// One slice's word on a measure, held to what can be true.
    fn read(said: &Said, measure: &Measure) -> Result<Total, String> {
        let number = |raw: &RawValue| {
            let text: Cow<str> = match raw.get().starts_with('"') {
                true => Cow::Owned(serde_json::from_str(raw.get()).map_err(|e| e.to_string())?),
                false => Cow::Borrowed(raw.get()),
            };
            decimal::parse(&text, measure.scale)
        };
        let there =
            |raw: Option<&RawValue>| raw.filter(|r| r.get() != "null").map(number).transpose();
        let (sum, span) = (number(said.sum)?, there(said.least)?.zip(there(said.most)?));
        let is_true = match span {
            None => said.count == 0 && sum == 0,
            Some((least, most)) => {
                let times = |n: i128| n.checked_mul(i128::from(said.count));
                said.count > 0
                    && least <= most
                    && times(least).is_some_and(|low| low <= sum)
                    && times(most).is_some_and(|high| sum <= high)
            }
        };
        if !is_true {
            return Err(format!(
                "the totals of {} cannot be true together",
                measure.field
            ));
        }
        if measure.never_negative && span.is_some_and(|(least, _)| least < 0) {
            return Err(format!(
                "{} has a value below 0, and is said never to have one",
                measure.field
            ));
        }
        Ok(Total {
            count: said.count,
            sum,
            span,
            overflown: false,
        })
    }

    /// The figures asked for, each with how it may be off where parts are missing.
    fn tell(&self, measure: &Measure, lacks: bool) -> Value {
        let whole = |units| Value::String(decimal::format(units, measure.scale));
        let sum = (!self.overflown).then_some(self.sum);
        let figure = |figure: &Figure| {
            let (name, value, is) = match figure {
                Figure::Sum if measure.never_negative => ("sum", sum.map(whole), "at-least"),
                Figure::Sum => ("sum", sum.map(whole), "either-way"),
                Figure::Count => ("count", Some(json!(self.count)), "at-least"),
                Figure::Least => ("least", self.span.map(|(least, _)| whole(least)), "at-most"),
                Figure::Most => ("most", self.span.map(|(_, most)| whole(most)), "at-least"),
                Figure::Mean => {
                    let mean = sum.and_then(|sum| decimal::mean(sum, self.count));
                    ("mean", mean.map(whole), "either-way")
                }
            };
            let overflown = self.overflown && matches!(figure, Figure::Sum | Figure::Mean);
            // No value at all bounds nothing.
            let unbounded = value.is_none() && !overflown;
            let is = match (lacks, unbounded) {
                _ if overflown => "overflown",
                (false, _) => "exact",
                (true, true) => "either-way",
                (true, false) => is,
            };
            (name.to_owned(), json!({"value": value, "is": is}))
        };
        Value::Object(measure.figures.iter().map(figure).collect())
    }
}

/// One total a measure, in the plan's order.
pub(crate) type Totals = Vec<Total>;

#[derive(Deserialize)]
struct Said<'a> {
    count: u64,
    #[serde(borrow)]
    sum: &'a RawValue,
    #[serde(borrow)]
    least: Option<&'a RawValue>,
    #[serde(borrow)]
    most: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct SaidTotals<'a> {
    #[serde(borrow)]
    totals: HashMap<Cow<'a, str>, Said<'a>>,
}

#[derive(Deserialize)]
struct SaidGroup<'a> {
    #[serde(borrow)]
    of: Cow<'a, str>,
    #[serde(borrow)]
    totals: HashMap<Cow<'a, str>, Said<'a>>,
}

#[derive(Deserialize)]
struct SaidGroups<'a> {
    #[serde(borrow)]
    groups: Vec<SaidGroup<'a>>,
    #[serde(borrow)]
    rest: Option<SaidTotals<'a>>,
}

fn of_measures(said: &HashMap<Cow<str>, Said>, measures: &[Measure]) -> Result<Totals, String> {
    let one = |m: &Measure| {
        let said = said
            .get(m.field.as_str())
            .ok_or_else(|| format!("the totals of {} are missing", m.field))?;
        Total::read(said, m)
    };
    measures.iter().map(one).collect()
}

/// Reads a slice's value `{"totals":{FIELD:{"count":..,"sum":..,"least":..,"most":..}}}`.
pub(crate) fn read(value: &str, measures: &[Measure]) -> Result<Totals, String> {
    let said: SaidTotals = serde_json::from_str(value).map_err(|e| e.to_string())?;
    of_measures(&said.totals, measures)
}

pub(crate) fn add(to: &mut Totals, other: &[Total]) {
    to.iter_mut().zip(other).for_each(|(a, b)| a.add(b));
}

pub(crate) fn none(measures: &[Measure]) -> Totals {
    vec![Total::default(); measures.len()]
}

pub(crate) fn tell(totals: &[Total], measures: &[Measure], lacks: bool) -> Value {
    let all: Map<String, Value> = measures
        .iter()
        .zip(totals)
        .map(|(m, t)| (m.field.clone(), t.tell(m, lacks)))
        .collect();
    Value::Object(all)
}

/// A slice's groups as it told them.
pub(crate) struct SliceGroups {
    groups: Vec<(Box<str>, Totals)>,
    rest: Option<Totals>,
}

/// Groups of all slices, so many by themselves and the rest as one.
pub(crate) struct Grouped {
    by_name: BTreeMap<Box<str>, Totals>,
    rest: Totals,
    /// Some groups went into the rest, here or at a slice.
    has_rest: bool,
    /// A slice told a rest of its own: any group may be in it.
    slice_rest: bool,
    /// More groups than can be held came in, where they are ranked by size.
    overfull: bool,
}

impl Grouped {
    pub(crate) fn new(plan: &Groups) -> Self {
        Grouped {
            by_name: BTreeMap::new(),
            rest: none(&plan.measures),
            has_rest: false,
            slice_rest: false,
            overfull: false,
        }
    }

    /// Reads a slice's value `{"groups":[{"of":NAME,"totals":{...}},...],"rest":{"totals":{...}}}`, its groups
    /// by rising name. Nothing of it counts before [`Grouped::take`].
    pub(crate) fn read(value: &str, plan: &Groups) -> Result<SliceGroups, String> {
        let said: SaidGroups = serde_json::from_str(value).map_err(|e| e.to_string())?;
        if said.groups.windows(2).any(|pair| pair[0].of >= pair[1].of) {
            return Err("its groups are not in order, or one stands twice".into());
        }
        if said.groups.iter().any(|g| g.of.len() > LONGEST_NAME) {
            return Err(format!("a group's name has more than {LONGEST_NAME} bytes"));
        }
        let group = |g: &SaidGroup| {
            Ok((
                g.of.as_ref().into(),
                of_measures(&g.totals, &plan.measures)?,
            ))
        };
        let groups = said
            .groups
            .iter()
            .map(group)
            .collect::<Result<_, String>>()?;
        let rest = said
            .rest
            .map(|rest| of_measures(&rest.totals, &plan.measures))
            .transpose()?;
        Ok(SliceGroups { groups, rest })
    }

    /// No more than what may be told, or held where size decides, is kept by name: whichever names come last
    /// go into the rest. The result is the same in whatever order slices come.
    pub(crate) fn take(&mut self, slice: SliceGroups, plan: &Groups) {
        let most = if plan.first == First::Name {
            plan.most
        } else {
            plan.held
        };
        for (name, totals) in slice.groups {
            let full = self.by_name.len() >= most;
            let is_last = full
                && self
                    .by_name
                    .last_key_value()
                    .is_none_or(|(last, _)| name > *last);
            if let Some(known) = self.by_name.get_mut(&name) {
                add(known, &totals);
            } else if is_last {
                self.put_away(&totals, plan);
            } else {
                self.by_name.insert(name, totals);
                if self.by_name.len() > most
                    && let Some((_, last)) = self.by_name.pop_last()
                {
                    self.put_away(&last, plan);
                }
            }
        }
        if let Some(rest) = slice.rest {
            add(&mut self.rest, &rest);
            (self.has_rest, self.slice_rest) = (true, true);
        }
    }

    fn put_away(&mut self, totals: &[Total], plan: &Groups) {
        add(&mut self.rest, totals);
        self.has_rest = true;
        self.overfull |= plan.first == First::Largest;
    }

    /// The groups told by themselves, within so many bytes, and the rest.
    pub(crate) fn tell(&self, plan: &Groups, lacks: bool, bytes: usize) -> Map<String, Value> {
        let mut groups: Vec<_> = self.by_name.iter().collect();
        if plan.first == First::Largest {
            // The sort keeps rising names among those of one size.
            groups
                .sort_by_key(|(_, totals)| std::cmp::Reverse(totals.first().map_or(0, |t| t.sum)));
        }
        let (mut told, mut left) = (Vec::new(), bytes);
        let (mut rest, mut has_rest) = (self.rest.clone(), self.has_rest);
        for (name, totals) in groups {
            let group = json!({"of": name, "totals": tell(totals, &plan.measures, lacks || self.slice_rest)});
            let length = group.to_string().len() + 1;
            if told.len() < plan.most && length <= left {
                left -= length;
                told.push(group);
            } else {
                // Nothing smaller slips in after it.
                left = 0;
                add(&mut rest, totals);
                has_rest = true;
            }
        }
        let mut answer = Map::new();
        answer.insert("groups".into(), told.into());
        let rest = has_rest.then(|| json!({"totals": tell(&rest, &plan.measures, lacks)}));
        answer.insert("rest".into(), rest.into());
        answer.insert(
            "largest_are_sure".into(),
            match plan.first {
                First::Name => Value::Null,
                First::Largest => json!(!self.overfull && !self.slice_rest && !lacks),
            },
        );
        answer
    }
}

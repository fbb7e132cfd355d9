//! Totals by group: a limited number of groups by name, and the others aggregated as the rest.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::error::{GroupNameTooLongSnafu, UnsortedGroupsSnafu, ValueError};
use crate::plan::{GroupOrder, GroupPlan};
use crate::totals::{MeasureValue, Totals, TotalsValue};

/// The maximum length of a group's name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A shard's value as JSON: `{"groups":[{"of":NAME,"totals":{...}},...],"rest":{"totals":{...}}}`.
#[derive(Deserialize)]
struct GroupsValue<'a> {
    #[serde(borrow)]
    groups: Vec<GroupValue<'a>>,
    #[serde(borrow)]
    rest: Option<TotalsValue<'a>>,
}

#[derive(Deserialize)]
struct GroupValue<'a> {
    #[serde(borrow, rename = "of")]
    name: Cow<'a, str>,
    #[serde(borrow)]
    totals: HashMap<Cow<'a, str>, MeasureValue<'a>>,
}

/// A shard's groups, checked for validity.
pub(crate) struct ShardGroups {
    groups: Vec<(Box<str>, Totals)>,
    /// The totals of the groups that the shard has not listed.
    rest: Option<Totals>,
}

impl ShardGroups {
    /// Parses a shard's value, in which groups must be in ascending order of their names.
    pub(crate) fn parse(value: &str, plan: &GroupPlan) -> Result<ShardGroups, ValueError> {
        let value: GroupsValue = serde_json::from_str(value)?;
        let groups = &value.groups;
        if groups.windows(2).any(|pair| pair[0].name >= pair[1].name) {
            return UnsortedGroupsSnafu.fail();
        }
        if groups.iter().any(|group| group.name.len() > MAX_NAME_BYTES) {
            let max_bytes = MAX_NAME_BYTES;
            return GroupNameTooLongSnafu { max_bytes }.fail();
        }
        let checked = |group: &GroupValue| {
            let totals = Totals::from_values(&group.totals, &plan.measures)?;
            Ok((group.name.as_ref().into(), totals))
        };
        let groups = groups
            .iter()
            .map(checked)
            .collect::<Result<_, ValueError>>()?;
        let rest = value
            .rest
            .map(|rest| rest.check(&plan.measures))
            .transpose()?;
        Ok(ShardGroups { groups, rest })
    }
}

/// The merged groups of all shards.
pub(crate) struct GroupTotals {
    by_name: BTreeMap<Box<str>, Totals>,
    rest: Totals,
    /// Some groups were aggregated into the rest, here or at a shard.
    has_rest: bool,
    /// A shard has reported a rest of its own, which may contain values of any group.
    has_shard_rest: bool,
    /// There were more groups than may be retained, and groups are ordered by size.
    exceeds_retained: bool,
}

impl GroupTotals {
    pub(crate) fn new(plan: &GroupPlan) -> GroupTotals {
        GroupTotals {
            by_name: BTreeMap::new(),
            rest: Totals::zero(&plan.measures),
            has_rest: false,
            has_shard_rest: false,
            exceeds_retained: false,
        }
    }

    /// Adds a shard's groups.
    ///
    /// The number of groups retained by name is limited: to those that may be listed if the order is by name, to
    /// `max_retained` if it is by size. The last ones by name are added to the rest, so that the result does not depend
    /// on the order in which shards respond.
    pub(crate) fn add(&mut self, shard: ShardGroups, plan: &GroupPlan) {
        for (name, totals) in shard.groups {
            self.add_group(name, totals, plan);
        }
        if let Some(rest) = shard.rest {
            self.rest.add(&rest);
            (self.has_rest, self.has_shard_rest) = (true, true);
        }
    }

    fn add_group(&mut self, name: Box<str>, totals: Totals, plan: &GroupPlan) {
        if let Some(known) = self.by_name.get_mut(&name) {
            known.add(&totals);
            return;
        }
        let max_groups = match plan.order {
            GroupOrder::Name => plan.max_groups,
            GroupOrder::Largest => plan.max_retained,
        };
        let last = self.by_name.last_key_value();
        let is_last = last.is_none_or(|(last, _)| name > *last);
        if self.by_name.len() >= max_groups && is_last {
            return self.add_to_rest(&totals, plan);
        }
        self.by_name.insert(name, totals);
        if self.by_name.len() > max_groups
            && let Some((_, last)) = self.by_name.pop_last()
        {
            self.add_to_rest(&last, plan);
        }
    }

    fn add_to_rest(&mut self, totals: &Totals, plan: &GroupPlan) {
        self.rest.add(totals);
        self.has_rest = true;
        self.exceeds_retained |= plan.order == GroupOrder::Largest;
    }

    /// Returns the listed groups, within `max_bytes`, and the rest.
    pub(crate) fn to_json(
        &self,
        plan: &GroupPlan,
        incomplete: bool,
        max_bytes: usize,
    ) -> Map<String, Value> {
        let (mut listed, mut remaining_bytes) = (Vec::new(), max_bytes);
        let (mut rest, mut has_rest) = (self.rest.clone(), self.has_rest);
        let may_lack_values = incomplete || self.has_shard_rest;
        for (name, totals) in self.ordered(plan.order) {
            let totals_json = totals.to_json(&plan.measures, may_lack_values);
            let group = json!({"of": name, "totals": totals_json});
            // A comma follows each group.
            let bytes = group.to_string().len() + 1;
            if listed.len() < plan.max_groups && bytes <= remaining_bytes {
                remaining_bytes -= bytes;
                listed.push(group);
            } else {
                // No group is listed after one that was left out, even if it would fit.
                remaining_bytes = 0;
                rest.add(totals);
                has_rest = true;
            }
        }
        let rest = has_rest.then(|| json!({"totals": rest.to_json(&plan.measures, incomplete)}));
        let largest_are_sure = match plan.order {
            GroupOrder::Name => Value::Null,
            GroupOrder::Largest => json!(!self.exceeds_retained && !may_lack_values),
        };
        Map::from_iter([
            ("groups".to_owned(), listed.into()),
            ("rest".to_owned(), rest.into()),
            ("largest_are_sure".to_owned(), largest_are_sure),
        ])
    }

    fn ordered(&self, order: GroupOrder) -> Vec<(&str, &Totals)> {
        let by_name = self.by_name.iter();
        let mut groups: Vec<_> = by_name.map(|(name, totals)| (&**name, totals)).collect();
        if order == GroupOrder::Largest {
            // The sort is stable, so groups of the same size stay in the order of their names.
            groups.sort_by_key(|(_, totals)| Reverse(totals.first_sum()));
        }
        groups
    }
}

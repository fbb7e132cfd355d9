//! `<merging>`: the indexes whose responses are merged, and the cursors for pagination.

use std::collections::HashSet;
use std::path::PathBuf;
use std::time::Duration;

use linenthread_merge::{
    Aggregation, FieldType, GroupOrder, GroupPlan, Measure, Plan, RowPlan, SortField, Statistic,
};

use crate::attributes::secret_files;
use crate::document::{
    CursorsSection, Direction, FieldTypeValue, GroupOrderValue, GroupsSection, IndexSection,
    MeasureSection, MergingSection, RowsSection, SortFieldSection, StatisticValue, YesNo,
};
use crate::xml::Element;
use crate::{InstallationError, KnownIndex};

/// The indexes whose responses are merged. The responses of other indexes are passed on unmerged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merging {
    /// The merge plan of each index.
    pub plans: Vec<Plan>,
    /// The lifetime and the secrets of pagination cursors.
    pub cursors: Option<CursorConfig>,
}

/// The lifetime and the secrets of pagination cursors.
#[derive(Clone, Debug, PartialEq)]
pub struct CursorConfig {
    /// How long a cursor is valid.
    pub lifetime: Duration,
    /// The file of the secret that signs cursors, then that of the previous one, which is still accepted.
    pub secret_files: Vec<PathBuf>,
}

impl Merging {
    pub(crate) fn check(
        section: MergingSection,
        element: &Element,
        known: &dyn Fn(&str) -> Option<KnownIndex>,
    ) -> Result<Merging, InstallationError> {
        let cursors = section.cursors.map(CursorConfig::from);
        let mut plans: Vec<Plan> = Vec::new();
        let elements = element.children.iter().filter(|e| e.name != "marks");
        for (section, element) in section.indexes.into_iter().zip(elements) {
            let index = section.index().to_owned();
            let Some(settings) = known(&index) else {
                return Err(element.error(format!("the settings have no index {index}")));
            };
            if plans.iter().any(|plan| plan.index == index) {
                return Err(element.error(format!("the index {index} is listed twice")));
            }
            let aggregation = check_aggregation(section, element, settings, cursors.as_ref())?;
            plans.push(Plan { index, aggregation });
        }
        Ok(Merging { plans, cursors })
    }
}

impl From<CursorsSection> for CursorConfig {
    fn from(section: CursorsSection) -> CursorConfig {
        CursorConfig {
            lifetime: Duration::from_secs(section.lifetime_seconds),
            secret_files: secret_files(section.secret, section.previous_secret),
        }
    }
}

impl IndexSection {
    fn index(&self) -> &str {
        match self {
            IndexSection::Totals(totals) => &totals.index,
            IndexSection::Groups(groups) => &groups.index,
            IndexSection::Rows(rows) => &rows.index,
        }
    }
}

fn check_aggregation(
    section: IndexSection,
    element: &Element,
    settings: KnownIndex,
    cursors: Option<&CursorConfig>,
) -> Result<Aggregation, InstallationError> {
    match section {
        IndexSection::Totals(totals) => {
            check_measures(totals.measures, element).map(Aggregation::Totals)
        }
        IndexSection::Groups(groups) => check_groups(groups, element).map(Aggregation::Groups),
        IndexSection::Rows(rows) => {
            check_rows(rows, element, settings, cursors).map(Aggregation::Rows)
        }
    }
}

fn check_measures(
    sections: Vec<MeasureSection>,
    element: &Element,
) -> Result<Vec<Measure>, InstallationError> {
    for (measure, element) in sections.iter().zip(element.children("measure")) {
        let statistics = &measure.statistics;
        let is_repeated = |(index, statistic)| statistics[..index].contains(statistic);
        if statistics.iter().enumerate().any(is_repeated) {
            let cause = format!("figures of {} lists a value twice", measure.field);
            return Err(element.error(cause));
        }
    }
    if let Some(field) = first_repeated(sections.iter().map(|m| m.field.as_str())) {
        return Err(element.error(format!("the field {field} has two measures")));
    }
    Ok(sections.into_iter().map(Measure::from).collect())
}

fn check_groups(section: GroupsSection, element: &Element) -> Result<GroupPlan, InstallationError> {
    if section.max_retained < section.max_groups {
        let cause = "held is less than most: groups that are not retained cannot be returned";
        return Err(element.error(cause));
    }
    Ok(GroupPlan {
        measures: check_measures(section.measures, element)?,
        max_groups: section.max_groups,
        order: section.order.into(),
        max_retained: section.max_retained,
    })
}

fn check_rows(
    section: RowsSection,
    element: &Element,
    settings: KnownIndex,
    cursors: Option<&CursorConfig>,
) -> Result<RowPlan, InstallationError> {
    let page_size = section.page_size;
    let max_page_size = section.max_page_size.unwrap_or(page_size);
    let paginated = section.paginated == YesNo::Yes;
    if page_size > max_page_size {
        let cause = format!("page ({page_size}) is greater than most ({max_page_size})");
        return Err(element.error(cause));
    }
    if paginated && cursors.is_none() {
        return Err(element
            .error("pages require <marks> at the start of <merging>; otherwise set pages=\"no\""));
    }
    for (field, element) in section.order.iter().zip(element.children("order")) {
        if field.field_type == FieldTypeValue::Text && field.scale > 0 {
            return Err(element.error("scale is allowed only with kind=\"decimal\""));
        }
    }
    if let Some(field) = first_repeated(section.order.iter().map(|o| o.field.as_str())) {
        return Err(element.error(format!("the order lists {field} twice")));
    }
    if paginated {
        check_distinct_pages(&section, element, settings)?;
    }
    Ok(RowPlan {
        order: section.order.into_iter().map(SortField::from).collect(),
        identity: section.identity.field,
        distinct: section.distinct.map(|distinct| distinct.field),
        page_size,
        max_page_size,
        paginated,
    })
}

/// Checks that paginated rows are distinct only by their first sort field, and only if no shard may be missing.
///
/// A cursor records how far each shard was read, but not which values were returned. Whether a value was returned can
/// be derived from the first sort field, as long as no shard is read later than the others.
fn check_distinct_pages(
    section: &RowsSection,
    element: &Element,
    settings: KnownIndex,
) -> Result<(), InstallationError> {
    let (Some(distinct), Some(element)) = (&section.distinct, element.child("distinct")) else {
        return Ok(());
    };
    let first = section.order.first();
    if first.is_none_or(|first| first.field != distinct.field) {
        return Err(element.error(
            "paginated rows can be distinct only by their first order field; otherwise set pages=\"no\"",
        ));
    }
    if settings.min_share < 1.0 {
        return Err(element.error(
            "paginated rows can be distinct only if the index's floor is 1: a shard missing on one page could \
             repeat a value on the next; otherwise set pages=\"no\"",
        ));
    }
    Ok(())
}

/// Returns the first name that is repeated.
fn first_repeated<'a>(mut names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let mut seen = HashSet::new();
    names.find(|name| !seen.insert(*name))
}

impl From<MeasureSection> for Measure {
    fn from(section: MeasureSection) -> Measure {
        Measure {
            field: section.field,
            scale: section.scale,
            never_negative: section.may_be_negative == YesNo::No,
            statistics: section
                .statistics
                .into_iter()
                .map(Statistic::from)
                .collect(),
        }
    }
}

impl From<StatisticValue> for Statistic {
    fn from(value: StatisticValue) -> Statistic {
        match value {
            StatisticValue::Sum => Statistic::Sum,
            StatisticValue::Count => Statistic::Count,
            StatisticValue::Min => Statistic::Min,
            StatisticValue::Max => Statistic::Max,
            StatisticValue::Mean => Statistic::Mean,
        }
    }
}

impl From<GroupOrderValue> for GroupOrder {
    fn from(value: GroupOrderValue) -> GroupOrder {
        match value {
            GroupOrderValue::Name => GroupOrder::Name,
            GroupOrderValue::Largest => GroupOrder::Largest,
        }
    }
}

impl From<SortFieldSection> for SortField {
    fn from(section: SortFieldSection) -> SortField {
        SortField {
            field_type: match section.field_type {
                FieldTypeValue::Text => FieldType::Text,
                FieldTypeValue::Decimal => FieldType::Decimal(section.scale),
            },
            field: section.field,
            descending: section.direction == Direction::Descending,
        }
    }
}

//! `<merging>`: the indexes whose answers are merged, and the marks of their pages.

use std::path::PathBuf;

use linenthread_merge::{
    Aggregation, FieldType, GroupOrder, GroupPlan, Measure, Plan, RowPlan, SortField, Statistic,
};
use serde::Deserialize;

use crate::tree::Node;
use crate::{Fault, KnownIndex};

/// Indexes that are merged; the others are answered as ever.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merging {
    pub plans: Vec<Plan>,
    pub marks: Option<MarkFiles>,
}

/// Where the secrets of page marks are.
#[derive(Clone, Debug, PartialEq)]
pub struct MarkFiles {
    /// Seconds for which a mark is good.
    pub life: u64,
    /// The one that signs, then the one before, which is still taken.
    pub files: Vec<PathBuf>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Section {
    marks: Option<Marks>,
    #[serde(rename = "$value", default)]
    indexes: Vec<Index>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Marks {
    #[serde(rename = "@life")]
    life: u64,
    #[serde(rename = "@secret")]
    secret: PathBuf,
    #[serde(rename = "@secret-before")]
    before: Option<PathBuf>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Index {
    Totals(SumsOf),
    Groups(GroupsOf),
    Rows(RowsOf),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SumsOf {
    #[serde(rename = "@index")]
    index: String,
    measure: Vec<MeasureOf>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GroupsOf {
    #[serde(rename = "@index")]
    index: String,
    #[serde(rename = "@most")]
    most: usize,
    #[serde(rename = "@first", default)]
    first: FirstWord,
    #[serde(rename = "@held", default = "held")]
    held: usize,
    measure: Vec<MeasureOf>,
}

fn held() -> usize {
    10_000
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum FirstWord {
    #[default]
    Name,
    Largest,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MeasureOf {
    #[serde(rename = "@field")]
    field: String,
    #[serde(rename = "@scale", default)]
    scale: u32,
    #[serde(rename = "@negative", default)]
    negative: YesNo,
    #[serde(rename = "@figures")]
    figures: Vec<FigureWord>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum YesNo {
    #[default]
    Yes,
    No,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum FigureWord {
    Sum,
    Count,
    Least,
    Most,
    Mean,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RowsOf {
    #[serde(rename = "@index")]
    index: String,
    #[serde(rename = "@page")]
    page: usize,
    #[serde(rename = "@most")]
    most: Option<usize>,
    #[serde(rename = "@pages", default)]
    pages: YesNo,
    order: Vec<OrderOf>,
    identity: Field,
    distinct: Option<Field>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Field {
    #[serde(rename = "@field")]
    field: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OrderOf {
    #[serde(rename = "@field")]
    field: String,
    #[serde(rename = "@kind", default)]
    kind: KindWord,
    #[serde(rename = "@scale", default)]
    scale: u32,
    #[serde(rename = "@direction", default)]
    direction: Direction,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum KindWord {
    #[default]
    Text,
    Decimal,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Direction {
    #[default]
    Ascending,
    Descending,
}

/// The first name that stands a second time.
fn twice<'a>(names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let mut seen = Vec::new();
    for name in names {
        if seen.contains(&name) {
            return Some(name);
        }
        seen.push(name);
    }
    None
}

fn measures(said: Vec<MeasureOf>, node: &Node) -> Result<Vec<Measure>, Fault> {
    for (measure, node) in said.iter().zip(node.all("measure")) {
        let repeated = measure
            .figures
            .iter()
            .enumerate()
            .any(|(i, f)| measure.figures[..i].contains(f));
        if repeated {
            return Err(Fault::new(
                node.line,
                format!("a figure of {} is asked for twice", measure.field),
            ));
        }
    }
    if let Some(field) = twice(said.iter().map(|m| m.field.as_str())) {
        return Err(Fault::new(
            node.line,
            format!("the field {field} is measured twice"),
        ));
    }
    let figure = |word: &FigureWord| match word {
        FigureWord::Sum => Statistic::Sum,
        FigureWord::Count => Statistic::Count,
        FigureWord::Least => Statistic::Min,
        FigureWord::Most => Statistic::Max,
        FigureWord::Mean => Statistic::Mean,
    };
    let measure = |m: MeasureOf| Measure {
        statistics: m.figures.iter().map(figure).collect(),
        field: m.field,
        scale: m.scale,
        never_negative: m.negative == YesNo::No,
    };
    Ok(said.into_iter().map(measure).collect())
}

fn groups(said: GroupsOf, node: &Node) -> Result<Plan, Fault> {
    if said.held < said.most {
        return Err(Fault::new(
            node.line,
            "held is less than most: that many groups could not be told",
        ));
    }
    let first = match said.first {
        FirstWord::Name => GroupOrder::Name,
        FirstWord::Largest => GroupOrder::Largest,
    };
    let measures = measures(said.measure, node)?;
    Ok(Plan {
        index: said.index,
        aggregation: Aggregation::Groups(GroupPlan {
            measures,
            max_groups: said.most,
            order: first,
            max_retained: said.held,
        }),
    })
}

fn rows(said: RowsOf, node: &Node, known: KnownIndex, has_marks: bool) -> Result<Plan, Fault> {
    let (most, pages) = (said.most.unwrap_or(said.page), said.pages == YesNo::Yes);
    if said.page > most {
        return Err(Fault::new(
            node.line,
            format!("page is {}, more than most, {most}", said.page),
        ));
    }
    if pages && !has_marks {
        return Err(Fault::new(
            node.line,
            "pages need <marks> before them, or pages=\"no\"",
        ));
    }
    for (order, node) in said.order.iter().zip(node.all("order")) {
        if order.kind == KindWord::Text && order.scale > 0 {
            return Err(Fault::new(node.line, "a text has no scale"));
        }
    }
    if let Some(field) = twice(said.order.iter().map(|o| o.field.as_str())) {
        return Err(Fault::new(
            node.line,
            format!("{field} is ordered by twice"),
        ));
    }
    // A page mark says how far each slice was read, not which values were shown: only what stands first in
    // the order can be told as shown, and only while no slice is read later than others.
    let distinct = said.distinct.map(|d| d.field);
    if let (Some(field), Some(node), true) = (&distinct, node.all("distinct").next(), pages) {
        if said.order.first().is_none_or(|first| first.field != *field) {
            return Err(Fault::new(
                node.line,
                "rows in pages can only be distinct by their first order field; or say pages=\"no\"",
            ));
        }
        if known.floor < 1.0 {
            return Err(Fault::new(
                node.line,
                "rows in pages can only be distinct where the index's floor is 1: a slice missing on one page \
                 could bring a value again on the next; or say pages=\"no\"",
            ));
        }
    }
    let order = |o: OrderOf| SortField {
        field_type: if o.kind == KindWord::Text {
            FieldType::Text
        } else {
            FieldType::Decimal(o.scale)
        },
        field: o.field,
        descending: o.direction == Direction::Descending,
    };
    let order = said.order.into_iter().map(order).collect();
    let identity = said.identity.field;
    Ok(Plan {
        index: said.index,
        aggregation: Aggregation::Rows(RowPlan {
            order,
            identity,
            distinct,
            page_size: said.page,
            max_page_size: most,
            paginated: pages,
        }),
    })
}

/// Checks what the schema can't say.
pub(crate) fn check(
    section: Section,
    node: &Node,
    known: &dyn Fn(&str) -> Option<KnownIndex>,
) -> Result<Merging, Fault> {
    let marks = section.marks.map(|marks| MarkFiles {
        life: marks.life,
        files: std::iter::once(marks.secret).chain(marks.before).collect(),
    });
    let mut plans: Vec<Plan> = Vec::new();
    let nodes = node.children.iter().filter(|child| child.name != "marks");
    for (said, node) in section.indexes.into_iter().zip(nodes) {
        let index = node.attribute("index").unwrap_or_default();
        let Some(of) = known(index) else {
            return Err(Fault::new(
                node.line,
                format!("the settings have no index {index}"),
            ));
        };
        if plans.iter().any(|p| p.index == index) {
            return Err(Fault::new(
                node.line,
                format!("the index {index} is merged twice"),
            ));
        }
        plans.push(match said {
            Index::Totals(said) => Plan {
                aggregation: Aggregation::Totals(measures(said.measure, node)?),
                index: said.index,
            },
            Index::Groups(said) => groups(said, node)?,
            Index::Rows(said) => rows(said, node, of, marks.is_some())?,
        });
    }
    Ok(Merging { plans, marks })
}

//! What the responses of an index are merged into, as the installation file says.

/// A statistic of a field's values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statistic {
    /// The exact sum.
    Sum,
    /// How many values there are.
    Count,
    /// The lowest value.
    Min,
    /// The highest value.
    Max,
    /// The sum divided by the count, rounded to the scale, halves to the even digit.
    Mean,
}

/// A field whose values are aggregated.
#[derive(Clone, Debug, PartialEq)]
pub struct Measure {
    /// The field.
    pub field: String,
    /// Digits after the point, at most [`MAX_SCALE`](crate::MAX_SCALE).
    pub scale: u32,
    /// No value of it is negative, so that a sum that lacks some is a lower bound.
    pub never_negative: bool,
    /// What the response says of it.
    pub statistics: Vec<Statistic>,
}

/// Which groups are listed where there are more than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupOrder {
    /// Those first by name.
    Name,
    /// Those with the largest sum of the first measure.
    Largest,
}

/// Totals by group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupPlan {
    /// What is aggregated in each group.
    pub measures: Vec<Measure>,
    /// The most groups that are listed; the others are aggregated as the rest.
    pub max_groups: usize,
    /// Which groups are listed, and in which order.
    pub order: GroupOrder,
    /// The most groups that are retained during the merge, where they are ordered by size.
    pub max_retained: usize,
}

/// How a field is sorted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldType {
    /// By its bytes.
    Text,
    /// By its value, a number with so many digits after the point.
    Decimal(u32),
}

/// A field by which rows are sorted.
#[derive(Clone, Debug, PartialEq)]
pub struct SortField {
    /// The field.
    pub field: String,
    /// How it is sorted.
    pub field_type: FieldType,
    /// The highest value comes first.
    pub descending: bool,
}

/// Ranked rows in pages.
#[derive(Clone, Debug, PartialEq)]
pub struct RowPlan {
    /// The most significant field first. Rows that lack a field come after those that have it, in either direction.
    pub order: Vec<SortField>,
    /// The field that distinguishes a row from all others; it breaks ties, ascending.
    pub identity: String,
    /// Of rows with the same value of this field only the first is shown.
    pub distinct: Option<String>,
    /// Rows on a page where the client does not say.
    pub page_size: usize,
    /// The most rows on a page.
    pub max_page_size: usize,
    /// Pages carry a cursor for the next one.
    pub paginated: bool,
}

/// What the values of an index are merged into.
#[derive(Clone, Debug, PartialEq)]
pub enum Aggregation {
    /// Totals of these measures.
    Totals(Vec<Measure>),
    /// Totals by group.
    Groups(GroupPlan),
    /// Ranked rows.
    Rows(RowPlan),
}

/// How the responses of one index are merged.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The index's name.
    pub index: String,
    /// What its values are merged into.
    pub aggregation: Aggregation,
}

impl Plan {
    /// A text that differs wherever a cursor of one plan would mean something else under another.
    ///
    /// It is hashed into cursors: clients hold cursors of earlier versions, so the text stays as those wrote it.
    pub(crate) fn order_fingerprint(&self) -> String {
        match &self.aggregation {
            Aggregation::Rows(rows) => rows.order_fingerprint(),
            Aggregation::Totals(_) | Aggregation::Groups(_) => String::new(),
        }
    }
}

impl RowPlan {
    fn order_fingerprint(&self) -> String {
        let order: Vec<String> = self.order.iter().map(SortField::fingerprint).collect();
        let order = order.join(", ");
        format!("[{order}]{:?}{:?}", self.identity, self.distinct)
    }
}

impl SortField {
    fn fingerprint(&self) -> String {
        let SortField {
            field,
            field_type,
            descending,
        } = self;
        let kind = match field_type {
            FieldType::Text => "Text".to_owned(),
            FieldType::Decimal(scale) => format!("Decimal({scale})"),
        };
        format!("Order {{ field: {field:?}, kind: {kind}, descending: {descending} }}")
    }
}

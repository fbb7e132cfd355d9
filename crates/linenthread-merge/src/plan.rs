//! Merge plans: how the responses of an index are merged, as configured in the installation file.

/// A statistic of a field's values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statistic {
    /// The exact sum.
    Sum,
    /// The number of values.
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
    /// The name of the field in values and responses.
    pub field: String,
    /// The number of digits after the point, at most [`MAX_SCALE`](crate::MAX_SCALE).
    pub scale: u32,
    /// No value is negative, so that a sum without the missing values is a lower bound.
    pub never_negative: bool,
    /// The statistics in the response.
    pub statistics: Vec<Statistic>,
}

/// The order of groups, which decides the groups that are listed if there are more than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupOrder {
    /// By ascending name.
    Name,
    /// By descending sum of the first measure.
    Largest,
}

/// The plan for totals by group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupPlan {
    /// The fields that are aggregated in each group.
    pub measures: Vec<Measure>,
    /// The maximum number of groups that are listed; the others are aggregated as the rest.
    pub max_groups: usize,
    /// The order of the groups, which also decides which are listed.
    pub order: GroupOrder,
    /// The maximum number of groups that are retained during the merge if they are ordered by size.
    pub max_retained: usize,
}

/// The sort order of a field's values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldType {
    /// Bytewise, as text.
    Text,
    /// Numerically, as a decimal number with at most this many digits after the point.
    Decimal(u32),
}

/// A field by which rows are sorted.
#[derive(Clone, Debug, PartialEq)]
pub struct SortField {
    /// The name of the field in rows.
    pub field: String,
    /// How its values are sorted.
    pub field_type: FieldType,
    /// The highest value comes first; otherwise the lowest.
    pub descending: bool,
}

/// The plan for ranked rows in pages.
#[derive(Clone, Debug, PartialEq)]
pub struct RowPlan {
    /// The sort fields, the most significant first. Rows that lack a field come after those that have it, whether
    /// ascending or descending.
    pub order: Vec<SortField>,
    /// The field that identifies a row uniquely; it breaks ties in ascending order.
    pub identity: String,
    /// If set, only the first of the rows with the same value of this field is shown.
    pub distinct: Option<String>,
    /// The maximum number of rows on a page if the client requests none.
    pub page_size: usize,
    /// The highest number of rows that a client may request for a page.
    pub max_page_size: usize,
    /// Responses contain a cursor for the next page.
    pub paginated: bool,
}

/// The way in which the values of an index are merged.
#[derive(Clone, Debug, PartialEq)]
pub enum Aggregation {
    /// Totals of these measures.
    Totals(Vec<Measure>),
    /// Totals by group.
    Groups(GroupPlan),
    /// Ranked rows.
    Rows(RowPlan),
}

/// The merge plan of one index.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The index's name.
    pub index: String,
    /// The way in which its values are merged.
    pub aggregation: Aggregation,
}

impl Plan {
    /// Returns a text that differs between plans under which a cursor would have different meanings.
    ///
    /// It is hashed into cursors. Since clients hold cursors of earlier versions, the text must stay as those versions
    /// wrote it.
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

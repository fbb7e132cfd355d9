//! What the answers of an index are merged into, as the operators' file says.

/// What is told of a field's values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figure {
    Sum,
    Count,
    Least,
    Most,
    Mean,
}

/// A field that is summed up.
#[derive(Clone, Debug, PartialEq)]
pub struct Measure {
    pub field: String,
    /// Digits after the point.
    pub scale: u32,
    /// No value of it is below 0: a sum that lacks some is a lower bound.
    pub never_negative: bool,
    pub figures: Vec<Figure>,
}

/// Which groups are told by themselves where there are more than may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum First {
    /// Those first by name.
    Name,
    /// Those with the largest sum of the first measure.
    Largest,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Groups {
    pub measures: Vec<Measure>,
    /// Groups told by themselves at the most.
    pub most: usize,
    pub first: First,
    /// Groups held at once at the most, where they are ranked by size.
    pub held: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Ordered by its bytes.
    Text,
    /// A number with so many digits after the point.
    Decimal(u32),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub field: String,
    pub kind: Kind,
    pub descending: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Rows {
    /// The most significant first. Rows that lack a field come after those that have it, either way round.
    pub order: Vec<Order>,
    /// The text that tells a row from all others; it breaks ties, upwards.
    pub identity: String,
    /// Of rows with the same value of this field only the first is shown.
    pub distinct: Option<String>,
    /// Rows on a page where the client does not say, and at the most.
    pub page: usize,
    pub most: usize,
    /// Pages carry marks for the next.
    pub pages: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Form {
    Totals(Vec<Measure>),
    Groups(Groups),
    Rows(Rows),
}

/// How one index is merged.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub index: String,
    pub form: Form,
}

impl Plan {
    /// A text that differs wherever a page mark of one plan would mean something else under another.
    pub(crate) fn order_words(&self) -> String {
        match &self.form {
            Form::Rows(rows) => format!("{:?}{:?}{:?}", rows.order, rows.identity, rows.distinct),
            _ => String::new(),
        }
    }
}

//! Merges the responses of many shards into one: totals, totals by group, and ranked rows in pages.
//!
//! A [`Merger`] is created for one query from the [`Plan`] of its index. It provides the text of each sub-request,
//! accepts the shards' values in any order, determines which shards must be asked for more, and writes the response
//! with a statement of how complete it is. `docs/merged-answers.md` has the formats of values and responses.
//!
//! The crate does no I/O and reads no clock. Its caller decides which replicas to ask and when to respond.
//! Start reading at [`Plan`], then [`Merger`].

mod cursor;
mod decimal;
mod error;
mod groups;
mod merger;
mod page;
mod page_reader;
mod plan;
mod query;
mod response;
mod row_fields;
mod sort_key;
mod sub_request;
mod totals;

pub use cursor::{CursorSigner, MIN_SECRET_BYTES, SecretError};
pub use error::{CursorError, DecimalError, QueryError, ValueError};
pub use merger::{Acceptance, Merger};
pub use plan::{
    Aggregation, FieldType, GroupOrder, GroupPlan, Measure, Plan, RowPlan, SortField, Statistic,
};
pub use query::{MergeQuery, PageRequest, QueriedShard};

/// The maximum number of shards of a query, since its response lists each of them.
pub const MAX_SHARDS: usize = 4_096;
/// The maximum number of digits after the point that a plan may use.
pub const MAX_SCALE: u32 = 12;
/// The version of the encoding of cursors.
pub(crate) const CURSOR_VERSION: u8 = 1;

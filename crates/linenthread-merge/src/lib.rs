//! Responses of many shards merged into one: totals, totals by group, and ranked rows in pages.
//!
//! A [`Merger`] is made for one query from the [`Plan`] of its index. It says what each sub-request asks for,
//! accepts the shards' values in any order, says which shards must be asked for more, and writes the response
//! with a statement of what is in it. The forms of values and responses are in `docs/merged-answers.md`.
//!
//! The crate does no I/O and reads no clock; which replica is asked and when to respond are decided elsewhere.
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

/// The most shards of a query: each is named in its response.
pub const MAX_SHARDS: usize = 4_096;
/// The most digits after the point that a plan may ask for.
pub const MAX_SCALE: u32 = 12;
/// The version of a cursor's encoding.
pub(crate) const CURSOR_VERSION: u8 = 1;

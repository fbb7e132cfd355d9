//! Checks merged responses against the full data, without any code of the program's own.
//!
//! Each check takes the shards of the query with their weights, the floor (the least share of the weight that a
//! partial response must have) and the response as JSON. What must be in it is computed from a
//! [`RowStore`](crate::row_store::RowStore).

mod error;
mod figures;
mod groups;
mod pages;
mod shards;
mod totals;

pub use error::CheckError;
pub use groups::check_groups;
pub use pages::PagedRead;
pub use shards::{ShardWeight, check_shards};
pub use totals::check_totals;

//! Checks merged responses against the full data, without using code of the program under test.
//!
//! Each check takes the shards of the query with their weights, the floor (the minimum share of the weight that a
//! partial response must cover) and the response as JSON. The expected contents are computed from a
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

//! What was measured, as data, as a table and as CSV.

mod csv;
mod measurement;
mod table;

pub use csv::CSV_HEADER;
pub use measurement::{Measurement, Role, RoleRow, Snapshot, Times};

//! Answers of many slices merged into one: totals, totals by group, ranked rows and pages of them.
//!
//! A [`Merge`] is made for one lookup from the [`Plan`] of its index. It says what each slice is to be asked,
//! takes the slices' values in any order, says which slices must be asked once more, and writes the answer
//! with a plain statement of what is in it. It does no I/O and reads no clock; when to answer is decided
//! elsewhere. The forms of values and answers are in `docs/merged-answers.md`.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod decimal;
mod mark;
mod merge;
mod place;
mod plan;
mod ranked;
mod totals;

pub use decimal::MOST_SCALE;
pub use mark::{Marks, SHORTEST_SECRET};
pub use merge::{Asked, Merge, Missing, PageWish, Taken};
pub use place::Place;
pub use plan::{Figure, First, Form, Groups, Kind, Measure, Order, Plan, Rows};
pub use ranked::Ranked;

/// A lookup asks no more slices than these: each is named in its answer.
pub const MOST_SLICES: usize = 4_096;

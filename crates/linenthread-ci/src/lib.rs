//! Checks a run of `cargo test` against `KNOWN-RED.txt`, the list of tests that are known to fail.
//!
//! The listed tests must fail and all others must pass. Ambiguous output also fails the check, for example a test
//! program that ended without a summary, or a summary that contradicts the test lines before it.
//!
//! The crate depends only on the output and the JSON messages of cargo, not on the code under test. The entry point is
//! [`check()`]; its inputs come from [`parse_known_failures`], [`parse_test_programs`] and [`parse_test_output`].

mod check;
mod known_failures;
mod test_output;
mod test_programs;

pub use check::{Report, Violation, check};
pub use known_failures::{KnownFailure, KnownFailuresError, parse_known_failures};
pub use test_output::{ProgramRun, TestCounts, TestOutcome, TestOutput, parse_test_output};
pub use test_programs::{CargoMessageError, TestProgram, parse_test_programs};

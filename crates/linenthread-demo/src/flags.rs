//! Command-line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs the system on loopback through a series of failures, then exits.
    cmd linenthread-demo {
        /// The daemon to run; by default linenthread-node in the folder of this program.
        optional --program path: PathBuf
        /// Runs the steps one after another. This is the default.
        default cmd show {}
        /// Runs rounds of fault scenarios, with faults at random moments; exits with 1 after a violation.
        cmd rounds {
            /// The number of rounds; 1 by default.
            optional --rounds count: u64
            /// The seed of the first round, 1 by default; each further round adds 1.
            optional --seed seed: u64
            /// Runs only the scenarios of this point, 1 to 7.
            optional --point point: u8
            /// Uses the short durations and counts of the tests.
            optional --brief
        }
    }
}

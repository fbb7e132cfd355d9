//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Hollow ingress nodes, replicas and control nodes in one process.
    cmd linenthread-hollow {
        /// Measures one size; prints a table and lines of CSV.
        cmd run {
            /// Ingress nodes (30).
            optional --ingress-nodes count: usize
            /// Replicas (in proportion: 50,000 to 7,800 ingress nodes).
            optional --replicas count: usize
            /// Control nodes (3).
            optional --control count: usize
            /// Control nodes that may vote (5, or all if there are fewer).
            optional --voters count: usize
            /// Simulated seconds that are measured (4).
            optional --seconds count: u64
            /// The seed of all random numbers (1).
            optional --seed seed: u64
            /// Milliseconds between two heartbeats of a replica (1000).
            optional --heartbeat-ms milliseconds: u64
            /// Size of the configuration (60000).
            optional --document-bytes bytes: usize
            /// Configuration changes in the measured time (1).
            optional --changes count: usize
            /// Replicas that are restarted in the measured time (2).
            optional --restarts count: usize
            /// Ingress nodes that come back with nothing at one moment (10).
            optional --storm count: usize
            /// Adds the lines to this file, with a header if it is new.
            optional --csv file: PathBuf
        }
        /// Fits powers of growth to files of CSV.
        cmd fit {
            required file: PathBuf
            /// The column with the size (fronts: ingress nodes).
            optional --by column: String
            /// Also prints the fitted value at this size.
            optional --at size: f64
            /// Only roles that start with this.
            optional --role name: String
            /// Only this column.
            optional --column name: String
        }
        /// From the loss of the leader to the next acknowledgement.
        cmd kill {
            optional --control count: usize
            optional --ingress-nodes count: usize
            optional --seed seed: u64
            /// The machine is gone and its connections hang, instead of a process that ends.
            optional --dark
        }
    }
}

//! The state of a run: the clients, their queries, and the replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_core::interface::QueryIndex;
use linenthread_fakes::checker::PagedRead;
use linenthread_fakes::row_store::RowStore;
use linenthread_merge::{CursorSigner, Plan};
use oorandom::Rand64;

use super::Options;
use super::client::{Client, MAX_SHARD_ROWS};
use super::fault::ReplicaBehavior;
use super::invariant::Violation;
use super::open_query::OpenQuery;
use super::plans::{self, ROWS};
use super::replicas::SimulatedReplicas;
use super::settings::SHARDS;
use super::statistics::Statistics;

/// The number of concurrent clients, each with its own data.
pub(super) const CLIENTS: usize = 6;
/// The maximum number of violations printed.
const MAX_PRINTED: usize = 10;
/// The wall-clock time for cursors, in seconds since 1970; it doesn't advance.
pub(super) const UNIX_SECONDS: u64 = 1_000;
/// Long enough that no cursor expires.
const CURSOR_LIFETIME: Duration = Duration::from_secs(1 << 40);

/// The state of a run.
pub(super) struct World<'p> {
    pub(super) options: &'p Options,
    pub(super) plans: &'p [Plan],
    pub(super) signer: CursorSigner,
    pub(super) replicas: SimulatedReplicas,
    pub(super) open_queries: BTreeMap<QueryIndex, OpenQuery<'p>>,
    pub(super) clients: Vec<Client>,
    pub(super) statistics: Statistics,
    /// The indices of released queries, which are reused.
    pub(super) free_indices: Vec<QueryIndex>,
    /// The number of indices allocated so far.
    pub(super) index_count: usize,
}

impl<'p> World<'p> {
    pub(super) fn new(
        options: &'p Options,
        plans: &'p [Plan],
        behavior: ReplicaBehavior,
        rng: &mut Rand64,
    ) -> World<'p> {
        let secret = b"a secret of the drill".to_vec();
        let mut client = || Client {
            rows: RowStore::new(rng, SHARDS, MAX_SHARD_ROWS),
            shards: Vec::new(),
            plan: ROWS,
            reading: PagedRead::new(&[]),
            added: Vec::new(),
            cursor: None,
            max_rows: 4,
        };
        World {
            options,
            plans,
            signer: CursorSigner::new(vec![secret], CURSOR_LIFETIME)
                .expect("the secret is long enough"),
            clients: (0..CLIENTS).map(|_| client()).collect(),
            replicas: SimulatedReplicas::new(
                plans::index_configs(options.floor),
                options.seed,
                behavior,
            ),
            open_queries: BTreeMap::new(),
            statistics: Statistics::default(),
            free_indices: Vec::new(),
            index_count: 0,
        }
    }

    /// Counts a violation. Prints the first [`MAX_PRINTED`] with the command that repeats the run.
    pub(super) fn report_violation(&mut self, query: QueryIndex, violation: &Violation) {
        self.statistics.violations += 1;
        if self.statistics.violations <= MAX_PRINTED {
            println!("violation at query {}: {violation}", query.0);
            println!(
                "  replay: linenthread-simulation merged {}",
                self.options.arguments()
            );
        }
    }
}

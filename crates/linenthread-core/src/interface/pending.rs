//! A summary of the queries that have not ended.

/// The number of queries that have not ended, by what each of them waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingQueries {
    /// An attempt is in flight: the query waits for a replica's response.
    pub in_flight: usize,
    /// No attempt is in flight, and a missing sub-request is a retry that the retry budget does not permit now.
    pub awaiting_retry_budget: usize,
    /// No attempt is in flight, and no replica can take the missing sub-requests now.
    pub awaiting_replica: usize,
}

impl std::ops::AddAssign for PendingQueries {
    fn add_assign(&mut self, other: PendingQueries) {
        self.in_flight += other.in_flight;
        self.awaiting_retry_budget += other.awaiting_retry_budget;
        self.awaiting_replica += other.awaiting_replica;
    }
}

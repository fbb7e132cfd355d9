//! Faults in the responses of a stub replica, drawn for each request from a seed.

use oorandom::Rand64;

/// Whether, and how often, a replica responds with faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicaFaults {
    /// Never.
    None,
    /// For a share of its requests.
    Drawn {
        /// The seed of the draws.
        seed: u64,
        /// The share, from 0 to 1.
        share: f64,
    },
}

/// A fault in the response to one request. The replica has run the request in each case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The response is sent twice, one directly after the other.
    DuplicateAtOnce,
    /// The response is sent again after a short delay, before the next request is read.
    DuplicateLate,
    /// The response is sent again directly before the response to the next request.
    DuplicateBeforeNext,
    /// As [`Fault::DuplicateBeforeNext`], but the duplicate has no attempt id.
    DuplicateWithoutId,
    /// The response has the id of another attempt and the records of another path.
    OtherAttempt,
    /// The connection is closed within the head of the response.
    TruncatedHead,
    /// The connection is closed within the body of the response.
    TruncatedBody,
    /// No response is sent, and the connection stays open.
    NoResponse,
    /// The connection is closed without a response.
    Closed,
}

/// All faults; each is equally likely.
const FAULTS: [Fault; 9] = [
    Fault::DuplicateAtOnce,
    Fault::DuplicateLate,
    Fault::DuplicateBeforeNext,
    Fault::DuplicateWithoutId,
    Fault::OtherAttempt,
    Fault::TruncatedHead,
    Fault::TruncatedBody,
    Fault::NoResponse,
    Fault::Closed,
];

impl Fault {
    /// Returns the name under which the fault is counted.
    pub(super) fn name(self) -> &'static str {
        match self {
            Fault::DuplicateAtOnce => "duplicate at once",
            Fault::DuplicateLate => "duplicate, late",
            Fault::DuplicateBeforeNext => "duplicate before the next",
            Fault::DuplicateWithoutId => "duplicate without id",
            Fault::OtherAttempt => "another attempt's response",
            Fault::TruncatedHead => "truncated head",
            Fault::TruncatedBody => "truncated body",
            Fault::NoResponse => "no response",
            Fault::Closed => "closed",
        }
    }
}

/// Random draws of the faults on one connection.
pub(super) struct FaultDraws {
    random: Rand64,
    share: f64,
}

impl FaultDraws {
    pub(super) fn new(faults: ReplicaFaults, connection: u64) -> FaultDraws {
        let (seed, share) = match faults {
            ReplicaFaults::None => (0, 0.0),
            ReplicaFaults::Drawn { seed, share } => (seed, share),
        };
        let seed = u128::from(seed) << 64 | u128::from(connection);
        FaultDraws {
            random: Rand64::new(seed),
            share,
        }
    }

    /// Draws the fault for the next request, if any.
    pub(super) fn draw(&mut self) -> Option<Fault> {
        if self.random.rand_float() >= self.share {
            return None;
        }
        let bound = u64::try_from(FAULTS.len()).unwrap_or(u64::MAX);
        let index = usize::try_from(self.random.rand_range(0..bound)).ok()?;
        FAULTS.get(index).copied()
    }
}

//! How a stub replica may respond wrongly, drawn for each request by a seed.

use oorandom::Rand64;

/// Whether a replica responds wrongly at all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicaFaults {
    /// It never does.
    None,
    /// It does for a share of its requests.
    Drawn {
        /// The seed of the draws.
        seed: u64,
        /// The share, from 0 to 1.
        share: f64,
    },
}

/// What goes wrong with one request. The replica has run it in each case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The response is sent twice at once.
    DuplicateAtOnce,
    /// The response is sent again a little later, unasked.
    DuplicateLate,
    /// The response is sent again before the one to the next request.
    DuplicateBeforeNext,
    /// The same, and the duplicate names no attempt.
    DuplicateWithoutId,
    /// The response names another attempt, and its body is another's.
    OtherAttempt,
    /// The connection ends within the head.
    TruncatedHead,
    /// The connection ends within the body.
    TruncatedBody,
    /// No response is sent.
    NoResponse,
    /// The connection ends without a response.
    Closed,
}

/// All faults, one as likely as the other.
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
    /// Its name in counts.
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

/// Draws for the requests of one connection.
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

    /// What goes wrong with the next request, if anything.
    pub(super) fn draw(&mut self) -> Option<Fault> {
        if self.random.rand_float() >= self.share {
            return None;
        }
        let bound = u64::try_from(FAULTS.len()).unwrap_or(u64::MAX);
        let index = usize::try_from(self.random.rand_range(0..bound)).ok()?;
        FAULTS.get(index).copied()
    }
}

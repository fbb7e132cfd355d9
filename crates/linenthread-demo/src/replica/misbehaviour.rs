//! How a stand-in replica may misbehave, drawn for each request by a seed.

use oorandom::Rand64;

/// Whether a replica misbehaves at all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Misbehaviour {
    None,
    /// So large a share of its requests, by this seed.
    Drawn {
        seed: u64,
        share: f64,
    },
}

/// What a replica does wrong with one request. It has run the request in each case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wrong {
    /// The whole answer comes twice in one piece.
    TwiceAtOnce,
    /// It comes again a little later, unasked.
    TwiceLate,
    /// It comes again before the answer to the next request.
    TwiceWhenTheNextIsDue,
    /// The same, and the answer too many names no attempt.
    TwiceWithoutId,
    /// The answer names another attempt, and its bytes are another's.
    AnothersAnswer,
    /// The connection ends within the head.
    CutHead,
    /// The connection ends within the body.
    CutBody,
    /// No answer comes.
    Silent,
    /// The connection ends without an answer.
    Closed,
}

/// All ways, one as likely as the other.
const WAYS: [Wrong; 9] = [
    Wrong::TwiceAtOnce,
    Wrong::TwiceLate,
    Wrong::TwiceWhenTheNextIsDue,
    Wrong::TwiceWithoutId,
    Wrong::AnothersAnswer,
    Wrong::CutHead,
    Wrong::CutBody,
    Wrong::Silent,
    Wrong::Closed,
];

impl Wrong {
    /// Its name in counts.
    pub(super) fn name(self) -> &'static str {
        match self {
            Wrong::TwiceAtOnce => "twice at once",
            Wrong::TwiceLate => "twice, late",
            Wrong::TwiceWhenTheNextIsDue => "twice, when the next is due",
            Wrong::TwiceWithoutId => "twice, without id",
            Wrong::AnothersAnswer => "another's answer",
            Wrong::CutHead => "cut head",
            Wrong::CutBody => "cut body",
            Wrong::Silent => "silent",
            Wrong::Closed => "closed",
        }
    }
}

/// Draws for the requests of one connection.
pub(super) struct Draws {
    random: Rand64,
    share: f64,
}

impl Draws {
    pub(super) fn new(how: Misbehaviour, connection: u64) -> Draws {
        let (seed, share) = match how {
            Misbehaviour::None => (0, 0.0),
            Misbehaviour::Drawn { seed, share } => (seed, share),
        };
        let seed = u128::from(seed) << 64 | u128::from(connection);
        Draws {
            random: Rand64::new(seed),
            share,
        }
    }

    /// What goes wrong with the next request, if anything.
    pub(super) fn next(&mut self) -> Option<Wrong> {
        if self.random.rand_float() >= self.share {
            return None;
        }
        let way = self.random.rand_range(0..WAYS.len() as u64);
        Some(WAYS[way as usize])
    }
}

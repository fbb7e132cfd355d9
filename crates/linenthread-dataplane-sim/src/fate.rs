//! Faults, drawn from a seed for each connection and each request.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use oorandom::Rand64;

use crate::network::WriteFate;

/// All chance of one world, from one seed.
#[derive(Clone)]
pub struct Chance(Rc<RefCell<Rand64>>);

impl Chance {
    /// All chance that follows from a seed.
    pub fn new(seed: u64) -> Chance {
        Chance(Rc::new(RefCell::new(Rand64::new(u128::from(seed)))))
    }

    /// A number below `bound`.
    pub fn below(&self, bound: u64) -> u64 {
        self.0.borrow_mut().rand_range(0..bound.max(1))
    }

    /// True so many times of a thousand.
    pub fn per_mille(&self, share: u64) -> bool {
        self.below(1_000) < share
    }

    /// So many milliseconds, from `least` and below `bound`.
    pub fn ms(&self, least: u64, bound: u64) -> Duration {
        Duration::from_millis(least + self.below(bound - least))
    }
}

/// A second answer that nobody asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stray {
    /// The answer once more, with the id of its own request.
    Again,
    /// An answer with a seal and no id.
    WithoutId,
    /// An answer with the id of another front's request.
    OfAnother,
    /// A word that nothing ran, with the id of the request that was answered.
    Rejection,
    /// The same with no id.
    RejectionWithoutId,
    /// A word that another replica has the address, with no id.
    Misdirection,
}

/// When it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StrayTime {
    /// Right behind the answer, in the same bytes.
    AtOnce,
    /// While the connection waits for a request, or soon after one.
    Idle,
    /// When the next request has been written, before its answer.
    NextDue,
}

/// How half an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HalfEnd {
    Close,
    Reset,
    Silence,
}

/// What a replica does with a request that it has read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFate {
    Answer,
    /// It runs it, answers, and answers once more.
    AnswerTwice(Stray, StrayTime),
    /// It runs it; the answer has no id.
    AnswerWithoutId,
    /// It runs it; the answer has the id of another front's request.
    AnswerOfAnother,
    /// It answers much later.
    AnswerLate,
    /// It runs it and fails; with a seal or without.
    Failed {
        sealed: bool,
    },
    /// It says that it did not run it, which is true.
    Rejected {
        with_id: bool,
        closes: bool,
    },
    /// It says so, and once more when the next request is due there.
    RejectedTwice,
    /// The connection goes silent.
    Silent {
        ran: bool,
    },
    Reset {
        ran: bool,
    },
    Closed {
        ran: bool,
    },
    /// It runs it; so many thousandths of the answer come.
    Half {
        per_mille: u64,
        end: HalfEnd,
    },
}

/// How much goes wrong in a world, in so many of a thousand requests or connections.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub requests: u64,
    pub writes: u64,
    pub connections: u64,
    pub idle: u64,
}

impl Faults {
    /// Drawn for a world: some are calm, some are bad.
    pub fn draw(chance: &Chance) -> Faults {
        Faults {
            requests: [20, 100, 300][chance.below(3) as usize],
            writes: [0, 10, 60][chance.below(3) as usize],
            connections: [0, 20, 80][chance.below(3) as usize],
            idle: [0, 100, 400][chance.below(3) as usize],
        }
    }

    /// The fate of a request that was read whole.
    pub fn request(&self, chance: &Chance) -> RequestFate {
        if !chance.per_mille(self.requests) {
            return RequestFate::Answer;
        }
        let ran = chance.per_mille(500);
        match chance.below(15) {
            0..=4 => RequestFate::AnswerTwice(stray(chance), stray_time(chance)),
            5 => RequestFate::AnswerWithoutId,
            6 => RequestFate::AnswerOfAnother,
            7 => RequestFate::AnswerLate,
            8 => RequestFate::Failed {
                sealed: chance.per_mille(500),
            },
            9 => RequestFate::Rejected {
                with_id: chance.per_mille(800),
                closes: chance.per_mille(300),
            },
            10 => RequestFate::Silent { ran },
            11 => RequestFate::Reset { ran },
            12 => RequestFate::Closed { ran },
            13 => RequestFate::RejectedTwice,
            _ => RequestFate::Half {
                per_mille: chance.below(1_000),
                end: half_end(chance),
            },
        }
    }

    /// The fate of a write of so many bytes.
    pub fn write(&self, chance: &Chance, length: usize) -> WriteFate {
        if !chance.per_mille(self.writes) {
            return WriteFate::Taken;
        }
        let some = if chance.per_mille(300) {
            0
        } else {
            chance.below(length as u64) as usize
        };
        if chance.per_mille(700) {
            WriteFate::FailsAfter(some)
        } else {
            WriteFate::StopsAfter(some)
        }
    }
}

fn stray(chance: &Chance) -> Stray {
    use Stray::{Again, Misdirection, OfAnother, Rejection, RejectionWithoutId, WithoutId};
    [
        Again,
        WithoutId,
        OfAnother,
        Rejection,
        RejectionWithoutId,
        Misdirection,
    ][chance.below(6) as usize]
}

fn stray_time(chance: &Chance) -> StrayTime {
    [StrayTime::AtOnce, StrayTime::Idle, StrayTime::NextDue][chance.below(3) as usize]
}

fn half_end(chance: &Chance) -> HalfEnd {
    [HalfEnd::Close, HalfEnd::Reset, HalfEnd::Silence][chance.below(3) as usize]
}

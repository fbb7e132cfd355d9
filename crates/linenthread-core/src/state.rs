//! What a co-ordinator keeps in mind: plain records and sums. No decision is taken here and no figure is set.

use std::collections::VecDeque;

use crate::interface::{AttemptOutcome, DecisionSink, MembershipEntry, Phase, TenthMillis};

/// The share of what was seen then that still counts now.
pub(crate) fn kept(then: TenthMillis, now: TenthMillis, span: f64) -> f64 {
    (-((now - then).max(0) as f64) / span).exp()
}

/// Sums over recent values, fading with age and brought up to date when they are read.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fading {
    pub at: TenthMillis,
    pub weight: f64,
    pub sum: f64,
    pub square: f64,
}

impl Fading {
    pub(crate) fn fade(&mut self, now: TenthMillis, span: f64) {
        let keep = kept(self.at, now, span);
        (self.weight, self.sum, self.square) =
            (self.weight * keep, self.sum * keep, self.square * keep);
        self.at = self.at.max(now);
    }

    pub(crate) fn add(&mut self, now: TenthMillis, span: f64, value: f64) {
        self.fade(now, span);
        self.weight += 1.0;
        self.sum += value;
        self.square += value * value;
    }

    /// Takes so much off the sum, at most until it is as far below none as the weight is above.
    pub(crate) fn relieve(&mut self, now: TenthMillis, span: f64, by: f64) {
        self.fade(now, span);
        self.sum = (self.sum - by).max(-self.weight);
    }

    /// Mean and deviation, where more than so much was heard of late.
    pub(crate) fn shape(&self, least: f64) -> Option<(f64, f64)> {
        (self.weight > least).then(|| {
            let mean = self.sum / self.weight;
            (
                mean,
                (self.square / self.weight - mean * mean).max(0.0).sqrt(),
            )
        })
    }
}

/// What was seen of one replica, or of all of a site.
#[derive(Clone, Default)]
pub(crate) struct Seen {
    /// Logarithms of answer times: their mean is the median's, since the times are about log-normal.
    pub times: Fading,
    /// 1 for each failure, 0 for each answer.
    pub failures: Fading,
}

/// What was counted at which moment, within a window that a rule speaks of.
#[derive(Default)]
pub(crate) struct Counts(VecDeque<(TenthMillis, usize)>);

impl Counts {
    pub(crate) fn add(&mut self, now: TenthMillis, window: TenthMillis, n: usize) {
        if n > 0 {
            self.0.retain(|(at, _)| *at >= now - window);
            self.0.push_back((now, n));
        }
    }

    pub(crate) fn since(&self, start: TenthMillis) -> usize {
        self.0
            .iter()
            .filter(|(at, _)| *at >= start)
            .map(|(_, n)| n)
            .sum()
    }
}

/// What was seen of the fleet as a whole.
#[derive(Default)]
pub(crate) struct Fleet {
    pub times: Fading,
    /// Logarithms of how long parts took or were waited for: where turned away, a whole soft deadline.
    pub delays: Fading,
    /// How many parts lookups of each index have, and for all what they cost for each gain.
    pub sizes: Vec<Fading>,
    pub costs: Fading,
    /// Lookups that came from each customer.
    pub customers: Vec<Fading>,
    /// Replicas that went down unannounced.
    pub falls: Fading,
    /// Lookups and parts taken, and further part calls made.
    pub taken: Counts,
    pub further: Counts,
    /// 1 for each second copy, 0 for each first part call.
    pub copies: Fading,
    /// 1 for each probe that was not answered when it was waited for no longer, 0 for the others.
    pub unsure: Fading,
    /// 1 for each part call that came to nothing, 0 for each answered: on rested connections, and on others.
    pub rested: Fading,
    pub fresh: Fading,
    /// How many answers are of late, smoothed, and for how long replicas are remembered then.
    pub pace: f64,
    pub span: f64,
    /// The lowest median time of late.
    pub quick: f64,
    /// Parts that a warm replica can take from here within the cold window, and those that are sent to one.
    pub usual: f64,
    pub flow: f64,
    /// Parts that may be out at one replica before it is jammed.
    pub jam: f64,
    /// And in all.
    pub room: f64,
}

impl Fleet {
    /// Of so many customers; replicas are remembered for so long at first, and nothing is bounded yet.
    pub(crate) fn new(customers: usize, span: f64) -> Fleet {
        Fleet {
            customers: vec![Fading::default(); customers],
            span,
            quick: f64::INFINITY,
            jam: f64::INFINITY,
            room: f64::INFINITY,
            ..Fleet::default()
        }
    }
}

/// When things began, and are due again.
#[derive(Default)]
pub(crate) struct Due {
    pub began: TenthMillis,
    pub tick: TenthMillis,
    pub reset: TenthMillis,
    pub wake: TenthMillis,
    /// The roster is to be asked then, and so many times it could not be had.
    pub ask: Option<TenthMillis>,
    pub ask_failures: u32,
}

#[derive(Default)]
pub(crate) struct Replica {
    pub listed: MembershipEntry,
    /// Until then it may get parts although it drains.
    pub last_call: TenthMillis,
    pub seen: Seen,
    pub out: u32,
    /// Of those out, the ones that are as good as lost.
    pub lost: u32,
    /// Its connections fail or broke: since when, and when it is next probed. It gets no parts until a probe
    /// or a part is answered.
    pub down: Option<(TenthMillis, TenthMillis)>,
    /// Its connection broke under a part, and no probe has told more yet.
    pub broke_under: bool,
    /// Its process is gone, as a probe found after that; and when a new one first answered.
    pub died: bool,
    pub returned: Option<TenthMillis>,
    /// When it last answered, or was sent a part with none out.
    pub heard: TenthMillis,
    /// When a part last went there or came back.
    pub used: TenthMillis,
    /// When it last told anything, by an answer or a probe.
    pub told_at: TenthMillis,
    /// The parts it said were waiting, and when it first said just that: a report that is told again is no
    /// newer for it.
    pub queue: f64,
    pub since: TenthMillis,
    /// A probe is out since then.
    pub asked: Option<TenthMillis>,
    pub score: f64,
    /// How long a part there takes by now.
    pub expected: f64,
    pub cold_sends: Counts,
}

impl Replica {
    pub(crate) fn ready(&self) -> bool {
        self.listed.phase == Phase::Ready
    }

    /// When its process began, by the roster's word or by its first answer after it was gone.
    pub(crate) fn began(&self) -> Option<TenthMillis> {
        self.listed.started_at.max(self.returned)
    }

    pub(crate) fn still_takes(&self, now: TenthMillis) -> bool {
        self.listed.phase == Phase::Draining && now < self.last_call
    }

    /// Parts out that may still be answered.
    pub(crate) fn waiting(&self) -> f64 {
        f64::from(self.out.saturating_sub(self.lost))
    }

    /// Parts that it last said were waiting; old word fades, and one part is worked off in so long.
    pub(crate) fn told(&self, now: TenthMillis, span: f64, each: f64) -> f64 {
        let worked_off = (now - self.since) as f64 / each;
        (self.queue - worked_off).max(0.0) * kept(self.since, now, span)
    }

    pub(crate) fn tell(&mut self, now: TenthMillis, queue: f64) {
        if queue != self.queue {
            (self.queue, self.since) = (queue, now);
        }
        self.told_at = now;
    }

    /// It answered a part or a probe; one without a report tells nothing of what waits there.
    pub(crate) fn answers(&mut self, now: TenthMillis, queue: Option<f64>) {
        self.down = None;
        if std::mem::take(&mut self.died) {
            self.returned = Some(now);
        }
        self.tell(now, queue.unwrap_or(self.queue));
    }
}

pub(crate) struct Call {
    pub replica: usize,
    pub sent: TenthMillis,
    /// It went on a connection that had rested, or not; `None` where others were out on it.
    pub rested: Option<bool>,
    /// It was called off so that its part may go elsewhere.
    pub moved: bool,
    pub ending: Option<AttemptOutcome>,
}

#[derive(Default)]
pub(crate) struct Part {
    pub shard: usize,
    pub weight: f64,
    pub calls: Vec<Call>,
    pub answered: bool,
    /// It is answered and asked once more, from its call of this number on.
    pub onward: Option<usize>,
}

impl Part {
    pub(crate) fn is_wanted(&self) -> bool {
        !self.answered || self.onward.is_some()
    }

    pub(crate) fn out(&self) -> usize {
        self.calls.iter().filter(|c| c.ending.is_none()).count()
    }

    pub(crate) fn withdraw(&self, l: usize, p: usize, writer: &mut impl DecisionSink) {
        for (c, _) in self
            .calls
            .iter()
            .enumerate()
            .filter(|(_, c)| c.ending.is_none())
        {
            writer.cancel(l, p, c);
        }
    }

    pub(crate) fn never_ran(&self) -> bool {
        self.calls
            .iter()
            .all(|c| c.ending.is_some_and(AttemptOutcome::never_ran))
    }

    /// When the first part call that may have run was sent.
    pub(crate) fn may_have_run(&self) -> Option<TenthMillis> {
        self.calls
            .iter()
            .find(|c| !c.ending.is_some_and(AttemptOutcome::never_ran))
            .map(|c| c.sent)
    }
}

#[derive(Default)]
pub(crate) struct Lookup {
    pub index: usize,
    pub customer: usize,
    pub key: u64,
    pub soft: TenthMillis,
    pub hard: TenthMillis,
    /// When its replicas were probed before its first parts.
    pub asked: Option<TenthMillis>,
    pub parts: Vec<Part>,
    /// Where the parts of the step under way begin.
    pub step: usize,
    /// The first step is answered, and its answer was whole.
    pub first_whole: Option<bool>,
    /// Replicas that broke off under a part of it.
    pub broke: Vec<usize>,
    pub admitted: bool,
    pub over: bool,
}

impl Lookup {
    pub(crate) fn unanswered(&self) -> bool {
        !self.parts.iter().any(|p| p.answered)
    }

    pub(crate) fn out(&self) -> bool {
        self.parts.iter().any(|p| p.out() > 0)
    }

    /// The weight of these parts of the step under way.
    pub(crate) fn weigh(&self, of: impl Fn(&Part) -> bool) -> f64 {
        self.parts[self.step..]
            .iter()
            .filter(|p| of(p))
            .map(|p| p.weight)
            .sum()
    }
}

/// A hash of ids that all co-ordinators agree on.
pub(crate) fn mix(words: [u64; 3]) -> u64 {
    words.iter().fold(0x9e37_79b9_7f4a_7c15, |h: u64, w| {
        let x = (h ^ w).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 32)
    })
}

use std::collections::BTreeMap;

/// A share is given for so long, counted by its holder from when it asked.
pub(crate) const LEASE: u64 = 5_000;

#[derive(Default)]
struct Holder {
    /// Shares that may be in use, and until when.
    shares: Vec<(f64, u64)>,
}

impl Holder {
    fn most(&self) -> f64 {
        self.shares.iter().map(|s| s.0).fold(0.0, f64::max)
    }
}

/// What the holder of the duty has given of the further tries that all may make together in any window. The
/// sum of what may be in use is never over the whole: *shares-within-the-whole*.
pub struct RetryBudget {
    whole: f64,
    window: u64,
    /// Nothing is given before: what an earlier holder gave may be in use.
    from: u64,
    holders: BTreeMap<(String, u64), Holder>,
}

impl RetryBudget {
    pub fn new(whole: f64, window: u64) -> RetryBudget {
        RetryBudget {
            whole,
            window,
            from: u64::MAX,
            holders: BTreeMap::new(),
        }
    }

    /// The duty is ours from now on; `first_of_all` if nobody can have held it before.
    pub fn begin(&mut self, now: u64, first_of_all: bool) {
        self.from = if first_of_all {
            now
        } else {
            now + LEASE + self.window
        };
        self.holders.clear();
    }

    /// A share for one life of a front, among so many fronts.
    pub fn grant(&mut self, now: u64, name: &str, life: u64, fronts: usize) -> f64 {
        if now < self.from {
            return 0.0;
        }
        self.holders.retain(|_, h| {
            h.shares.retain(|s| s.1 > now);
            !h.shares.is_empty()
        });
        let key = (name.to_owned(), life);
        let others: f64 = self
            .holders
            .iter()
            .filter(|(k, _)| **k != key)
            .map(|(_, h)| h.most())
            .sum();
        // Room for one that comes: a restart's old share is in use for a while.
        let share = (self.whole / (fronts + 1) as f64)
            .min(self.whole - others)
            .max(0.0);
        let shares = &mut self.holders.entry(key).or_default().shares;
        shares.retain(|s| s.0 > share);
        shares.push((share, now + LEASE + self.window));
        share
    }

    /// What may be in use of all that was given.
    pub fn granted(&self, now: u64) -> f64 {
        let most = |h: &Holder| {
            h.shares
                .iter()
                .filter(|s| s.1 > now)
                .map(|s| s.0)
                .fold(0.0, f64::max)
        };
        self.holders.values().map(most).sum()
    }
}

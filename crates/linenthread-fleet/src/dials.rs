//! Whom this process connects to, and when again after a loss.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use linenthread_core::interface::TenthMillis;
use oorandom::Rand64;

/// The first wait after a loss, and the longest: each is twice the one before, and half of it by chance, so that
/// those who lost one process don't all come back to it at once.
const FIRST: TenthMillis = 1_000;
const LONGEST: TenthMillis = 50_000;
/// A connection that lasted so long begins the waits anew.
const LASTED: TenthMillis = 50_000;

#[derive(Clone, Debug)]
struct Dial {
    address: SocketAddr,
    failures: u32,
    next: TenthMillis,
    /// The connection that is being made or open, since when.
    on: Option<(u64, TenthMillis)>,
}

/// The processes that are dialled from here.
#[derive(Debug)]
pub(crate) struct Dials {
    all: BTreeMap<String, Dial>,
    chance: Rand64,
    /// Of all, any one will do: it is tried until it fails.
    any: Option<String>,
    one_is_enough: bool,
}

impl Dials {
    /// `one_is_enough` where any one of them serves.
    pub(crate) fn new(
        to: impl Iterator<Item = (String, SocketAddr)>,
        one_is_enough: bool,
        seed: u64,
        now: TenthMillis,
    ) -> Dials {
        let mut chance = Rand64::new(u128::from(seed));
        let mut begin = |address| {
            let next = now + (chance.rand_float() * FIRST as f64) as TenthMillis;
            Dial {
                address,
                failures: 0,
                next,
                on: None,
            }
        };
        let all = to.map(|(name, address)| (name, begin(address))).collect();
        let mut dials = Dials {
            all,
            chance,
            any: None,
            one_is_enough,
        };
        dials.choose();
        dials
    }

    fn choose(&mut self) {
        if self.one_is_enough && !self.all.is_empty() {
            // The next one by chance, but not the one that has just failed where there is another.
            let others: Vec<&String> = self
                .all
                .keys()
                .filter(|n| Some(*n) != self.any.as_ref())
                .collect();
            let at = self.chance.rand_range(0..others.len().max(1) as u64) as usize;
            self.any = others
                .get(at)
                .map(|name| (*name).clone())
                .or(self.any.take());
        }
    }

    fn is_wanted(&self, name: &str) -> bool {
        !self.one_is_enough || self.any.as_deref() == Some(name)
    }

    pub(crate) fn is_one_enough(&self) -> bool {
        self.one_is_enough
    }

    pub(crate) fn wake_at(&self) -> TenthMillis {
        let waits = self
            .all
            .iter()
            .filter(|(name, d)| d.on.is_none() && self.is_wanted(name));
        waits.map(|(_, d)| d.next).min().unwrap_or(TenthMillis::MAX)
    }

    /// Those to be dialled now.
    pub(crate) fn due(
        &mut self,
        now: TenthMillis,
        mut number: impl FnMut() -> u64,
    ) -> Vec<(u64, String, SocketAddr)> {
        let wanted: Vec<String> = self
            .all
            .keys()
            .filter(|name| self.is_wanted(name))
            .cloned()
            .collect();
        let mut due = Vec::new();
        for (name, dial) in self
            .all
            .iter_mut()
            .filter(|(name, _)| wanted.contains(name))
        {
            if dial.on.is_none() && dial.next <= now {
                let connection = number();
                dial.on = Some((connection, now));
                due.push((connection, name.clone(), dial.address));
            }
        }
        due
    }

    /// A connection came to nothing or has ended.
    pub(crate) fn lost(&mut self, now: TenthMillis, connection: u64) {
        let lost = self
            .all
            .values_mut()
            .find(|d| d.on.is_some_and(|(number, _)| number == connection));
        let Some(dial) = lost else { return };
        let lasted = dial
            .on
            .take()
            .is_some_and(|(_, since)| now - since >= LASTED);
        dial.failures = if lasted {
            1
        } else {
            (dial.failures + 1).min(16)
        };
        let wait = (FIRST << (dial.failures - 1).min(10)).min(LONGEST);
        dial.next = now + wait / 2 + (self.chance.rand_float() * wait as f64 / 2.0) as TenthMillis;
        self.choose();
    }
}

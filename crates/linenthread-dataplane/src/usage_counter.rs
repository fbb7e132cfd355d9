//! The number of requests of each tenant that replicas started, by window of wall-clock time.

use std::collections::BTreeMap;
use std::rc::Rc;

use linenthread_messages::{TenantCount, WindowCounts};
use linenthread_time::{Instant, WallTime, WindowLength, WindowNumber};

use crate::agreed_clock::AgreedClock;

/// The number of windows kept; older ones are dropped.
const MAX_WINDOWS: usize = 16;
/// The number of records kept while the wall-clock time is unknown.
const MAX_UNASSIGNED: usize = 4_096;

/// The requests of one tenant in one window.
#[derive(Debug, Default)]
struct Count {
    requests: u64,
    /// Whether the count has risen since it was last sent.
    is_changed: bool,
}

/// Requests whose window is still unknown.
#[derive(Debug)]
struct Unassigned {
    tenant: Rc<str>,
    started_at: Instant,
    requests: u64,
}

type Window = BTreeMap<Rc<str>, Count>;

/// Counts requests that replicas started: totals by window and tenant, which only increase.
#[derive(Debug)]
pub struct UsageCounter {
    window_length: WindowLength,
    clock: AgreedClock,
    windows: BTreeMap<WindowNumber, Window>,
    /// Requests recorded before the first clock sample.
    unassigned: Vec<Unassigned>,
    dropped: u64,
}

impl UsageCounter {
    /// Creates an empty counter with windows of this length.
    pub fn new(window_length: WindowLength) -> UsageCounter {
        UsageCounter {
            window_length,
            clock: AgreedClock::default(),
            windows: BTreeMap::new(),
            unassigned: Vec::new(),
            dropped: 0,
        }
    }

    /// Records a message of a control node that arrived at `now` and was sent at time `agreed` of the control nodes.
    pub fn observe_agreed_time(&mut self, now: Instant, agreed: WallTime) {
        self.clock.observe(now, agreed);
        for unassigned in std::mem::take(&mut self.unassigned) {
            self.record(
                &unassigned.tenant,
                unassigned.started_at,
                unassigned.requests,
            );
        }
    }

    /// Adds requests of a tenant that replicas started at `started_at`.
    pub fn record(&mut self, tenant: &Rc<str>, started_at: Instant, requests: u64) {
        match self.clock.offset() {
            Some(offset) => {
                let moment = offset.wall_time(started_at);
                let window = WindowNumber::containing(moment, self.window_length);
                self.count(window, tenant, requests);
            }
            None if self.unassigned.len() < MAX_UNASSIGNED => self.unassigned.push(Unassigned {
                tenant: tenant.clone(),
                started_at,
                requests,
            }),
            None => self.dropped += requests,
        }
    }

    fn count(&mut self, window: WindowNumber, tenant: &Rc<str>, requests: u64) {
        let Some(window) = self.open_window(window) else {
            self.dropped += requests;
            return;
        };
        // Only the first request of a tenant in a window allocates.
        match window.get_mut(tenant) {
            Some(count) => count.add(requests),
            None => window.entry(tenant.clone()).or_default().add(requests),
        }
    }

    /// Returns a window, and adds it if it is new. At the limit, a new window replaces the oldest one; `None` if it is
    /// older than all that are kept.
    fn open_window(&mut self, number: WindowNumber) -> Option<&mut Window> {
        if !self.windows.contains_key(&number) && self.windows.len() == MAX_WINDOWS {
            let oldest = self.windows.first_entry()?;
            if number < *oldest.key() {
                return None;
            }
            self.dropped += unsent(&oldest.remove());
        }
        Some(self.windows.entry(number).or_default())
    }

    /// Reports whether no counts are kept.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    /// Returns all counts and marks them as sent.
    pub fn take_all(&mut self) -> Vec<WindowCounts> {
        self.take(|_| true)
    }

    /// Returns the counts that have risen since they were last returned, and marks them as sent.
    pub fn take_changed(&mut self) -> Vec<WindowCounts> {
        self.take(|count| count.is_changed)
    }

    /// Returns the counts that `is_wanted` selects, oldest window first, and marks them as sent.
    fn take(&mut self, is_wanted: impl Fn(&Count) -> bool) -> Vec<WindowCounts> {
        let mut taken = Vec::new();
        for (number, window) in &mut self.windows {
            let tenants: Vec<TenantCount> = window
                .iter_mut()
                .filter(|(_, count)| is_wanted(count))
                .map(|(tenant, count)| count.take(tenant))
                .collect();
            if !tenants.is_empty() {
                taken.push(WindowCounts {
                    window: number.get(),
                    tenants,
                });
            }
        }
        taken
    }

    /// Returns the number of requests since the last call that were not counted, or whose counts were dropped unsent.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

impl Count {
    fn add(&mut self, requests: u64) {
        self.requests += requests;
        self.is_changed = true;
    }

    fn take(&mut self, tenant: &str) -> TenantCount {
        self.is_changed = false;
        TenantCount {
            tenant: tenant.to_owned(),
            requests: self.requests,
        }
    }
}

/// Sums the counts that have risen since they were last sent.
fn unsent(window: &Window) -> u64 {
    window
        .values()
        .filter(|count| count.is_changed)
        .map(|count| count.requests)
        .sum()
}

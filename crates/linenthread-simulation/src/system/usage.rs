//! What the simulation knows of usage reports: the truth, the platform, and when the system was last disturbed.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use linenthread_control::UsageConfig;
use linenthread_time::{Instant, WindowLength, WindowNumber};

use super::event::START;
use super::platform::{LEASE, Platform};
use super::random::Random;
use super::time_of_day::{moment_of, true_time};

/// How long after the end of a window its report is due at the platform: the users' `usage_delay_s`.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(10_000);
/// How much a report may be off, for each tenant, as a share of the truth: the users' `usage_error`.
pub(super) const MAX_ERROR: f64 = 0.05;
/// What the platform takes of all nodes together, in calls a second.
const CALLS_PER_SECOND: f64 = 50.0;
/// The length of windows that users have: their `report_window_s`, in milliseconds.
const TARGET_WINDOW_MS: u64 = 5_000;
/// Lengths of windows, in milliseconds: one is drawn for each schedule. Shorter ones have more reports decided and sent
/// around each fault.
const WINDOW_LENGTHS_MS: [u64; 2] = [2_000, TARGET_WINDOW_MS];
/// Names of tenants.
pub(super) const TENANTS: [&str; 2] = ["large", "small"];
/// Combined with a schedule's seed, so that usage has random numbers of its own.
const SEED_MASK: u64 = 0x7573_6167_6500_0000;

/// The machine that called the platform last was lost.
#[derive(Clone, Copy)]
pub(super) struct CallerLoss {
    pub(super) at: Instant,
    /// How many faults had been injected by then.
    pub(super) faults: usize,
}

pub(super) struct Usage {
    /// Random numbers for usage and its faults.
    pub(super) random: Random,
    pub(super) window_length: WindowLength,
    pub(super) platform: Platform,
    pub(super) tenants: Vec<Rc<str>>,
    /// How many requests of each tenant replicas truly began, by window of true time.
    truth: BTreeMap<WindowNumber, BTreeMap<String, u64>>,
    /// When a fault was last injected, or in force.
    pub(super) disturbed_at: Instant,
    /// The oldest window whose report has not been due yet.
    pub(super) next_due: WindowNumber,
    pub(super) caller_loss: Option<CallerLoss>,
    /// How many faults were injected.
    pub(super) faults: usize,
}

impl Usage {
    pub(super) fn new(seed: u64) -> Usage {
        let mut random = Random::new(seed ^ SEED_MASK);
        let length_ms = WINDOW_LENGTHS_MS[random.index(WINDOW_LENGTHS_MS.len())];
        let window_length = WindowLength::new(Duration::from_millis(length_ms));
        Usage {
            random,
            window_length,
            platform: Platform::new(),
            tenants: TENANTS.into_iter().map(Rc::from).collect(),
            truth: BTreeMap::new(),
            disturbed_at: START,
            next_due: WindowNumber::containing(true_time(START), window_length),
            caller_loss: None,
            faults: 0,
        }
    }

    pub(super) fn config(&self) -> UsageConfig {
        UsageConfig {
            window_length: self.window_length,
            report_delay: REPORT_DELAY,
            lease: LEASE,
            calls_per_second: CALLS_PER_SECOND,
        }
    }

    /// Whether windows are as long as those of users, whose bound for the delay holds for them.
    pub(super) fn has_target_windows(&self) -> bool {
        self.window_length.as_millis() == TARGET_WINDOW_MS
    }

    /// When a window starts.
    pub(super) fn start_of(&self, window: WindowNumber) -> Instant {
        self.end_of(window)
            .saturating_sub(Duration::from_millis(self.window_length.as_millis()))
    }

    /// When a window ends.
    pub(super) fn end_of(&self, window: WindowNumber) -> Instant {
        moment_of(window.end(self.window_length))
    }

    /// When the report of a window is due at the platform.
    pub(super) fn due_at(&self, window: WindowNumber) -> Instant {
        self.end_of(window) + REPORT_DELAY
    }

    /// Replicas truly began so many requests of a tenant at this moment.
    pub(super) fn add_truth(&mut self, tenant: &str, at: Instant, requests: u64) {
        let window = WindowNumber::containing(true_time(at), self.window_length);
        let tenants = self.truth.entry(window).or_default();
        *tenants.entry(tenant.to_owned()).or_default() += requests;
    }

    /// By how much the report of a window is off, for the tenant for which it is off most, as a share of the truth.
    /// `None` where there is no report that can be read.
    pub(super) fn error_of(&self, window: WindowNumber) -> Option<f64> {
        let body = &self.platform.report(window)?.body;
        let body: serde_json::Value = serde_json::from_slice(body).ok()?;
        let error_of = |tenant: &&str| {
            let truth = self.truth.get(&window)?.get(*tenant).copied()?;
            let reported = body["tallies"][*tenant].as_u64().unwrap_or(0);
            Some(as_f64(reported.abs_diff(truth)) / as_f64(truth.max(1)))
        };
        TENANTS.iter().filter_map(error_of).reduce(f64::max)
    }
}

/// Counts of requests are far below 2^32 in a schedule.
fn as_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

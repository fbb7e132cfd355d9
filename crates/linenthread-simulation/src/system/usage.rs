//! State of the simulation of usage reports: the true counts of requests, the platform, and the time of the last fault.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use linenthread_control::UsageConfig;
use linenthread_time::{Instant, WindowLength, WindowNumber};

use super::event::START;
use super::platform::{LEASE, Platform};
use super::random::Random;
use super::time_of_day::{simulated_time_of, true_time};

/// Time from the end of a window until its report is due at the platform: the users' `usage_delay_s`.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(10_000);
/// Maximum relative error of a report for each tenant: the users' `usage_error`.
pub(super) const MAX_ERROR: f64 = 0.05;
/// Rate limit of the platform for all nodes together, in calls per second.
const CALLS_PER_SECOND: f64 = 50.0;
/// The users' length of a window, in milliseconds: their `report_window_s`.
const TARGET_WINDOW_MS: u64 = 5_000;
/// Lengths of windows, in milliseconds; one is drawn for each schedule. With shorter windows more reports are decided
/// and sent around each fault.
const WINDOW_LENGTHS_MS: [u64; 2] = [2_000, TARGET_WINDOW_MS];
/// Names of tenants.
pub(super) const TENANTS: [&str; 2] = ["large", "small"];
/// Combined with the schedule's seed to give usage its own sequence of random numbers.
const SEED_MASK: u64 = 0x7573_6167_6500_0000;

/// Loss of the machine that called the platform last.
#[derive(Clone, Copy)]
pub(super) struct CallerLoss {
    pub(super) at: Instant,
    /// Number of faults that had been injected by then.
    pub(super) faults: usize,
}

pub(super) struct Usage {
    /// Source of random numbers for usage and its faults.
    pub(super) random: Random,
    pub(super) window_length: WindowLength,
    pub(super) platform: Platform,
    pub(super) tenants: Vec<Rc<str>>,
    /// Number of requests of each tenant that replicas actually began, by window of true time.
    truth: BTreeMap<WindowNumber, BTreeMap<String, u64>>,
    /// Last time at which a fault was injected or in effect.
    pub(super) last_fault_at: Instant,
    /// Oldest window whose report is not due yet.
    pub(super) next_due: WindowNumber,
    pub(super) caller_loss: Option<CallerLoss>,
    /// Number of faults injected so far.
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
            last_fault_at: START,
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

    /// Reports whether windows have the users' length; the users' bound on the delay applies only to those.
    pub(super) fn has_target_windows(&self) -> bool {
        self.window_length.as_millis() == TARGET_WINDOW_MS
    }

    /// Returns the start of a window.
    pub(super) fn start_of(&self, window: WindowNumber) -> Instant {
        self.end_of(window)
            .saturating_sub(Duration::from_millis(self.window_length.as_millis()))
    }

    /// Returns the end of a window.
    pub(super) fn end_of(&self, window: WindowNumber) -> Instant {
        simulated_time_of(window.end(self.window_length))
    }

    /// Returns the time at which the report of a window is due at the platform.
    pub(super) fn due_at(&self, window: WindowNumber) -> Instant {
        self.end_of(window) + REPORT_DELAY
    }

    /// Records that replicas began requests of a tenant at this time.
    pub(super) fn add_truth(&mut self, tenant: &str, at: Instant, requests: u64) {
        let window = WindowNumber::containing(true_time(at), self.window_length);
        let tenants = self.truth.entry(window).or_default();
        *tenants.entry(tenant.to_owned()).or_default() += requests;
    }

    /// Returns the relative error of a window's report for the tenant with the largest error; `None` if there is no
    /// readable report.
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

/// Converts a count of requests, which is far below 2^32 in a schedule.
fn as_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

//! What is known of one replica.

use super::{DecayingSums, WindowCounter, decay_factor};
use crate::interface::{MembershipEntry, Phase, TenthMillis};

/// What was observed of one replica, or of all of a zone.
#[derive(Clone, Default)]
pub(crate) struct Observations {
    /// Logarithms of response times, in tenths of a millisecond. Response times are about log-normal, so the
    /// mean of the logarithms is the logarithm of the median.
    pub log_latencies: DecayingSums,
    /// 1 for each failure, 0 for each response.
    pub failures: DecayingSums,
}

/// A replica's connections fail or were lost: it is sent nothing until a probe or an attempt succeeds, or the outage
/// has lasted so long that an attempt may try it (`policy::send_guard`).
#[derive(Clone, Copy)]
pub(crate) struct Outage {
    /// When it began.
    pub since: TenthMillis,
    /// When the replica is probed next; where probes are not permitted, when an attempt may try it.
    pub retry_at: TenthMillis,
}

/// One replica.
///
/// Whether it is up and whether its process crashed are separate findings, of attempts and of probes, which may end in
/// any order. So `outage`, `suspected_crash` and `crashed` do not exclude one another:
///
/// | `outage` | `suspected_crash` | `crashed` | |
/// | --- | --- | --- | --- |
/// | | | | it is up |
/// | set | | | connections to it fail; nothing says that its process is gone |
/// | set | set | | a connection was lost under an attempt, and the probe that will show why has not ended |
/// | set | | set | a probe found its process gone |
/// | set | set | set | the same, and a connection was lost under another query since |
/// | | set | | it responded, or is listed with a new process, before the probe ended |
/// | | | set | it is listed with a new process that has not responded yet, or it responded before the probe failed |
/// | | set | set | the same, and a connection was lost under another query before that |
///
/// The first response after `crashed` clears it and sets `returned_at`, which service discovery's next report of a
/// start clears. Without probes `suspected_crash`, `crashed` and `returned_at` are never set.
#[derive(Default)]
pub(crate) struct Replica {
    /// How service discovery lists it.
    pub entry: MembershipEntry,
    /// Until then it may be sent sub-requests although it drains.
    pub last_resort_until: TenthMillis,
    /// Response times and failures.
    pub observations: Observations,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Those of them that have stalled: no response is expected of them any more.
    pub stalled: u32,
    /// Set while it is down.
    pub outage: Option<Outage>,
    /// Its connection was lost under an attempt, and no probe has ended since.
    pub suspected_crash: bool,
    /// A probe found that its process is gone.
    pub crashed: bool,
    /// When a new process first responded after a crash.
    pub returned_at: Option<TenthMillis>,
    /// When it last responded, or was sent an attempt with none in flight.
    pub last_response_at: TenthMillis,
    /// When an attempt was last sent there or ended there.
    pub last_used_at: TenthMillis,
    /// When it last reported anything, by a response or a probe.
    pub last_report_at: TenthMillis,
    /// The depth of its queue by its last report.
    pub reported_queue: f64,
    /// When it first reported just that depth: the same report repeated is no newer.
    pub reported_since: TenthMillis,
    /// When the probe in flight was sent.
    pub probe_sent_at: Option<TenthMillis>,
    /// The lower the better.
    pub score: f64,
    /// The present median response time, in tenths of a millisecond.
    pub expected_latency: f64,
    /// Attempts sent while it was in slow start.
    pub slow_start_sends: WindowCounter,
}

impl Replica {
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.phase == Phase::Ready
    }

    /// When its process started, by service discovery or by its first response after a crash.
    pub(crate) fn started_at(&self) -> Option<TenthMillis> {
        self.entry.started_at.max(self.returned_at)
    }

    /// It drains, and may still be sent sub-requests.
    pub(crate) fn is_last_resort(&self, now: TenthMillis) -> bool {
        self.entry.phase == Phase::Draining && now < self.last_resort_until
    }

    /// Attempts in flight that have not stalled.
    pub(crate) fn pending(&self) -> f64 {
        f64::from(self.in_flight.saturating_sub(self.stalled))
    }

    /// The depth of its queue by its last report: the report decays, and one sub-request is served in each
    /// `service_time`.
    pub(crate) fn estimated_queue(
        &self,
        now: TenthMillis,
        time_constant: f64,
        service_time: f64,
    ) -> f64 {
        let served = (now - self.reported_since) as f64 / service_time;
        (self.reported_queue - served).max(0.0)
            * decay_factor(self.reported_since, now, time_constant)
    }

    /// An attempt is sent to it.
    pub(crate) fn on_send(&mut self, now: TenthMillis) {
        self.last_used_at = now;
        // Silence counts from here where nothing was in flight before.
        if self.in_flight == 0 {
            self.last_response_at = now;
        }
        self.in_flight += 1;
    }

    /// It reported the depth of its queue.
    pub(crate) fn on_report(&mut self, now: TenthMillis, queue_depth: f64) {
        if queue_depth != self.reported_queue {
            self.reported_queue = queue_depth;
            self.reported_since = now;
        }
        self.last_report_at = now;
    }

    /// It responded to an attempt or a probe. A response without a report leaves the reported depth as it is.
    pub(crate) fn on_response(&mut self, now: TenthMillis, queue_depth: Option<f64>) {
        self.outage = None;
        if std::mem::take(&mut self.crashed) {
            self.returned_at = Some(now);
        }
        self.on_report(now, queue_depth.unwrap_or(self.reported_queue));
    }
}

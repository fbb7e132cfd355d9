//! Timeouts, intervals and limits.

use std::time::Duration;

/// Interval at which a request is resent to the voters. Messages may be lost, and a full disk queue may drop the
/// record that a reply depends on.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of a read round, and minimum timeout of a phase of a proposal round (see [`crate::round_timeout`]). A
/// round without a majority by then is abandoned and restarted.
///
/// Three times [`RESEND_INTERVAL`], so that each request is sent up to three times.
pub(crate) const ROUND_TIMEOUT: Duration = Duration::from_millis(450);

/// Maximum timeout of a phase of a proposal round, which doubles from [`ROUND_TIMEOUT`] while the voters are slow.
/// Shorter than the silence after which a node drops its sessions (1,600 ms).
pub(crate) const MAX_ROUND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of pending jobs of each kind (changes, reads). Further ones are rejected immediately.
pub(crate) const MAX_PENDING_JOBS: usize = 64;

/// Minimum backoff after a rejected round, so that a round never restarts at the instant of its rejection.
pub(crate) const MIN_BACKOFF: Duration = Duration::from_millis(1);

/// Base of the range of the random part of the backoff, unless the latency of the voters is greater. The range is
/// twice the base after the first rejection, and doubles with each further consecutive one.
pub(crate) const BACKOFF_BASE: Duration = Duration::from_millis(25);

/// Number of consecutive rejections after which the range of the random backoff no longer grows.
pub(crate) const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Maximum number of consecutive rejections after which a voter change still retries with a short backoff, of less
/// than [`BACKOFF_BASE`] plus [`MIN_BACKOFF`].
pub(crate) const VOTER_CHANGE_FAST_RETRIES: u32 = 2;

/// Range of the random backoff of a voter change after more than [`VOTER_CHANGE_FAST_RETRIES`] rejections, in phases
/// of a round. Four phases are twice the time that a competing round needs.
pub(crate) const VOTER_CHANGE_BACKOFF_PHASES: u32 = 4;

/// Maximum of each of the two parts of the backoff: the random part, and the time reserved for the competing round.
pub(crate) const MAX_BACKOFF: Duration = BACKOFF_BASE.saturating_mul(1 << MAX_BACKOFF_DOUBLINGS);

/// Delay before a read round that found an undecided value is retried, unless the value is decided earlier.
pub(crate) const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time after which a record that is not synced is written again. The disk drops records when its queue or the disk
/// itself is full.
pub(crate) const REWRITE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Maximum of the rewrite interval, which starts at [`REWRITE_INTERVAL`] and doubles with each attempt. Once a disk
/// has free space again, the dropped records are rewritten within this time.
pub(crate) const MAX_REWRITE_INTERVAL: Duration = Duration::from_millis(3_000);

/// Time to wait for a reply to a request for missing orders before another voter is asked.
pub(crate) const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(450);

/// Time after which missing orders that a majority of the voters lack are skipped, if the other voters do not reply.
pub(crate) const CATCH_UP_ABANDON_TIMEOUT: Duration = Duration::from_secs(10);

/// Duration of the leader lease in milliseconds, as sent in lease requests.
pub(crate) const LEASE_MILLIS: u32 = 2_000;

/// Duration of the leader lease. A voter measures it from when it received the request, the lease holder from when it
/// sent the request, so the lease expires first at its holder.
pub const LEASE_DURATION: Duration = Duration::from_millis(LEASE_MILLIS as u64);

/// Interval at which the lease holder requests renewal. Three attempts can fail before the lease expires.
pub(crate) const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// Margin that the lease holder subtracts from [`LEASE_DURATION`], since the monotonic clocks of two nodes may drift
/// apart.
pub(crate) const LEASE_MARGIN: Duration = Duration::from_millis(200);

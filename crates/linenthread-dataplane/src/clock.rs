//! The steady clock of a thread, counted from when it was first asked. It is tokio's clock, so that it stands
//! still and jumps with a paused runtime.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// What the counts begin with: not 0, so that ages can be taken off.
const FIRST_MS: u64 = 1_000_000;
const TENTHS_A_MS: i64 = 10;
const FIRST_TENTHS: i64 = FIRST_MS as i64 * TENTHS_A_MS;
const MICROS_A_TENTH: u64 = 100;

thread_local! {
    static START: Cell<Option<Instant>> = const { Cell::new(None) };
}

fn start() -> Instant {
    START.get().unwrap_or_else(|| {
        let now = Instant::now();
        START.set(Some(now));
        now
    })
}

/// Counts from now on; for simulations, each of which has a clock of its own.
pub fn restart() {
    START.set(Some(Instant::now()));
}

/// Milliseconds since this thread first asked, about the start of the process.
pub fn age_ms() -> u64 {
    start().elapsed().as_millis() as u64
}

/// Milliseconds of the steady clock.
pub fn ms() -> u64 {
    FIRST_MS + age_ms()
}

/// Tenths of a millisecond, as the decision module counts.
pub fn tenths() -> i64 {
    FIRST_TENTHS + (start().elapsed().as_micros() / u128::from(MICROS_A_TENTH)) as i64
}

/// The moment of such a count.
pub fn at_tenths(tenths: i64) -> std::time::Instant {
    let age = (tenths - FIRST_TENTHS).max(0) as u64;
    start().into_std() + Duration::from_micros(age * MICROS_A_TENTH)
}

/// The moment of a count of milliseconds.
pub fn at_ms(ms: u64) -> std::time::Instant {
    start().into_std() + Duration::from_millis(ms.saturating_sub(FIRST_MS))
}

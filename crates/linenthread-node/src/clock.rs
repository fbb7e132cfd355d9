use std::sync::LazyLock;
use std::time::Instant;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Milliseconds since the process first asked, about its start.
pub fn age_ms() -> u64 {
    START.elapsed().as_millis() as u64
}

/// Milliseconds of the steady clock; the first is not 0, so that ages can be taken off.
pub fn ms() -> u64 {
    1_000_000 + age_ms()
}

/// Tenths of a millisecond, as the decision module counts.
pub fn tenths() -> i64 {
    10_000_000 + (START.elapsed().as_micros() / 100) as i64
}

/// The moment of such a count.
pub fn at_tenths(tenths: i64) -> Instant {
    *START + std::time::Duration::from_micros((tenths - 10_000_000).max(0) as u64 * 100)
}

pub fn at_ms(ms: u64) -> Instant {
    *START + std::time::Duration::from_millis(ms.saturating_sub(1_000_000))
}

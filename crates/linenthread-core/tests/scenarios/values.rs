//! Parses values within statements.

use std::str::FromStr;

use linenthread_core::conversion::to_tenth_millis;
use linenthread_core::interface::{AttemptOutcome, Phase, TenthMillis};

pub(crate) fn number<T: FromStr>(word: Option<&&str>) -> Result<T, String> {
    let word = word.ok_or("missing number")?;
    word.parse().map_err(|_| format!("invalid number: {word}"))
}

/// Parses a time in milliseconds.
pub(crate) fn time(word: Option<&&str>) -> Result<TenthMillis, String> {
    Ok(to_tenth_millis(number::<f64>(word)? * 10.0))
}

pub(crate) fn outcome(word: &str) -> Result<AttemptOutcome, String> {
    Ok(match word {
        "success" => AttemptOutcome::Success,
        "error" => AttemptOutcome::Error,
        "rejected" => AttemptOutcome::Rejected,
        "connect-failed" => AttemptOutcome::ConnectFailed,
        "connection-lost" => AttemptOutcome::ConnectionLost,
        "timed-out" => AttemptOutcome::TimedOut,
        "cancelled" => AttemptOutcome::Cancelled,
        _ => return Err(format!("unknown outcome: {word}")),
    })
}

pub(crate) fn phase(word: &str) -> Result<Phase, String> {
    Ok(match word {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        "removed" => Phase::Removed,
        _ => return Err(format!("unknown phase: {word}")),
    })
}

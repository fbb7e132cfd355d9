//! What a client gets.

use linenthread_core::interface::TenthMillis;
use linenthread_http::{greatest, number};
use smallvec::SmallVec;

use crate::pool::Answer;

/// A status, headers and a body.
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// Whole lines, but for those of the connection and the length.
    pub headers: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

const TENTHS_A_SECOND: f64 = 10_000.0;
const SHORTEST_WAIT: f64 = 0.001;

impl Reply {
    /// A status alone.
    pub fn bare(status: u16) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// A replica's answer as it came.
    pub fn passed_on(answer: Answer) -> Reply {
        let mut headers = Vec::with_capacity(256);
        answer.head.pass_on(&mut headers, &[]);
        Reply {
            status: answer.head.status,
            headers,
            body: answer.body,
        }
    }

    /// The greatest records of the parts that are in, and how many of all are missing.
    pub fn gathered(attempt: &str, parts: &[&Answer], of: usize, limit: usize) -> Reply {
        let mut headers = Vec::with_capacity(128 + parts.len() * 64);
        headers.extend_from_slice(b"X-Attempt-Id: ");
        headers.extend_from_slice(attempt.as_bytes());
        headers.extend_from_slice(b"\r\nX-Part-Seals: ");
        for (i, part) in parts.iter().enumerate() {
            if i > 0 {
                headers.extend_from_slice(b", ");
            }
            headers.extend_from_slice(
                part.head
                    .header("x-replica-seal")
                    .unwrap_or_default()
                    .as_bytes(),
            );
        }
        headers.extend_from_slice(b"\r\nX-Missing-Parts: ");
        number(&mut headers, (of - parts.len()) as u64);
        headers.extend_from_slice(b"\r\n");
        let body = greatest(parts.iter().map(|part| part.body.as_slice()), limit);
        Reply {
            status: 200,
            headers,
            body,
        }
    }

    /// Given up: a promise only where nothing of it can have run, and when to come back.
    pub fn given_up(may_have_run: bool, after: Option<TenthMillis>) -> Reply {
        let mut headers = Vec::new();
        if let Some(after) = after {
            let seconds = (after as f64 / TENTHS_A_SECOND).max(SHORTEST_WAIT);
            headers.extend_from_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
        }
        Reply {
            status: if may_have_run { 502 } else { 503 },
            headers,
            body: Vec::new(),
        }
    }
}

/// The parts of a gathered answer that are in.
pub(crate) type PartsIn<'a> = SmallVec<[&'a Answer; 8]>;

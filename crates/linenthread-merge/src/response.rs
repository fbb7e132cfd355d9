//! Writes the response to a merged query as JSON. `docs/merged-answers.md` describes its keys.

use linenthread_core::interface::Completeness;
use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};

use crate::cursor::CursorSigner;
use crate::merger::{Merged, Merger};
use crate::page::{PageBuilder, VisiblePage};
use crate::query::by_shard;
use crate::sub_request::{MissingReason, SubRequest};

/// The maximum size of the rows or groups in a response, so that with the cursor and the shards' numbers it stays
/// below 64 KiB.
const MAX_BYTES: usize = 40 * 1024;
/// Shares of weight are reported with four digits.
const SHARE_RESOLUTION: f64 = 1e4;

/// A response that contains the rows unchanged, as received from the shards.
#[derive(Serialize)]
struct PageResponse<'r> {
    #[serde(flatten)]
    body: Map<String, Value>,
    rows: Vec<&'r RawValue>,
}

impl Merger<'_> {
    /// Returns the response from what has been received, as JSON. It is marked as complete only if `completeness`, the
    /// decision module's verdict, says so and no shard is missing. A cursor is issued by `signer` at the time
    /// `unix_seconds`, in seconds since 1970.
    pub fn response(
        &self,
        completeness: Completeness,
        signer: Option<&CursorSigner>,
        unix_seconds: u64,
    ) -> Vec<u8> {
        let incomplete = !self.sub_requests.iter().all(SubRequest::is_received);
        let mut body = Map::new();
        let is_finished = completeness == Completeness::Complete && !incomplete;
        body.insert("finished".into(), json!(is_finished));
        body.insert("slices".into(), self.shards_json());
        match &self.merged {
            Merged::Totals { measures, totals } => {
                body.insert("totals".into(), totals.to_json(measures, incomplete));
            }
            Merged::Groups { plan, groups } => {
                body.extend(groups.to_json(plan, incomplete, MAX_BYTES));
            }
            Merged::Rows(page) => {
                let signer = signer.filter(|_| page.plan().paginated);
                return self.page_response(body, page, incomplete, signer, unix_seconds);
            }
        }
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Returns the shards whose values are in the response, the missing ones by reason, and the share of weight
    /// present.
    fn shards_json(&self) -> Value {
        let mut missing = Map::new();
        for (reason, key) in MISSING_REASONS {
            let shards = self.shards(|shard| shard.missing_reason() == Some(reason));
            if !shards.is_empty() {
                missing.insert(key.into(), json!(shards));
            }
        }
        let share = if missing.is_empty() {
            1.0
        } else {
            // Rounded down, so that the reported share is never too high.
            let share = self.weight(SubRequest::is_received) / self.weight(|_| true);
            (share * SHARE_RESOLUTION).floor() / SHARE_RESOLUTION
        };
        json!({"in": self.shards(SubRequest::is_received), "missing": missing, "share": share})
    }

    /// Returns the shards of the sub-requests that `filter` selects, in ascending order.
    fn shards(&self, filter: impl Fn(&SubRequest) -> bool) -> Vec<usize> {
        let filtered = self.sub_requests.iter().filter(|shard| filter(shard));
        let mut shards: Vec<usize> = filtered.map(|shard| shard.shard).collect();
        shards.sort_unstable();
        shards
    }

    fn weight(&self, filter: impl Fn(&SubRequest) -> bool) -> f64 {
        let filtered = self.sub_requests.iter().filter(|shard| filter(shard));
        filtered.map(|shard| shard.weight).sum()
    }

    fn page_response(
        &self,
        mut body: Map<String, Value>,
        page: &PageBuilder,
        incomplete: bool,
        signer: Option<&CursorSigner>,
        unix_seconds: u64,
    ) -> Vec<u8> {
        let visible = page.visible(MAX_BYTES);
        let mut cut = self.cut_json(&visible, page.limit());
        let goes_on = incomplete || visible.has_more;
        let mut next = Value::Null;
        if goes_on && let Some(signer) = signer {
            match self.issue_cursor(&visible, signer, unix_seconds) {
                Some(cursor) => next = cursor.into(),
                None => {
                    cut.insert("mark".into(), json!("too long"));
                }
            }
        }
        let cut = if cut.is_empty() {
            Value::Null
        } else {
            cut.into()
        };
        body.insert("goes_on".into(), json!(goes_on));
        body.insert("next".into(), next);
        body.insert("cut".into(), cut);
        let rows = visible
            .rows
            .iter()
            .filter_map(|row| serde_json::from_str(row).ok())
            .collect();
        serde_json::to_vec(&PageResponse { body, rows }).unwrap_or_default()
    }

    /// Returns the reasons why the page ends before its limit although more rows may follow; empty if there are none.
    fn cut_json(&self, visible: &VisiblePage, limit: usize) -> Map<String, Value> {
        let mut cut = Map::new();
        if !visible.incomplete.is_empty() && visible.rows.len() < limit {
            let shard = |&index: &usize| self.sub_requests[index].shard;
            let shards: Vec<usize> = visible.incomplete.iter().map(shard).collect();
            cut.insert("behind".into(), json!(shards));
        }
        if visible.truncated {
            cut.insert("length".into(), json!(MAX_BYTES));
        }
        cut
    }

    fn issue_cursor(
        &self,
        visible: &VisiblePage,
        signer: &CursorSigner,
        unix_seconds: u64,
    ) -> Option<String> {
        let positions: Vec<_> = by_shard(&self.sub_requests, |shard| shard.shard)
            .into_iter()
            .map(|index| visible.next_positions[index].clone())
            .collect();
        signer.issue(&self.scope, &positions, unix_seconds)
    }
}

/// The reasons why a shard may be missing, and their keys in responses.
const MISSING_REASONS: [(MissingReason, &str); 3] = [
    (MissingReason::Unanswered, "unanswered"),
    (MissingReason::Failed, "failed"),
    (MissingReason::Unreadable, "unreadable"),
];

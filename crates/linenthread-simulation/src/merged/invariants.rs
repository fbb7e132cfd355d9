//! What must hold of each response.

use linenthread_fakes::checker;
use linenthread_merge::Acceptance;
use serde_json::Value;

use super::client::Client;
use super::open_query::OpenQuery;
use super::plans::{MAX_GROUPS, ROWS, TOTALS};
use super::world::{UNIX_SECONDS, World};

/// What a second copy responds: it must not count.
const OTHER_VALUE: &str = "{\"rows\":[],\"more\":false}";

impl World<'_> {
    /// Checks a response against the full data; `complete` is what the decision module says of it.
    pub(super) fn check_response(&mut self, query: usize, complete: bool) {
        let Some(open) = self.open.get(&query) else {
            return;
        };
        let client = &mut self.clients[open.client];
        let body = open
            .merger
            .response(complete, Some(&self.signer), UNIX_SECONDS);
        let response: Value = serde_json::from_slice(&body).unwrap_or_default();
        let checked = client.check(&response, self.options.floor, open.page_size);
        client.cursor = response["next"].as_str().map(str::to_owned);
        let has_ended = client.plan == ROWS && client.cursor.is_none();
        let ended = if has_ended {
            client
                .reading
                .check_end(&client.ledger, &client.added)
                .map_err(|error| error.to_string())
        } else {
            Ok(())
        };
        let is_complete = response["finished"] == Value::Bool(true);
        self.statistics.complete += usize::from(is_complete);
        self.statistics.partial += usize::from(!is_complete);
        self.statistics.truncated += usize::from(response["cut"].is_object());
        let is_marked_truly = complete || !is_complete;
        let is_bounded = open.merger.retained_rows() <= open.page_size;
        let result = checked.and(ended).and_then(|()| {
            if is_marked_truly && is_bounded {
                Ok(())
            } else {
                Err("complete though the decision module says partial, or more rows retained than a page".into())
            }
        });
        if let Err(violation) = result {
            client.cursor = None;
            self.violated(query, &format!("{violation}\n  {response}"));
        }
    }
}

impl OpenQuery<'_> {
    /// A second copy with another value must not count; the violation if it does.
    pub(super) fn accept_duplicate(
        &mut self,
        sub_request: usize,
        continuation: u32,
    ) -> Option<String> {
        match self.merger.accept(sub_request, continuation, OTHER_VALUE) {
            Acceptance::Duplicate { .. } => None,
            other => Some(format!("a duplicate response counts: {other:?}")),
        }
    }
}

impl Client {
    /// Checks a response against the full data.
    fn check(&mut self, response: &Value, floor: f64, page_size: usize) -> Result<(), String> {
        let Client {
            ledger,
            shards,
            reading,
            ..
        } = self;
        match self.plan {
            ROWS => reading.check_page(ledger, shards, floor, page_size, response),
            TOTALS => checker::check_totals(ledger, shards, floor, response),
            _ => checker::check_groups(ledger, shards, floor, MAX_GROUPS, response),
        }
        .map_err(|error| error.to_string())
    }
}

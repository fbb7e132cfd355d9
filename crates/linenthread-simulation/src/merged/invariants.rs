//! Checks the responses that clients receive against the full data.

use linenthread_core::interface::{Completeness, QueryIndex};
use linenthread_fakes::checker::{self, CheckError};
use serde_json::Value;

use super::client::Client;
use super::invariant::{Invariant, Violation};
use super::open_query::OpenQuery;
use super::plans::{MAX_GROUPS, ROWS, TOTALS};
use super::statistics::is_complete;
use super::world::{UNIX_SECONDS, World};

impl World<'_> {
    /// Checks the response to a query against the full data. `completeness` is the decision module's classification.
    pub(super) fn check_response(&mut self, query: QueryIndex, completeness: Completeness) {
        let Some(open_query) = self.open_queries.get(&query) else {
            return;
        };
        let body = open_query
            .merger
            .response(completeness, Some(&self.signer), UNIX_SECONDS);
        let response: Value = serde_json::from_slice(&body).unwrap_or_default();
        self.statistics.count(&response);
        let client = &mut self.clients[open_query.client];
        let result = client
            .check(&response, self.options.floor, open_query.page_size)
            .map_err(|error| {
                Violation::new(Invariant::MatchesFullData, format!("{error}\n  {response}"))
            })
            .and_then(|()| open_query.check_completeness(&response, completeness));
        if let Err(violation) = result {
            client.cursor = None;
            self.report_violation(query, &violation);
        }
    }
}

impl OpenQuery<'_> {
    /// Checks that a partial response is marked as partial, and that no more rows are retained than a page has.
    fn check_completeness(
        &self,
        response: &Value,
        completeness: Completeness,
    ) -> Result<(), Violation> {
        if is_complete(response) && completeness != Completeness::Complete {
            return Err(Violation::new(
                Invariant::PartialIsMarked,
                format!("complete though the decision module says partial\n  {response}"),
            ));
        }
        if self.merger.retained_rows() > self.page_size {
            return Err(Violation::new(
                Invariant::BoundedRows,
                format!("more rows are retained than a page has\n  {response}"),
            ));
        }
        Ok(())
    }
}

impl Client {
    /// Checks a response and stores its cursor for the next page. At the end of the rows, checks whether the pages
    /// contained all of them.
    fn check(&mut self, response: &Value, floor: f64, page_size: usize) -> Result<(), CheckError> {
        let checked = self.check_body(response, floor, page_size);
        self.cursor = response["next"].as_str().map(str::to_owned);
        let has_ended = self.plan == ROWS && self.cursor.is_none();
        let ended = if has_ended {
            self.reading.check_end(&self.rows, &self.added)
        } else {
            Ok(())
        };
        checked.and(ended)
    }

    /// Checks the contents of a response according to the kind of its index.
    fn check_body(
        &mut self,
        response: &Value,
        floor: f64,
        page_size: usize,
    ) -> Result<(), CheckError> {
        let Client {
            rows,
            shards,
            reading,
            ..
        } = self;
        match self.plan {
            ROWS => reading.check_page(rows, shards, floor, page_size, response),
            TOTALS => checker::check_totals(rows, shards, floor, response),
            _ => checker::check_groups(rows, shards, floor, MAX_GROUPS, response),
        }
    }
}

//! The three indexes of the simulation, one for each kind of aggregation.

use linenthread_core::interface::{Idempotency, IndexConfig, TenthMillis};
use linenthread_merge::{
    Aggregation, FieldType, GroupOrder, GroupPlan, Measure, Plan, RowPlan, SortField, Statistic,
};

/// The position in [`all`] of the index that returns rows.
pub(super) const ROWS: usize = 0;
/// The position in [`all`] of the index that returns totals.
pub(super) const TOTALS: usize = 1;
/// The position in [`all`] of the index that returns groups.
pub(super) const GROUPS: usize = 2;
/// The maximum number of groups in a response.
pub(super) const MAX_GROUPS: usize = 3;
/// The soft deadline of queries, in tenths of a millisecond.
const SOFT_DEADLINE: TenthMillis = 4_000;
/// The share from which the decision module treats totals as complete. The response must not say that it is complete.
const TOTALS_COMPLETE_SHARE: f64 = 0.8;

/// Returns the plans, in the order of [`index_configs`].
pub(super) fn all() -> Vec<Plan> {
    let plan = |index: &str, aggregation| Plan {
        index: index.into(),
        aggregation,
    };
    vec![
        plan("history", Aggregation::Rows(rows())),
        plan("pledges", Aggregation::Totals(totals())),
        plan("charities", Aggregation::Groups(groups())),
    ]
}

fn rows() -> RowPlan {
    let descending = |field: &str, field_type| SortField {
        field: field.into(),
        field_type,
        descending: true,
    };
    RowPlan {
        order: vec![
            descending("date", FieldType::Text),
            descending("amount", FieldType::Decimal(2)),
        ],
        identity: "id".into(),
        distinct: None,
        page_size: 5,
        max_page_size: 100,
        paginated: true,
    }
}

fn totals() -> Vec<Measure> {
    measures(&[
        Statistic::Sum,
        Statistic::Count,
        Statistic::Min,
        Statistic::Max,
        Statistic::Mean,
    ])
}

fn groups() -> GroupPlan {
    GroupPlan {
        measures: measures(&[Statistic::Sum, Statistic::Count]),
        max_groups: MAX_GROUPS,
        order: GroupOrder::Largest,
        max_retained: 100,
    }
}

fn measures(statistics: &[Statistic]) -> Vec<Measure> {
    vec![Measure {
        field: "amount".into(),
        scale: 2,
        never_negative: true,
        statistics: statistics.to_vec(),
    }]
}

/// Returns the decision module's configuration of the indexes, in the order of the plans.
pub(super) fn index_configs(min_share: f64) -> Vec<IndexConfig> {
    let config = |complete_share| IndexConfig {
        idempotency: Idempotency::Idempotent,
        soft_deadline: SOFT_DEADLINE,
        value: 1.0,
        late_value_share: 0.1,
        complete_share,
        min_share,
        partial_value: 0.9,
        fetch_sub_requests: 0,
    };
    vec![
        config(1.0),
        config(min_share.max(TOTALS_COMPLETE_SHARE)),
        config(1.0),
    ]
}

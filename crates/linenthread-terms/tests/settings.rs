//! Decoding of settings into the configuration of decisions.

use linenthread_core::interface::{
    CoordinatorConfig, Idempotency, IndexConfig, Permissions, RetryBudget, ShardLayout, SlowStart,
    ValueGrowth,
};
use linenthread_terms::coordinator_config;
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "me": 1, "balancers": 3, "membership-mode": "pushed", "over-share-worth": 0.2, "kinds": ["x"],
        "classes": [{"name": "a", "idempotency": "keyed", "window-ms": 700.0, "promise-ms": 900.0, "worth": 2.0,
                     "late-share": 0.3}],
        "accounts": [{"name": "c", "quota-rps": 7.5}],
        "family-info": {"cells": 6, "in-a-row": 2, "ranges": 12, "parts-a-call": 1, "need-by-class": [1.0],
                        "floor-by-class": [0.8], "incomplete-worth": [0.7], "fetch-parts": [0]},
        "allowed": {"max-attempts": 3, "second-copies": true, "cancel": true, "probes": true, "retry-after": true,
                    "max-retry-after-ms": 400.0, "streams-per-conn": 9, "connect-timeout-ms": 80.0,
                    "conn-idle-ms": 5000.0},
        "safety": {"cold-share": 0.3, "warm-up-ms": 6000.0, "fall-multiple": 2.5, "tip-after-ms": 800.0,
                   "drain-grace-ms": 600.0, "free-resends": 4, "repeat-ratio": 0.1, "budget-span-ms": 3000.0},
        "telemetry": {"names": ["util", "queue"], "source": "probe"}
    })
}

#[test]
fn all_settings_are_decoded_and_telemetry_is_optional() {
    let expected = CoordinatorConfig {
        coordinator_number: 1,
        coordinator_count: 3,
        indexes: vec![IndexConfig {
            idempotency: Idempotency::Deduplicated(7_000),
            soft_deadline: 9_000,
            value: 2.0,
            late_value_share: 0.3,
            complete_share: 1.0,
            min_share: 0.8,
            partial_value: 0.7,
            fetch_sub_requests: 0,
        }],
        customer_quotas: vec![7.5],
        over_quota_value: 0.2,
        value_growth: ValueGrowth::Constant,
        layout: ShardLayout {
            replica_groups: 6,
            replication_factor: 2,
        },
        permissions: Permissions {
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            health_probes: true,
            max_retry_after: Some(4_000),
        },
        slow_start: SlowStart {
            initial_share: 0.3,
            duration: 60_000,
            budget_multiple: 2.5,
            window: 8_000,
        },
        reports_queue_depth: true,
        bounded_queues: false,
        drain_grace: 6_000,
        retry_budget: Some(RetryBudget {
            reserve: 4.0,
            ratio: 0.1,
            window: 30_000,
        }),
        watch_membership: false,
    };
    assert_eq!(coordinator_config(&settings()).unwrap(), expected);
    // Older settings do not mention load reports; replicas are then assumed to report their queue.
    let mut without_telemetry = settings();
    without_telemetry
        .as_object_mut()
        .unwrap()
        .remove("telemetry");
    assert_eq!(coordinator_config(&without_telemetry).unwrap(), expected);
}

#[test]
fn load_reports_are_decoded_and_unknown_choices_rejected() {
    let with = |telemetry: Value| {
        let mut changed = settings();
        changed["telemetry"] = telemetry;
        coordinator_config(&changed).map(|config| config.reports_queue_depth)
    };
    assert!(!with(json!({"names": [], "source": "none"})).unwrap());
    assert!(!with(json!({"names": ["util"], "source": "answers"})).unwrap());
    for (field, invalid) in [
        (
            "telemetry.source",
            json!({"names": [], "source": "perhaps"}),
        ),
        ("telemetry.source", json!({"names": []})),
        ("telemetry.names", json!({"names": [1], "source": "none"})),
    ] {
        let message = with(invalid).unwrap_err().to_string();
        assert!(
            message.contains(field) && message.lines().count() == 1,
            "{message}"
        );
    }
}

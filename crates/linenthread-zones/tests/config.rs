//! Configurations of failover that cannot be right are rejected.

use linenthread_zones::{ConfigError, FailoverConfig, FailoverController, MAX_ZONES, ZoneIndex};

fn config() -> FailoverConfig {
    FailoverConfig {
        capacity_margin: 0.8,
        ejection_time: 50_000,
        max_ejection_time: 600_000,
        return_step: 30_000,
    }
}

#[test]
fn margins_and_times_that_cannot_be_are_rejected() {
    assert_eq!(config().validate(), Ok(()));
    for capacity_margin in [0.0, -0.1, 1.1, f64::INFINITY] {
        let wrong = FailoverConfig {
            capacity_margin,
            ..config()
        };
        let margin = capacity_margin;
        assert_eq!(
            wrong.validate(),
            Err(ConfigError::CapacityMargin { margin })
        );
    }
    let unknown = FailoverConfig {
        capacity_margin: f64::NAN,
        ..config()
    };
    assert!(unknown.validate().is_err());
    let no_hold = FailoverConfig {
        ejection_time: 0,
        ..config()
    };
    assert_eq!(no_hold.validate(), Err(ConfigError::NoDuration));
    let no_step = FailoverConfig {
        return_step: 0,
        ..config()
    };
    assert_eq!(no_step.validate(), Err(ConfigError::NoDuration));
    let short = FailoverConfig {
        max_ejection_time: 49_999,
        ..config()
    };
    assert_eq!(short.validate(), Err(ConfigError::MaxEjectionTooShort));
    assert!(FailoverController::new(short, Vec::new(), None, 0).is_err());
}

#[test]
fn a_zone_index_is_below_the_limit() {
    let last = ZoneIndex::new(MAX_ZONES - 1).map(ZoneIndex::position);
    assert_eq!(last, Some(MAX_ZONES - 1));
    assert_eq!(ZoneIndex::new(MAX_ZONES), None);
    assert_eq!(ZoneIndex::new(256), None);
    let shown = format!("{:?}", ZoneIndex::new(3));
    assert_eq!(shown, "Some(3)");
}

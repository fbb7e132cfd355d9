//! Validation of the failover configuration, and limits of zone indices.

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
fn invalid_margins_and_durations_are_rejected() {
    assert_eq!(config().validate(), Ok(()));
    for capacity_margin in [0.0, -0.1, 1.1, f64::INFINITY] {
        let invalid = FailoverConfig {
            capacity_margin,
            ..config()
        };
        let margin = capacity_margin;
        assert_eq!(
            invalid.validate(),
            Err(ConfigError::CapacityMargin { margin })
        );
    }
    let not_a_number = FailoverConfig {
        capacity_margin: f64::NAN,
        ..config()
    };
    assert!(not_a_number.validate().is_err());
    let no_ejection = FailoverConfig {
        ejection_time: 0,
        ..config()
    };
    assert_eq!(no_ejection.validate(), Err(ConfigError::NoDuration));
    let no_step = FailoverConfig {
        return_step: 0,
        ..config()
    };
    assert_eq!(no_step.validate(), Err(ConfigError::NoDuration));
    let short_max_ejection = FailoverConfig {
        max_ejection_time: 49_999,
        ..config()
    };
    assert_eq!(
        short_max_ejection.validate(),
        Err(ConfigError::MaxEjectionTooShort)
    );
    assert!(FailoverController::new(short_max_ejection, Vec::new(), None, 0).is_err());
}

#[test]
fn zone_indices_are_below_the_maximum_number_of_zones() {
    let last = ZoneIndex::new(MAX_ZONES - 1).map(ZoneIndex::position);
    assert_eq!(last, Some(MAX_ZONES - 1));
    assert_eq!(ZoneIndex::new(MAX_ZONES), None);
    assert_eq!(ZoneIndex::new(256), None);
    let shown = format!("{:?}", ZoneIndex::new(3));
    assert_eq!(shown, "Some(3)");
}

//! Hollow nodes: what control costs by size, and whether the tables of a run add up.

use std::time::Duration;

use linenthread_config::Configuration;
use linenthread_hollow::{
    CSV_HEADER, FitError, Loss, Point, Role, Scale, document, fit_csv, fit_power, lose_leader,
    measure,
};
use yare::parameterized;

fn small(seed: u64) -> Scale {
    Scale {
        ingress_nodes: 12,
        replicas: 60,
        seconds: 2,
        seed,
        document_bytes: 3_000,
        storm: 4,
        ..Scale::default()
    }
}

#[test]
fn a_seed_gives_the_same_messages_and_bytes_and_another_seed_others() {
    let (one, again, other) = (measure(&small(1)), measure(&small(1)), measure(&small(2)));
    assert_eq!(one.traffic(), again.traffic());
    assert_ne!(one.traffic(), other.traffic());
    assert_eq!(one.in_force.last_ms, again.in_force.last_ms);
    assert_eq!(one.snapshot.bytes, again.snapshot.bytes);
}

#[parameterized(
    three_nodes = { 3, 3 },
    five_voters_of_nine = { 9, 5 },
)]
fn a_change_is_acknowledged_and_in_force_at_all_ingress_nodes(control: usize, voters: usize) {
    let scale = Scale {
        control,
        voters,
        changes: 2,
        ..small(3)
    };
    let measured = measure(&scale);
    assert_eq!(measured.acknowledged.count, 2);
    assert_eq!(measured.ingress_in_force, scale.ingress_nodes);
    assert_eq!(measured.in_force.count, 2 * scale.ingress_nodes as u64);
    assert_eq!(measured.voters_at_end, voters);
    assert!(
        measured
            .table_sizes
            .iter()
            .all(|size| *size == scale.replicas),
        "{:?}",
        measured.table_sizes
    );
}

#[test]
fn what_one_side_sends_the_other_receives() {
    let measured = measure(&Scale {
        changes: 0,
        restarts: 0,
        ..small(4)
    });
    let row = |role| measured.row(role).expect("is measured");
    let (ingress, replica, voter) = (row(Role::Ingress), row(Role::Replica), row(Role::Voter));
    let sum = |messages: f64, machines: usize| messages * machines as f64;
    // Control nodes exchange messages with ingress nodes, replicas and each other.
    let sent =
        sum(ingress.messages_out, 12) + sum(replica.messages_out, 60) + sum(voter.messages_out, 3);
    let received =
        sum(ingress.messages_in, 12) + sum(replica.messages_in, 60) + sum(voter.messages_in, 3);
    // A few are on their way where the measured time begins and ends.
    assert!(
        (sent - received).abs() < 0.05 * sent,
        "{sent} messages a second are sent, {received} received"
    );
}

#[parameterized(
    process_killed = { Loss::Killed },
    machine_dark = { Loss::Dark },
)]
fn the_loss_of_the_leader_does_not_delay_an_acknowledgement(loss: Loss) {
    let scale = Scale {
        ingress_nodes: 6,
        replicas: 20,
        document_bytes: 2_000,
        ..Scale::default()
    };
    let timeline = lose_leader(&scale, loss);
    // Far less than any time-out or lease: five ways between regions and two syncs.
    let first = timeline
        .first_acknowledgement
        .expect("a survivor acknowledges");
    assert!(
        first < Duration::from_millis(500),
        "{first:?}: {:?}",
        timeline.steps
    );
    let leader = timeline.next_leader.expect("another leads");
    assert!(
        (500..4_000).contains(&leader.as_millis()),
        "{leader:?}: {:?}",
        timeline.steps
    );
}

#[test]
fn a_configuration_is_valid_and_about_as_long_as_requested() {
    for bytes in [1_000, 60_000, 200_000] {
        let made = document(7, bytes);
        assert_eq!(
            Configuration::parse(&made).expect("it is valid").revision,
            7
        );
        assert!(
            made.len() >= bytes && made.len() < bytes + 1_000,
            "{} for {bytes}",
            made.len()
        );
    }
}

#[parameterized(
    flat = { 0.0, 7.0 },
    linear = { 1.0, 0.25 },
    square_root = { 0.5, 3.0 },
    quadratic = { 2.0, 1e-6 },
)]
fn a_known_power_is_found_again(exponent: f64, factor: f64) {
    let sizes = [30.0, 100.0, 300.0, 1_000.0, 7_800.0];
    let points: Vec<Point> = sizes
        .into_iter()
        .map(|size: f64| Point {
            size,
            value: factor * size.powf(exponent),
        })
        .collect();
    let fitted = fit_power(&points).expect("five sizes");
    assert!((fitted.exponent - exponent).abs() < 1e-9, "{fitted:?}");
    assert!((fitted.factor / factor - 1.0).abs() < 1e-9, "{fitted:?}");
    assert!(
        fitted.worst_ratio < 1.0 + 1e-9 && fitted.points == 5,
        "{fitted:?}"
    );
    assert!((fitted.at(50.0) / (factor * 50f64.powf(exponent)) - 1.0).abs() < 1e-9);
}

#[test]
fn one_size_gives_no_power() {
    let point = |size, value| Point { size, value };
    assert_eq!(fit_power(&[point(30.0, 1.0), point(30.0, 2.0)]), None);
    assert_eq!(fit_power(&[point(30.0, 1.0), point(300.0, 0.0)]), None);
}

#[test]
fn a_file_is_fitted_by_role_and_column() {
    let text = "fronts,role,a,b\n10,x,1,5\n100,x,10,5\n10,y,2,0\nfronts,role,a,b\n100,y,200,0\n";
    let fitted = fit_csv(text, "fronts").expect("the file is good");
    let found: Vec<(&str, &str, f64)> = fitted
        .iter()
        .map(|fit| {
            (
                fit.role.as_str(),
                fit.column.as_str(),
                fit.power.exponent.round(),
            )
        })
        .collect();
    assert_eq!(found, [("x", "a", 1.0), ("x", "b", 0.0), ("y", "a", 2.0)]);
    assert!(matches!(
        fit_csv(text, "replicas"),
        Err(FitError::NoColumn { .. })
    ));
    assert!(matches!(
        fit_csv("role,fronts\nx\n", "fronts"),
        Err(FitError::BadLine { line: 2 })
    ));
    assert!(matches!(fit_csv("", "fronts"), Err(FitError::NoHeader)));
}

#[test]
fn lines_of_csv_have_the_fields_of_the_header() {
    let measured = measure(&small(5));
    let many = CSV_HEADER.split(',').count();
    assert!(
        measured
            .csv()
            .lines()
            .all(|line| line.split(',').count() == many)
    );
}

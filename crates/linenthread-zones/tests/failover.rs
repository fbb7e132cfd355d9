//! Examples of failovers, evaluation by evaluation; the simulation of zones checks the same under random faults.

use linenthread_zones::{
    ALL_KEYS, Demand, EVALUATION_INTERVAL, FailoverConfig, FailoverController, Placement, Reason,
    Report, Route, RouteStats, RoutingTable, Topology, Zone, ZoneIndex, ZonePair,
};

const ZONES: usize = 3;
/// Coordinators in each zone.
const COORDINATORS: u32 = 3;
const EJECTION_TIME: i64 = 5 * EVALUATION_INTERVAL;
const RETURN_STEP: i64 = 2 * EVALUATION_INTERVAL;

fn topology() -> Topology {
    let zone = |name: &str| Zone {
        name: name.to_owned(),
        region: "sicily".to_owned(),
        replica_capacity: None,
    };
    Topology {
        zones: ["catania", "messina", "palermo"].map(zone).to_vec(),
        replicas: vec![4; ZONES],
        placements: vec![Placement {
            replicas: vec![4; ZONES],
            share: 1.0,
        }],
    }
}

fn controller(former: Option<&RoutingTable>, now: i64) -> FailoverController {
    let config = FailoverConfig {
        capacity_margin: 0.8,
        ejection_time: EJECTION_TIME,
        max_ejection_time: 10 * EJECTION_TIME,
        return_step: RETURN_STEP,
    };
    let controller = FailoverController::new(config, topology().zones, former, now);
    controller.expect("a valid configuration")
}

/// Returns the report of all coordinators while sub-requests fail on exactly the routes that `fails` selects.
fn report(fails: impl Fn(usize, usize) -> bool) -> Report {
    let zone = |position| ZoneIndex::new(position).expect("few zones");
    let mut report = Report::default();
    for from in 0..ZONES {
        let demand = Demand {
            observers: COORDINATORS,
            sub_requests: 300,
        };
        report.demand.insert(zone(from), demand);
        for to in 0..ZONES {
            let is_down = fails(from, to);
            let route = ZonePair {
                from: zone(from),
                to: zone(to),
            };
            let stats = RouteStats {
                observers: COORDINATORS,
                down: if is_down { COORDINATORS } else { 0 },
                slow: 0,
                completed: 100,
                succeeded: if is_down { 0 } else { 100 },
                latency_sum_ms: if is_down { 0 } else { 1_000 },
            };
            report.routes.insert(route, stats);
        }
    }
    report
}

/// Returns the report of the other zones while one is lost: its own coordinators report nothing.
fn report_without(lost: usize) -> Report {
    let mut report = report(|_, to| to == lost);
    report.demand.retain(|zone, _| zone.position() != lost);
    report
        .routes
        .retain(|route, _| route.from.position() != lost);
    report
}

/// Runs consecutive evaluations with the same report, and returns the tables with the time of each.
fn run(
    controller: &mut FailoverController,
    report: &Report,
    evaluations: i64,
) -> Vec<(i64, RoutingTable)> {
    let mut tables = Vec::new();
    for _ in 0..evaluations {
        let now = controller.wake_at();
        controller.add_report(report);
        if let Some(table) = controller.decide(now, 0, &topology()) {
            tables.push((now, table));
        }
    }
    tables
}

fn all_routes_to(table: &RoutingTable, to: usize) -> Vec<Route> {
    table.rows.iter().map(|row| row.routes[to]).collect()
}

#[test]
fn nothing_is_decided_while_all_is_healthy() {
    let mut controller = controller(None, 0);
    let tables = run(&mut controller, &report(|_, _| false), 20);
    assert_eq!(tables, []);
}

#[test]
fn a_zone_that_is_down_is_ejected_after_two_evaluations_and_returns_step_by_step() {
    let mut controller = controller(None, 0);
    let tables = run(&mut controller, &report_without(2), 3);
    let [(ejected_at, table)] = &tables[..] else {
        panic!("one table: {tables:?}");
    };
    assert_eq!(*ejected_at, 2 * EVALUATION_INTERVAL);
    let closed = Route::closed(Reason::ZoneDown);
    assert_eq!(all_routes_to(table, 2), [closed; ZONES]);
    assert_eq!(all_routes_to(table, 0), [Route::OPEN; ZONES]);
    let tables = run(&mut controller, &report(|_, _| false), 20);
    let opened: Vec<(i64, u16)> = tables
        .iter()
        .map(|(now, table)| (now - ejected_at, table.rows[0].routes[2].share))
        .collect();
    assert_eq!(
        opened,
        [
            (EJECTION_TIME, 50),
            (EJECTION_TIME + RETURN_STEP, 150),
            (EJECTION_TIME + 2 * RETURN_STEP, 400),
            (EJECTION_TIME + 3 * RETURN_STEP, ALL_KEYS),
        ]
    );
}

#[test]
fn a_partition_between_two_zones_closes_only_the_routes_between_them() {
    let mut controller = controller(None, 0);
    let partitioned = report(|from, to| (from, to) == (0, 2) || (from, to) == (2, 0));
    let tables = run(&mut controller, &partitioned, 3);
    let [(_, table)] = &tables[..] else {
        panic!("one table: {tables:?}");
    };
    let closed = Route::closed(Reason::Partitioned);
    assert_eq!(all_routes_to(table, 2), [closed, Route::OPEN, Route::OPEN]);
    assert_eq!(all_routes_to(table, 0), [Route::OPEN, Route::OPEN, closed]);
}

/// Returns the report of an interval in which nothing ended on the routes between zones 0 and 2, while the coordinators
/// of both remember that the other zone was down.
fn report_of_remembered_partition() -> Report {
    let between = |from, to| (from, to) == (0, 2) || (from, to) == (2, 0);
    let mut report = report(between);
    for (route, stats) in &mut report.routes {
        if between(route.from.position(), route.to.position()) {
            stats.completed = 0;
        }
    }
    report
}

// Guards against a route that closes again right after its return because of failures from before it.
#[test]
fn failures_from_before_a_return_do_not_end_it() {
    let mut controller = controller(None, 0);
    let partitioned = report(|from, to| (from, to) == (0, 2) || (from, to) == (2, 0));
    run(&mut controller, &partitioned, 2);
    let until_return = EJECTION_TIME / EVALUATION_INTERVAL;
    let remembered = report_of_remembered_partition();
    let tables = run(&mut controller, &remembered, until_return + 4);
    let shares: Vec<u16> = tables
        .iter()
        .map(|(_, table)| table.rows[0].routes[2].share)
        .collect();
    assert_eq!(shares, [50], "the return neither ends nor advances");
    let tables = run(&mut controller, &report(|_, _| false), 6);
    let shares: Vec<u16> = tables
        .iter()
        .map(|(_, table)| table.rows[0].routes[2].share)
        .collect();
    assert_eq!(shares, [150, 400, ALL_KEYS], "it advances without them");
}

#[test]
fn a_failure_during_a_return_ends_it() {
    let mut controller = controller(None, 0);
    let partitioned = report(|from, to| (from, to) == (0, 2) || (from, to) == (2, 0));
    let until_return = 2 + EJECTION_TIME / EVALUATION_INTERVAL;
    let tables = run(&mut controller, &partitioned, until_return + 1);
    let shares: Vec<u16> = tables
        .iter()
        .map(|(_, table)| table.rows[0].routes[2].share)
        .collect();
    assert_eq!(shares, [0, 50, 0]);
}

#[test]
fn a_new_leader_keeps_the_former_leaders_ejections_for_a_first_ejection() {
    let mut former = controller(None, 0);
    let tables = run(&mut former, &report_without(2), 3);
    let table = tables.last().map(|(_, table)| table);
    let new_leader_at = 10 * EVALUATION_INTERVAL;
    let mut successor = controller(table, new_leader_at);
    let tables = run(&mut successor, &report(|_, _| false), 6);
    let first = tables.first().map(|(now, table)| {
        let route = table.rows[0].routes[2];
        (now - new_leader_at, route.share)
    });
    assert_eq!(
        first,
        Some((EJECTION_TIME, 50)),
        "the first ejection begins again at the new leader"
    );
}

/// Returns a report in which the coordinators of zone 0 find zone 2 down, while those of the other zones had too few
/// sub-requests for an opinion: on each of their routes to zone 2 `completed` ended, of which `succeeded` succeeded.
fn report_of_little_traffic(completed: u32, succeeded: u32) -> Report {
    let mut report = report(|from, to| (from, to) == (0, 2));
    for (route, stats) in &mut report.routes {
        if route.from.position() != 0 && route.to.position() == 2 {
            *stats = RouteStats {
                completed,
                succeeded,
                latency_sum_ms: u64::from(succeeded) * 10,
                ..RouteStats::default()
            };
        }
    }
    report
}

#[test]
fn a_zone_that_only_one_zone_cannot_reach_stays_open_to_others_with_little_traffic() {
    let mut controller = controller(None, 0);
    let tables = run(&mut controller, &report_of_little_traffic(4, 4), 3);
    let [(_, table)] = &tables[..] else {
        panic!("one table: {tables:?}");
    };
    let closed = Route::closed(Reason::Partitioned);
    assert_eq!(all_routes_to(table, 2), [closed, Route::OPEN, Route::OPEN]);
}

#[test]
fn a_zone_at_which_no_sub_request_succeeds_is_ejected_for_all() {
    let mut controller = controller(None, 0);
    let tables = run(&mut controller, &report_of_little_traffic(4, 0), 3);
    let [(_, table)] = &tables[..] else {
        panic!("one table: {tables:?}");
    };
    let closed = Route::closed(Reason::ZoneDown);
    assert_eq!(all_routes_to(table, 2), [closed; ZONES]);
}

#[test]
fn returns_ordered_by_an_operator_do_not_delay_the_return_after_a_fault() {
    let mut controller = controller(None, 0);
    let healthy = report(|_, _| false);
    for _ in 0..3 {
        let now = controller.wake_at();
        controller.set_drained(&["palermo".to_owned()].into(), now);
        run(&mut controller, &healthy, 2);
        let now = controller.wake_at();
        controller.set_drained(&[].into(), now);
        run(&mut controller, &healthy, 12);
        assert_eq!(controller.rows()[0].routes[2], Route::OPEN);
    }
    let tables = run(&mut controller, &report_without(2), 3);
    let ejected_at = tables.first().map(|(now, _)| *now).expect("a table");
    let tables = run(&mut controller, &healthy, 20);
    let (returned_at, table) = tables.last().expect("a table");
    assert_eq!(table.rows[0].routes[2], Route::OPEN);
    assert_eq!(returned_at - ejected_at, EJECTION_TIME + 3 * RETURN_STEP);
}

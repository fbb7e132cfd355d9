//! One failover, one evaluation at a time: what the simulation of zones checks under random faults, as examples.

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

/// What all coordinators observe while requests fail on these routes, and on no other.
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

/// What the others observe while a zone is lost: nothing arrives from there.
fn report_without(lost: usize) -> Report {
    let mut report = report(|_, to| to == lost);
    report.demand.retain(|zone, _| zone.position() != lost);
    report
        .routes
        .retain(|route, _| route.from.position() != lost);
    report
}

/// The tables of consecutive evaluations with the same report, and when each was made.
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
fn a_zone_that_is_down_is_left_after_two_evaluations_and_returns_step_by_step() {
    let mut controller = controller(None, 0);
    let tables = run(&mut controller, &report_without(2), 3);
    let [(left_at, table)] = &tables[..] else {
        panic!("one table: {tables:?}");
    };
    assert_eq!(*left_at, 2 * EVALUATION_INTERVAL);
    let closed = Route::closed(Reason::ZoneDown);
    assert_eq!(all_routes_to(table, 2), [closed; ZONES]);
    assert_eq!(all_routes_to(table, 0), [Route::OPEN; ZONES]);
    let tables = run(&mut controller, &report(|_, _| false), 20);
    let opened: Vec<(i64, u16)> = tables
        .iter()
        .map(|(now, table)| (now - left_at, table.rows[0].routes[2].share))
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
fn a_pair_that_is_partitioned_closes_its_own_routes_only() {
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

#[test]
fn a_new_leader_holds_what_the_former_one_had_left() {
    let mut former = controller(None, 0);
    let tables = run(&mut former, &report_without(2), 3);
    let table = tables.last().map(|(_, table)| table);
    let taken_over_at = 10 * EVALUATION_INTERVAL;
    let mut successor = controller(table, taken_over_at);
    let tables = run(&mut successor, &report(|_, _| false), 6);
    let first = tables.first().map(|(now, table)| {
        let route = table.rows[0].routes[2];
        (now - taken_over_at, route.share)
    });
    assert_eq!(
        first,
        Some((EJECTION_TIME, 50)),
        "it is ejected anew from then on"
    );
}

/// Coordinators of zone 0 find zone 2 down. All others had too few sub-requests for an opinion; of what they sent to
/// zone 2 so many were completed, and so many succeeded.
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
fn a_zone_that_one_zone_does_not_reach_stays_open_for_others_with_little_traffic() {
    let mut controller = controller(None, 0);
    let tables = run(&mut controller, &report_of_little_traffic(4, 4), 3);
    let [(_, table)] = &tables[..] else {
        panic!("one table: {tables:?}");
    };
    let closed = Route::closed(Reason::Partitioned);
    assert_eq!(all_routes_to(table, 2), [closed, Route::OPEN, Route::OPEN]);
}

#[test]
fn a_zone_that_gives_nobody_a_success_is_left_by_all() {
    let mut controller = controller(None, 0);
    let tables = run(&mut controller, &report_of_little_traffic(4, 0), 3);
    let [(_, table)] = &tables[..] else {
        panic!("one table: {tables:?}");
    };
    let closed = Route::closed(Reason::ZoneDown);
    assert_eq!(all_routes_to(table, 2), [closed; ZONES]);
}

#[test]
fn a_return_that_an_operator_orders_does_not_delay_the_return_after_a_fault() {
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
    let left_at = tables.first().map(|(now, _)| *now).expect("a table");
    let tables = run(&mut controller, &healthy, 20);
    let (returned_at, table) = tables.last().expect("a table");
    assert_eq!(table.rows[0].routes[2], Route::OPEN);
    assert_eq!(returned_at - left_at, EJECTION_TIME + 3 * RETURN_STEP);
}

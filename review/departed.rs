//! DRAIN: a departure that was acknowledged is forgotten when all processes of the core are killed.

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::{
    BROKEN, Client, Deployment, HELD, Record, Replica, Role, configuration, tally,
};

const DRAIN_MS: u64 = 3_000;
const CONTACT_MS: u64 = 4_000;
/// How long the processes of the core are down: they are back within a second.
const DOWN: Duration = Duration::from_millis(500);
/// How long after the acknowledgement the processes of the core are killed.
const KILL_AFTER_ACK: Duration = Duration::from_millis(300);

pub fn run(record: &Record, trouble: bool) -> Result<i32, String> {
    let mut deployment = Deployment::new(record, 3, 3)?;
    deployment.start_all()?;
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let control = deployment.control_addresses();
    let mut replicas = Vec::new();
    for number in 1..=4 {
        let zone = format!("zone-{}", 1 + (number - 1) % 3);
        let ident = format!("i-desk-{number}");
        let work = Duration::from_millis(5);
        let replica = Replica::start(record, &arrivals, &ident, "desk", &zone, work)?;
        replica.beat(control.clone());
        replicas.push(replica);
    }
    deployment.configure(&configuration(1, "idempotent", 2))?;
    // Until all replicas are known.
    sleep(Duration::from_secs(2));
    let mut clients = Vec::new();
    for (front, address) in deployment.ingress_addresses().into_iter().enumerate() {
        for number in 0..4 {
            let name = format!("c{front}-{number}");
            clients.push(Client::start(record, address, &name, Duration::from_millis(40)));
        }
    }
    // A calm time, longer than `contact_ms`.
    sleep(Duration::from_secs(7));

    // A release: a new replica starts first, then the old one leaves. It never says `draining`: it sends its departure
    // first, and serves on for many seconds.
    let work = Duration::from_millis(5);
    let new = Replica::start(record, &arrivals, "i-desk-5", "desk", "zone-1", work)?;
    new.beat(control.clone());
    sleep(Duration::from_millis(300));
    let leaving = &replicas[0];
    leaving.stop_beating();
    let (left_ms, taker) = leaving
        .depart(&control)
        .ok_or("the departure is not acknowledged in a calm time")?;
    record.say(format!("acknowledged at {left_ms} by {taker}"));

    let cores = deployment.names(Role::Core);
    let mut back_ms = left_ms;
    if trouble {
        sleep(KILL_AFTER_ACK);
        for name in &cores {
            deployment.kill(name);
        }
        for name in &cores {
            deployment.reap(name);
        }
        record.say("all processes of the core are killed");
        sleep(DOWN);
        for name in &cores {
            deployment.start(name)?;
        }
        back_ms = record.ms();
        record.say("all processes of the core are started again");
    }
    sleep(Duration::from_secs(14));
    leaving.end();
    sleep(Duration::from_millis(300));
    let answered: Vec<_> = clients.into_iter().flat_map(Client::stop).collect();
    record.say(format!("answers to clients: {:?}", tally(&answered)));
    for name in deployment.names(Role::Ingress) {
        if deployment.has_ended(&name) {
            return Err(format!("{name} ended by itself"));
        }
    }

    // DRAIN: taken and sent on by machines in touch. The ingress machines ran without any disturbance; the core is
    // settled `contact_ms` after the last start of one of its processes.
    let in_touch_ms = if trouble { back_ms + CONTACT_MS } else { 0 };
    let arrivals = arrivals.lock().unwrap();
    let to_leaving: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.run && arrival.replica == leaving.ident)
        .collect();
    let before = to_leaving.iter().filter(|a| a.at_ms <= left_ms).count();
    let within = to_leaving
        .iter()
        .filter(|a| a.at_ms > left_ms && a.at_ms <= left_ms + DRAIN_MS)
        .count();
    let after = to_leaving.iter().filter(|a| a.at_ms > left_ms + DRAIN_MS).count();
    let sent_ms = |id: &str| {
        let found = answered.iter().find(|answer| answer.id == id);
        found.map_or(0, |answer| answer.sent_ms)
    };
    let late: Vec<_> = to_leaving
        .iter()
        .filter(|a| a.at_ms > left_ms + DRAIN_MS && sent_ms(&a.id) >= in_touch_ms)
        .collect();
    record.say(format!(
        "requests that {} ran: {before} before the acknowledgement, {within} in the {DRAIN_MS} ms after it, {after} later",
        leaving.ident
    ));
    record.say(format!(
        "of those later, {} were sent by clients when all machines were in touch again (from {in_touch_ms} on)",
        late.len()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(format!(
            "the first ran {} ms after the acknowledgement, the last {} ms",
            first.at_ms - left_ms,
            last.at_ms - left_ms
        ));
    }
    if before == 0 {
        return Err("the leaving replica got no request before it left".into());
    }
    deployment.record_logs(60);
    if late.is_empty() {
        record.say("DRAIN held");
        Ok(HELD)
    } else {
        record.say("DRAIN is broken");
        Ok(BROKEN)
    }
}

//! DRAIN: a departure is acknowledged by a co-ordinator that does not know the replica, and is not recorded. The
//! replica's first heartbeat, which comes late, then adds the replica.

use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::{BROKEN, Client, Connection, Deployment, HELD, Record, Replica, Role, configuration, tally};

const DRAIN_MS: u64 = 3_000;
/// How late the first heartbeat is.
const LATE: Duration = Duration::from_secs(3);
/// How long after its start the replica leaves: before the call of its first heartbeat has failed (1 s).
const LEAVES_AFTER: Duration = Duration::from_millis(800);
/// How long the replica serves on after its departure: `drain_ms` and many seconds more.
const SERVES_ON: Duration = Duration::from_secs(12);

pub fn run(record: &Record, trouble: bool) -> Result<i32, String> {
    let mut deployment = Deployment::new(record, 3, 2)?;
    deployment.start_all()?;
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let control = deployment.control_addresses();
    let work = Duration::from_millis(5);
    for number in 1..=3 {
        let (ident, zone) = (format!("i-desk-{number}"), format!("zone-{number}"));
        Replica::start(record, &arrivals, &ident, "desk", &zone, work)?.beat(control.clone());
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
    // A calm time, longer than `contact_ms`. Nothing disturbs a machine before it or after.
    sleep(Duration::from_secs(6));

    let leaving = Replica::start(record, &arrivals, "i-desk-4", "desk", "zone-1", work)?;
    let beat = {
        let (record, address, ident) = (record.clone(), control[0], leaving.ident.clone());
        let body = leaving.heartbeat("available");
        spawn(move || {
            // On its way for this long.
            sleep(if trouble { LATE } else { Duration::ZERO });
            let text = format!(
                "POST /Replicas.Heartbeat/{ident} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            let Ok(mut connection) = Connection::connect(address, Duration::from_secs(1)) else {
                return;
            };
            let _ = connection.write(text.as_bytes());
            let answer = connection.read_message(Instant::now() + Duration::from_secs(1));
            let status = answer.map_or(0, |answer| answer.status());
            record.say(format!("the first heartbeat of {ident} arrives at {address}: {status}"));
        })
    };
    sleep(LEAVES_AFTER);
    // It never says `draining`: it sends its departure first, and serves on.
    let (left_ms, taker) = leaving
        .depart(&control[1..])
        .ok_or("the departure is not acknowledged in a calm time")?;
    record.say(format!("acknowledged at {left_ms} by {taker}"));
    sleep(SERVES_ON);
    leaving.end();
    let _ = beat.join();
    let answered: Vec<_> = clients.into_iter().flat_map(Client::stop).collect();
    record.say(format!("answers to clients: {:?}", tally(&answered)));
    for name in deployment.names(Role::Ingress).into_iter().chain(deployment.names(Role::Core)) {
        if deployment.has_ended(&name) {
            return Err(format!("{name} ended by itself"));
        }
    }

    let arrivals = arrivals.lock().unwrap();
    let after: Vec<u64> = arrivals
        .iter()
        .filter(|arrival| arrival.run && arrival.replica == leaving.ident && arrival.at_ms > left_ms)
        .map(|arrival| arrival.at_ms - left_ms)
        .collect();
    let late: Vec<u64> = after.iter().copied().filter(|ms| *ms > DRAIN_MS).collect();
    record.say(format!(
        "requests that {} ran after the acknowledgement of its departure: {}, of these {} later than {DRAIN_MS} ms after it",
        leaving.ident,
        after.len(),
        late.len()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(format!("the first of these {first} ms after it, the last {last} ms"));
    }
    deployment.record_logs(40);
    record.say(if late.is_empty() { "DRAIN held" } else { "DRAIN is broken" });
    Ok(if late.is_empty() { HELD } else { BROKEN })
}

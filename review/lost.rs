//! LOST: requests that wait at an ingress machine for a further try are cut without an answer when it ends by SIGTERM.
//!
//! Replicas turn requests away while they are full (`X-Not-Executed`). An order that was turned away, and for whose
//! further try there is no retry budget, waits at the ingress machine. The platform sends that machine SIGTERM.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::{BROKEN, Connection, Deployment, HELD, ReadError, Record, call, configuration, mix, register};

const GRACE_MS: u64 = 6_000;
const LOSS_SLACK_MS: u64 = 200;
/// `limit_ms` of the route, and the time that clients wait.
const LIMIT_MS: u64 = 6_000;
/// Orders a second, for both ingress machines together. The replicas run 3 x 2.5 a second.
const RATE: u64 = 30;
const WORK: Duration = Duration::from_millis(400);
/// Requests that a replica works on or queues at once; it works on one at a time.
const ROOM: usize = 3;

/// What the replicas did with an order.
#[derive(Clone, Default)]
struct Seen {
    turned_away: usize,
    run: usize,
    /// How often it is or was in a replica's queue.
    queued: usize,
}

type Log = Arc<Mutex<BTreeMap<String, Seen>>>;

struct Replica {
    ident: String,
    log: Log,
    record: Record,
    busy: AtomicUsize,
    slot: Mutex<()>,
}

impl Replica {
    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_message(Instant::now() + Duration::from_secs(30)) {
            let arrived = Instant::now();
            let id = request.header("x-attempt-id").unwrap_or("").to_owned();
            let remaining = request.header("x-remaining-ms").and_then(|ms| ms.parse().ok());
            let remaining = Duration::from_millis(remaining.unwrap_or(LIMIT_MS));
            let is_other = request.header("x-target-replica").is_some_and(|target| target != self.ident);
            let answer = if is_other {
                self.turn_away(&id, "421 Misdirected Request")
            } else if self.busy.fetch_add(1, Ordering::SeqCst) >= ROOM {
                self.busy.fetch_sub(1, Ordering::SeqCst);
                self.turn_away(&id, "503 Service Unavailable")
            } else {
                self.note(&id, |seen| seen.queued += 1);
                let turn = self.slot.lock().unwrap();
                let answer = if arrived.elapsed() >= remaining {
                    self.turn_away(&id, "503 Service Unavailable")
                } else {
                    self.run(&id)
                };
                drop(turn);
                self.busy.fetch_sub(1, Ordering::SeqCst);
                answer
            };
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn turn_away(&self, id: &str, status: &str) -> String {
        self.note(id, |seen| seen.turned_away += 1);
        let ident = &self.ident;
        self.record.line(format!("{ident} turns away id {id}"));
        format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nX-Replica-Id: {ident}\r\nContent-Length: 0\r\n\r\n")
    }

    fn run(&self, id: &str) -> String {
        self.note(id, |seen| seen.run += 1);
        let ident = &self.ident;
        self.record.line(format!("{ident} runs id {id}"));
        sleep(WORK);
        let body = format!("{ident} answers {id}");
        format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: {ident}.{id}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }

    fn note(&self, id: &str, change: impl FnOnce(&mut Seen)) {
        change(self.log.lock().unwrap().entry(id.to_owned()).or_default());
    }
}

fn start_replica(record: &Record, log: &Log, number: usize, control: Vec<SocketAddr>) -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let replica = Arc::new(Replica {
        ident: format!("i-desk-{number}"),
        log: log.clone(),
        record: record.clone(),
        busy: AtomicUsize::new(0),
        slot: Mutex::new(()),
    });
    register(&replica.ident, "desk", &format!("zone-{number}"), address, control);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let replica = replica.clone();
            spawn(move || replica.serve(Connection::new(stream)));
        }
    });
    Ok(())
}

/// An order of a client, on a connection of its own.
struct Order {
    id: String,
    front: usize,
    /// When its last byte was sent.
    sent_ms: u64,
    ended_ms: u64,
    outcome: String,
}

const CUT: &str = "the connection ends without an answer";

fn order(record: &Record, front: usize, ingress: SocketAddr, id: String) -> Order {
    let mut sent_ms = record.ms();
    let result = (|| {
        let connected = Connection::connect(ingress, Duration::from_secs(1));
        let mut connection = connected.map_err(|error| format!("no connection: {error}"))?;
        let text = format!("POST /shop/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Remaining-Ms: {LIMIT_MS}\r\nContent-Length: 5\r\n\r\norder");
        connection.write(text.as_bytes()).map_err(|error| format!("not sent: {error}"))?;
        sent_ms = record.ms();
        match connection.read_message(Instant::now() + Duration::from_millis(LIMIT_MS + 500)) {
            Ok(answer) => Ok(answer.status().to_string()),
            Err(ReadError::TimedOut) => Err("silence".to_owned()),
            Err(_) => Err(CUT.to_owned()),
        }
    })();
    let outcome = result.unwrap_or_else(|error: String| error);
    record.line(format!("client: id {id} to ingress-{}, sent at {sent_ms}: {outcome}", front + 1));
    Order {
        id,
        front,
        sent_ms,
        ended_ms: record.ms(),
        outcome,
    }
}

/// The platform asks a machine each second whether it is ready; after two misses in a row it gets no new connections.
fn ask_readiness(record: &Record, stop: &Arc<AtomicBool>, is_in: &Arc<Vec<AtomicBool>>, front: usize, readiness: SocketAddr) {
    let (record, stop, is_in) = (record.clone(), stop.clone(), is_in.clone());
    spawn(move || {
        let mut misses = 0;
        while !stop.load(Ordering::SeqCst) {
            let answer = call(readiness, "GET", "/readiness", "", "", Duration::from_secs(1));
            let is_ready = answer.is_some_and(|answer| answer.status() == 200);
            misses = if is_ready { 0 } else { misses + 1 };
            if is_in[front].swap(misses < 2, Ordering::SeqCst) != (misses < 2) {
                record.line(format!("the platform: ingress-{} gets new connections: {}", front + 1, misses < 2));
            }
            sleep(Duration::from_secs(1));
        }
    });
}

pub fn run(record: &Record, trouble: bool) -> Result<i32, String> {
    let mut deployment = Deployment::new(record, 3, 2)?;
    // The figure of tnl-refill-search; its other bounds are those of the example.
    deployment.bounds.retry_allowance = 56;
    deployment.start_all()?;
    let control = deployment.control_addresses();
    let log = Log::default();
    for number in 1..=3 {
        start_replica(record, &log, number, control.clone())?;
    }
    let document = configuration(1, "mutating", 2)
        .replace("\"limit_ms\":2000", &format!("\"limit_ms\":{LIMIT_MS}"))
        .replace("\"target_ms\":200", "\"target_ms\":600");
    deployment.configure(&document)?;
    // Until all replicas are known.
    sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let fronts = deployment.ingress_addresses();
    let is_in: Arc<Vec<AtomicBool>> = Arc::new(fronts.iter().map(|_| AtomicBool::new(true)).collect());
    for (front, readiness) in deployment.readiness_addresses().into_iter().enumerate() {
        ask_readiness(record, &stop, &is_in, front, readiness);
    }
    let orders = Arc::new(Mutex::new(Vec::new()));
    let clients = {
        let (record, stop, orders) = (record.clone(), stop.clone(), orders.clone());
        spawn(move || {
            let mut threads = Vec::new();
            for number in 0usize.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let ready: Vec<usize> = (0..fronts.len()).filter(|front| is_in[*front].load(Ordering::SeqCst)).collect();
                if let Some(front) = ready.get(number % ready.len().max(1)).copied() {
                    let (record, orders, ingress) = (record.clone(), orders.clone(), fronts[front]);
                    threads.push(spawn(move || {
                        let id = format!("{:016x}", mix("order", number as u64));
                        let order = order(&record, front, ingress, id);
                        orders.lock().unwrap().push(order);
                    }));
                }
                sleep(Duration::from_micros(1_000_000 / RATE));
            }
            for thread in threads {
                let _ = thread.join();
            }
        })
    };
    // A rush that has lasted for a while: longer than `retry_window_s`, so that the retry budget is in use throughout.
    sleep(Duration::from_secs(14));
    let term_ms = record.ms();
    if trouble {
        deployment.signal("ingress-1", "TERM");
    }
    sleep(Duration::from_millis(GRACE_MS + 1_000));
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    if trouble && !deployment.has_ended("ingress-1") {
        return Err("ingress-1 has not ended".into());
    }
    if deployment.has_ended("ingress-2") {
        return Err("ingress-2 ended by itself".into());
    }

    let (orders, log) = (orders.lock().unwrap(), log.lock().unwrap());
    let mut outcomes: BTreeMap<(usize, &str), usize> = BTreeMap::new();
    for order in orders.iter() {
        *outcomes.entry((order.front + 1, &order.outcome)).or_default() += 1;
    }
    for ((front, outcome), count) in &outcomes {
        record.say(format!("ingress-{front}: {count} x {outcome}"));
    }
    // LOST: taken by the machine that got SIGTERM, passed on to a replica, and cut without an answer between SIGTERM and
    // 1 s after `grace_s`. Left out: deadline and `limit_ms` reached; a replica had it in its queue or was at work.
    let lost: Vec<&Order> = orders
        .iter()
        .filter(|order| {
            let seen = log.get(&order.id).cloned().unwrap_or_default();
            order.front == 0
                && order.outcome == CUT
                && (term_ms..term_ms + GRACE_MS + 1_000).contains(&order.ended_ms)
                && (order.sent_ms + LOSS_SLACK_MS..order.sent_ms + LIMIT_MS).contains(&order.ended_ms)
                && seen.turned_away > 0
                && seen.queued == 0
        })
        .collect();
    for order in lost.iter().take(5) {
        record.say(format!(
            "id {}: sent {} ms after SIGTERM, turned away by a replica, run by none; the connection ended {} ms after SIGTERM, {} ms after the order was sent",
            order.id,
            order.sent_ms as i64 - term_ms as i64,
            order.ended_ms - term_ms,
            order.ended_ms - order.sent_ms
        ));
    }
    record.say(format!("orders cut without an answer: {}", lost.len()));
    deployment.record_logs(20);
    record.say(if lost.is_empty() { "LOST held" } else { "LOST is broken" });
    Ok(if lost.is_empty() { HELD } else { BROKEN })
}

//! REFUSED: a replica in trouble sends the beginning of an answer too many, late, where its next answer is due. Where
//! that was the beginning of a 503, and the next answer says that an order has run, the two are read as a 503, and the
//! client gets it: the promise that the order has not run. It sends the order again, and it runs twice.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::{BROKEN, Connection, Deployment, HELD, Message, Record, configuration, mix, register};

const REPLICAS: usize = 12;
/// How many of them the trouble strikes: a share of 0.58, where the site names up to 0.6.
const IN_TROUBLE: usize = 7;
/// How many of a thousand answers of those are spoilt (`x = 0.03`), and for how long (`for_s = 5.0`).
const SPOILT_PER_MILLE: u64 = 30;
const TROUBLE_LASTS: Duration = Duration::from_secs(5);
/// Requests that a replica works on or queues at once (`capacity` 3); it turns further ones away.
const ROOM: usize = 3;
const WORK: Duration = Duration::from_millis(5);
/// Clients of each ingress machine, each with one order at a time, and their pause between two tries.
const CLIENTS: usize = 45;
const PAUSE: Duration = Duration::from_millis(20);
/// How long a client waits for an answer (`X-Remaining-Ms` 5000).
const REMAINING: Duration = Duration::from_secs(5);
/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What the replicas did with a try of an order, by its `X-Attempt-Id`.
#[derive(Clone, Default)]
struct Seen {
    run_by: Vec<String>,
    turned_away: usize,
}

struct World {
    record: Record,
    seen: Mutex<BTreeMap<String, Seen>>,
    in_trouble: AtomicBool,
    surplus: AtomicU64,
}

struct Replica {
    world: Arc<World>,
    ident: String,
    may_spoil: bool,
    busy: AtomicUsize,
    answers: AtomicU64,
}

impl Replica {
    fn serve(&self, mut connection: Connection) {
        // Bytes of an answer too many, which come late: before the next answer on this connection.
        let mut late: Vec<u8> = Vec::new();
        while let Ok(request) = connection.read_message(Instant::now() + Duration::from_secs(30)) {
            let id = request.header("x-attempt-id").unwrap_or("").to_owned();
            let answer = self.answer(&request, &id);
            let bytes = [late.as_slice(), answer.as_bytes()].concat();
            if !late.is_empty() {
                let text = String::from_utf8_lossy(&late);
                self.world.record.line(format!("{} sends late, before its answer to {id}: {text:?}", self.ident));
            }
            if connection.write(&bytes).is_err() {
                return;
            }
            late = self.surplus(&answer);
        }
    }

    /// Returns the bytes of an answer too many that follow this answer: its beginning once more, cut off anywhere in
    /// its head. Mostly none.
    fn surplus(&self, answer: &str) -> Vec<u8> {
        let draw = mix(&format!("{} trouble", self.ident), self.answers.load(Ordering::SeqCst));
        let strikes = self.may_spoil
            && self.world.in_trouble.load(Ordering::SeqCst)
            && draw % 1_000 < SPOILT_PER_MILLE;
        if !strikes {
            return Vec::new();
        }
        self.world.surplus.fetch_add(1, Ordering::SeqCst);
        let head = answer.find("\r\n\r\n").unwrap_or(answer.len());
        let cut = 1 + (draw >> 20) as usize % head;
        answer.as_bytes()[..cut].to_vec()
    }

    fn answer(&self, request: &Message, id: &str) -> String {
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        let ident = &self.ident;
        let is_other = request.header("x-target-replica").is_some_and(|target| target != ident);
        let is_full = self.busy.fetch_add(1, Ordering::SeqCst) >= ROOM;
        if is_other || is_full {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            self.note(id, |seen| seen.turned_away += 1);
            self.world.record.line(format!("{ident} turns away id {id}"));
            let status = if is_other { "421 Misdirected Request" } else { "503 Service Unavailable" };
            return format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        self.note(id, |seen| seen.run_by.push(ident.clone()));
        self.world.record.line(format!("{ident} runs id {id}"));
        sleep(WORK);
        self.busy.fetch_sub(1, Ordering::SeqCst);
        let body = format!("{ident} has done {id}");
        format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: {ident}.{number}.{:08x}\r\nContent-Length: {}\r\n\r\n{body}", mix(ident, number) & 0xffff_ffff, body.len())
    }

    fn note(&self, id: &str, change: impl FnOnce(&mut Seen)) {
        change(self.world.seen.lock().unwrap().entry(id.to_owned()).or_default());
    }
}

fn start_replica(world: &Arc<World>, number: usize, control: Vec<SocketAddr>) -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let replica = Arc::new(Replica {
        world: world.clone(),
        ident: format!("i-desk-{number}"),
        may_spoil: number < IN_TROUBLE,
        busy: AtomicUsize::new(0),
        answers: AtomicU64::new(0),
    });
    register(&replica.ident, "desk", &format!("zone-{}", 1 + number % 3), address, control);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let replica = replica.clone();
            spawn(move || replica.serve(Connection::new(stream)));
        }
    });
    Ok(())
}

/// An order: its tries, each with an id of its own, and the status of the answer to each (0 for none).
struct Order {
    tries: Vec<(String, u16)>,
}

/// One client, with a kept connection. It sends an order again, once, after an answer that promises that it has not
/// run, on a new connection, as the pages say of clients.
fn client(record: &Record, stop: &AtomicBool, ingress: SocketAddr, name: &str) -> Vec<Order> {
    let (mut orders, mut open) = (Vec::new(), None);
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let mut order = Order { tries: Vec::new() };
        let mut pause = PAUSE;
        for attempt in 0..2 {
            sleep(pause);
            let id = format!("{:016x}", mix(name, 2 * number + attempt));
            let answer = send(record, &mut open, ingress, name, &id);
            let status = answer.as_ref().map_or(0, Message::status);
            order.tries.push((id, status));
            if !PROMISES.contains(&status) {
                break;
            }
            // `Retry-After` is honoured, up to a third of the time that remains.
            let retry_after = answer.and_then(|answer| answer.header("retry-after")?.parse().ok());
            let retry_after = Duration::from_secs_f64(retry_after.unwrap_or(0.0)).min(REMAINING / 3);
            pause = PAUSE.max(retry_after);
            open = None;
        }
        orders.push(order);
    }
    orders
}

/// Sends one try of an order; returns the answer, if there is one.
fn send(record: &Record, open: &mut Option<Connection>, ingress: SocketAddr, name: &str, id: &str) -> Option<Message> {
    let connected = open.take().or_else(|| Connection::connect(ingress, Duration::from_secs(1)).ok());
    let mut connection = connected?;
    let text = format!("POST /shop/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Remaining-Ms: 5000\r\nContent-Length: 5\r\n\r\norder");
    connection.write(text.as_bytes()).ok()?;
    match connection.read_message(Instant::now() + REMAINING + Duration::from_secs(1)) {
        Ok(answer) => {
            record.line(format!("client {name} id {id} gets {:?} {:?}", answer.first, answer.headers));
            if answer.header("connection") != Some("close") {
                *open = Some(connection);
            }
            Some(answer)
        }
        Err(error) => {
            record.line(format!("client {name} id {id} gets no answer: {error:?}"));
            None
        }
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<i32, String> {
    let mut deployment = Deployment::new(record, 3, 3)?;
    deployment.start_all()?;
    let control = deployment.control_addresses();
    let world = Arc::new(World {
        record: record.clone(),
        seen: Mutex::default(),
        in_trouble: AtomicBool::new(false),
        surplus: AtomicU64::new(0),
    });
    for number in 0..REPLICAS {
        start_replica(&world, number, control.clone())?;
    }
    let document = configuration(1, "mutating", 1).replace("\"limit_ms\":2000", "\"limit_ms\":5000");
    deployment.configure(&document)?;
    // Until all replicas are known.
    sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (front, ingress) in deployment.ingress_addresses().into_iter().enumerate() {
        for number in 0..CLIENTS {
            let (stop, record) = (stop.clone(), record.clone());
            clients.push(spawn(move || client(&record, &stop, ingress, &format!("c{front}-{number}"))));
        }
    }
    sleep(Duration::from_secs(5));
    world.in_trouble.store(trouble, Ordering::SeqCst);
    record.say(format!("trouble from here: {trouble}"));
    sleep(TROUBLE_LASTS);
    world.in_trouble.store(false, Ordering::SeqCst);
    record.say("trouble until here");
    sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let orders: Vec<Order> = clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    // No order is at work any more.
    sleep(Duration::from_secs(1));
    for machine in deployment.machines.iter().map(|machine| machine.name.clone()).collect::<Vec<_>>() {
        if deployment.has_ended(&machine) {
            return Err(format!("{machine} ended by itself"));
        }
    }

    let seen = world.seen.lock().unwrap();
    let seen_of = |id: &str| seen.get(id).cloned().unwrap_or_default();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    let (mut refused_but_ran, mut twice, mut done_but_not_run) = (0, 0, 0);
    for order in &orders {
        for (id, status) in &order.tries {
            *statuses.entry(*status).or_default() += 1;
            let seen = seen_of(id);
            if PROMISES.contains(status) && !seen.run_by.is_empty() {
                refused_but_ran += 1;
                record.say(format!("id {id} gets {status}, and {:?} ran it", seen.run_by));
            }
            if (200..300).contains(status) && seen.run_by.is_empty() {
                done_but_not_run += 1;
                record.say(format!("id {id} gets {status}, and no replica ran it; turned away {} times", seen.turned_away));
            }
        }
        let runs: usize = order.tries.iter().map(|(id, _)| seen_of(id).run_by.len()).sum();
        twice += usize::from(runs > 1);
    }
    record.say(format!("orders: {}, answers by status: {statuses:?}", orders.len()));
    record.say(format!("answers too many: {}", world.surplus.load(Ordering::SeqCst)));
    record.say(format!("tries refused by a promise that they have not run, which a replica ran: {refused_but_ran}"));
    record.say(format!("orders that ran twice, since the client relied on the promise: {twice}"));
    record.say(format!("(MIXED, not judged here: answered with success and run by none: {done_but_not_run})"));
    if statuses.get(&200).is_none() {
        return Err("nothing was served".into());
    }
    record.say(if refused_but_ran > 0 { "REFUSED is broken" } else { "REFUSED held" });
    Ok(if refused_but_ran > 0 { BROKEN } else { HELD })
}

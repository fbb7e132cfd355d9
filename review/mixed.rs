//! MIXED: a replica in trouble sends the beginning of an answer too many, late, where its next answer is due. The two
//! are read as one answer, and the client gets a success with a stamp that belongs to another request; on a mutating
//! route also for an order that no replica has run.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::{BROKEN, Connection, Deployment, HELD, Message, Record, mix, register};

const SHARDS: usize = 4;
/// Replicas of each service.
const REPLICAS: usize = 4;
/// How many of them the trouble strikes: a share of 0.5, where the site names up to 0.6.
const IN_TROUBLE: usize = 2;
/// How many of a thousand answers of those are spoilt (`x = 0.03`), and for how long (`for_s = 5.0`).
const SPOILT_PER_MILLE: u64 = 30;
const TROUBLE_LASTS: Duration = Duration::from_secs(5);
/// Requests that a replica works on or queues at once; it turns further ones away.
const ROOM: usize = 3;

/// What the replicas did with a request.
#[derive(Clone, Default)]
struct Seen {
    /// The stamps of the answers with which they ran it.
    stamps: Vec<String>,
    turned_away: usize,
}

struct World {
    record: Record,
    seen: Mutex<BTreeMap<String, Seen>>,
    in_trouble: AtomicBool,
    spoilt: AtomicU64,
}

struct Replica {
    world: Arc<World>,
    ident: String,
    may_spoil: bool,
    /// 0 for no limit.
    room: usize,
    work: Duration,
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
            let mut bytes = std::mem::take(&mut late);
            if !bytes.is_empty() {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                self.world.record.line(format!("{} sends late, before its answer to {id}: {text:?}", self.ident));
            }
            bytes.extend_from_slice(&answer);
            if connection.write(&bytes).is_err() {
                return;
            }
            late = self.surplus(&answer);
        }
    }

    /// Returns the bytes of an answer too many that follow this answer: its beginning once more, cut off anywhere in
    /// its head. Mostly none.
    fn surplus(&self, answer: &[u8]) -> Vec<u8> {
        let number = self.answers.load(Ordering::SeqCst);
        let draw = mix(&format!("{} trouble", self.ident), number);
        let strikes = self.may_spoil
            && self.world.in_trouble.load(Ordering::SeqCst)
            && draw % 1_000 < SPOILT_PER_MILLE;
        if !strikes {
            return Vec::new();
        }
        self.world.spoilt.fetch_add(1, Ordering::SeqCst);
        let end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let head = end.unwrap_or(answer.len());
        let cut = 1 + (draw >> 20) as usize % head;
        answer[..cut].to_vec()
    }

    fn answer(&self, request: &Message, id: &str) -> Vec<u8> {
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        let ident = &self.ident;
        let is_other = request.header("x-target-replica").is_some_and(|target| target != ident);
        let is_full = self.busy.fetch_add(1, Ordering::SeqCst) >= self.room && self.room > 0;
        if is_other || is_full {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            self.note(id, |seen| seen.turned_away += 1);
            self.world.record.line(format!("{ident} turns away id {id}"));
            let status = if is_other { "421 Misdirected Request" } else { "503 Service Unavailable" };
            return format!("HTTP/1.1 {status}\r\nX-Not-Executed: 1\r\nX-Replica-Id: {ident}\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        }
        let stamp = format!("{ident}.{number}.{:08x}", mix(ident, number) & 0xffff_ffff);
        self.note(id, |seen| seen.stamps.push(stamp.clone()));
        self.world.record.line(format!("{ident} runs id {id}, stamp {stamp}"));
        sleep(self.work);
        self.busy.fetch_sub(1, Ordering::SeqCst);
        let body: Vec<u8> = (0..6).flat_map(|n| mix(ident, number * 6 + n).to_be_bytes()).collect();
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Replica-Seal: {stamp}\r\nContent-Type: application/octet-stream\r\nX-Attempt-Id: {id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        [head.into_bytes(), body].concat()
    }

    fn note(&self, id: &str, change: impl FnOnce(&mut Seen)) {
        change(self.world.seen.lock().unwrap().entry(id.to_owned()).or_default());
    }
}

fn start(replica: Replica, backend: &str, zone: &str, control: Vec<SocketAddr>) -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    register(&replica.ident, backend, zone, address, control);
    let replica = Arc::new(replica);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let replica = replica.clone();
            spawn(move || replica.serve(Connection::new(stream)));
        }
    });
    Ok(())
}

fn configuration() -> String {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("\"shard-{shard}\"")).collect();
    let backends: Vec<String> = shards
        .iter()
        .cloned()
        .chain(["\"desk\"".to_owned()])
        .map(|label| format!("{{\"label\":{label},\"probe_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"secure\":false}}"))
        .collect();
    format!(
        "{{\"revision\":1,\"route_table\":[{{\"label\":\"search\",\"host\":\"shop.example\",\"path_prefix\":\"/search/\",\"mode\":\"idempotent\",\"limit_ms\":1200,\"target_ms\":120,\"rank\":1,\"fanout\":[{}],\"tries\":2,\"result_limit\":200,\"min_coverage\":0.6}},{{\"label\":\"orders\",\"host\":\"shop.example\",\"path_prefix\":\"/orders/\",\"mode\":\"mutating\",\"limit_ms\":5000,\"target_ms\":500,\"rank\":2,\"backend\":\"desk\",\"tries\":1}}],\"backends\":[{}],\"constraints\":{{\"header_bytes\":16384,\"payload_bytes\":262144,\"header_ms\":3000,\"quiet_ms\":15000}}}}",
        shards.join(","),
        backends.join(",")
    )
}

/// One client, with a kept connection: a request each `pause`, until told to stop.
fn client(record: &Record, stop: &AtomicBool, ingress: SocketAddr, name: &str, is_order: bool, pause: Duration) -> Vec<(String, Message)> {
    let (mut answers, mut open) = (Vec::new(), None);
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        sleep(pause);
        let id = format!("{:016x}", mix(name, number));
        let Some(mut connection) = open.take().or_else(|| Connection::connect(ingress, Duration::from_secs(1)).ok()) else {
            continue;
        };
        let text = if is_order {
            format!("POST /orders/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Remaining-Ms: 5000\r\nContent-Length: 5\r\n\r\norder")
        } else {
            format!("GET /search/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Remaining-Ms: 1200\r\n\r\n")
        };
        if connection.write(text.as_bytes()).is_err() {
            continue;
        }
        match connection.read_message(Instant::now() + Duration::from_secs(6)) {
            Ok(answer) => {
                record.line(format!("client {name} id {id} gets {} {:?}", answer.status(), answer.headers));
                if answer.header("connection") != Some("close") {
                    open = Some(connection);
                }
                answers.push((id, answer));
            }
            Err(error) => record.line(format!("client {name} id {id} gets no answer: {error:?}")),
        }
    }
    answers
}

pub fn run(record: &Record, trouble: bool) -> Result<i32, String> {
    let mut deployment = Deployment::new(record, 3, 3)?;
    deployment.start_all()?;
    let control = deployment.control_addresses();
    let world = Arc::new(World {
        record: record.clone(),
        seen: Mutex::default(),
        in_trouble: AtomicBool::new(false),
        spoilt: AtomicU64::new(0),
    });
    let services = (0..SHARDS).map(|shard| (format!("shard-{shard}"), 0, 3)).chain([("desk".to_owned(), ROOM, 40)]);
    for (backend, room, work_ms) in services {
        for number in 0..REPLICAS {
            let replica = Replica {
                world: world.clone(),
                ident: format!("i-{backend}-{number}"),
                may_spoil: number < IN_TROUBLE,
                room,
                work: Duration::from_millis(work_ms),
                busy: AtomicUsize::new(0),
                answers: AtomicU64::new(0),
            };
            start(replica, &backend, &format!("zone-{}", 1 + number % 3), control.clone())?;
        }
    }
    deployment.configure(&configuration())?;
    // Until all replicas are known.
    sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (front, ingress) in deployment.ingress_addresses().into_iter().enumerate() {
        for number in 0..19 {
            let (stop, record, is_order) = (stop.clone(), record.clone(), number >= 4);
            let pause = Duration::from_millis(if is_order { 60 } else { 20 });
            let thread = spawn(move || {
                let name = format!("c{front}-{number}");
                (is_order, client(&record, &stop, ingress, &name, is_order, pause))
            });
            clients.push(thread);
        }
    }
    sleep(Duration::from_secs(6));
    world.in_trouble.store(trouble, Ordering::SeqCst);
    record.say(format!("trouble from here: {trouble}"));
    sleep(TROUBLE_LASTS);
    world.in_trouble.store(false, Ordering::SeqCst);
    record.say("trouble until here");
    sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    let answered: Vec<_> = clients.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    for machine in deployment.machines.iter().map(|machine| machine.name.clone()).collect::<Vec<_>>() {
        if deployment.has_ended(&machine) {
            return Err(format!("{machine} ended by itself"));
        }
    }

    let seen = world.seen.lock().unwrap();
    let (mut searches, mut orders) = (Tally::default(), Tally::default());
    for (is_order, answers) in &answered {
        let tally = if *is_order { &mut orders } else { &mut searches };
        for (id, answer) in answers {
            let stamps = if *is_order { "x-replica-seal" } else { "x-part-seals" };
            tally.add(record, id, answer, stamps, &seen.get(id).cloned().unwrap_or_default());
        }
    }
    record.say(format!("answers too many: {}", world.spoilt.load(Ordering::SeqCst)));
    record.say(format!("searches: {searches:?}"));
    record.say(format!("orders: {orders:?}"));
    if searches.good == 0 || orders.good == 0 {
        return Err("nothing was served".into());
    }
    let is_broken = searches.wrong + orders.wrong > 0;
    record.say(if is_broken { "MIXED is broken" } else { "MIXED held" });
    Ok(if is_broken { BROKEN } else { HELD })
}

#[derive(Debug, Default)]
struct Tally {
    /// Successes whose stamps are all those of answers to the request.
    good: usize,
    no_success: usize,
    /// Orders answered with the right stamp and another one beside it; these are not judged.
    two_stamps: usize,
    /// Successes that break the rule: a search with a stamp that is no answer to it, an order without its stamp.
    wrong: usize,
    /// Of these, the ones to requests that no replica ran.
    never_ran: usize,
}

impl Tally {
    fn add(&mut self, record: &Record, id: &str, answer: &Message, header: &str, seen: &Seen) {
        if !(200..300).contains(&answer.status()) {
            self.no_success += 1;
            return;
        }
        let stamps: Vec<&str> = answer
            .headers
            .iter()
            .filter(|(name, _)| name == header)
            .flat_map(|(_, value)| value.split(',').map(str::trim))
            .collect();
        let is_own = |stamp: &&str| seen.stamps.iter().any(|own| own == stamp);
        if !stamps.is_empty() && stamps.iter().all(is_own) {
            self.good += 1;
            return;
        }
        let is_order = header == "x-replica-seal";
        if is_order && stamps.iter().any(is_own) {
            self.two_stamps += 1;
        } else {
            self.wrong += 1;
            self.never_ran += usize::from(seen.stamps.is_empty());
        }
        let line = format!(
            "id {id} gets {} with stamps {stamps:?}; replicas ran it with {:?} and turned it away {} times",
            answer.status(),
            seen.stamps,
            seen.turned_away
        );
        if self.wrong <= 3 && !is_order || seen.stamps.is_empty() {
            record.say(line);
        } else {
            record.line(line);
        }
    }
}

//! Orders and reads as operators send them: at one control node, at any, or one after another without an end.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use linenthread_ctl::Request;
use serde_json::{Value, json};

/// One call at one address is waited for so long.
pub(crate) const CALL: Duration = Duration::from_secs(2);
/// A caller follows so many 307 one after another.
const REDIRECTS: usize = 2;
/// Between two calls without a clear answer.
const AGAIN: Duration = Duration::from_millis(20);

/// One order of an operator: a whole configuration and the revision that it builds on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub base: u64,
    pub revision: u64,
    pub document: Vec<u8>,
}

impl Order {
    /// Routes over these services: `/all/` over all of them, `/NAME/` to a single one, and `/once/NAME/` with
    /// requests that must not be repeated. Orders under one number differ by their variant.
    pub fn new(base: u64, revision: u64, services: &[&str], variant: u64) -> Order {
        let all = json!({"fanout": services, "result_limit": 5, "min_coverage": 0.5});
        let mut routes = vec![route("all", "/all/", "idempotent", &all)];
        for service in services {
            let to = json!({"backend": service});
            routes.push(route(service, &format!("/{service}/"), "idempotent", &to));
            routes.push(route(
                &format!("once-{service}"),
                &format!("/once/{service}/"),
                "mutating",
                &to,
            ));
        }
        let backends: Vec<_> = services
            .iter()
            .map(|s| json!({"label": s, "max_conns": 60}))
            .collect();
        let document = json!({"revision": revision, "route_table": routes, "backends": backends,
            "constraints": {"header_bytes": 4_096, "payload_bytes": 2_000, "header_ms": 1_000,
                "quiet_ms": 5_000 + variant}});
        Order {
            base,
            revision,
            document: document.to_string().into_bytes(),
        }
    }
}

fn route(label: &str, prefix: &str, mode: &str, rest: &Value) -> Value {
    let mut route = json!({"label": label, "host": "index.example", "path_prefix": prefix,
        "mode": mode, "limit_ms": 3_000, "target_ms": 1_000, "rank": 1, "tries": 2});
    for (field, value) in rest.as_object().into_iter().flatten() {
        route[field] = value.clone();
    }
    route
}

/// What a caller has seen of one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Absent if no answer came, or none that can be read.
    pub status: Option<u16>,
    pub body: Vec<u8>,
    /// Where a 307 sends the caller.
    pub location: Option<SocketAddr>,
    /// How long the caller waited.
    pub after: Duration,
}

impl Observed {
    pub fn is(&self, status: u16) -> bool {
        self.status == Some(status)
    }

    /// An answer that says what is the case; silence, 307, 5xx, 408 and 429 say nothing of it.
    pub fn is_clear(&self) -> bool {
        self.status
            .is_some_and(|s| s < 500 && !matches!(s, 307 | 408 | 429))
    }

    /// The revision that the body names.
    pub fn revision(&self) -> Option<u64> {
        serde_json::from_slice::<Value>(&self.body).ok()?["revision"].as_u64()
    }
}

fn observe(
    peer: SocketAddr,
    method: &str,
    path: &str,
    base: Option<u64>,
    body: &[u8],
    within: Duration,
) -> Observed {
    let began = Instant::now();
    let headers: Vec<(&str, String)> = base
        .map(|b| ("X-Base-Revision", b.to_string()))
        .into_iter()
        .collect();
    let reply = Request {
        method,
        path,
        headers: &headers,
        body,
    }
    .send_to(peer, within);
    let after = began.elapsed();
    match reply {
        Ok(reply) => {
            let location = reply.head.header("location").and_then(read_location);
            Observed {
                status: Some(reply.status),
                body: reply.body,
                location,
                after,
            }
        }
        Err(_) => Observed {
            after,
            ..Observed::default()
        },
    }
}

/// The address in `http://ADDRESS/path`.
fn read_location(location: &str) -> Option<SocketAddr> {
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

/// Sends an order to one control node.
pub fn replace_at(peer: SocketAddr, order: &Order, within: Duration) -> Observed {
    observe(
        peer,
        "POST",
        "/Configuration.Replace",
        Some(order.base),
        &order.document,
        within,
    )
}

/// Reads the configuration at one control node.
pub fn read_at(peer: SocketAddr, within: Duration) -> Observed {
    observe(peer, "GET", "/Configuration.Read", None, &[], within)
}

/// The members as one control node knows them.
pub(crate) fn members_at(peer: SocketAddr) -> Option<Value> {
    let seen = observe(peer, "GET", "/Members.Read", None, &[], CALL);
    serde_json::from_slice(&seen.body)
        .ok()
        .filter(|_| seen.is(200))
}

/// Whether a control node knows that a replica drains.
pub(crate) fn is_draining_at(peer: SocketAddr, ident: &str) -> bool {
    let seen = observe(peer, "GET", "/Replicas.Read", None, &[], CALL);
    let known: Value = serde_json::from_slice(&seen.body).unwrap_or_default();
    let drains = |r: &Value| r["ident"] == ident && r["phase"] == "draining";
    known.as_array().is_some_and(|all| all.iter().any(drains))
}

/// Says at one control node that a replica drains.
pub fn drain_at(peer: SocketAddr, ident: &str, service: &str, within: Duration) -> Observed {
    let beat = json!({"backend": service, "address": "127.0.0.1:9", "zone": "zone-0", "revision": "v1",
        "capacity": 3, "phase": "draining", "warmup_ms": 0, "call_count": 1_000_000});
    let path = format!("/Replicas.Heartbeat/{ident}");
    observe(
        peer,
        "POST",
        &path,
        None,
        beat.to_string().as_bytes(),
        within,
    )
}

/// Sends an order to one address after another until one gives a clear answer, or the time is up.
pub fn replace_anywhere(addresses: &[SocketAddr], order: &Order, within: Duration) -> Observed {
    anywhere(addresses, within, |peer, left| {
        replace_at(peer, order, left)
    })
}

/// Reads at one address after another until one gives a clear answer, or the time is up.
pub(crate) fn read_anywhere(addresses: &[SocketAddr], within: Duration) -> Observed {
    anywhere(addresses, within, read_at)
}

fn anywhere(
    addresses: &[SocketAddr],
    within: Duration,
    ask: impl Fn(SocketAddr, Duration) -> Observed,
) -> Observed {
    let began = Instant::now();
    let mut last = Observed::default();
    loop {
        for peer in addresses {
            let left = within.saturating_sub(began.elapsed());
            if left.is_zero() {
                return Observed {
                    after: began.elapsed(),
                    ..last
                };
            }
            last = follow(*peer, left.min(CALL), &ask);
            if last.is_clear() {
                return Observed {
                    after: began.elapsed(),
                    ..last
                };
            }
        }
        std::thread::sleep(AGAIN);
    }
}

/// Asks one address, and where a 307 sends, twice at most.
fn follow(
    peer: SocketAddr,
    within: Duration,
    ask: &impl Fn(SocketAddr, Duration) -> Observed,
) -> Observed {
    let mut seen = ask(peer, within);
    for _ in 0..REDIRECTS {
        let Some(next) = seen.location.filter(|_| seen.is(307)) else {
            break;
        };
        seen = ask(next, within);
    }
    seen
}

/// An operator who sends one order after another, each until it has a clear answer.
pub struct Writer {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Written>,
}

/// What an operator's orders came to.
#[derive(Clone, Debug)]
pub struct Written {
    /// The newest order that was acknowledged.
    pub last: Order,
    /// The one after it, if it was sent and has no clear answer.
    pub pending: Option<Order>,
    pub acknowledged: usize,
    /// An order that was refused though nobody else sends any, and with what.
    pub refused: Option<(u64, u16)>,
    /// The longest time between two acknowledgements.
    pub longest: Duration,
}

impl Writer {
    /// Goes on from an order that was acknowledged.
    pub fn start(
        addresses: Vec<SocketAddr>,
        from: Order,
        services: &[&str],
        pause: Duration,
    ) -> Writer {
        let addresses = Arc::new(Mutex::new(addresses));
        let stop: Arc<AtomicBool> = Arc::default();
        let services: Vec<String> = services.iter().map(|s| (*s).to_owned()).collect();
        let (known, ends) = (addresses.clone(), stop.clone());
        let thread = std::thread::spawn(move || write(&known, &ends, from, &services, pause));
        Writer {
            addresses,
            stop,
            thread,
        }
    }

    /// The control nodes that the operator knows from now on.
    pub fn know(&self, addresses: Vec<SocketAddr>) {
        if let Ok(mut known) = self.addresses.lock() {
            *known = addresses;
        }
    }

    /// Sends no more and waits for the end of the last call.
    pub fn stop(self) -> Option<Written> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().ok()
    }
}

fn write(
    addresses: &Mutex<Vec<SocketAddr>>,
    stop: &AtomicBool,
    from: Order,
    services: &[String],
    pause: Duration,
) -> Written {
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    let mut written = Written {
        last: from,
        pending: None,
        acknowledged: 0,
        refused: None,
        longest: Duration::ZERO,
    };
    let mut acknowledged_at = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        let base = written.last.revision;
        let order = match written.pending.take() {
            Some(order) => order,
            None => Order::new(base, base + 1, &services, 0),
        };
        let known = addresses.lock().map(|a| a.clone()).unwrap_or_default();
        let seen = replace_anywhere(&known, &order, CALL);
        let waited = acknowledged_at.elapsed();
        written.longest = written.longest.max(waited);
        match seen.status {
            Some(200) => {
                written.last = order;
                written.acknowledged += 1;
                acknowledged_at = Instant::now();
                std::thread::sleep(pause);
            }
            Some(status) if seen.is_clear() => {
                written.refused = Some((order.revision, status));
                return written;
            }
            _ => written.pending = Some(order),
        }
    }
    written
}

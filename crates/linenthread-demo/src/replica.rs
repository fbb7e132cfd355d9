//! Stand-in replicas: they answer with their service's records, note what they ran, beat at the control
//! nodes, and misbehave on cue.

mod connection;
mod misbehaviour;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use linenthread_ctl::Request;
use serde_json::json;

pub use misbehaviour::Misbehaviour;

/// A replica beats so often.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// A control node that says nothing for so long is left for the next.
const PATIENCE: Duration = Duration::from_secs(1);

/// What one replica ran: the attempt and the path.
#[derive(Clone, Debug, PartialEq)]
pub struct Ran {
    pub attempt: String,
    pub path: String,
}

/// What the threads of one replica share.
struct Shared {
    service: String,
    ident: String,
    ran: Mutex<Vec<Ran>>,
    /// How often it misbehaved in each way.
    misbehaved: Mutex<BTreeMap<&'static str, usize>>,
    down: AtomicBool,
    how: Misbehaviour,
}

/// A stand-in replica: it answers each request with its service's records, and beats.
pub struct Replica {
    pub ident: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
    beats: Option<Sender<()>>,
}

/// The records that a service has for a path, in no order.
pub fn records(service: &str, path: &str) -> Vec<u8> {
    let mut sum = 0xcbf2_9ce4_8422_2325u64;
    let mut bytes = Vec::new();
    for n in 0..8u8 {
        for b in service.bytes().chain(path.bytes()).chain([n]) {
            sum = (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        }
        bytes.extend_from_slice(&sum.to_be_bytes());
        bytes.extend_from_slice(&sum.swap_bytes().to_be_bytes());
    }
    bytes
}

impl Replica {
    pub(crate) fn start(
        service: &str,
        ident: &str,
        zone: &str,
        control: Vec<SocketAddr>,
        how: Misbehaviour,
    ) -> std::io::Result<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            service: service.to_owned(),
            ident: ident.to_owned(),
            ran: Mutex::default(),
            misbehaved: Mutex::default(),
            down: AtomicBool::new(false),
            how,
        });
        let listening = shared.clone();
        std::thread::spawn(move || listen(&listener, &listening));
        let (beats, stop) = channel::<()>();
        let (beating, zone) = (shared.clone(), zone.to_owned());
        std::thread::spawn(move || beat(&beating, address, &zone, &control, &stop));
        Ok(Replica {
            ident: ident.to_owned(),
            address,
            shared,
            beats: Some(beats),
        })
    }

    /// All that it ran so far.
    pub fn ran(&self) -> Vec<Ran> {
        self.shared
            .ran
            .lock()
            .map(|r| r.clone())
            .unwrap_or_default()
    }

    /// How often it misbehaved so far, by the way in which it did.
    pub fn misbehaved(&self) -> BTreeMap<&'static str, usize> {
        self.shared
            .misbehaved
            .lock()
            .map(|m| m.clone())
            .unwrap_or_default()
    }

    /// It crashes: no more beats, its connections end, its port refuses.
    pub fn crash(&mut self) {
        self.beats = None;
        self.shared.down.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.crash();
    }
}

fn listen(listener: &TcpListener, shared: &Arc<Shared>) {
    for (number, stream) in (0u64..).zip(listener.incoming().map_while(Result::ok)) {
        if shared.down.load(Ordering::Relaxed) {
            return;
        }
        let shared = shared.clone();
        std::thread::spawn(move || drop(connection::serve(stream, &shared, number)));
    }
}

/// Beats until it is stopped, at the control node that acknowledged last, else at the next.
fn beat(
    shared: &Shared,
    address: SocketAddr,
    zone: &str,
    control: &[SocketAddr],
    stop: &Receiver<()>,
) {
    let path = format!("/Replicas.Heartbeat/{}", shared.ident);
    let mut at = 0;
    for call_count in 1u64.. {
        let beat = json!({"backend": shared.service, "address": address.to_string(), "zone": zone,
            "revision": "v1", "capacity": 3, "phase": "available", "warmup_ms": 0,
            "call_count": call_count});
        for _ in control {
            let reply = Request {
                method: "POST",
                path: &path,
                headers: &[],
                body: beat.to_string().as_bytes(),
            }
            .send_to(control[at], PATIENCE);
            if reply.is_ok_and(|r| (200..300).contains(&r.status)) {
                break;
            }
            at = (at + 1) % control.len();
        }
        if stop.recv_timeout(HEARTBEAT) != Err(RecvTimeoutError::Timeout) {
            return;
        }
    }
}

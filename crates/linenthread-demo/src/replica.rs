use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::BytesMut;
use linenthread_http::{Body, Head, request_framing};
use serde_json::json;

/// What one replica ran: the attempt, the path, who was meant.
#[derive(Clone, Debug, PartialEq)]
pub struct Ran {
    pub attempt: String,
    pub path: String,
}

/// A stand-in replica: it answers each request with its service's records, and beats.
pub struct Replica {
    pub ident: String,
    pub address: SocketAddr,
    ran: Arc<Mutex<Vec<Ran>>>,
    down: Arc<AtomicBool>,
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
    ) -> std::io::Result<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let ran: Arc<Mutex<Vec<Ran>>> = Arc::default();
        let down: Arc<AtomicBool> = Arc::default();
        let (own, notes, stopped) = ((service.to_owned(), ident.to_owned()), ran.clone(), down.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (own, notes, stopped) = (own.clone(), notes.clone(), stopped.clone());
                std::thread::spawn(move || drop(serve(stream, &own, &notes, &stopped)));
            }
        });
        let (beats, stop) = channel::<()>();
        let (path, service, zone) =
            (format!("/Replicas.Heartbeat/{ident}"), service.to_owned(), zone.to_owned());
        std::thread::spawn(move || {
            let client = linenthread_ctl::Client { addresses: control, within: Duration::from_secs(1) };
            for call_count in 1.. {
                let beat = json!({"backend": service, "address": address.to_string(), "zone": zone,
                    "revision": "v1", "capacity": 3, "phase": "available", "warmup_ms": 0,
                    "call_count": call_count});
                let _ = client.call("POST", &path, &[], beat.to_string().as_bytes(), 1);
                if stop.recv_timeout(Duration::from_millis(300)) != Err(RecvTimeoutError::Timeout) {
                    return;
                }
            }
        });
        Ok(Replica { ident: ident.to_owned(), address, ran, down, beats: Some(beats) })
    }

    /// All that it ran so far.
    pub fn ran(&self) -> Vec<Ran> {
        self.ran.lock().map(|r| r.clone()).unwrap_or_default()
    }

    /// It crashes: no more beats, its connections end, its port refuses.
    pub fn crash(&mut self) {
        self.beats = None;
        self.down.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.crash();
    }
}

fn serve(
    mut stream: TcpStream,
    (service, ident): &(String, String),
    ran: &Mutex<Vec<Ran>>,
    down: &AtomicBool,
) -> std::io::Result<()> {
    let (mut buffer, mut piece) = (BytesMut::new(), [0; 4_096]);
    let bad = |_| std::io::ErrorKind::InvalidData;
    loop {
        let head = loop {
            if let Some(head) = Head::request(&mut buffer, 16_384).map_err(bad)? {
                break head;
            }
            match stream.read(&mut piece)? {
                0 => return Ok(()),
                n => buffer.extend_from_slice(&piece[..n]),
            }
        };
        let mut body = Body::new(request_framing(&head, 1 << 20).map_err(bad)?, 1 << 20);
        while !body.take(&mut buffer).map_err(bad)? {
            match stream.read(&mut piece)? {
                0 => return Ok(()),
                n => buffer.extend_from_slice(&piece[..n]),
            }
        }
        if down.load(Ordering::Relaxed) {
            return Ok(());
        }
        let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
        let path = head.target().to_owned();
        if head.header("x-target-replica").is_some_and(|t| t != ident) {
            stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let records = records(service, &path);
        if let Ok(mut ran) = ran.lock() {
            ran.push(Ran { attempt: attempt.clone(), path });
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Replica-Seal: {service}.{ident}.{attempt}\r\n\
             Content-Length: {}\r\n\r\n",
            records.len()
        );
        stream.write_all(&[answer.as_bytes(), &records].concat())?;
    }
}

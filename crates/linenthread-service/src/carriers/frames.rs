//! The platform's frames. Owns every connection to a replica: part calls and probes go out on them, and each ends exactly once.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_core::interface::AttemptOutcome;
use linenthread_protocol::frame::{self, ReplicaMessage};
use linenthread_protocol::hash_id;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{info, warn};

use crate::carriers::call::{Asked, Ended, Limits, unsent};
use crate::log::Sparing;

/// Parts go one a connection while a replica has fewer than this: what one spoils, breaks or silences fails
/// few beside it.
const APART: usize = 4;
/// On a connection unused for so long, which the other side may have left unsaid, the last byte of a part
/// call follows the rest after so long more: a dead one breaks before it, and the part call never ran.
const UNUSED: Duration = Duration::from_millis(50);
const LAST_BYTE: Duration = Duration::from_millis(2);
/// So many ids of parts that ended are remembered on a connection, to know their late or second answers by.
const ENDED: usize = 512;
/// What is read at once from a connection at the most.
const READ: usize = 16 * 1024;

/// A part out on a connection.
struct Waiter {
    number: u64,
    part: usize,
    call: usize,
    written: bool,
    to: mpsc::UnboundedSender<Ended>,
}

struct ProbeWaiter {
    written: bool,
    to: oneshot::Sender<(AttemptOutcome, Option<f64>)>,
}

/// A frame to be written, and the ids of the parts in it with their numbers.
struct Frame {
    bytes: Vec<u8>,
    parts: Vec<(String, u64)>,
    probe: bool,
}

/// A frame under way.
struct Writing {
    frame: Frame,
    at: usize,
    /// Its last byte is held back.
    held: bool,
    /// When that may follow.
    last: Option<Instant>,
}

impl Writing {
    /// What may be written now, or when there will be more.
    fn next(&self) -> (&[u8], Option<Instant>) {
        let rest = &self.frame.bytes[self.at..];
        match self.last {
            _ if !self.held => (rest, None),
            None => (&rest[..rest.len() - 1], None),
            Some(last) if last > Instant::now() => (&[], Some(last)),
            Some(_) => (rest, None),
        }
    }

    /// So many bytes more are written; whether that was all.
    fn wrote(&mut self, n: usize) -> bool {
        self.at += n;
        if self.at + 1 == self.frame.bytes.len() {
            self.last = Some(Instant::now() + LAST_BYTE);
        }
        self.at == self.frame.bytes.len()
    }
}

struct Link {
    replica: usize,
    address: SocketAddr,
    withdraw: bool,
    frames: RefCell<VecDeque<Frame>>,
    parts: RefCell<BTreeMap<String, Waiter>>,
    probes: RefCell<VecDeque<ProbeWaiter>>,
    /// Parts that ended on it, by the hash of their id.
    ended: RefCell<VecDeque<u64>>,
    news: Notify,
    last_read: Cell<Instant>,
    /// It has brought a whole frame.
    sound: Cell<bool>,
    /// Some of a frame is here, and the rest has yet to come.
    midway: Cell<bool>,
    /// Nothing came on it through a whole time-out: no new parts go on it until something does.
    silent: Cell<bool>,
    /// It ends once nothing is out on it.
    retired: Cell<bool>,
}

#[derive(Default)]
struct Place {
    address: Option<SocketAddr>,
    links: Vec<Rc<Link>>,
    /// The last connect failed: the next that fails is no news.
    unreached: bool,
}

struct Inner {
    limits: Limits,
    places: RefCell<Vec<Place>>,
    connections: Cell<usize>,
    numbers: Cell<u64>,
    lines: Sparing,
}

#[derive(Clone)]
pub(crate) struct Replicas(Rc<Inner>);

/// Why a connection ended that was still wanted.
enum Fault {
    /// By the other side, or on the way.
    Ended(String),
    /// The replica said what can't be read, or what nobody asked for: it runs, and has run what was sent, but
    /// its connection is of no more use.
    Spoilt(String),
}

/// A part out at a replica. Dropping it gives the part up, unless it has ended.
pub(crate) struct PartOut {
    link: Rc<Link>,
    id: String,
    number: u64,
    sent: Instant,
}

impl PartOut {
    /// Its time is up: a connection on which nothing came meanwhile is not trusted with more.
    pub(crate) fn timed_out(&self) {
        self.link.unheard_since(self.sent);
    }
}

impl Drop for PartOut {
    fn drop(&mut self) {
        let mut parts = self.link.parts.borrow_mut();
        if parts
            .get(&self.id)
            .is_none_or(|waiter| waiter.number != self.number)
        {
            return;
        }
        parts.remove(&self.id);
        self.link.remember(&self.id);
        let mut frames = self.link.frames.borrow_mut();
        let alone = |f: &Frame| matches!(&f.parts[..], [(_, number)] if *number == self.number);
        match frames.iter().position(alone) {
            Some(unwritten) => drop(frames.remove(unwritten)),
            _ if !self.link.withdraw => {}
            _ => frames.push_back(Frame {
                bytes: frame::encode_cancel(&self.id),
                parts: Vec::new(),
                probe: false,
            }),
        }
        self.link.news.notify_one();
    }
}

impl Replicas {
    pub(crate) fn new(limits: Limits) -> Self {
        Replicas(Rc::new(Inner {
            limits,
            places: RefCell::default(),
            connections: Cell::new(0),
            numbers: Cell::new(0),
            lines: Sparing::default(),
        }))
    }

    /// Where a replica is found from now on; connections to where it was before end when they are done.
    pub(crate) fn place(&self, replica: usize, address: Option<SocketAddr>) {
        let mut places = self.0.places.borrow_mut();
        let len = places.len().max(replica + 1);
        places.resize_with(len, Place::default);
        let place = &mut places[replica];
        if place.address != address {
            (place.address, place.unreached) = (address, false);
            place.links.iter().for_each(|link| link.retire());
        }
    }

    /// Whether nothing is open to a replica that is found nowhere: then its index may stand for another.
    pub(crate) fn is_vacant(&self, replica: usize) -> bool {
        let places = self.0.places.borrow();
        places
            .get(replica)
            .is_none_or(|place| place.address.is_none() && place.links.is_empty())
    }

    /// Sends parts of one lookup to one replica as one part call.
    pub(crate) fn call(
        &self,
        replica: usize,
        lookup: &str,
        asked: &[Asked],
        wait_ms: u64,
        to: &mpsc::UnboundedSender<Ended>,
    ) -> Vec<Option<PartOut>> {
        let ids: Vec<String> = asked
            .iter()
            .map(|a| frame::sub_request_id(lookup, a.shard, a.round))
            .collect();
        let link = self.link(replica, asked.len(), |link| {
            let parts = link.parts.borrow();
            ids.iter().all(|id| !parts.contains_key(id))
        });
        let Some(link) = link else {
            return unsent(asked, to);
        };
        let parts = ids
            .iter()
            .zip(asked)
            .map(|(id, a)| (id.as_str(), a.shard, &*a.text));
        let bytes = frame::encode_requests(parts, wait_ms);
        let mut frame = Frame {
            bytes,
            parts: Vec::new(),
            probe: false,
        };
        let mut out = Vec::new();
        for (id, &Asked { part, call, .. }) in ids.into_iter().zip(asked) {
            let number = self.0.numbers.get();
            self.0.numbers.set(number + 1);
            let waiter = Waiter {
                number,
                part,
                call,
                written: false,
                to: to.clone(),
            };
            link.parts.borrow_mut().insert(id.clone(), waiter);
            frame.parts.push((id.clone(), number));
            out.push(Some(PartOut {
                link: link.clone(),
                id,
                number,
                sent: Instant::now(),
            }));
        }
        link.frames.borrow_mut().push_back(frame);
        link.news.notify_one();
        out
    }

    /// Closes the connections to a replica on which nothing is out.
    pub(crate) fn close(&self, replica: usize) {
        let places = self.0.places.borrow();
        let links = places
            .get(replica)
            .into_iter()
            .flat_map(|place| &place.links);
        links
            .filter(|l| l.out() == 0)
            .for_each(|link| link.retire());
    }

    /// Asks a replica how it fares.
    pub(crate) async fn probe(&self, replica: usize) -> (AttemptOutcome, Option<f64>) {
        let Some(link) = self.link(replica, 1, |_| true) else {
            return (AttemptOutcome::NotSent, None);
        };
        let (to, answer) = oneshot::channel();
        link.probes
            .borrow_mut()
            .push_back(ProbeWaiter { written: false, to });
        link.frames.borrow_mut().push_back(Frame {
            bytes: frame::encode_probe(),
            parts: Vec::new(),
            probe: true,
        });
        link.news.notify_one();
        let sent = Instant::now();
        match timeout(self.0.limits.probe, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => (AttemptOutcome::ConnectionLost, None),
            Err(_) => {
                link.unheard_since(sent);
                (AttemptOutcome::TimedOut, None)
            }
        }
    }

    /// A connection with room for so many more, or a new one.
    fn link(&self, replica: usize, more: usize, fit: impl Fn(&Link) -> bool) -> Option<Rc<Link>> {
        let mut places = self.0.places.borrow_mut();
        let place = places.get_mut(replica)?;
        let address = place.address?;
        let streams = self.0.limits.streams;
        let room = |l: &&Rc<Link>| {
            let free = l.out() == 0 || l.out() + more <= streams;
            free && !l.silent.get() && !l.retired.get() && fit(l)
        };
        // Those with the least out, as parts pile up on one that is stuck, and of them the one heard last:
        // the others may idle out.
        let order = |l: &&Rc<Link>| (l.midway.get(), l.out(), Reverse(l.last_read.get()));
        let best = place.links.iter().filter(room).min_by_key(order);
        let full = self.0.connections.get() >= self.0.limits.connections;
        if let Some(link) = best.filter(|l| l.out() == 0 || full || place.links.len() >= APART) {
            return Some(link.clone());
        }
        if full {
            if let Some(left_out) = self.0.lines.line() {
                warn!(%address, left_out, "no connection left for a replica");
            }
            return None;
        }
        self.0.connections.set(self.0.connections.get() + 1);
        let link = Rc::new(Link {
            replica,
            address,
            withdraw: self.0.limits.withdraw,
            frames: RefCell::default(),
            parts: RefCell::default(),
            probes: RefCell::default(),
            ended: RefCell::default(),
            news: Notify::new(),
            last_read: Cell::new(Instant::now()),
            sound: Cell::new(false),
            midway: Cell::new(false),
            silent: Cell::new(false),
            retired: Cell::new(false),
        });
        place.links.push(link.clone());
        actix_rt::spawn(self.clone().carry(link.clone()));
        Some(link)
    }

    /// The life of one connection.
    async fn carry(self, link: Rc<Link>) {
        let limits = self.0.limits;
        let connected = match timeout(limits.connect, TcpStream::connect(link.address)).await {
            Ok(connected) => connected.map_err(|e| format!("cannot connect: {e}")),
            Err(_) => Err("cannot connect in time".into()),
        };
        let known_unreached = self.unreached(link.replica, connected.is_err());
        let ended = match connected {
            Ok(stream) => {
                if known_unreached {
                    info!(address = %link.address, "replica connects again");
                }
                stream.set_nodelay(true).ok();
                link.exchange(stream, &limits).await
            }
            Err(_) if known_unreached => Ok(()),
            Err(cause) => Err(Fault::Ended(cause)),
        };
        let spoilt = matches!(ended, Err(Fault::Spoilt(_)));
        if let (Err(Fault::Ended(cause) | Fault::Spoilt(cause)), Some(left_out)) =
            (ended, self.0.lines.line())
        {
            let (address, out) = (link.address, link.parts.borrow().len());
            warn!(%address, out, spoilt, left_out, "replica connection ended: {cause}");
        }
        // The one place where a connection is given back, and with it all that is still out on it.
        if let Some(place) = self.0.places.borrow_mut().get_mut(link.replica) {
            place.links.retain(|l| !Rc::ptr_eq(l, &link));
        }
        self.0.connections.set(self.0.connections.get() - 1);
        link.end_all(spoilt);
    }

    /// Keeps whether the last connect to a replica failed, and says whether the one before it did.
    fn unreached(&self, replica: usize, failed: bool) -> bool {
        let mut places = self.0.places.borrow_mut();
        places
            .get_mut(replica)
            .is_some_and(|place| std::mem::replace(&mut place.unreached, failed))
    }
}

impl Link {
    /// It takes nothing more and ends once nothing is out.
    fn retire(&self) {
        self.retired.set(true);
        self.news.notify_one();
    }

    fn unheard_since(&self, sent: Instant) {
        if self.last_read.get() < sent && !self.silent.replace(true) {
            info!(address = %self.address, "replica connection is silent; no more goes on it");
            self.news.notify_one();
        }
    }

    /// Parts and probes that wait for an answer on it.
    fn out(&self) -> usize {
        self.parts.borrow().len() + self.probes.borrow().len()
    }

    /// Nothing is out on it and nothing is to be written.
    fn empty(&self) -> bool {
        self.out() == 0 && self.frames.borrow().is_empty()
    }

    fn remember(&self, id: &str) {
        let mut ended = self.ended.borrow_mut();
        if ended.len() >= ENDED {
            ended.pop_front();
        }
        ended.push_back(hash_id(id));
    }

    /// Writes and reads until one side ends; an ending that was not wanted is told.
    async fn exchange(&self, mut stream: TcpStream, limits: &Limits) -> Result<(), Fault> {
        let (mut input, mut output) = stream.split();
        let mut read = BytesMut::with_capacity(READ);
        let mut writing: Option<Writing> = None;
        let mut active = Instant::now();
        // When what was read of a frame that is not yet whole began to come.
        let mut begun = active;
        let fault = |e: std::io::Error| Fault::Ended(e.to_string());
        loop {
            if writing.is_none() {
                writing = self.frames.borrow_mut().pop_front().map(|frame| {
                    let held =
                        !frame.parts.is_empty() && self.sound.get() && active.elapsed() > UNUSED;
                    Writing {
                        frame,
                        at: 0,
                        held,
                        last: None,
                    }
                });
            }
            let empty = writing.is_none() && self.empty();
            if empty && (self.retired.get() || self.silent.get()) {
                return Ok(());
            }
            let (unwritten, last) = writing.as_ref().map_or((&[][..], None), Writing::next);
            tokio::select! {
                biased;
                got = input.read_buf(&mut read) => {
                    match got {
                        Ok(0) if empty => return Ok(()),
                        Ok(0) => return Err(Fault::Ended("closed by the replica".into())),
                        Err(e) => return Err(fault(e)),
                        Ok(n) if n == read.len() => begun = Instant::now(),
                        Ok(_) => {}
                    }
                    active = Instant::now();
                    while let Some(word) = frame::decode(&mut read).map_err(|e| Fault::Spoilt(e.to_string()))? {
                        begun = active;
                        // Only whole frames show that it is sound.
                        self.last_read.set(active);
                        self.sound.set(true);
                        self.silent.set(false);
                        self.hear(word)?;
                    }
                    if !read.is_empty() && self.out() == 0 {
                        return Err(Fault::Spoilt("it says more than was asked".into()));
                    }
                    self.midway.set(!read.is_empty());
                    read.reserve(READ);
                }
                wrote = output.write(unwritten), if !unwritten.is_empty() => {
                    let wrote = wrote.map_err(fault)?;
                    active = Instant::now();
                    if let Some(done) = writing.take_if(|writing| writing.wrote(wrote)) {
                        self.written(&done.frame);
                    }
                }
                () = sleep_until(last.unwrap_or(active)), if last.is_some() => {}
                () = self.news.notified() => {}
                // A frame takes no longer than a connect: one that does will never be whole.
                () = sleep_until(begun + limits.connect), if !read.is_empty() => {
                    return Err(Fault::Spoilt("a frame does not come whole".into()));
                }
                () = sleep_until(active + limits.idle), if empty => return Ok(()),
            }
        }
    }

    /// The last byte of a frame is written: what it asks for may run from now on.
    fn written(&self, frame: &Frame) {
        let mut parts = self.parts.borrow_mut();
        for (id, number) in &frame.parts {
            if let Some(waiter) = parts.get_mut(id).filter(|w| w.number == *number) {
                waiter.written = true;
            }
        }
        if frame.probe
            && let Some(probe) = self.probes.borrow_mut().iter_mut().find(|p| !p.written)
        {
            probe.written = true;
        }
    }

    fn hear(&self, word: ReplicaMessage) -> Result<(), Fault> {
        match word {
            ReplicaMessage::Response {
                id,
                outcome: ending,
                queue_depth: queue,
                value,
            } => {
                if self.parts.borrow().get(&id).is_some_and(|w| !w.written) {
                    return Err(Fault::Spoilt("an answer to a part not yet sent".into()));
                }
                if let Some(Waiter { part, call, to, .. }) = self.parts.borrow_mut().remove(&id) {
                    self.remember(&id);
                    to.send(Ended {
                        part,
                        call,
                        ending,
                        queue,
                        value,
                    })
                    .ok();
                } else if !self.ended.borrow().contains(&hash_id(&id)) {
                    return Err(Fault::Spoilt(
                        "an answer to a part that was never sent".into(),
                    ));
                }
                // What has ended was given up or answered before: its late or second answer is dropped.
                Ok(())
            }
            ReplicaMessage::ProbeResponse {
                outcome: ending,
                queue_depth: queue,
            } => {
                // One that nobody asked for, or not yet, tells nothing.
                let mut probes = self.probes.borrow_mut();
                if let Some(probe) = probes.pop_front_if(|probe| probe.written) {
                    probe.to.send((ending, queue)).ok();
                }
                Ok(())
            }
            ReplicaMessage::ProtocolError(words) => Err(Fault::Ended(format!(
                "the replica could not use a frame: {words}"
            ))),
        }
    }

    /// All that is out on a connection ends with it.
    fn end_all(&self, spoilt: bool) {
        // A connection that was sound and is gone says nothing against its replica.
        let ending = |written: bool| match written {
            true if spoilt => AttemptOutcome::Error,
            true => AttemptOutcome::ConnectionLost,
            false if spoilt || self.sound.get() => AttemptOutcome::NotSent,
            false => AttemptOutcome::ConnectFailed,
        };
        for Waiter {
            part,
            call,
            written,
            to,
            ..
        } in std::mem::take(&mut *self.parts.borrow_mut()).into_values()
        {
            to.send(Ended {
                part,
                call,
                ending: ending(written),
                queue: None,
                value: String::new(),
            })
            .ok();
        }
        for probe in self.probes.borrow_mut().drain(..) {
            probe.to.send((ending(probe.written), None)).ok();
        }
        self.frames.borrow_mut().clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What was written whole when a connection broke, or spoke nonsense, may have run; the rest never did.
    #[test]
    fn parts_end_by_whether_their_last_byte_was_written() {
        // An answer to what was never sent whole is no answer.
        let spoilt: &[u8] = b"\0\0\0\x10El.499 hit 1 -\nv";
        for (said, whole, cut) in [
            (spoilt, AttemptOutcome::Error, AttemptOutcome::NotSent),
            (
                b"",
                AttemptOutcome::ConnectionLost,
                AttemptOutcome::ConnectFailed,
            ),
        ] {
            actix_rt::System::new().block_on(async {
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                let second = Duration::from_secs(20);
                let limits = Limits {
                    streams: 500,
                    withdraw: true,
                    connect: second,
                    probe: second,
                    idle: second,
                    connections: 1,
                };
                let replicas = Replicas::new(limits);
                replicas.place(0, listener.local_addr().ok());
                let (to, mut ended) = mpsc::unbounded_channel();
                // More than any socket's buffers hold.
                let text: Rc<str> = "x".repeat(60_000).into();
                let asked = |part| Asked {
                    part,
                    call: 0,
                    shard: part,
                    round: 0,
                    text: text.clone(),
                    gain: 0,
                };
                let call = |part| replicas.call(0, "l", &[asked(part)], 9, &to);
                let out: Vec<_> = (0..500).map(call).collect();
                let (mut replica, _) = listener.accept().await.unwrap();
                replica.read_exact(&mut vec![0; 61_000]).await.unwrap();
                replica.write_all(said).await.unwrap();
                let open = (!said.is_empty()).then_some(replica);
                let mut endings = vec![None; 500];
                for _ in 0..500 {
                    let Ended { part, ending, .. } = ended.recv().await.unwrap();
                    assert_eq!(endings[part].replace(ending), None, "each ends once");
                }
                assert_eq!((endings[0], endings[499]), (Some(whole), Some(cut)));
                assert!(endings.is_sorted_by_key(|e| *e == Some(cut)), "{endings:?}");
                drop((out, open));
            });
        }
    }
}

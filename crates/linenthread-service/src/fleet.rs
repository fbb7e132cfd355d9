//! This program's place in the fleet, on a thread of its own: what waits there for a disk holds up no lookup. The
//! machines in `linenthread-fleet` and `linenthread-zones` decide; here are sockets, files and clocks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener, UdpSocket as StdUdp};
use std::rc::Rc;
use std::sync::mpsc as blocking;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{CommittedValue, Fleet, FleetAction, FleetConfig, NodeIdentity};
use linenthread_frames::{DecodeError, Decoder, Encoder, Secrets};
use linenthread_installation as file;
use linenthread_store::Directory;
use linenthread_zones::{Decider, Ground, Report, Table, Terms, Zone};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};
use tracing::{info, warn};

use crate::clock::Clock;
use crate::log::Sparing;

/// SIGXFSZ.
const FILE_TOO_LONG: i32 = 25;
const READ: usize = 64 * 1024;
const DATAGRAM: usize = 2_048;
const CONNECT: Duration = Duration::from_millis(1_000);
/// Bytes that wait on one connection at the most; beyond that it is ended.
const MOST_WAITING: usize = 4 * 1024 * 1024;
/// What was seen is passed on this often.
const TELL: TenthMillis = 5_000;
/// A voter whose disk has failed looks this often whether it is sound again.
const REVIVE: TenthMillis = 100_000;
/// What has been said at the end may take so long to leave.
const LEAVE: Duration = Duration::from_millis(150);

/// The record's topics that are known here.
pub(crate) const TABLE: &str = "zones.table";
pub(crate) const ORDERS: &str = "zones.orders";
const SEEN: u8 = 1;
const ORDER: u8 = 2;

/// Which zones the operators have had left, and what became of the last order.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Orders {
    pub drained: BTreeSet<String>,
    /// The order's number, and why it was refused, if it was.
    pub last: u64,
    pub refused: String,
}

impl Orders {
    fn encode(&self) -> Vec<u8> {
        let mut put = Encoder::new();
        put.u16(self.drained.len() as u16);
        self.drained.iter().for_each(|zone| put.text(zone));
        put.u64(self.last);
        put.text(&self.refused);
        put.into_bytes()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Orders, DecodeError> {
        let mut take = Decoder::new(bytes);
        let mut orders = Orders::default();
        for _ in 0..take.u16()? {
            orders.drained.insert(take.text()?);
        }
        (orders.last, orders.refused) = (take.u64()?, take.text()?);
        take.finish()?;
        Ok(orders)
    }
}

/// An operator's order on its way to who leads.
pub(crate) fn order(number: u64, zone: &str, drain: bool) -> Vec<u8> {
    let mut put = Encoder::new();
    put.u8(ORDER);
    put.u64(number);
    put.text(zone);
    put.u8(drain.into());
    put.into_bytes()
}

/// What the thread is told.
pub(crate) enum ToFleet {
    /// What was seen here since the last time, and what there is.
    Seen(Report, Ground),
    Leave,
}

/// What it tells.
pub(crate) enum FromFleet {
    Table { number: u64, table: Table },
}

/// What is needed to take part.
#[derive(Clone)]
pub(crate) struct Place {
    pub name: String,
    pub fleet: file::Fleet,
    pub zones: Option<file::Zones>,
    pub secrets: Secrets,
    pub seed: u64,
}

/// The way to the thread.
pub(crate) struct Handle {
    pub to: mpsc::UnboundedSender<ToFleet>,
    done: blocking::Receiver<()>,
}

impl Handle {
    /// Leaves the fleet, and waits until that is said, for a moment at the most.
    pub(crate) fn leave(&self) {
        self.to.send(ToFleet::Leave).ok();
        self.done.recv_timeout(LEAVE * 4).ok();
    }
}

pub(crate) fn zones_of(zones: &file::Zones) -> Vec<Zone> {
    let zone = |z: &file::Zone| Zone {
        name: z.name.clone(),
        region: z.region.clone(),
        room: z.replica_capacity.map(f64::from),
    };
    zones.zones.iter().map(zone).collect()
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn tenths(duration: Duration) -> TenthMillis {
    TenthMillis::try_from(duration.as_millis()).unwrap_or(TenthMillis::MAX / 10) * 10
}

/// Starts the thread.
///
/// # Errors
///
/// It cannot listen, or what its disk holds must not be used.
pub(crate) fn start(
    place: Place,
    clock: Clock,
    from: mpsc::UnboundedSender<FromFleet>,
) -> Result<Handle, String> {
    let listen = place.fleet.listen;
    let cannot = |e: io::Error| format!("cannot listen for the fleet on {listen}: {e}");
    let tcp = StdListener::bind(listen).map_err(cannot)?;
    let udp = StdUdp::bind(listen).map_err(cannot)?;
    tcp.set_nonblocking(true)
        .and_then(|()| udp.set_nonblocking(true))
        .map_err(cannot)?;
    let (to, told) = mpsc::unbounded_channel();
    let (done_to, done) = blocking::channel();
    let (begun_to, begun) = blocking::channel();
    let run = move || {
        let runtime = match tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        {
            Ok(runtime) => runtime,
            Err(e) => return drop(begun_to.send(Err(e.to_string()))),
        };
        LocalSet::new().block_on(&runtime, async move {
            match Member::new(place, clock, from, tcp, udp) {
                Ok(member) => {
                    begun_to.send(Ok(())).ok();
                    member.run(told).await;
                }
                Err(why) => drop(begun_to.send(Err(why))),
            }
        });
        done_to.send(()).ok();
    };
    std::thread::Builder::new()
        .name("fleet".into())
        .spawn(run)
        .map_err(|e| e.to_string())?;
    begun
        .recv()
        .map_err(|_| "the fleet's thread ended".to_owned())??;
    Ok(Handle { to, done })
}

struct Wire {
    frames: RefCell<VecDeque<Vec<u8>>>,
    waiting: Cell<usize>,
    close: RefCell<Option<String>>,
    news: Notify,
}

struct Inner {
    name: String,
    place: Place,
    clock: Clock,
    fleet: RefCell<Fleet<Directory>>,
    udp: UdpSocket,
    wires: RefCell<BTreeMap<u64, Rc<Wire>>>,
    from: mpsc::UnboundedSender<FromFleet>,
    woken: Notify,
    lines: Sparing,
    connection_lines: Sparing,
    seen_lines: Sparing,
    // What is decided on zones, where there are any.
    seen: RefCell<Report>,
    ground: RefCell<Option<Ground>>,
    decider: RefCell<Option<Decider>>,
    /// Orders that wait for who leads, which this program is.
    orders: RefCell<Vec<Vec<u8>>>,
    told_at: Cell<TenthMillis>,
    proposed_at: Cell<TenthMillis>,
    revived_at: Cell<TenthMillis>,
}

#[derive(Clone)]
struct Member(Rc<Inner>);

/// A voter's folder; `None` for who keeps nothing.
fn folder(place: &Place) -> Result<Option<Directory>, String> {
    let is_voter = place.fleet.voters.iter().any(|v| v.name == place.name);
    let Some(path) = place.fleet.folder.clone().filter(|_| is_voter) else {
        return match is_voter {
            true => Err(format!(
                "{} is a voter, and <fleet> names no folder for its record",
                place.name
            )),
            false => Ok(None),
        };
    };
    Directory::open(&path)
        .map_err(|error| error.to_string())
        .map(Some)
}

impl Member {
    fn new(
        place: Place,
        clock: Clock,
        from: mpsc::UnboundedSender<FromFleet>,
        tcp: StdListener,
        udp: StdUdp,
    ) -> Result<Member, String> {
        let file::Fleet {
            address,
            machine,
            zone,
            region,
            expected_members,
            probe_interval,
            voters,
            ..
        } = place.fleet.clone();
        let own = NodeIdentity {
            machine,
            zone,
            region,
            version: 1,
            weight: 1_000,
            incarnation: unix_ms(),
            ..NodeIdentity::unknown(&place.name, address)
        };
        let voters = voters.into_iter().map(|v| (v.name, v.address)).collect();
        let terms = FleetConfig {
            local: own,
            voters,
            expected_members,
            probe_interval: tenths(probe_interval),
        };
        let mut to = Vec::new();
        let now = clock.now();
        let folder = folder(&place)?;
        let fleet = Fleet::new(
            terms,
            folder,
            place.secrets.clone(),
            place.seed,
            now,
            &mut to,
        )
        .map_err(|e| format!("the record: {e}"))?;
        let udp = UdpSocket::from_std(udp).map_err(|e| e.to_string())?;
        let tcp = TcpListener::from_std(tcp).map_err(|e| e.to_string())?;
        let member = Member(Rc::new(Inner {
            name: place.name.clone(),
            place,
            clock,
            fleet: RefCell::new(fleet),
            udp,
            wires: RefCell::default(),
            from,
            woken: Notify::new(),
            lines: Sparing::default(),
            connection_lines: Sparing::default(),
            seen_lines: Sparing::default(),
            seen: RefCell::default(),
            ground: RefCell::default(),
            decider: RefCell::default(),
            orders: RefCell::default(),
            told_at: Cell::new(now),
            proposed_at: Cell::new(now),
            revived_at: Cell::new(now),
        }));
        member.obey(to);
        // A disk that is full is met as an error of its write, not by the end of the program.
        if let Ok(mut full) = signal(SignalKind::from_raw(FILE_TOO_LONG)) {
            spawn_local(async move { while full.recv().await.is_some() {} });
        }
        spawn_local(member.clone().accept(tcp));
        spawn_local(member.clone().datagrams());
        Ok(member)
    }

    async fn run(self, mut told: mpsc::UnboundedReceiver<ToFleet>) {
        info!(voter = self.0.fleet.borrow().stage().is_some(), "fleet");
        loop {
            let now = self.0.clock.now();
            let at = self
                .0
                .fleet
                .borrow()
                .wake_at()
                .min(now + TELL)
                .max(now + 10);
            tokio::select! {
                () = sleep_until(self.0.clock.at(at)) => {}
                () = self.0.woken.notified() => {}
                one = told.recv() => match one {
                    Some(ToFleet::Seen(report, ground)) => {
                        self.0.seen.borrow_mut().add(&report);
                        self.0.ground.replace(Some(ground));
                    }
                    Some(ToFleet::Leave) | None => {
                        self.act(linenthread_fleet::Fleet::leave);
                        sleep(LEAVE).await;
                        return;
                    }
                },
            }
            let due = self.0.fleet.borrow().wake_at() <= self.0.clock.now();
            if due {
                self.act_here(linenthread_fleet::Fleet::wake);
            }
            self.revive();
            self.decide();
        }
    }

    /// Lets the machine take something in, and does what it says.
    fn act(&self, take: impl FnOnce(&mut Fleet<Directory>, TenthMillis, &mut Vec<FleetAction>)) {
        self.act_here(take);
        self.0.woken.notify_one();
    }

    /// As [`Member::act`], from where it is looked next at when to wake: it need not be woken for that.
    fn act_here(
        &self,
        take: impl FnOnce(&mut Fleet<Directory>, TenthMillis, &mut Vec<FleetAction>),
    ) {
        let mut to = Vec::new();
        take(&mut self.0.fleet.borrow_mut(), self.0.clock.now(), &mut to);
        self.obey(to);
    }

    fn obey(&self, all: Vec<FleetAction>) {
        for one in all {
            match one {
                FleetAction::Dial {
                    connection,
                    address,
                } => {
                    spawn_local(self.clone().dial(connection, address));
                }
                FleetAction::Write { connection, bytes } => {
                    if let Some(wire) = self.0.wires.borrow().get(&connection) {
                        wire.waiting.set(wire.waiting.get() + bytes.len());
                        if wire.waiting.get() > MOST_WAITING {
                            wire.close
                                .replace(Some("it does not take what it is told".into()));
                        }
                        wire.frames.borrow_mut().push_back(bytes);
                        wire.news.notify_one();
                    }
                }
                FleetAction::Close {
                    connection,
                    reason: why,
                } => {
                    if let Some(wire) = self.0.wires.borrow().get(&connection) {
                        wire.close.replace(Some(why));
                        wire.news.notify_one();
                    }
                }
                // A datagram that can't go is as good as one that is lost.
                FleetAction::Datagram { to, bytes } => drop(self.0.udp.try_send_to(&bytes, to)),
                FleetAction::Committed(agreed) => self.agreed(agreed),
                FleetAction::MemberUp(who) => {
                    info!(member = who.name, zone = who.zone, "a member is there");
                }
                FleetAction::MemberDown(who) => {
                    warn!(member = who.name, zone = who.zone, "a member is gone");
                }
                FleetAction::Report { from, bytes } => self.reported(&from, bytes),
                FleetAction::LogConnection(line) => {
                    if let Some(left_out) = self.0.connection_lines.line() {
                        info!(left_out, "fleet: {line}");
                    }
                }
                FleetAction::Log(line) => {
                    if let Some(left_out) = self.0.lines.line() {
                        info!(left_out, "fleet: {line}");
                    }
                }
            }
        }
    }

    // --- connections ---

    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Its wire stands before the first word to it.
                    let mut to = Vec::new();
                    let now = self.0.clock.now();
                    let number = self.0.fleet.borrow_mut().on_accepted(now, &mut to);
                    if let Some(number) = number {
                        self.wire(number, stream);
                    }
                    self.obey(to);
                }
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn dial(self, number: u64, address: SocketAddr) {
        match timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => self.wire(number, stream),
            Ok(Err(_)) | Err(_) => self.act(|fleet, now, to| fleet.on_closed(now, number, to)),
        }
    }

    fn wire(&self, number: u64, stream: TcpStream) {
        let wire = Rc::new(Wire {
            frames: RefCell::default(),
            waiting: Cell::new(0),
            close: RefCell::default(),
            news: Notify::new(),
        });
        self.0.wires.borrow_mut().insert(number, wire.clone());
        let member = self.clone();
        spawn_local(async move {
            let why = member.serve(stream, number, &wire).await;
            // The one place where a connection is given back.
            member.0.wires.borrow_mut().remove(&number);
            member.act(|fleet, now, to| fleet.on_closed(now, number, to));
            if let Some(left_out) = member.0.connection_lines.line() {
                info!(left_out, "a connection of the fleet ended: {why}");
            }
        });
    }

    async fn serve(&self, mut stream: TcpStream, number: u64, wire: &Wire) -> String {
        stream.set_nodelay(true).ok();
        let (mut reads, mut writes) = stream.split();
        let mut buffer = vec![0; READ];
        let mut writing: Option<(Vec<u8>, usize)> = None;
        loop {
            if writing.is_none() {
                writing = wire.frames.borrow_mut().pop_front().map(|bytes| (bytes, 0));
            }
            // What was said before the end leaves first, unless nobody takes it.
            if (writing.is_none() || wire.waiting.get() > MOST_WAITING)
                && let Some(why) = wire.close.take()
            {
                return why;
            }
            let rest = writing
                .as_ref()
                .map_or(&[][..], |(bytes, at)| &bytes[*at..]);
            tokio::select! {
                n = reads.read(&mut buffer) => match n {
                    Ok(0) => return "closed by the other side".into(),
                    Ok(n) => self.act(|fleet, now, to| fleet.on_received(now, number, &buffer[..n], to)),
                    Err(e) => return e.to_string(),
                },
                n = writes.write(rest), if !rest.is_empty() => match n {
                    Ok(n) => {
                        wire.waiting.set(wire.waiting.get().saturating_sub(n));
                        writing = writing.map(|(bytes, at)| (bytes, at + n)).filter(|(b, at)| *at < b.len());
                    }
                    Err(e) => return e.to_string(),
                },
                () = wire.news.notified() => {}
                // One that takes nothing is not waited for when it is to end.
                () = sleep(CONNECT), if wire.close.borrow().is_some() => return "it takes nothing".into(),
            }
        }
    }

    async fn datagrams(self) {
        let mut buffer = vec![0; DATAGRAM];
        loop {
            match self.0.udp.recv_from(&mut buffer).await {
                Ok((n, _)) => self.act(|fleet, now, to| fleet.on_datagram(now, &buffer[..n], to)),
                // Somebody's port is closed: its own matter.
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// Takes part again once a disk that failed is sound.
    fn revive(&self) {
        let now = self.0.clock.now();
        if !self.0.fleet.borrow().is_stopped() || now < self.0.revived_at.get() + REVIVE {
            return;
        }
        self.0.revived_at.set(now);
        let taken =
            folder(&self.0.place).and_then(|folder| folder.ok_or_else(|| "there is none".into()));
        match taken {
            Ok(folder) => self.act(|fleet, now, to| {
                if let Err(why) = fleet.open_voter(folder, now, to) {
                    warn!("this voter's folder cannot be used: {why}");
                }
            }),
            Err(why) => warn!("this voter's folder cannot be used: {why}"),
        }
    }

    // --- what is decided on zones ---

    fn agreed(
        &self,
        CommittedValue {
            topic,
            number,
            value,
        }: CommittedValue,
    ) {
        match topic.as_str() {
            TABLE => match Table::decode(&value) {
                Ok(table) => drop(self.0.from.send(FromFleet::Table { number, table })),
                Err(why) => warn!("a table that cannot be read was agreed on: {why}"),
            },
            ORDERS => {
                if let Ok(orders) = Orders::decode(&value) {
                    info!(number, drained = ?orders.drained, refused = orders.refused, "orders on zones");
                }
            }
            _ => {}
        }
    }

    /// Another's report, to be put together with what was seen here, or an order.
    fn reported(&self, from: &str, bytes: Vec<u8>) {
        match bytes.first() {
            Some(&SEEN) => match Report::decode(&bytes[1..]) {
                Ok(report) => self.0.seen.borrow_mut().add(&report),
                Err(why) => {
                    if let Some(left_out) = self.0.lines.line() {
                        warn!(from, left_out, "a report is not taken: {why}");
                    }
                }
            },
            Some(&ORDER) => {
                let now = self.0.clock.now();
                if self.0.fleet.borrow().is_leader(now) {
                    if self.0.orders.borrow().len() < 64 {
                        self.0.orders.borrow_mut().push(bytes);
                    }
                } else if from != self.0.name {
                    self.act(|fleet, _, to| fleet.report(bytes, to));
                }
            }
            _ => {}
        }
    }

    fn orders(&self) -> (u64, Orders) {
        let fleet = self.0.fleet.borrow();
        let value = fleet.table().value(ORDERS);
        value.map_or((0, Orders::default()), |(n, v)| {
            (n, Orders::decode(v).unwrap_or_default())
        })
    }

    /// Passes on what was seen; and where this program leads, decides.
    fn decide(&self) {
        let now = self.0.clock.now();
        let Some(zones) = &self.0.place.zones else {
            return;
        };
        let leads = self.0.fleet.borrow().is_leader(now);
        if !leads {
            self.0.decider.take();
            self.0.orders.borrow_mut().clear();
            if now >= self.0.told_at.get() + TELL {
                self.0.told_at.set(now);
                let seen = self.0.seen.take();
                if !seen.is_empty() {
                    let bytes = [vec![SEEN], seen.encode()].concat();
                    self.act(|fleet, _, to| fleet.report(bytes, to));
                }
            }
            return;
        }
        // Between two spans there is nothing to decide, but for an order.
        let waits = self
            .0
            .decider
            .borrow()
            .as_ref()
            .is_some_and(|decider| now < decider.wake_at());
        if waits && self.0.orders.borrow().is_empty() {
            return;
        }
        let Some(ground) = self.0.ground.borrow().clone() else {
            return;
        };
        let (orders_number, mut orders) = self.orders();
        let asked = std::mem::take(&mut *self.0.orders.borrow_mut());
        if let Some(bytes) = asked.last() {
            self.order(&ground, &mut orders, &bytes[1..]);
            let value = orders.encode();
            self.act(|fleet, now, to| {
                fleet.propose(now, ORDERS, orders_number, value, to).ok();
            });
        }
        let (number, before) = {
            let fleet = self.0.fleet.borrow();
            let value = fleet.table().value(TABLE);
            (
                value.map_or(0, |(n, _)| n),
                value.and_then(|(_, v)| Table::decode(v).ok()),
            )
        };
        let terms = Terms {
            margin: f64::from(zones.max_utilization) / 1_000.0,
            hold: tenths(zones.min_evacuation),
            longest_hold: tenths(zones.max_evacuation),
            step: tenths(zones.return_step),
        };
        let mut decider = self.0.decider.borrow_mut();
        let decider = decider
            .get_or_insert_with(|| Decider::new(terms, ground.zones.clone(), before.as_ref(), now));
        let seen = self.0.seen.take();
        let against = |(_, way): &(&(u8, u8), &linenthread_zones::Way)| way.down + way.slow > 0;
        let against: Vec<_> = seen.ways.iter().filter(against).collect();
        if !against.is_empty()
            && let Some(left_out) = self.0.seen_lines.line()
        {
            info!(?against, observers = ?seen.asked, left_out, "seen against zones");
        }
        decider.hear(&seen);
        decider.drained(&self.orders().1.drained, now);
        // A moment ahead, so that all have it by then.
        let from_ms = unix_ms() + 300;
        let mut table = decider.decide(now, from_ms, &ground);
        // It is told anew before anybody could take it for one that nobody stands by any more.
        if table.is_none() && now >= self.0.proposed_at.get() + tenths(zones.table_lifetime) / 3 {
            table = Some(decider.table(from_ms));
        }
        if let Some(table) = table {
            self.0.proposed_at.set(now);
            if before.as_ref().is_none_or(|before| table.moves(before)) {
                info!(number = number + 1, rows = ?table.rows, "proposes a table");
            }
            let value = table.encode();
            self.act(|fleet, now, to| {
                if let Err(why) = fleet.propose(now, TABLE, number, value, to) {
                    warn!("a table was not proposed: {why}");
                }
            });
        }
    }

    /// Carries out an operator's order, or says why not.
    fn order(&self, ground: &Ground, orders: &mut Orders, bytes: &[u8]) {
        let mut take = Decoder::new(bytes);
        let read = (|| Ok::<_, DecodeError>((take.u64()?, take.text()?, take.flag()?)))();
        let Ok((number, zone, drain)) = read else {
            return;
        };
        orders.last = number;
        orders.refused.clear();
        if drain {
            match ground.may_drain(&zone, &orders.drained) {
                Ok(()) => drop(orders.drained.insert(zone)),
                Err(error) => orders.refused = error.to_string(),
            }
        } else if !orders.drained.remove(&zone) {
            orders.refused = format!("zone {zone} is not drained");
        }
    }
}

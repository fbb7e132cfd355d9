//! `linenthread zones`: an operator looks at the table that is acted on, or has a zone left or taken back. It follows
//! a voter for a moment, as any process of the fleet that is none itself.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{Fleet, FleetAction, FleetConfig, NodeIdentity};
use linenthread_frames::Secrets;
use linenthread_installation::Installation;
use linenthread_store::Directory;
use linenthread_zones::RoutingTable;

use crate::fleet::{ORDERS_TOPIC, Orders, TABLE_TOPIC, encode_order};
use crate::installation;

/// So long it waits for an answer, and so long for more values after the first ones.
const PATIENCE: Duration = Duration::from_secs(10);
const QUIET: Duration = Duration::from_millis(400);

/// What an operator asks of the fleet.
#[derive(Clone, Debug)]
pub(crate) enum ZonesAction {
    /// Show the routing table in force.
    Show,
    /// Have all co-ordinators leave the zone.
    Drain(String),
    /// Have the zone taken back, step by step.
    Return(String),
}

struct Line {
    fleet: Fleet<Directory>,
    stream: Option<(u64, TcpStream)>,
    began: Instant,
}

impl Line {
    fn now(&self) -> TenthMillis {
        1_000_000 + (self.began.elapsed().as_micros() / 100) as TenthMillis
    }

    /// Does what the machine says. Gossip is not for one that stays a moment.
    fn obey(&mut self, all: Vec<FleetAction>) -> bool {
        let mut agreed = false;
        let mut todo = all;
        while !todo.is_empty() {
            let mut next = Vec::new();
            for one in std::mem::take(&mut todo) {
                match one {
                    FleetAction::Dial {
                        connection,
                        address,
                    } => match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
                        Ok(stream) => self.stream = Some((connection, stream)),
                        Err(_) => self.fleet.on_closed(self.now(), connection, &mut next),
                    },
                    FleetAction::Write { connection, bytes } => {
                        let sent = match &mut self.stream {
                            Some((number, stream)) if *number == connection => {
                                stream.write_all(&bytes).is_ok()
                            }
                            _ => true,
                        };
                        if !sent {
                            self.stream = None;
                            self.fleet.on_closed(self.now(), connection, &mut next);
                        }
                    }
                    FleetAction::Close { connection, .. } => {
                        self.stream = None;
                        self.fleet.on_closed(self.now(), connection, &mut next);
                    }
                    FleetAction::Committed(_) => agreed = true,
                    _ => {}
                }
            }
            todo = next;
        }
        agreed
    }

    /// One turn; whether something that was agreed on came.
    fn turn(&mut self) -> bool {
        let (now, mut to) = (self.now(), Vec::new());
        self.fleet.wake(now, &mut to);
        let mut agreed = self.obey(to);
        let mut buffer = [0; 64 * 1024];
        let Some((number, stream)) = &mut self.stream else {
            std::thread::sleep(Duration::from_millis(20));
            return agreed;
        };
        let number = *number;
        stream
            .set_read_timeout(Some(Duration::from_millis(50)))
            .ok();
        let read = stream.read(&mut buffer);
        let (now, mut to) = (self.now(), Vec::new());
        match read {
            Ok(n) if n > 0 => self.fleet.on_received(now, number, &buffer[..n], &mut to),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => {
                self.stream = None;
                self.fleet.on_closed(now, number, &mut to);
            }
        }
        agreed |= self.obey(to);
        agreed
    }

    fn orders(&self) -> Orders {
        self.fleet
            .table()
            .value(ORDERS_TOPIC)
            .and_then(|(_, v)| Orders::decode(v).ok())
            .unwrap_or_default()
    }
}

fn show(line: &Line) -> String {
    let Some((number, value)) = line.fleet.table().value(TABLE_TOPIC) else {
        return "no table was agreed on yet: all ways are open, the nearest first".into();
    };
    let Ok(table) = RoutingTable::decode(value) else {
        return "the table cannot be read by this version".into();
    };
    let mut text = format!("table {number}; keys of a thousand to which each way is open\n");
    let width = table
        .zones
        .iter()
        .map(String::len)
        .max()
        .unwrap_or(0)
        .max(8);
    text += &format!("{:width$}", "from");
    table
        .zones
        .iter()
        .for_each(|to| text += &format!("  {to:>width$}"));
    for (from, row) in table.zones.iter().zip(&table.rows) {
        text += &format!("\n{from:width$}");
        for route in &row.routes {
            let word = format!("{} {}", route.share, route.reason);
            text += &format!("  {word:>width$}");
        }
    }
    let drained: Vec<String> = line.orders().drained.into_iter().collect();
    if !drained.is_empty() {
        text += &format!("\nleft by order: {}", drained.join(", "));
    }
    text
}

/// Carries a wish out and says what became of it.
///
/// # Errors
///
/// One line: the file is bad, no voter could be reached, or the order was refused.
pub(crate) fn run(file: &Path, action: &ZonesAction) -> Result<String, String> {
    let read = Installation::read_file(file, &|_| {
        Some(linenthread_installation::KnownIndex { min_share: 0.0 })
    })
    .map_err(|error| error.to_string())?;
    let fleet = read
        .fleet
        .ok_or_else(|| format!("{}: there is no <fleet>", file.display()))?;
    let secrets = Secrets::new(installation::secrets(&fleet.secret_files)?)
        .map_err(|error| error.to_string())?;
    let own = NodeIdentity::unknown(&format!("operator-{}", std::process::id()), fleet.address);
    let voters = fleet
        .voters
        .into_iter()
        .map(|v| (v.name, v.address))
        .collect();
    let terms = FleetConfig {
        local: own,
        voters,
        expected_members: fleet.expected_members,
        probe_interval: 60_000,
    };
    let mut to = Vec::new();
    let began = Instant::now();
    // What it makes up in handshakes must be new each time.
    let seed = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let seed = seed.as_nanos() as u64 ^ u64::from(std::process::id()) << 40;
    let machine = Fleet::new(terms, None, secrets, seed, 1_000_000, &mut to)
        .map_err(|error| error.to_string())?;
    let mut line = Line {
        fleet: machine,
        stream: None,
        began,
    };
    line.obey(to);
    let number = seed | 1;
    let mut asked: Option<Instant> = None;
    let mut heard: Option<Instant> = None;
    while began.elapsed() < PATIENCE {
        if line.turn() {
            heard = Some(Instant::now());
        }
        match action {
            ZonesAction::Show => {
                if heard.is_some_and(|at| at.elapsed() > QUIET) {
                    return Ok(show(&line));
                }
            }
            ZonesAction::Drain(zone) | ZonesAction::Return(zone) => {
                let drain = matches!(action, ZonesAction::Drain(_));
                if heard.is_some() && asked.is_none_or(|at| at.elapsed() > Duration::from_secs(2)) {
                    asked = Some(Instant::now());
                    let mut to = Vec::new();
                    line.fleet
                        .report(encode_order(number, zone, drain), &mut to);
                    line.obey(to);
                }
                let orders = line.orders();
                if orders.last == number {
                    let word = if drain { "is left" } else { "returns in steps" };
                    return match orders.refused.is_empty() {
                        true => Ok(format!("zone {zone} {word}: agreed on")),
                        false => Err(format!("refused: {}", orders.refused)),
                    };
                }
            }
        }
    }
    Err(match heard {
        Some(_) => {
            "nobody who leads has answered: nothing was agreed on, as far as is known here".into()
        }
        None => "no voter could be reached, or nothing was agreed on yet".into(),
    })
}

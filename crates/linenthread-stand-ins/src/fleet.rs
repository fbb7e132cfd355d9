//! Replicas that leave each answer to a test, or to whoever takes their parts.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;

use crate::{PATIENCE, wait};

/// A part that arrived at a replica.
#[derive(Debug)]
pub struct Part {
    pub replica: usize,
    /// Which part call of its connection brought it.
    pub frame: usize,
    pub id: String,
    pub shard: usize,
    pub list: String,
    pub text: String,
    line: TcpStream,
}

impl Part {
    pub fn say(&self, letter: u8, rest: &str) {
        assert!(
            self.bytes(
                &[
                    &(rest.len() as u32 + 1).to_be_bytes()[..],
                    &[letter],
                    rest.as_bytes()
                ]
                .concat()
            )
        );
    }

    /// Says anything at all, and whether the other side still takes it.
    pub fn bytes(&self, bytes: &[u8]) -> bool {
        (&self.line).write_all(bytes).is_ok()
    }

    pub fn answer(&self, value: &str) {
        self.say(b'E', &format!("{} hit 17 queue=0\n{value}", self.id));
    }

    /// The other end of the connection that the part came on.
    pub fn from(&self) -> SocketAddr {
        self.line.peer_addr().unwrap()
    }

    /// Waits until the other side has ended that connection.
    pub fn ended(&self) -> bool {
        self.line.set_read_timeout(Some(PATIENCE)).unwrap();
        self.line.peek(&mut [0]).is_ok_and(|n| n == 0)
    }

    /// Ends the connection that the part came on.
    pub fn cut(&self) {
        self.line.shutdown(Shutdown::Both).unwrap();
    }
}

enum Heard {
    Part(Part),
    GivenUp(String),
}

/// Replicas that leave each answer to the test; probes are answered at once.
pub struct Fleet {
    pub addresses: Vec<SocketAddr>,
    /// So many connections that have been used end at the next byte that comes on them.
    pub faint: Arc<AtomicUsize>,
    heard: Receiver<Heard>,
}

impl Fleet {
    pub fn start(n: usize) -> Fleet {
        let (to, heard) = channel();
        let faint = Arc::new(AtomicUsize::new(0));
        let start = |replica| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let (address, to, faint) = (listener.local_addr().unwrap(), to.clone(), faint.clone());
            spawn(move || {
                for line in listener.incoming() {
                    let (to, faint) = (to.clone(), faint.clone());
                    spawn(move || hear(replica, line.unwrap(), to, &faint));
                }
            });
            address
        };
        Fleet {
            addresses: (0..n).map(start).collect(),
            faint,
            heard,
        }
    }

    pub fn part(&self) -> Part {
        match wait(&self.heard, "a part") {
            Heard::Part(part) => part,
            Heard::GivenUp(id) => panic!("{id} is given up"),
        }
    }

    pub fn given_up(&self) -> String {
        match wait(&self.heard, "a part given up") {
            Heard::GivenUp(id) => id,
            Heard::Part(part) => panic!("{} is sent", part.id),
        }
    }

    /// The next part, however long it takes; those given up are passed over.
    pub fn next(&self) -> Option<Part> {
        self.heard.iter().find_map(|heard| match heard {
            Heard::Part(part) => Some(part),
            Heard::GivenUp(_) => None,
        })
    }

    /// What else has come: ids of parts, and of those given up.
    pub fn rest(&self) -> Vec<String> {
        let word = |heard| match heard {
            Heard::Part(part) => part.id,
            Heard::GivenUp(id) => format!("{id} given up"),
        };
        self.heard.try_iter().map(word).collect()
    }
}

/// The parts of one part call: id, shard, list and text of each.
fn parts(mut rest: &str) -> Vec<[&str; 4]> {
    let mut parts = Vec::new();
    while let Some((head, tail)) = rest.split_once('\n') {
        let [id, shard, list, length] = head.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{head}")
        };
        let (text, next) = tail.split_at(length.parse().unwrap());
        parts.push([id, shard, list, text]);
        rest = next;
    }
    parts
}

fn hear(replica: usize, mut line: TcpStream, to: Sender<Heard>, faint: &AtomicUsize) {
    let mut frames = 0;
    loop {
        let mut head = [0; 5];
        let came = line.peek(&mut [0]).is_ok_and(|n| n > 0);
        if came
            && frames > 0
            && faint
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
                .is_ok()
        {
            line.shutdown(Shutdown::Both).ok();
            return;
        }
        if line.read_exact(&mut head).is_err() {
            return;
        }
        let mut rest = vec![0; u32::from_be_bytes(head[..4].try_into().unwrap()) as usize - 1];
        if line.read_exact(&mut rest).is_err() {
            return;
        }
        let rest = String::from_utf8(rest).unwrap();
        let heard = match head[4] {
            b'A' => {
                frames += 1;
                for part in parts(&rest) {
                    let [id, shard, list, text] = part.map(str::to_owned);
                    let (shard, line) = (shard.parse().unwrap(), line.try_clone().unwrap());
                    let part = Part {
                        replica,
                        frame: frames,
                        id,
                        shard,
                        list,
                        text,
                        line,
                    };
                    if to.send(Heard::Part(part)).is_err() {
                        return;
                    }
                }
                continue;
            }
            b'B' => Heard::GivenUp(rest),
            b'D' => {
                line.write_all(b"\0\0\0\x08Dqueue=0").unwrap();
                continue;
            }
            other => panic!("a frame with the letter {other}"),
        };
        if to.send(heard).is_err() {
            return;
        }
    }
}

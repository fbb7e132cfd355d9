//! A fake of service discovery: it gives its full membership when asked, and leaves each watch to the test.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;

use serde_json::{Value, json};

use crate::http::{read_message, write_response};
use crate::loopback::{self, duplicate};
use crate::{PATIENCE, wait};

/// Service discovery that gives its full membership when asked, and leaves each watch to the test.
pub struct ServiceDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    watches: Receiver<TcpStream>,
}

impl ServiceDiscovery {
    /// Starts with a membership, as [`membership`] makes it.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start(full: String) -> ServiceDiscovery {
        let listener = loopback::listen();
        let address = loopback::address_of(&listener);
        let (watch_sender, watches) = channel();
        spawn(move || {
            for connection in listener.incoming() {
                let connection = connection.expect("a connection can be accepted");
                let (watch_sender, full) = (watch_sender.clone(), full.clone());
                spawn(move || serve(&connection, &watch_sender, &full));
            }
        });
        ServiceDiscovery { address, watches }
    }

    /// Waits for a watch, and then for the other side to close it; whether it was closed without more bytes.
    ///
    /// # Panics
    ///
    /// If no watch arrives in time.
    pub fn watch_is_closed(&self) -> bool {
        let connection = wait(&self.watches, "a watch");
        connection
            .set_read_timeout(Some(PATIENCE))
            .expect("the time-out is not zero");
        connection.peek(&mut [0]).is_ok_and(|bytes| bytes == 0)
    }

    /// Answers the pending watch, or the next.
    ///
    /// # Panics
    ///
    /// If no watch arrives in time, or its connection does not take the answer.
    pub fn answer_watch(&self, body: &str) {
        write_response(&wait(&self.watches, "a watch"), body);
    }
}

fn serve(connection: &TcpStream, watch_sender: &Sender<TcpStream>, full: &str) {
    let mut reader = BufReader::new(duplicate(connection));
    while let Some(message) = read_message(&mut reader) {
        if !message.start_line.contains("from=") {
            write_response(connection, full);
        } else if watch_sender.send(duplicate(connection)).is_err() {
            return;
        }
    }
}

/// A replica as service discovery describes it.
pub fn member(id: usize, address: SocketAddr, phase: &str) -> Value {
    json!({"id": format!("s-{id}"), "host_port": address.to_string(), "locality": "a", "flavor": "m",
           "cell": id, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// A membership at a revision: the full one, or what has changed.
pub fn membership(revision: u64, full: bool, members: Vec<Value>) -> String {
    json!({"revision": revision, "complete": full, "members": Value::Array(members)}).to_string()
}

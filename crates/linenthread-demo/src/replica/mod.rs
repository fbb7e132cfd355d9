//! Stub replicas: respond with their service's records, record the requests they run, send heartbeats to the control
//! nodes, and fail on demand.

mod connection;
mod faults;
mod heartbeats;
mod records;
mod state;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};

use snafu::ResultExt;

pub use faults::ReplicaFaults;
pub use records::records;
pub use state::ReceivedRequest;

use crate::error::{DemoError, StartReplicaSnafu};
use state::State;

/// A running stub replica.
pub struct Replica {
    /// The id in its heartbeats: `i-SERVICE-NUMBER`.
    pub id: String,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    state: Arc<State>,
    /// Dropping the sender stops the heartbeats.
    heartbeats: Option<Sender<()>>,
}

impl Replica {
    pub(crate) fn start(
        service: &str,
        id: &str,
        zone: &str,
        control: Vec<SocketAddr>,
        faults: ReplicaFaults,
    ) -> Result<Replica, DemoError> {
        let context = StartReplicaSnafu { replica: id };
        let listener = TcpListener::bind("127.0.0.1:0").context(context)?;
        let address = listener.local_addr().context(context)?;
        let state = Arc::new(State::new(service, id, faults));
        let listening = state.clone();
        std::thread::spawn(move || listen(&listener, &listening));
        let (heartbeats, stop) = channel::<()>();
        let (sending, zone) = (state.clone(), zone.to_owned());
        std::thread::spawn(move || {
            heartbeats::send(&sending, address, &zone, &control, &stop);
        });
        Ok(Replica {
            id: id.to_owned(),
            address,
            state,
            heartbeats: Some(heartbeats),
        })
    }

    /// Returns all requests that it has run so far, in the order in which it received them.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state.received()
    }

    /// Returns the number of responses with a fault so far, by the name of the fault.
    pub fn fault_counts(&self) -> BTreeMap<&'static str, usize> {
        self.state.faults()
    }

    /// Simulates a crash: stops the heartbeats, ends its connections at their next request, and closes its port.
    pub fn crash(&mut self) {
        self.heartbeats = None;
        self.state.crash();
        // Wakes the listening thread, which then returns.
        let _ = TcpStream::connect(self.address);
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.crash();
    }
}

fn listen(listener: &TcpListener, state: &Arc<State>) {
    for (number, stream) in (0u64..).zip(listener.incoming().map_while(Result::ok)) {
        if state.is_down() {
            return;
        }
        let state = state.clone();
        // An error ends the connection; the caller sees it closed.
        std::thread::spawn(move || drop(connection::serve(stream, &state, number)));
    }
}

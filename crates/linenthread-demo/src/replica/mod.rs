//! Stub replicas: they respond with their service's records, record what they run, send heartbeats to the control
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
    /// Its id.
    pub id: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    state: Arc<State>,
    /// Heartbeats are sent until this is dropped.
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

    /// All requests that it ran so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.received()
    }

    /// How often it responded wrongly so far, by the kind of fault.
    pub fn faults(&self) -> BTreeMap<&'static str, usize> {
        self.state.faults()
    }

    /// It crashes: no more heartbeats, its connections end, its port refuses.
    pub fn crash(&mut self) {
        self.heartbeats = None;
        self.state.crash();
        // Wakes the thread that listens.
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
        // A connection that fails is over; the other side sees that.
        std::thread::spawn(move || drop(connection::serve(stream, &state, number)));
    }
}

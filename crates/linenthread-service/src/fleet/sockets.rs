//! Tasks for the sockets of a member: accept, read and write TCP connections between members, and receive gossip
//! datagrams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_fleet::ConnectionId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::info;

use super::connection::{Connection, ConnectionEnd, PartialWrite};
use super::member::Member;

const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum length of a received gossip datagram.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Time limit for establishing a connection, and for writing the last bytes of one that is being closed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a failed accept, so that the loop does not spin when no descriptors are left.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Pause after a failure to receive a datagram.
const DATAGRAM_RETRY: Duration = Duration::from_millis(5);

impl Member {
    /// Accepts connections from other members.
    pub(super) async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // The connection must be registered before the actions that write to it are carried out.
                    let mut actions = Vec::new();
                    let now = self.0.clock.now();
                    let number = self.0.fleet.borrow_mut().on_accepted(now, &mut actions);
                    if let Some(number) = number {
                        self.register(number, stream);
                    }
                    self.execute(actions);
                }
                Err(_) => sleep(ACCEPT_RETRY).await,
            }
        }
    }

    /// Connects to another member.
    pub(super) async fn dial(self, number: ConnectionId, address: SocketAddr) {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => self.register(number, stream),
            Ok(Err(_)) | Err(_) => {
                self.step(|fleet, now, actions| fleet.on_closed(now, number, actions));
            }
        }
    }

    fn register(&self, number: ConnectionId, stream: TcpStream) {
        let connection = Rc::new(Connection::new());
        let connections = &self.0.connections;
        connections.borrow_mut().insert(number, connection.clone());
        let member = self.clone();
        spawn_local(async move {
            let end = member.serve(stream, number, &connection).await;
            // Connections are removed nowhere else.
            member.0.connections.borrow_mut().remove(&number);
            member.step(|fleet, now, actions| fleet.on_closed(now, number, actions));
            if let Some(suppressed) = member.0.connection_log_limit.admit() {
                info!(suppressed, "fleet connection ended: {end}");
            }
        });
    }

    /// Reads and writes until the connection ends; returns the reason.
    async fn serve(
        &self,
        mut stream: TcpStream,
        number: ConnectionId,
        connection: &Connection,
    ) -> ConnectionEnd {
        stream.set_nodelay(true).ok();
        let (mut reader, mut writer) = stream.split();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut writing: Option<PartialWrite> = None;
        loop {
            if writing.is_none() {
                let next = connection.queue.borrow_mut().pop_front();
                writing = next.map(PartialWrite::new);
            }
            // Bytes queued before the close are written first, unless the queue exceeds its limit.
            if (writing.is_none() || connection.exceeds_limit())
                && let Some(end) = connection.close.take()
            {
                return end;
            }
            let remaining = writing.as_ref().map_or(&[][..], PartialWrite::remaining);
            tokio::select! {
                read = reader.read(&mut buffer) => match read {
                    Ok(0) => return ConnectionEnd::ClosedByPeer,
                    Ok(count) => self.step(|fleet, now, actions| {
                        fleet.on_received(now, number, &buffer[..count], actions);
                    }),
                    Err(source) => return ConnectionEnd::Io { source },
                },
                wrote = writer.write(remaining), if !remaining.is_empty() => match wrote {
                    Ok(count) => {
                        let queued_bytes = connection.queued_bytes.get().saturating_sub(count);
                        connection.queued_bytes.set(queued_bytes);
                        writing.take_if(|writing| writing.advance(count));
                    }
                    Err(source) => return ConnectionEnd::Io { source },
                },
                () = connection.changed.notified() => {}
                // If the connection is closing, a peer that has stopped reading is not waited for.
                () = sleep(CONNECT_TIMEOUT), if connection.close.borrow().is_some() => {
                    return ConnectionEnd::StalledPeer;
                }
            }
        }
    }

    /// Receives gossip datagrams and passes them to the state machine.
    pub(super) async fn receive_datagrams(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.0.udp.recv_from(&mut buffer).await {
                Ok((count, _)) => self.step(|fleet, now, actions| {
                    fleet.on_datagram(now, &buffer[..count], actions);
                }),
                // An error reports that an earlier datagram was sent to a closed port; the socket remains usable.
                Err(_) => sleep(DATAGRAM_RETRY).await,
            }
        }
    }
}

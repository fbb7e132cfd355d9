//! Sessions with other control nodes and with ingress nodes, each on its own connection.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use linenthread_control::SessionId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::command::{Command, ControlHandle};
use crate::accept;
use crate::peer_connection::{self, AfterLastMessage};

/// The timeout for connecting to another control node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Accepts connections from peers for as long as the process runs.
pub(super) async fn accept_peers(listener: TcpListener, handle: ControlHandle) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                peer_connection::configure(&stream);
                spawn_local(run_session(stream, peer.to_string(), handle.clone()));
            }
            Err(error) => accept::back_off(&error).await,
        }
    }
}

/// Connects to the peer port of the control node at a control address, and runs the session.
pub(super) async fn dial(control_address: String, peers_port: u16, handle: ControlHandle) {
    let Ok(address) = control_address.parse::<SocketAddr>() else {
        return;
    };
    let peer = SocketAddr::new(address.ip(), peers_port);
    match peer_connection::connect(peer, CONNECT_TIMEOUT).await {
        Ok(stream) => run_session(stream, control_address, handle).await,
        Err(_) => {
            handle.send(Command::DialFailed(control_address)).await;
        }
    }
}

/// Runs a session on an established connection until it ends.
async fn run_session(stream: TcpStream, peer: String, handle: ControlHandle) {
    let session = next_session_id();
    let (outbox, outgoing) = mpsc::channel(peer_connection::MAX_QUEUED_MESSAGES);
    if !handle.send(Command::SessionOpened(session, outbox)).await {
        return;
    }
    let receiver = handle.clone();
    let receive = move |message| {
        let was_sent = receiver.try_send(Command::MessageReceived(session, message));
        if was_sent {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    };
    if let Err(error) =
        peer_connection::exchange(stream, &peer, outgoing, AfterLastMessage::Close, receive).await
    {
        log::info!(cause = error.to_string(); "event=connection_closed");
    }
    handle.send(Command::SessionClosed(session)).await;
}

fn next_session_id() -> SessionId {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    SessionId(NEXT.fetch_add(1, Ordering::Relaxed))
}

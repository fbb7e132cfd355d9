//! The ingress role of this process: the listeners for clients and readiness checks, start-up and graceful shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::Settings;
use linenthread_control::Incarnation;
use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::transport::TcpConnector;
use linenthread_dataplane::{DataPlane, ShutdownSchedule, drain, log_rejected_input, serve};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::control_client::ControlClientHandle;
use crate::error::{Error, io_context};
use crate::signals::SignalWatch;
use crate::{accept, control_client, incarnation};

/// How long a connection may be idle between readiness checks.
const READINESS_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The timeout for reading a readiness check, and for writing its response.
const READINESS_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum length of the request head of a readiness check, in bytes.
const MAX_READINESS_HEAD_BYTES: usize = 16_384;
/// The maximum number of client connections. The limit of open files of a process is not much higher.
const MAX_CLIENTS: usize = 2_500;
/// The interval at which the data plane closes expiring connections and removes departed replicas.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which the data plane checks whether the retry quota has expired.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout for sending the last usage counts to a control node.
const USAGE_REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The running ingress role.
pub(crate) struct Ingress {
    plane: Rc<DataPlane>,
    control_client: ControlClientHandle,
}

/// Starts accepting clients at `address` and following the control nodes.
///
/// # Errors
///
/// If `address` or the address for readiness checks cannot be bound.
pub(crate) async fn start(
    settings: &Rc<Settings>,
    address: SocketAddr,
    signals: &SignalWatch,
) -> Result<Ingress, Error> {
    let incarnation = incarnation::generate();
    let plane = DataPlane::new(settings.clone(), incarnation, TcpConnector);
    let client_listener = bind(address).await?;
    if let Some(address) = settings.readiness_bind {
        spawn_local(accept_readiness_checks(bind(address).await?, plane.clone()));
    }
    spawn_local(accept_clients(client_listener, address, plane.clone()));
    let control_client = control_client::start(
        plane.clone(),
        Incarnation::new(incarnation),
        signals.settings(),
    );
    spawn_local(maintain(plane.clone()));
    spawn_local(expire(plane.clone()));
    Ok(Ingress {
        plane,
        control_client,
    })
}

/// Shuts down gracefully: completes the requests in flight within the grace period, then sends the last usage counts
/// to a control node.
pub(crate) async fn stop(ingress: Ingress, grace: Duration) {
    let Ingress {
        plane,
        control_client,
    } = ingress;
    let schedule = ShutdownSchedule::new(grace);
    drain(&plane, &schedule).await;
    let report_deadline =
        (Instant::now() + USAGE_REPORT_TIMEOUT).min(schedule.last_work_deadline());
    control_client.shut_down(report_deadline).await;
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(io_context("binding", &address))
}

/// Accepts clients until the data plane closes.
async fn accept_clients(listener: TcpListener, address: SocketAddr, plane: Rc<DataPlane>) {
    let mut shutdown = plane.watch_shutdown();
    loop {
        let accepted = tokio::select! {
            () = shutdown.wait_for_closing() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(_) if plane.client_connections() >= MAX_CLIENTS => {
                log_rejected_input("accepting", address, "too many clients");
            }
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                drop(spawn_local(serve(stream, peer, plane.clone())));
            }
            Err(error) => accept::back_off(&error).await,
        }
    }
}

async fn accept_readiness_checks(listener: TcpListener, plane: Rc<DataPlane>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(spawn_local(serve_readiness_checks(stream, plane.clone()))),
            Err(error) => accept::back_off(&error).await,
        }
    }
}

/// Responds to readiness checks on one connection, regardless of their path.
async fn serve_readiness_checks(stream: TcpStream, plane: Rc<DataPlane>) {
    let _ = stream.set_nodelay(true);
    let mut connection = HttpConnection::new(stream);
    while let Ok(head) = connection
        .read_request_head(
            MAX_READINESS_HEAD_BYTES,
            READINESS_IDLE_TIMEOUT,
            READINESS_TIMEOUT,
        )
        .await
    {
        let status = if plane.is_ready() {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        let connection_header = if head.keeps_alive() {
            ""
        } else {
            "Connection: close\r\n"
        };
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{connection_header}\r\n");
        let deadline = Instant::now() + READINESS_TIMEOUT;
        let written = connection.write(response.as_bytes(), deadline).await;
        if written.is_err() || !head.keeps_alive() {
            return;
        }
    }
}

/// Expires the retry quota regularly, even while no control node can be reached.
async fn expire(plane: Rc<DataPlane>) {
    loop {
        tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        plane.expire_retry_quota();
    }
}

async fn maintain(plane: Rc<DataPlane>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        plane.maintain();
    }
}

//! The front's listeners: clients, and the readiness that the platform asks for; its start and its end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::Settings;
use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::transport::TcpConnector;
use linenthread_dataplane::{DataPlane, refused, serve};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::control::{life, pause};
use crate::errors::{Error, step};
use crate::follow;
use crate::signals::Ends;

/// What those who ask for readiness may take.
const QUIET: Duration = Duration::from_secs(15);
const HEADER: Duration = Duration::from_secs(3);
const HEAD: usize = 16_384;
/// Clients' connections at once.
const CLIENTS: usize = 2_500;
/// After the end was asked for: so long new connections still come, since those who hand them out look once a
/// second.
const STILL_COMING: Duration = Duration::from_millis(2_600);

pub(crate) async fn start(
    settings: &Rc<Settings>,
    address: SocketAddr,
    ends: &Ends,
) -> Result<Rc<DataPlane>, Error> {
    let life = life();
    let plane = DataPlane::new(settings.clone(), life, TcpConnector);
    let clients = TcpListener::bind(address)
        .await
        .map_err(step("binding", address))?;
    if let Some(address) = settings.readiness_bind {
        let asked = TcpListener::bind(address)
            .await
            .map_err(step("binding", address))?;
        let plane = plane.clone();
        spawn_local(async move {
            loop {
                match asked.accept().await {
                    Ok((stream, _)) => drop(spawn_local(readiness(stream, plane.clone()))),
                    Err(e) => pause(&e).await,
                }
            }
        });
    }
    let serving = plane.clone();
    spawn_local(async move {
        let mut closing = serving.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                _ = closing.wait_for(|c| *c) => return,
                accepted = clients.accept() => accepted,
            };
            match accepted {
                Ok(_) if serving.clients.get() >= CLIENTS => {
                    refused("accepting", address, "too many clients");
                }
                Ok((stream, peer)) => {
                    let _ = stream.set_nodelay(true);
                    drop(spawn_local(serve(stream, peer, serving.clone())));
                }
                Err(e) => pause(&e).await,
            }
        }
    });
    spawn_local(follow::follow(plane.clone(), life, ends.settings()));
    let tidying = plane.clone();
    spawn_local(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(1_000)).await;
            tidying.tidy();
        }
    });
    Ok(plane)
}

/// Serves on until nothing new comes and all is answered.
pub(crate) async fn stop(plane: &DataPlane, grace: Duration) {
    plane.ending.set(true);
    let began = Instant::now();
    let latest = began + grace.saturating_sub(Duration::from_millis(600));
    tokio::time::sleep_until((began + STILL_COMING).min(latest)).await;
    // From here on connections end between two requests, and what was begun is answered.
    plane.closing.send_replace(true);
    tokio::task::yield_now().await;
    while plane.at_work.get() > 0 && Instant::now() < latest {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn readiness(stream: TcpStream, plane: Rc<DataPlane>) {
    let _ = stream.set_nodelay(true);
    let mut http = HttpConnection::new(stream);
    while let Ok(head) = http.request(HEAD, QUIET, HEADER).await {
        let status = if plane.is_ready() {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        let close = if head.keeps() {
            ""
        } else {
            "Connection: close\r\n"
        };
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{close}\r\n");
        if http
            .write(answer.as_bytes(), Instant::now() + HEADER)
            .await
            .is_err()
            || !head.keeps()
        {
            return;
        }
    }
}

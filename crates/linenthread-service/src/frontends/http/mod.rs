//! The frontend for the platform's HTTP/1.1 protocol: accepts, closes and evicts client connections, and shuts down
//! gracefully.

mod connection;
mod request;
mod response;
mod stream;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};
use tracing::{info, warn};

use crate::log::LogRateLimit;
use crate::query::QueryContext;
use connection::ClientConnection;
use stream::ClientStream;

/// How long a request may take to arrive, from the connect for the first request and from its first byte for others.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval between checks for idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client may take to read its response.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long idle connections stay open after the shutdown has begun, since clients may still send requests on them.
const IDLE_TIMEOUT_WHILE_STOPPING: Duration = Duration::from_millis(600);
/// How long new connections are accepted after the shutdown has begun; each serves one request.
const ACCEPT_WHILE_STOPPING: Duration = Duration::from_millis(1_200);
/// How long a frontend at its maximum of connections waits for one to close before it evicts another.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

struct Inner {
    context: Rc<QueryContext>,
    clients: RefCell<Vec<Rc<ClientConnection>>>,
    /// Maximum number of open client connections.
    max_connections: usize,
    /// Maximum number of open connections that are idle after a response.
    max_idle_after_response: usize,
    is_stopping: Cell<bool>,
    /// Notified when a connection has closed.
    closed: Notify,
    error_log_limit: LogRateLimit,
    accept_log_limit: LogRateLimit,
    eviction_log_limit: LogRateLimit,
}

/// Serves queries over HTTP.
#[derive(Clone)]
pub(crate) struct HttpFrontend(Rc<Inner>);

/// A connection that counts towards the maximum. It is removed from the frontend's connections only by dropping this.
struct ClientRegistration {
    frontend: HttpFrontend,
    client: Rc<ClientConnection>,
}

impl Drop for ClientRegistration {
    fn drop(&mut self) {
        let inner = &self.frontend.0;
        let mut clients = inner.clients.borrow_mut();
        clients.retain(|other| !Rc::ptr_eq(other, &self.client));
        inner.closed.notify_one();
    }
}

impl HttpFrontend {
    /// `max_connections` limits the open client connections, and `max_idle_after_response` those of them that are
    /// idle after a response.
    pub(crate) fn new(
        context: Rc<QueryContext>,
        max_connections: usize,
        max_idle_after_response: usize,
    ) -> Self {
        HttpFrontend(Rc::new(Inner {
            context,
            clients: RefCell::default(),
            max_connections,
            max_idle_after_response,
            is_stopping: Cell::new(false),
            closed: Notify::new(),
            error_log_limit: LogRateLimit::default(),
            accept_log_limit: LogRateLimit::default(),
            eviction_log_limit: LogRateLimit::default(),
        }))
    }

    /// Accepts connections for as long as it is polled. At the maximum of connections, it first evicts one without a
    /// complete request.
    pub(crate) async fn accept(&self, listener: &TcpListener) {
        loop {
            if self.0.clients.borrow().len() >= self.0.max_connections {
                self.evict_one();
                tokio::select! {
                    () = self.0.closed.notified() => {}
                    () = sleep(EVICTION_INTERVAL) => {}
                }
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.add_connection(stream),
                Err(e) => {
                    if let Some(suppressed) = self.0.accept_log_limit.admit() {
                        warn!(suppressed, "cannot accept a connection: {e}");
                    }
                    self.evict_one();
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Shuts down gracefully: accepts new connections for [`ACCEPT_WHILE_STOPPING`], then answers the remaining
    /// requests of all accepted connections.
    pub(crate) async fn stop(&self, listener: TcpListener) {
        info!(
            clients = self.0.clients.borrow().len(),
            "shutting down, accepting connections a moment longer"
        );
        self.0.is_stopping.set(true);
        let stopping_since = Instant::now();
        for after in [IDLE_TIMEOUT_WHILE_STOPPING, ACCEPT_WHILE_STOPPING] {
            tokio::select! {
                () = self.accept(&listener) => {}
                () = sleep_until(stopping_since + after) => {}
            }
            self.close_idle();
        }
        // Connections that the operating system has queued by now are still served.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.add_connection(stream);
        }
        drop(listener);
        while !self.0.clients.borrow().is_empty() {
            // Repeated, since a request may become overdue in the meantime.
            tokio::select! {
                () = self.0.closed.notified() => {}
                () = sleep(ACCEPT_WHILE_STOPPING) => self.close_idle(),
            }
        }
        info!("shutdown complete, every accepted request is answered");
    }

    /// Closes connections that are idle for too long, and those beyond the maximum that may be idle after a response,
    /// for as long as it is polled.
    pub(crate) async fn sweep(&self) {
        let mut ticks = interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            self.close_timed_out();
            self.close_excess_idle();
        }
    }

    fn close_timed_out(&self) {
        let clients = self.0.clients.borrow();
        let is_over_half_full = clients.len() > self.0.max_connections / 2;
        clients
            .iter()
            .filter(|client| client.has_timed_out(is_over_half_full))
            .for_each(|client| client.close());
    }

    /// Closes the least recently used connections beyond the maximum that may be idle after a response. Otherwise,
    /// clients that stay connected after one request would use up the connections of clients that have requests.
    fn close_excess_idle(&self) {
        let clients = self.0.clients.borrow();
        let mut idle: Vec<_> = clients
            .iter()
            .filter(|client| client.is_idle_after_response())
            .collect();
        idle.sort_by_key(|client| Reverse(client.since()));
        idle.iter()
            .skip(self.0.max_idle_after_response)
            .for_each(|client| client.close());
    }

    /// Closes each connection as soon as it is idle.
    fn close_idle(&self) {
        for client in self.0.clients.borrow().iter() {
            client.close();
        }
    }

    /// Evicts the connection that has been without a complete request for longest.
    fn evict_one(&self) {
        if let Some(suppressed) = self.0.eviction_log_limit.admit() {
            warn!(
                max = self.0.max_connections,
                suppressed, "too many client connections, closing the longest without a request"
            );
        }
        let clients = self.0.clients.borrow();
        let candidates = clients.iter().filter(|client| client.may_be_evicted());
        // New connections are evicted last, since their first request may still be in transit.
        if let Some(client) = candidates.min_by_key(|client| (client.is_new(), client.since())) {
            client.evict();
        }
    }

    /// Adds a connection and spawns a task that serves it.
    fn add_connection(&self, stream: TcpStream) {
        let client = Rc::new(ClientConnection::new());
        self.0.clients.borrow_mut().push(client.clone());
        let registration = ClientRegistration {
            frontend: self.clone(),
            client: client.clone(),
        };
        actix_rt::spawn(async move {
            registration.frontend.serve(stream, client).await;
            drop(registration);
        });
    }

    async fn serve(&self, stream: TcpStream, connection: Rc<ClientConnection>) {
        stream.set_nodelay(true).ok();
        let Ok(address) = stream.peer_addr() else {
            return;
        };
        let (frontend, client) = (self.clone(), connection.clone());
        let service = HttpService::build()
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(REQUEST_TIMEOUT)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .h1_allow_half_closed(true)
            .h1(fn_service(move |request: Request| {
                let (frontend, client) = (frontend.clone(), client.clone());
                async move {
                    client.on_request_head();
                    let response = frontend.respond(request, &client).await;
                    client.on_response_sent();
                    Ok::<_, Infallible>(response)
                }
            }));
        let Ok(service) = service.new_service(()).await else {
            return;
        };
        let stream = ClientStream {
            io: stream,
            connection,
        };
        // The error needs no handling: each request was answered, or its query's task was notified of the disconnect.
        service.call((stream, Some(address))).await.ok();
    }
}

//! The frontend that speaks the platform's HTTP/1.1: the listener, clients' connections, health and shutdown.

mod connection;
mod request;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::HeaderValue;
use actix_http::{HttpService, KeepAlive, Method, Request, Response, StatusCode, header};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use linenthread_protocol::query as protocol;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};
use tracing::{info, warn};

use crate::log::LogRateLimit;
use crate::query::{self, QueryContext, QueryOutcome, QueryRequest};
use connection::{ClientConnection, ClientStream};
use request::RequestError;

/// How long a request may take to arrive: from the connect for the first, else from its first byte.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How often connections are checked for idleness.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client may take to read its response.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long idle connections stay open once the shutdown has begun, as clients still use them.
const IDLE_TIMEOUT_WHILE_STOPPING: Duration = Duration::from_millis(600);
/// How long new connections are accepted once the shutdown has begun; each serves one request.
const ACCEPT_WHILE_STOPPING: Duration = Duration::from_millis(1_200);
/// How long a full frontend waits for a connection to close before it evicts another.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

struct Inner {
    context: Rc<QueryContext>,
    clients: RefCell<Vec<Rc<ClientConnection>>>,
    /// Client connections at once.
    max_connections: usize,
    /// Connections at once that have had an answer and send no further request.
    max_spent: usize,
    is_stopping: Cell<bool>,
    /// A connection has closed.
    closed: Notify,
    refused_lines: LogRateLimit,
    full_lines: LogRateLimit,
}

/// Serves queries over HTTP.
#[derive(Clone)]
pub(crate) struct HttpFrontend(Rc<Inner>);

impl HttpFrontend {
    /// `max_connections` bounds clients' connections, and `max_spent` those of them that have had an answer and
    /// send no further request.
    pub(crate) fn new(context: Rc<QueryContext>, max_connections: usize, max_spent: usize) -> Self {
        HttpFrontend(Rc::new(Inner {
            context,
            clients: RefCell::default(),
            max_connections,
            max_spent,
            is_stopping: Cell::new(false),
            closed: Notify::new(),
            refused_lines: LogRateLimit::default(),
            full_lines: LogRateLimit::default(),
        }))
    }

    /// Accepts connections for as long as it is polled. When full, it evicts idle ones first.
    pub(crate) async fn accept(&self, listener: &TcpListener) {
        loop {
            if self.0.clients.borrow().len() >= self.0.max_connections {
                self.evict_one();
                tokio::select! {
                    () = self.0.closed.notified() => {}
                    () = sleep(FULL_RETRY_INTERVAL) => {}
                }
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(e) => {
                    if let Some(left_out) = self.0.full_lines.admit() {
                        warn!(left_out, "cannot accept a connection: {e}");
                    }
                    self.evict_one();
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Shuts down gracefully: accepts what still arrives for a moment, then answers all that was accepted.
    pub(crate) async fn stop(&self, listener: TcpListener) {
        info!(
            clients = self.0.clients.borrow().len(),
            "stopping: takes what still comes for a moment"
        );
        self.0.is_stopping.set(true);
        let began = Instant::now();
        for after in [IDLE_TIMEOUT_WHILE_STOPPING, ACCEPT_WHILE_STOPPING] {
            tokio::select! {
                () = self.accept(&listener) => {}
                () = sleep_until(began + after) => {}
            }
            self.close_idle();
        }
        // What the system has accepted for this program by now is still served.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.admit(stream);
        }
        drop(listener);
        while !self.0.clients.borrow().is_empty() {
            // Repeatedly: a request may become overdue only now.
            tokio::select! {
                () = self.0.closed.notified() => {}
                () = sleep(ACCEPT_WHILE_STOPPING) => self.close_idle(),
            }
        }
        info!("stopped: all that was taken is answered");
    }

    /// Closes connections that are idle for too long, for as long as it is polled.
    pub(crate) async fn sweep(&self) {
        let mut ticks = interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            let clients = self.0.clients.borrow();
            let is_crowded = clients.len() > self.0.max_connections / 2;
            clients
                .iter()
                .filter(|client| client.is_idle_too_long(is_crowded))
                .for_each(|client| client.close());
            // Clients that send one request and stay would use up the connections of those that have requests.
            let mut spent: Vec<_> = clients.iter().filter(|client| client.is_spent()).collect();
            spent.sort_by_key(|client| Reverse(client.since()));
            spent
                .iter()
                .skip(self.0.max_spent)
                .for_each(|client| client.close());
        }
    }

    fn close_idle(&self) {
        for client in self.0.clients.borrow().iter() {
            client.close();
        }
    }

    /// Closes the connection that has been without a complete request for longest.
    fn evict_one(&self) {
        if let Some(left_out) = self.0.full_lines.admit() {
            warn!(
                most = self.0.max_connections,
                left_out,
                "client connections are full; the one without a request for longest is closed"
            );
        }
        let clients = self.0.clients.borrow();
        let candidates = clients.iter().filter(|client| client.may_be_evicted());
        // One that has only just connected goes last: its request may be on the way.
        if let Some(client) = candidates.min_by_key(|client| (client.is_new(), client.since())) {
            client.evict();
        }
    }

    /// Serves one connection in a task of its own.
    fn admit(&self, stream: TcpStream) {
        let client = Rc::new(ClientConnection::new());
        self.0.clients.borrow_mut().push(client.clone());
        let frontend = self.clone();
        actix_rt::spawn(async move {
            frontend.serve(stream, client.clone()).await;
            // The only place that releases a client's connection.
            let inner = &frontend.0;
            inner
                .clients
                .borrow_mut()
                .retain(|other| !Rc::ptr_eq(other, &client));
            inner.closed.notify_one();
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
        // However a connection ends, its request was answered or is reported as abandoned.
        service.call((stream, Some(address))).await.ok();
    }

    async fn respond(&self, request: Request, client: &ClientConnection) -> Response<BoxBody> {
        let is_stopping = &self.0.is_stopping;
        let mut response = match (request.path(), request.method()) {
            (protocol::HEALTH_PATH, &Method::GET) if is_stopping.get() => {
                Response::new(StatusCode::SERVICE_UNAVAILABLE)
            }
            (protocol::HEALTH_PATH, &Method::GET) => Response::ok(),
            (protocol::HEALTH_PATH, _) => Response::new(StatusCode::METHOD_NOT_ALLOWED),
            _ if client.is_refused() => Response::new(StatusCode::BAD_REQUEST),
            (_, &Method::POST) => self.respond_to_query(request, client).await,
            _ => Response::new(StatusCode::METHOD_NOT_ALLOWED),
        };
        if is_stopping.get() {
            response
                .head_mut()
                .set_connection_type(actix_http::ConnectionType::Close);
        }
        response
    }

    async fn respond_to_query(
        &self,
        mut request: Request,
        client: &ClientConnection,
    ) -> Response<BoxBody> {
        let body = match request::read_body(&mut request, client.request_deadline()).await {
            Ok(body) => body,
            Err(error) => return self.refuse(client, &error),
        };
        let query = match request::decode(&request, &body, &self.0.context) {
            Ok(query) => query,
            Err(error) => return self.refuse(client, &error),
        };
        drop((request, body));
        client.on_request_complete();
        match self.run_query(query, client).await {
            QueryOutcome::Success(body) => success(body),
            QueryOutcome::Rejected { retry_after_ms } => rejected(retry_after_ms),
            QueryOutcome::Failed => empty(StatusCode::BAD_GATEWAY),
            QueryOutcome::DuplicateId => self.refuse(client, &RequestError::DuplicateId),
            QueryOutcome::Invalid(error) => self.refuse(client, &error.into()),
        }
    }

    /// Runs a query for as long as its client stays.
    async fn run_query(&self, query: QueryRequest, client: &ClientConnection) -> QueryOutcome {
        let (sender, outcome) = oneshot::channel();
        actix_rt::spawn(query::run(self.0.context.clone(), query, sender));
        tokio::select! {
            outcome = outcome => outcome.unwrap_or(QueryOutcome::Failed),
            // Nobody reads this; the query's task notices as the receiver is dropped.
            () = client.client_left() => QueryOutcome::Failed,
        }
    }

    /// Refuses a request: the reason goes to the client and, at a bounded rate, to the log. The connection ends
    /// with it, and so does whatever else was sent on it.
    fn refuse(&self, client: &ClientConnection, error: &RequestError) -> Response<BoxBody> {
        let (status, why) = (error.status(), error.to_string());
        if let Some(left_out) = self.0.refused_lines.admit() {
            info!(
                status = status.as_u16(),
                left_out, "request not taken: {why}"
            );
        }
        client.refuse();
        Response::build(status)
            .force_close()
            .body(why)
            .map_into_boxed_body()
    }
}

fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(Vec::new()))
}

fn success(body: Vec<u8>) -> Response<BoxBody> {
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(body));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

fn rejected(retry_after_ms: Option<f64>) -> Response<BoxBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = retry_after_ms
        .and_then(|ms| HeaderValue::from_str(&protocol::retry_after_seconds(ms)).ok());
    if let Some(retry_after) = retry_after {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, retry_after);
    }
    response
}

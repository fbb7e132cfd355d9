//! The front that speaks the platform's HTTP/1.1: the listener, clients' connections, health, and stopping.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::HeaderValue;
use actix_http::{
    HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode, header,
};
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_core::Stream;
use linenthread_core::interface::TenthMillis;
use linenthread_protocol::hash_id;
use linenthread_protocol::query as protocol;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, interval, sleep, sleep_until, timeout, timeout_at};
use tracing::{info, warn};

use crate::desk::HandedIn;
use crate::log::Sparing;
use crate::lookup::{self, Answer, Question, Work};

/// A request must be here whole within so long: from the connect for the first, else from its first byte.
const WHOLE_WITHIN: Duration = Duration::from_millis(2_500);
/// A connection without a request is kept for so long, and for less where it has never asked or where more
/// than half of all that there may be are open.
const IDLE: Duration = Duration::from_secs(10);
const IDLE_CROWDED: Duration = Duration::from_secs(2);
/// Connections are looked over this often.
const SWEEP: Duration = Duration::from_millis(100);
/// One that has taken so long already gives way where there is no room for another connection.
const SLOW: Duration = Duration::from_millis(200);
/// A client that does not take its answer is let go after so long.
const TAKEN_WITHIN: Duration = Duration::from_secs(2);
/// After the word to stop, idle connections stay open for so long, as clients still use them ...
const STILL_KEEPS: Duration = Duration::from_millis(600);
/// ... and new ones are taken for so long in all; each serves one request.
const STILL_TAKES: Duration = Duration::from_millis(1_200);
const BACKLOG: u32 = 1024;

/// What the front keeps of one client connection.
struct Client {
    state: Cell<State>,
    since: Cell<Instant>,
    /// It has had an answer.
    known: Cell<bool>,
    /// It is to end as soon as it is idle.
    closing: Cell<bool>,
    /// It is to end even with half a request, as long as nothing of it waits for an answer.
    evicted: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    /// It ended while its request was waiting.
    left: Notify,
    /// What it asked was not taken: nothing more is read, and what was read with it not looked at.
    refused: Cell<bool>,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Idle,
    /// Some of a request is here.
    Reading,
    /// A request's head is here.
    Asking,
    /// A request is here whole and not yet answered.
    Waiting,
}

impl Client {
    fn now_in(&self, state: State) {
        self.state.set(state);
        self.since.set(Instant::now());
    }

    /// Some of a request is here. A first one has begun with the connection.
    fn begins(&self) {
        match (self.state.get(), self.known.get()) {
            (State::Idle, true) => self.now_in(State::Reading),
            (State::Idle, false) => self.state.set(State::Reading),
            _ => {}
        }
    }

    fn answered(&self) {
        self.now_in(State::Idle);
        self.known.set(true);
        self.wake();
    }

    /// The moment by which a request that has begun must be here whole.
    fn whole_by(&self) -> Instant {
        self.since.get() + WHOLE_WITHIN
    }

    /// Nothing of a request is here, or one that does not come on.
    fn is_idle(&self) -> bool {
        match self.state.get() {
            State::Idle => true,
            State::Reading => self.whole_by() < Instant::now(),
            State::Asking | State::Waiting => false,
        }
    }

    /// It makes room for another: it is idle, or has taken longer over a request than a sound client does.
    fn gives_way(&self) -> bool {
        match self.state.get() {
            State::Idle => true,
            State::Reading | State::Asking => self.since.get().elapsed() > SLOW,
            State::Waiting => false,
        }
    }

    /// It has been idle for longer than it is kept.
    fn is_over(&self, crowded: bool) -> bool {
        let kept = if crowded || !self.known.get() {
            IDLE_CROWDED
        } else {
            IDLE
        };
        self.is_idle() && (self.state.get() == State::Reading || self.since.get().elapsed() > kept)
    }

    fn close(&self) {
        self.closing.set(true);
        self.wake();
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }
}

/// A client's stream. Asked to close, it ends between requests as if the client had closed it, and never
/// with a request unread. While a request waits for its answer nothing more is read, only whether the client
/// has left: what comes after it does not pile up here. Where it came with the request, in one piece, and
/// does not parse, actix-http would drop the request if half-closed connections were not allowed.
struct ClientStream {
    io: TcpStream,
    client: Rc<Client>,
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.client.refused.get() {
            return Poll::Ready(Ok(()));
        }
        if self.client.state.get() == State::Waiting {
            self.client.reader.replace(Some(cx.waker().clone()));
            return match self.io.poll_peek(cx, &mut ReadBuf::new(&mut [0])) {
                Poll::Ready(Ok(0)) => {
                    self.client.left.notify_one();
                    Poll::Ready(Ok(()))
                }
                Poll::Ready(Ok(_)) | Poll::Pending => Poll::Pending,
                Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            };
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.client.begins();
        }
        if read.is_pending() {
            if self.client.evicted.get() || self.client.closing.get() && self.client.is_idle() {
                return Poll::Ready(Ok(()));
            }
            self.client.reader.replace(Some(cx.waker().clone()));
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl ActixStream for ClientStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.io, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.io, cx)
    }
}

struct Inner {
    work: Rc<Work>,
    clients: RefCell<Vec<Rc<Client>>>,
    /// Client connections at the most, and of those that have had an answer and ask no more.
    most: usize,
    spent: usize,
    stopping: Cell<bool>,
    left: Notify,
    refused: Sparing,
    full: Sparing,
}

#[derive(Clone)]
pub(crate) struct Front(Rc<Inner>);

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Front {
    /// With so many client connections at the most, and of those that have had an answer and ask no more.
    pub(crate) fn new(work: Rc<Work>, most: usize, spent: usize) -> Self {
        Front(Rc::new(Inner {
            work,
            clients: RefCell::default(),
            most,
            spent,
            stopping: Cell::new(false),
            left: Notify::new(),
            refused: Sparing::default(),
            full: Sparing::default(),
        }))
    }

    /// Accepts connections for as long as it is polled; full, it lets idle ones go first.
    pub(crate) async fn accept(&self, listener: &TcpListener) {
        loop {
            if self.0.clients.borrow().len() >= self.0.most {
                self.make_room();
                tokio::select! {
                    () = self.0.left.notified() => {}
                    () = sleep(Duration::from_millis(100)) => {}
                }
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(e) => {
                    if let Some(left_out) = self.0.full.line() {
                        warn!(left_out, "cannot accept a connection: {e}");
                    }
                    self.make_room();
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Takes what still comes for a moment, then answers all that was taken.
    pub(crate) async fn stop(&self, listener: TcpListener) {
        info!(
            clients = self.0.clients.borrow().len(),
            "stopping: takes what still comes for a moment"
        );
        self.0.stopping.set(true);
        let began = Instant::now();
        for after in [STILL_KEEPS, STILL_TAKES] {
            tokio::select! {
                () = self.accept(&listener) => {}
                () = sleep_until(began + after) => {}
            }
            self.close_idle();
        }
        // What the machine has accepted for this program by now is still served.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.admit(stream);
        }
        drop(listener);
        while !self.0.clients.borrow().is_empty() {
            // Again and again: a request may stop coming on only now.
            tokio::select! {
                () = self.0.left.notified() => {}
                () = sleep(STILL_TAKES) => self.close_idle(),
            }
        }
        info!("stopped: all that was taken is answered");
    }

    /// Closes what is idle for too long, for as long as it is polled.
    pub(crate) async fn sweep(&self) {
        let mut sweep = interval(SWEEP);
        loop {
            sweep.tick().await;
            let clients = self.0.clients.borrow();
            let crowded = clients.len() > self.0.most / 2;
            clients
                .iter()
                .filter(|c| c.is_over(crowded))
                .for_each(|c| c.close());
            // Clients that ask once and stay would take up all that may be open to those who want to ask.
            let spent =
                |c: &&Rc<Client>| c.known.get() && c.state.get() == State::Idle && !c.closing.get();
            let mut spent: Vec<_> = clients.iter().filter(spent).collect();
            spent.sort_by_key(|c| Reverse(c.since.get()));
            spent.iter().skip(self.0.spent).for_each(|c| c.close());
        }
    }

    fn close_idle(&self) {
        self.0
            .clients
            .borrow()
            .iter()
            .for_each(|client| client.close());
    }

    /// Ends the connection that has gone without a whole request for longest.
    fn make_room(&self) {
        if let Some(left_out) = self.0.full.line() {
            warn!(
                most = self.0.most,
                left_out,
                "client connections are full; the one without a request for longest is closed"
            );
        }
        let clients = self.0.clients.borrow();
        let spare = clients.iter().filter(|c| c.gives_way() && !c.evicted.get());
        // One that has only just connected goes last: its request may be on the way.
        let new = |c: &Client| !c.known.get() && c.since.get().elapsed() <= SLOW;
        if let Some(client) = spare.min_by_key(|c| (new(c), c.since.get())) {
            client.evicted.set(true);
            client.close();
        }
    }

    /// Serves one connection in a task of its own.
    fn admit(&self, stream: TcpStream) {
        let client = Rc::new(Client {
            state: Cell::new(State::Idle),
            since: Cell::new(Instant::now()),
            known: Cell::new(false),
            closing: Cell::new(false),
            evicted: Cell::new(false),
            reader: RefCell::new(None),
            left: Notify::new(),
            refused: Cell::new(false),
        });
        self.0.clients.borrow_mut().push(client.clone());
        let front = self.clone();
        actix_rt::spawn(async move {
            front.connection(stream, client.clone()).await;
            // The one place where a client's connection is given back.
            front
                .0
                .clients
                .borrow_mut()
                .retain(|c| !Rc::ptr_eq(c, &client));
            front.0.left.notify_one();
        });
    }

    async fn connection(&self, stream: TcpStream, client: Rc<Client>) {
        stream.set_nodelay(true).ok();
        let Ok(address) = stream.peer_addr() else {
            return;
        };
        let (front, asking) = (self.clone(), client.clone());
        let service = HttpService::build()
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(WHOLE_WITHIN)
            .client_disconnect_timeout(TAKEN_WITHIN)
            .h1_allow_half_closed(true)
            .h1(fn_service(move |request: Request| {
                let (front, client) = (front.clone(), asking.clone());
                async move {
                    // What came in one piece with the request before it has only begun now.
                    client.begins();
                    client.state.set(State::Asking);
                    let response = front.respond(request, &client).await;
                    client.answered();
                    Ok::<_, Infallible>(response)
                }
            }));
        let Ok(service) = service.new_service(()).await else {
            return;
        };
        let stream = ClientStream { io: stream, client };
        // However a client's connection ends, what it asked has had its answer or is told as lapsed.
        service.call((stream, Some(address))).await.ok();
    }

    async fn respond(&self, request: Request, client: &Client) -> Response<BoxBody> {
        let mut response = match (request.path(), request.method()) {
            (protocol::HEALTH_PATH, &Method::GET) if self.0.stopping.get() => {
                Response::new(StatusCode::SERVICE_UNAVAILABLE)
            }
            (protocol::HEALTH_PATH, &Method::GET) => Response::ok(),
            (protocol::HEALTH_PATH, _) => Response::new(StatusCode::METHOD_NOT_ALLOWED),
            _ if client.refused.get() => Response::new(StatusCode::BAD_REQUEST),
            (_, &Method::POST) => self.look_up(request, client).await,
            _ => Response::new(StatusCode::METHOD_NOT_ALLOWED),
        };
        if self.0.stopping.get() {
            response
                .head_mut()
                .set_connection_type(actix_http::ConnectionType::Close);
        }
        response
    }

    async fn look_up(&self, mut request: Request, asker: &Client) -> Response<BoxBody> {
        let late = Err((StatusCode::REQUEST_TIMEOUT, "the body does not come"));
        let body = match timeout_at(asker.whole_by(), whole(&mut request))
            .await
            .unwrap_or(late)
        {
            Ok(body) => body,
            Err((status, why)) => return self.refuse(asker, status, why.into()),
        };
        let question = match decode(&request, &body, &self.0.work) {
            Ok(question) => question,
            Err((status, why)) => return self.refuse(asker, status, why),
        };
        drop((request, body));
        asker.now_in(State::Waiting);
        let (client, answer) = oneshot::channel();
        actix_rt::spawn(lookup::live(self.0.work.clone(), question, client));
        let with = |status, body: Vec<u8>| Response::with_body(status, BoxBody::new(body));
        let answer = tokio::select! {
            answer = answer => answer.unwrap_or(Answer::Aborted),
            // Nobody reads this; the lookup learns of it as its way here is dropped.
            () = asker.left.notified() => Answer::Aborted,
        };
        match answer {
            Answer::Satisfied(body) => {
                let mut response = with(StatusCode::OK, body);
                response.headers_mut().insert(
                    header::CONTENT_TYPE,
                    HeaderValue::from_static("application/json"),
                );
                response
            }
            Answer::Nacked(wait_ms) => {
                let mut response = with(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
                let advice = wait_ms
                    .and_then(|ms| HeaderValue::from_str(&protocol::retry_after_seconds(ms)).ok());
                advice.map(|advice| response.headers_mut().insert(header::RETRY_AFTER, advice));
                response
            }
            Answer::Aborted => with(StatusCode::BAD_GATEWAY, Vec::new()),
            Answer::Open => self.refuse(
                asker,
                StatusCode::CONFLICT,
                "a lookup of this id is open".into(),
            ),
            Answer::Bad(why) => self.refuse(asker, StatusCode::BAD_REQUEST, why),
        }
    }

    /// Input that is not taken: its reason goes to the client and, sparingly, to the log. The connection
    /// ends with it, and so does whatever else was sent on it meanwhile.
    fn refuse(&self, asker: &Client, status: StatusCode, why: String) -> Response<BoxBody> {
        if let Some(left_out) = self.0.refused.line() {
            info!(
                status = status.as_u16(),
                left_out, "request not taken: {why}"
            );
        }
        asker.refused.set(true);
        Response::build(status)
            .force_close()
            .body(why)
            .map_into_boxed_body()
    }
}

/// Reads a request and holds it to what the deployment has.
fn decode(request: &Request, body: &[u8], work: &Work) -> Result<Question, (StatusCode, String)> {
    let known = &work.surroundings;
    let bad = |why: String| (StatusCode::BAD_REQUEST, why);
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
    let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
    let Some(index) = position(&known.index_names, protocol::index_name(request.path())) else {
        return Err((StatusCode::NOT_FOUND, "no such index".into()));
    };
    let asked = protocol::decode(header, body).map_err(|e| bad(e.to_string()))?;
    let customer = match &asked.customer {
        _ if known.customer_names.is_empty() => 0,
        Some(name) => {
            position(&known.customer_names, name).ok_or_else(|| bad("no such customer".into()))?
        }
        None => return Err(bad("the customer is missing".into())),
    };
    if let Some(part) = asked
        .sub_requests
        .iter()
        .find(|p| p.shard >= known.shard_count)
    {
        return Err(bad(format!("no such shard: {}", part.shard)));
    }
    let new = HandedIn {
        index,
        customer,
        key: asked.key.as_deref().map(hash_id),
        number: hash_id(&asked.id),
        expires_in: asked.expires_in_ms as TenthMillis * 10,
        parts: asked
            .sub_requests
            .iter()
            .map(|p| (p.shard, p.weight))
            .collect(),
    };
    let is_merged = work.gathering.merging.borrow().is_merged(index);
    let page = if is_merged {
        protocol::decode_page(body).map_err(|e| bad(e.to_string()))?
    } else {
        protocol::Page::default()
    };
    Ok(Question { asked, new, page })
}

/// The whole body, if it is not too long. One that says so itself is not read at all.
async fn whole(request: &mut Request) -> Result<Bytes, (StatusCode, &'static str)> {
    const TOO_LONG: (StatusCode, &str) = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    let length = request
        .head()
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok()?.parse().ok());
    if length.is_some_and(|length: u64| length > protocol::MAX_BODY_BYTES as u64) {
        return Err(TOO_LONG);
    }
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        let next = std::future::poll_fn(|cx| Pin::new(&mut payload).poll_next(cx)).await;
        match next {
            None => return Ok(body.freeze()),
            Some(Ok(bytes)) if body.len() + bytes.len() <= protocol::MAX_BODY_BYTES => {
                body.extend_from_slice(&bytes);
            }
            Some(Ok(_)) => return Err(TOO_LONG),
            Some(Err(_)) => return Err((StatusCode::BAD_REQUEST, "the body cannot be read")),
        }
    }
}

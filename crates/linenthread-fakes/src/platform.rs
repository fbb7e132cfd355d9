//! A fake of the platform that receives usage reports. It checks the calls of the lease holders, and can be made slow,
//! unresponsive or unavailable.
//!
//! [`CallValidator`] implements the rules without sockets; [`FakePlatform`] applies them to calls over HTTP.

mod call_validator;
mod log;

use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, SystemTime};

pub use call_validator::{CallResponse, CallValidator, PlatformRules, ReceivedCall};
pub use log::{AcceptedReport, ConnectionEnd, PlatformLog, PlatformViolation};

use crate::EVENT_TIMEOUT;
use crate::http::{Message, read_message};
use crate::loopback::{address_of, unused_loopback};
use crate::sync::lock;

/// The request line of a usage report.
const REPORT_LINE: &str = "POST /accounting HTTP/1.1";

/// How a platform handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformMode {
    /// It processes calls and responds immediately.
    Healthy,
    /// It processes calls immediately, and responds after this delay.
    Slow(Duration),
    /// It processes calls, and never responds.
    ResponseLost,
    /// It processes no calls, and never responds.
    Silent,
    /// It processes no calls, and responds with status 503 (overloaded).
    Busy,
    /// It resets each new connection when the first byte arrives.
    Reset,
    /// Nothing listens on its address.
    Down,
}

/// A fake platform that listens on loopback.
pub struct FakePlatform {
    /// The address on which it listens. It stays the same when the platform was down and is started again.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// The thread that accepts connections; `None` while the platform is down.
    acceptor: Mutex<Option<JoinHandle<()>>>,
}

struct Shared {
    state: Mutex<State>,
    /// Notified whenever the log has changed.
    changed: Condvar,
}

struct State {
    validator: CallValidator,
    mode: PlatformMode,
}

impl FakePlatform {
    /// Starts a healthy platform.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start(rules: PlatformRules) -> FakePlatform {
        let listener = listen_at(SocketAddr::from((unused_loopback(), 0)));
        let address = address_of(&listener);
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                validator: CallValidator::new(rules),
                mode: PlatformMode::Healthy,
            }),
            changed: Condvar::new(),
        });
        let acceptor = Mutex::new(Some(accept(listener, shared.clone())));
        FakePlatform {
            address,
            shared,
            acceptor,
        }
    }

    /// Sets how calls are handled from now on. Calls that were received before are completed in the previous mode.
    ///
    /// # Panics
    ///
    /// If another program uses the address when the platform is started again.
    pub fn set_mode(&self, mode: PlatformMode) {
        lock(&self.shared.state).mode = mode;
        let mut acceptor = lock(&self.acceptor);
        match (mode, acceptor.take()) {
            (PlatformMode::Down, Some(thread)) => {
                // Wakes the acceptor thread, which then sees the mode and returns.
                let _ = TcpStream::connect(self.address);
                let _ = thread.join();
            }
            (PlatformMode::Down, None) => {}
            (_, Some(thread)) => *acceptor = Some(thread),
            (_, None) => *acceptor = Some(accept(listen_at(self.address), self.shared.clone())),
        }
    }

    /// Returns a copy of the log of everything received so far.
    pub fn log(&self) -> PlatformLog {
        lock(&self.shared.state).validator.log().clone()
    }

    /// Waits until the log is as expected. Returns false if that does not happen within `timeout`.
    ///
    /// # Panics
    ///
    /// If a thread of the platform has panicked.
    pub fn wait_until(
        &self,
        timeout: Duration,
        is_expected: impl Fn(&PlatformLog) -> bool,
    ) -> bool {
        let state = lock(&self.shared.state);
        let is_unexpected = |state: &mut State| !is_expected(state.validator.log());
        let waited = self
            .shared
            .changed
            .wait_timeout_while(state, timeout, is_unexpected);
        let (state, _) = waited.expect("no thread has panicked while it held the lock");
        is_expected(state.validator.log())
    }
}

/// Stops the acceptor and frees the port.
impl Drop for FakePlatform {
    fn drop(&mut self) {
        // In a failing test, the locks may be poisoned.
        if !std::thread::panicking() {
            self.set_mode(PlatformMode::Down);
        }
    }
}

fn listen_at(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).expect("the platform's address is free")
}

fn accept(listener: TcpListener, shared: Arc<Shared>) -> JoinHandle<()> {
    spawn(move || {
        for connection in listener.incoming() {
            let connection = connection.expect("a connection can be accepted");
            if lock(&shared.state).mode == PlatformMode::Down {
                return;
            }
            let shared = shared.clone();
            spawn(move || shared.serve(&connection));
        }
    })
}

/// How a request is handled.
enum Treatment {
    /// Respond with this status after this delay.
    Respond(u16, Duration),
    Ignore,
}

impl Shared {
    /// Serves one connection until the caller ends it.
    fn serve(&self, connection: &TcpStream) {
        if self.mode() == PlatformMode::Reset {
            reset_at_first_byte(connection);
            return;
        }
        let mut reader = BufReader::new(CallerStream::new(connection));
        while let Some(message) = read_message(&mut reader) {
            match self.handle(&message) {
                Treatment::Respond(status, delay) => {
                    sleep(delay);
                    respond(connection, status);
                }
                Treatment::Ignore => {
                    // `CallerStream` records how the connection ends.
                    let _ = io::copy(&mut reader, &mut io::sink());
                }
            }
        }
        if let Some(end) = reader.get_ref().end {
            lock(&self.state).validator.add_connection_end(end);
            self.changed.notify_all();
        }
    }

    fn mode(&self) -> PlatformMode {
        lock(&self.state).mode
    }

    fn handle(&self, message: &Message) -> Treatment {
        let mut state = lock(&self.state);
        state.validator.count_received();
        let treatment = state.handle(message);
        self.changed.notify_all();
        treatment
    }
}

impl State {
    fn handle(&mut self, message: &Message) -> Treatment {
        let call = match parse_call(message) {
            Ok(call) => call,
            Err(reason) => {
                let response = self.validator.reject(reason);
                return Treatment::Respond(status_of(response), Duration::ZERO);
            }
        };
        match self.mode {
            PlatformMode::Healthy => {
                Treatment::Respond(status_of(self.validator.handle(&call)), Duration::ZERO)
            }
            PlatformMode::Slow(delay) => {
                Treatment::Respond(status_of(self.validator.handle(&call)), delay)
            }
            PlatformMode::ResponseLost => {
                self.validator.handle(&call);
                Treatment::Ignore
            }
            PlatformMode::Busy => {
                self.validator.observe(&call);
                Treatment::Respond(503, Duration::ZERO)
            }
            PlatformMode::Silent | PlatformMode::Reset | PlatformMode::Down => {
                self.validator.observe(&call);
                Treatment::Ignore
            }
        }
    }
}

fn status_of(response: CallResponse) -> u16 {
    match response {
        CallResponse::Accepted => 200,
        CallResponse::Invalid => 400,
        CallResponse::FenceTooLow => 409,
        CallResponse::TooManyRequests => 429,
    }
}

/// Parses a call, or returns why the request is invalid.
fn parse_call(message: &Message) -> Result<ReceivedCall, &'static str> {
    if message.start_line != REPORT_LINE {
        return Err("the request line is not POST /accounting HTTP/1.1");
    }
    if header(message, "content-type") != Some("application/json") {
        return Err("Content-Type is not application/json");
    }
    let owner = header(message, "x-task-owner").ok_or("X-Task-Owner is missing")?;
    let fence = header(message, "x-fence-token").ok_or("X-Fence-Token is missing")?;
    let is_decimal = !fence.is_empty() && fence.bytes().all(|byte| byte.is_ascii_digit());
    let fence = fence.parse().ok().filter(|_| is_decimal);
    Ok(ReceivedCall {
        owner: owner.to_owned(),
        fence: fence.ok_or("X-Fence-Token is not a decimal number")?,
        body: message.body.clone(),
        received_at: SystemTime::UNIX_EPOCH
            .elapsed()
            .expect("the time of day is after 1970"),
    })
}

/// Returns the value of a header, in lower case, or `None` if the header is missing or repeated.
fn header<'a>(message: &'a Message, name: &str) -> Option<&'a str> {
    let mut values = message
        .headers
        .iter()
        .filter_map(|line| line.split_once(':'))
        .filter(|(other, _)| *other == name)
        .map(|(_, value)| value.trim());
    values.next().filter(|_| values.next().is_none())
}

fn respond(mut connection: &TcpStream, status: u16) {
    let response = format!("HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n");
    // The caller may have closed the connection.
    let _ = connection.write_all(response.as_bytes());
}

/// Waits for the first byte and leaves it unread: the system resets a connection that is closed with unread bytes.
fn reset_at_first_byte(connection: &TcpStream) {
    let _ = connection.set_read_timeout(Some(EVENT_TIMEOUT));
    let _ = connection.peek(&mut [0]);
}

/// Reads what a caller sends, and records how the caller ended the connection.
struct CallerStream<'a> {
    connection: &'a TcpStream,
    end: Option<ConnectionEnd>,
}

impl CallerStream<'_> {
    fn new(connection: &TcpStream) -> CallerStream<'_> {
        // Without a time-out, the thread could run for as long as the caller keeps the connection open.
        let _ = connection.set_read_timeout(Some(EVENT_TIMEOUT));
        CallerStream {
            connection,
            end: None,
        }
    }
}

impl Read for CallerStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let read = self.connection.read(buffer);
        match &read {
            Ok(0) => self.end = self.end.or(Some(ConnectionEnd::Closed)),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                self.end = Some(ConnectionEnd::Reset);
            }
            Ok(_) | Err(_) => {}
        }
        read
    }
}

//! An HTTP/1.1 client that sends queries.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::{Value, json};

use crate::EVENT_TIMEOUT;
use crate::http::read_message;

/// A client connection for queries. Its methods panic if the connection fails, except `try_*` and
/// [`Client::read_response`].
pub struct Client(BufReader<TcpStream>);

/// An HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// The HTTP status.
    pub status: u16,
    /// The header lines, as `name: value` in lower case.
    pub headers: Vec<String>,
    /// The body.
    pub body: String,
}

/// The response to a query on a merged index.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body as JSON, or as a JSON string if it cannot be parsed.
    pub body: Value,
}

/// Returns the HTTP request of a query with a default query text.
pub fn request(index: &str, id: &str, shards: &[usize]) -> String {
    request_with(index, id, shards, "what is asked", &json!(null))
}

/// Returns the HTTP request of a query with this query text. `page` is included unless it is null; only merged
/// indexes take one.
pub fn request_with(index: &str, id: &str, shards: &[usize], text: &str, page: &Value) -> String {
    let bucket = |shard| json!({"bucket": shard, "part": 1.0 / shards.len() as f64});
    let buckets: Vec<Value> = shards.iter().map(bucket).collect();
    let mut body = json!({"buckets": buckets, "body": text});
    if !page.is_null() {
        body["page"] = page.clone();
    }
    let body = body.to_string();
    let headers = "X-Customer: acme\r\nX-Object: 7f3a9c21e0b4d655\r\nX-Expires-In-Ms: 20000";
    let length = format!("Content-Length: {}", body.len());
    format!(
        "POST /{index} HTTP/1.1\r\nHost: s\r\nX-Trace-Id: {id}\r\n{headers}\r\n{length}\r\n\r\n{body}"
    )
}

impl Client {
    /// Connects to an address. Returns `None` if the connection cannot be established.
    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let connection = TcpStream::connect_timeout(&address, EVENT_TIMEOUT).ok()?;
        connection.set_read_timeout(Some(EVENT_TIMEOUT)).ok()?;
        Some(Client(BufReader::new(connection)))
    }

    /// Sends a request, and reports whether it could be written to the connection.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Connects to an address.
    ///
    /// # Panics
    ///
    /// If nothing accepts the connection.
    pub fn connect(address: SocketAddr) -> Client {
        let connection = TcpStream::connect(address)
            .unwrap_or_else(|error| panic!("cannot connect to {address}: {error}"));
        connection
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("the time-out is not zero");
        Client(BufReader::new(connection))
    }

    /// Sends an HTTP request such as [`request`] returns.
    ///
    /// # Panics
    ///
    /// If the request cannot be written to the connection.
    pub fn send(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .expect("the request can be written to the connection");
    }

    /// Sends a query on an index.
    ///
    /// # Panics
    ///
    /// If the request cannot be written to the connection.
    pub fn query(&mut self, index: &str, id: &str, shards: &[usize]) {
        self.send(&request(index, id, shards));
    }

    /// Sends a query on a merged index and waits for its response.
    ///
    /// # Panics
    ///
    /// If the query cannot be written to the connection, or the connection ends without a response.
    pub fn query_merged(
        &mut self,
        index: &str,
        id: &str,
        shards: &[usize],
        text: &str,
        page: &Value,
    ) -> MergedResponse {
        self.send(&request_with(index, id, shards, text, page));
        let ClientResponse { status, body, .. } = self.read_response().expect("a response arrives");
        MergedResponse {
            status,
            body: serde_json::from_str(&body).unwrap_or(Value::String(body)),
        }
    }

    /// Reads the next response. Returns `None` if the connection ends without one.
    pub fn read_response(&mut self) -> Option<ClientResponse> {
        let message = read_message(&mut self.0)?;
        Some(ClientResponse {
            status: message.start_line.split(' ').nth(1)?.parse().ok()?,
            headers: message.headers,
            body: message.body,
        })
    }

    /// Reads the next response and returns its status.
    ///
    /// # Panics
    ///
    /// If the connection ends without a response.
    pub fn read_status(&mut self) -> u16 {
        self.read_response().expect("a response arrives").status
    }
}

//! A client over HTTP/1.1.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::{Value, json};

use crate::PATIENCE;
use crate::http::read_message;

/// A connection over which queries are made. Its methods panic if the connection fails, but for `try_*` and
/// [`Client::response`].
pub struct Client(BufReader<TcpStream>);

/// An HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// The status.
    pub status: u16,
    /// The headers, as `name: value` in lower case.
    pub headers: Vec<String>,
    /// The body.
    pub body: String,
}

/// The response to a query of a merged index.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedResponse {
    /// The status.
    pub status: u16,
    /// The body; a string if it is not JSON.
    pub body: Value,
}

/// The text of a query's HTTP request.
pub fn request(index: &str, id: &str, shards: &[usize]) -> String {
    request_with(index, id, shards, "what is asked", &json!(null))
}

/// The text of an HTTP request with this query text, and a page if the index is merged.
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
    /// Connects to an address where possibly nothing listens.
    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let connection = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
        connection.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(Client(BufReader::new(connection)))
    }

    /// Sends a request; whether the connection took it.
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
            .unwrap_or_else(|error| panic!("{address} accepts connections: {error}"));
        connection
            .set_read_timeout(Some(PATIENCE))
            .expect("the time-out is not zero");
        Client(BufReader::new(connection))
    }

    /// Sends a request, as [`request`] makes it.
    ///
    /// # Panics
    ///
    /// If the connection does not take it.
    pub fn send(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .expect("the connection takes the request");
    }

    /// Sends a query.
    ///
    /// # Panics
    ///
    /// If the connection does not take it.
    pub fn query(&mut self, index: &str, id: &str, shards: &[usize]) {
        self.send(&request(index, id, shards));
    }

    /// Queries a merged index.
    ///
    /// # Panics
    ///
    /// If the connection does not take the query, or ends without a response.
    pub fn query_merged(
        &mut self,
        index: &str,
        id: &str,
        shards: &[usize],
        text: &str,
        page: &Value,
    ) -> MergedResponse {
        self.send(&request_with(index, id, shards, text, page));
        let ClientResponse { status, body, .. } = self.response().expect("a response arrives");
        MergedResponse {
            status,
            body: serde_json::from_str(&body).unwrap_or(Value::String(body)),
        }
    }

    /// The next response. `None` if the connection ends without one.
    pub fn response(&mut self) -> Option<ClientResponse> {
        let message = read_message(&mut self.0)?;
        Some(ClientResponse {
            status: message.start_line.split(' ').nth(1)?.parse().ok()?,
            headers: message.headers,
            body: message.body,
        })
    }

    /// The status of the next response.
    ///
    /// # Panics
    ///
    /// If the connection ends without one.
    pub fn status(&mut self) -> u16 {
        self.response().expect("a response arrives").status
    }
}

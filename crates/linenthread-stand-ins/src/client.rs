//! A client over HTTP/1.1.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::{Value, json};

use crate::PATIENCE;
use crate::http::message;

pub struct Client(BufReader<TcpStream>);

/// A lookup's request.
pub fn request(index: &str, id: &str, shards: &[usize]) -> String {
    request_with(index, id, shards, "what is asked", &json!(null))
}

/// One with a text of its own, and a page where its index is merged.
pub fn request_with(index: &str, id: &str, shards: &[usize], text: &str, page: &Value) -> String {
    let part = |shard| json!({"bucket": shard, "part": 1.0 / shards.len() as f64});
    let parts: Vec<Value> = shards.iter().map(part).collect();
    let mut body = json!({"buckets": parts, "body": text});
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
    /// Where somebody may be listening or not.
    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let line = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
        line.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(Client(BufReader::new(line)))
    }

    pub fn try_send(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    pub fn connect(address: SocketAddr) -> Client {
        let line = TcpStream::connect(address).unwrap();
        line.set_read_timeout(Some(PATIENCE)).unwrap();
        Client(BufReader::new(line))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn ask(&mut self, index: &str, id: &str, shards: &[usize]) {
        self.send(&request(index, id, shards));
    }

    /// Asks a merged index, and gives its status and its answer.
    pub fn merged(
        &mut self,
        index: &str,
        id: &str,
        shards: &[usize],
        text: &str,
        page: &Value,
    ) -> (u16, Value) {
        self.send(&request_with(index, id, shards, text, page));
        let (status, _, body) = self.answer().expect("an answer");
        (
            status,
            serde_json::from_str(&body).unwrap_or(Value::String(body)),
        )
    }

    /// The next answer: status, headers, body. `None` where the connection ends without one.
    pub fn answer(&mut self) -> Option<(u16, Vec<String>, String)> {
        let (first, headers, body) = message(&mut self.0)?;
        Some((first.split(' ').nth(1)?.parse().ok()?, headers, body))
    }

    pub fn status(&mut self) -> u16 {
        self.answer().expect("an answer").0
    }
}

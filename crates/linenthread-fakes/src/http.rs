//! The subset of HTTP/1.1 that the fakes need.

use std::io::{BufRead, Write};
use std::net::TcpStream;

/// One HTTP message.
pub(crate) struct Message {
    pub(crate) start_line: String,
    /// The header lines, in lower case.
    pub(crate) headers: Vec<String>,
    pub(crate) body: String,
}

/// Sends a response with status 200.
pub(crate) fn write_response(mut connection: &TcpStream, body: &str) {
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    connection
        .write_all(response.as_bytes())
        .expect("the response can be written to the connection");
}

/// Reads one HTTP message. Returns `None` if the connection ends before a complete message or the message is
/// malformed.
pub(crate) fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let start_line = read_line(from)?;
    let mut headers = Vec::new();
    loop {
        let header = read_line(from)?;
        if header.is_empty() {
            break;
        }
        headers.push(header.to_ascii_lowercase());
    }
    let length = headers
        .iter()
        .find_map(|header| header.strip_prefix("content-length: ")?.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(Message {
        start_line,
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    Some(line.trim_end().to_owned())
}

//! As much of HTTP/1.1 as stand-ins need.

use std::io::{BufRead, Write};
use std::net::TcpStream;

pub(crate) fn respond(mut line: &TcpStream, body: &str) {
    line.write_all(
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .as_bytes(),
    )
    .unwrap();
}

/// One HTTP message: its first line, its headers in small letters, its body.
pub(crate) fn message(from: &mut impl BufRead) -> Option<(String, Vec<String>, String)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            line if lines.is_empty() => lines.push(line.to_owned()),
            line => lines.push(line.to_ascii_lowercase()),
        }
    }
    let length = lines
        .iter()
        .find_map(|l| l.strip_prefix("content-length: ")?.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((lines.remove(0), lines, String::from_utf8(body).ok()?))
}

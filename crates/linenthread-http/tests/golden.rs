//! Compatibility of heads, framing and merged records with commit 464716d.
//!
//! The files under `tests/golden/` were written by that commit. They must never be regenerated to make a test pass:
//! clients and replicas depend on the forwarded bytes.

use bytes::BytesMut;
use linenthread_golden::named_bytes;
use linenthread_http::{
    BodyPresence, BodyReader, Framing, Head, merge_top_records, request_framing, response_framing,
    write_decimal,
};

const MAX_HEAD: usize = 4_096;
const MAX_BODY: usize = 1_000;

const REQUEST: &str = "POST /search/find?q=a%20b&x=1 HTTP/1.1\r\nHost: search.example\r\n\
    X-One: 1\r\nx-Two:  two words \r\nAccept: */*\r\nX-Bytes: \u{e9}\r\nConnection: keep-alive, X-Hop\r\n\
    X-Hop: no\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\nTrailer: x\r\nUpgrade: h2c\r\n\
    Proxy-Authorization: secret\r\nX-Ours: no\r\nTransfer-Encoding: chunked\r\nX-One: again\r\n\r\n";
const REQUEST_BODY: &str = "5;ext=1\r\nhello\r\n7\r\n, world\r\n0\r\nTrail: er\r\n\r\n";
const RESPONSE: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 206 Partial Content\r\n\
    Content-Type: application/octet-stream\r\nContent-Length: 32\r\nConnection: close\r\n\
    X-Load: 0.5,queue=3\r\n\r\n";

/// Returns the forwarded headers of both heads.
fn forwarded() -> Vec<(&'static str, Vec<u8>)> {
    let mut request = Vec::new();
    request_head().forward_headers(&mut request, &["x-ours"]);
    let mut response = Vec::new();
    response_head().forward_headers(&mut response, &[]);
    vec![("request", request), ("response", response)]
}

fn request_head() -> Head {
    let mut buffer = BytesMut::from(REQUEST.as_bytes());
    let head = Head::parse_request(&mut buffer, MAX_HEAD).expect("a head");
    head.expect("all of it")
}

fn response_head() -> Head {
    let mut buffer = BytesMut::from(RESPONSE.as_bytes());
    let head = Head::parse_response(&mut buffer, MAX_HEAD).expect("a head");
    head.expect("all of it")
}

/// Returns the merged records of several responses.
fn merged() -> Vec<u8> {
    let part = |first: u8, records: u8| -> Vec<u8> {
        let record = |n: u8| [first.wrapping_mul(n), n, first].into_iter().chain([n; 13]);
        (0..records).flat_map(record).collect()
    };
    let parts = [part(17, 9), part(91, 7), part(200, 5), part(17, 2)];
    merge_top_records(parts.iter().map(Vec::as_slice), 10)
}

#[test]
fn heads_and_chunked_bodies_are_read_as_by_commit_464716d() {
    let head = request_head();
    assert_eq!(
        (head.method(), head.target()),
        ("POST", "/search/find?q=a%20b&x=1")
    );
    assert_eq!(
        (head.path(), head.is_http_1_1(), head.keeps_alive()),
        ("/search/find", true, true)
    );
    assert_eq!(head.header("X-TWO"), Some("two words"));
    assert_eq!(request_framing(&head, MAX_BODY), Ok(Framing::Chunked));
    let head = response_head();
    assert_eq!(
        (head.status(), head.is_http_1_1(), head.keeps_alive()),
        (206, true, false)
    );
    assert_eq!(
        response_framing(&head, BodyPresence::Present),
        Ok(Framing::Length(32))
    );
    assert_eq!(
        response_framing(&head, BodyPresence::Absent),
        Ok(Framing::Length(0))
    );
    let mut body = BodyReader::new(Framing::Chunked, MAX_BODY);
    let mut buffer = BytesMut::from(REQUEST_BODY.as_bytes());
    assert_eq!(body.read_from(&mut buffer), Ok(true));
    assert_eq!(
        (&body.into_bytes()[..], &buffer[..]),
        (&b"hello, world"[..], &b""[..])
    );
}

#[test]
fn headers_are_forwarded_as_by_commit_464716d() {
    let golden = named_bytes(include_str!("golden/passed_on.hex")).collect::<Vec<_>>();
    assert_eq!(forwarded(), golden);
}

#[test]
fn records_are_merged_as_by_commit_464716d() {
    let golden = named_bytes(include_str!("golden/merged.hex")).collect::<Vec<_>>();
    assert_eq!(vec![("merged", merged())], golden);
}

#[test]
fn numbers_are_written_in_decimal() {
    for n in [0, 9, 10, 206, u64::from(u32::MAX), u64::MAX] {
        let mut bytes = Vec::new();
        write_decimal(&mut bytes, n);
        assert_eq!(bytes, n.to_string().as_bytes());
    }
}

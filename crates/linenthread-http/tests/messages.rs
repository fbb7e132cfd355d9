//! Parsing of heads and bodies, also in small pieces, and merging of records compared with a full sort.

use bytes::BytesMut;
use linenthread_http::{
    BodyPresence, BodyReader, Framing, Head, ParseError, merge_top_records, request_framing,
    response_framing,
};
use yare::parameterized;

fn head(text: &str) -> Result<Head, ParseError> {
    let mut buffer = BytesMut::from(text.replace('\n', "\r\n").as_bytes());
    Head::parse_request(&mut buffer, 1_000).map(|h| h.expect("a complete head"))
}

#[parameterized(
    plain = { "GET /a?b HTTP/1.1\nHost: h\n\n", Ok(Framing::Length(0)) },
    length = { "POST /a HTTP/1.1\nHost: h\nContent-Length: 7\n\n", Ok(Framing::Length(7)) },
    same_length_twice = {
        "POST /a HTTP/1.1\nHost: h\nContent-Length: 7\nContent-Length: 7\n\n",
        Ok(Framing::Length(7))
    },
    two_lengths = {
        "POST /a HTTP/1.1\nHost: h\nContent-Length: 7\nContent-Length: 8\n\n",
        Err(ParseError::Malformed)
    },
    chunks = { "POST /a HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n", Ok(Framing::Chunked) },
    both = {
        "POST /a HTTP/1.1\nHost: h\nContent-Length: 7\nTransfer-Encoding: chunked\n\n",
        Err(ParseError::Malformed)
    },
    other_coding = {
        "POST /a HTTP/1.1\nHost: h\nTransfer-Encoding: gzip, chunked\n\n",
        Err(ParseError::Malformed)
    },
    two_codings = {
        "POST /a HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\nTransfer-Encoding: x\n\n",
        Err(ParseError::Malformed)
    },
    chunks_in_http_1_0 = { "POST /a HTTP/1.0\nHost: h\nTransfer-Encoding: chunked\n\n", Err(ParseError::Malformed) },
    signed = { "POST /a HTTP/1.1\nHost: h\nContent-Length: +7\n\n", Err(ParseError::Malformed) },
    no_host = { "GET /a HTTP/1.1\n\n", Err(ParseError::Malformed) },
    two_hosts = { "GET /a HTTP/1.1\nHost: h\nHost: g\n\n", Err(ParseError::Malformed) },
    no_path = { "GET http://h/a HTTP/1.1\nHost: h\n\n", Err(ParseError::Malformed) },
    too_long = { "POST /a HTTP/1.1\nHost: h\nContent-Length: 501\n\n", Err(ParseError::BodyTooLong) },
)]
fn request_framing_is_strict(text: &str, framing: Result<Framing, ParseError>) {
    assert_eq!(request_framing(&head(text).unwrap(), 500), framing);
}

#[test]
fn request_heads_are_bounded_and_may_arrive_in_parts() {
    let text = format!("GET / HTTP/1.1\r\nHost: h\r\nX-Long: {}", "x".repeat(1_000));
    assert!(matches!(
        Head::parse_request(&mut BytesMut::from(text.as_bytes()), 1_000),
        Err(ParseError::HeadTooLong)
    ));
    assert!(matches!(
        Head::parse_request(&mut BytesMut::from(&b"GET / HT\0P"[..]), 1_000),
        Err(ParseError::Malformed)
    ));
    let complete = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\nrest";
    for cut in 0..complete.len() - 4 {
        let mut buffer = BytesMut::from(&complete[..cut]);
        assert!(
            Head::parse_request(&mut buffer, 1_000).unwrap().is_none(),
            "cut at {cut}"
        );
        buffer.extend_from_slice(&complete[cut..]);
        assert_eq!(
            Head::parse_request(&mut buffer, 1_000)
                .unwrap()
                .unwrap()
                .path(),
            "/x"
        );
        assert_eq!(&buffer[..], b"rest");
    }
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let text = "GET / HTTP/1.1\nHost: h\nX-One: 1\nConnection: close, X-Hop\nX-Hop: no\n\
        Keep-Alive: 5\nTE: x\n\
        Upgrade: y\nContent-Length: 0\nX-Ours: no\nX-Two: 2\n\n";
    let mut forwarded = Vec::new();
    head(text)
        .unwrap()
        .forward_headers(&mut forwarded, &["x-ours", "host"]);
    assert_eq!(
        String::from_utf8(forwarded).unwrap(),
        "X-One: 1\r\nX-Two: 2\r\n"
    );
    assert!(!head(text).unwrap().keeps_alive());
}

#[parameterized(
    with_length = { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", Ok(Framing::Length(3)) },
    until_close = { "HTTP/1.1 200 OK\r\n\r\n", Ok(Framing::UntilClose) },
    both = {
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        Err(ParseError::Malformed)
    },
    two_lengths = {
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        Err(ParseError::Malformed)
    },
    after_an_informational_head = {
        "HTTP/1.1 103 Hint\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        Ok(Framing::Chunked)
    },
    no_content = { "HTTP/1.1 204 No Content\r\n\r\n", Ok(Framing::Length(0)) },
)]
fn response_framing_is_strict(text: &str, framing: Result<Framing, ParseError>) {
    let head = Head::parse_response(&mut BytesMut::from(text.as_bytes()), 1_000)
        .unwrap()
        .unwrap();
    assert_eq!(response_framing(&head, BodyPresence::Present), framing);
}

#[test]
fn chunks_are_read_however_they_are_split() {
    let text = b"3;x=y\r\nabc\r\n0a\r\n0123456789\r\n0\r\nTrail: er\r\n\r\nnext";
    for step in 1..text.len() {
        let (mut body, mut buffer, mut done) = (
            BodyReader::new(Framing::Chunked, 20),
            BytesMut::new(),
            false,
        );
        for piece in text.chunks(step) {
            buffer.extend_from_slice(piece);
            if !done {
                done = body.read_from(&mut buffer).unwrap();
            }
        }
        assert!(done);
        assert_eq!(
            (body.into_bytes().as_slice(), &buffer[..]),
            (&b"abc0123456789"[..], &b"next"[..])
        );
    }
}

#[test]
fn a_body_without_a_length_ends_when_the_connection_is_closed() {
    let mut body = BodyReader::new(Framing::UntilClose, 6);
    for (piece, complete) in [("abc", false), ("", false), ("def", false)] {
        let mut buffer = BytesMut::from(piece);
        assert_eq!(body.read_from(&mut buffer), Ok(complete));
        assert!(buffer.is_empty());
    }
    assert!(body.on_close());
    assert_eq!(body.into_bytes(), b"abcdef");
    let mut too_long = BodyReader::new(Framing::UntilClose, 6);
    let mut buffer = BytesMut::from("abcdefg");
    assert_eq!(
        too_long.read_from(&mut buffer),
        Err(ParseError::BodyTooLong)
    );
}

#[parameterized(
    with_length = { Framing::Length(4) },
    chunked = { Framing::Chunked },
)]
fn a_close_within_a_body_does_not_complete_it(framing: Framing) {
    let mut body = BodyReader::new(framing, 20);
    let mut buffer = BytesMut::from("3\r\n");
    assert_eq!(body.read_from(&mut buffer), Ok(false));
    assert!(!body.on_close());
}

#[parameterized(
    invalid_size = { "x\r\n", ParseError::Malformed },
    missing_line_end = { "3\r\nabcd\r\n", ParseError::Malformed },
    longer_than_allowed = { "15\r\n0123456789012345678901234\r\n", ParseError::BodyTooLong },
    maximum_size = { "ffffffffffffffff\r\n", ParseError::BodyTooLong },
)]
fn invalid_chunks_are_rejected(text: &str, error: ParseError) {
    let mut buffer = BytesMut::from(text.as_bytes());
    assert_eq!(
        BodyReader::new(Framing::Chunked, 20).read_from(&mut buffer),
        Err(error)
    );
}

#[test]
fn merged_records_equal_those_of_a_full_sort() {
    let mut x = 7u64;
    let mut next = || {
        x = x
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(x >> 33).unwrap()
    };
    for _ in 0..200 {
        // Few distinct bytes, so that equal records are frequent; some parts end with an incomplete record.
        let part = |n: usize, remainder: usize, next: &mut dyn FnMut() -> usize| -> Vec<u8> {
            (0..n * 16 + remainder)
                .map(|_| [0, 1, 0xff][next() % 3])
                .collect()
        };
        let parts: Vec<Vec<u8>> = (0..1 + next() % 4)
            .map(|_| part(next() % 9, next() % 16, &mut next))
            .collect();
        let limit = next() % 20;
        let mut all: Vec<&[u8]> = parts.iter().flat_map(|p| p.chunks_exact(16)).collect();
        all.sort();
        let expected: Vec<u8> = all
            .iter()
            .rev()
            .take(limit)
            .flat_map(|r| r.iter().copied())
            .collect();
        assert_eq!(
            merge_top_records(parts.iter().map(Vec::as_slice), limit),
            expected
        );
    }
}

// Guards against a client's key in logs and panic messages that contain a head.
#[test]
fn debug_output_of_a_head_contains_no_header_values() {
    let text = "GET /a HTTP/1.1\nHost: h\nAuthorization: Bearer qwertz\nX-Other: asdf\n\n";
    let debug = format!("{:?} {0:#?}", head(text).unwrap());
    assert!(
        !debug.contains("qwertz") && !debug.contains("asdf"),
        "{debug}"
    );
    assert!(debug.contains("Authorization"), "{debug}");
}

//! Runs the adapter on binary input and checks its output, exit status and error message.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use linenthread_golden::decode_hex;

const SETTINGS: &str = r#"{"accounts": [], "unheard-of": 1, "balancers": 1, "membership-mode": "pushed",
 "allowed": {"cancel": true, "max-attempts": 3, "max-retry-after-ms": 500.0, "probes": false,
  "retry-after": false, "second-copies": true},
 "classes": [{"deadline-ms": 4000.0, "idempotency": "safe", "late-share": 0.1, "name": "a",
  "promise-ms": 2000.0, "window-ms": 5000.0, "worth": 1.0}],
 "family-info": {"cells": 1, "fetch-parts": [0], "floor-by-class": [1.0], "in-a-row": 1,
  "incomplete-worth": [0.9], "need-by-class": [1.0], "parts-a-call": 1},
 "safety": {"cold-share": 0.2, "drain-grace-ms": 500.0, "fall-multiple": 3.0, "tip-after-ms": 3000.0,
  "warm-up-ms": 14000.0}, "me": 0, "tick-ms": 5.0,
 "telemetry": {"names": ["odd", "queue"], "source": "answers"}}"#;

fn frame(clock_ms: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut frame = (u32::try_from(body.len()).unwrap() + 12)
        .to_be_bytes()
        .to_vec();
    frame.extend(clock_ms.to_be_bytes());
    frame.extend(body);
    frame
}

fn boot(settings: &str) -> Vec<u8> {
    let mut record = decode_hex("01 00000003 0000000000000007");
    record.extend(u32::try_from(settings.len()).unwrap().to_be_bytes());
    record.extend(settings.as_bytes());
    record
}

/// Returns a list with one ready replica, and the event that makes it the complete membership.
fn membership() -> Vec<u8> {
    decode_hex(
        "0b 0000 00000001 03124a07 0000 0000 0000 01 3f800000 0000000000000000 \
         02 00000003 02 0000000000000029 0000",
    )
}

/// Returns a query with one sub-request and a deadline at 13000 ms.
fn query() -> Vec<u8> {
    decode_hex(
        "03 00000003 000643ee0e6f2b19 0000 00000000 91f03b7c55d20a64 40c9640000000000 0000000000000000 \
         43560000 bf800000 3f800000 0000 \
         03 00000003 000a7e015d3a91c4 0000 00000000 91f03b7c55d20a64 40c9640000000000 4028000000000000 \
         43560000 00000000 3f800000 0001",
    )
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linenthread-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter stops reading after invalid input, so writing the rest may fail.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

fn contains_record(output: &[u8], hex: &str) -> bool {
    let record = decode_hex(hex);
    output.windows(record.len()).any(|w| w == record)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run(&decode_hex("0000000c 40c06e2000000000"));
    assert_eq!(
        (output.status.code(), output.stdout),
        (Some(0), decode_hex("00000008 00000000"))
    );
}

#[test]
fn a_sub_request_is_sent_and_its_query_responded_to() {
    let result = decode_hex(
        "05 00000003 000a7e015d3a91c4 00 03124a07 0064 4032800000000000 01 02 3f800000 3f800000",
    );
    let abandoned = decode_hex("06 00000003 000643ee0e6f2b19");
    let output = run(&[
        frame(10_000.0, &[boot(SETTINGS), membership(), query()]),
        frame(10_018.5, &[result]),
        frame(10_020.0, &[abandoned]),
    ]
    .concat());
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(contains_record(
        &output.stdout,
        "0c 00000003 000a7e015d3a91c4 03124a07"
    ));
    assert!(contains_record(
        &output.stdout,
        "08 00000003 000643ee0e6f2b19 01"
    ));
}

#[test]
fn a_killed_instance_restarts_without_its_state_in_the_same_batch() {
    let killed = decode_hex("0a 00000003");
    let output = run(&frame(
        10_000.0,
        &[
            boot(SETTINGS),
            membership(),
            query(),
            killed,
            boot(SETTINGS),
            membership(),
        ],
    ));
    assert_eq!(output.status.code(), Some(0));
    assert!(!contains_record(&output.stdout, "000a7e015d3a91c4"));
}

#[test]
fn invalid_input_is_reported_in_one_line() {
    let incomplete = SETTINGS.replace("\"cold-share\": 0.2, ", "");
    let cases = [
        (decode_hex("0000000c 40c06e20"), "truncated frame"),
        (decode_hex("0000"), "truncated frame"),
        (frame(1.0, &[decode_hex("2a")]), "unknown event code 42"),
        (
            frame(1.0, &[decode_hex("06 00000005 000643ee0e6f2b19")]),
            "unknown instance 5",
        ),
        (frame(1.0, &[boot("{")]), "settings do not parse"),
        (
            frame(1.0, &[boot(&incomplete)]),
            "settings lack safety.cold-share",
        ),
        (
            frame(
                1.0,
                &[
                    boot(SETTINGS),
                    decode_hex("02 00000003 02 0000000000000029 0007"),
                ],
            ),
            "unknown list 7",
        ),
        (
            frame(1.0, &[boot(SETTINGS), decode_hex("06 00000003 0006")]),
            "truncated frame: request-id",
        ),
    ];
    for (input, message) in cases {
        let output = run(&input);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(
            error.contains(message) && error.lines().count() == 1,
            "{message}: {error}"
        );
        assert_eq!(output.status.code(), Some(1), "{message}");
    }
}

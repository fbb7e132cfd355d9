//! The encoding of fields and the proofs of a shared secret, compared with bytes written by an earlier version.
//!
//! The files under `tests/golden/` were written by commit 464716d. They must never be regenerated to make a test
//! pass: during an upgrade, peers still use the older encoding.

use linenthread_frames::{
    DecodeError, Decoder, ProofDomain, SecretIndex, Secrets, drain_frames, encode_frame,
    first_frame,
};
use linenthread_golden::named_bytes;

const KIND: u8 = 0xee;
const MAX_LENGTH: usize = 1_000;
const DOMAIN: ProofDomain = *b"linenthread test";

/// Encodes a frame with each type of field.
fn frame() -> Vec<u8> {
    encode_frame(KIND, |encoder| {
        encoder.u16(0x0102);
        encoder.u32(0x0304_0506);
        encoder.u64(0x0708_090a_0b0c_0d0e);
        encoder.bytes(&[0xff, 0, 1]);
        encoder.text("t\u{e9}xt");
        encoder.long_text("v\u{e4}lue");
        encoder.optional_f64(Some(2.5));
        encoder.optional_f64(None);
    })
}

/// Makes proofs with each of two secrets, and one with an empty nonce.
fn proofs() -> Vec<(&'static str, Vec<u8>)> {
    let secrets = secrets();
    let proof = |secret, nonce: &[u8]| {
        secrets
            .prove(secret, DOMAIN, nonce, b"what is said")
            .to_vec()
    };
    vec![
        ("first", proof(SecretIndex::FIRST, &[7; 16])),
        ("second", proof(SecretIndex(1), &[7; 16])),
        ("without_nonce", proof(SecretIndex::FIRST, &[])),
    ]
}

fn secrets() -> Secrets {
    let secrets = vec![
        b"the first secret of this test".to_vec(),
        b"the second secret of it".to_vec(),
    ];
    Secrets::new(secrets).expect("the secrets are long enough")
}

#[test]
fn fields_have_the_bytes_of_version_464716d() {
    let golden = named_bytes(include_str!("golden/fields.hex")).collect::<Vec<_>>();
    let [(_, bytes)] = &golden[..] else {
        panic!("the golden file does not have exactly one frame");
    };
    assert_eq!(frame(), *bytes);
    let frame = first_frame(bytes, MAX_LENGTH)
        .expect("a frame")
        .expect("a complete frame");
    assert_eq!(frame.encoded_bytes, bytes.len());
    let mut decoder = Decoder::new(frame.fields);
    assert_eq!(decoder.u8(), Ok(KIND));
    assert_eq!(decoder.u16(), Ok(0x0102));
    assert_eq!(decoder.u32(), Ok(0x0304_0506));
    assert_eq!(decoder.u64(), Ok(0x0708_090a_0b0c_0d0e));
    assert_eq!(decoder.bytes(), Ok(&[0xff, 0, 1][..]));
    assert_eq!(decoder.text().as_deref(), Ok("t\u{e9}xt"));
    assert_eq!(decoder.long_text().as_deref(), Ok("v\u{e4}lue"));
    assert_eq!(decoder.optional_f64(), Ok(Some(2.5)));
    assert_eq!(decoder.optional_f64(), Ok(None));
    assert_eq!(decoder.finish(), Ok(()));
}

#[test]
fn frames_of_version_464716d_are_drained_from_a_stream() {
    let golden = named_bytes(include_str!("golden/fields.hex")).collect::<Vec<_>>();
    let frame = &golden[0].1;
    let mut read = [&frame[..], &frame[..], &frame[..frame.len() - 1]].concat();
    let mut drained = Vec::new();
    let result = drain_frames(&mut read, MAX_LENGTH, |fields| {
        drained.push(fields.to_vec());
        Ok::<(), DecodeError>(())
    });
    assert_eq!(result, Ok(()));
    assert_eq!(drained, [&frame[4..], &frame[4..]]);
    assert_eq!(read, frame[..frame.len() - 1]);
}

#[test]
fn proofs_have_the_bytes_of_version_464716d() {
    let golden = named_bytes(include_str!("golden/proofs.hex")).collect::<Vec<_>>();
    assert_eq!(proofs(), golden);
    let expected = [(0, &[7; 16][..]), (1, &[7; 16][..]), (0, &[][..])];
    for ((name, bytes), (secret, nonce)) in golden.into_iter().zip(expected) {
        let proof = bytes.try_into().expect("a proof's length");
        let proven = secrets().verify(DOMAIN, nonce, b"what is said", &proof);
        assert_eq!(proven, Some(SecretIndex(secret)), "{name}");
    }
}

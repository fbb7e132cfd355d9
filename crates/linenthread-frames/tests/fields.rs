//! Decoding of truncated and malformed fields, and of invalid frames in a stream.

use linenthread_frames::{DecodeError, Decoder, Secrets, drain_frames, encode_frame, first_frame};

const MAX_LENGTH: usize = 100;

#[test]
fn truncated_fields_are_errors() {
    type Decode = fn(&mut Decoder) -> Result<(), DecodeError>;
    let fields: [(usize, Decode); 7] = [
        (1, |decoder| decoder.u8().map(drop)),
        (2, |decoder| decoder.u16().map(drop)),
        (4, |decoder| decoder.u32().map(drop)),
        (8, |decoder| decoder.u64().map(drop)),
        (8, |decoder| decoder.optional_f64().map(drop)),
        (16, |decoder| decoder.array::<16>().map(drop)),
        (3, |decoder| decoder.raw(3).map(drop)),
    ];
    for (length, decode) in fields {
        let bytes = vec![0; length];
        assert_eq!(decode(&mut Decoder::new(&bytes)), Ok(()));
        let error = decode(&mut Decoder::new(&bytes[1..]));
        assert_eq!(error, Err(DecodeError::Truncated));
    }
}

#[test]
fn lengths_beyond_the_input_are_errors() {
    let bytes = u32::MAX.to_be_bytes();
    assert_eq!(Decoder::new(&bytes).bytes(), Err(DecodeError::Truncated));
    assert_eq!(Decoder::new(&bytes).text(), Err(DecodeError::Truncated));
    let error = Decoder::new(&bytes).long_text();
    assert_eq!(error, Err(DecodeError::Truncated));
}

#[test]
fn malformed_fields_are_errors() {
    let error = Decoder::new(&[2]).flag();
    assert_eq!(error, Err(DecodeError::InvalidFlag { value: 2 }));
    let error = Decoder::new(&[0, 1, 0xff]).text();
    assert_eq!(error, Err(DecodeError::InvalidUtf8));
    let error = Decoder::new(&[0; 3]).finish();
    assert_eq!(error, Err(DecodeError::TrailingBytes { count: 3 }));
}

#[test]
fn negative_numbers_are_read_as_zero_and_non_finite_ones_as_absent() {
    let read = |number: f64| {
        let bytes = number.to_be_bytes();
        Decoder::new(&bytes).optional_f64()
    };
    assert_eq!(read(-1.5), Ok(Some(0.0)));
    assert_eq!(read(1.5), Ok(Some(1.5)));
    assert_eq!(read(f64::NAN), Ok(None));
    assert_eq!(read(f64::INFINITY), Ok(None));
}

#[test]
fn only_complete_options_are_skipped() {
    let options = [7, 0, 2, 1, 1, 8, 0, 0];
    assert_eq!(Decoder::new(&options).skip_options(), Ok(()));
    for length in [1, 2, 3, 4, 6, 7] {
        let error = Decoder::new(&options[..length]).skip_options();
        assert_eq!(error, Err(DecodeError::Truncated), "{length} bytes");
    }
}

#[test]
fn empty_and_oversized_frames_are_errors() {
    for length in [0, MAX_LENGTH + 1] {
        let prefix = u32::try_from(length).expect("a short frame").to_be_bytes();
        let error = first_frame(&prefix, MAX_LENGTH);
        assert_eq!(error, Err(DecodeError::InvalidLength { length }));
    }
    assert_eq!(first_frame(&[0, 0, 0], MAX_LENGTH), Ok(None));
}

#[test]
fn frames_before_an_invalid_one_are_handled_and_removed() {
    let frame = encode_frame(3, |_| {});
    let mut buffer = [&frame[..], &frame[..], &[0; 4]].concat();
    let mut handled = 0;
    let result = drain_frames(&mut buffer, MAX_LENGTH, |fields| {
        assert_eq!(fields, [3]);
        handled += 1;
        Ok(())
    });
    assert_eq!(result, Err(DecodeError::InvalidLength { length: 0 }));
    assert_eq!((handled, buffer), (2, vec![0; 4]));
}

#[test]
fn missing_and_short_secrets_are_rejected() {
    assert!(Secrets::new(Vec::new()).is_err());
    assert!(Secrets::new(vec![vec![1; 16], vec![2; 15]]).is_err());
    assert!(Secrets::new(vec![vec![1; 16]]).is_ok());
}

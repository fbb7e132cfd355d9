//! Encoding and decoding of frames, with valid and with arbitrary bytes.

use linenthread_fleet::frame::{Frame, Progress};
use linenthread_fleet::{FoundersDigest, VoterIncarnation};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary bytes decode to a frame or an error, and a decoded frame is the same after encoding and decoding it
    /// again.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), kind in 1_u8..12) {
        let fields = [vec![kind], bytes.clone()].concat();
        if let Ok(frame) = Frame::decode(&fields) {
            let encoded = frame.encode();
            prop_assert_eq!(Frame::decode(&encoded[4..]), Ok(frame));
        }
        let mut buffer = bytes;
        let _ = Frame::drain(&mut buffer, |_| {});
    }

    #[test]
    fn progress_is_decoded_as_encoded(incarnation in any::<u64>(), index in 0_usize..4) {
        let progress = [Progress::Empty, Progress::Founded, Progress::Active, Progress::Stopped][index];
        let frame = Frame::Progress {
            progress,
            incarnation: VoterIncarnation(incarnation),
            founders: FoundersDigest(7),
        };
        prop_assert_eq!(Frame::decode(&frame.encode()[4..]), Ok(frame));
    }
}

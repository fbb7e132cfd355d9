//! Frames on any bytes.

use linenthread_fleet::frame::{Frame, Progress};
use linenthread_fleet::{FoundersDigest, VoterIncarnation};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any bytes are frames or an error, and frames come back as they went.
    #[test]
    fn hostile_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), kind in 1_u8..12) {
        let fields = [vec![kind], bytes.clone()].concat();
        if let Ok(frame) = Frame::decode(&fields) {
            let again = frame.encode();
            prop_assert_eq!(Frame::decode(&again[4..]), Ok(frame));
        }
        let mut read = bytes;
        let _ = Frame::drain(&mut read, |_| {});
    }

    #[test]
    fn progress_is_decoded_as_encoded(incarnation in any::<u64>(), at in 0_usize..4) {
        let progress = [Progress::Empty, Progress::Founded, Progress::Active, Progress::Stopped][at];
        let frame = Frame::Progress {
            progress,
            incarnation: VoterIncarnation(incarnation),
            founders: FoundersDigest(7),
        };
        prop_assert_eq!(Frame::decode(&frame.encode()[4..]), Ok(frame));
    }
}

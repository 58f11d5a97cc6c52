//! Decoding of frames and states that were received: any bytes are either decoded or rejected, without a
//! panic.

use hillstall_consensus::frame::{DecodeError, Frame, FRAME_VERSION};
use hillstall_consensus::state::State;
use hillstall_lease::Instance;
use proptest::prelude::*;

#[test]
fn a_frame_survives_encoding_and_other_versions_are_rejected() {
    let frame = Frame::Hello {
        fleet: "shop".into(),
        instance: Instance { rank: 3, incarnation: 9 },
        replica: Some(1),
    };
    let mut bytes = frame.encode();
    assert_eq!(Frame::decode(&bytes), Ok(frame));
    bytes[0] = FRAME_VERSION + 1;
    assert_eq!(Frame::decode(&bytes), Err(DecodeError::Version(FRAME_VERSION + 1)));
    assert!(Frame::decode(&[]).is_err());
}

proptest! {
    #[test]
    fn no_bytes_make_decoding_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..300), flips in 0..8usize) {
        let _ = State::from_bytes(&bytes);
        bytes.insert(0, FRAME_VERSION);
        let _ = Frame::decode(&bytes);
        // A valid frame with some changed bytes.
        let mut frame = Frame::State(State::default().to_bytes()).encode();
        let last = frame.len() - 1;
        for flip in 0..flips {
            frame[(flip * 7) % last + 1] ^= bytes.get(flip).copied().unwrap_or(1);
        }
        let _ = Frame::decode(&frame);
    }
}

//! Frames with damaged content.

use wire::{
    frame::{self, FrameError},
    message::Request,
};

quickcheck::quickcheck! {
    /// Guards against a damaged frame that crashes the process or asks for huge memory.
    fn random_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let _ = frame::decode::<Request>(&bytes);
        true
    }

    /// Guards against a truncated message that passes as whole.
    fn a_truncated_frame_is_refused(revision: u64, cut: usize) -> bool {
        let bytes = frame::encode(&Request::Vouch { known_revision: revision }).unwrap();
        let cut = cut % bytes.len();
        frame::decode::<Request>(&bytes[..cut]).is_err()
    }
}

/// Guards against a message over the limit that is sent and refused by the peer only.
#[test]
fn an_oversized_message_is_refused() {
    let records = vec!["x".repeat(base::limits::MESSAGE_BYTES)];
    let req = Request::Apply {
        change: 1,
        operator: "op".parse().unwrap(),
        records,
        expected_revision: None,
    };
    assert!(matches!(
        frame::encode(&req),
        Err(FrameError::TooLarge { .. })
    ));
}

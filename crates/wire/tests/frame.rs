//! Decoding of corrupted and truncated frames, and encoding of oversized messages.

use quickcheck::{Gen, QuickCheck};
use wire::{
    frame::{self, FrameError},
    message::Request,
};

/// Guards against a corrupted frame that makes the decoder panic or allocate too much memory.
#[test]
fn random_bytes_never_panic() {
    fn prop(bytes: Vec<u8>) -> bool {
        let _ = frame::decode::<Request>(&bytes);
        true
    }
    let rng = Gen::from_size_and_seed(300, 2);
    QuickCheck::new()
        .rng(rng)
        .quickcheck(prop as fn(Vec<u8>) -> bool);
}

/// Guards against a truncated message that is decoded as a complete one.
#[test]
fn a_truncated_frame_is_refused() {
    fn prop(revision: u64, len: usize) -> bool {
        let bytes = frame::encode(&Request::QuorumRead {
            member: 1,
            known_revision: revision,
        })
        .unwrap();
        let len = len % bytes.len();
        frame::decode::<Request>(&bytes[..len]).is_err()
    }
    let rng = Gen::from_size_and_seed(100, 3);
    QuickCheck::new()
        .rng(rng)
        .quickcheck(prop as fn(u64, usize) -> bool);
}

/// Guards against a message over the limit that is sent and then rejected by the peer.
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

//! Frames with damaged content.

use quickcheck::{Gen, QuickCheck};
use wire::{
    frame::{self, FrameError},
    message::Request,
};

/// Guards against a damaged frame that crashes the process or asks for huge memory.
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

/// Guards against a truncated message that passes as whole.
#[test]
fn a_truncated_frame_is_refused() {
    fn prop(revision: u64, cut: usize) -> bool {
        let bytes = frame::encode(&Request::QuorumRead {
            member: 1,
            known_revision: revision,
        })
        .unwrap();
        let cut = cut % bytes.len();
        frame::decode::<Request>(&bytes[..cut]).is_err()
    }
    let rng = Gen::from_size_and_seed(100, 3);
    QuickCheck::new()
        .rng(rng)
        .quickcheck(prop as fn(u64, usize) -> bool);
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

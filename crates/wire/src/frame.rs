//! Frames: a length prefix of four bytes, big-endian, followed by a message encoded with bincode.

use base::limits;
use bincode::config;
use bytes::{BufMut, Bytes, BytesMut};
use derive_more::{Display, Error};
use h2::RecvStream;
use serde::{Serialize, de::DeserializeOwned};

/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = limits::MESSAGE_BYTES + LENGTH_BYTES;

/// Reason why a frame can't be encoded or decoded.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum FrameError {
    /// The message is larger than the limit.
    #[display("message has {len} bytes, the limit is {}", limits::MESSAGE_BYTES)]
    TooLarge {
        /// Length of the message in bytes.
        len: usize,
    },
    /// The length prefix does not match the number of bytes received.
    #[display("frame announces {declared} bytes and has {found}")]
    LengthMismatch {
        /// Length that the prefix declares.
        declared: usize,
        /// Number of bytes found.
        found: usize,
    },
    /// The message can't be encoded or decoded.
    #[display("message: {reason}")]
    Codec {
        /// Error message of the codec.
        reason: String,
    },
    /// The stream failed before the frame was complete.
    #[display("stream: {reason}")]
    Stream {
        /// Error message of the transport.
        reason: String,
    },
}

/// Encodes a message as one frame.
///
/// ```
/// use wire::{frame, message::Request};
///
/// let bytes = frame::encode(&Request::Ping).unwrap();
/// assert_eq!(frame::decode::<Request>(&bytes).unwrap(), Request::Ping);
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, FrameError> {
    let body = bincode::serde::encode_to_vec(message, config::standard()).map_err(|e| {
        FrameError::Codec {
            reason: e.to_string(),
        }
    })?;
    if body.len() > limits::MESSAGE_BYTES {
        return Err(FrameError::TooLarge { len: body.len() });
    }
    let mut buf = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    buf.put_u32(body.len() as u32);
    buf.put_slice(&body);
    Ok(buf.freeze())
}

/// Decodes a complete frame.
///
/// ```
/// use wire::{frame, message::Request};
/// assert!(frame::decode::<Request>(&[0, 0, 0, 9, 1]).is_err());
/// ```
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    let Some((length, body)) = frame.split_first_chunk::<LENGTH_BYTES>() else {
        return Err(FrameError::LengthMismatch {
            declared: LENGTH_BYTES,
            found: frame.len(),
        });
    };
    let declared = u32::from_be_bytes(*length) as usize;
    if declared != body.len() {
        return Err(FrameError::LengthMismatch {
            declared,
            found: body.len(),
        });
    }
    let limit = config::standard().with_limit::<{ limits::MESSAGE_BYTES }>();
    let (message, consumed) =
        bincode::serde::decode_from_slice(body, limit).map_err(|e| FrameError::Codec {
            reason: e.to_string(),
        })?;
    if consumed != body.len() {
        return Err(FrameError::LengthMismatch {
            declared,
            found: consumed,
        });
    }
    Ok(message)
}

/// Reads a stream to its end and decodes the frame in it.
pub async fn receive<T: DeserializeOwned>(stream: &mut RecvStream) -> Result<T, FrameError> {
    receive_with(stream, |_| {}).await
}

/// Reads a stream to its end and decodes the frame in it. Calls `record` with the number of bytes of
/// each piece that arrives.
pub async fn receive_with<T: DeserializeOwned>(
    stream: &mut RecvStream,
    record: impl Fn(usize),
) -> Result<T, FrameError> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|e| FrameError::Stream {
            reason: e.to_string(),
        })?;
        if buf.len() + chunk.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge {
                len: buf.len() + chunk.len(),
            });
        }
        record(chunk.len());
        buf.extend_from_slice(&chunk);
        stream
            .flow_control()
            .release_capacity(chunk.len())
            .map_err(|e| FrameError::Stream {
                reason: e.to_string(),
            })?;
    }
    decode(&buf)
}

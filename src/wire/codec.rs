use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, SeqAccess, Visitor},
    ser::SerializeTuple,
};

use super::{Chunk, Frame, Result};
use crate::{
    id::{Attempt, Request},
    unit::Bytes,
};

/// Maximum size of an encoded frame. A prompt or document at the limit of the HTTP interface
/// (1 MiB) fits, together with the other fields of its frame.
pub const FRAME_MAX: Bytes = Bytes::new(2 << 20);

/// Recursion limit of the decoder. Frames have at most five levels of nesting.
const RECURSION_LIMIT: usize = 16;

/// Error for a frame that cannot be encoded or decoded.
#[derive(Debug)]
pub struct Error {
    detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid frame: {}", self.detail)
    }
}

impl std::error::Error for Error {}

/// Encodes a frame as CBOR.
///
/// # Errors
///
/// Fails if the frame is larger than [`FRAME_MAX`].
pub fn encode(frame: &Frame) -> Result<Vec<u8>> {
    let mut out = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut out).map_err(|error| Error {
        detail: error.to_string(),
    })?;
    check_size(out.len())?;
    Ok(out)
}

/// Decodes a frame from CBOR.
///
/// # Errors
///
/// Fails on a truncated, malformed or oversized frame and on bytes after its end.
pub fn decode(bytes: &[u8]) -> Result<Frame> {
    check_size(bytes.len())?;
    let mut rest = bytes;
    let frame = ciborium::de::from_reader_with_recursion_limit(&mut rest, RECURSION_LIMIT)
        .map_err(|error| Error {
            detail: error.to_string(),
        })?;
    if rest.is_empty() {
        Ok(frame)
    } else {
        Err(Error {
            detail: format!("{} bytes after the end", rest.len()),
        })
    }
}

fn check_size(length: usize) -> Result<()> {
    if length as u64 > FRAME_MAX.get() {
        return Err(Error {
            detail: format!("{length} bytes are more than {FRAME_MAX}"),
        });
    }
    Ok(())
}

/// Number of fields of an encoded chunk: request, attempt number, offset, data.
const CHUNK_FIELDS: usize = 4;

/// Serializes as a byte string; serde's default for `&[u8]` is a sequence of integers.
struct ByteSlice<'a>(&'a [u8]);

impl Serialize for ByteSlice<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.0)
    }
}

/// Deserializes from a byte string.
struct ByteVec(Vec<u8>);

impl<'de> Deserialize<'de> for ByteVec {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(ByteVecVisitor).map(Self)
    }
}

struct ByteVecVisitor;

impl Visitor<'_> for ByteVecVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E: de::Error>(self, v: &[u8]) -> std::result::Result<Vec<u8>, E> {
        Ok(v.to_vec())
    }

    fn visit_byte_buf<E: de::Error>(self, v: Vec<u8>) -> std::result::Result<Vec<u8>, E> {
        Ok(v)
    }
}

// A chunk is sent for every few tokens. Encoded as a tuple with binary ids, it takes about a third
// of the bytes of the derived encoding.
impl Serialize for Chunk {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(CHUNK_FIELDS)?;
        tuple.serialize_element(&ByteSlice(&self.attempt.request().to_bytes()))?;
        tuple.serialize_element(&self.attempt.number())?;
        tuple.serialize_element(&self.offset.get())?;
        tuple.serialize_element(&ByteSlice(&self.data))?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Chunk {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_tuple(CHUNK_FIELDS, ChunkVisitor)
    }
}

struct ChunkVisitor;

impl ChunkVisitor {
    fn field<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
        seq: &mut A,
        index: usize,
    ) -> std::result::Result<T, A::Error> {
        seq.next_element()?
            .ok_or_else(|| de::Error::invalid_length(index, &"a chunk"))
    }
}

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = Chunk;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a chunk of request, number, offset and data")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> std::result::Result<Chunk, A::Error> {
        let ByteVec(request) = Self::field(&mut seq, 0)?;
        let request = request
            .try_into()
            .map_err(|_bytes| de::Error::custom("a request id has 16 bytes"))?;
        let number = Self::field(&mut seq, 1)?;
        let offset = Bytes::new(Self::field(&mut seq, 2)?);
        let ByteVec(data) = Self::field(&mut seq, 3)?;
        Ok(Chunk {
            attempt: Attempt::new(Request::from_bytes(request), number),
            offset,
            data,
        })
    }
}

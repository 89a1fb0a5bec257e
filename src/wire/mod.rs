//! Frames exchanged between an entry and an agent, or between two gateways, and their encoding.
//!
//! Each [`Frame`] is one CBOR value in one binary WebSocket message of at most [`FRAME_MAX`].
//! The entry connects to the agent; of two gateways, the one whose name sorts first connects.
//! Both ends send [`Hello`] first.
//!
//! ```
//! use mulberrymill::wire::{self, Cancel, Frame};
//!
//! let attempt = "0000000000000000000000000000002a.1".parse()?;
//! let frame = Frame::Cancel(Cancel { attempt });
//! assert_eq!(wire::decode(&wire::encode(&frame)?)?, frame);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod codec;
mod imp;
#[cfg(test)]
mod tests;

pub use codec::{Error, FRAME_MAX, decode, encode};
pub use imp::{
    Answer, Begun, Cancel, Change, Chunk, Crash, Credit, Digest, Document, Done, End, Fail, Fetch,
    Frame, Generate, Hello, Invoke, KnownEra, Load, Lookup, Message, Occupancy, Order, Outcome,
    PROTOCOL, PartReport, PlanConfirmation, PlanState, Prompt, Recorded, Report, Role, Sampling,
    Submit, Usage, UsageTime, Verdict, Work,
};

/// Result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, Error>;

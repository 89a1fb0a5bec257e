//! What fake agents send.

use std::collections::VecDeque;

use crate::{
    error::{Executed, Kind},
    id,
    link::{self, Event},
    unit::{Bytes, Tokens},
    wire::{self, Chunk, End, Fail, Work},
};

/// What a fake agent sends.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// A part at an offset.
    Data(u64, Vec<u8>),
    /// A part of an earlier attempt.
    Stale(u64, Vec<u8>),
    /// The end, at a length.
    End(u64),
    /// The end of a service's answer, at a length, with its status and media type.
    Answer(u64, u16, &'static str),
    /// A failure.
    Fail(Kind, Executed),
    /// The connection is lost.
    Lost,
}

/// A part of text at an offset.
pub(crate) fn data(offset: u64, text: &str) -> Act {
    Act::Data(offset, text.as_bytes().to_vec())
}

/// Sends the events of an attempt.
pub(crate) fn act(submit: &link::Submit, act: Act) {
    let attempt = submit.submit.attempt;
    let chunk = |attempt, offset, data| {
        let offset = Bytes::new(offset);
        Event::Chunk(Chunk {
            attempt,
            offset,
            data,
        })
    };
    let event = match act {
        Act::Data(offset, data) => chunk(attempt, offset, data),
        Act::Stale(offset, data) => {
            let earlier = attempt.number().saturating_sub(1);
            chunk(id::Attempt::new(attempt.request(), earlier), offset, data)
        }
        Act::End(length) => Event::End(End {
            attempt,
            length: Bytes::new(length),
            reason: match submit.submit.work {
                Work::Generate(_) => "stop".to_owned(),
                Work::Invoke(_) => "text/plain".to_owned(),
            },
            status: 200,
            input: Tokens::new(4),
            output: Tokens::new(2),
        }),
        Act::Answer(length, status, media_type) => Event::End(End {
            attempt,
            length: Bytes::new(length),
            reason: media_type.to_owned(),
            status,
            input: Tokens::ZERO,
            output: Tokens::ZERO,
        }),
        Act::Fail(kind, executed) => Event::Fail(Fail {
            attempt,
            kind,
            executed,
            detail: "as scripted".to_owned(),
        }),
        Act::Lost => Event::Lost,
    };
    // The exchange may have ended.
    let _over = submit.events.send(event);
}

/// Describes an attempt that was sent.
pub(crate) fn describe(submit: &link::Submit) -> String {
    let wire::Submit { attempt, work, .. } = &submit.submit;
    let resume = match work {
        Work::Generate(generate) => format!(" from {}", generate.resume),
        Work::Invoke(_) => String::new(),
    };
    format!("{} gets {}{resume}", submit.endpoint, attempt.number())
}

/// Scripts of the attempts of a request, in order.
pub(crate) type Script = VecDeque<Vec<Act>>;

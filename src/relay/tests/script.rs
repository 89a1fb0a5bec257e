//! Scripted events of fake agents.

use std::collections::VecDeque;

use crate::{
    error::{Executed, Kind},
    id,
    link::{self, Event},
    unit::{Bytes, Tokens},
    wire::{self, Chunk, End, Fail, Work},
};

/// One event that a fake agent sends.
#[derive(Clone, Debug)]
pub(crate) enum AgentEvent {
    /// A chunk at an offset.
    Data(u64, Vec<u8>),
    /// A chunk at an offset, sent for the previous attempt.
    Stale(u64, Vec<u8>),
    /// The end of the response, with its total length.
    End(u64),
    /// The end of a service response, with its total length, status and media type.
    Answer(u64, u16, &'static str),
    /// A failure of the attempt.
    Fail(Kind, Executed),
    /// The connection is lost.
    Lost,
}

/// A chunk of text at an offset.
pub(crate) fn chunk(offset: u64, text: &str) -> AgentEvent {
    AgentEvent::Data(offset, text.as_bytes().to_vec())
}

/// Sends one event of an attempt.
pub(crate) fn send_event(submit: &link::Submit, event: AgentEvent) {
    let attempt = submit.submit.attempt;
    let chunk = |attempt, offset, data| {
        let offset = Bytes::new(offset);
        Event::Chunk(Chunk {
            attempt,
            offset,
            data,
        })
    };
    let event = match event {
        AgentEvent::Data(offset, data) => chunk(attempt, offset, data),
        AgentEvent::Stale(offset, data) => {
            let earlier = attempt.number().saturating_sub(1);
            chunk(id::Attempt::new(attempt.request(), earlier), offset, data)
        }
        AgentEvent::End(length) => Event::End(End {
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
        AgentEvent::Answer(length, status, media_type) => Event::End(End {
            attempt,
            length: Bytes::new(length),
            reason: media_type.to_owned(),
            status,
            input: Tokens::ZERO,
            output: Tokens::ZERO,
        }),
        AgentEvent::Fail(kind, executed) => Event::Fail(Fail {
            attempt,
            kind,
            executed,
            detail: "as scripted".to_owned(),
        }),
        AgentEvent::Lost => Event::Disconnected,
    };
    // The exchange may have ended and dropped the receiver.
    let _closed = submit.events.send(event);
}

/// Formats a sent attempt as its endpoint, number and resume offset.
pub(crate) fn describe(submit: &link::Submit) -> String {
    let wire::Submit { attempt, work, .. } = &submit.submit;
    let resume = match work {
        Work::Generate(generate) => format!(" from {}", generate.resume),
        Work::Invoke(_) => String::new(),
    };
    format!("{} gets {}{resume}", submit.endpoint, attempt.number())
}

/// Events of each attempt of a request, in order of attempts.
pub(crate) type Script = VecDeque<Vec<AgentEvent>>;

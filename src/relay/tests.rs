mod exchange;
pub(crate) mod fake;
mod random;
pub(crate) mod script;

use proptest::prelude::*;

use super::*;
use crate::{
    id::{self, Attempt},
    unit::Bytes,
    wire::{Chunk, End},
};

/// Test data whose bytes differ by position, so that a chunk at a wrong offset is detected.
pub(crate) fn text(length: usize) -> Vec<u8> {
    (b'a'..=b'w').cycle().take(length).collect()
}

fn end(attempt: Attempt, length: usize) -> End {
    End {
        attempt,
        length: Bytes::new(length as u64),
        reason: "stop".to_owned(),
        status: 200,
        input: crate::unit::Tokens::new(1),
        output: crate::unit::Tokens::new(1),
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// A chunk of the attempt `back` before the current one, at an offset that differs by `skew`
    /// from the bytes received.
    Chunk {
        back: u16,
        skew: isize,
        length: usize,
    },
    End {
        back: u16,
        length: usize,
    },
    Disconnected,
}

const LENGTH: usize = 24;

fn events() -> impl Strategy<Value = Vec<Event>> {
    let back = || prop_oneof![4 => Just(0u16), 1 => 1u16..3];
    let skew = prop_oneof![4 => Just(0isize), 1 => -6isize..6];
    let end = prop_oneof![3 => Just(LENGTH), 1 => 0..=LENGTH];
    let event = prop_oneof![
        8 => (back(), skew, 0usize..8)
            .prop_map(|(back, skew, length)| Event::Chunk { back, skew, length }),
        2 => (back(), end).prop_map(|(back, length)| Event::End { back, length }),
        1 => Just(Event::Disconnected),
    ];
    proptest::collection::vec(event, 0..80)
}

proptest! {
    /// Guards against a response that repeats, skips or mixes chunks of several attempts, and
    /// against a truncated response that is reported as complete.
    #[test]
    fn only_the_exact_response_is_accepted(events in events()) {
        let response = text(LENGTH);
        let request = id::Request::from_bytes([1; 16]);
        let mut assembler = ResponseAssembler::new(Attempt::first(request));
        let mut received = Vec::new();
        let mut complete = false;
        for event in events {
            let number = assembler.current_attempt().number();
            let sender = |back: u16| Attempt::new(request, number.saturating_sub(back).max(1));
            let disposition = match event {
                Event::Chunk { back, skew, length } => {
                    let from = received.len().saturating_add_signed(skew).min(LENGTH);
                    let data = response[from..(from + length).min(LENGTH)].to_vec();
                    let offset = Bytes::new(from as u64);
                    let chunk = Chunk { attempt: sender(back), offset, data: data.clone() };
                    let disposition = assembler.accept_chunk(&chunk);
                    if disposition == Disposition::Accept {
                        prop_assert_eq!(chunk.attempt, assembler.current_attempt());
                        prop_assert!(!complete, "a chunk was accepted after the end");
                        received.extend(data);
                    }
                    disposition
                }
                Event::End { back, length } => {
                    let end = end(sender(back), length);
                    let disposition = assembler.accept_end(&end);
                    if disposition == Disposition::Accept {
                        prop_assert!(!complete, "the end was accepted twice");
                        prop_assert_eq!(end.attempt, assembler.current_attempt());
                        prop_assert_eq!(length, received.len());
                        complete = true;
                    }
                    disposition
                }
                Event::Disconnected => Disposition::Gap,
            };
            prop_assert_eq!(received.as_slice(), &response[..received.len()]);
            prop_assert_eq!(assembler.received(), Bytes::new(received.len() as u64));
            if disposition == Disposition::Gap && !complete {
                assembler.next_attempt();
            }
        }
    }
}

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

/// Text whose bytes differ by position, so that a shifted part is noticed.
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
enum Arrival {
    /// A part whose offset differs by `skew` from what was taken, of the attempt `back` before the
    /// current one.
    Chunk {
        back: u16,
        skew: isize,
        length: usize,
    },
    End {
        back: u16,
        length: usize,
    },
    Lost,
}

const LENGTH: usize = 24;

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let back = || prop_oneof![4 => Just(0u16), 1 => 1u16..3];
    let skew = prop_oneof![4 => Just(0isize), 1 => -6isize..6];
    let end = prop_oneof![3 => Just(LENGTH), 1 => 0..=LENGTH];
    let arrival = prop_oneof![
        8 => (back(), skew, 0usize..8)
            .prop_map(|(back, skew, length)| Arrival::Chunk { back, skew, length }),
        2 => (back(), end).prop_map(|(back, length)| Arrival::End { back, length }),
        1 => Just(Arrival::Lost),
    ];
    proptest::collection::vec(arrival, 0..80)
}

proptest! {
    /// Guards against an answer that repeats, skips or mixes parts of several attempts, and against
    /// the end of a cut answer that is taken for the end of a whole one.
    #[test]
    fn only_the_exact_answer_is_taken(arrivals in arrivals()) {
        let answer = text(LENGTH);
        let request = id::Request::from_bytes([1; 16]);
        let mut assembly = Assembly::new(Attempt::first(request));
        let mut taken = Vec::new();
        let mut whole = false;
        for arrival in arrivals {
            let number = assembly.current().number();
            let sender = |back: u16| Attempt::new(request, number.saturating_sub(back).max(1));
            let step = match arrival {
                Arrival::Chunk { back, skew, length } => {
                    let from = taken.len().saturating_add_signed(skew).min(LENGTH);
                    let data = answer[from..(from + length).min(LENGTH)].to_vec();
                    let offset = Bytes::new(from as u64);
                    let chunk = Chunk { attempt: sender(back), offset, data: data.clone() };
                    let step = assembly.chunk(&chunk);
                    if step == Step::Take {
                        prop_assert_eq!(chunk.attempt, assembly.current());
                        prop_assert!(!whole, "a part came after the end");
                        taken.extend(data);
                    }
                    step
                }
                Arrival::End { back, length } => {
                    let end = end(sender(back), length);
                    let step = assembly.end(&end);
                    if step == Step::Take {
                        prop_assert!(!whole, "the end came twice");
                        prop_assert_eq!(end.attempt, assembly.current());
                        prop_assert_eq!(length, taken.len());
                        whole = true;
                    }
                    step
                }
                Arrival::Lost => Step::Gap,
            };
            prop_assert_eq!(taken.as_slice(), &answer[..taken.len()]);
            prop_assert_eq!(assembly.taken(), Bytes::new(taken.len() as u64));
            if step == Step::Gap && !whole {
                assembly.retry();
            }
        }
    }
}

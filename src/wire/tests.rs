use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::{
    id::Attempt,
    route::Version,
    unit::{Bytes, Tokens},
};

fn chunk(data: &[u8]) -> Frame {
    let attempt: Attempt = "0000000000000000000000000000002a.3"
        .parse()
        .expect("valid id");
    Frame::Chunk(Chunk {
        attempt,
        offset: Bytes::new(1 << 40),
        data: data.to_vec(),
    })
}

fn hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::new(), |text, byte| format!("{text}{byte:02x}"))
}

/// Guards against a change of the encoding that older processes cannot decode.
#[test]
fn chunk_encoding_is_stable() {
    let bytes = encode(&chunk(b"trace of nuts")).expect("small frame");
    insta::assert_snapshot!(hex(&bytes));
}

/// Guards against a decoder that accepts truncated frames, trailing bytes or oversized frames.
#[test]
fn truncated_extended_and_oversized_frames_are_rejected() {
    let whole = encode(&chunk(b"trace of nuts")).expect("small frame");
    for length in 0..whole.len() {
        assert!(
            decode(&whole[..length]).is_err(),
            "accepted {length} of {} bytes",
            whole.len()
        );
    }
    let mut longer = whole.clone();
    longer.push(0);
    assert!(decode(&longer).is_err(), "accepted a byte after the end");
    assert!(
        decode(&vec![0; 3 << 20]).is_err(),
        "accepted an oversized frame"
    );
}

/// Guards against a digest that gateways of earlier versions, which know nothing of memory, cannot decode
/// or whose digests cannot be decoded.
#[test]
fn memory_is_optional_in_digests() {
    let frame = Frame::Digest(Digest::default());
    let bytes = encode(&frame).expect("small frame");
    let text = String::from_utf8_lossy(&bytes);
    assert!(!text.contains("tokens"), "{text}");
    assert_eq!(decode(&bytes).expect("valid"), frame);
}

/// Guards against a digest that a gateway of an earlier version cannot read, or whose digests cannot be read,
/// since it does not state which reports may have been sent, and the era of the store.
#[test]
fn sent_reports_and_era_are_optional_in_digests() {
    let time = crate::wire::UsageTime {
        unix_ms: 1_767_225_600_500,
        open: crate::id::Window::new(353_445_120),
        reported: None,
        sent: None,
        era: None,
    };
    let frame = Frame::Digest(Digest {
        time: Some(time),
        ..Digest::default()
    });
    let bytes = encode(&frame).expect("small frame");
    let text = String::from_utf8_lossy(&bytes);
    assert!(!text.contains("sent") && !text.contains("era"), "{text}");
    assert_eq!(decode(&bytes).expect("valid"), frame);
}

proptest! {
    /// Guards against a decoder that panics on invalid input from a peer.
    #[test]
    fn decoder_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _frame = decode(&bytes);
    }

    /// Guards against a digest that changes when it is encoded and decoded.
    #[test]
    fn usages_round_trip(
        entries in proptest::collection::vec(
            (0_u32..9, proptest::collection::vec((any::<u8>(), any::<u64>()), 0..4)),
            0..9,
        ),
    ) {
        let usages = entries.into_iter().enumerate().map(|(number, (requests, prompt_tokens_to_prefill))| Usage {
            endpoint: format!("e{number}").parse().expect("valid name"),
            requests,
            prompt_tokens_to_prefill: prompt_tokens_to_prefill
                .into_iter()
                .map(|(rank, tokens)| (rank, Tokens::new(tokens)))
                .collect(),
        });
        let frame = Frame::Digest(Digest {
            usages: usages.collect(),
            failed: vec!["e1".parse().expect("valid name")],
            tokens: vec![Occupancy {
                endpoint: "e1".parse().expect("valid name"),
                own: Tokens::new(6_637),
                prefixes: vec![(u64::MAX, Tokens::new(5_382))],
            }],
            parts: PartReport {
                crashes: vec![Crash {
                    part: "5c1e07a2".parse().expect("valid part"),
                    endpoint: "e1".parse().expect("valid name"),
                    age: Duration::from_millis(120),
                }],
                answers: vec![Answer {
                    part: "91bd3f06".parse().expect("valid part"),
                    age: Duration::from_millis(35),
                }],
            },
            begun: vec![Begun {
                window: crate::id::Window::new(353_445_120),
                customer: "hule930".parse().expect("valid name"),
                count: 412,
            }],
            time: Some(UsageTime {
                unix_ms: 1_767_225_600_500,
                open: crate::id::Window::new(353_445_120),
                reported: None,
                sent: Some(crate::id::Window::new(353_445_119)),
                era: Some(crate::wire::KnownEra {
                    stated: Some(crate::store::Era::new(2)),
                    age: Duration::from_millis(7_500),
                }),
            }),
            plan: Some(PlanState {
                sent: Duration::from_secs(90),
                echo: Duration::from_millis(70),
                confirmed: Some(PlanConfirmation {
                    version: Version::new(7),
                    age: Duration::from_millis(1_250),
                }),
            }),
        });
        prop_assert_eq!(decode(&encode(&frame).expect("small frame")).expect("valid"), frame);
    }

    /// Guards against a chunk that changes when it is encoded and decoded.
    #[test]
    fn chunks_round_trip(data in proptest::collection::vec(any::<u8>(), 0..3000)) {
        let frame = chunk(&data);
        prop_assert_eq!(decode(&encode(&frame).expect("small frame")).expect("valid"), frame);
    }
}

use proptest::prelude::*;

use super::super::{CompletionBody, authenticate, hash_key, prefix, receive, tokens};
use super::harness::{KITCHEN, OFFICE};
use crate::{
    error::Kind,
    relay::tests::fake::document,
    wire::{Message, Prompt},
};

/// Maximum length of an error detail in bytes, whatever the length of the body.
const MAX_DETAIL_BYTES: usize = 600;

fn value() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("null".to_owned()),
        Just("true".to_owned()),
        any::<f64>().prop_map(|number| number.to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        "[a-z]{0,6}".prop_map(|text| format!("\"{text}\"")),
        Just("[]".to_owned()),
        Just("{}".to_owned()),
        Just("[\"stop\"]".to_owned()),
        Just("[{\"role\":\"user\",\"content\":\"nuts\"}]".to_owned()),
    ]
}

const FIELDS: [&str; 10] = [
    "model",
    "prompt",
    "messages",
    "max_tokens",
    "stream",
    "stream_options",
    "stop",
    "temperature",
    "seed",
    "x",
];

proptest! {
    /// Guards against a panic on an arbitrary body and against an error of another kind.
    #[test]
    fn bodies_are_parsed_or_rejected(
        fields in proptest::collection::vec((0..FIELDS.len(), value()), 0..6),
        cut in 0usize..200,
    ) {
        let member = |(field, value)| format!("\"{}\":{value}", FIELDS[field]);
        let fields = fields.into_iter().map(member);
        let text = format!("{{{}}}", fields.collect::<Vec<_>>().join(","));
        for bytes in [text.as_bytes(), &text.as_bytes()[..cut.min(text.len())]] {
            if let Err(error) = receive::json::<CompletionBody>(bytes) {
                prop_assert_eq!(error.kind(), Kind::BadRequest);
            }
        }
    }

    /// Guards against a panic on bytes that are not JSON.
    #[test]
    fn bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _read = receive::json::<CompletionBody>(&bytes);
    }

    /// Guards against authentication by a partial key, a hash or the key of another caller.
    #[test]
    fn only_the_whole_key_is_accepted(key in "[ -~]{0,40}", cut in 0usize..19) {
        let document = document();
        let known = |key: &str| {
            let found = authenticate(&document, key);
            found.map(|(caller, _)| caller.to_string()).ok()
        };
        prop_assert_eq!(known(KITCHEN), Some("kitchen".to_owned()));
        prop_assert_eq!(known(OFFICE), Some("menu-office".to_owned()));
        prop_assert_eq!(known(&key), None);
        prop_assert_eq!(known(&KITCHEN[..cut]), None);
        prop_assert_eq!(known(&hash_key(KITCHEN)), None);
    }

    /// Guards against equal hashes for prefixes that two prompts do not share, which would count
    /// as a cache hit, and against different hashes for those that they do share.
    #[test]
    fn shared_prefixes_have_equal_hashes(
        common in "[a-z]{0,1200}", one in "A[a-z]{0,600}", other in "B[a-z]{0,600}",
    ) {
        let blocks = |rest: &str| prefix(&Prompt::Text(format!("{common}{rest}"))).0;
        let (one, other) = (blocks(&one), blocks(&other));
        let shared = one.iter().zip(&other).take_while(|(a, b)| a == b).count();
        prop_assert_eq!(shared, common.len() / 256);
    }

    /// Guards against a longer prompt with a lower estimate, and against an estimate of 0 tokens.
    #[test]
    fn estimates_are_monotonic(text in ".{0,300}", more in ".{1,50}") {
        let chat = |content: String| {
            Prompt::Chat(vec![Message { role: "user".to_owned(), content }])
        };
        let longer = format!("{text}{more}");
        prop_assert!(tokens(&Prompt::Text(text.clone())) <= tokens(&Prompt::Text(longer.clone())));
        prop_assert!(tokens(&chat(text.clone())) <= tokens(&chat(longer)));
        prop_assert!(tokens(&Prompt::Text(text)).get() >= 1);
    }
}

/// Guards against an error response that grows with the name of an unknown field.
#[test]
fn error_length_is_bounded() {
    let field = "x".repeat(100_000);
    let bodies = [
        format!("{{\"{field}\":1}}"),
        format!("{{\"model\":[\"{field}\"]}}"),
    ];
    for body in bodies {
        let error = receive::json::<CompletionBody>(body.as_bytes()).expect_err("an invalid body");
        assert!(
            error.detail().len() <= MAX_DETAIL_BYTES,
            "{}",
            error.detail().len()
        );
    }
}

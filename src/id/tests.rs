use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

use super::*;

/// Guards against a name that is not valid in a store key or a metric label.
#[test]
fn invalid_names_are_rejected() {
    let long = "x".repeat(65);
    let results: Vec<String> = ["review-1", "", "two words", "a/b", "ñ", &long]
        .iter()
        .map(|text| match text.parse::<Endpoint>() {
            Ok(name) => format!("{name} accepted"),
            Err(error) => error.to_string(),
        })
        .collect();
    insta::assert_debug_snapshot!(results);
}

/// Guards against an attempt id whose request cannot be recovered from its text form.
#[test]
fn attempt_id_contains_its_request() {
    let request = Request::random(&mut StdRng::seed_from_u64(7));
    let second = Attempt::first(request).next();
    assert_eq!(second.request(), request);
    assert_eq!(second.to_string().parse(), Ok(second));
    insta::assert_snapshot!(second);
}

proptest! {
    /// Guards against a parser that panics or alters an identifier.
    #[test]
    fn parsing_round_trips(text in "\\PC{0,80}") {
        if let Ok(name) = text.parse::<Caller>() {
            prop_assert_eq!(name.to_string(), text.clone());
        }
        if let Ok(attempt) = text.parse::<Attempt>() {
            prop_assert_eq!(attempt.to_string().parse::<Attempt>(), Ok(attempt));
        }
    }
}

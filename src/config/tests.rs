use proptest::prelude::*;

use super::*;
use crate::id::Revision;

const EXAMPLE: &str = include_str!("../../examples/santiago.jsonc");

/// Lists the faults of the example document after each single replacement.
fn faults_after(changes: &[(&str, &str)]) -> String {
    let reports = changes.iter().map(|(old, new)| {
        assert!(EXAMPLE.contains(old), "the example has no {old}");
        let text = EXAMPLE.replacen(old, new, 1);
        let outcome = parse("mill.jsonc", &text);
        let report = outcome.map_or_else(|faults| faults.to_string(), |_| "accepted".to_owned());
        format!("{old} -> {new}\n{report}\n")
    });
    reports.collect()
}

/// Checks that wrong names, types, units and structures are rejected at the right position.
#[test]
fn structural_faults_are_reported() {
    insta::assert_snapshot!(faults_after(&[
        ("\"rank\": 1", "\"rnak\": 1"),
        ("\"rank\": 1", "\"rank\": \"1\""),
        ("\"rank\": 1", "\"rank\": 1, \"rank\": 2"),
        ("\"whole\": \"2s\"", "\"whole\": \"2 tokens\""),
        ("\"32768 tokens\"", "\"64KiB\""),
        ("{ \"repeatable\": false", "{ \"repeatable\": 0"),
        ("\"kind\": \"engine\"", "\"kind\": \"engin\""),
        ("\"127.0.0.1:7101\"", "\"localhost\""),
        ("\"limits\"", "\"limit\""),
        ("\"limits\":", "\"limits\" \"x\":"),
        ("\"adapters\": [", "\"adapters\": {"),
        ("\"allergen-1\"", "\"allergen 1\""),
    ]));
}

/// Checks that values out of range, duplicates and unresolved references are rejected before they
/// reach an endpoint.
#[test]
fn value_faults_are_reported() {
    insta::assert_snapshot!(faults_after(&[
        ("\"share\": \"40%\"", "\"share\": \"60%\""),
        ("\"rank\": 2", "\"rank\": 1"),
        ("\"rank\": 1", "\"rank\": 0"),
        ("\"50/s\"", "\"0/s\""),
        ("\"slots\": 32", "\"slots\": 0"),
        ("[\"verdict\", \"check\", \"review\"]", "[]"),
        ("\"review\"]", "\"reviev\"]"),
        ("\"key_sha256\": \"", "\"key_sha256\": \"x"),
        ("127.0.0.1:7102", "127.0.0.1:7101"),
        ("\"models\": [\"allergen\"]", "\"models\": []"),
        ("\"models\": [\"allergen\"]", "\"models\": [\"alergen\"]"),
        ("\"slots\": 32", "\"service\": \"labels\", \"slots\": 32"),
        ("\"service\": \"labels\", ", ""),
        ("\"service\": \"labels\"", "\"service\": \"label\""),
        (
            "\"service\": \"labels\"",
            "\"service\": \"labels\", \"models\": [\"allergen\"]"
        ),
        ("\"first_token\": \"300ms\"", "\"first_token\": \"0ms\""),
        ("\"first_token\": \"300ms\"", "\"first_token\": \"3s\""),
        ("\"25%\"", "\"0%\""),
        (
            "\"allergen\": { \"change_cost\"",
            "\"alergen\": { \"change_cost\""
        ),
        ("\"class\": \"verdict\"", "\"class\": \"verdicts\""),
        ("\"body\": \"1MiB\"", "\"body\": \"2MiB\""),
    ]));
}

/// Two callers with the same key could not be told apart, so only one of them could authenticate.
#[test]
fn shared_key_is_reported() {
    let hashes: Vec<&str> = EXAMPLE.split("\"key_sha256\": \"").skip(1).collect();
    let text = EXAMPLE.replace(&hashes[1][..64], &hashes[0][..64]);
    let faults = parse("mill.jsonc", &text).expect_err("shared key");
    insta::assert_snapshot!(faults);
}

/// Checks that a report contains all faults with their source lines, not only the first one.
#[test]
fn all_faults_are_rendered() {
    let text = EXAMPLE.replacen("\"rank\": 1", "\"rnak\": 1", 1);
    let text = text.replacen("[\"review\"]", "[\"reviev\"]", 1);
    let faults = parse("mill.jsonc", &text).expect_err("three faults");
    insta::assert_snapshot!(faults.render());
}

/// Checks that texts that are too long, nested too deeply, empty or full of faults are rejected with
/// a bounded report.
#[test]
fn oversized_and_empty_texts_are_rejected() {
    let many = format!("{{{}}}", "\"x\":1,".repeat(100_000));
    let texts = [
        " ".repeat(TEXT_BYTES_MAX + 1),
        "[".repeat(TEXT_BYTES_MAX),
        "{\"models\":".repeat(10_000),
        String::new(),
        "[]".to_owned(),
        many,
    ];
    let reports = texts.iter().map(|text| {
        let faults = parse("mill.jsonc", text).expect_err("invalid text");
        let line = faults.to_string();
        let line = line.lines().next().unwrap_or_default().to_owned();
        format!("{} faults, {line}", faults.count())
    });
    insta::assert_snapshot!(reports.collect::<Vec<_>>().join("\n"));
    let faults = parse("mill.jsonc", &texts[5]).expect_err("many faults");
    assert!(faults.render().len() < 100_000, "long lines are printed");
}

/// Checks that a missing section is reported, and that faults refer to the text of their own section.
#[test]
fn sections_are_assembled() {
    let mut sections = split_sections(EXAMPLE).expect("valid example");
    let whole = from_sections(Revision::new(7), &sections).expect("valid sections");
    assert_eq!(whole.revision, Revision::new(7));
    insta::assert_snapshot!(sections[&Section::Classes]);
    sections.remove(&Section::Limits);
    sections.insert(Section::Roles, "{\n  \"labelz\": {}\n}".to_owned());
    sections.insert(Section::Classes, "{}".to_owned());
    let faults = from_sections(Revision::new(8), &sections).expect_err("faults");
    insta::assert_snapshot!(faults);
}

/// Checks that `split_sections` keeps comments whole and with their section, and does not change
/// strings that contain comment markers.
#[test]
fn split_keeps_comments() {
    let text = "/*/ file */ { // open\n  \"models\" /* before // colon */ : /* after */ {}, // models, done\n\
        \"classes\": {\"a//b\": \"/*\"}, \"roles\": {}, \"callers\": {}, /**/ \"services\": {},\n\
        // endpoints\r\n  \"endpoints\": {\n    // inner\n  }, \"limits\": {} // limits\n} // end";
    insta::assert_debug_snapshot!(split_sections(text).expect("valid text"));
}

/// `split_sections` removes indentation from every line, so it would change a string with a line
/// break. Checks that such strings are rejected.
#[test]
fn line_breaks_in_strings_are_rejected() {
    let text = EXAMPLE.replacen("\"2026.11\"", "\"2026\n  11\"", 1);
    insta::assert_snapshot!(parse("mill.jsonc", &text).expect_err("line break"));
}

proptest! {
    /// Checks that neither the parser nor a report panics on arbitrary text.
    #[test]
    fn random_text_never_panics(text in "(?s).{0,200}|[\\[\\]{}\":,/*a-e0-9 \n\u{e9}.-]{0,200}") {
        let _sections = split_sections(&text);
        if let Err(faults) = parse("mill.jsonc", &text) {
            prop_assert!(!faults.to_string().is_empty());
            prop_assert!(!faults.render().is_empty());
        }
    }

    /// Checks that nearly valid documents cause no panic, and that splitting and assembling a valid one
    /// preserves it.
    #[test]
    fn mutated_documents_never_panic(
        at in 0..EXAMPLE.len(),
        length in 0_usize..40,
        new in "/\\*/?|//|\\*/|[\\[\\]{}\":,/*a-e0-9 \n\u{e9}.-]{0,8}",
    ) {
        let end = (at + length).min(EXAMPLE.len());
        let text = format!("{}{new}{}", &EXAMPLE[..at], &EXAMPLE[end..]);
        match parse("mill.jsonc", &text) {
            Err(faults) => prop_assert!(!faults.render().is_empty()),
            Ok(document) => {
                let sections = split_sections(&text).expect("parsed before");
                let again = from_sections(Revision::default(), &sections).expect("parsed before");
                prop_assert_eq!(again, document);
            }
        }
    }
}

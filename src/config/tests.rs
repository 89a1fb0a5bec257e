use proptest::prelude::*;

use super::*;
use crate::id::Revision;

const EXAMPLE: &str = include_str!("../../examples/santiago.jsonc");

/// The faults after each replacement in the valid example.
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

/// Guards against a wrong name, type, unit or shape that is accepted or reported at the wrong place.
#[test]
fn shape_faults_are_reported() {
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

/// Guards against values out of range and dangling references that would reach the fleet.
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

/// Guards against two callers with one key, of which only one could ever log in.
#[test]
fn shared_key_is_reported() {
    let hashes: Vec<&str> = EXAMPLE.split("\"key_sha256\": \"").skip(1).collect();
    let text = EXAMPLE.replace(&hashes[1][..64], &hashes[0][..64]);
    let faults = parse("mill.jsonc", &text).expect_err("shared key");
    insta::assert_snapshot!(faults);
}

/// Guards against a report that stops at the first fault or loses the source lines.
#[test]
fn all_faults_are_rendered() {
    let text = EXAMPLE.replacen("\"rank\": 1", "\"rnak\": 1", 1);
    let text = text.replacen("[\"review\"]", "[\"reviev\"]", 1);
    let faults = parse("mill.jsonc", &text).expect_err("three faults");
    insta::assert_snapshot!(faults.render());
}

/// Guards against hostile texts: too long, too deep, empty, or with more faults than memory.
#[test]
fn hostile_texts_are_refused() {
    let many = format!("{{{}}}", "\"x\":1,".repeat(100_000));
    let texts = [
        " ".repeat(TEXT_MAX + 1),
        "[".repeat(TEXT_MAX),
        "{\"models\":".repeat(10_000),
        String::new(),
        "[]".to_owned(),
        many,
    ];
    let reports = texts.iter().map(|text| {
        let faults = parse("mill.jsonc", text).expect_err("hostile text");
        let line = faults.to_string();
        let line = line.lines().next().unwrap_or_default().to_owned();
        format!("{} faults, {line}", faults.count())
    });
    insta::assert_snapshot!(reports.collect::<Vec<_>>().join("\n"));
    let faults = parse("mill.jsonc", &texts[5]).expect_err("many faults");
    assert!(faults.render().len() < 100_000, "long lines are printed");
}

/// Guards against a section that is missing or whose faults point into another text.
#[test]
fn sections_are_assembled() {
    let mut sections = split(EXAMPLE).expect("valid example");
    let whole = assemble(Revision::new(7), &sections).expect("valid sections");
    assert_eq!(whole.revision, Revision::new(7));
    insta::assert_snapshot!(sections[&Section::Classes]);
    sections.remove(&Section::Limits);
    sections.insert(Section::Roles, "{\n  \"labelz\": {}\n}".to_owned());
    sections.insert(Section::Classes, "{}".to_owned());
    let faults = assemble(Revision::new(8), &sections).expect_err("faults");
    insta::assert_snapshot!(faults);
}

/// Guards against comments that `split` cuts in the wrong place or loses, and against a change of
/// strings with slashes.
#[test]
fn split_keeps_comments() {
    let text = "/*/ file */ { // open\n  \"models\" /* before // colon */ : /* after */ {}, // models, done\n\
        \"classes\": {\"a//b\": \"/*\"}, \"roles\": {}, \"callers\": {}, /**/ \"services\": {},\n\
        // endpoints\r\n  \"endpoints\": {\n    // inner\n  }, \"limits\": {} // limits\n} // end";
    insta::assert_debug_snapshot!(split(text).expect("valid text"));
}

/// Guards against a line break inside a string, which `split` would take for layout.
#[test]
fn strings_have_no_line_breaks() {
    let text = EXAMPLE.replacen("\"2026.11\"", "\"2026\n  11\"", 1);
    insta::assert_snapshot!(parse("mill.jsonc", &text).expect_err("line break"));
}

proptest! {
    /// Guards against a parser or a report that panics on any text.
    #[test]
    fn random_text_never_panics(text in "(?s).{0,200}|[\\[\\]{}\":,/*a-e0-9 \n\u{e9}.-]{0,200}") {
        let _sections = split(&text);
        if let Err(faults) = parse("mill.jsonc", &text) {
            prop_assert!(!faults.to_string().is_empty());
            prop_assert!(!faults.render().is_empty());
        }
    }

    /// Guards against a panic on a nearly valid document, and against `split` losing a section.
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
                let sections = split(&text).expect("parsed before");
                let again = assemble(Revision::default(), &sections).expect("parsed before");
                prop_assert_eq!(again, document);
            }
        }
    }
}

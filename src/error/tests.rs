use std::collections::HashSet;

use super::*;

/// Guards against an unnoticed change of a status, slug, execution state or retry delay.
#[test]
fn table_of_answers() {
    let table: Vec<String> = Kind::ALL
        .iter()
        .map(|kind| {
            let answer = kind.answer();
            let retry = answer
                .retry_after
                .map_or_else(|| "-".to_owned(), |d| format!("{d:?}"));
            format!(
                "{} {} executed={} retry={retry}",
                answer.status, answer.slug, answer.executed
            )
        })
        .collect();
    insta::assert_debug_snapshot!(table);
}

/// Guards against two kinds with the same slug, which callers could not distinguish.
#[test]
fn slugs_are_unique_and_parse() {
    let slugs: HashSet<_> = Kind::ALL.iter().map(|kind| kind.answer().slug).collect();
    assert_eq!(slugs.len(), Kind::ALL.len());
    for kind in Kind::ALL {
        assert_eq!(kind.to_string().parse::<Kind>().ok(), Some(*kind));
    }
}

use std::time::Duration;

use awc::http::Method;
use futures_util::future::join;
use mulberrymill_bench::{fleet, store::Fault};
use serde_json::Value;

use crate::common::{Harness, Load, run};

/// Time within which an accepted edit must be in force at every entry and agent.
const EDIT_PROPAGATION_LIMIT: Duration = Duration::from_secs(10);
/// The store closes connections without a response.
const STORE_DOWN: Fault = Fault {
    down: true,
    slow: 0,
    lose_answers: 0,
};

/// Reads a section through an entry. Returns the revision and the text.
async fn read_section(harness: &Harness, entry: usize, section: &str) -> (Value, String) {
    let path = format!("config/{section}");
    let answer = harness
        .operator_request(entry, Method::GET, &path, String::new())
        .await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let text = answer.body["text"].as_str().expect("the text of a section");
    (answer.body["revision"].clone(), text.to_owned())
}

/// Edits a section through an entry. `edit` is the section, its base revision and the editor.
/// Returns the status and the body of the response.
async fn edit_section(
    harness: &Harness,
    entry: usize,
    edit: (&str, &Value, &str),
    text: String,
) -> (u16, Value) {
    let (section, base, editor) = edit;
    let path = format!("config/{section}?base={base}&editor={editor}");
    let answer = harness
        .operator_request(entry, Method::PUT, &path, text)
        .await;
    (answer.status, answer.body)
}

/// Replaces a value in the text of a section. Panics if the text doesn't contain it.
fn replace_value(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{text}");
    text.replace(from, to)
}

/// Checks that a revision is in force everywhere within [`EDIT_PROPAGATION_LIMIT`].
async fn assert_in_force(harness: &Harness, revision: &Value) {
    let waited = tokio::time::timeout(
        EDIT_PROPAGATION_LIMIT,
        harness.wait_until_in_force(revision),
    )
    .await;
    assert!(
        waited.is_ok(),
        "revision {revision} is not in force after {EDIT_PROPAGATION_LIMIT:?}"
    );
}

/// Guards against an accepted edit that does not reach every entry and agent.
#[test]
fn accepted_edits_are_in_force_everywhere() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let load = Load::start(harness.short_requests(71, 120));
        for entry in 0..2 {
            let (base, text) = read_section(&harness, entry, "limits").await;
            let (from, to) = [("10min", "9min"), ("9min", "8min")][entry];
            let text = replace_value(&text, from, to);
            let (status, body) =
                edit_section(&harness, entry, ("limits", &base, "ana"), text).await;
            assert_eq!(status, 200, "{body}");
            assert_in_force(&harness, &body["revision"]).await;
        }
        insta::assert_snapshot!(load.end().await.outcomes(), @"120 whole");
    });
}

/// Guards against an accepted edit that is lost when the store fails right after it, or reverted
/// when the store recovers.
#[test]
fn accepted_edit_propagates_during_a_store_outage() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let (base, text) = read_section(&harness, 0, "limits").await;
        let text = replace_value(&text, "10min", "9min");
        let (status, body) =
            edit_section(&harness, 0, ("limits", &base, "ana"), text.clone()).await;
        harness.set_store_fault(STORE_DOWN).await;
        assert_eq!(status, 200, "{body}");
        assert_in_force(&harness, &body["revision"]).await;

        harness.set_store_fault(Fault::default()).await;
        let (revision, stored) = read_section(&harness, 1, "limits").await;
        assert_eq!((&revision, stored), (&body["revision"], text));
        assert_in_force(&harness, &revision).await;
    });
}

/// Guards against two concurrent edits of one section that are both accepted, and against a
/// conflict error that does not name the editor of the accepted edit.
#[test]
fn concurrent_edits_of_one_section_conflict() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let (base, text) = read_section(&harness, 0, "limits").await;
        let (first, second) = join(
            edit_section(
                &harness,
                0,
                ("limits", &base, "ana"),
                replace_value(&text, "10min", "9min"),
            ),
            edit_section(
                &harness,
                1,
                ("limits", &base, "ben"),
                replace_value(&text, "10min", "8min"),
            ),
        )
        .await;
        let (editor, accepted, rejected) = if first.0 == 200 {
            ("ana", first, second)
        } else {
            ("ben", second, first)
        };
        assert_eq!(
            (accepted.0, rejected.0),
            (200, 409),
            "{accepted:?} {rejected:?}"
        );
        let revision = &accepted.1["revision"];
        assert_eq!(
            rejected.1["detail"],
            format!("section limits was changed by {editor} at revision {revision}")
        );
        assert_eq!(rejected.1["executed"], "no");
        assert_in_force(&harness, revision).await;
    });
}

/// Guards against an edit that is rejected or overwritten because of a concurrent edit of another
/// section.
#[test]
fn concurrent_edits_of_different_sections_succeed() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let (limits_base, limits) = read_section(&harness, 0, "limits").await;
        let (classes_base, classes) = read_section(&harness, 1, "classes").await;
        let limits = replace_value(&limits, "10min", "9min");
        let classes = replace_value(&classes, "60s", "50s");
        let (first, second) = join(
            edit_section(&harness, 0, ("limits", &limits_base, "ana"), limits.clone()),
            edit_section(
                &harness,
                1,
                ("classes", &classes_base, "ben"),
                classes.clone(),
            ),
        )
        .await;
        assert_eq!((first.0, second.0), (200, 200), "{first:?} {second:?}");
        let revision = |answer: &Value| answer["revision"].as_u64().expect("a revision");
        let last = revision(&first.1).max(revision(&second.1));
        assert_in_force(&harness, &Value::from(last)).await;
        for (entry, section, text) in [(1, "limits", limits), (0, "classes", classes)] {
            assert_eq!(read_section(&harness, entry, section).await.1, text);
        }
    });
}

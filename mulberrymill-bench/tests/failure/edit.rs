use std::time::Duration;

use awc::http::Method;
use futures_util::future::join;
use mulberrymill_bench::{fleet, store::Fault};
use serde_json::Value;

use crate::common::{Load, Rig, run};

/// The promise that an accepted edit is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(10);
const DOWN: Fault = Fault {
    down: true,
    slow: 0,
    lose_answers: 0,
};

/// A section and its revision, as read through an entry.
async fn read(rig: &Rig, entry: usize, section: &str) -> (Value, String) {
    let path = format!("config/{section}");
    let answer = rig.operate(entry, Method::GET, &path, String::new()).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let text = answer.body["text"].as_str().expect("the text of a section");
    (answer.body["revision"].clone(), text.to_owned())
}

/// Edits a section through an entry and returns the status and the body of the answer.
async fn put(rig: &Rig, entry: usize, edit: (&str, &Value, &str), text: String) -> (u16, Value) {
    let (section, base, editor) = edit;
    let path = format!("config/{section}?base={base}&editor={editor}");
    let answer = rig.operate(entry, Method::PUT, &path, text).await;
    (answer.status, answer.body)
}

/// Changes a period or a size that occurs in the text.
fn replaced(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{text}");
    text.replace(from, to)
}

async fn in_force(rig: &Rig, revision: &Value) {
    let spread = tokio::time::timeout(IN_FORCE, rig.until_in_force(revision)).await;
    assert!(
        spread.is_ok(),
        "revision {revision} is not in force in time"
    );
}

/// Guards against an accepted edit that does not reach every process.
#[test]
fn accepted_edits_are_in_force_everywhere() {
    run(async {
        let rig = Rig::spawn(fleet::Config::default()).await;
        let load = Load::start(rig.quick(71, 120));
        for entry in 0..2 {
            let (base, text) = read(&rig, entry, "limits").await;
            let (from, to) = [("10min", "9min"), ("9min", "8min")][entry];
            let text = replaced(&text, from, to);
            let (status, body) = put(&rig, entry, ("limits", &base, "ana"), text).await;
            assert_eq!(status, 200, "{body}");
            in_force(&rig, &body["revision"]).await;
        }
        insta::assert_snapshot!(load.end().await.outcomes(), @"120 whole");
    });
}

/// Guards against an accepted edit that is lost with the entry's access to the store, or reverted
/// when the store comes back.
#[test]
fn accepted_edit_spreads_without_the_store() {
    run(async {
        let rig = Rig::spawn(fleet::Config::default()).await;
        let (base, text) = read(&rig, 0, "limits").await;
        let text = replaced(&text, "10min", "9min");
        let (status, body) = put(&rig, 0, ("limits", &base, "ana"), text.clone()).await;
        rig.store_fault(DOWN).await;
        assert_eq!(status, 200, "{body}");
        in_force(&rig, &body["revision"]).await;

        rig.store_fault(Fault::default()).await;
        let (revision, stored) = read(&rig, 1, "limits").await;
        assert_eq!((&revision, stored), (&body["revision"], text));
        in_force(&rig, &revision).await;
    });
}

/// Guards against two operators of whom both win one section, or of whom the loser does not learn
/// who won.
#[test]
fn one_of_two_operators_wins_a_section() {
    run(async {
        let rig = Rig::spawn(fleet::Config::default()).await;
        let (base, text) = read(&rig, 0, "limits").await;
        let (first, second) = join(
            put(
                &rig,
                0,
                ("limits", &base, "ana"),
                replaced(&text, "10min", "9min"),
            ),
            put(
                &rig,
                1,
                ("limits", &base, "ben"),
                replaced(&text, "10min", "8min"),
            ),
        )
        .await;
        let (winner, won, lost) = if first.0 == 200 {
            ("ana", first, second)
        } else {
            ("ben", second, first)
        };
        assert_eq!((won.0, lost.0), (200, 409), "{won:?} {lost:?}");
        let revision = &won.1["revision"];
        assert_eq!(
            lost.1["detail"],
            format!("section limits was changed by {winner} at revision {revision}")
        );
        assert_eq!(lost.1["executed"], "no");
        in_force(&rig, revision).await;
    });
}

/// Guards against an edit that is refused, or undone, because of an edit of another section.
#[test]
fn operators_of_different_sections_both_win() {
    run(async {
        let rig = Rig::spawn(fleet::Config::default()).await;
        let (limits_base, limits) = read(&rig, 0, "limits").await;
        let (classes_base, classes) = read(&rig, 1, "classes").await;
        let limits = replaced(&limits, "10min", "9min");
        let classes = replaced(&classes, "60s", "50s");
        let (first, second) = join(
            put(&rig, 0, ("limits", &limits_base, "ana"), limits.clone()),
            put(&rig, 1, ("classes", &classes_base, "ben"), classes.clone()),
        )
        .await;
        assert_eq!((first.0, second.0), (200, 200), "{first:?} {second:?}");
        let revision = |answer: &Value| answer["revision"].as_u64().expect("a revision");
        let last = revision(&first.1).max(revision(&second.1));
        in_force(&rig, &Value::from(last)).await;
        for (entry, section, text) in [(1, "limits", limits), (0, "classes", classes)] {
            assert_eq!(read(&rig, entry, section).await.1, text);
        }
    });
}

use awc::http::Method;
use mulberrymill_bench::{fleet, store::Fault};
use serde_json::Value;

use crate::common::{Harness, Load, run, wait_until};

/// The store closes connections without a response.
const STORE_DOWN: Fault = Fault {
    down: true,
    slow: 0,
    lose_answers: 0,
};
/// The store delays each call, in milliseconds, for longer than the timeout of a store call.
const STORE_SLOW: Fault = Fault {
    down: false,
    slow: 3_000,
    lose_answers: 0,
};

/// Edits the section `limits` through an entry, based on a revision. Returns the status and the
/// body of the response.
async fn edit_limits(harness: &Harness, entry: usize, base: &Value, longest: &str) -> (u16, Value) {
    let text = serde_json::json!({
        "body": "1MiB", "max_output": "8192 tokens", "longest": longest,
    });
    let path = format!("config/limits?base={base}&editor=ana");
    let answer = harness
        .operator_request(entry, Method::PUT, &path, text.to_string())
        .await;
    (answer.status, answer.body)
}

/// Reads the revision of the section `limits`.
async fn limits_revision(harness: &Harness) -> Value {
    let answer = harness
        .operator_request(0, Method::GET, "config/limits", String::new())
        .await;
    assert_eq!(answer.status, 200, "{answer:?}");
    answer.body["revision"].clone()
}

/// Clears the store fault and checks that print operations, engine requests and edits succeed.
async fn check_recovery(harness: &Harness, seed: u64) {
    harness.set_store_fault(Fault::default()).await;
    // An agent refuses print operations until its lease is renewed. That takes up to 2.5 s after a
    // store call that began during the outage. Each round lasts longer, so that no operation is
    // refused after a round without refusals.
    let round_seed = std::cell::Cell::new(seed);
    wait_until("print operations are accepted", async || {
        round_seed.set(round_seed.get() + 1);
        let prints = Load::start(harness.print_requests(round_seed.get(), 160))
            .end()
            .await;
        assert!(prints.reports_every_failure(), "{}", prints.outcomes());
        prints.outcomes() == "160 whole"
    })
    .await;
    let load = Load::start(harness.short_requests(seed, 60)).end().await;
    assert_eq!(load.outcomes(), "60 whole");
    let base = limits_revision(harness).await;
    let (status, body) = edit_limits(harness, 0, &base, "7min").await;
    assert_eq!(status, 200, "{body}");
    harness.wait_until_in_force(&body["revision"]).await;
}

/// Guards against model requests that depend on the store. While it is down, operations must not be
/// executed without a claim, edits must not be accepted, and an entry must be able to start.
#[test]
fn serving_continues_during_a_store_outage() {
    run(async {
        let mut harness = Harness::spawn(fleet::Config::default()).await;
        let base = limits_revision(&harness).await;
        let streams = Load::start(harness.stream_requests(81, 8));
        harness.wait_until_spread(8).await;
        harness.set_store_fault(STORE_DOWN).await;
        let prints = Load::start(harness.print_requests(82, 40));
        let answers = Load::start(harness.engine_requests(83, 60));
        let (status, body) = edit_limits(&harness, 0, &base, "9min").await;
        assert!([503, 504].contains(&status), "{status} {body}");

        let entry = harness
            .fleet
            .start_entry(2)
            .await
            .expect("the entry starts");
        let address = entry.address();
        harness.fleet.entries.push(entry);
        wait_until("the new entry is ready", async || {
            harness.readiness_status(address).await == 200
        })
        .await;
        let later = Load::start(harness.engine_requests(84, 60)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"60 whole");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"8 whole");
        insta::assert_snapshot!(answers.end().await.outcomes(), @"60 whole");
        insta::assert_snapshot!(
            prints.end().await.outcomes(),
            @"40 refused: 503 urn:mulberrymill:error:store-unavailable"
        );
        check_recovery(&harness, 800).await;
    });
}

/// Guards against model requests that wait for a slow store, and against operations that are
/// executed on a claim that was confirmed too late.
#[test]
fn serving_continues_with_a_slow_store() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let base = limits_revision(&harness).await;
        harness.set_store_fault(STORE_SLOW).await;
        let prints = Load::start(harness.print_requests(85, 40));
        let answers = Load::start(harness.engine_requests(86, 60)).end().await;
        insta::assert_snapshot!(answers.outcomes(), @"60 whole");
        let (status, body) = edit_limits(&harness, 0, &base, "9min").await;
        assert!([503, 504].contains(&status), "{status} {body}");
        let prints = prints.end().await;
        assert!(prints.reports_every_failure(), "{}", prints.outcomes());
        check_recovery(&harness, 850).await;
    });
}

/// Guards against operations that are executed twice, and against edits that are rejected or
/// applied twice, when the response to a write that took effect is lost.
#[test]
fn lost_store_responses_cause_no_repeated_execution() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let losing_answers = |lose_answers| Fault {
            lose_answers,
            ..Fault::default()
        };
        harness.set_store_fault(losing_answers(10)).await;
        let prints = Load::start(harness.print_requests(87, 80)).end().await;
        assert!(prints.reports_every_failure(), "{}", prints.outcomes());
        harness.set_store_fault(losing_answers(0)).await;
        let base = limits_revision(&harness).await;
        harness.set_store_fault(losing_answers(1)).await;
        let (status, body) = edit_limits(&harness, 0, &base, "9min").await;
        assert_eq!(status, 200, "{body}");
        harness.wait_until_in_force(&body["revision"]).await;
        check_recovery(&harness, 870).await;
    });
}

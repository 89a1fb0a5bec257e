use actix_web::{FromRequest, dev, test::TestRequest, web};
use futures_util::stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::{
    super::receive,
    harness::{KITCHEN, OFFICE, OPERATOR, completion, harness, harness_without_document, request},
};
use crate::unit::Bytes;

fn chat(body: &str) -> Vec<u8> {
    request("POST", "/v1/chat/completions", KITCHEN, "", body)
}

fn call(path: &str, key: &str, headers: &str) -> Vec<u8> {
    request(
        "POST",
        &format!("/v1/services/{path}"),
        key,
        headers,
        "tray",
    )
}

fn get(path: &str, key: &str) -> Vec<u8> {
    request("GET", path, key, "", "")
}

/// Guards against an invalid request that gets an error without a clear reason, that is sent to an
/// endpoint, or whose error quotes the body.
#[actix::test]
async fn errors_are_problem_documents() {
    let print = "labels/print";
    let prompt = r#"{"model":"allergen","prompt":"#;
    let with = |rest: &str| completion(&format!("{prompt}\"nuts\",{rest}}}"));
    let long = "a".repeat(140_000);
    let cases: Vec<(&str, Vec<u8>)> = vec![
        (
            "no key",
            b"GET /v1/models HTTP/1.1\r\nHost: mill\r\nConnection: close\r\n\r\n".to_vec(),
        ),
        ("unknown key", get("/v1/models", "sesame")),
        ("unknown route", get("/v2/models", KITCHEN)),
        ("other method", get("/v1/completions", KITCHEN)),
        ("broken JSON", completion("{\"model\":")),
        (
            "wrong type",
            chat(r#"{"model":"allergen","messages":"the secret prompt"}"#),
        ),
        ("unknown field", with(r#""best_of":2"#)),
        ("missing field", completion("{}")),
        (
            "unknown model",
            completion(r#"{"model":"x","prompt":"nuts"}"#),
        ),
        (
            "unknown adapter",
            completion(r#"{"model":"allergen:x","prompt":"nuts"}"#),
        ),
        ("several answers", with(r#""n":2"#)),
        ("no output", with(r#""max_tokens":0"#)),
        ("too much output", with(r#""max_tokens":5000"#)),
        ("prompt and messages", with(r#""messages":[]"#)),
        ("no messages", chat(r#"{"model":"allergen","messages":[]}"#)),
        (
            "prompt above the context",
            completion(&format!("{prompt}\"{long}\"}}")),
        ),
        (
            "body above the limit",
            completion(&"a".repeat((1 << 20) + 1)),
        ),
        (
            "other class",
            request(
                "POST",
                "/v1/completions",
                OFFICE,
                "",
                r#"{"model":"allergen","prompt":"nuts","service_tier":"verdict"}"#,
            ),
        ),
        ("operation of another class", call(print, OFFICE, "")),
        ("operation without a key", call(print, KITCHEN, "")),
        (
            "invalid key",
            call(print, KITCHEN, "Idempotency-Key: a/b\r\n"),
        ),
        ("unknown operation", call("labels/burn", KITCHEN, "")),
        (
            "record absent",
            get("/v1/services/labels/print/absent", KITCHEN),
        ),
        (
            "record unavailable",
            get("/v1/services/labels/print/unavailable", KITCHEN),
        ),
        ("caller as operator", get("/operator/v1/status", KITCHEN)),
        ("unknown section", get("/operator/v1/config/x", OPERATOR)),
        ("store down", get("/operator/v1/config/models", OPERATOR)),
        (
            "edit without a base",
            request("PUT", "/operator/v1/config/models", OPERATOR, "", "{}"),
        ),
    ];
    let mut harness = harness(4);
    let mut log = Vec::new();
    for (name, request) in cases {
        let answer = harness.exchange(&request).await;
        assert!(!answer.contains("secret"), "{answer}");
        log.push(format!("--- {name}\n{answer}"));
    }
    assert!(
        harness.fake_relay.submits.try_recv().is_err(),
        "nothing was sent"
    );
    insta::assert_snapshot!(log.join("\n"));
}

/// Guards against `executed: no` for a key whose request may not have written its claim yet.
#[actix::test]
async fn execution_is_unknown_without_a_record() {
    let harness = harness(4);
    let absent = get("/v1/services/labels/print/absent", KITCHEN);
    let answer = harness.exchange(&absent).await;
    assert!(answer.contains(r#""executed":"unknown""#), "{answer}");
}

/// Guards against a server that crashes on malformed HTTP or serves no requests afterwards.
#[actix::test]
async fn malformed_requests_are_rejected_or_closed() {
    let mut harness = harness(4);
    let head = "POST /v1/completions HTTP/1.1\r\nHost: mill\r\n";
    let key = format!("Authorization: Bearer {KITCHEN}\r\n");
    let malformed = [
        b"\x16\x03\x01 no request\r\n\r\n".to_vec(),
        format!("{head}{key}Content-Length: 12\r\nContent-Length: 13\r\n\r\n").into_bytes(),
        format!("{head}{key}Transfer-Encoding: chunked\r\n\r\nzz\r\n").into_bytes(),
        format!("{head}X-Long: {}\r\n\r\n", "a".repeat(300_000)).into_bytes(),
        format!("{head}{}\r\n", "X-Many: a\r\n".repeat(5_000)).into_bytes(),
    ];
    for request in malformed {
        let answer = harness.exchange(&request).await;
        let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(refused, "{answer}");
    }
    // A body that ends early.
    let mut stream = harness.connect().await;
    let truncated = format!("{head}{key}Content-Length: 100\r\n\r\n{{\"model\":");
    stream.write_all(truncated.as_bytes()).await.expect("write");
    stream.shutdown().await.expect("shutdown");
    let mut answer = String::new();
    let _read = stream.read_to_string(&mut answer).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
    assert!(
        harness.fake_relay.submits.try_recv().is_err(),
        "nothing was sent"
    );
    let models = get("/v1/models", KITCHEN);
    insta::assert_snapshot!(harness.exchange(&models).await);
}

/// Guards against a load balancer that sends requests to an entry without a document or to one
/// that is shutting down.
#[actix::test]
async fn readiness_requires_a_document_and_no_shutdown() {
    let harness = harness_without_document(4);
    let mut log = Vec::new();
    for path in ["/healthz", "/readyz", "/v1/models"] {
        log.push(harness.exchange(&get(path, KITCHEN)).await);
    }
    harness
        .document
        .send_replace(crate::relay::tests::fake::document());
    log.push(harness.exchange(&get("/readyz", KITCHEN)).await);
    harness.stopping.send_replace(true);
    for path in ["/readyz", "/v1/models"] {
        log.push(harness.exchange(&get(path, KITCHEN)).await);
    }
    insta::assert_snapshot!(log.join("\n---\n"));
}

/// Guards against a caller that occupies a task by sending its body slowly.
#[tokio::test(start_paused = true)]
async fn slow_body_times_out() {
    let (request, _payload) = TestRequest::default().to_http_parts();
    let mut slow: dev::Payload = dev::Payload::Stream {
        payload: Box::pin(stream::pending()),
    };
    let payload = web::Payload::from_request(&request, &mut slow);
    let payload = payload.await.expect("a payload");
    let refused = receive::read_body(payload, Bytes::new(10)).await;
    let refused = refused.map_err(|error| (error.to_string(), error.executed().to_string()));
    insta::assert_debug_snapshot!(refused);
}

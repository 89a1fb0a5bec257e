use super::harness::{Harness, KITCHEN, completion, harness, request};
use crate::{
    error::{Executed, Kind},
    relay::tests::script::{
        AgentEvent::{self, Answer, Data, End, Fail},
        chunk,
    },
};

async fn ask(harness: &mut Harness, cases: Vec<(&str, Vec<u8>, Vec<AgentEvent>)>) -> String {
    let mut log = Vec::new();
    for (name, request, script) in cases {
        log.push(format!(
            "--- {name}\n{}",
            harness.ask(&request, script).await
        ));
    }
    log.join("\n")
}

fn text(rest: &str) -> Vec<u8> {
    completion(&format!(r#"{{"model":"allergen","prompt":"nuts"{rest}}}"#))
}

fn chat(rest: &str) -> Vec<u8> {
    let body = format!(
        r#"{{"model":"allergen:school","messages":[{{"role":"user","content":"nuts"}}]{rest}}}"#
    );
    request("POST", "/v1/chat/completions", KITCHEN, "", &body)
}

fn served() -> Vec<AgentEvent> {
    // The two bytes of the second character are in different parts.
    let split = "n\u{e9}".as_bytes();
    vec![
        Data(0, split[..2].to_vec()),
        Data(2, split[2..].to_vec()),
        End(3),
    ]
}

/// Guards against answers that common clients cannot parse, and against a truncated answer that
/// looks complete: an error before the first part must be an HTTP status, and a later one an event
/// without `[DONE]`.
#[actix::test]
async fn engine_answers_in_text_and_chat_style() {
    let usage = r#","stream":true,"stream_options":{"include_usage":true}"#;
    let stream = r#","stream":true"#;
    let overloaded = || vec![Fail(Kind::Overloaded, Executed::No)];
    let broken = || {
        vec![
            chunk(0, "no"),
            Fail(Kind::EndpointFailed, Executed::Unknown),
        ]
    };
    let cases = vec![
        ("text", text(""), served()),
        ("chat", chat(""), served()),
        ("streamed text", text(usage), served()),
        ("streamed chat", chat(stream), served()),
        ("empty", text(stream), vec![End(0)]),
        ("refused", text(""), overloaded()),
        ("refused stream", text(stream), overloaded()),
        ("broken", text(""), broken()),
        ("broken stream", text(stream), broken()),
        ("not UTF-8", text(""), vec![Data(0, vec![0xff]), End(1)]),
        (
            "cut character",
            text(stream),
            vec![Data(0, vec![0xc3]), End(1)],
        ),
    ];
    let mut harness = harness(4);
    insta::assert_snapshot!(ask(&mut harness, cases).await);
}

/// Guards against modified answers of services, and against an invalid status or media type that
/// breaks the connection.
#[actix::test]
async fn service_answers_are_forwarded() {
    let print = |path: &str| {
        let key = "Idempotency-Key: tray-7\r\n";
        request(
            "POST",
            &format!("/v1/services/labels/{path}"),
            KITCHEN,
            key,
            "tray 7",
        )
    };
    let answer = |status, media_type| vec![chunk(0, "done"), Answer(4, status, media_type)];
    let refused = vec![Fail(Kind::StoreUnavailable, Executed::No)];
    let cases = vec![
        ("served", print("print"), answer(201, "application/json")),
        (
            "error of the service",
            print("confirm"),
            answer(422, "text/plain"),
        ),
        (
            "invalid media type",
            print("print"),
            answer(200, "text\r\nplain"),
        ),
        ("invalid status", print("print"), answer(101, "text/plain")),
        ("refused", print("print"), refused),
    ];
    let mut harness = harness(4);
    let mut log = ask(&mut harness, cases).await;
    for key in ["started", "ended"] {
        let path = format!("/v1/services/labels/print/{key}");
        let record = request("GET", &path, KITCHEN, "", "");
        log = format!("{log}\n--- {key}\n{}", harness.exchange(&record).await);
    }
    insta::assert_snapshot!(log);
}

/// Guards against `executed: no` for an answer that was generated but is too large to buffer.
#[actix::test]
async fn oversized_answer_is_reported_as_executed() {
    const PART: u64 = 1 << 20;
    let part = |number| Data(number * PART, vec![b'a'; 1 << 20]);
    let script = (0..9).map(part).chain([End(9 * PART)]).collect();
    let mut harness = harness(4);
    insta::assert_snapshot!(harness.ask(&text(""), script).await);
}

/// Guards against a valid key that is rejected because its authentication scheme is not written
/// as `Bearer`, and against a key that is accepted with another scheme.
#[actix::test]
async fn authentication_scheme_is_case_insensitive() {
    let harness = harness(4);
    let cases = [
        ("bearer", "200"),
        ("BEARER", "200"),
        ("Basic", "401"),
        ("", "401"),
    ];
    for (scheme, status) in cases {
        let head = "GET /v1/models HTTP/1.1\r\nHost: mill\r\nConnection: close\r\n";
        let request = format!("{head}Authorization: {scheme} {KITCHEN}\r\n\r\n");
        let answer = harness.exchange(request.as_bytes()).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{scheme}: {answer}"
        );
    }
}

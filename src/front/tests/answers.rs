use super::site::{KITCHEN, Site, completion, request, site};
use crate::{
    error::{Executed, Kind},
    relay::tests::script::{
        Act::{self, Answer, Data, End, Fail},
        data,
    },
};

async fn ask(site: &mut Site, cases: Vec<(&str, Vec<u8>, Vec<Act>)>) -> String {
    let mut log = Vec::new();
    for (name, request, script) in cases {
        log.push(format!("--- {name}\n{}", site.ask(&request, script).await));
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

fn served() -> Vec<Act> {
    // The second character is split between two parts.
    let split = "n\u{e9}".as_bytes();
    vec![
        Data(0, split[..2].to_vec()),
        Data(2, split[2..].to_vec()),
        End(3),
    ]
}

/// Guards against answers that common clients cannot read, and against a cut answer that looks
/// whole: an error before the first part is a status, a later one an event without `[DONE]`.
#[actix::test]
async fn generations_are_written_in_both_styles() {
    let usage = r#","stream":true,"stream_options":{"include_usage":true}"#;
    let stream = r#","stream":true"#;
    let overloaded = || vec![Fail(Kind::Overloaded, Executed::No)];
    let broken = || vec![data(0, "no"), Fail(Kind::EndpointFailed, Executed::Unknown)];
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
    let mut site = site(4);
    insta::assert_snapshot!(ask(&mut site, cases).await);
}

/// Guards against answers of services that are changed on their way, and against invalid ones that
/// break the connection.
#[actix::test]
async fn answers_of_services_are_passed_on() {
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
    let answer = |status, media_type| vec![data(0, "done"), Answer(4, status, media_type)];
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
    let mut site = site(4);
    let mut log = ask(&mut site, cases).await;
    for key in ["started", "ended"] {
        let path = format!("/v1/services/labels/print/{key}");
        let record = request("GET", &path, KITCHEN, "", "");
        log = format!("{log}\n--- {key}\n{}", site.exchange(&record).await);
    }
    insta::assert_snapshot!(log);
}

/// Guards against `executed: no` for an answer that was generated but is too large to collect.
#[actix::test]
async fn answer_too_large_to_collect_was_executed() {
    const PART: u64 = 1 << 20;
    let part = |number| Data(number * PART, vec![b'a'; 1 << 20]);
    let script = (0..9).map(part).chain([End(9 * PART)]).collect();
    let mut site = site(4);
    insta::assert_snapshot!(site.ask(&text(""), script).await);
}

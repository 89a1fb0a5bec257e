use std::time::Duration;

use futures_util::StreamExt;

use super::{super::*, config};

async fn post(address: std::net::SocketAddr, path: &str, body: &serde_json::Value) -> String {
    let client = awc::Client::default();
    let sent = client
        .post(format!("http://{address}{path}"))
        .send_json(body);
    let Ok(mut response) = sent.await else {
        return "no connection".to_owned();
    };
    let mut text = format!("{} ", response.status());
    while let Some(part) = response.next().await {
        match part {
            Ok(part) => text.push_str(&String::from_utf8_lossy(&part)),
            Err(_error) => return text + "broken",
        }
    }
    text
}

/// Guards against a change of the response formats, on which agents depend.
#[actix_web::test]
async fn response_formats_are_stable() {
    let engine = bind(Config {
        speed: 0.0,
        ..config()
    })
    .expect("bound");
    let mut results = Vec::new();
    for stream in [false, true] {
        let body = serde_json::json!({
            "model": "m", "prompt": "p", "max_tokens": 2, "resume_offset": 3, "stream": stream,
            "messages": [{"role": "user", "content": "p"}],
        });
        results.push(post(engine.address(), "/v1/completions", &body).await);
        results.push(post(engine.address(), "/v1/chat/completions", &body).await);
    }
    insta::assert_snapshot!(results.join("\n---\n"));
}

/// Guards against a crash that looks like the end of an answer, and a restart on another port.
#[actix_web::test]
async fn faults_break_connections() {
    let engine = bind(Config {
        speed: 0.0,
        ..config()
    })
    .expect("bound");
    let body = serde_json::json!({"model": "m", "prompt": "p", "max_tokens": 2, "stream": true});
    let mut results = Vec::new();
    let faults = [
        serde_json::json!({"fault": "break_next_stream", "after_bytes": 6}),
        serde_json::json!({"fault": "crash"}),
        serde_json::json!({"fault": "restart"}),
    ];
    for fault in faults {
        results.push(post(engine.fault_address(), "/fault", &fault).await);
        let answer = post(engine.address(), "/v1/completions", &body).await;
        results.push(answer);
    }
    insta::assert_debug_snapshot!(results);
}

/// Guards against an engine that continues a request after the client disconnects.
#[actix_web::test]
async fn disconnect_cancels_request() {
    let engine = bind(Config {
        load_lag: Duration::ZERO,
        ..config()
    })
    .expect("bound");
    let running = async || {
        let report = engine.engine.send(actor::Load).await;
        report.expect("up").0.running
    };
    let body = serde_json::json!({
        "model": "m", "prompt": "p", "max_tokens": 100_000, "stream": true,
    });
    let refused = post(engine.address(), "/v1/completions", &body).await;
    assert!(refused.starts_with("413"), "{refused}");
    let body = serde_json::json!({
        "model": "m", "prompt": "p", "max_tokens": 50_000, "stream": true,
    });
    let client = awc::Client::default();
    let url = format!("http://{}/v1/completions", engine.address());
    let mut response = client.post(url).send_json(&body).await.expect("accepted");
    response.next().await.expect("a token").expect("a token");
    assert_eq!(running().await, 1);
    drop(response);
    drop(client);
    // 50,000 tokens take 10 minutes, so that only the cancellation ends the request in time.
    let idle = async {
        while running().await > 0 {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let limit = Duration::from_mins(1);
    actix_rt::time::timeout(limit, idle)
        .await
        .expect("cancelled");
}

async fn get(address: std::net::SocketAddr, path: &str) -> String {
    let client = awc::Client::default();
    let sent = client.get(format!("http://{address}{path}")).send();
    let body = sent.await.expect("up").body().await.expect("a body");
    String::from_utf8_lossy(&body).into_owned()
}

/// Guards against a change of the control API, on which agents depend.
#[actix_web::test]
async fn control_api_is_stable() {
    let open = || {
        bind(Config {
            speed: 0.0,
            load_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            event_loss: mulberrymill::unit::Share::new(0.0),
            ..config()
        })
    };
    let (first, second) = (open().expect("bound"), open().expect("bound"));
    let prompt = "x".repeat(600);
    let prefix = serde_json::json!({"model": "m", "prompt": prompt, "max_tokens": 1});
    post(first.address(), "/v1/completions", &prefix).await;
    let mut lines = vec![get(first.address(), "/control/events?since=1").await];
    let exported = post(first.address(), "/control/kv/export", &prefix).await;
    lines.push(exported.clone());
    let blocks = exported.strip_prefix("200 OK ").expect("exported");
    let blocks = serde_json::from_str(blocks).expect("JSON");
    lines.push(post(second.address(), "/control/kv/import", &blocks).await);
    for (path, body) in [
        ("role", r#"{"role": "decode", "fence": 3}"#),
        ("role", r#"{"role": "mixed", "fence": 2}"#),
        ("models", r#"{"load": "n", "fence": 3}"#),
        ("models", r#"{"unload": "m", "fence": 4}"#),
        ("models", r#"{"fence": 4}"#),
        ("drain", r#"{"drain": true, "fence": 4}"#),
    ] {
        let order = serde_json::from_str(body).expect("JSON");
        let answer = post(second.address(), &format!("/control/{path}"), &order).await;
        lines.push(format!("{path} {body}: {answer}"));
    }
    for path in ["/control/load", "/control/tally", "/v1/models"] {
        let answer = get(second.address(), path).await;
        lines.push(format!("{path}: {answer}"));
    }
    insta::assert_debug_snapshot!(lines);
}

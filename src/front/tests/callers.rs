use std::{
    sync::{Arc, Mutex, Once},
    time::Duration,
};

use log::{LevelFilter, Log, Metadata, Record};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    time,
};

use super::harness::{Harness, KITCHEN, completion, harness, request};
use crate::{
    link,
    relay::tests::{
        fake::document,
        script::{
            AgentEvent::{Data, End, Lost},
            chunk, send_event,
        },
    },
};

fn streamed(class: &str) -> Vec<u8> {
    completion(&format!(
        r#"{{"model":"allergen","prompt":"nuts","stream":true,"service_tier":"{class}"}}"#
    ))
}

async fn next_attempt(harness: &mut Harness) -> link::Submit {
    harness.fake_relay.submits.recv().await.expect("an attempt")
}

/// Waits until the fake actors have noted a message that contains `text`.
async fn wait_for_note(harness: &Harness, text: &str) {
    loop {
        let notes = harness.fake_relay.notes().await;
        if notes.iter().any(|note| note.contains(text)) {
            return;
        }
        time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against an attempt that continues after its caller has disconnected, and against a
/// queued request of such a caller that is sent to an engine.
#[actix::test]
async fn disconnect_cancels_the_request() {
    let mut harness = harness(1);
    let mut stream = harness.connect().await;
    stream.write_all(&streamed("review")).await.expect("write");
    let submit = next_attempt(&mut harness).await;
    send_event(&submit, chunk(0, "tra"));
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.expect("an answer");
    assert_eq!(&head, b"HTTP/1.1 200");
    let mut queued = harness.connect().await;
    queued.write_all(&streamed("review")).await.expect("write");
    while harness.fake_relay.offers().await < 2 {
        time::sleep(Duration::from_millis(2)).await;
    }
    drop(queued);
    wait_for_note(&harness, "left the queue").await;
    drop(stream);
    wait_for_note(&harness, "cancel e1 1").await;
    assert!(
        harness.fake_relay.submits.try_recv().is_err(),
        "nothing else was sent"
    );
}

/// Guards against a caller that stops reading and thereby grows the memory of the entry without
/// limit, or blocks another caller on the same thread.
#[actix::test]
async fn backpressure_limits_a_caller_that_stops_reading() {
    const PART: u64 = 16 << 10;
    /// Far above what the socket buffers on loopback hold.
    const MAX_SENT: u64 = 32 << 20;
    let mut harness = harness(4);
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(8 << 10)
        .expect("a small buffer");
    let mut stream = socket
        .connect(harness.server.address())
        .await
        .expect("connect");
    stream.write_all(&streamed("review")).await.expect("write");
    let submit = next_attempt(&mut harness).await;
    let (mut sent, mut credit, mut idle_rounds) = (0, submit.submit.credit.get(), 0);
    while idle_rounds < 20 && sent < MAX_SENT {
        while sent + PART <= credit {
            send_event(&submit, Data(sent, vec![b'a'; 16 << 10]));
            sent += PART;
        }
        time::sleep(Duration::from_millis(5)).await;
        let notes = harness.fake_relay.notes().await;
        idle_rounds = if notes.is_empty() { idle_rounds + 1 } else { 0 };
        credit += PART * notes.len() as u64;
    }
    assert!(sent < MAX_SENT, "{sent} bytes were taken");
    let served = vec![chunk(0, "no"), End(2)];
    let other = harness.ask(&streamed("verdict"), served).await;
    assert!(other.ends_with("data: [DONE]\n\n"), "{other}");
}

/// Guards against a caller that stops reading and keeps its slot after its deadline.
#[actix::test]
async fn deadline_frees_the_slot_of_a_caller_that_stops_reading() {
    let mut harness = harness(1);
    let mut document = (*document()).clone();
    document.limits.longest = Duration::from_millis(50);
    harness.document.send_replace(Arc::new(document));
    let mut stream = harness.connect().await;
    stream.write_all(&streamed("review")).await.expect("write");
    let submit = next_attempt(&mut harness).await;
    // More than the socket buffers hold, so that the server waits for the caller.
    for number in 0..512 {
        send_event(&submit, Data(number << 16, vec![b'a'; 1 << 16]));
    }
    while !harness.fake_relay.has_slot().await {
        time::sleep(Duration::from_millis(50)).await;
    }
    wait_for_note(&harness, "cancel e1 1").await;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    let answer = String::from_utf8(answer).expect("UTF-8");
    assert!(
        answer.contains("the answer was not read in time"),
        "the error event is missing"
    );
    assert!(
        !answer.contains("[DONE]"),
        "a truncated answer ends with [DONE]"
    );
}

/// Logger that collects all lines of the process in `LINES`.
struct LineCollector;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

impl Log for LineCollector {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{} {:?}", record.args(), record.key_values().visit_text());
        LINES.lock().expect("no panic while logging").push(line);
    }

    fn flush(&self) {}
}

trait VisitText {
    fn visit_text(&self) -> String;
}

struct Text(String);

impl<'kvs> log::kv::VisitSource<'kvs> for Text {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0 = format!("{}{key}={value} ", self.0);
        Ok(())
    }
}

impl VisitText for dyn log::kv::Source + '_ {
    fn visit_text(&self) -> String {
        let mut text = Text(String::new());
        self.visit(&mut text).expect("text only");
        text.0
    }
}

fn collect_log() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_boxed_logger(Box::new(LineCollector)).expect("the only logger");
        log::set_max_level(LevelFilter::Trace);
    });
}

/// Guards against log lines that contain prompts, keys, bodies or answers, and against lines about
/// a finished request without its caller and class.
#[actix::test]
async fn log_contains_no_request_data() {
    collect_log();
    let mut harness = harness(4);
    let body = r#"{"model":"allergen","prompt":"classified prompt"}"#;
    harness
        .ask(&completion(body), vec![chunk(0, "classified"), End(10)])
        .await;
    harness
        .ask(&completion(body), vec![chunk(0, "classified"), Lost])
        .await;
    let key = "Idempotency-Key: classified-key\r\n";
    let print = request(
        "POST",
        "/v1/services/labels/print",
        KITCHEN,
        key,
        "classified",
    );
    harness.ask(&print, vec![Lost]).await;
    let wrong = r#"{"model":"allergen","prompt":["classified"]}"#;
    harness.exchange(&completion(wrong)).await;
    harness
        .exchange(&request("GET", "/v1/models", "classified", "", ""))
        .await;
    let lines = LINES.lock().expect("no panic while logging").clone();
    for line in &lines {
        assert!(!line.contains("classified"), "{line}");
        assert!(!line.contains(KITCHEN), "{line}");
    }
    let ended = |text: &str| {
        let named = |line: &&String| line.contains("caller=kitchen class=");
        lines.iter().filter(named).any(|line| line.contains(text))
    };
    assert!(ended("request served"), "{lines:?}");
    assert!(ended("request failed"), "{lines:?}");
}

/// Guards against missing histograms per class and caller, and against bearer keys in the metrics.
#[actix::test]
async fn metrics_are_kept_per_class_and_caller() {
    let mut harness = harness(4);
    let served = vec![chunk(0, "n"), chunk(1, "o"), End(2)];
    harness.ask(&streamed("verdict"), served).await;
    let text = harness
        .exchange(&request("GET", "/metrics", "", "", ""))
        .await;
    for name in ["queue", "first_token", "between_tokens", "whole_answer"] {
        for label in ["class", "caller"] {
            let value = if label == "class" {
                "verdict"
            } else {
                "kitchen"
            };
            let series = format!("{label}_{name}_seconds_count{{{label}=\"{value}\"}}");
            assert!(text.contains(&series), "{series} is not in {text}");
        }
    }
    assert!(!text.contains(KITCHEN), "{text}");
}

use std::{
    sync::{Mutex, Once},
    time::Duration,
};

use log::{LevelFilter, Log, Metadata, Record};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    time,
};

use super::site::{KITCHEN, Site, completion, request, site};
use crate::{
    link,
    relay::tests::script::{
        Act::{Data, End, Lost},
        act, data,
    },
};

fn streamed(class: &str) -> Vec<u8> {
    completion(&format!(
        r#"{{"model":"allergen","prompt":"nuts","stream":true,"service_tier":"{class}"}}"#
    ))
}

async fn attempt(site: &mut Site) -> link::Submit {
    site.rig.submits.recv().await.expect("an attempt")
}

/// Waits until the fakes were told something that contains `text`.
async fn told(site: &Site, text: &str) {
    loop {
        let notes = site.rig.notes().await;
        if notes.iter().any(|note| note.contains(text)) {
            return;
        }
        time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against an engine that works for a caller that is gone.
#[actix::test]
async fn caller_that_disconnects_cancels_its_request() {
    let mut site = site(1);
    let mut stream = site.connect().await;
    stream.write_all(&streamed("review")).await.expect("write");
    let submit = attempt(&mut site).await;
    act(&submit, data(0, "tra"));
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.expect("an answer");
    assert_eq!(&head, b"HTTP/1.1 200");
    let mut queued = site.connect().await;
    queued.write_all(&streamed("review")).await.expect("write");
    while site.rig.offers().await < 2 {
        time::sleep(Duration::from_millis(2)).await;
    }
    drop(queued);
    told(&site, "left the queue").await;
    drop(stream);
    told(&site, "cancel e1 1").await;
    assert!(
        site.rig.submits.try_recv().is_err(),
        "nothing else was sent"
    );
}

/// Guards against a caller that stops reading and fills the memory of the entry, or holds up
/// another caller on the same thread.
#[actix::test]
async fn caller_that_stops_reading_is_held_back() {
    const PART: u64 = 16 << 10;
    /// What sockets on loopback buffer is far below this.
    const MOST: u64 = 32 << 20;
    let mut site = site(4);
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(8 << 10)
        .expect("a small buffer");
    let mut stream = socket
        .connect(site.server.address())
        .await
        .expect("connect");
    stream.write_all(&streamed("review")).await.expect("write");
    let submit = attempt(&mut site).await;
    let (mut sent, mut credit, mut quiet) = (0, submit.submit.credit.get(), 0);
    while quiet < 20 && sent < MOST {
        while sent + PART <= credit {
            act(&submit, Data(sent, vec![b'a'; 16 << 10]));
            sent += PART;
        }
        time::sleep(Duration::from_millis(5)).await;
        let notes = site.rig.notes().await;
        quiet = if notes.is_empty() { quiet + 1 } else { 0 };
        credit += PART * notes.len() as u64;
    }
    assert!(sent < MOST, "{sent} bytes were taken");
    let served = vec![data(0, "no"), End(2)];
    let other = site.ask(&streamed("verdict"), served).await;
    assert!(other.ends_with("data: [DONE]\n\n"), "{other}");
}

/// Collects the log of the process.
struct Lines;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

impl Log for Lines {
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
        log::set_boxed_logger(Box::new(Lines)).expect("the only logger");
        log::set_max_level(LevelFilter::Trace);
    });
}

/// Guards against prompts, keys, bodies and answers in the log, and against log lines without the
/// caller and class.
#[actix::test]
async fn log_holds_no_contents() {
    collect_log();
    let mut site = site(4);
    let body = r#"{"model":"allergen","prompt":"classified prompt"}"#;
    site.ask(&completion(body), vec![data(0, "classified"), End(10)])
        .await;
    site.ask(&completion(body), vec![data(0, "classified"), Lost])
        .await;
    let key = "Idempotency-Key: classified-key\r\n";
    let print = request(
        "POST",
        "/v1/services/labels/print",
        KITCHEN,
        key,
        "classified",
    );
    site.ask(&print, vec![Lost]).await;
    let wrong = r#"{"model":"allergen","prompt":["classified"]}"#;
    site.exchange(&completion(wrong)).await;
    site.exchange(&request("GET", "/v1/models", "classified", "", ""))
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

/// Guards against missing histograms and against keys in the labels.
#[actix::test]
async fn metrics_are_kept_per_class_and_caller() {
    let mut site = site(4);
    let served = vec![data(0, "n"), data(1, "o"), End(2)];
    site.ask(&streamed("verdict"), served).await;
    let text = site.exchange(&request("GET", "/metrics", "", "", "")).await;
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

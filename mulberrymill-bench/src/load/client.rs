use std::{fmt, rc::Rc, str::FromStr, time::Duration};

use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{
    plan::{Arrival, Kind},
    run::Config,
    sse::Events,
    summary::{Outcome, Sample},
};
use crate::engine::{Text, conversation};

/// An HTTP server that requests are sent to, written `http://ADDRESS:PORT`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target(String);

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for Target {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let address = text.trim_end_matches('/');
        if address
            .strip_prefix("http://")
            .is_some_and(|rest| !rest.is_empty())
        {
            Ok(Self(address.to_owned()))
        } else {
            Err("expected http://ADDRESS:PORT".to_owned())
        }
    }
}

/// Below the 5 s after which actix-web closes an idle connection, so that no request is sent on a
/// connection that is about to be closed.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// Longest accepted answer, in bytes.
const ANSWER_MAX: usize = 16 << 20;

pub(super) fn client(timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .limit(0)
        .conn_keep_alive(KEEP_ALIVE)
        .timeout(timeout);
    awc::Client::builder()
        .connector(connector)
        .timeout(timeout)
        .finish()
}

/// The idempotency key of a print order.
pub(super) fn key(config: &Config, number: u64) -> String {
    format!("{}-{number}", config.seed)
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Content>,
    message: Option<Content>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Content {
    content: Option<String>,
}

impl Choice {
    fn into_text(self) -> String {
        let content = self.delta.or(self.message).and_then(|one| one.content);
        self.text.or(content).unwrap_or_default()
    }
}

/// One request while it is measured.
struct Probe {
    arrival: Rc<Arrival>,
    planned: Instant,
    queue: Option<Duration>,
    first: Option<Duration>,
    last: Option<Instant>,
    between: Option<Duration>,
    text: String,
}

impl Probe {
    fn take(&mut self, text: &str) {
        if text.is_empty() {
            return;
        }
        let now = Instant::now();
        match self.last {
            None => self.first = Some(now - self.planned),
            Some(last) => self.between = self.between.max(Some(now - last)),
        }
        self.last = Some(now);
        self.text.push_str(text);
    }

    /// Compares the whole answer with the only right one.
    fn verify(&self, config: &Config) -> Outcome {
        let arrival = &self.arrival;
        let prompt = if config.chat {
            conversation([("user", arrival.prompt.as_str())])
        } else {
            arrival.prompt.clone()
        };
        if self.text == Text::new(&config.model, &prompt).whole(arrival.output) {
            Outcome::Whole
        } else {
            Outcome::Wrong
        }
    }
}

/// Sends one request and measures it.
pub(super) async fn execute(
    client: &awc::Client,
    config: &Config,
    target: usize,
    arrival: Rc<Arrival>,
    planned: Instant,
) -> Sample {
    let mut probe = Probe {
        arrival,
        planned,
        queue: None,
        first: None,
        last: None,
        between: None,
        text: String::new(),
    };
    let address = &config.targets[target];
    let sent = async {
        if probe.arrival.kind == Kind::Print {
            print(client, config, address, &mut probe).await
        } else {
            generate(client, config, address, &mut probe).await
        }
    };
    let outcome = match tokio::time::timeout(config.timeout, sent).await {
        Ok(Ok(outcome) | Err(outcome)) => outcome,
        Err(_elapsed) => Outcome::Failed("timeout".to_owned()),
    };
    let whole = planned.elapsed();
    let arrival = &probe.arrival;
    Sample {
        number: arrival.number,
        target,
        kind: arrival.kind,
        class: arrival.class.clone(),
        good: outcome == Outcome::Whole && whole <= arrival.target,
        outcome,
        queue: probe.queue,
        first: probe.first,
        between: probe.between,
        whole,
        tokens: probe.text.len() as u64 / crate::engine::TOKEN_BYTES,
    }
}

fn failed(reason: impl fmt::Display) -> Outcome {
    Outcome::Failed(reason.to_string())
}

fn request(client: &awc::Client, config: &Config, url: String) -> awc::ClientRequest {
    let request = client.post(url);
    match &config.bearer {
        Some(bearer) => request.bearer_auth(bearer),
        None => request,
    }
}

/// Tells a refusal from a failure by the `executed` field of the error.
fn rejection(status: u16, body: &[u8]) -> Outcome {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let executed = body.get("executed").or(body.pointer("/error/executed"));
    let kind = body.get("type").or(body.pointer("/error/kind"));
    let reason = format!("{status} {}", kind.and_then(Value::as_str).unwrap_or(""));
    if executed.and_then(Value::as_str) == Some("no") {
        Outcome::Refused(reason)
    } else {
        Outcome::Failed(reason)
    }
}

async fn print(
    client: &awc::Client,
    config: &Config,
    target: &Target,
    probe: &mut Probe,
) -> Result<Outcome, Outcome> {
    let url = format!("{target}{}", config.print_path);
    let request = request(client, config, url)
        .insert_header(("idempotency-key", key(config, probe.arrival.number)));
    let body = probe.arrival.prompt.clone();
    let mut response = request.send_body(body).await.map_err(failed)?;
    probe.queue = Some(probe.planned.elapsed());
    let body = response.body().limit(ANSWER_MAX).await.map_err(failed)?;
    if response.status().is_success() {
        return Ok(Outcome::Whole);
    }
    Err(rejection(response.status().as_u16(), &body))
}

async fn generate(
    client: &awc::Client,
    config: &Config,
    target: &Target,
    probe: &mut Probe,
) -> Result<Outcome, Outcome> {
    let arrival = Rc::clone(&probe.arrival);
    let mut body = json!({
        "model": config.model,
        "max_tokens": arrival.output.get(),
        "stream": config.stream,
        "service_tier": arrival.class,
    });
    let path = if config.chat {
        body["messages"] = json!([{"role": "user", "content": arrival.prompt}]);
        "/v1/chat/completions"
    } else {
        body["prompt"] = json!(arrival.prompt);
        "/v1/completions"
    };
    let request = request(client, config, format!("{target}{path}"));
    let mut response = request.send_json(&body).await.map_err(failed)?;
    probe.queue = Some(probe.planned.elapsed());
    if !response.status().is_success() || !config.stream {
        let body = response.body().limit(ANSWER_MAX).await.map_err(failed)?;
        if !response.status().is_success() {
            return Err(rejection(response.status().as_u16(), &body));
        }
        let event: Event = serde_json::from_slice(&body).map_err(failed)?;
        for choice in event.choices {
            probe.take(&choice.into_text());
        }
        return Ok(probe.verify(config));
    }
    let mut events = Events::default();
    let mut finished = false;
    while let Some(part) = response.next().await {
        events.push(&part.map_err(failed)?);
        while let Some(data) = events.next() {
            if data == "[DONE]" && finished {
                return Ok(probe.verify(config));
            }
            let event: Event = serde_json::from_str(&data).map_err(failed)?;
            if event.error.is_some() {
                return Err(failed("error event in the stream"));
            }
            for choice in event.choices {
                finished |= choice.finish_reason.is_some();
                probe.take(&choice.into_text());
            }
        }
    }
    Err(failed("stream closed without an end"))
}

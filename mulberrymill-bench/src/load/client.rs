use std::{fmt, rc::Rc, str::FromStr, time::Duration};

use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{
    plan::{Arrival, Kind},
    run::Config,
    sse::EventDecoder,
    summary::{Outcome, Sample},
};
use crate::engine::{Text, conversation};

/// Base URL of an HTTP server, written `http://ADDRESS:PORT`.
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

/// Time for which an idle connection is reused. Servers with actix-web close it after 5 s, so a
/// shorter time prevents requests on a connection that is about to be closed.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// Maximum accepted size of a response body.
const ANSWER_BYTES_MAX: usize = 16 << 20;

pub(super) fn build_client(timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .limit(0)
        .conn_keep_alive(KEEP_ALIVE)
        .timeout(timeout);
    awc::Client::builder()
        .connector(connector)
        .timeout(timeout)
        .finish()
}

/// Idempotency key of a print order, unique within a seed.
pub(super) fn idempotency_key(config: &Config, number: u64) -> String {
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
    delta: Option<Message>,
    message: Option<Message>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Message {
    content: Option<String>,
}

impl Choice {
    fn into_text(self) -> String {
        let content = self
            .delta
            .or(self.message)
            .and_then(|message| message.content);
        self.text.or(content).unwrap_or_default()
    }
}

/// Measurements of a request in progress. Times start at the planned arrival.
struct Measurement {
    arrival: Rc<Arrival>,
    planned: Instant,
    /// Time to the head of the response.
    queue: Option<Duration>,
    /// Time to the first text.
    first: Option<Duration>,
    last_text_at: Option<Instant>,
    /// Longest time between two parts of the text.
    between: Option<Duration>,
    text: String,
}

impl Measurement {
    fn record_text(&mut self, text: &str) {
        if text.is_empty() {
            return;
        }
        let now = Instant::now();
        match self.last_text_at {
            None => self.first = Some(now - self.planned),
            Some(last) => self.between = self.between.max(Some(now - last)),
        }
        self.last_text_at = Some(now);
        self.text.push_str(text);
    }

    /// Compares the text with the answer that the model gives to the prompt.
    fn verify_answer(&self, config: &Config) -> Outcome {
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

/// Sends a request and measures the response.
pub(super) async fn execute(
    client: &awc::Client,
    config: &Config,
    target: usize,
    arrival: Rc<Arrival>,
    planned: Instant,
) -> Sample {
    let mut measurement = Measurement {
        arrival,
        planned,
        queue: None,
        first: None,
        last_text_at: None,
        between: None,
        text: String::new(),
    };
    let address = &config.targets[target];
    let exchange = async {
        if measurement.arrival.kind == Kind::Print {
            send_print(client, config, address, &mut measurement).await
        } else {
            send_generation(client, config, address, &mut measurement).await
        }
    };
    let outcome = match tokio::time::timeout(config.timeout, exchange).await {
        Ok(Ok(outcome) | Err(outcome)) => outcome,
        Err(_elapsed) => Outcome::Failed("timeout".to_owned()),
    };
    let whole = planned.elapsed();
    let arrival = &measurement.arrival;
    Sample {
        number: arrival.number,
        target,
        kind: arrival.kind,
        class: arrival.class.clone(),
        good: outcome == Outcome::Whole && whole <= arrival.target,
        outcome,
        queue: measurement.queue,
        first: measurement.first,
        between: measurement.between,
        whole,
        tokens: measurement.text.len() as u64 / crate::engine::TOKEN_BYTES,
    }
}

fn failed_outcome(reason: impl fmt::Display) -> Outcome {
    Outcome::Failed(reason.to_string())
}

fn authorized_post(client: &awc::Client, config: &Config, url: String) -> awc::ClientRequest {
    let request = client.post(url);
    match &config.bearer {
        Some(bearer) => request.bearer_auth(bearer),
        None => request,
    }
}

/// Classifies an error response: refused if its `executed` field is `no`, else failed.
fn rejection_outcome(status: u16, body: &[u8]) -> Outcome {
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

async fn send_print(
    client: &awc::Client,
    config: &Config,
    target: &Target,
    measurement: &mut Measurement,
) -> Result<Outcome, Outcome> {
    let url = format!("{target}{}", config.print_path);
    let request = authorized_post(client, config, url).insert_header((
        "idempotency-key",
        idempotency_key(config, measurement.arrival.number),
    ));
    let body = measurement.arrival.prompt.clone();
    let mut response = request.send_body(body).await.map_err(failed_outcome)?;
    measurement.queue = Some(measurement.planned.elapsed());
    let body = response
        .body()
        .limit(ANSWER_BYTES_MAX)
        .await
        .map_err(failed_outcome)?;
    if response.status().is_success() {
        return Ok(Outcome::Whole);
    }
    Err(rejection_outcome(response.status().as_u16(), &body))
}

async fn send_generation(
    client: &awc::Client,
    config: &Config,
    target: &Target,
    measurement: &mut Measurement,
) -> Result<Outcome, Outcome> {
    let arrival = Rc::clone(&measurement.arrival);
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
    let request = authorized_post(client, config, format!("{target}{path}"));
    let mut response = request.send_json(&body).await.map_err(failed_outcome)?;
    measurement.queue = Some(measurement.planned.elapsed());
    if !response.status().is_success() || !config.stream {
        let body = response
            .body()
            .limit(ANSWER_BYTES_MAX)
            .await
            .map_err(failed_outcome)?;
        if !response.status().is_success() {
            return Err(rejection_outcome(response.status().as_u16(), &body));
        }
        let event: Event = serde_json::from_slice(&body).map_err(failed_outcome)?;
        for choice in event.choices {
            measurement.record_text(&choice.into_text());
        }
        return Ok(measurement.verify_answer(config));
    }
    let mut decoder = EventDecoder::default();
    let mut has_finish_reason = false;
    while let Some(chunk) = response.next().await {
        decoder.push(&chunk.map_err(failed_outcome)?);
        while let Some(data) = decoder.next_data() {
            if data == "[DONE]" && has_finish_reason {
                return Ok(measurement.verify_answer(config));
            }
            let event: Event = serde_json::from_str(&data).map_err(failed_outcome)?;
            if event.error.is_some() {
                return Err(failed_outcome("error event in the stream"));
            }
            for choice in event.choices {
                has_finish_reason |= choice.finish_reason.is_some();
                measurement.record_text(&choice.into_text());
            }
        }
    }
    Err(failed_outcome("stream closed without an end"))
}

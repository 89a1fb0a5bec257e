use std::time::{Duration, Instant};

use awc::{Client, ClientRequest};
use clap::{Arg, ArgAction, ArgMatches, Command};
use futures_util::StreamExt;
use serde_json::{Value, json};

use super::imp::Result;
use crate::fleet::{self, CALLER_KEY, Fleet, MODEL, OPERATOR_KEY, SERVICE};

/// Timeout of one request.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

pub(super) fn command() -> Command {
    Command::new("demo")
        .about("Starts a complete deployment on loopback and sends three requests through it")
        .arg(
            Arg::new("keep")
                .long("keep")
                .help("Keeps the deployment running until interrupted, for use with curl")
                .action(ArgAction::SetTrue),
        )
}

pub(super) async fn run(args: &ArgMatches) -> Result<bool> {
    let mut fleet = fleet::spawn(fleet::Config::default()).await?;
    let entry = fleet.entries[0].address();
    println!(
        "{} entries, {} agents and their stand-ins are running; entry at http://{entry}",
        fleet.entries.len(),
        fleet.agents.len()
    );
    if args.get_flag("keep") {
        return keep_running(&fleet).await;
    }
    let succeeded = review(&fleet).await? && verdict(&fleet).await? && print(&fleet).await?;
    let status = fleet.status(0).await?;
    println!("\nsummary of {}: {}", status["process"], status["classes"]);
    let entries = std::mem::take(&mut fleet.entries);
    for process in entries.into_iter().chain(std::mem::take(&mut fleet.agents)) {
        let name = process.name().to_owned();
        let ended = process.stop().await?;
        if !ended.success() {
            return Err(format!("{name} did not stop gracefully: {ended}").into());
        }
    }
    println!("all processes stopped gracefully");
    Ok(succeeded)
}

fn post(fleet: &Fleet, path: &str) -> ClientRequest {
    let url = format!("http://{}{path}", fleet.entries[0].address());
    Client::builder()
        .timeout(RESPONSE_TIMEOUT)
        .finish()
        .post(url)
        .bearer_auth(CALLER_KEY)
}

async fn review(fleet: &Fleet) -> Result<bool> {
    let menu = "Review this menu for allergens: pastel de choclo, ensalada chilena. ".repeat(20);
    let body = json!({
        "model": MODEL, "prompt": menu, "max_tokens": 48,
        "stream": true, "service_tier": "review",
    });
    let started = Instant::now();
    let response = post(fleet, "/v1/completions").send_json(&body).await;
    let mut response = response.map_err(|error| error.to_string())?;
    let mut first = None;
    let mut text = Vec::new();
    while let Some(part) = response.next().await {
        first.get_or_insert_with(|| started.elapsed());
        text.extend_from_slice(&part?);
    }
    let events = String::from_utf8(text)?;
    let answer: String = events.lines().filter_map(event_text).collect();
    let complete = events.ends_with("data: [DONE]\n\n");
    println!("\nmenu review (streamed): {answer}");
    println!(
        "first token after {:?}, complete after {:?}",
        first.unwrap_or_default(),
        started.elapsed()
    );
    Ok(complete && !answer.is_empty())
}

fn event_text(line: &str) -> Option<String> {
    let event: Value = serde_json::from_str(line.strip_prefix("data: ")?).ok()?;
    Some(event["choices"][0]["text"].as_str()?.to_owned())
}

async fn verdict(fleet: &Fleet) -> Result<bool> {
    let body = json!({
        "model": MODEL, "max_tokens": 2, "service_tier": "verdict",
        "messages": [{ "role": "user", "content": "Is there a risk of contact with nuts?" }],
    });
    let response = post(fleet, "/v1/chat/completions").send_json(&body).await;
    let mut response = response.map_err(|error| error.to_string())?;
    let answer: Value = response.json().await?;
    println!("\nverdict: {}", answer["choices"][0]["message"]["content"]);
    Ok(answer["choices"][0]["finish_reason"].is_string())
}

async fn print(fleet: &Fleet) -> Result<bool> {
    let path = format!("/v1/services/{SERVICE}/print");
    let mut answers = Vec::new();
    // The second request with the same key receives the recorded response without another print.
    for _ in 0..2 {
        let request = post(fleet, &path).insert_header(("Idempotency-Key", "batch-0001"));
        let response = request.send_json(&json!({ "labels": 12 })).await;
        let mut response = response.map_err(|error| error.to_string())?;
        let body = response.body().await?;
        answers.push((response.status(), body));
    }
    let (status, body) = &answers[0];
    println!("\nprint order: {status} {}", String::from_utf8_lossy(body));
    println!(
        "same response for the same key: {}",
        answers[0] == answers[1]
    );
    Ok(status.is_success() && answers[0] == answers[1])
}

async fn keep_running(fleet: &Fleet) -> Result<bool> {
    let entry = fleet.entries[0].address();
    println!("\ntry:");
    println!(
        "  curl -N http://{entry}/v1/completions -H 'Authorization: Bearer {CALLER_KEY}' \\\n    \
         -d '{{\"model\":\"{MODEL}\",\"prompt\":\"Does it hold nuts?\",\"stream\":true}}'"
    );
    println!(
        "  MULBERRYMILL_OPERATOR_KEY={OPERATOR_KEY} target/debug/mulberrymill status \
         --entry {entry}"
    );
    println!(
        "\nrunning until interrupted; logs are in {}",
        fleet.folder().display()
    );
    tokio::signal::ctrl_c().await?;
    Ok(true)
}

use std::net::SocketAddr;

use awc::Client;
use mulberrymill::{store::Counts, wire};
use serde_json::{Value, json};

use super::Result;
use crate::fleet::OPERATOR_KEY;

/// Largest document that is read back.
const DOCUMENT_MAX_BYTES: usize = 4 << 20;

/// Reads the whole document through an entry.
pub(super) async fn read(entry: SocketAddr) -> Result<Value> {
    let url = format!("http://{entry}/operator/v1/config");
    let request = Client::default().get(url).bearer_auth(OPERATOR_KEY);
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    Ok(response.json().limit(DOCUMENT_MAX_BYTES).await?)
}

/// Replaces a section based on revision `base` through an entry; returns the revision of the edit.
pub(super) async fn put(entry: SocketAddr, section: &str, text: String, base: u64) -> Result<u64> {
    let url = format!("http://{entry}/operator/v1/config/{section}?base={base}&editor=capacity");
    let request = Client::default().put(url).bearer_auth(OPERATOR_KEY);
    let response = request.send_body(text).await;
    let mut response = response.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = response.body().await?;
    if !status.is_success() {
        return Err(format!(
            "the entry rejected the edit: {}",
            String::from_utf8_lossy(&body)
        )
        .into());
    }
    revision(&serde_json::from_slice::<Value>(&body)?["revision"])
}

/// Replaces a section based on its current revision.
pub(super) async fn replace(entry: SocketAddr, section: &str, text: String) -> Result<u64> {
    let current = read(entry).await?;
    let base = revision(&current["sections"][section]["revision"])?;
    put(entry, section, text, base).await
}

/// Converts a document to the form that entries and agents exchange.
pub(super) fn document(snapshot: &Value) -> Result<wire::Document> {
    let sections = snapshot["sections"]
        .as_object()
        .ok_or("the document has no sections")?;
    let text = |(name, part): (&String, &Value)| {
        let text = part["text"].as_str().unwrap_or_default();
        (name.clone(), text.to_owned())
    };
    Ok(wire::Document {
        revision: revision(&snapshot["revision"])?.to_string().parse()?,
        sections: sections.iter().map(text).collect(),
    })
}

/// Parses a revision, which is a JSON number or a decimal string.
pub(super) fn revision(value: &Value) -> Result<u64> {
    let text = value.as_str().and_then(|text| text.parse().ok());
    Ok(value
        .as_u64()
        .or(text)
        .ok_or("the revision is missing or not a number")?)
}

/// Calls counted by the store stand-in.
pub(super) async fn store_counts(store: SocketAddr) -> Result<Counts> {
    let request = Client::default().get(format!("http://{store}/count"));
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    Ok(response.json().await?)
}

/// Adds a live host to the host list.
pub(super) async fn add_host(hosts: SocketAddr, host: &str, zone: &str) -> Result<()> {
    let request = Client::default().post(format!("http://{hosts}/hosts/{host}"));
    let body = json!({ "state": "live", "zone": zone });
    let response = request.send_json(&body).await;
    let status = response.map_err(|error| error.to_string())?.status();
    if !status.is_success() {
        return Err(format!("the host list rejected host {host}: {status}").into());
    }
    Ok(())
}

/// Size of the host list response in bytes.
pub(super) async fn host_list_bytes(hosts: SocketAddr) -> Result<usize> {
    let request = Client::default().get(format!("http://{hosts}/hosts"));
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    Ok(response.body().await?.len())
}

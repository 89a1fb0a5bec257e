use std::net::SocketAddr;

use awc::Client;
use mulberrymill::{store::Counts, wire};
use serde_json::{Value, json};

use super::Result;
use crate::fleet::OPERATOR_KEY;

/// Largest document that is read back.
const DOCUMENT_MAX: usize = 4 << 20;

/// Reads the whole document through an entry.
pub(super) async fn read(entry: SocketAddr) -> Result<Value> {
    let url = format!("http://{entry}/operator/v1/config");
    let request = Client::default().get(url).bearer_auth(OPERATOR_KEY);
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    Ok(response.json().limit(DOCUMENT_MAX).await?)
}

/// Replaces a section through an entry and returns the revision of the edit.
pub(super) async fn put(entry: SocketAddr, section: &str, text: String, base: u64) -> Result<u64> {
    let url = format!("http://{entry}/operator/v1/config/{section}?base={base}&editor=capacity");
    let request = Client::default().put(url).bearer_auth(OPERATOR_KEY);
    let response = request.send_body(text).await;
    let mut response = response.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = response.body().await?;
    if !status.is_success() {
        return Err(format!("edit refused: {}", String::from_utf8_lossy(&body)).into());
    }
    number(&serde_json::from_slice::<Value>(&body)?["revision"])
}

/// Replaces a section whatever its present revision is.
pub(super) async fn replace(entry: SocketAddr, section: &str, text: String) -> Result<u64> {
    let present = read(entry).await?;
    let base = number(&present["sections"][section]["revision"])?;
    put(entry, section, text, base).await
}

/// The document as entries and agents send it to each other.
pub(super) fn document(snapshot: &Value) -> Result<wire::Document> {
    let sections = snapshot["sections"].as_object().ok_or("no sections")?;
    let text = |(name, part): (&String, &Value)| {
        let text = part["text"].as_str().unwrap_or_default();
        (name.clone(), text.to_owned())
    };
    Ok(wire::Document {
        revision: number(&snapshot["revision"])?.to_string().parse()?,
        sections: sections.iter().map(text).collect(),
    })
}

/// A revision, which JSON gives as a number or as text.
pub(super) fn number(value: &Value) -> Result<u64> {
    let text = value.as_str().and_then(|text| text.parse().ok());
    Ok(value.as_u64().or(text).ok_or("no number")?)
}

/// Calls that the store stand-in has counted.
pub(super) async fn counts(store: SocketAddr) -> Result<Counts> {
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
        return Err(format!("the host list refused a host: {status}").into());
    }
    Ok(())
}

/// Size of the host list in bytes.
pub(super) async fn host_list(hosts: SocketAddr) -> Result<usize> {
    let request = Client::default().get(format!("http://{hosts}/hosts"));
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    Ok(response.body().await?.len())
}

use std::{fmt, net::SocketAddr, time::Duration};

use awc::Client;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::Deserialize;

use super::Result;
use crate::{
    error::{Error, Kind},
    id::{Host, Zone},
};

/// Timeout of a request for the list.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the list. An entry has about 100 bytes, so ten thousand hosts fit.
const LIST_MAX_BYTES: usize = 1 << 20;

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: Host,
    /// Availability zone of the host.
    pub zone: Zone,
    /// State of the host, as the list gives it.
    pub state: HostState,
}

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// To be removed.
    Leaving,
}

/// Source of the platform's host list.
pub trait HostSource: fmt::Debug {
    /// Reads the list, which lags behind the actual state of the hosts. Fails with
    /// `Kind::EndpointFailed`.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>>>;
}

/// Client that reads the host list over HTTP.
#[derive(Clone)]
pub struct HostListClient {
    client: Client,
    address: SocketAddr,
}

impl fmt::Debug for HostListClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostListClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl HostListClient {
    /// Creates a client for the server at `address`. Connects on the first read.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self {
            client: Client::builder().timeout(REQUEST_TIMEOUT).finish(),
            address,
        }
    }

    async fn fetch(&self) -> Result<Vec<HostEntry>> {
        let failed = |error: String| {
            Error::new(Kind::EndpointFailed, "the host list cannot be read").with_source(error)
        };
        let url = format!("http://{}/hosts", self.address);
        let mut response = self
            .client
            .get(url)
            .send()
            .await
            .map_err(|error| failed(error.to_string()))?;
        let status = response.status();
        if !status.is_success() {
            return Err(failed(format!("the status is {status}")));
        }
        let list = response.json().limit(LIST_MAX_BYTES).await;
        list.map_err(|error| failed(error.to_string()))
    }
}

impl HostSource for HostListClient {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>>> {
        self.fetch().boxed_local()
    }
}

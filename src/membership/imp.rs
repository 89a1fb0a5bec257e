use std::{fmt, net::SocketAddr, time::Duration};

use awc::Client;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::Deserialize;

use super::Result;
use crate::{
    error::{Error, Kind},
    id::{Host, Zone},
};

/// Longest time for the list.
const LIMIT: Duration = Duration::from_secs(2);
/// Largest list; an entry takes about 100 bytes, so this is enough for ten thousand hosts.
const LIST_MAX: usize = 1 << 20;

/// A host of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Entry {
    /// The host.
    pub host: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it stays.
    #[serde(rename = "state")]
    pub standing: Standing,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It stays.
    Live,
    /// It will be taken away.
    Leaving,
}

/// The platform's list of hosts.
pub trait Hosts: fmt::Debug {
    /// Reads the list, which lags behind the hosts.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Entry>>>;
}

/// The list over HTTP.
#[derive(Clone)]
pub struct List {
    client: Client,
    address: SocketAddr,
}

impl fmt::Debug for List {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("List")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl List {
    /// A client of the list at `address`.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self {
            client: Client::builder().timeout(LIMIT).finish(),
            address,
        }
    }

    async fn fetch(&self) -> Result<Vec<Entry>> {
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
        let list = response.json().limit(LIST_MAX).await;
        list.map_err(|error| failed(error.to_string()))
    }
}

impl Hosts for List {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Entry>>> {
        self.fetch().boxed_local()
    }
}

//! Adapter of the users' platform: its names, formats and calls, without any decisions.
//!
//! Field and header names of the platform appear only here. They are decoded once into the types of
//! the other modules; where the platform's name is unclear, the receiving field is documented.

mod cloud;
mod codec;
mod connections;
mod engine;
mod ingress;
mod list;
mod names;
mod record;
mod store;
#[cfg(test)]
mod tests;

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

pub use cloud::Cloud;
pub use codec::Codec;
pub use engine::EndpointClient;
pub use ingress::Protocol;
pub use store::Store;

use crate::{
    clock,
    error::{Error, Kind},
    gateway::Adapter,
    unit::Bytes,
};

pub use crate::error::Result;

/// Time that the store holds a watch call for the entries of the other gateways. Links detect the
/// loss of a gateway, so this watch only has to find new ones, and each call is priced.
const GATEWAYS_WATCH_WAIT: Duration = Duration::from_secs(20);

/// Path of the settings file, which the platform fills in from the project's template. The platform
/// sets it in an environment variable.
///
/// # Errors
///
/// `Kind::BadRequest` if the variable is not set.
pub fn settings_file() -> Result<String> {
    std::env::var(names::SETTINGS_VARIABLE).map_err(|error| {
        let detail = format!("no settings file: {} is not set", names::SETTINGS_VARIABLE);
        Error::new(Kind::BadRequest, detail).with_source(error)
    })
}

/// Creates the adapter of the platform whose store listens at `store`. It follows the store again within
/// `recovery` after its open connections have gone silent, and holds up to `buffers` of the answers of
/// endpoints.
///
/// # Errors
///
/// Fails if a key of the platform is not a valid path, which is a bug in this module.
pub fn open(store: SocketAddr, recovery: Duration, buffers: Bytes) -> Result<Adapter> {
    let store = Store::new(store, clock::System::shared()).with_recovery(recovery);
    Ok(Adapter {
        gateways_store: Rc::new(store.clone().with_watch_wait(GATEWAYS_WATCH_WAIT)),
        store: Rc::new(store),
        endpoints_prefix: names::ENDPOINTS_PREFIX.parse()?,
        gateways_prefix: names::GATEWAYS_PREFIX.parse()?,
        plan_path: names::PLAN_KEY.parse()?,
        codec: Arc::new(Codec),
        protocol: Arc::new(Protocol::new(buffers)),
        duties_prefix: names::DUTIES_PREFIX.parse()?,
        open_api: |address, holder| Box::new(Cloud::new(address, holder.clone())),
    })
}

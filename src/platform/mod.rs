//! The users' platform: its names, formats and calls, and nothing that decides.
//!
//! Field and header names of the platform appear only here. They are decoded once into the types of
//! the slices; where a name says less than it holds, the field that receives it tells what it is.

mod codec;
mod engine;
mod ingress;
mod names;
mod record;
mod store;
#[cfg(test)]
mod tests;

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

pub use codec::Codec;
pub use engine::Engine;
pub use ingress::Protocol;
pub use store::Store;

use crate::{
    clock,
    error::{Error, Kind},
    gateway::Adapter,
};

pub use crate::error::Result;

/// Time that the store holds the watch of the other gateways. Links notice by themselves when a
/// gateway is gone, so this watch only has to tell of new ones, and each call is priced.
const GATEWAYS_WAIT: Duration = Duration::from_secs(20);

/// Path of the settings file that the platform fills in from the project's template.
///
/// # Errors
///
/// Fails if the platform names no file.
pub fn settings_file() -> Result<String> {
    std::env::var(names::SETTINGS_VARIABLE).map_err(|error| {
        let detail = format!("no settings file: {} is not set", names::SETTINGS_VARIABLE);
        Error::new(Kind::BadRequest, detail).with_source(error)
    })
}

/// Opens the platform whose store listens at `store`.
///
/// # Errors
///
/// Fails if a name of the platform is not valid in this program, which is a fault of this module.
pub fn open(store: SocketAddr) -> Result<Adapter> {
    let store = Store::open(store, clock::System::shared());
    Ok(Adapter {
        gateways_store: Rc::new(store.clone().watch_wait(GATEWAYS_WAIT)),
        store: Rc::new(store),
        endpoints_prefix: names::ENDPOINTS.parse()?,
        gateways_prefix: names::GATEWAYS.parse()?,
        plan_path: names::PLAN.parse()?,
        codec: Arc::new(Codec),
        protocol: Arc::new(Protocol),
    })
}

//! The users' platform: its names, formats and calls, and nothing that decides.
//!
//! Field and header names of the platform appear only here. They are decoded once into the types of
//! the slices; where a name says less than it holds, the field that receives it tells what it is.

mod codec;
mod engine;
mod ingress;
mod names;
mod store;
#[cfg(test)]
mod tests;

use std::{net::SocketAddr, rc::Rc, sync::Arc};

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
    Ok(Adapter {
        store: Rc::new(Store::open(store, clock::System::shared())),
        endpoints: names::ENDPOINTS.parse()?,
        plan: names::PLAN.parse()?,
        codec: Arc::new(Codec),
        protocol: Arc::new(Protocol),
    })
}

use std::{collections::BTreeMap, rc::Rc};

use serde::{Deserialize, Serialize};

use super::Result;
use crate::{
    error::{Error, Kind},
    id::Endpoint,
    store::{Path, Store, Txn, Write},
};

/// Prefix of the keys of the operators' intents, one per endpoint.
const ROOT: &str = "/mulberrymill/desired";

/// State that operators want an endpoint to be in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The endpoint takes no new work. Off by default.
    pub drain: bool,
}

/// Access to the operators' intents in the store. Caches nothing between calls.
///
/// An intent is kept in the store and not in the entry that received it, so that it outlives the
/// entry, and so that an entry without authority over the group can receive it too.
#[derive(Clone, Debug)]
pub struct Desired {
    store: Rc<dyn Store>,
}

impl Desired {
    /// Access to the intents in `store`.
    #[must_use]
    pub fn new(store: Rc<dyn Store>) -> Self {
        Self { store }
    }

    /// Replaces the intent for an endpoint. The call is idempotent.
    ///
    /// # Errors
    ///
    /// `Kind::StoreUnavailable` if the store does not confirm the write.
    pub async fn set(&self, endpoint: &Endpoint, intent: Intent) -> Result<()> {
        let path = ROOT.parse::<Path>()?.join(endpoint);
        let value = serde_json::to_vec(&intent)
            .map_err(|error| Error::new(Kind::Internal, "invalid intent").with_source(error))?;
        let write = Write::Put(path, value, None);
        let txn = Txn {
            compares: Vec::new(),
            writes: vec![write],
        };
        self.store.commit(txn).await.map(|_commit| ())
    }

    /// Reads all intents. Malformed ones are skipped.
    ///
    /// # Errors
    ///
    /// `Kind::StoreUnavailable` if the intents cannot be read.
    pub async fn read(&self) -> Result<BTreeMap<Endpoint, Intent>> {
        let range = self.store.range(ROOT.parse()?).await?;
        let intents = range.items.into_iter().filter_map(|item| {
            let name = item.path.as_str().strip_prefix(ROOT)?.strip_prefix('/')?;
            Some((
                name.parse().ok()?,
                serde_json::from_slice(&item.value).ok()?,
            ))
        });
        Ok(intents.collect())
    }
}

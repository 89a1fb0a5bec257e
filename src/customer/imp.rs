use std::{
    collections::{HashMap, hash_map::Entry},
    fmt,
    sync::Arc,
};

use sha2::{Digest, Sha256};

use super::Result;
use crate::{
    error::{Error, Kind},
    id::Caller,
};

/// SHA-256 of an API key. Lookups compare hashes, so their duration does not depend on how much of a key
/// is right.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key([u8; 32]);

impl Key {
    /// Hashes the text of a key.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Sha256::digest(text).into())
    }
}

impl fmt::Debug for Key {
    /// Omits the hash, from which a short key could be guessed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key").finish_non_exhaustive()
    }
}

/// A customer of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name, which endpoints receive.
    pub name: Caller,
    /// Priority rank of its requests, 0 is the most urgent; `None` for the rank of the route.
    pub rank: Option<u8>,
}

/// The customers of one plan, by API key.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Directory {
    /// `None` for a key that several customers list.
    owners: HashMap<Key, Option<Arc<Customer>>>,
}

impl Directory {
    /// Creates a directory. Of several customers with the same name, the first one counts, with the keys of
    /// all. A key that is listed for two names is logged, and neither of them owns it.
    #[must_use]
    pub fn new(customers: impl IntoIterator<Item = (Customer, Vec<Key>)>) -> Self {
        let mut directory = Self::default();
        let mut by_name: HashMap<Caller, Arc<Customer>> = HashMap::new();
        for (customer, keys) in customers {
            let customer = by_name
                .entry(customer.name.clone())
                .or_insert_with(|| Arc::new(customer));
            for key in keys {
                directory.insert(key, customer);
            }
        }
        directory
    }

    fn insert(&mut self, key: Key, customer: &Arc<Customer>) {
        match self.owners.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(Some(Arc::clone(customer)));
            }
            Entry::Occupied(mut entry) => {
                let owner = entry.get().as_ref().map(|owner| &owner.name);
                if owner == Some(&customer.name) {
                    return;
                }
                log::error!(customer:% = customer.name, other:? = owner.map(ToString::to_string);
                    "key is listed under two customers; neither of them has it");
                entry.insert(None);
            }
        }
    }

    /// The customer that owns a key.
    #[must_use]
    pub fn find(&self, key: &Key) -> Option<&Arc<Customer>> {
        self.owners.get(key)?.as_ref()
    }

    /// The customer that sends a request with this key. `None` is a request without a usable key. On a
    /// public route, a key that is missing or unknown is ignored.
    ///
    /// # Errors
    ///
    /// `Kind::Unauthenticated` if the route is not public, and the key is missing or unknown.
    pub fn authenticate(
        &self,
        key: Option<&Key>,
        is_public: bool,
    ) -> Result<Option<&Arc<Customer>>> {
        let owner = key.and_then(|key| self.find(key));
        if owner.is_some() || is_public {
            return Ok(owner);
        }
        let (reason, detail) = match key {
            None => ("missing", "send one bearer key"),
            Some(_) => ("unknown", "the bearer key is unknown"),
        };
        metrics::counter!("customer_rejections_total", "reason" => reason).increment(1);
        Err(Error::new(Kind::Unauthenticated, detail))
    }
}

impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Directory")
            .field("keys", &self.owners.len())
            .finish_non_exhaustive()
    }
}

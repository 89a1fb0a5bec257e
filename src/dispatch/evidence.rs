use std::time::Instant;

use crate::{
    directory::Listing,
    notice::{Closure, Standing},
};

/// What is known of an endpoint from which follows whether it may get requests. The choice of an endpoint
/// and the write of a request to it rely on the same evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// What the store lists of it.
    pub listing: Listing,
    /// What it said of itself in its answers.
    pub closure: Closure,
    /// While it is leaving: the last time at which the store did not list it as leaving yet, `None` if
    /// there is none. It may have announced its leave at any time since.
    pub stayed_until: Option<Instant>,
}

impl Evidence {
    /// Whether the endpoint may get new requests.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        match self.listing {
            Listing::Ready => self.closure.standing(now),
            Listing::Draining | Listing::Removed => Standing::Leaving,
        }
    }
}

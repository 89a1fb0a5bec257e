use std::{fmt, sync::Arc};

use actix::Message;

use crate::{config, id::Revision, link::Outbox, wire};

/// A peer reported its revision. The holder fetches the document if it is newer.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerRevision {
    /// Revision in force at the peer; 0 if none.
    pub revision: Revision,
    /// Connection on which the document is requested.
    pub outbox: Outbox,
}

/// A document from a peer, the store, or an accepted edit. Returns the revision in force
/// afterwards.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Revision")]
pub struct OfferDocument(pub wire::Document);

/// A peer requested a document newer than `have`. Without a newer one nothing is sent.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SendDocument {
    /// Revision in force at the peer; 0 if none.
    pub have: Revision,
    /// Connection on which the document is sent.
    pub outbox: Outbox,
}

/// Callback for each document that comes into force.
pub type Subscriber = Box<dyn Fn(&Arc<config::Document>) + Send>;

/// Adds a subscriber. It is called immediately if a document is already in force.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Subscriber);

impl fmt::Debug for Subscribe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Subscribe")
    }
}

use std::{fmt, sync::Arc};

use actix::Message;

use crate::{config, id::Revision, link::Outbox, wire};

/// A peer told its revision.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Observe {
    /// The revision that the peer has in force.
    pub revision: Revision,
    /// Where to ask for the document if it is newer.
    pub outbox: Outbox,
}

/// A document from a peer, the store, or an accepted edit. Answers with the revision in force
/// afterwards.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Revision")]
pub struct Offer(pub wire::Document);

/// A peer asks for a document newer than `have`.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Provide {
    /// The revision that the peer has.
    pub have: Revision,
    /// Where to send the document.
    pub outbox: Outbox,
}

/// Is told of a document that came into force.
pub type Subscriber = Box<dyn Fn(&Arc<config::Document>) + Send>;

/// Adds a subscriber. It is told of the document in force at once, if there is one.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Subscriber);

impl fmt::Debug for Subscribe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Subscribe")
    }
}

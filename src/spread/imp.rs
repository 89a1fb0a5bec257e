use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};

use actix::{Actor, Addr, AsyncContext, Context, Handler, MessageResult, SpawnHandle};
use tokio::sync::watch;

use super::{OfferDocument, PeerRevision, SendDocument, Subscribe, Subscriber};
use crate::{
    config::{self, Section},
    id::Revision,
    invariant::{self, Invariant},
    wire::{self, Fetch, Frame},
};

/// Timeout of a fetch, after which another peer may be asked. A fetch takes milliseconds, so a
/// later response is unlikely, and the next heartbeat of any other peer arrives within a second.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Current state of a holder, readable without a message to it.
#[derive(Clone, Debug)]
pub struct View {
    /// Revision in force; 0 if there is no document yet.
    pub revision: watch::Receiver<Revision>,
    /// Document in force; empty if there is none yet.
    pub document: watch::Receiver<Arc<config::Document>>,
}

/// Holds the document in force.
pub struct DocumentHolder {
    subscribers: Vec<Subscriber>,
    source: wire::Document,
    /// Highest revision that failed validation. It is not fetched again, because peers announce it
    /// with every heartbeat and the document has up to 1 MiB.
    rejected: Revision,
    revision: watch::Sender<Revision>,
    document: watch::Sender<Arc<config::Document>>,
    pending: Option<PendingFetch>,
}

/// A pending fetch. All peers announce an edit at nearly the same time; while a fetch is pending,
/// the same revision is not fetched from another peer.
struct PendingFetch {
    revision: Revision,
    timeout: SpawnHandle,
}

impl fmt::Debug for DocumentHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DocumentHolder")
            .field("revision", &self.source.revision)
            .finish_non_exhaustive()
    }
}

/// Starts the actor without a document.
#[must_use]
pub fn spawn() -> (Addr<DocumentHolder>, View) {
    let (revision, revision_view) = watch::channel(Revision::default());
    let (document, document_view) = watch::channel(Arc::default());
    let source = wire::Document {
        revision: Revision::default(),
        sections: BTreeMap::new(),
    };
    let holder = DocumentHolder {
        subscribers: Vec::new(),
        source,
        rejected: Revision::default(),
        revision,
        document,
        pending: None,
    };
    (
        holder.start(),
        View {
            revision: revision_view,
            document: document_view,
        },
    )
}

impl Actor for DocumentHolder {
    type Context = Context<Self>;
}

impl DocumentHolder {
    /// Records a fetch as pending until it times out. A pending fetch is replaced.
    fn track_fetch(&mut self, revision: Revision, ctx: &mut Context<Self>) {
        let timeout = ctx.run_later(FETCH_TIMEOUT, |holder, _ctx| holder.pending = None);
        let fetch = PendingFetch { revision, timeout };
        if let Some(replaced) = self.pending.replace(fetch) {
            ctx.cancel_future(replaced.timeout);
        }
    }

    fn in_force(&self) -> Revision {
        self.source.revision
    }

    /// Puts a document into force if it is newer and valid.
    ///
    /// Every edit is validated before it is accepted, so an invalid document comes from a newer
    /// version of the system. The process then keeps its document and logs an error.
    fn set_document(&mut self, offered: wire::Document) {
        let revision = offered.revision;
        if revision <= self.in_force() {
            return;
        }
        let document = match parse(&offered) {
            Ok(document) => Arc::new(document),
            Err(reason) => {
                log::error!(revision:% = revision, reason:% = reason;
                    "document is invalid; keeping the document in force");
                metrics::counter!("documents_rejected_total").increment(1);
                self.rejected = self.rejected.max(revision);
                return;
            }
        };
        let before = self.revision.send_replace(revision);
        invariant::check(Invariant::NoRevert, before < revision, || {
            format!("revision {revision} after {before}")
        });
        log::info!(revision:% = revision; "document is in force");
        metrics::gauge!("document_revision").set(as_f64(revision));
        self.source = offered;
        self.document.send_replace(Arc::clone(&document));
        for subscriber in &self.subscribers {
            subscriber(&document);
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are f64, which is exact up to 2^53 revisions"
)]
fn as_f64(revision: Revision) -> f64 {
    revision.get() as f64
}

fn parse(source: &wire::Document) -> Result<config::Document, String> {
    let mut sections = BTreeMap::new();
    for (name, text) in &source.sections {
        let section: Section = name
            .parse()
            .map_err(|_error| format!("unknown section {name}"))?;
        sections.insert(section, text.clone());
    }
    config::from_sections(source.revision, &sections).map_err(|faults| faults.to_string())
}

impl Handler<Subscribe> for DocumentHolder {
    type Result = ();

    fn handle(&mut self, Subscribe(subscriber): Subscribe, _ctx: &mut Self::Context) {
        if self.in_force() > Revision::default() {
            subscriber(&self.document.borrow());
        }
        self.subscribers.push(subscriber);
    }
}

impl Handler<PeerRevision> for DocumentHolder {
    type Result = ();

    fn handle(&mut self, msg: PeerRevision, ctx: &mut Self::Context) {
        let pending = self.pending.as_ref().map(|fetch| fetch.revision);
        let have = self.in_force();
        if msg.revision <= pending.unwrap_or_default().max(have).max(self.rejected) {
            return;
        }
        if msg.outbox.try_send(Frame::Fetch(Fetch { have })) {
            self.track_fetch(msg.revision, ctx);
        }
    }
}

impl Handler<OfferDocument> for DocumentHolder {
    type Result = MessageResult<OfferDocument>;

    fn handle(
        &mut self,
        OfferDocument(document): OfferDocument,
        _ctx: &mut Self::Context,
    ) -> Self::Result {
        self.set_document(document);
        MessageResult(self.in_force())
    }
}

impl Handler<SendDocument> for DocumentHolder {
    type Result = ();

    fn handle(&mut self, msg: SendDocument, _ctx: &mut Self::Context) {
        if self.in_force() > msg.have {
            msg.outbox.send(Frame::Document(self.source.clone()));
        }
    }
}

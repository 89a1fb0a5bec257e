use std::{collections::BTreeMap, fmt, rc::Rc, sync::Arc};

use actix::{Actor, Addr, Context, Handler, ResponseFuture};

use super::{
    Create, Drain, OutcomeCounts, Put, Read, RequestOutcome, Result, SectionText, Snapshot, Status,
    StatusReport, Tally,
};
use crate::{
    authority::{GetHeldGroups, GroupHolder, Holder as Authority, holders},
    config::{self, Section},
    edit::{Accepted, Check, Editor},
    error::{Error, Kind},
    id::{Class, Process, Revision},
    reconcile::{Desired, Intent},
    routing::{GetEndpointStatuses, Router},
    spread::{DocumentHolder, OfferDocument, View},
    store::Store,
    wire,
};

/// Dependencies of the [`Console`].
pub struct Config {
    /// Process name of the entry, returned in status reports.
    pub process: Process,
    /// Platform store with the document and the drain intents.
    pub store: Rc<dyn Store>,
    /// Receives accepted edits, applies them at this entry and distributes them.
    pub holder: Addr<DocumentHolder>,
    /// Reports the state of the endpoints.
    pub router: Addr<Router>,
    /// Reports the groups that the entry holds.
    pub authority: Addr<Authority>,
    /// Document and revision that the entry uses.
    pub view: View,
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config")
            .field("process", &self.process)
            .finish_non_exhaustive()
    }
}

/// Actor that handles the requests of operators and counts ended requests.
#[derive(Debug)]
pub struct Console {
    config: Config,
    editor: Editor,
    desired: Desired,
    classes: BTreeMap<Class, OutcomeCounts>,
}

/// Starts the console on the current actor system.
#[must_use]
pub fn spawn(config: Config) -> Addr<Console> {
    let editor = Editor::new(Rc::clone(&config.store), Rc::new(DocumentValidator));
    let desired = Desired::new(Rc::clone(&config.store));
    Console {
        config,
        editor,
        desired,
        classes: BTreeMap::new(),
    }
    .start()
}

/// Validates edits with the same checks as [`config::from_sections`].
#[derive(Clone, Copy, Debug)]
pub struct DocumentValidator;

impl Check for DocumentValidator {
    fn check(&self, sections: &BTreeMap<Section, String>) -> Result<()> {
        config::from_sections(Revision::default(), sections)
            .map(|_document| ())
            .map_err(|faults| Error::new(Kind::InvalidDocument, faults.to_string()))
    }
}

impl Actor for Console {
    type Context = Context<Self>;
}

/// Applies an accepted edit at this entry, which distributes it to others. It does not read the store
/// again, so the edit is distributed even if the store becomes unavailable right after the commit.
async fn apply(accepted: Accepted, holder: Addr<DocumentHolder>) -> Revision {
    let by_name = |(section, text): (Section, String)| (section.to_string(), text);
    let document = wire::Document {
        revision: accepted.document.revision,
        sections: accepted
            .document
            .sections
            .into_iter()
            .map(by_name)
            .collect(),
    };
    if holder.send(OfferDocument(document)).await.is_err() {
        log::warn!("the edit was stored, but the entry stopped before applying it");
    }
    accepted.revision
}

impl Handler<Read> for Console {
    type Result = ResponseFuture<Result<Snapshot>>;

    fn handle(&mut self, _msg: Read, _ctx: &mut Self::Context) -> Self::Result {
        let editor = self.editor.clone();
        Box::pin(async move {
            let read = editor.read().await?;
            let sections = read.sections.into_iter().map(|(section, part)| {
                let text = SectionText {
                    revision: part.revision,
                    editor: part.editor,
                    text: part.text,
                };
                (section.to_string(), text)
            });
            Ok(Snapshot {
                revision: read.revision,
                sections: sections.collect(),
            })
        })
    }
}

impl Handler<Put> for Console {
    type Result = ResponseFuture<Result<Revision>>;

    fn handle(&mut self, msg: Put, _ctx: &mut Self::Context) -> Self::Result {
        let editor = self.editor.clone();
        let holder = self.config.holder.clone();
        Box::pin(async move {
            let accepted = editor
                .put(msg.section, msg.text, msg.base, msg.editor)
                .await?;
            Ok(apply(accepted, holder).await)
        })
    }
}

impl Handler<Create> for Console {
    type Result = ResponseFuture<Result<Revision>>;

    fn handle(&mut self, msg: Create, _ctx: &mut Self::Context) -> Self::Result {
        let editor = self.editor.clone();
        let holder = self.config.holder.clone();
        Box::pin(async move {
            let sections = config::split_sections(&msg.text)
                .map_err(|faults| Error::new(Kind::InvalidDocument, faults.to_string()))?;
            let accepted = editor.create(sections, msg.editor).await?;
            Ok(apply(accepted, holder).await)
        })
    }
}

impl Handler<Drain> for Console {
    type Result = ResponseFuture<Result<()>>;

    fn handle(&mut self, msg: Drain, _ctx: &mut Self::Context) -> Self::Result {
        let document = Arc::clone(&self.config.view.document.borrow());
        let desired = self.desired.clone();
        Box::pin(async move {
            if document.revision == Revision::default() {
                let detail = "no document has been received yet";
                return Err(Error::new(Kind::NotReady, detail));
            }
            if !document.endpoints.contains_key(&msg.endpoint) {
                return Err(Error::new(Kind::NotFound, "there is no such endpoint"));
            }
            desired
                .set(&msg.endpoint, Intent { drain: msg.drain })
                .await
        })
    }
}

impl Handler<Status> for Console {
    type Result = ResponseFuture<Result<StatusReport>>;

    fn handle(&mut self, _msg: Status, _ctx: &mut Self::Context) -> Self::Result {
        let router = self.config.router.clone();
        let authority = self.config.authority.clone();
        let store = Rc::clone(&self.config.store);
        let process = self.config.process.clone();
        let revision = *self.config.view.revision.borrow();
        let classes = self.classes.clone();
        let stopping = |_error| Error::new(Kind::Leaving, "the entry is stopping");
        Box::pin(async move {
            let endpoints = router.send(GetEndpointStatuses).await.map_err(stopping)?;
            let held = authority.send(GetHeldGroups).await.map_err(stopping)?;
            let own_tenure = |(group, fence)| {
                (
                    group,
                    GroupHolder {
                        process: process.clone(),
                        fence,
                    },
                )
            };
            let authority = match holders(store.as_ref()).await {
                Ok(holders) => holders,
                Err(_unavailable) => held.into_iter().map(own_tenure).collect(),
            };
            Ok(StatusReport {
                process,
                revision,
                endpoints,
                authority,
                classes,
            })
        })
    }
}

impl Handler<Tally> for Console {
    type Result = ();

    fn handle(&mut self, msg: Tally, _ctx: &mut Self::Context) {
        let count = self.classes.entry(msg.class).or_default();
        match msg.verdict {
            RequestOutcome::Served => count.served += 1,
            RequestOutcome::Late => count.late += 1,
            RequestOutcome::Refused => count.refused += 1,
            RequestOutcome::Failed => count.failed += 1,
        }
    }
}

use std::{rc::Rc, sync::Arc};

use actix::Addr;
use rand::{SeedableRng, rngs::StdRng};

use super::*;
use crate::{
    authority,
    clock::System,
    config::Section,
    id::{Incarnation, Revision},
    reconcile::Desired,
    routing,
    spread::{self, View},
    store::{Faults, Memory},
};

const TEXT: &str = include_str!("../../examples/santiago.jsonc");
const DOWN: Faults = Faults {
    down: true,
    lose_answers: 0,
    delay: std::time::Duration::ZERO,
};

struct Rig {
    store: Memory,
    console: Addr<Console>,
    view: View,
}

fn rig() -> Rig {
    let store = Memory::new(System::shared());
    let shared: Rc<dyn crate::store::Store> = Rc::new(store.clone());
    let (holder, view) = spread::spawn();
    let router = routing::spawn(routing::Config::new(System::shared()));
    let adopting = router.clone();
    holder.do_send(spread::Subscribe(Box::new(move |document| {
        adopting.do_send(routing::Adopt(Arc::clone(document)));
    })));
    let process: crate::id::Process = "entry-1".parse().expect("valid name");
    let authority = authority::Holder::spawn(authority::Config {
        process: process.clone(),
        incarnation: Incarnation::random(&mut StdRng::seed_from_u64(1)),
        store: Rc::clone(&shared),
        clock: System::shared(),
    });
    let console = spawn(Config {
        process,
        store: shared,
        holder,
        router,
        authority: authority.address,
        view: view.clone(),
    });
    Rig {
        store,
        console,
        view,
    }
}

impl Rig {
    /// The answer to a message, as text.
    async fn ask<M, T>(&self, message: M) -> std::result::Result<T, String>
    where
        M: actix::Message<Result = Result<T>> + Send + 'static,
        T: Send + 'static,
        Console: actix::Handler<M>,
    {
        let answer = self.console.send(message).await.expect("a running console");
        answer.map_err(|error| format!("{}, executed {}", error.kind(), error.executed()))
    }

    async fn create(&self) -> std::result::Result<Revision, String> {
        let create = Create {
            text: TEXT.to_owned(),
            editor: "ana".parse().expect("valid name"),
        };
        self.ask(create).await
    }

    async fn put(&self, text: &str, base: Revision) -> std::result::Result<Revision, String> {
        let put = Put {
            section: Section::Limits,
            text: text.to_owned(),
            base,
            editor: "ben".parse().expect("valid name"),
        };
        self.ask(put).await
    }

    async fn drain(&self, endpoint: &str, drain: bool) -> std::result::Result<(), String> {
        let endpoint = endpoint.parse().expect("valid name");
        self.ask(Drain { endpoint, drain }).await
    }

    fn in_force(&self) -> Revision {
        *self.view.revision.borrow()
    }
}

const LIMITS: &str = r#"{ "body": "1KiB", "max_output": "8 tokens", "longest": "1min" }"#;

/// Guards against an edit that is accepted but not in force, that is in force but was refused, or
/// that waits for a store that goes down right after it was accepted.
#[actix::test]
async fn accepted_edits_are_in_force_at_once() {
    let rig = rig();
    let mut log = Vec::new();
    let base = rig.create().await.expect("an accepted document");
    log.push(format!("created: {:?}", rig.in_force() == base));
    log.push(format!("again: {:?}", rig.create().await));
    log.push(format!("invalid: {:?}", rig.put("{}", base).await));
    log.push(format!(
        "stale: {:?}",
        rig.put(LIMITS, Revision::default()).await
    ));
    log.push(format!("unchanged: {:?}", rig.in_force() == base));
    let edited = rig.put(LIMITS, base).await.expect("an accepted edit");
    rig.store.set_faults(DOWN);
    log.push(format!("edited: {:?}", rig.in_force() == edited));
    log.push(format!("limit: {}", rig.view.document.borrow().limits.body));
    log.push(format!("down: {:?}", rig.put(LIMITS, edited).await));
    log.push(format!("read: {:?}", rig.ask(Read).await.map(|_| ())));
    rig.store.set_faults(Faults::default());
    let read = rig.ask(Read).await.expect("a running store");
    let limits = &read.sections["limits"];
    log.push(format!("{} edited {}", limits.editor, limits.text));
    insta::assert_debug_snapshot!(log);
}

/// Guards against a drain of an endpoint that does not exist, against one that is confirmed but not
/// kept, and against an entry without a document that denies the existence of an endpoint.
#[actix::test]
async fn drains_are_kept_in_the_store() {
    let rig = rig();
    let mut log = vec![rig.drain("allergen-1", true).await];
    rig.create().await.expect("an accepted document");
    for (endpoint, drain) in [("x", true), ("allergen-1", true), ("allergen-2", true)] {
        log.push(rig.drain(endpoint, drain).await);
    }
    log.push(rig.drain("allergen-2", false).await);
    rig.store.set_faults(DOWN);
    log.push(rig.drain("allergen-3", true).await);
    let desired = Desired::new(Rc::new(rig.store.client()));
    let intents = desired.read().await.expect("a running store");
    insta::assert_debug_snapshot!((log, intents));
}

/// Guards against ended requests that are not counted or counted as another class or verdict.
#[actix::test]
async fn status_counts_ended_requests() {
    let rig = rig();
    rig.create().await.expect("an accepted document");
    for (class, verdict) in [
        ("verdict", Verdict::Served),
        ("verdict", Verdict::Served),
        ("verdict", Verdict::Late),
        ("review", Verdict::Refused),
        ("review", Verdict::Failed),
    ] {
        let class = class.parse().expect("valid name");
        rig.console.do_send(Tally { class, verdict });
    }
    let status = rig.ask(Status).await.expect("a running console");
    assert_eq!(
        status.endpoints.len(),
        rig.view.document.borrow().endpoints.len()
    );
    insta::assert_debug_snapshot!((status.process, status.classes, status.authority));
}

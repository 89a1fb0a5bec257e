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

const EXAMPLE: &str = include_str!("../../examples/santiago.jsonc");
const DOWN: Faults = Faults {
    down: true,
    lose_answers: 0,
    delay: std::time::Duration::ZERO,
};

struct TestConsole {
    store: Memory,
    console: Addr<Console>,
    view: View,
}

fn test_console() -> TestConsole {
    let store = Memory::new(System::shared());
    let shared: Rc<dyn crate::store::Store> = Rc::new(store.clone());
    let (holder, view) = spread::spawn();
    let router = routing::spawn(routing::Config::new(System::shared()));
    let subscriber = router.clone();
    holder.do_send(spread::Subscribe(Box::new(move |document| {
        subscriber.do_send(routing::SetDocument(Arc::clone(document)));
    })));
    let process: crate::id::Process = "entry-1".parse().expect("valid name");
    let authority = authority::Holder::spawn(authority::Config {
        process: process.clone(),
        incarnation: Incarnation::random(&mut StdRng::seed_from_u64(1)),
        store: Rc::clone(&shared),
        clock: System::shared(),
        timing: authority::Timing::default(),
    });
    let console = spawn(Config {
        process,
        store: shared,
        holder,
        router,
        authority: authority.address,
        view: view.clone(),
    });
    TestConsole {
        store,
        console,
        view,
    }
}

impl TestConsole {
    /// Sends a message to the console and formats the error of its result, if any.
    async fn send<M, T>(&self, message: M) -> std::result::Result<T, String>
    where
        M: actix::Message<Result = Result<T>> + Send + 'static,
        T: Send + 'static,
        Console: actix::Handler<M>,
    {
        let result = self.console.send(message).await.expect("a running console");
        result.map_err(|error| format!("{}, executed {}", error.kind(), error.executed()))
    }

    async fn create(&self) -> std::result::Result<Revision, String> {
        let create = Create {
            text: EXAMPLE.to_owned(),
            editor: "ana".parse().expect("valid name"),
        };
        self.send(create).await
    }

    async fn put(&self, text: &str, base: Revision) -> std::result::Result<Revision, String> {
        let put = Put {
            section: Section::Limits,
            text: text.to_owned(),
            base,
            editor: "ben".parse().expect("valid name"),
        };
        self.send(put).await
    }

    async fn drain(&self, endpoint: &str, drain: bool) -> std::result::Result<(), String> {
        let endpoint = endpoint.parse().expect("valid name");
        self.send(Drain { endpoint, drain }).await
    }

    fn applied_revision(&self) -> Revision {
        *self.view.revision.borrow()
    }
}

const NEW_LIMITS: &str = r#"{ "body": "1KiB", "max_output": "8 tokens", "longest": "1min" }"#;

/// Checks that the entry uses an edit as soon as it is accepted, even if the store becomes unavailable
/// right after that, and does not use a refused edit.
#[actix::test]
async fn accepted_edits_are_applied_immediately() {
    let test = test_console();
    let mut log = Vec::new();
    let base = test.create().await.expect("an accepted document");
    log.push(format!("created: {:?}", test.applied_revision() == base));
    log.push(format!("again: {:?}", test.create().await));
    log.push(format!("invalid: {:?}", test.put("{}", base).await));
    log.push(format!(
        "stale: {:?}",
        test.put(NEW_LIMITS, Revision::default()).await
    ));
    log.push(format!("unchanged: {:?}", test.applied_revision() == base));
    let edited = test.put(NEW_LIMITS, base).await.expect("an accepted edit");
    test.store.set_faults(DOWN);
    log.push(format!("edited: {:?}", test.applied_revision() == edited));
    log.push(format!(
        "limit: {}",
        test.view.document.borrow().limits.body
    ));
    log.push(format!("down: {:?}", test.put(NEW_LIMITS, edited).await));
    log.push(format!("read: {:?}", test.send(Read).await.map(|_| ())));
    test.store.set_faults(Faults::default());
    let read = test.send(Read).await.expect("a running store");
    let limits = &read.sections["limits"];
    log.push(format!("{} edited {}", limits.editor, limits.text));
    insta::assert_debug_snapshot!(log);
}

/// Checks that a confirmed drain is stored, that an unknown endpoint is reported as not found, and that
/// an entry without a document reports that it is not ready instead.
#[actix::test]
async fn drain_intents_are_stored() {
    let test = test_console();
    let mut log = vec![test.drain("allergen-1", true).await];
    test.create().await.expect("an accepted document");
    for (endpoint, drain) in [("x", true), ("allergen-1", true), ("allergen-2", true)] {
        log.push(test.drain(endpoint, drain).await);
    }
    log.push(test.drain("allergen-2", false).await);
    test.store.set_faults(DOWN);
    log.push(test.drain("allergen-3", true).await);
    let desired = Desired::new(Rc::new(test.store.client()));
    let intents = desired.read().await.expect("a running store");
    insta::assert_debug_snapshot!((log, intents));
}

/// Checks that each ended request is counted under its own class and outcome.
#[actix::test]
async fn status_counts_ended_requests() {
    let test = test_console();
    test.create().await.expect("an accepted document");
    for (class, verdict) in [
        ("verdict", RequestOutcome::Served),
        ("verdict", RequestOutcome::Served),
        ("verdict", RequestOutcome::Late),
        ("review", RequestOutcome::Refused),
        ("review", RequestOutcome::Failed),
    ] {
        let class = class.parse().expect("valid name");
        test.console.do_send(Tally { class, verdict });
    }
    let status = test.send(Status).await.expect("a running console");
    assert_eq!(
        status.endpoints.len(),
        test.view.document.borrow().endpoints.len()
    );
    insta::assert_debug_snapshot!((status.process, status.classes, status.authority));
}

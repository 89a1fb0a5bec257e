use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use futures_util::{StreamExt, future};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time;

use super::{envelope::Envelope, *};
use crate::{
    clock::System,
    config::Section,
    error::{Error, Executed, Kind},
    id::{self, Revision},
    store::{Change, Faults, Memory, Reader},
    testing::seeds,
};

/// Default seeds of the randomized test.
const SEEDS: std::ops::Range<u64> = 0..60;
const DOWN: Faults = Faults {
    down: true,
    lose_answers: 0,
    delay: Duration::ZERO,
};
const LOSE_ONE_RESPONSE: Faults = Faults {
    down: false,
    lose_answers: 1,
    delay: Duration::ZERO,
};

/// Accepts every text except `bad`. It first runs a hook once, which lets a test act between the read
/// and the commit of an edit.
struct CheckWithHook(RefCell<Option<Box<dyn FnOnce()>>>);

impl std::fmt::Debug for CheckWithHook {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CheckWithHook")
    }
}

impl Check for CheckWithHook {
    fn check(&self, sections: &BTreeMap<Section, String>) -> Result<()> {
        if let Some(hook) = self.0.take() {
            hook();
        }
        if sections.values().any(|text| text == "bad") {
            return Err(Error::new(Kind::InvalidDocument, "bad section"));
        }
        Ok(())
    }
}

fn editor(store: &Memory, hook: Option<Box<dyn FnOnce()>>) -> Editor {
    Editor::new(
        Rc::new(store.clone()),
        Rc::new(CheckWithHook(RefCell::new(hook))),
    )
}

fn name(text: &str) -> id::Editor {
    text.parse().expect("valid name")
}

async fn put(editor: &Editor, section: Section, text: &str, base: u64) -> String {
    let base = Revision::new(base);
    match editor
        .put(section, text.to_owned(), base, name("ana"))
        .await
    {
        Ok(accepted) => format!("accepted {}", accepted.revision),
        Err(error) => format!("{error} ({})", error.executed()),
    }
}

/// Returns a hook that edits a section through another connection.
fn concurrent_edit(store: &Memory, section: Section) -> Box<dyn FnOnce()> {
    let other = editor(&store.client(), None);
    Box::new(move || {
        let edit = other.put(section, "theirs".into(), Revision::default(), name("bob"));
        futures_util::FutureExt::now_or_never(edit)
            .expect("no wait")
            .expect("accepted");
    })
}

/// Returns a hook that sets the faults of the store.
fn inject_faults(store: &Memory, faults: Faults) -> Box<dyn FnOnce()> {
    let store = store.clone();
    Box::new(move || store.set_faults(faults))
}

/// Checks that of two concurrent edits of a section one fails with a conflict, and that concurrent
/// edits of different sections both succeed.
#[tokio::test(start_paused = true)]
async fn concurrent_edits_conflict_only_within_a_section() {
    let mut seen = Vec::new();
    for section in [Section::Models, Section::Classes] {
        let store = Memory::new(System::shared());
        let editor = editor(&store, Some(concurrent_edit(&store, section)));
        seen.push(put(&editor, Section::Models, "mine", 0).await);
        seen.push(format!("{:?}", editor.read().await));
    }
    let store = Memory::new(System::shared());
    seen.push(put(&editor(&store, None), Section::Models, "bad", 0).await);
    seen.push(put(&editor(&store, None), Section::Models, "mine", 7).await);
    insta::assert_debug_snapshot!(seen);
}

/// Checks that an edit during an outage, with a lost response or with a slow store reports whether it
/// was applied.
#[tokio::test(start_paused = true)]
async fn store_faults_report_the_outcome() -> Result<()> {
    let mut seen = Vec::new();
    let slow = Faults {
        delay: Duration::from_secs(3),
        ..Faults::default()
    };
    for (fault, faults) in [
        ("down", DOWN),
        ("lost answer", LOSE_ONE_RESPONSE),
        ("slow", slow),
    ] {
        let store = Memory::new(System::shared());
        let editor = editor(&store, Some(inject_faults(&store, faults)));
        let result = put(&editor, Section::Models, "mine", 0).await;
        store.set_faults(Faults::default());
        let sections = editor.read().await?.sections.len();
        seen.push(format!("{fault}: {result}, sections {sections}"));
    }
    let store = Memory::new(System::shared());
    store.set_faults(DOWN);
    seen.push(put(&editor(&store, None), Section::Models, "mine", 0).await);
    insta::assert_debug_snapshot!(seen);
    Ok(())
}

/// Checks that after a lost response followed by an outage of the store, an edit is reported as
/// accepted once the store is back, and as unsettled, not as refused, if the outage lasts too long.
#[tokio::test(start_paused = true)]
async fn outages_after_lost_responses_are_retried() -> Result<()> {
    let mut seen = Vec::new();
    for duration in [Duration::from_secs(1), Duration::from_mins(1)] {
        let store = Memory::new(System::shared());
        let editor = editor(&store, Some(inject_faults(&store, LOSE_ONE_RESPONSE)));
        let outage = async {
            while store.faults() != Faults::default() || store.counts().writes == 0 {
                time::sleep(Duration::from_millis(1)).await;
            }
            store.set_faults(DOWN);
            time::sleep(duration).await;
            store.set_faults(Faults::default());
        };
        let (result, ()) = tokio::join!(put(&editor, Section::Models, "mine", 0), outage);
        seen.push(result);
    }
    insta::assert_debug_snapshot!(seen);
    Ok(())
}

type Outcome = (Section, String, std::result::Result<Revision, Executed>);

async fn random_edits(store: Memory, number: u64, seed: u64) -> Vec<Outcome> {
    let mut rng = StdRng::seed_from_u64(seed * 100 + number);
    let editor = editor(&store, None);
    let mut outcomes = Vec::new();
    for edit in 0..12 {
        store.set_faults(Faults {
            down: rng.random_bool(0.1),
            lose_answers: u32::from(rng.random_bool(0.3)),
            delay: Duration::from_millis(rng.random_range(0..2_600)),
        });
        let section = Section::ALL[rng.random_range(0..2)];
        let text = format!("{number}/{edit}");
        let Ok(snapshot) = editor.read().await else {
            time::sleep(Duration::from_millis(rng.random_range(0..500))).await;
            continue;
        };
        let base = snapshot
            .sections
            .get(&section)
            .map(|stored| stored.revision);
        let writer = name(&format!("editor-{number}"));
        let result = editor
            .put(section, text.clone(), base.unwrap_or_default(), writer)
            .await;
        let result = result.map(|accepted| accepted.revision);
        outcomes.push((section, text, result.map_err(|error| error.executed())));
    }
    outcomes
}

/// Reads all applied edits by section, in the order of their revisions.
async fn history(store: &Memory) -> Result<BTreeMap<Section, Vec<(Revision, Envelope)>>> {
    let mut edits: BTreeMap<Section, Vec<(Revision, Envelope)>> = BTreeMap::new();
    let root = "/mulberrymill/config/".parse()?;
    let batch = store
        .watch(root, Revision::new(1).into())
        .await?
        .next()
        .await;
    for event in batch.expect("a batch")? {
        let name = event.path.as_str().rsplit('/').next().unwrap_or_default();
        let Change::Put(value) = event.change else {
            panic!("a section was deleted")
        };
        let edit = (event.revision, Envelope::decode(&value)?);
        edits.entry(name.parse()?).or_default().push(edit);
    }
    Ok(edits)
}

/// Four editors edit two sections with random store faults. Checks that no accepted edit is lost or
/// overwritten by an editor that had not read it, and that an edit that was reported as not executed
/// was not applied.
#[tokio::test(start_paused = true)]
async fn random_edits_are_applied_as_reported() -> Result<()> {
    let mut accepted = 0;
    for seed in seeds(SEEDS) {
        let store = Memory::new(System::shared());
        let editors = (0..4).map(|number| random_edits(store.client(), number, seed));
        let outcomes = future::join_all(editors).await.concat();
        let history = history(&store).await?;
        for edits in history.values() {
            let mut last = Revision::default();
            for (revision, edit) in edits {
                assert_eq!(
                    edit.base, last,
                    "seed {seed}: {edit:?} replaced an unseen edit"
                );
                last = *revision;
            }
        }
        for (section, text, result) in outcomes {
            let edits = history.get(&section).map_or(&[][..], Vec::as_slice);
            let found: Vec<Revision> = edits
                .iter()
                .filter(|(_, edit)| edit.text == text)
                .map(|(revision, _)| *revision)
                .collect();
            assert!(found.len() <= 1, "seed {seed}: {text} took effect twice");
            match result {
                Ok(revision) => assert_eq!(found, [revision], "seed {seed}: {text}"),
                Err(Executed::No) => assert!(found.is_empty(), "seed {seed}: {text}"),
                Err(executed) => assert_eq!(executed, Executed::Unknown),
            }
            accepted += usize::from(result.is_ok());
        }
    }
    assert!(accepted > 100, "only {accepted} edits were accepted");
    Ok(())
}

proptest! {
    /// Checks that arbitrary bytes in the store cause an error and no panic.
    #[test]
    fn malformed_envelopes_are_errors(value in proptest::collection::vec(any::<u8>(), 0..80)) {
        prop_assert!(Envelope::decode(&value).is_err());
    }
}

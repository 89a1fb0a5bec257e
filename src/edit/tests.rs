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

/// Seeds of the randomized runs.
const SEEDS: std::ops::Range<u64> = 0..60;
const DOWN: Faults = Faults {
    down: true,
    lose_answers: 0,
    delay: Duration::ZERO,
};
const LOSE: Faults = Faults {
    down: false,
    lose_answers: 1,
    delay: Duration::ZERO,
};

/// Accepts every text but `bad`, and runs a hook first, by which a test acts between the read and
/// the commit of an edit.
struct Hook(RefCell<Option<Box<dyn FnOnce()>>>);

impl std::fmt::Debug for Hook {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Hook")
    }
}

impl Check for Hook {
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
    Editor::new(Rc::new(store.clone()), Rc::new(Hook(RefCell::new(hook))))
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

/// A hook that writes a section through another connection.
fn rival(store: &Memory, section: Section) -> Box<dyn FnOnce()> {
    let other = editor(&store.client(), None);
    Box::new(move || {
        let edit = other.put(section, "theirs".into(), Revision::default(), name("bob"));
        futures_util::FutureExt::now_or_never(edit)
            .expect("no wait")
            .expect("accepted");
    })
}

/// A hook that sets a fault.
fn fault(store: &Memory, faults: Faults) -> Box<dyn FnOnce()> {
    let store = store.clone();
    Box::new(move || store.set_faults(faults))
}

/// Guards against a silent overwrite in a race, and against a conflict between sections.
#[tokio::test(start_paused = true)]
async fn races_have_one_winner_per_section() {
    let mut seen = Vec::new();
    for section in [Section::Models, Section::Classes] {
        let store = Memory::new(System::shared());
        let editor = editor(&store, Some(rival(&store, section)));
        seen.push(put(&editor, Section::Models, "mine", 0).await);
        seen.push(format!("{:?}", editor.read().await));
    }
    let store = Memory::new(System::shared());
    seen.push(put(&editor(&store, None), Section::Models, "bad", 0).await);
    seen.push(put(&editor(&store, None), Section::Models, "mine", 7).await);
    insta::assert_debug_snapshot!(seen);
}

/// Guards against an outage or a lost answer that reports the wrong outcome of an edit.
#[tokio::test(start_paused = true)]
async fn faults_tell_the_outcome() -> Result<()> {
    let mut seen = Vec::new();
    let slow = Faults {
        delay: Duration::from_secs(3),
        ..Faults::default()
    };
    for (place, faults) in [("down", DOWN), ("lost answer", LOSE), ("slow", slow)] {
        let store = Memory::new(System::shared());
        let editor = editor(&store, Some(fault(&store, faults)));
        let result = put(&editor, Section::Models, "mine", 0).await;
        store.set_faults(Faults::default());
        let sections = editor.read().await?.sections.len();
        seen.push(format!("{place}: {result}, sections {sections}"));
    }
    let store = Memory::new(System::shared());
    store.set_faults(DOWN);
    seen.push(put(&editor(&store, None), Section::Models, "mine", 0).await);
    insta::assert_debug_snapshot!(seen);
    Ok(())
}

/// Guards against an edit whose answer was lost and that is reported as refused while the store is
/// away, or as accepted when another edit came instead of it.
#[tokio::test(start_paused = true)]
async fn lost_answers_are_settled() -> Result<()> {
    let mut seen = Vec::new();
    for outage in [Duration::from_secs(1), Duration::from_mins(1)] {
        let store = Memory::new(System::shared());
        let editor = editor(&store, Some(fault(&store, LOSE)));
        let away = async {
            while store.faults() != Faults::default() || store.counts().writes == 0 {
                time::sleep(Duration::from_millis(1)).await;
            }
            store.set_faults(DOWN);
            time::sleep(outage).await;
            store.set_faults(Faults::default());
        };
        let (result, ()) = tokio::join!(put(&editor, Section::Models, "mine", 0), away);
        seen.push(result);
    }
    insta::assert_debug_snapshot!(seen);
    Ok(())
}

type Outcome = (Section, String, std::result::Result<Revision, Executed>);

async fn edit_at_random(store: Memory, number: u64, seed: u64) -> Vec<Outcome> {
    let mut rng = StdRng::seed_from_u64(seed * 100 + number);
    let editor = editor(&store, None);
    let mut outcomes = Vec::new();
    for round in 0..12 {
        store.set_faults(Faults {
            down: rng.random_bool(0.1),
            lose_answers: u32::from(rng.random_bool(0.3)),
            delay: Duration::from_millis(rng.random_range(0..2_600)),
        });
        let section = Section::ALL[rng.random_range(0..2)];
        let text = format!("{number}/{round}");
        let Ok(snapshot) = editor.read().await else {
            time::sleep(Duration::from_millis(rng.random_range(0..500))).await;
            continue;
        };
        let base = snapshot.sections.get(&section).map(|part| part.revision);
        let writer = name(&format!("editor-{number}"));
        let result = editor
            .put(section, text.clone(), base.unwrap_or_default(), writer)
            .await;
        let result = result.map(|accepted| accepted.revision);
        outcomes.push((section, text, result.map_err(|error| error.executed())));
    }
    outcomes
}

/// All edits that took effect, by section, in order.
async fn history(store: &Memory) -> Result<BTreeMap<Section, Vec<(Revision, Envelope)>>> {
    let mut edits: BTreeMap<Section, Vec<(Revision, Envelope)>> = BTreeMap::new();
    let root = "/mulberrymill/config/".parse()?;
    let batch = store.watch(root, Revision::new(1)).await?.next().await;
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

/// Guards against an accepted edit that is lost or overwritten by an editor who had not seen it,
/// and against an edit that took effect although its editor was told that it did not.
#[tokio::test(start_paused = true)]
async fn no_accepted_edit_is_lost() -> Result<()> {
    let mut accepted = 0;
    for seed in seeds(SEEDS) {
        let store = Memory::new(System::shared());
        let editors = (0..4).map(|number| edit_at_random(store.client(), number, seed));
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
    /// Guards against a value in the store that makes the decoder panic.
    #[test]
    fn malformed_envelopes_are_errors(value in proptest::collection::vec(any::<u8>(), 0..80)) {
        prop_assert!(Envelope::decode(&value).is_err());
    }
}

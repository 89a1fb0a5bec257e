use std::{collections::BTreeMap, fmt, rc::Rc, time::Duration};

use tokio::time;

use super::{Result, envelope::Envelope};
use crate::{
    config::Section,
    error::{Error, Executed, Kind},
    id::{self, Edit, Revision},
    invariant::{self, Invariant},
    store::{Compare, Item, Path, Store, Txn, Write},
};

/// Prefix of the store keys of all sections.
const SECTIONS_KEY: &str = "/mulberrymill/config";
/// Maximum number of attempts per edit. With the backoff below, an edit is retried for 11 s, which
/// outlasts a short outage of the store and is about as long as an operator waits.
const ATTEMPTS_MAX: u32 = 8;
/// Delay before the first retry of an edit with unknown outcome; doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Maximum delay between two attempts.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Validates a whole document.
pub trait Check: fmt::Debug {
    /// Validates the texts of all sections, alone and together.
    ///
    /// # Errors
    ///
    /// `Kind::InvalidDocument` with the faults.
    fn check(&self, sections: &BTreeMap<Section, String>) -> Result<()>;
}

/// A section and its last edit, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSection {
    /// JSON text with comments.
    pub text: String,
    /// Store revision of its last edit, the base of the next one.
    pub revision: Revision,
    /// Editor that made the last edit.
    pub editor: id::Editor,
}

/// The document as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Highest revision of the sections; 0 if no section exists.
    pub revision: Revision,
    /// Sections that exist in the store.
    pub sections: BTreeMap<Section, StoredSection>,
}

/// An edit that was applied to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Revision that the edit gave to the section and to the document.
    pub revision: Revision,
    /// The document including the edit, so that it can be applied without another read.
    pub document: SectionTexts,
}

/// A document as the texts of its sections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SectionTexts {
    /// Revision of the document.
    pub revision: Revision,
    /// Text of each section that exists.
    pub sections: BTreeMap<Section, String>,
}

impl SectionTexts {
    fn from_sections(sections: &Sections) -> Self {
        let revision = sections.values().map(|stored| stored.revision).max();
        let texts = sections
            .iter()
            .map(|(section, stored)| (*section, stored.envelope.text.clone()));
        Self {
            revision: revision.unwrap_or_default(),
            sections: texts.collect(),
        }
    }
}

/// Reads and edits the document in the store. It has no state between calls.
#[derive(Clone, Debug)]
pub struct Editor {
    store: Rc<dyn Store>,
    check: Rc<dyn Check>,
}

#[derive(Clone, Debug)]
struct SectionEntry {
    envelope: Envelope,
    revision: Revision,
}

type Sections = BTreeMap<Section, SectionEntry>;

/// State of an edit according to the sections in the store.
enum EditState {
    /// The edit was applied at this revision.
    Applied(Revision),
    /// The section still has the base revision, so the edit can be applied.
    Pending,
    /// Another edit replaced the base revision, so this edit was not and cannot be applied.
    Conflict(Error),
    /// Several edits followed the base revision, and this edit may be one of them.
    Unknown,
}

impl Editor {
    /// Creates an editor for the document in `store` that validates edits with `check`.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, check: Rc<dyn Check>) -> Self {
        Self { store, check }
    }

    /// Reads all sections of the document.
    ///
    /// # Errors
    ///
    /// `Kind::StoreUnavailable`, or `Kind::Internal` for a malformed value in the store.
    pub async fn read(&self) -> Result<Snapshot> {
        let sections = self.fetch().await?.into_iter().map(|(section, stored)| {
            let stored = StoredSection {
                text: stored.envelope.text,
                revision: stored.revision,
                editor: stored.envelope.editor,
            };
            (section, stored)
        });
        let sections: BTreeMap<Section, StoredSection> = sections.collect();
        let revision = sections.values().map(|stored| stored.revision).max();
        Ok(Snapshot {
            revision: revision.unwrap_or_default(),
            sections,
        })
    }

    /// Replaces a section whose last edit has the revision `base`, or creates it if `base` is 0.
    ///
    /// # Errors
    ///
    /// `Kind::EditConflict` if the section was changed since, with the revision and the editor of
    /// that change, or if other sections changed during every attempt;
    /// `Kind::InvalidDocument` with the faults; `Kind::TooLarge`; `Kind::StoreUnavailable` if nothing
    /// was written; `Kind::Unsettled` with `executed: unknown` if the response of the store was lost
    /// and the outcome could not be determined.
    pub async fn put(
        &self,
        section: Section,
        text: String,
        base: Revision,
        editor: id::Editor,
    ) -> Result<Accepted> {
        let edit = Edit::random(&mut rand::rng());
        let envelope = Envelope {
            editor,
            edit,
            base,
            text,
        };
        let mut outcome_unknown = false;
        let mut compared = None;
        let mut delay = BACKOFF_MIN;
        for attempt in 0..ATTEMPTS_MAX {
            if attempt > 0 && compared.is_none() {
                time::sleep(delay).await;
                delay = (delay * 2).min(BACKOFF_MAX);
            }
            let result = match compared.take() {
                Some(sections) => Ok(sections),
                None => self.fetch().await,
            };
            let commit = match result {
                Ok(sections) => match edit_state(&sections, section, &envelope, outcome_unknown) {
                    EditState::Applied(revision) => {
                        return Ok(accepted(
                            revision,
                            base,
                            SectionTexts::from_sections(&sections),
                        ));
                    }
                    EditState::Conflict(error) => return Err(error),
                    EditState::Unknown => return Err(unsettled()),
                    EditState::Pending => self.try_commit(section, &envelope, &sections).await,
                },
                Err(error) if outcome_unknown => Err(error.with_executed(Executed::Unknown)),
                Err(error) => Err(error.with_executed(Executed::No)),
            };
            match commit {
                Ok(CommitResult::Applied(texts)) => {
                    return Ok(accepted(texts.revision, base, texts));
                }
                Ok(CommitResult::Changed(sections)) => compared = Some(sections),
                Err(error) if error.kind() != Kind::StoreUnavailable => return Err(error),
                Err(error) if error.executed() == Executed::No && !outcome_unknown => {
                    return Err(error);
                }
                Err(error) => outcome_unknown |= error.executed() != Executed::No,
            }
        }
        if outcome_unknown {
            return Err(unsettled());
        }
        let detail = "other sections changed during every try";
        Err(Error::new(Kind::EditConflict, detail))
    }

    /// Creates the document by writing all sections in one transaction.
    ///
    /// The sections refer to each other, so none of them would be valid without the others.
    ///
    /// # Errors
    ///
    /// `Kind::EditConflict` if any section exists; `Kind::InvalidDocument` with the faults;
    /// `Kind::StoreUnavailable`, with `executed: unknown` if the response of the store was lost. In
    /// that case, a conflict on the next attempt shows that the first one was applied.
    pub async fn create(
        &self,
        sections: BTreeMap<Section, String>,
        editor: id::Editor,
    ) -> Result<Accepted> {
        self.check.check(&sections)?;
        let parent = sections_path()?;
        let mut txn = Txn::default();
        for (section, text) in &sections {
            let envelope = Envelope {
                editor: editor.clone(),
                edit: Edit::random(&mut rand::rng()),
                base: Revision::default(),
                text: text.clone(),
            };
            let path = parent.join(section);
            txn.compares.push(Compare::Absent(path.clone()));
            txn.writes.push(Write::Put(path, envelope.encode()?, None));
        }
        let commit = self.store.commit(txn).await?;
        if !commit.succeeded {
            return Err(Error::new(Kind::EditConflict, "the document exists"));
        }
        let revision = commit.revision;
        let document = SectionTexts { revision, sections };
        Ok(accepted(revision, Revision::default(), document))
    }

    async fn fetch(&self) -> Result<Sections> {
        let range = self.store.range(sections_path()?).await?;
        decode_sections(range.items)
    }

    /// Commits an edit. The transaction compares the revisions of all sections, so it is applied at
    /// most once even if it is sent several times.
    async fn try_commit(
        &self,
        section: Section,
        envelope: &Envelope,
        sections: &Sections,
    ) -> Result<CommitResult> {
        let mut texts = SectionTexts::from_sections(sections);
        texts.sections.insert(section, envelope.text.clone());
        self.check.check(&texts.sections)?;
        let parent = sections_path()?;
        let compares = Section::ALL.into_iter().map(|section| {
            let path = parent.join(&section);
            match sections.get(&section) {
                Some(stored) => Compare::Modified(path, stored.revision),
                None => Compare::Absent(path),
            }
        });
        let txn = Txn {
            compares: compares.collect(),
            writes: vec![Write::Put(parent.join(&section), envelope.encode()?, None)],
        };
        let commit = self.store.commit(txn).await?;
        if commit.succeeded {
            texts.revision = commit.revision;
            return Ok(CommitResult::Applied(texts));
        }
        // The store returns the compared keys, which are all sections, so no read is needed.
        decode_sections(commit.found).map(CommitResult::Changed)
    }
}

/// Result of the transaction of an edit.
enum CommitResult {
    /// The document with the edit.
    Applied(SectionTexts),
    /// The current sections, at least one of which has changed since it was read.
    Changed(Sections),
}

fn sections_path() -> Result<Path> {
    SECTIONS_KEY.parse()
}

fn decode_sections(items: Vec<Item>) -> Result<Sections> {
    let mut sections = Sections::new();
    for item in items {
        let name = item.path.as_str().strip_prefix(SECTIONS_KEY);
        let name = name.and_then(|name| name.strip_prefix('/'));
        // Other versions may have sections that this one does not know; their keys are ignored.
        if let Some(Ok(section)) = name.map(str::parse::<Section>) {
            let envelope = Envelope::decode(&item.value)?;
            let revision = item.modified;
            sections.insert(section, SectionEntry { envelope, revision });
        }
    }
    Ok(sections)
}

/// Determines the state of the edit `own`. `outcome_unknown` says whether the response to one of its
/// transactions was lost.
fn edit_state(
    sections: &Sections,
    section: Section,
    own: &Envelope,
    outcome_unknown: bool,
) -> EditState {
    let Some(stored) = sections.get(&section) else {
        if own.base == Revision::default() {
            return EditState::Pending;
        }
        return EditState::Conflict(Error::new(
            Kind::EditConflict,
            format!("section {section} does not exist"),
        ));
    };
    if stored.envelope.edit == own.edit {
        return EditState::Applied(stored.revision);
    }
    if stored.revision == own.base {
        return EditState::Pending;
    }
    if outcome_unknown && stored.envelope.base != own.base {
        return EditState::Unknown;
    }
    let SectionEntry { envelope, revision } = stored;
    let editor = &envelope.editor;
    EditState::Conflict(Error::new(
        Kind::EditConflict,
        format!("section {section} was changed by {editor} at revision {revision}"),
    ))
}

fn accepted(revision: Revision, base: Revision, document: SectionTexts) -> Accepted {
    invariant::check(Invariant::NoRevert, revision > base, || {
        format!("edit accepted at revision {revision} over base {base}")
    });
    Accepted { revision, document }
}

fn unsettled() -> Error {
    Error::new(
        Kind::Unsettled,
        "the answer of the store was lost; read the section before another try",
    )
}

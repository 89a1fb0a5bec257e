use std::{collections::BTreeMap, fmt, rc::Rc, time::Duration};

use tokio::time;

use super::{Result, envelope::Envelope};
use crate::{
    config::Section,
    error::{Error, Executed, Kind},
    id::{self, Edit, Revision},
    invariant::{self, Point},
    store::{Compare, Item, Path, Store, Txn, Write},
};

/// Store key above the sections.
const ROOT: &str = "/mulberrymill/config";
/// Most tries of one edit. With the pauses below, a lost answer is settled for 11 s, longer than
/// a short outage of the store and about as long as an operator waits.
const ROUNDS: u32 = 8;
/// First pause after a call that failed while the outcome is open; doubles up to the longest.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// Checks a whole document.
pub trait Check: fmt::Debug {
    /// Accepts the texts of all sections or tells their faults.
    ///
    /// # Errors
    ///
    /// `Kind::InvalidDocument` with the faults.
    fn check(&self, sections: &BTreeMap<Section, String>) -> Result<()>;
}

/// A section as it is in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its text.
    pub text: String,
    /// Revision of its last edit.
    pub revision: Revision,
    /// Who made that edit.
    pub editor: id::Editor,
}

/// The document as it is in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Highest revision of the sections; 0 if there is none.
    pub revision: Revision,
    /// The sections that have been written.
    pub sections: BTreeMap<Section, Part>,
}

/// An edit that is in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Revision of the section, and of the document at that moment.
    pub revision: Revision,
    /// The document with the edit in it, so that it can be put into force without reading it again.
    pub document: Texts,
}

/// The texts of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Texts {
    /// Its revision.
    pub revision: Revision,
    /// Text of each section that has been written.
    pub sections: BTreeMap<Section, String>,
}

impl Texts {
    fn of(sections: &Sections) -> Self {
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

/// Reads and edits the document. Keeps nothing between calls.
#[derive(Clone, Debug)]
pub struct Editor {
    store: Rc<dyn Store>,
    check: Rc<dyn Check>,
}

#[derive(Clone, Debug)]
struct Stored {
    envelope: Envelope,
    revision: Revision,
}

type Sections = BTreeMap<Section, Stored>;

/// What the present sections say about an edit.
enum Finding {
    /// It is in the store.
    Accepted(Revision),
    /// Its section has not moved.
    Open,
    /// Another edit came instead, so this one did not and cannot take effect.
    Lost(Error),
    /// The section has moved on, and this edit may be among those that were replaced.
    Unknown,
}

impl Editor {
    /// An editor of the document in `store` that accepts what `check` accepts.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, check: Rc<dyn Check>) -> Self {
        Self { store, check }
    }

    /// Reads all sections.
    ///
    /// # Errors
    ///
    /// `Kind::StoreUnavailable`, or `Kind::Internal` for a malformed value in the store.
    pub async fn read(&self) -> Result<Snapshot> {
        let sections = self.fetch().await?.into_iter().map(|(section, stored)| {
            let part = Part {
                text: stored.envelope.text,
                revision: stored.revision,
                editor: stored.envelope.editor,
            };
            (section, part)
        });
        let sections: BTreeMap<Section, Part> = sections.collect();
        let revision = sections.values().map(|part| part.revision).max();
        Ok(Snapshot {
            revision: revision.unwrap_or_default(),
            sections,
        })
    }

    /// Replaces a section that was last edited at revision `base` (0 if it does not exist).
    ///
    /// # Errors
    ///
    /// `Kind::EditConflict` if the section has moved, with the revision and the editor that won;
    /// `Kind::InvalidDocument`; `Kind::TooLarge`; `Kind::StoreUnavailable` if nothing was written;
    /// `Kind::Unsettled` with `executed: unknown` if the answer of the store was lost and the store
    /// stayed away.
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
        let mut open = false;
        let mut known = None;
        let mut pause = PAUSE_MIN;
        for round in 0..ROUNDS {
            if round > 0 && known.is_none() {
                time::sleep(pause).await;
                pause = (pause * 2).min(PAUSE_MAX);
            }
            let result = match known.take() {
                Some(sections) => Ok(sections),
                None => self.fetch().await,
            };
            let step = match result {
                Ok(sections) => match find(&sections, section, &envelope, open) {
                    Finding::Accepted(revision) => {
                        return Ok(accepted(revision, base, Texts::of(&sections)));
                    }
                    Finding::Lost(error) => return Err(error),
                    Finding::Unknown => return Err(unsettled()),
                    Finding::Open => self.try_commit(section, &envelope, &sections).await,
                },
                Err(error) if open => Err(error.with_executed(Executed::Unknown)),
                Err(error) => Err(error.with_executed(Executed::No)),
            };
            match step {
                Ok(Step::Accepted(texts)) => return Ok(accepted(texts.revision, base, texts)),
                Ok(Step::Moved(sections)) => known = Some(sections),
                Err(error) if error.kind() != Kind::StoreUnavailable => return Err(error),
                Err(error) if error.executed() == Executed::No && !open => return Err(error),
                Err(error) => open |= error.executed() != Executed::No,
            }
        }
        if open {
            return Err(unsettled());
        }
        let detail = "other sections changed during every try";
        Err(Error::new(Kind::EditConflict, detail))
    }

    /// Writes all sections of a first document.
    ///
    /// The sections refer to each other, so that none of them would pass the checks alone.
    ///
    /// # Errors
    ///
    /// `Kind::EditConflict` if any section exists; `Kind::InvalidDocument`;
    /// `Kind::StoreUnavailable`, with `executed: unknown` if the answer of the store was lost. A
    /// further try then tells by its conflict that the first one took effect.
    pub async fn create(
        &self,
        sections: BTreeMap<Section, String>,
        editor: id::Editor,
    ) -> Result<Accepted> {
        self.check.check(&sections)?;
        let root = root()?;
        let mut txn = Txn::default();
        for (section, text) in &sections {
            let envelope = Envelope {
                editor: editor.clone(),
                edit: Edit::random(&mut rand::rng()),
                base: Revision::default(),
                text: text.clone(),
            };
            let path = root.join(section);
            txn.compares.push(Compare::Absent(path.clone()));
            txn.writes.push(Write::Put(path, envelope.encode()?, None));
        }
        let commit = self.store.commit(txn).await?;
        if !commit.succeeded {
            return Err(Error::new(Kind::EditConflict, "the document exists"));
        }
        let revision = commit.revision;
        let document = Texts { revision, sections };
        Ok(accepted(revision, Revision::default(), document))
    }

    async fn fetch(&self) -> Result<Sections> {
        let range = self.store.range(root()?).await?;
        sections(range.items)
    }

    /// Runs the transaction of an edit. It compares every section, so it takes effect at most once
    /// however often it is sent.
    async fn try_commit(
        &self,
        section: Section,
        envelope: &Envelope,
        sections: &Sections,
    ) -> Result<Step> {
        let mut texts = Texts::of(sections);
        texts.sections.insert(section, envelope.text.clone());
        self.check.check(&texts.sections)?;
        let root = root()?;
        let compares = Section::ALL.into_iter().map(|section| {
            let path = root.join(&section);
            match sections.get(&section) {
                Some(stored) => Compare::Modified(path, stored.revision),
                None => Compare::Absent(path),
            }
        });
        let txn = Txn {
            compares: compares.collect(),
            writes: vec![Write::Put(root.join(&section), envelope.encode()?, None)],
        };
        let commit = self.store.commit(txn).await?;
        if commit.succeeded {
            texts.revision = commit.revision;
            return Ok(Step::Accepted(texts));
        }
        // The compared keys are all sections, so no further read is needed.
        self::sections(commit.found).map(Step::Moved)
    }
}

enum Step {
    Accepted(Texts),
    Moved(Sections),
}

fn root() -> Result<Path> {
    ROOT.parse()
}

fn sections(items: Vec<Item>) -> Result<Sections> {
    let mut sections = Sections::new();
    for item in items {
        let name = item.path.as_str().strip_prefix(ROOT);
        let name = name.and_then(|name| name.strip_prefix('/'));
        // Keys of sections that this version does not know are left alone.
        if let Some(Ok(section)) = name.map(str::parse::<Section>) {
            let envelope = Envelope::decode(&item.value)?;
            let revision = item.modified;
            sections.insert(section, Stored { envelope, revision });
        }
    }
    Ok(sections)
}

/// `open` tells whether a transaction of this edit was sent whose outcome is not known.
fn find(sections: &Sections, section: Section, own: &Envelope, open: bool) -> Finding {
    let Some(stored) = sections.get(&section) else {
        if own.base == Revision::default() {
            return Finding::Open;
        }
        return Finding::Lost(Error::new(
            Kind::EditConflict,
            format!("section {section} does not exist"),
        ));
    };
    if stored.envelope.edit == own.edit {
        return Finding::Accepted(stored.revision);
    }
    if stored.revision == own.base {
        return Finding::Open;
    }
    if open && stored.envelope.base != own.base {
        return Finding::Unknown;
    }
    let Stored { envelope, revision } = stored;
    let editor = &envelope.editor;
    Finding::Lost(Error::new(
        Kind::EditConflict,
        format!("section {section} was changed by {editor} at revision {revision}"),
    ))
}

fn accepted(revision: Revision, base: Revision, document: Texts) -> Accepted {
    invariant::check(Point::NoRevert, revision > base, || {
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

use std::{rc::Rc, time::Duration};

use actix::Addr;
use rand::Rng;
use tokio::{task::AbortHandle, time};

use super::{DocumentHolder, OfferDocument};
use crate::{
    authority::{self, GetHeldGroups},
    edit::{Editor, Snapshot},
    wire,
};

/// Interval between two reads by an entry that holds the lease of a group. The entry that accepted
/// an edit replicates it; the reads cover the failure of that entry right after, within the 10 s
/// allowed for an edit.
const HOLDER_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between two reads by any other entry. Agents announce edits to it much sooner; the
/// reads are for an entry that is connected to no agent. With 370 entries this is about 25 reads
/// per second.
const OTHER_READ_INTERVAL: Duration = Duration::from_secs(15);
/// Delay after a failed read, and while the store has no document.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Starts a task that reads the document from the store at intervals and offers it to the holder,
/// until the task is aborted or the holder has stopped.
#[must_use]
pub fn follow(
    editor: Rc<Editor>,
    holder: Addr<DocumentHolder>,
    authority: Addr<authority::Holder>,
) -> AbortHandle {
    tokio::task::spawn_local(run(editor, holder, authority)).abort_handle()
}

async fn run(editor: Rc<Editor>, holder: Addr<DocumentHolder>, authority: Addr<authority::Holder>) {
    loop {
        let delay = match editor.read().await {
            Ok(read) if read.sections.is_empty() => RETRY_DELAY,
            Ok(read) => {
                if holder.send(OfferDocument(document(read))).await.is_err() {
                    return;
                }
                let held = authority.send(GetHeldGroups).await.unwrap_or_default();
                if held.is_empty() {
                    OTHER_READ_INTERVAL
                } else {
                    HOLDER_READ_INTERVAL
                }
            }
            Err(error) => {
                log::warn!(kind:% = error.kind();
                    "document could not be read from the store; retrying");
                RETRY_DELAY
            }
        };
        // Jitter spreads the reads of entries that were started at the same time.
        time::sleep(delay.mul_f64(rand::rng().random_range(0.8..1.2))).await;
    }
}

fn document(read: Snapshot) -> wire::Document {
    let texts = read
        .sections
        .into_iter()
        .map(|(section, part)| (section.to_string(), part.text));
    wire::Document {
        revision: read.revision,
        sections: texts.collect(),
    }
}

use std::{rc::Rc, time::Duration};

use actix::Addr;
use rand::Rng;
use tokio::{task::AbortHandle, time};

use super::{Holder, Offer};
use crate::{
    authority::{self, Held},
    edit::{Editor, Snapshot},
    wire,
};

/// Pause between two reads of an entry that holds a group. An edit spreads from the entry that
/// accepted it; the read covers an entry that died right after, within the 10 s that an edit has.
const HOLDER_PERIOD: Duration = Duration::from_secs(5);
/// Pause between two reads of any other entry. It hears of edits from agents long before; the read
/// is for an entry that is linked to none. At 370 entries this makes about 25 reads a second.
const OTHER_PERIOD: Duration = Duration::from_secs(15);
/// Pause after a failed read, and before the first document.
const RETRY_PERIOD: Duration = Duration::from_millis(500);

/// Reads the document from the store and offers it to the holder, until the task is aborted.
#[must_use]
pub fn follow(
    editor: Rc<Editor>,
    holder: Addr<Holder>,
    authority: Addr<authority::Holder>,
) -> AbortHandle {
    tokio::task::spawn_local(run(editor, holder, authority)).abort_handle()
}

async fn run(editor: Rc<Editor>, holder: Addr<Holder>, authority: Addr<authority::Holder>) {
    loop {
        let pause = match editor.read().await {
            Ok(read) if read.sections.is_empty() => RETRY_PERIOD,
            Ok(read) => {
                if holder.send(Offer(document(read))).await.is_err() {
                    return;
                }
                let held = authority.send(Held).await.unwrap_or_default();
                if held.is_empty() {
                    OTHER_PERIOD
                } else {
                    HOLDER_PERIOD
                }
            }
            Err(error) => {
                log::warn!(kind:% = error.kind(); "the document cannot be read from the store");
                RETRY_PERIOD
            }
        };
        // Jitter spreads the reads of entries that were started together.
        time::sleep(pause.mul_f64(rand::rng().random_range(0.8..1.2))).await;
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

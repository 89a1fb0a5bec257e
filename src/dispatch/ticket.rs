use actix::Recipient;

use super::{Choice, Ending, Finish, Load, Progress};
use crate::unit::Tokens;

/// The right to send a request to a chosen endpoint.
///
/// The dispatcher counts the request there until the ticket is dropped, so a caller that leaves at
/// any moment leaves nothing behind.
#[derive(Debug)]
pub struct Ticket {
    choice: Choice,
    /// Prompt tokens that the dispatcher counts and the endpoint has not read.
    unread: Tokens,
    progress: Recipient<Progress>,
    finish: Recipient<Finish>,
    ending: Ending,
}

impl Ticket {
    pub(super) const fn new(
        choice: Choice,
        progress: Recipient<Progress>,
        finish: Recipient<Finish>,
    ) -> Self {
        Self {
            unread: choice.unread,
            choice,
            progress,
            finish,
            ending: Ending::Abandoned,
        }
    }

    /// The chosen endpoint and why it was chosen.
    #[must_use]
    pub const fn choice(&self) -> &Choice {
        &self.choice
    }

    /// The endpoint has begun to answer, so it has read the prompt.
    pub fn began(&mut self, load: Option<Load>) {
        let prompt = std::mem::replace(&mut self.unread, Tokens::ZERO);
        self.progress.do_send(Progress {
            endpoint: self.choice.instance.id.clone(),
            rank: self.choice.rank,
            prompt,
            load,
        });
    }

    /// Ends the request at this endpoint.
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.finish.do_send(Finish {
            endpoint: self.choice.instance.id.clone(),
            rank: self.choice.rank,
            prompt: self.unread,
            ending: self.ending,
        });
    }
}

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix::Recipient;

use super::{Choice, Demand, Ending, Finish, Load, NoticeReceived, Permit, Prediction, Progress};
use crate::{
    clock::Shared,
    forecast::{Expectation, Pace},
    unit::Tokens,
};

/// Where a [`Ticket`] and its [`Permit`]s report to.
#[derive(Clone, Debug)]
pub(super) struct Reports {
    pub(super) progress: Recipient<Progress>,
    pub(super) finish: Recipient<Finish>,
    pub(super) notice: Recipient<NoticeReceived>,
    pub(super) clock: Shared,
    /// Time in which a request may be sent to its end after its endpoint has announced its leave.
    pub(super) upload_time: Duration,
}

/// The permit to send a request to the selected endpoint.
///
/// The dispatcher counts the request as in flight there until the ticket is dropped, so a caller
/// that disconnects at any point leaves no count behind. A ticket that is dropped without
/// [`Ticket::end`] ends as [`Ending::Abandoned`].
#[derive(Debug)]
pub struct Ticket {
    choice: Choice,
    /// Prompt tokens that the dispatcher still counts in the backlog of the endpoint.
    pending_prefill: Tokens,
    reports: Reports,
    ending: Ending,
    pace: Option<Pace>,
    demand: Arc<Demand>,
}

impl Ticket {
    pub(super) fn new(choice: Choice, demand: Arc<Demand>, reports: Reports) -> Self {
        Self {
            pending_prefill: choice.prefill_tokens,
            choice,
            reports,
            ending: Ending::Abandoned,
            pace: None,
            demand,
        }
    }

    /// The selected endpoint and the load that the selection saw there.
    #[must_use]
    pub const fn choice(&self) -> &Choice {
        &self.choice
    }

    /// The permit for one request to the selected endpoint.
    #[must_use]
    pub fn permit(&self) -> Permit {
        Permit::new(&self.choice, &self.reports)
    }

    /// Reports that the endpoint has begun to answer, which means that its prefill is done. `load`
    /// is the load that the endpoint sent with the answer, if any. Only a successful answer shows
    /// how fast the endpoint is; a rejection may come without any work.
    pub fn record_first_response(&mut self, load: Option<Load>, succeeded: bool) {
        let prompt = std::mem::replace(&mut self.pending_prefill, Tokens::ZERO);
        let expected = Expectation {
            own: self.choice.prefill_tokens,
            forecast: self.choice.bare_forecast,
        };
        self.reports.progress.do_send(Progress {
            endpoint: self.choice.instance.id.clone(),
            rank: self.choice.rank,
            prompt,
            load,
            prediction: succeeded.then_some(Prediction {
                selected_at: self.choice.selected_at,
                tokens_ahead: self.choice.tokens_ahead,
                slowdown: self.choice.slowdown,
                rounds: self.choice.rounds,
                expected,
            }),
        });
    }

    /// Starts to record the pauses of a stream whose caller accepts pauses of up to `target` and
    /// waits until `deadline`.
    pub const fn start_stream(&mut self, target: Duration, deadline: Instant) {
        self.pace = Some(Pace::new(target, deadline));
    }

    /// Records the arrival of an event of the stream.
    pub fn record_event(&mut self, now: Instant) {
        if let Some(pace) = &mut self.pace {
            pace.record(now);
        }
    }

    /// Ends the request at this endpoint with the given outcome.
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.reports.finish.do_send(Finish {
            endpoint: self.choice.instance.id.clone(),
            rank: self.choice.rank,
            prompt: self.pending_prefill,
            footprint: self.choice.footprint,
            ending: self.ending,
            pace: self.pace,
            demand: Arc::clone(&self.demand),
        });
    }
}

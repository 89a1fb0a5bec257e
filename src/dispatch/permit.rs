use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::Recipient;
use tokio::{sync::watch, time};

use super::{Choice, Evidence, NoticeReceived, ticket::Reports};
use crate::{
    clock::Shared,
    directory::Instance,
    id,
    notice::{Notice, Standing},
};

/// Tells, right before a request is written, whether its endpoint still takes requests, and reports
/// what the endpoint says of itself in the answer.
///
/// An endpoint can close while hundreds of requests wait for a connection to it.
#[derive(Clone)]
pub struct Permit {
    instance: Arc<Instance>,
    evidence: watch::Receiver<Evidence>,
    chosen_at: Instant,
    notice: Recipient<NoticeReceived>,
    clock: Shared,
    upload_time: Duration,
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit")
            .field("instance", &self.instance.id)
            .finish_non_exhaustive()
    }
}

impl Permit {
    pub(super) fn new(choice: &Choice, reports: &Reports) -> Self {
        Self {
            instance: Arc::clone(&choice.instance),
            evidence: choice.evidence.clone(),
            chosen_at: choice.selected_at,
            notice: reports.notice.clone(),
            clock: Arc::clone(&reports.clock),
            upload_time: reports.upload_time,
        }
    }

    /// The run of the endpoint that the request is meant for.
    #[must_use]
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// Decides right before the first byte of a request is written, and records the time since the choice.
    #[must_use]
    pub fn admit(&self) -> Standing {
        let standing = self.standing();
        let delay = self.clock.now().saturating_duration_since(self.chosen_at);
        metrics::histogram!("send_delay_seconds", "standing" => standing.to_string())
            .record(delay.as_secs_f64());
        standing
    }

    /// Whether the endpoint may get a request now.
    #[must_use]
    pub fn standing(&self) -> Standing {
        self.evidence.borrow().standing(self.clock.now())
    }

    /// Returns once a request that was begun before may not be sent any further: the endpoint leaves, and
    /// the time in which it still takes such a request is over. A pause does not count: it may be shorter
    /// than the write of a request.
    pub fn closed(&self) -> impl Future<Output = ()> + 'static {
        let mut evidence = self.evidence.clone();
        let clock = Arc::clone(&self.clock);
        let upload_time = self.upload_time;
        async move {
            let is_leaving =
                |evidence: &Evidence| evidence.standing(clock.now()) == Standing::Leaving;
            let stayed_until = match evidence.wait_for(is_leaving).await {
                Ok(evidence) => evidence.stayed_until,
                // Without its sender the endpoint has been removed.
                Err(_closed) => None,
            };
            if let Some(stayed_until) = stayed_until {
                let end = stayed_until + upload_time;
                time::sleep(end.saturating_duration_since(clock.now())).await;
            }
        }
    }

    /// Reports what the endpoint says of itself. An empty notice is not reported.
    pub fn record(&self, notice: Notice, call: Option<id::Call>) {
        if !notice.is_empty() {
            self.notice.do_send(NoticeReceived {
                instance: Arc::clone(&self.instance),
                notice,
                call,
            });
        }
    }
}

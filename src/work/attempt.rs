use std::{rc::Rc, time::Duration};

use futures_util::StreamExt;
use tokio::{sync::mpsc, time};

use super::{EndpointClient, Job, Ports, ResponsePart, Result, once};
use crate::{
    error::{Error, Kind},
    id::Attempt,
    link::Outbox,
    unit::Bytes,
    wire::{Chunk, End, Fail, Frame, Invoke, Submit, Work},
};

/// An attempt in progress. Its task owns the connection to the endpoint.
#[derive(Debug)]
pub(super) struct AttemptTask {
    pub(super) endpoint: Rc<dyn EndpointClient>,
    pub(super) submit: Submit,
    pub(super) outbox: Outbox,
    /// Credit that the entry grants after the initial window.
    pub(super) credit: mpsc::UnboundedReceiver<Bytes>,
    /// Arbitrates operations that run at most once. `None` at an engine.
    pub(super) ledger: Option<Ports>,
}

impl AttemptTask {
    /// Runs the attempt and sends its final frame to the entry.
    pub(super) async fn run(self) {
        let attempt = self.submit.attempt;
        let outbox = self.outbox.clone();
        let at_most_once = match &self.submit.work {
            Work::Invoke(invoke) if invoke.at_most_once => Some(invoke.clone()),
            _ => None,
        };
        let result = match at_most_once {
            Some(invoke) => self.run_at_most_once(invoke).await,
            None => self.run_with_timeout().await,
        };
        outbox.send(final_frame(attempt, result));
    }

    async fn run_at_most_once(self, invoke: Invoke) -> Result<End> {
        let Self {
            endpoint,
            submit,
            outbox,
            ledger,
            ..
        } = self;
        let unsupported = || Error::new(Kind::BadRequest, "the endpoint runs no such operation");
        let ledger = ledger.ok_or_else(unsupported)?;
        once::run(ledger, endpoint.as_ref(), submit, invoke, &outbox).await
    }

    async fn run_with_timeout(self) -> Result<End> {
        let result = time::timeout(self.submit.time_left, self.stream_response()).await;
        result.unwrap_or_else(|_elapsed| {
            Err(Error::new(Kind::Deadline, "the endpoint took too long"))
        })
    }

    async fn stream_response(self) -> Result<End> {
        let Self {
            endpoint,
            submit,
            outbox,
            credit,
            ..
        } = self;
        let attempt = submit.attempt;
        let mut window = CreditWindow {
            available: submit.credit.get().cast_signed(),
            credit,
        };
        let mut length = resume_offset(&submit.work);
        let job = Job {
            work: submit.work,
            priority: submit.priority,
        };
        let mut parts = endpoint.run(job);
        while let Some(part) = parts.next().await {
            match part? {
                ResponsePart::Data(data) => {
                    window.consume(data.len()).await?;
                    let size = Bytes::new(data.len() as u64);
                    outbox.send(Frame::Chunk(Chunk {
                        attempt,
                        offset: length,
                        data,
                    }));
                    length += size;
                }
                ResponsePart::End {
                    reason,
                    status,
                    input,
                    output,
                } => {
                    return Ok(End {
                        attempt,
                        length,
                        reason,
                        status,
                        input,
                        output,
                    });
                }
            }
        }
        Err(Error::new(
            Kind::EndpointLost,
            "the endpoint broke off its answer",
        ))
    }
}

fn resume_offset(work: &Work) -> Bytes {
    match work {
        Work::Generate(generate) => generate.resume,
        Work::Invoke(_) => Bytes::ZERO,
    }
}

/// Builds the frame that ends an attempt.
pub(super) fn final_frame(attempt: Attempt, result: Result<End>) -> Frame {
    match result {
        Ok(end) => Frame::End(end),
        Err(error) => Frame::Fail(Fail {
            attempt,
            kind: error.kind(),
            executed: error.executed(),
            detail: error.detail().to_owned(),
        }),
    }
}

/// Flow-control window of an attempt.
///
/// As long as any credit is left, a chunk is sent unsplit, so that it is never cut inside a
/// character. The window may become negative by less than one chunk.
struct CreditWindow {
    /// Bytes that may still be sent.
    available: i64,
    credit: mpsc::UnboundedReceiver<Bytes>,
}

impl CreditWindow {
    /// Waits for credit and subtracts `length` bytes from it.
    async fn consume(&mut self, length: usize) -> Result<()> {
        while let Ok(bytes) = self.credit.try_recv() {
            self.add(bytes);
        }
        while self.available <= 0 {
            let withdrawn = || Error::new(Kind::EndpointLost, "the attempt was withdrawn");
            let bytes = self.credit.recv().await.ok_or_else(withdrawn)?;
            self.add(bytes);
        }
        self.available = self.available.saturating_sub_unsigned(length as u64);
        Ok(())
    }

    const fn add(&mut self, bytes: Bytes) {
        self.available = self.available.saturating_add_unsigned(bytes.get());
    }
}

/// Interval of state probes and of reports. Relevant changes are reported at once.
pub(super) const PROBE_PERIOD: Duration = Duration::from_secs(1);

use std::{rc::Rc, time::Duration};

use futures_util::StreamExt;
use tokio::{sync::mpsc, time};

use super::{Endpoint, Job, Piece, Ports, Result, once};
use crate::{
    error::{Error, Kind},
    id::Attempt,
    link::Outbox,
    unit::Bytes,
    wire::{Chunk, End, Fail, Frame, Invoke, Submit, Work},
};

/// One attempt in progress. Its task owns the connection to the endpoint.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) endpoint: Rc<dyn Endpoint>,
    pub(super) submit: Submit,
    pub(super) outbox: Outbox,
    pub(super) credit: mpsc::UnboundedReceiver<Bytes>,
    /// Decides on operations that must not run twice. Missing at an engine.
    pub(super) ledger: Option<Ports>,
}

impl Task {
    /// Runs the attempt and reports its end to the entry.
    pub(super) async fn run(self) {
        let attempt = self.submit.attempt;
        let outbox = self.outbox.clone();
        let once = match &self.submit.work {
            Work::Invoke(invoke) if invoke.once => Some(invoke.clone()),
            _ => None,
        };
        let ended = match once {
            Some(invoke) => self.answer_once(invoke).await,
            None => self.answer_in_time().await,
        };
        outbox.send(last_frame(attempt, ended));
    }

    async fn answer_once(self, invoke: Invoke) -> Result<End> {
        let Self {
            endpoint,
            submit,
            outbox,
            ledger,
            ..
        } = self;
        let missing = || Error::new(Kind::BadRequest, "the endpoint runs no such operation");
        let ledger = ledger.ok_or_else(missing)?;
        once::run(ledger, endpoint.as_ref(), submit, invoke, &outbox).await
    }

    async fn answer_in_time(self) -> Result<End> {
        let answer = time::timeout(self.submit.time_left, self.answer()).await;
        answer.unwrap_or_else(|_elapsed| {
            Err(Error::new(Kind::Deadline, "the endpoint took too long"))
        })
    }

    async fn answer(self) -> Result<End> {
        let Self {
            endpoint,
            submit,
            outbox,
            credit,
            ..
        } = self;
        let attempt = submit.attempt;
        let mut window = Window {
            left: submit.credit.get().cast_signed(),
            credit,
        };
        let mut length = resume_offset(&submit.work);
        let job = Job {
            work: submit.work,
            priority: submit.priority,
        };
        let mut pieces = endpoint.run(job);
        while let Some(piece) = pieces.next().await {
            match piece? {
                Piece::Data(data) => {
                    window.take(data.len()).await?;
                    let size = Bytes::new(data.len() as u64);
                    outbox.send(Frame::Chunk(Chunk {
                        attempt,
                        offset: length,
                        data,
                    }));
                    length += size;
                }
                Piece::End {
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

/// The message that ends an attempt.
pub(super) fn last_frame(attempt: Attempt, ended: Result<End>) -> Frame {
    match ended {
        Ok(end) => Frame::End(end),
        Err(error) => Frame::Fail(Fail {
            attempt,
            kind: error.kind(),
            executed: error.executed(),
            detail: error.detail().to_owned(),
        }),
    }
}

/// What the entry still takes.
///
/// A piece is sent whole once there is any credit, so that it need not be split inside a
/// character. The window is overdrawn by less than one piece.
struct Window {
    left: i64,
    credit: mpsc::UnboundedReceiver<Bytes>,
}

impl Window {
    async fn take(&mut self, length: usize) -> Result<()> {
        while let Ok(bytes) = self.credit.try_recv() {
            self.add(bytes);
        }
        while self.left <= 0 {
            let withdrawn = || Error::new(Kind::EndpointLost, "the attempt was withdrawn");
            let bytes = self.credit.recv().await.ok_or_else(withdrawn)?;
            self.add(bytes);
        }
        self.left = self.left.saturating_sub_unsigned(length as u64);
        Ok(())
    }

    const fn add(&mut self, bytes: Bytes) {
        self.left = self.left.saturating_add_unsigned(bytes.get());
    }
}

/// Pause between two looks at an endpoint, unless something changes.
pub(super) const PROBE_PERIOD: Duration = Duration::from_secs(1);

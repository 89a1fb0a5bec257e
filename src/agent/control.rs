use std::rc::Rc;

use actix::Addr;
use futures_util::FutureExt;

use crate::{
    error::{Error, Kind},
    gate::{self, Control, State},
    id::Fence,
    wire::Change,
    work::{Drain, Endpoint, Status, Worker},
};

/// The control interface of the endpoint, as the gate sees it.
///
/// The agent is the only one that gives the endpoint work, so that it drains the endpoint itself,
/// also one that knows no such order.
#[derive(Clone, Debug)]
pub(super) struct Adapter {
    pub(super) endpoint: Rc<dyn Endpoint>,
    pub(super) worker: Addr<Worker>,
}

impl Adapter {
    async fn read(&self) -> gate::Result<State> {
        let state = self.endpoint.state().await?;
        let report = self
            .worker
            .send(Status)
            .await
            .map_err(|_error| stopping())?;
        Ok(State {
            role: state.role,
            models: state.models.into_iter().collect(),
            draining: report.leaving,
            // Engines answer an order when it is in effect, and refuse a second one meanwhile.
            changing: false,
        })
    }

    async fn send(&self, change: Change, fence: Fence) -> gate::Result<()> {
        let leaving = match change {
            Change::Drain => true,
            Change::Resume => false,
            other => return self.endpoint.change(other, fence).await,
        };
        self.worker
            .send(Drain(leaving))
            .await
            .map_err(|_error| stopping())
    }
}

impl Control for Adapter {
    fn state(&self) -> gate::Future<'_, State> {
        self.read().boxed_local()
    }

    fn apply(&self, change: Change, fence: Fence) -> gate::Future<'_, ()> {
        self.send(change, fence).boxed_local()
    }
}

fn stopping() -> Error {
    Error::new(Kind::Leaving, "the agent is stopping")
}

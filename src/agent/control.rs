use std::rc::Rc;

use actix::Addr;
use futures_util::FutureExt;

use crate::{
    error::{Error, Kind},
    gate::{self, Control, State},
    id::Fence,
    wire::Change,
    work::{Drain, EndpointClient, GetReport, Worker},
};

/// Implements the control interface of the gate for the endpoint of the agent.
///
/// Drain and resume are handled by the worker, because all work for the endpoint passes through the
/// agent. Endpoints without a drain operation of their own can therefore be drained as well.
#[derive(Clone, Debug)]
pub(super) struct EndpointControl {
    pub(super) endpoint: Rc<dyn EndpointClient>,
    pub(super) worker: Addr<Worker>,
}

impl EndpointControl {
    async fn read_state(&self) -> gate::Result<State> {
        let state = self.endpoint.state().await?;
        let report = self
            .worker
            .send(GetReport)
            .await
            .map_err(|_error| mailbox_closed())?;
        Ok(State {
            role: state.role,
            models: state.models.into_iter().collect(),
            draining: report.leaving,
            // Engines respond to an order once it has taken effect and reject others meanwhile.
            changing: false,
        })
    }

    async fn apply_change(&self, change: Change, fence: Fence) -> gate::Result<()> {
        let drain = match change {
            Change::Drain => true,
            Change::Resume => false,
            other => return self.endpoint.change(other, fence).await,
        };
        self.worker
            .send(Drain(drain))
            .await
            .map_err(|_error| mailbox_closed())
    }
}

impl Control for EndpointControl {
    fn state(&self) -> gate::Future<'_, State> {
        self.read_state().boxed_local()
    }

    fn apply(&self, change: Change, fence: Fence) -> gate::Future<'_, ()> {
        self.apply_change(change, fence).boxed_local()
    }
}

fn mailbox_closed() -> Error {
    Error::new(Kind::Leaving, "the agent is stopping")
}

use std::fmt;

use futures_util::{future::LocalBoxFuture, stream::LocalBoxStream};
use tokio::sync::watch;

use super::Result;
use crate::{
    id::{Fence, Model},
    notice::Closure,
    unit::Tokens,
    wire::{Change, Load, Role, Work},
};

/// A job for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Generation or service call to run.
    pub work: Work,
    /// Scheduling priority at an engine; lower values are more urgent.
    pub priority: u8,
}

/// An item of the response stream of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The next bytes of the body.
    Data(Vec<u8>),
    /// The endpoint reported the response as complete.
    End {
        /// Finish reason of a generation, or media type of a service response.
        reason: String,
        /// HTTP status of a service response; always 200 for an engine.
        status: u16,
        /// Prompt tokens; 0 for a service.
        input: Tokens,
        /// Generated tokens; 0 for a service.
        output: Tokens,
    },
}

/// Response of an endpoint, starting at the resume offset. It is complete only if it ends with
/// [`ResponsePart::End`].
pub type ResponseStream = LocalBoxStream<'static, Result<ResponsePart>>;

/// Load and state that an endpoint reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointState {
    /// Queue lengths and cache use. `in_progress` is counted by the worker instead.
    pub load: Load,
    /// Serving role of an engine; the default for a service.
    pub role: Role,
    /// Models loaded in an engine; empty for a service.
    pub models: Vec<Model>,
    /// Whether the endpoint itself is draining and refuses new work.
    pub draining: bool,
}

/// A model engine or a plain service.
pub trait EndpointClient: fmt::Debug {
    /// Starts a job. Dropping the returned stream cancels the job.
    ///
    /// An error has `executed: no` only if the endpoint certainly did not run the job.
    fn run(&self, job: Job) -> ResponseStream;

    /// What the endpoint has said of itself in its answers.
    fn closure(&self) -> watch::Receiver<Closure>;

    /// Fetches the current load and state.
    fn state(&self) -> LocalBoxFuture<'_, Result<EndpointState>>;

    /// Changes the role or the models of an engine. After an error, the change may nevertheless
    /// have taken effect.
    fn change(&self, change: Change, fence: Fence) -> LocalBoxFuture<'_, Result<()>>;
}

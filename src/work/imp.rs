use std::fmt;

use futures_util::{future::LocalBoxFuture, stream::LocalBoxStream};

use super::Result;
use crate::{
    id::{Fence, Model},
    unit::Tokens,
    wire::{Change, Load, Role, Work},
};

/// What an endpoint is asked to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The work.
    pub work: Work,
    /// Priority: lower is more urgent.
    pub priority: u8,
}

/// A part of an endpoint's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The next bytes.
    Data(Vec<u8>),
    /// The endpoint declared the answer complete.
    End {
        /// Why it ended, or the media type of a service's answer.
        reason: String,
        /// HTTP status of a service; 200 for an engine.
        status: u16,
        /// Prompt tokens.
        input: Tokens,
        /// Generated tokens.
        output: Tokens,
    },
}

/// The answer of an endpoint, from the resume offset on. It is whole only if it ends with
/// [`Piece::End`].
pub type Answer = LocalBoxStream<'static, Result<Piece>>;

/// What an endpoint says about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Load.
    pub load: Load,
    /// Role of an engine.
    pub role: Role,
    /// Loaded models of an engine.
    pub models: Vec<Model>,
    /// Whether the endpoint itself refuses new work.
    pub draining: bool,
}

/// A model engine or a plain service.
pub trait Endpoint: fmt::Debug {
    /// Starts a job. Dropping the answer cancels the job.
    ///
    /// An error says `executed: no` only if the job certainly did not reach the endpoint.
    fn run(&self, job: Job) -> Answer;

    /// Asks for load and state.
    fn state(&self) -> LocalBoxFuture<'_, Result<State>>;

    /// Changes role or models of an engine. An error does not tell whether it took effect.
    fn change(&self, change: Change, fence: Fence) -> LocalBoxFuture<'_, Result<()>>;
}

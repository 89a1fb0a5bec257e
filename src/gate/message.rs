use actix::Message;

use crate::wire::{Done, Order};

/// Runs an order. Answers when the result of the order is known.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Done")]
pub struct Apply(pub Order);

/// Ends the actor at once, as a killed process does. An effect in progress is not awaited.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Stop;

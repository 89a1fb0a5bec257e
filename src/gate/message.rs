use actix::Message;

use crate::wire::{Done, Order};

/// Runs an order. Answered when the order is refused, or when its verdict is known.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Done")]
pub struct Apply(pub Order);

/// Stops the actor at once, without waiting for a change in progress, like the kill of a process.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Stop;

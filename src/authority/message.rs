use actix::{Message, Recipient};

use super::Permit;
use crate::id::{Fence, Group};

/// The groups to compete for. Groups that are no longer named are released.
#[derive(Clone, Debug, Default, Message)]
#[rtype(result = "()")]
pub struct Groups(pub Vec<Group>);

/// Asks for the groups that are held now, with their fencing numbers.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<(Group, Fence)>")]
pub struct Held;

/// Asks for a permit to send orders to a group. `None` if the group is not held.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Permit>")]
pub struct Ask(pub Group);

/// Adds a subscriber. It first hears of all groups that are held.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<Changed>);

/// Gives up all groups and ends the lease, once no permit is left (at most 6 s). Answered when the
/// store has been told, or cannot be.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Release;

/// Groups were gained or lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub struct Changed {
    /// Groups that are held from now on.
    pub gained: Vec<(Group, Fence)>,
    /// Groups that are no longer held.
    pub lost: Vec<Group>,
}

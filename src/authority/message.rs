use actix::{Message, Recipient};

use super::Permit;
use crate::id::{Fence, Group};

/// Replaces the groups to compete for. Held groups that are not among them are released.
#[derive(Clone, Debug, Default, Message)]
#[rtype(result = "()")]
pub struct SetGroups(pub Vec<Group>);

/// Returns the groups that are held now, with their fencing numbers.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<(Group, Fence)>")]
pub struct GetHeldGroups;

/// Returns a permit to send orders to a group, or `None` if the group is not held.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Permit>")]
pub struct GetPermit(pub Group);

/// Adds a subscriber to [`Changed`]. If groups are held, it receives them at once as gained.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<Changed>);

/// Releases all groups and revokes the lease, after the last permit has expired (at most 6 s).
/// Answered when the store has answered the revocation, also if that failed.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ReleaseAll;

/// Notifies a subscriber that groups were gained or lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub struct Changed {
    /// Groups that are held from now on.
    pub gained: Vec<(Group, Fence)>,
    /// Groups that are no longer held.
    pub lost: Vec<Group>,
}

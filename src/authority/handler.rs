use std::rc::Rc;

use actix::{Context, Handler, MessageResult, ResponseActFuture, WrapFuture};

use tokio::time;

use super::{Changed, GetHeldGroups, GetPermit, Holder, ReleaseAll, SetGroups, Subscribe};
use crate::id::{Fence, Group};

impl Handler<SetGroups> for Holder {
    type Result = ();

    fn handle(&mut self, msg: SetGroups, ctx: &mut Context<Self>) {
        self.wanted = msg.0;
        let held = self.term.iter().flat_map(|term| term.groups().keys());
        let unwanted: Vec<Group> = held
            .filter(|group| !self.wanted.contains(group))
            .cloned()
            .collect();
        for group in unwanted {
            self.release(&group, ctx);
        }
        self.acquire_missing(ctx);
    }
}

impl Handler<GetHeldGroups> for Holder {
    type Result = MessageResult<GetHeldGroups>;

    fn handle(&mut self, _msg: GetHeldGroups, _ctx: &mut Context<Self>) -> Self::Result {
        self.expire();
        let groups = self.term.iter().flat_map(|term| term.groups().clone());
        MessageResult(groups.collect())
    }
}

impl Handler<GetPermit> for Holder {
    type Result = MessageResult<GetPermit>;

    fn handle(&mut self, msg: GetPermit, _ctx: &mut Context<Self>) -> Self::Result {
        let now = self.config.clock.now();
        let term = self.term.as_ref();
        let permit = term.and_then(|term| term.permit(&msg.0, now));
        if let Some(permit) = &permit {
            self.permit_expiry.insert(msg.0, permit.expires_at());
        }
        MessageResult(permit)
    }
}

impl Handler<Subscribe> for Holder {
    type Result = ();

    fn handle(&mut self, msg: Subscribe, _ctx: &mut Context<Self>) {
        self.expire();
        let groups = self.term.iter().flat_map(|term| term.groups().clone());
        let gained: Vec<(Group, Fence)> = groups.collect();
        if !gained.is_empty() {
            let lost = Vec::new();
            msg.0.do_send(Changed { gained, lost });
        }
        self.subscribers.push(msg.0);
    }
}

impl Handler<ReleaseAll> for Holder {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _msg: ReleaseAll, _ctx: &mut Context<Self>) -> Self::Result {
        self.wanted.clear();
        let lease = self.end_term();
        let store = Rc::clone(&self.config.store);
        let last_expiry = self.permit_expiry.values().max().copied();
        let delay = last_expiry.map(|expires_at| expires_at - self.config.clock.now());
        // A permit that was issued before may still be in use. No other process may acquire the
        // groups until the last one has expired.
        let revocation = async move {
            time::sleep(delay.unwrap_or_default()).await;
            if let Some(lease) = lease
                && let Err(error) = store.revoke(lease).await
            {
                log::warn!(error:% = error; "failed to revoke the lease; it expires by itself");
            }
        };
        Box::pin(revocation.into_actor(self))
    }
}

use std::rc::Rc;

use actix::{Context, Handler, MessageResult, ResponseActFuture, WrapFuture};

use tokio::time;

use super::{Ask, Changed, Groups, Held, Holder, Release, Subscribe};
use crate::id::{Fence, Group};

impl Handler<Groups> for Holder {
    type Result = ();

    fn handle(&mut self, msg: Groups, ctx: &mut Context<Self>) {
        self.wanted = msg.0;
        let held = self.term.iter().flat_map(|term| term.groups().keys());
        let unwanted: Vec<Group> = held
            .filter(|group| !self.wanted.contains(group))
            .cloned()
            .collect();
        for group in unwanted {
            self.release(&group, ctx);
        }
        self.compete(ctx);
    }
}

impl Handler<Held> for Holder {
    type Result = MessageResult<Held>;

    fn handle(&mut self, _msg: Held, _ctx: &mut Context<Self>) -> Self::Result {
        self.expire();
        let groups = self.term.iter().flat_map(|term| term.groups().clone());
        MessageResult(groups.collect())
    }
}

impl Handler<Ask> for Holder {
    type Result = MessageResult<Ask>;

    fn handle(&mut self, msg: Ask, _ctx: &mut Context<Self>) -> Self::Result {
        let now = self.config.clock.now();
        let term = self.term.as_ref();
        let permit = term.and_then(|term| term.permit(&msg.0, now));
        if let Some(permit) = &permit {
            self.permitted.insert(msg.0, permit.until());
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

impl Handler<Release> for Holder {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _msg: Release, _ctx: &mut Context<Self>) -> Self::Result {
        self.wanted.clear();
        let lease = self.end_term();
        let store = Rc::clone(&self.config.store);
        let permitted = self.permitted.values().max().copied();
        let wait = permitted.map(|until| until - self.config.clock.now());
        let call = async move {
            time::sleep(wait.unwrap_or_default()).await;
            if let Some(lease) = lease
                && let Err(error) = store.revoke(lease).await
            {
                log::warn!(error:% = error; "the lease was not released and lapses by itself");
            }
        };
        Box::pin(call.into_actor(self))
    }
}

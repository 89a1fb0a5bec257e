use std::sync::Arc;

use super::Keeper;
use crate::{
    directory::{Codec, Contact, Feed, Instance},
    error::{Error, Kind, Result},
    id::Revision,
    route::{Limits, Plan, Version},
    store::{Change, Event, Item, Path},
};

/// Plans that consist of their version.
#[derive(Debug)]
struct Numbers;

impl Codec for Numbers {
    fn instance(&self, _path: &Path, _value: &[u8]) -> Result<Instance> {
        Err(Error::new(Kind::BadRequest, "no endpoint"))
    }

    fn plan(&self, value: &[u8]) -> Result<Plan> {
        let text = std::str::from_utf8(value).unwrap_or_default();
        let version: Version = text.parse()?;
        Ok(Plan::new(version, Vec::new(), Limits::default()))
    }
}

fn path(key: &str) -> Path {
    key.parse().expect("a valid path")
}

fn snapshot(key: &str, value: &str) -> Feed {
    Feed::Snapshot(vec![Item {
        path: path(key),
        value: value.as_bytes().to_vec(),
        created: Revision::new(1),
        modified: Revision::new(2),
    }])
}

fn change(change: Change) -> Feed {
    Feed::Changes(vec![Event {
        path: path("/plan"),
        change,
        revision: Revision::new(3),
    }])
}

fn put(value: &str) -> Feed {
    change(Change::Put(value.as_bytes().to_vec()))
}

/// Guards against a plan that reverts after a stale read, is lost with the store, or is replaced by
/// one that cannot be read.
#[test]
fn plan_in_force_only_moves_forward() {
    let mut keeper = Keeper::new(Arc::new(Numbers), path("/plan"));
    let view = keeper.view();
    let feeds = [
        ("nothing is known", Feed::Snapshot(Vec::new())),
        ("another key", snapshot("/planned", "9")),
        ("first plan", snapshot("/plan", "4")),
        ("newer plan", put("7")),
        ("stale read", snapshot("/plan", "4")),
        ("same version", put("7")),
        ("unreadable plan", put("seven")),
        ("removed", change(Change::Delete)),
        ("store lost", Feed::Contact(Contact::Lost)),
        ("empty read", Feed::Snapshot(Vec::new())),
        ("newest plan", put("12")),
    ];
    let states = feeds.map(|(name, feed)| {
        keeper.apply(feed);
        let version = view
            .borrow()
            .as_ref()
            .map(|plan| plan.version().to_string());
        format!("{name}: {}", version.unwrap_or_else(|| "none".to_owned()))
    });
    insta::assert_debug_snapshot!(states);
}

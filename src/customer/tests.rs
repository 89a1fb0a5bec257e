use std::{sync::Arc, time::Duration};

use tokio::sync::watch;

use super::*;
use crate::clock::Manual;

fn customer(name: &str, rank: Option<u8>) -> Customer {
    let name = name.parse().expect("a valid name");
    Customer { name, rank }
}

/// Guards against a request that is served without a key of a customer, and against a key that is accepted
/// for one of the two customers that list it, also if a third entry repeats it.
#[test]
fn only_keys_with_one_owner_authenticate() {
    let listed = [
        (customer("hule930", Some(1)), vec!["a", "shared", "a"]),
        (customer("fida11", None), vec!["b", "shared"]),
        (customer("mona2", None), vec!["shared"]),
        (customer("hule930", None), vec!["c"]),
    ];
    let listed = listed.map(|(customer, keys)| {
        let keys = keys.into_iter().map(Key::new).collect();
        (customer, keys)
    });
    let directory = Directory::new(listed);
    let mut results = vec![format!("{directory:?}")];
    for key in ["a", "b", "c", "shared", "A", "", "none"] {
        for public in [false, true] {
            let given = (key != "none").then(|| Key::new(key));
            let owner = directory.authenticate(given.as_ref(), public);
            let owner = owner.map_err(|error| error.to_string());
            results.push(format!("{key:?} public={public}: {owner:?}"));
        }
    }
    insta::assert_debug_snapshot!(results);
}

/// Guards against keys that are accepted by a process without a recent confirmation, such as one that was
/// suspended, and against a process that accepts no key after the store has returned.
#[test]
fn keys_are_accepted_until_the_confirmation_is_too_old() {
    let clock = Manual::new();
    let confirmed = watch::Sender::new(None);
    let freshness = |revocation: Option<u64>| {
        let revocation = revocation.map(Duration::from_secs);
        Freshness::new(confirmed.subscribe(), revocation, Arc::new(clock.clone()))
    };
    let (strict, lenient) = (freshness(Some(5)), freshness(None));
    let mut states = Vec::new();
    let mut state = |name: &str| {
        let strict = strict.check(strict.confirmed()).is_ok();
        let lenient = lenient.check(lenient.confirmed()).is_ok();
        states.push(format!(
            "{name}: strict {strict}, without a limit {lenient}"
        ));
    };
    state("not confirmed");
    clock.advance(Duration::from_secs(10));
    confirmed.send_replace(Some(Duration::from_secs(9)));
    state("1 s old");
    clock.advance(Duration::from_millis(2_999));
    state("3.999 s old");
    clock.advance(Duration::from_millis(1));
    state("4 s old");
    confirmed.send_replace(Some(Duration::from_secs(12)));
    state("confirmed again");
    clock.advance(Duration::from_hours(1));
    state("suspended for an hour");
    insta::assert_debug_snapshot!(states);
}

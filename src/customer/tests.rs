use super::*;

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

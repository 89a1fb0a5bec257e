use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

use super::*;
use crate::id::{Endpoint, Process};

fn entry(number: usize) -> Process {
    format!("entry-{number}").parse().expect("valid name")
}

fn member(number: usize, zone: usize) -> Member {
    Member {
        endpoint: format!("engine-{number}").parse().expect("valid name"),
        zone: format!("zone-{zone}").parse().expect("valid name"),
    }
}

/// Pools of up to 120 endpoints in up to 6 zones of different sizes.
fn pools() -> impl Strategy<Value = Vec<Member>> {
    proptest::collection::vec(0usize..6, 0..120).prop_map(|zones| {
        let numbered = zones.into_iter().enumerate();
        numbered
            .map(|(number, zone)| member(number, zone))
            .collect()
    })
}

/// Returns the number of selected and of all members of each zone.
fn by_zone(pool: &[Member], chosen: &BTreeSet<Endpoint>) -> Vec<(usize, usize)> {
    let mut zones = BTreeMap::<_, (usize, usize)>::new();
    for member in pool {
        let count = zones.entry(&member.zone).or_default();
        count.0 += usize::from(chosen.contains(&member.endpoint));
        count.1 += 1;
    }
    zones.into_values().collect()
}

proptest! {
    /// Guards against too many or too few links, and against links that concentrate in one zone
    /// while other zones have unlinked endpoints.
    #[test]
    fn links_are_bounded_and_spread_over_zones(pool in pools(), number in 0usize..400) {
        let chosen = choose(&entry(number), &pool, LINKS_MAX);
        prop_assert_eq!(chosen.len(), pool.len().min(LINKS_MAX));
        let zones = by_zone(&pool, &chosen);
        let most = zones.iter().map(|(chosen, _)| *chosen).max().unwrap_or(0);
        for (chosen, present) in zones {
            prop_assert!(chosen == present || chosen + 1 >= most);
        }
    }

    /// Guards against many changed links when one endpoint is added or removed.
    #[test]
    fn removed_member_changes_at_most_one_other(
        pool in pools(),
        number in 0usize..400,
        removed in any::<prop::sample::Index>(),
    ) {
        prop_assume!(!pool.is_empty());
        let removed = removed.index(pool.len());
        let before = choose(&entry(number), &pool, LINKS_MAX);
        let mut remaining = pool.clone();
        let member = remaining.remove(removed);
        let after = choose(&entry(number), &remaining, LINKS_MAX);
        let lost: Vec<_> = before.difference(&after).collect();
        let gained = after.difference(&before).count();
        prop_assert!(lost.iter().all(|endpoint| **endpoint == member.endpoint));
        prop_assert!(gained <= lost.len());
    }

    /// Guards against a subset that depends on the order of the endpoints in the document.
    #[test]
    fn order_does_not_matter(pool in pools(), number in 0usize..400) {
        let mut reversed = pool.clone();
        reversed.reverse();
        let entry = entry(number);
        prop_assert_eq!(choose(&entry, &pool, LINKS_MAX), choose(&entry, &reversed, LINKS_MAX));
    }
}

/// Guards against subsets that overlap too much and leave some endpoints with few links. The
/// snapshot holds the minimum, mean and maximum number of links per engine, for 370 entries and 145
/// engines.
#[test]
fn subsets_cover_a_pool_evenly() {
    let pool: Vec<Member> = (0..145).map(|number| member(number, number % 6)).collect();
    let mut links = vec![0; pool.len()];
    for number in 0..370 {
        let chosen = choose(&entry(number), &pool, LINKS_MAX);
        for (member, count) in pool.iter().zip(&mut links) {
            *count += usize::from(chosen.contains(&member.endpoint));
        }
    }
    let total: usize = links.iter().sum();
    insta::assert_debug_snapshot!((links.iter().min(), total / links.len(), links.iter().max()));
}

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use sha2::{Digest, Sha256};

use crate::id::{Endpoint, Group, Process, Zone};

/// Maximum number of endpoints of a pool to which an entry keeps links. Smaller pools are linked
/// in full.
pub const LINKS_MAX: usize = 24;

/// An endpoint of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the endpoint.
    pub endpoint: Endpoint,
    /// Availability zone of the endpoint.
    pub zone: Zone,
}

/// Selects at most `max` endpoints of a pool, spread over the zones as evenly as their sizes
/// permit. Within a zone, it selects those with the highest scores (rendezvous hashing), so that a
/// member that is added or removed changes at most one other selection.
#[must_use]
pub fn choose(entry: &Process, pool: &[Member], max: usize) -> BTreeSet<Endpoint> {
    let mut zones: BTreeMap<&Zone, BTreeSet<(Reverse<u64>, &Endpoint)>> = BTreeMap::new();
    for member in pool {
        let rank = (Reverse(score(entry, &member.endpoint)), &member.endpoint);
        zones.entry(&member.zone).or_default().insert(rank);
    }
    // Each entry orders the zones differently, so that the remainder of an uneven division does not
    // always go to the same zone.
    let mut order: Vec<_> = zones.into_iter().collect();
    order.sort_by_key(|(zone, _members)| (score(entry, zone), *zone));
    let mut chosen = BTreeSet::new();
    let mut zones: Vec<_> = order
        .into_iter()
        .map(|(_zone, members)| members.into_iter())
        .collect();
    while chosen.len() < max {
        let before = chosen.len();
        for members in &mut zones {
            if chosen.len() < max
                && let Some((_score, endpoint)) = members.next()
            {
                chosen.insert(endpoint.clone());
            }
        }
        if chosen.len() == before {
            break;
        }
    }
    chosen
}

/// Selects at most `max` processes for a duty: those with the highest scores (rendezvous hashing). All
/// processes that know the same pool select the same ones.
#[must_use]
pub fn rendezvous<'a>(
    duty: &Group,
    pool: impl Iterator<Item = &'a Process>,
    max: usize,
) -> BTreeSet<Process> {
    let ranked: BTreeSet<_> = pool
        .map(|process| (Reverse(score(process, duty)), process))
        .collect();
    let chosen = ranked.into_iter().take(max);
    chosen.map(|(_score, process)| process.clone()).collect()
}

/// Score of a name for an entry. It must be the same in every version of the program, so it does
/// not use the hasher of the standard library, which may change between versions.
fn score(entry: &Process, name: &impl std::fmt::Display) -> u64 {
    let hash = Sha256::digest(format!("{entry}\n{name}"));
    let (head, _rest) = hash.split_at(size_of::<u64>());
    head.iter()
        .fold(0, |score, byte| score << 8 | u64::from(*byte))
}

use rand::Rng;

use super::*;
use crate::testing::seeds;

/// Seeds of the randomized runs.
const SEEDS: std::ops::Range<u64> = 0..40;

fn inject_faults(store: &Memory, handle: &Handle, rng: &mut StdRng) {
    store.set_faults(Faults {
        down: rng.random_bool(0.3),
        lose_answers: u32::from(rng.random_bool(0.4)),
        delay: Duration::from_millis(rng.random_range(0..2_600)),
    });
    if rng.random_bool(0.3) {
        let pause = Duration::from_millis(rng.random_range(0..20_000));
        handle.address.do_send(Pause(pause));
    }
    if rng.random_bool(0.3) {
        handle.address.do_send(groups(rng.random_range(0..=4)));
    }
}

/// Guards against two holders, a fencing number that decreases, and a group that stays without a
/// holder, under random store outages, lost answers, delays, pauses and changes of the wanted
/// groups.
#[test]
fn authority_is_single_under_random_faults() {
    for seed in seeds(SEEDS) {
        with_paused_time(async move {
            let context = format!("seed {seed}");
            let mut rng = StdRng::seed_from_u64(seed);
            let store = Memory::new(System::shared());
            let clients = [store.client(), store.client(), store.client()];
            let mut checker = HolderChecker::default();
            let mut holders = Vec::new();
            for (client, number) in clients.iter().zip(1..) {
                let holder = holder(client, seed * 10 + number);
                holder.address.do_send(groups(4));
                holders.push(holder);
            }
            for _ in 0..30 {
                let index = rng.random_range(0..clients.len());
                inject_faults(&clients[index], &holders[index], &mut rng);
                let period = Duration::from_millis(rng.random_range(0..6_000));
                checker.check_for(&holders, period, &context).await;
            }
            for (client, holder) in clients.iter().zip(&holders) {
                client.set_faults(Faults::default());
                holder.address.do_send(groups(4));
            }
            let end = Duration::from_secs(20) + TAKEOVER_MAX;
            let held = checker.check_for(&holders, end, &context).await;
            assert_eq!(held, 4, "{context}: a group has no holder");
        });
    }
}

use std::{cell::RefCell, collections::BTreeMap};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;
use crate::testing::seeds;

/// Executions by the service, and attempts that callers were told did not run.
#[derive(Default)]
struct Service {
    by_key: RefCell<BTreeMap<u32, u32>>,
    by_attempt: RefCell<BTreeMap<u32, u32>>,
    reported_not_run: RefCell<Vec<u32>>,
}

impl Service {
    fn execute(&self, key: u32, attempt: u32) {
        let mut by_key = self.by_key.borrow_mut();
        let count = by_key.entry(key).or_default();
        *count += 1;
        assert_eq!(*count, 1, "key {key} ran again in attempt {attempt}");
        self.by_attempt.borrow_mut().insert(attempt, 1);
    }

    /// Sends one attempt to an agent and runs the operation if the claim is fresh.
    async fn attempt(&self, agent: Agent, key: u32, attempt: u32, release: bool) {
        let Ok(answer) = agent.ledger.send(claim(key, attempt)).await else {
            return;
        };
        match answer {
            Ok(Claimed::Fresh) if release => {
                agent.ledger.do_send(Release(claim(key, attempt)));
                self.reported_not_run.borrow_mut().push(attempt);
            }
            Ok(Claimed::Fresh) => {
                self.execute(key, attempt);
                pause(u64::from(attempt % 40)).await;
                let claim = claim(key, attempt);
                let outcome = outcome(b"paid");
                agent.ledger.do_send(Record { claim, outcome });
            }
            Ok(Claimed::Ended { .. }) => {
                let ran = self.by_key.borrow().contains_key(&key);
                assert!(ran, "key {key} has an outcome but never ran");
            }
            Err(error) if error.executed() == Executed::No => {
                self.reported_not_run.borrow_mut().push(attempt);
            }
            Err(_unknown) => {}
        }
    }
}

/// Checks that no ledger has panicked: a violated invariant ends the actor without an error at its
/// senders.
fn assert_alive(agent: &Agent, seed: u64) {
    assert!(agent.ledger.connected(), "a ledger failed, seed {seed}");
}

/// Runs agents with kills, freezes, store outages, lost responses and duplicate keys in random
/// order. Returns the number of operations that ran.
async fn run_random_faults(seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = Memory::new(System::shared());
    let mut agents: Vec<Agent> = (0..3)
        .map(|endpoint| Agent::start(&store, endpoint, endpoint as u64))
        .collect();
    let service = Rc::new(Service::default());
    let mut tasks = Vec::new();
    for step in 1..=400_u32 {
        let at = rng.random_range(0..agents.len());
        match rng.random_range(0..100) {
            0..4 => {
                assert_alive(&agents[at], seed);
                agents[at].ledger.do_send(Stop);
                agents[at] = Agent::start(&store, at, 100 + u64::from(step));
            }
            4..8 => agents[at].link.frozen.set(true),
            8..18 => agents[at].link.frozen.set(false),
            18..22 => agents[at].link.memory.set_faults(DOWN),
            22..28 => agents[at]
                .link
                .memory
                .set_faults(losing(rng.random_range(1..4))),
            28..31 => {
                let delay = Duration::from_millis(rng.random_range(1..3_000));
                agents[at].link.memory.set_faults(slow(delay));
            }
            31..34 => {
                let delay = Duration::from_millis(rng.random_range(0..4_000));
                agents[at].link.write_delay.set(delay);
            }
            34..44 => {
                agents[at].link.write_delay.set(Duration::ZERO);
                agents[at].link.memory.set_faults(Faults::default());
            }
            _ => {
                let key = step / 10 + rng.random_range(0..10);
                let release = rng.random_bool(0.1);
                for (copy, agent) in agents.iter().enumerate() {
                    if rng.random_bool(0.6) {
                        let number = step * 10 + u32::try_from(copy).expect("few");
                        let (service, agent) = (Rc::clone(&service), agent.clone());
                        tasks.push(actix::spawn(async move {
                            service.attempt(agent, key, number, release).await;
                        }));
                    }
                }
            }
        }
        pause(rng.random_range(0..300)).await;
    }
    for agent in &agents {
        agent.link.frozen.set(false);
        agent.link.write_delay.set(Duration::ZERO);
        agent.link.memory.set_faults(Faults::default());
    }
    pause(60_000).await;
    for agent in &agents {
        assert_alive(agent, seed);
    }
    for task in tasks {
        task.await.expect("no attempt fails");
    }
    let by_attempt = service.by_attempt.take();
    for attempt in service.reported_not_run.borrow().iter() {
        let ran = by_attempt.contains_key(attempt);
        assert!(
            !ran,
            "attempt {attempt} was reported as not executed but ran"
        );
    }
    for key in 0..50 {
        let ran = service.by_key.borrow().contains_key(&key);
        let recorded = agents[0].lookup(key).await;
        let right = match recorded {
            Recorded::Absent => !ran,
            Recorded::Ended { .. } => ran,
            Recorded::Started => true,
            Recorded::Unavailable => false,
        };
        assert!(right, "key {key}, ran: {ran}, recorded: {recorded:?}");
    }
    by_attempt.len()
}

/// Guards against combinations of faults in which an operation runs twice, or runs although its
/// caller was told that it did not.
#[actix::test]
async fn keys_run_at_most_once_under_random_faults() {
    time::pause();
    for seed in seeds(0..40) {
        let ran = run_random_faults(seed).await;
        assert!(ran > 10, "seed {seed} ran only {ran} operations");
    }
}

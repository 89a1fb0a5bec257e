use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    exchange::run_scripted,
    fake::{FakeSettings, call, generation, start_relay},
    script::{AgentEvent, Script},
    *,
};
use crate::{
    error::{Executed, Kind},
    testing::{seeds, with_paused_time},
    wire::Work,
};

/// Seeds of the runs. Assertion messages name the seed.
const SEEDS: std::ops::Range<u64> = 0..400;
const LENGTH: usize = 40;

/// Whether the events of an attempt prove that nothing ran.
fn proves_not_run(acts: &[AgentEvent]) -> bool {
    let parts = acts.iter().any(|act| matches!(act, AgentEvent::Data(..)));
    matches!(acts.last(), Some(AgentEvent::Fail(_, Executed::No))) && !parts
}

/// Generates the events of one attempt that starts at offset `from`, and the offset it reaches.
fn random_acts(rng: &mut StdRng, from: usize) -> (Vec<AgentEvent>, usize) {
    let mut acts = Vec::new();
    let mut at = from;
    loop {
        let length = rng.random_range(0..12).min(LENGTH - at);
        let slice = |offset: usize, length: usize| text(LENGTH)[offset..offset + length].to_vec();
        match rng.random_range(0..20) {
            0..10 if at < LENGTH => {
                acts.push(AgentEvent::Data(at as u64, slice(at, length)));
                at += length;
            }
            10 => acts.push(AgentEvent::Data(0, slice(0, at.min(5)))),
            11 => acts.push(AgentEvent::Stale(at as u64, vec![b'!'; 3])),
            12 => {
                acts.push(AgentEvent::Lost);
                return (acts, at);
            }
            13 | 14 => {
                let kinds = [
                    (Kind::Leaving, Executed::No),
                    (Kind::WrongIncarnation, Executed::No),
                    (Kind::EndpointFailed, Executed::Unknown),
                    (Kind::EndpointLost, Executed::No),
                    (Kind::StoreUnavailable, Executed::No),
                ];
                let (kind, executed) = kinds[rng.random_range(0..kinds.len())];
                acts.push(AgentEvent::Fail(kind, executed));
                return (acts, at);
            }
            15 if at < LENGTH => {
                acts.push(AgentEvent::End(at as u64 + 1));
                return (acts, at);
            }
            16 if at + 2 < LENGTH => {
                acts.push(AgentEvent::Data(at as u64 + 1, slice(at + 1, 1)));
                return (acts, at);
            }
            _ if at == LENGTH => {
                acts.push(AgentEvent::End(LENGTH as u64));
                return (acts, at);
            }
            _ => {}
        }
    }
}

/// Guards against combinations of faults that corrupt a response, run an at-most-once operation
/// twice, or report `executed: no` for one that may have run.
#[test]
fn responses_stay_exact_under_random_faults() {
    for seed in seeds(SEEDS) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut script = Script::new();
        let mut at = 0;
        let resumes = seed % 3 == 0;
        for _ in 0..3 {
            let from = if resumes { at } else { 0 };
            let (acts, end) = random_acts(&mut rng, from);
            script.push_back(acts);
            at = end;
        }
        let request = match seed % 3 {
            0 => generation(),
            1 => call(true),
            _ => call(false),
        };
        let once = matches!(&request.work, Work::Invoke(invoke) if invoke.at_most_once);
        let budget = rng.random_range(0..3);
        let log = with_paused_time(async {
            let settings = FakeSettings {
                budget,
                ..FakeSettings::default()
            };
            let mut harness = start_relay(settings, 1);
            let log = run_scripted(&mut harness, request, script.clone()).await;
            assert!(harness.has_slot().await, "seed {seed} leaks its slot");
            log
        });
        check_log(seed, once, &script, &log);
    }
}

fn check_log(seed: u64, once: bool, script: &Script, log: &[String]) {
    let sent = log.iter().filter(|line| line.contains(" gets ")).count();
    // All lines except response data contain a space or begin with an upper-case letter.
    let is_data = |line: &&String| !line.contains(' ') && !line.starts_with(char::is_uppercase);
    let data = log.iter().filter(is_data);
    let received: String = data.cloned().collect();
    let response = String::from_utf8(text(LENGTH)).expect("ASCII");
    assert!(response.starts_with(&received), "seed {seed}: {log:?}");
    let complete = log.iter().any(|line| line.starts_with("complete"));
    assert!(!complete || received == response, "seed {seed}: {log:?}");
    let errors = log.iter().filter(|line| line.starts_with("error")).count();
    assert_eq!(errors, usize::from(!complete), "seed {seed}: {log:?}");
    let may_have_run = script
        .iter()
        .take(sent)
        .position(|acts| !proves_not_run(acts));
    if let Some(first) = may_have_run {
        let denied = log.iter().any(|line| line.ends_with("executed no"));
        assert!(!denied, "seed {seed}: {log:?}");
        assert!(!once || sent == first + 1, "seed {seed}: {log:?}");
    }
}

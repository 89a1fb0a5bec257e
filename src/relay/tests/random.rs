use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    exchange::play,
    fake::{Behaviour, call, generation, rig},
    script::{Act, Script},
    *,
};
use crate::{
    error::{Executed, Kind},
    testing::{on_virtual_time, seeds},
    wire::Work,
};

/// Seeds of the runs. A failure names its seed.
const SEEDS: std::ops::Range<u64> = 0..400;
const LENGTH: usize = 40;

/// Whether the agent's part of an attempt leaves it certain that nothing ran.
fn certainly_refused(acts: &[Act]) -> bool {
    let parts = acts.iter().any(|act| matches!(act, Act::Data(..)));
    matches!(acts.last(), Some(Act::Fail(_, Executed::No))) && !parts
}

fn acts(rng: &mut StdRng, from: usize) -> (Vec<Act>, usize) {
    let mut acts = Vec::new();
    let mut at = from;
    loop {
        let length = rng.random_range(0..12).min(LENGTH - at);
        let part = |offset: usize, length: usize| text(LENGTH)[offset..offset + length].to_vec();
        match rng.random_range(0..20) {
            0..10 if at < LENGTH => {
                acts.push(Act::Data(at as u64, part(at, length)));
                at += length;
            }
            10 => acts.push(Act::Data(0, part(0, at.min(5)))),
            11 => acts.push(Act::Stale(at as u64, vec![b'!'; 3])),
            12 => {
                acts.push(Act::Lost);
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
                acts.push(Act::Fail(kind, executed));
                return (acts, at);
            }
            15 if at < LENGTH => {
                acts.push(Act::End(at as u64 + 1));
                return (acts, at);
            }
            16 if at + 2 < LENGTH => {
                acts.push(Act::Data(at as u64 + 1, part(at + 1, 1)));
                return (acts, at);
            }
            _ if at == LENGTH => {
                acts.push(Act::End(LENGTH as u64));
                return (acts, at);
            }
            _ => {}
        }
    }
}

/// Guards against any mix of faults that gives a caller another answer than the exact one, calls
/// an operation twice, or denies that it ran.
#[test]
fn random_faults_keep_the_answer_exact() {
    for seed in seeds(SEEDS) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut script = Script::new();
        let mut at = 0;
        let resumes = seed % 3 == 0;
        for _ in 0..3 {
            let from = if resumes { at } else { 0 };
            let (acts, end) = acts(&mut rng, from);
            script.push_back(acts);
            at = end;
        }
        let request = match seed % 3 {
            0 => generation(),
            1 => call(true),
            _ => call(false),
        };
        let once = matches!(&request.work, Work::Invoke(invoke) if invoke.once);
        let budget = rng.random_range(0..3);
        let log = on_virtual_time(async {
            let behaviour = Behaviour {
                budget,
                ..Behaviour::default()
            };
            let mut rig = rig(behaviour, 1);
            let log = play(&mut rig, request, script.clone()).await;
            assert!(rig.has_slot().await, "seed {seed} keeps its slot");
            log
        });
        check(seed, once, &script, &log);
    }
}

fn check(seed: u64, once: bool, script: &Script, log: &[String]) {
    let sent = log.iter().filter(|line| line.contains(" gets ")).count();
    // The other lines hold a space or begin with a capital letter.
    let part = |line: &&String| !line.contains(' ') && !line.starts_with(char::is_uppercase);
    let of_caller = log.iter().filter(part);
    let got: String = of_caller.cloned().collect();
    let answer = String::from_utf8(text(LENGTH)).expect("ASCII");
    assert!(answer.starts_with(&got), "seed {seed}: {log:?}");
    let whole = log.iter().any(|line| line.starts_with("whole"));
    assert!(!whole || got == answer, "seed {seed}: {log:?}");
    let errors = log.iter().filter(|line| line.starts_with("error")).count();
    assert_eq!(errors, usize::from(!whole), "seed {seed}: {log:?}");
    let may_have_run = script
        .iter()
        .take(sent)
        .position(|acts| !certainly_refused(acts));
    if let Some(first) = may_have_run {
        let denied = log.iter().any(|line| line.ends_with("executed no"));
        assert!(!denied, "seed {seed}: {log:?}");
        assert!(!once || sent == first + 1, "seed {seed}: {log:?}");
    }
}

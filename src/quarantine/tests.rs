use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::Quarantine;
use crate::id::{Endpoint, PromptPart};

fn part(text: &str) -> PromptPart {
    text.parse().expect("a valid part")
}

fn endpoint(number: usize) -> Endpoint {
    format!("e{number}").parse().expect("a valid name")
}

/// Records crashes of different endpoints at an interval, each with the same parts.
fn crash(quarantine: &mut Quarantine, parts: &[PromptPart], count: usize, start: Instant) {
    for number in 0..count {
        let at = start + Duration::from_secs(1) * u32::try_from(number).expect("a small number");
        quarantine.record_crash(&endpoint(number), parts, at);
    }
}

/// Guards against a part that is held for crashes of another cause, or not held when it is the cause.
#[test]
fn part_is_held_after_crashes_without_an_answer() {
    let now = Instant::now();
    let later = now + Duration::from_secs(20);
    let (bad, new, old) = (part("bad"), part("1"), part("2"));
    let held = |history: &dyn Fn(&mut Quarantine)| {
        let mut quarantine = Quarantine::new();
        history(&mut quarantine);
        [bad, new, old].map(|part| quarantine.check(&[part], later).is_some())
    };
    let outcomes = [
        ("two crashes", held(&|it| crash(it, &[bad], 2, now))),
        ("three crashes", held(&|it| crash(it, &[bad], 3, now))),
        (
            "answered before, four crashes",
            held(&|it| {
                it.record_served(&[old], now);
                crash(it, &[bad, old], 4, now);
            }),
        ),
        (
            "answered before, five crashes",
            held(&|it| {
                it.record_served(&[old], now);
                crash(it, &[old], 5, now);
            }),
        ),
        (
            "answered between crashes",
            held(&|it| {
                crash(it, &[bad, new], 2, now);
                it.record_served(&[new], now + Duration::from_secs(4));
                crash(it, &[bad, new], 5, now + Duration::from_secs(5));
                it.record_served(&[new], later);
            }),
        ),
        (
            "a companion has crashes of its own",
            held(&|it| {
                crash(it, &[new, bad], 3, now);
                it.record_crash(&endpoint(7), &[bad], now + Duration::from_secs(6));
            }),
        ),
        (
            "both are causes",
            held(&|it| {
                crash(it, &[bad], 4, now);
                crash(it, &[new], 3, now + Duration::from_secs(8));
            }),
        ),
        (
            "a zone ends at once",
            held(&|it| {
                for number in 0..9 {
                    it.record_crash(&endpoint(number), &[bad, new, old], now);
                }
            }),
        ),
        (
            "one crash reported nine times",
            held(&|it| {
                for number in 0..9_u32 {
                    let at = now + Duration::from_millis(200) * number;
                    it.record_crash(&endpoint(1), &[bad], at);
                }
            }),
        ),
    ];
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against sound requests that are refused for as long as a part is held, because one of their parts was
/// in the same crashes as the cause, and has the larger id or the smaller one (LOST).
#[test]
fn part_with_the_same_crashes_as_the_cause_is_not_refused() {
    let now = Instant::now();
    let minute = now + Duration::from_mins(1);
    let mut outcomes = Vec::new();
    for (cause, companion) in [(part("1"), part("2")), (part("2"), part("1"))] {
        let (third, other) = (part("3"), part("4"));
        let refused = |quarantine: &mut Quarantine, at| -> Vec<&str> {
            let requests = [
                (
                    "with the cause and its companions",
                    vec![companion, third, cause],
                ),
                ("with the cause and one companion", vec![companion, cause]),
                ("with the cause", vec![other, cause]),
                ("with all companions", vec![companion, third]),
                ("with one companion", vec![companion, other]),
            ];
            let refused = requests
                .into_iter()
                .filter(|(_, parts)| quarantine.check(parts, at).is_some());
            refused.map(|(name, _)| name).collect()
        };
        let mut quarantine = Quarantine::new();
        crash(&mut quarantine, &[companion, third, cause], 3, now);
        let mut outcome = vec![("three crashes", refused(&mut quarantine, minute))];
        let mut without_a_companion = Quarantine::new();
        crash(&mut without_a_companion, &[companion, third, cause], 3, now);
        without_a_companion.record_crash(&endpoint(7), &[companion, cause], minute);
        outcome.push((
            "a crash without one companion",
            refused(&mut without_a_companion, minute),
        ));
        without_a_companion.record_crash(&endpoint(8), &[other, cause], minute);
        outcome.push((
            "a crash without both",
            refused(&mut without_a_companion, minute),
        ));
        quarantine.record_served(&[companion, other], minute);
        outcome.push((
            "one companion is answered",
            refused(&mut quarantine, minute),
        ));
        quarantine.record_served(&[companion, third], minute);
        outcome.push(("both are answered", refused(&mut quarantine, minute)));
        outcomes.push(outcome);
    }
    assert_eq!(outcomes[0], outcomes[1]);
    insta::assert_debug_snapshot!(outcomes[0]);
}

/// Guards against a part that is held for ever, and against one that ends engines again at will.
#[test]
fn hold_ends_and_one_crash_renews_it() {
    let now = Instant::now();
    let bad = [part("bad")];
    let mut quarantine = Quarantine::new();
    crash(&mut quarantine, &bad, 3, now);
    let minutes = |count| now + Duration::from_mins(count);
    let mut held = vec![quarantine.check(&bad, minutes(9)).is_some()];
    held.push(quarantine.check(&bad, minutes(11)).is_some());
    quarantine.take_report(minutes(11));
    quarantine.record_crash(&endpoint(9), &bad, minutes(12));
    held.push(quarantine.check(&bad, minutes(13)).is_some());
    assert_eq!(held, [true, false, true]);
}

#[derive(Clone, Debug)]
enum Event {
    Crash(usize, usize, u8),
    Served(usize, u8),
    Report(usize),
    Wait(u16),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        3 => (0_usize..3, 0_usize..6, 0_u8..4).prop_map(|(at, endpoint, part)| Event::Crash(at, endpoint, part)),
        2 => (0_usize..3, 1_u8..4).prop_map(|(at, part)| Event::Served(at, part)),
        3 => (0_usize..3).prop_map(Event::Report),
        2 => (1_u16..3_000).prop_map(Event::Wait),
    ];
    proptest::collection::vec(event, 0..120)
}

proptest! {
    /// Guards against a gateway that holds a part which has been answered everywhere since its last
    /// crash, and against gateways that disagree on a part that only crashes once all have reported.
    /// Part 0 is never answered.
    #[test]
    fn gateways_agree_after_their_reports(events in events()) {
        let mut now = Instant::now();
        let parts: Vec<PromptPart> = ["0", "1", "2", "3"].map(part).to_vec();
        let mut gateways = [Quarantine::new(), Quarantine::new(), Quarantine::new()];
        let report = |gateways: &mut [Quarantine; 3], from: usize, now| {
            let report = gateways[from].take_report(now);
            for to in (0..3).filter(|to| *to != from) {
                gateways[to].apply_report(report.clone(), now);
            }
        };
        let mut ended_at = [None; 6];
        for event in events {
            match event {
                Event::Crash(at, endpoint_number, part) => {
                    // An endpoint takes three seconds to start again.
                    let ended = *ended_at[endpoint_number].get_or_insert(now);
                    if now > ended && now < ended + Duration::from_secs(3) {
                        continue;
                    }
                    ended_at[endpoint_number] = Some(now);
                    let part = parts[usize::from(part)];
                    gateways[at].record_crash(&endpoint(endpoint_number), &[part], now);
                }
                Event::Served(at, part) => gateways[at].record_served(&[parts[usize::from(part)]], now),
                Event::Report(from) => report(&mut gateways, from, now),
                Event::Wait(millis) => now += Duration::from_millis(u64::from(millis)),
            }
        }
        for _ in 0..2 {
            now += Duration::from_secs(2);
            for from in 0..3 {
                report(&mut gateways, from, now);
            }
        }
        let unanswered = gateways.each_mut().map(|it| it.check(&parts[..1], now).is_some());
        prop_assert!(unanswered.iter().all(|held| *held == unanswered[0]), "{unanswered:?}");
        for gateway in &mut gateways {
            gateway.record_served(&parts[1..], now);
            prop_assert_eq!(gateway.check(&parts[1..], now), None);
        }
    }
}

/// Guards against a gateway that refuses a part which a peer knows to be answered: since its crashes, or before
/// them and the gateway has started since.
#[test]
fn answers_are_passed_on_to_gateways_that_lack_them() {
    let now = Instant::now();
    let (sound, cause) = (part("2"), part("1"));
    let report = |from: &mut Quarantine, to: &mut Quarantine, at| {
        to.apply_report(from.take_report(at), at);
    };
    let held = |quarantine: &mut Quarantine, at| {
        let hold = quarantine.check(&[sound, cause], at);
        hold.map(|hold| hold.parts.to_string())
    };
    let seconds = |count| now + Duration::from_secs(count);

    let (mut first, mut second) = (Quarantine::new(), Quarantine::new());
    crash(&mut first, &[sound], 3, now);
    second.record_served(&[sound], seconds(5));
    let mut outcomes = vec![("before a report", held(&mut first, seconds(6)))];
    report(&mut first, &mut second, seconds(6));
    report(&mut second, &mut first, seconds(6));
    outcomes.push(("answered after the crashes", held(&mut first, seconds(6))));

    let (mut first, mut second) = (Quarantine::new(), Quarantine::new());
    second.record_served(&[sound], now);
    crash(&mut first, &[sound, cause], 3, seconds(1));
    report(&mut first, &mut second, seconds(4));
    report(&mut second, &mut first, seconds(4));
    outcomes.push(("answered before the crashes", held(&mut first, seconds(6))));
    let mut started = Quarantine::new();
    crash(&mut started, &[sound, cause], 3, seconds(5));
    outcomes.push(("started since", held(&mut started, seconds(9))));
    report(&mut second, &mut started, seconds(9));
    outcomes.push((
        "started since, after a report",
        held(&mut started, seconds(9)),
    ));
    insta::assert_debug_snapshot!(outcomes);
}

/// A step of a fleet of three gateways, one of whose parts of prompts ends engines.
#[derive(Clone, Debug)]
enum Step {
    /// A request with these parts, the one that ends engines among them or not.
    Request(usize, Vec<u8>),
    /// A gateway is killed and starts again.
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let parts = proptest::sample::subsequence(vec![0_u8, 1, 2, 3, 4], 1..4);
    let step = prop_oneof![
        9 => (0_usize..3, parts).prop_map(|(at, parts)| Step::Request(at, parts)),
        1 => (0_usize..3).prop_map(Step::Restart),
    ];
    proptest::collection::vec(step, 0..80)
}

proptest! {
    /// Guards against sound requests that are refused for a part that they share with requests that end engines
    /// (LOST), and against further crashes once the cause could be known (BUDGET), whatever the ids.
    #[test]
    fn cause_is_found_beside_its_companions(steps in steps(), cause in 0_u8..5) {
        let mut now = Instant::now();
        let mut gateways = [Quarantine::new(), Quarantine::new(), Quarantine::new()];
        let (mut crashes, mut restarts) = (0, 0);
        for step in steps {
            now += Duration::from_secs(1);
            match step {
                Step::Request(at, numbers) => {
                    let parts: Vec<_> = numbers.iter().map(|number| part(&number.to_string())).collect();
                    let is_sound = !numbers.contains(&cause);
                    let is_refused = gateways[at].check(&parts, now).is_some();
                    prop_assert!(!(is_sound && is_refused), "{numbers:?} at {at}");
                    if is_sound {
                        gateways[at].record_served(&parts, now);
                    } else if !is_refused {
                        gateways[at].record_crash(&endpoint(crashes), &parts, now);
                        crashes += 1;
                    }
                }
                Step::Restart(at) => {
                    gateways[at] = Quarantine::new();
                    restarts += 1;
                }
            }
            for from in 0..3 {
                let report = gateways[from].take_report(now);
                for to in (0..3).filter(|to| *to != from) {
                    gateways[to].apply_report(report.clone(), now);
                }
            }
        }
        // Three crashes, one more for each companion that was in all of them, and what a restart may forget.
        prop_assert!(crashes <= 3 + 2 + 5 * restarts, "{crashes} crashes, {restarts} restarts");
    }
}

/// Guards against gateways that report the crashes of a part which is answered all the time to each
/// other without end.
#[test]
fn reports_of_a_crash_end() {
    const GATEWAYS: usize = 8;
    const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
    let (popular, bad) = (part("1"), part("bad"));
    let mut now = Instant::now();
    let mut gateways: Vec<Quarantine> = (0..GATEWAYS).map(|_| Quarantine::new()).collect();
    for gateway in &mut gateways {
        gateway.record_served(&[popular], now);
    }
    for number in 0..3 {
        now += Duration::from_secs(1);
        gateways[0].record_crash(&endpoint(number), &[popular, bad], now);
    }
    let mut entries = [0; 20];
    for count in &mut entries {
        for _ in 0..10 {
            now += DIGEST_INTERVAL;
            for from in 0..GATEWAYS {
                gateways[from].record_served(&[popular], now);
                let report = gateways[from].take_report(now);
                *count += report.crashes.len() + report.answers.len();
                for to in (0..GATEWAYS).filter(|to| *to != from) {
                    gateways[to].apply_report(report.clone(), now);
                }
            }
        }
    }
    let held = gateways.iter_mut().map(|it| it.check(&[popular, bad], now));
    let held: Vec<_> = held
        .map(|hold| hold.map(|hold| hold.parts.to_string()))
        .collect();
    assert_eq!(held, vec![Some(bad.to_string()); GATEWAYS]);
    // The crashes of the held part, once a second and gateway.
    assert!(
        entries[10..].iter().all(|count| *count <= 3 * GATEWAYS),
        "{entries:?}"
    );
}

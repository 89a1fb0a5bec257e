use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::*;
use crate::{directory::Started, id::Endpoint};

/// Guards against a pause that is misread: an endpoint that is closed for good, or not at all.
#[test]
fn pauses_are_read_from_seconds_only() {
    let texts = [
        "2",
        " 0.25 ",
        "0",
        "1e9",
        "1000000000000000000000000",
        "999999",
        "-1",
        "",
        ".",
        "inf",
        "NaN",
        "2, 3",
        "Fri, 04 Dec 2026 23:00:00 GMT",
    ];
    let read = texts.map(|text| {
        let pause = text.parse::<Pause>();
        (
            text,
            pause.map_or_else(|_| "ignored".to_owned(), |pause| pause.to_string()),
        )
    });
    insta::assert_debug_snapshot!(read);
}

#[derive(Clone, Debug)]
enum Event {
    /// An answer with these notices, of the current run or of the former one.
    Answer(usize, Notice, bool),
    /// A new run under the same id, which the store lists.
    Restart(usize),
    /// The store lists the endpoint as it did before, or as of an earlier run.
    Listed(usize, bool),
    Wait(Duration),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let pause = prop_oneof![Just("0"), Just("0.3"), Just("2"), Just("7.5")];
    let pause = prop::option::of(pause.prop_map(|text| text.parse().expect("a pause")));
    let notice =
        (prop::bool::weighted(0.1), pause).prop_map(|(leaving, pause)| Notice { leaving, pause });
    let event = prop_oneof![
        4 => (0_usize..3, notice, prop::bool::weighted(0.2))
            .prop_map(|(endpoint, notice, stale)| Event::Answer(endpoint, notice, stale)),
        1 => (0_usize..3).prop_map(Event::Restart),
        2 => (0_usize..3, any::<bool>()).prop_map(|(endpoint, stale)| Event::Listed(endpoint, stale)),
        4 => (1_u64..3_000).prop_map(|millis| Event::Wait(Duration::from_millis(millis))),
    ];
    prop::collection::vec(event, 0..80)
}

proptest! {
    /// Guards against a leaving endpoint that gets requests again in the same run, one that is opened
    /// before its time, and one that stays closed after it or after a restart.
    #[test]
    fn notices_bind_for_their_time_and_run(events in events()) {
        let mut now = Instant::now();
        let mut board = Board::default();
        let names: [Endpoint; 3] = ["e0", "e1", "e2"].map(|id| id.parse().expect("a name"));
        let mut run = [1_u64; 3];
        let mut leaving = [false; 3];
        let mut until = [now; 3];
        for event in events {
            match event {
                Event::Answer(endpoint, notice, true) => {
                    let started = run[endpoint].checked_sub(1).map(Started::from_millis);
                    // Without an entry the board does not know of the later run.
                    if board.closure(&names[endpoint]) != Closure::default() {
                        board.record(&names[endpoint], started, notice, now);
                    }
                }
                Event::Answer(endpoint, notice, false) => {
                    let started = Some(Started::from_millis(run[endpoint]));
                    board.record(&names[endpoint], started, notice, now);
                    leaving[endpoint] |= notice.leaving;
                    let pause = notice.pause.map_or(Duration::ZERO, Pause::duration);
                    until[endpoint] = until[endpoint].max(now + pause);
                }
                Event::Restart(endpoint) => {
                    run[endpoint] += 1;
                    board.set_run(&names[endpoint], Some(Started::from_millis(run[endpoint])));
                    leaving[endpoint] = false;
                    until[endpoint] = now;
                }
                Event::Listed(endpoint, stale) => {
                    let run = run[endpoint] - u64::from(stale && run[endpoint] > 1);
                    board.set_run(&names[endpoint], Some(Started::from_millis(run)));
                    board.take_reopened(now);
                }
                Event::Wait(time) => now += time,
            }
            for endpoint in 0..3 {
                let expected = if leaving[endpoint] {
                    Standing::Leaving
                } else if now < until[endpoint] {
                    Standing::Paused
                } else {
                    Standing::Open
                };
                let closure = board.closure(&names[endpoint]);
                prop_assert_eq!(closure.standing(now), expected);
                prop_assert_eq!(closure.share(now).get() > 0.0, expected == Standing::Open);
                let opens_in = (expected == Standing::Paused).then(|| until[endpoint] - now);
                prop_assert_eq!(closure.opens_in(now), opens_in);
            }
        }
    }
}

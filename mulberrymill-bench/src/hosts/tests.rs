use std::{sync::Arc, time::Duration};

use mulberrymill::clock::Manual;

use super::*;

/// Guards against a list that shows changes immediately, because the stand-in would then hide that
/// a process relies on an up-to-date list.
#[test]
fn changes_become_visible_after_the_lag() {
    let clock = Manual::new();
    let config = Config {
        hosts: vec![HostRecord {
            host: "h1".parse().expect("a name"),
            zone: "z1".parse().expect("a name"),
            state: State::Live,
        }],
        lag: Duration::from_secs(10),
    };
    let mut list = HostList::new(config, Arc::new(clock.clone()));
    let mut lines = Vec::new();
    for (name, zone) in [("h1", None), ("h2", Some("z2")), ("h3", None)] {
        let zone = zone.map(|zone| zone.parse().expect("a name"));
        let accepted = list.set(name.parse().expect("a name"), zone, State::Leaving);
        lines.push(format!("{name} accepted: {accepted}"));
    }
    for (seconds, stale) in [(9, true), (9, false), (0, false)] {
        clock.advance(Duration::from_secs(seconds));
        let visible = list.visible_hosts();
        let visible = visible
            .iter()
            .map(|one| format!("{} {:?}", one.host, one.state));
        lines.push(format!(
            "{:?}: {:?}",
            clock.elapsed(),
            visible.collect::<Vec<_>>()
        ));
        list.set_stale(stale);
    }
    insta::assert_debug_snapshot!(lines);
}

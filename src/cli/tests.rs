use std::{
    collections::BTreeMap,
    env, fs, io,
    net::TcpListener,
    panic, process,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use serde_json::json;

use super::{
    imp::{Failure, command, with_causes},
    serve,
    status::screen,
};
use crate::{
    authority::Tenure,
    error::{Error, Kind},
    id::{Fence, Revision},
    operator::{Count, StatusReport},
    routing::EndpointStatus,
    wire::Role,
};

/// Guards against arguments that clash, which clap finds only when it builds them.
#[test]
fn command_line_is_consistent() {
    command().debug_assert();
    insta::assert_snapshot!(command().render_long_help());
}

/// Guards against a help text that does not say which sections there are.
#[test]
fn help_lists_the_sections() {
    let help = command().try_get_matches_from(["mulberrymill", "config", "put", "--help"]);
    let help = help.expect_err("help is not a command").to_string();
    let all = "One of models, classes, roles, callers, services, endpoints, limits";
    assert!(help.contains(all), "{help}");
}

/// Guards against a status screen that is broken or leaves something out.
#[test]
fn status_fits_on_a_screen() {
    let report = StatusReport {
        process: "entry-1".parse().expect("valid name"),
        revision: Revision::new(12),
        endpoints: vec![EndpointStatus {
            endpoint: "review-1".parse().expect("valid name"),
            up: true,
            leaving: false,
            role: Role::Prefill,
            in_progress: 7,
            revision: Revision::new(11),
        }],
        authority: BTreeMap::from([(
            "review".parse().expect("valid name"),
            Tenure {
                process: "entry-1".parse().expect("valid name"),
                fence: Fence::new(9),
            },
        )]),
        classes: BTreeMap::from([(
            "verdict".parse().expect("valid name"),
            Count {
                served: 100,
                late: 1,
                refused: 2,
                failed: 0,
            },
        )]),
    };
    insta::assert_snapshot!(screen(&report));
}

/// Guards against a failure that hides its cause, such as a port that is in use.
#[test]
fn causes_are_shown() {
    let cause = io::Error::other("address in use");
    let error = Error::new(Kind::Internal, "cannot listen on 127.0.0.1:7000").with_source(cause);
    assert_eq!(
        with_causes(&error),
        "internal: cannot listen on 127.0.0.1:7000: address in use"
    );
}

/// Guards against a panic of an entry whose port is in use, which hid the reason.
#[test]
fn taken_port_is_reported() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = taken.local_addr().expect("bound");
    let settings = json!({
        "process": "entry-1",
        "zone": "a",
        "listen": address,
        "store": [address],
        "operator_key_sha256": "0".repeat(64),
        "log": "error",
    });
    let file = env::temp_dir().join(format!("mulberrymill-{}-taken-port.jsonc", process::id()));
    fs::write(&file, settings.to_string()).expect("writable folder");
    // The runtime catches panics of tasks, so that only the hook sees them.
    let panicked = Arc::new(AtomicBool::new(false));
    let (seen, own) = (Arc::clone(&panicked), thread::current().id());
    let before = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        seen.fetch_or(thread::current().id() == own, Ordering::Relaxed);
        before(info);
    }));
    let outcome = serve::entry(file.to_str().expect("valid path"));
    fs::remove_file(&file).expect("written above");
    assert!(!panicked.load(Ordering::Relaxed), "an actor panicked");
    let Err(Failure::Failed(error)) = outcome else {
        panic!("the entry started on a taken port: {outcome:?}");
    };
    assert_eq!(error.kind(), Kind::Internal);
    assert!(error.detail().contains(&address.to_string()));
}

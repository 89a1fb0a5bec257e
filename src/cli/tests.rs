use std::{collections::BTreeMap, io};

use super::{
    imp::{command, with_causes},
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

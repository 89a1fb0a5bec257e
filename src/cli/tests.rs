use std::{collections::BTreeMap, io};

use super::{
    imp::{command, error_chain},
    status::format_report,
};
use crate::{
    authority::GroupHolder,
    error::{Error, Kind},
    id::{Fence, Revision},
    operator::{OutcomeCounts, StatusReport},
    routing::EndpointStatus,
    wire::Role,
};

/// Checks the definition of the command line, whose conflicts clap detects only at run time.
#[test]
fn command_line_is_consistent() {
    command().debug_assert();
    insta::assert_snapshot!(command().render_long_help());
}

/// Checks that the help text names all sections.
#[test]
fn help_lists_the_sections() {
    let help = command().try_get_matches_from(["mulberrymill", "config", "put", "--help"]);
    let help = help.expect_err("help is not a command").to_string();
    let all = "One of models, classes, roles, callers, services, endpoints, limits";
    assert!(help.contains(all), "{help}");
}

/// Checks that the formatted status has aligned columns and all parts of the report.
#[test]
fn status_report_is_formatted() {
    let report = StatusReport {
        process: "entry-1".parse().expect("valid name"),
        revision: Revision::new(12),
        endpoints: vec![EndpointStatus {
            endpoint: "review-1".parse().expect("valid name"),
            up: true,
            leaving: false,
            paused: true,
            role: Role::Prefill,
            in_progress: 7,
            revision: Revision::new(11),
        }],
        authority: BTreeMap::from([(
            "review".parse().expect("valid name"),
            GroupHolder {
                process: "entry-1".parse().expect("valid name"),
                fence: Fence::new(9),
            },
        )]),
        classes: BTreeMap::from([(
            "verdict".parse().expect("valid name"),
            OutcomeCounts {
                served: 100,
                late: 1,
                refused: 2,
                failed: 0,
            },
        )]),
    };
    insta::assert_snapshot!(format_report(&report));
}

/// Checks that an error is printed with its source, such as a port that is in use.
#[test]
fn error_sources_are_printed() {
    let cause = io::Error::other("address in use");
    let error = Error::new(Kind::Internal, "cannot listen on 127.0.0.1:7000").with_source(cause);
    assert_eq!(
        error_chain(&error),
        "internal: cannot listen on 127.0.0.1:7000: address in use"
    );
}

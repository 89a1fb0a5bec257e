use std::collections::BTreeMap;

use super::{imp::command, status::screen};
use crate::{
    authority::Tenure,
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

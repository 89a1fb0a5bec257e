use std::fmt::Write as _;

use clap::ArgMatches;

use super::{
    client::Operator,
    imp::{Result, argument, print},
    serve::block_on,
};
use crate::{
    error::{Error, Kind},
    id::Endpoint,
    operator::StatusReport,
};

pub(super) fn show(matches: &ArgMatches) -> Result<()> {
    block_on(async {
        let report: StatusReport = Operator::open(argument(matches, "entry"))?
            .get("status")
            .await?;
        if matches.get_flag("json") {
            let json = serde_json::to_string_pretty(&report)
                .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
            print(&json);
        } else {
            print(&screen(&report).trim_end());
        }
        Ok(())
    })
}

/// The state on one screen.
pub(super) fn screen(report: &StatusReport) -> String {
    let mut out = format!("entry {}  revision {}\n\n", report.process, report.revision);
    let widths = "endpoint             up     leaving  role     in progress  revision\n";
    out.push_str(widths);
    for endpoint in &report.endpoints {
        // Writing to a string cannot fail.
        let _infallible = writeln!(
            out,
            "{:<20} {:<6} {:<8} {:<8} {:<12} {}",
            endpoint.endpoint,
            yes(endpoint.up),
            yes(endpoint.leaving),
            endpoint.role.to_string(),
            endpoint.in_progress,
            endpoint.revision,
        );
    }
    out.push_str("\nclass                served   late     refused  failed\n");
    for (class, count) in &report.classes {
        let _infallible = writeln!(
            out,
            "{class:<20} {:<8} {:<8} {:<8} {}",
            count.served, count.late, count.refused, count.failed,
        );
    }
    out.push_str("\ngroup                held by  fencing number\n");
    for (group, tenure) in &report.authority {
        let _infallible = writeln!(out, "{group:<20} {:<8} {}", tenure.process, tenure.fence);
    }
    out
}

const fn yes(is: bool) -> &'static str {
    if is { "yes" } else { "no" }
}

pub(super) fn drain(matches: &ArgMatches) -> Result<()> {
    let endpoint: Endpoint = argument(matches, "endpoint");
    let resume = matches.get_flag("resume");
    block_on(async {
        let path = format!("drain/{endpoint}?resume={resume}");
        Operator::open(argument(matches, "entry"))?
            .post(&path)
            .await?;
        if matches.get_flag("json") {
            let intent = serde_json::json!({ "endpoint": endpoint, "drain": !resume });
            print(&intent);
        } else {
            let what = if resume {
                "will take new work"
            } else {
                "will take no new work"
            };
            print(&format!("{endpoint} {what}; see `mulberrymill status`"));
        }
        Ok(())
    })
}

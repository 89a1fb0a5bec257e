use std::fmt::Write as _;

use clap::ArgMatches;

use super::{
    client::OperatorClient,
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
        let report: StatusReport = OperatorClient::from_env(argument(matches, "entry"))?
            .get("status")
            .await?;
        if matches.get_flag("json") {
            let json = serde_json::to_string_pretty(&report)
                .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
            print(&json);
        } else {
            print(&format_report(&report).trim_end());
        }
        Ok(())
    })
}

/// Formats a status report as three tables: endpoints, classes and groups.
pub(super) fn format_report(report: &StatusReport) -> String {
    let mut out = format!("entry {}  revision {}\n\n", report.process, report.revision);
    let header = "endpoint             up     leaving  paused  role     in progress  revision\n";
    out.push_str(header);
    for endpoint in &report.endpoints {
        // Writing to a string cannot fail.
        let _infallible = writeln!(
            out,
            "{:<20} {:<6} {:<8} {:<7} {:<8} {:<12} {}",
            endpoint.endpoint,
            yes_or_no(endpoint.up),
            yes_or_no(endpoint.leaving),
            yes_or_no(endpoint.paused),
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
    for (group, holder) in &report.authority {
        let _infallible = writeln!(out, "{group:<20} {:<8} {}", holder.process, holder.fence);
    }
    out
}

const fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

pub(super) fn drain(matches: &ArgMatches) -> Result<()> {
    let endpoint: Endpoint = argument(matches, "endpoint");
    let resume = matches.get_flag("resume");
    block_on(async {
        let path = format!("drain/{endpoint}?resume={resume}");
        OperatorClient::from_env(argument(matches, "entry"))?
            .post(&path)
            .await?;
        if matches.get_flag("json") {
            let intent = serde_json::json!({ "endpoint": endpoint, "drain": !resume });
            print(&intent);
        } else {
            let effect = if resume {
                "will receive new requests"
            } else {
                "will receive no new requests"
            };
            print(&format!("{endpoint} {effect}; see `mulberrymill status`"));
        }
        Ok(())
    })
}

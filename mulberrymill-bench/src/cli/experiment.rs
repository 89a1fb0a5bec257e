use std::{fs, path::PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};

use super::imp::{Result, value};
use crate::experiment::{Deployment, Results, Scenario, compare, picture};

pub(super) fn command() -> Command {
    let arg = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new("experiment")
        .about("Compares admission and routing policies in simulated time")
        .arg(
            arg("deployment", "santiago or java; both if omitted")
                .value_parser(value_parser!(Deployment)),
        )
        .arg(arg("scenario", "One scenario; all if omitted").value_parser(value_parser!(Scenario)))
        .arg(
            arg("seed", "Seed of the arrivals and of random choices")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            arg("out", "Folder for results.json, tables.md and the charts")
                .value_parser(value_parser!(PathBuf)),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<bool> {
    let deployment = args.get_one::<Deployment>("deployment");
    let scenario = args.get_one::<Scenario>("scenario");
    let deployments = deployment.map_or(Deployment::ALL.to_vec(), |only| vec![*only]);
    let scenarios = scenario.map_or(Scenario::ALL.to_vec(), |only| vec![*only]);
    let mut results = Results::default();
    for deployment in deployments {
        for scenario in &scenarios {
            let comparison = compare(deployment, *scenario, value(args, "seed"));
            println!("{comparison}");
            results.0.push(comparison);
        }
    }
    if let Some(folder) = args.get_one::<PathBuf>("out") {
        fs::create_dir_all(folder)?;
        let mut tables = String::new();
        for comparison in &results.0 {
            tables.push_str(&comparison.to_string());
            tables.push('\n');
            let name = format!("{}-{}.svg", comparison.deployment, comparison.scenario);
            fs::write(folder.join(name), picture(comparison))?;
        }
        fs::write(folder.join("tables.md"), tables)?;
        let json = serde_json::to_string_pretty(&results)?;
        fs::write(folder.join("results.json"), json + "\n")?;
    }
    Ok(true)
}

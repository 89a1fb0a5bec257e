use std::{fs, path::PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};

use super::imp::{Result, value};
use crate::experiment::{Deployment, Results, Scenario, compare, picture};

pub(super) fn command() -> Command {
    let arg = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new("experiment")
        .about("Measures the policies of admission and routing on virtual time")
        .arg(
            arg("deployment", "santiago or java; both if it is missing")
                .value_parser(value_parser!(Deployment)),
        )
        .arg(
            arg("scenario", "One scenario; all if it is missing")
                .value_parser(value_parser!(Scenario)),
        )
        .arg(
            arg("seed", "Seed of the arrivals and choices")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            arg("out", "Folder for results.json, tables.md and the pictures")
                .value_parser(value_parser!(PathBuf)),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<bool> {
    let deployment = args.get_one::<Deployment>("deployment");
    let scenario = args.get_one::<Scenario>("scenario");
    let deployments = deployment.map_or(Deployment::ALL.to_vec(), |one| vec![*one]);
    let scenarios = scenario.map_or(Scenario::ALL.to_vec(), |one| vec![*one]);
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
        for one in &results.0 {
            tables.push_str(&one.to_string());
            tables.push('\n');
            let name = format!("{}-{}.svg", one.deployment, one.scenario);
            fs::write(folder.join(name), picture(one))?;
        }
        fs::write(folder.join("tables.md"), tables)?;
        let json = serde_json::to_string_pretty(&results)?;
        fs::write(folder.join("results.json"), json + "\n")?;
    }
    Ok(true)
}

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::imp::Result;
use crate::capacity;

pub(super) fn command() -> Command {
    Command::new("capacity")
        .about("Measures the control-plane cost per link, group and edit; takes about five minutes")
        .arg(
            Arg::new("json")
                .long("json")
                .help("Writes the results to a file instead of standard output")
                .value_parser(value_parser!(PathBuf)),
        )
}

pub(super) async fn run(args: &ArgMatches) -> Result<bool> {
    let results = capacity::measure(|step| eprintln!("measuring: {step}")).await?;
    let text = serde_json::to_string_pretty(&results)?;
    match args.get_one::<PathBuf>("json") {
        Some(path) => std::fs::write(path, format!("{text}\n"))?,
        None => println!("{text}"),
    }
    for (name, line) in &results.lines {
        eprintln!("{name}: {:.6} x + {:.6}", line.slope, line.intercept);
    }
    Ok(true)
}

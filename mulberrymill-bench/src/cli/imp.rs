use std::{ffi::OsString, process::ExitCode};

use clap::{ArgMatches, Command};
use mulberrymill::invariant;

use super::{capacity, demo, experiment, load, measure, soak, standin};

/// Result of a subcommand, which fails with a message for the terminal.
pub(super) type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Builds the command line.
pub(super) fn command() -> Command {
    Command::new("mulberrymill-bench")
        .about("Stand-ins and load generator for mulberrymill")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(standin::commands())
        .subcommands(load::commands())
        .subcommand(demo::command())
        .subcommand(measure::command())
        .subcommand(capacity::command())
        .subcommand(experiment::command())
        .subcommand(soak::command())
}

/// Parses `args`, whose first item is the program name, and runs the subcommand.
///
/// Exit codes: 0 success, 1 failure or invalid results, 2 usage error.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => error.exit(),
    };
    invariant::set_fatal(true);
    match actix::System::new().block_on(dispatch(&matches)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a subcommand and returns whether its results are valid.
async fn dispatch(matches: &ArgMatches) -> Result<bool> {
    match matches.subcommand() {
        Some(("engine", args)) => standin::engine(args).await,
        Some(("service", args)) => standin::service(args).await,
        Some(("hosts", args)) => standin::hosts(args).await,
        Some(("store", args)) => standin::store(args).await,
        Some(("measure", args)) => measure::run(args).await,
        Some(("demo", args)) => demo::run(args).await,
        Some(("capacity", args)) => capacity::run(args).await,
        Some(("experiment", args)) => experiment::run(args),
        Some(("soak", args)) => soak::run(args).await,
        Some(("load", args)) => load::load(args).await,
        Some(("overhead", args)) => load::overhead(args).await,
        Some(("stream", args)) => load::stream(args).await,
        _ => Err("unknown subcommand".into()),
    }
}

/// Value of an argument that is required or has a default, so that clap guarantees its presence.
pub(super) fn value<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    let found = args.get_one::<T>(name);
    found
        .expect("the argument is required or has a default")
        .clone()
}

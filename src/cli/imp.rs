use std::{ffi::OsString, process::ExitCode};

use clap::Command;

/// Builds the command line.
fn command() -> Command {
    Command::new("mulberrymill")
        .about("Serves language-model requests on a fixed fleet of engines")
        .version(env!("CARGO_PKG_VERSION"))
        .arg_required_else_help(true)
}

/// Runs the command line. Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match command().try_get_matches_from(args) {
        Ok(_matches) => ExitCode::SUCCESS,
        Err(error) => error.exit(),
    }
}

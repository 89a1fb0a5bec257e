use std::{ffi::OsString, fmt::Display, net::SocketAddr, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{config, serve, status};
use crate::{
    config::Section,
    error::{Error, Kind},
    id::{Editor, Endpoint, Revision},
};

/// Environment variable with the operators' bearer key. A key on the command line would show in
/// the list of processes.
pub(super) const KEY_VARIABLE: &str = "MULBERRYMILL_OPERATOR_KEY";

/// Exit code for wrong usage and invalid input.
const INVALID: u8 = 2;

/// Why a command did not do its work.
#[derive(Debug)]
pub(super) enum Failure {
    /// The input has faults, which are printed as they are.
    Invalid(String),
    /// Something failed.
    Failed(Error),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error.kind() {
            Kind::BadRequest | Kind::InvalidDocument => Self::Invalid(error.to_string()),
            _ => Self::Failed(error),
        }
    }
}

/// Result of a command.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// The command line.
#[must_use]
pub fn command() -> Command {
    Command::new("mulberrymill")
        .about("Serves language-model requests on a fixed fleet of engines")
        .after_help(concat!(
            "Commands that talk to an entry take the operators' bearer key from the environment ",
            "variable MULBERRYMILL_OPERATOR_KEY."
        ))
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("entry")
                .about("Serve callers and operators on an entry host")
                .arg(settings()),
        )
        .subcommand(
            Command::new("agent")
                .about("Serve one endpoint on its host")
                .arg(settings()),
        )
        .subcommand(
            Command::new("gateway")
                .about("Serve callers on the platform's edge hosts, without agents")
                .arg(
                    Arg::new("settings")
                        .long("settings")
                        .value_name("FILE")
                        .help("Settings of the process [default: where the platform puts them]"),
                ),
        )
        .subcommand(config_command())
        .subcommand(
            Command::new("status")
                .about("Show the state as an entry sees it")
                .arg(entry())
                .arg(json()),
        )
        .subcommand(
            Command::new("drain")
                .about("Give an endpoint no new work")
                .arg(
                    Arg::new("endpoint")
                        .required(true)
                        .value_parser(value_parser!(Endpoint)),
                )
                .arg(
                    Arg::new("resume")
                        .long("resume")
                        .help("Give it work again")
                        .action(ArgAction::SetTrue),
                )
                .arg(entry())
                .arg(json()),
        )
}

fn config_command() -> Command {
    let section = || {
        Arg::new("section")
            .required(true)
            .help(format!(
                "One of {}",
                Section::ALL.map(Section::as_str).join(", ")
            ))
            .value_parser(value_parser!(Section))
    };
    let file = || Arg::new("file").required(true).help("File to read");
    let editor = || {
        Arg::new("editor")
            .long("editor")
            .required(true)
            .help("Your name, which others see in conflicts")
            .value_parser(value_parser!(Editor))
    };
    let base = Arg::new("base")
        .long("base")
        .required(true)
        .help("Revision of the section that the edit is based on, as `config get` prints it")
        .value_parser(value_parser!(Revision));
    Command::new("config")
        .about("Check, read and edit the configuration document")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check a whole document, without an entry")
                .arg(file()),
        )
        .subcommand(
            Command::new("create")
                .about("Write a first document")
                .arg(file())
                .arg(editor())
                .arg(entry()),
        )
        .subcommand(
            Command::new("get")
                .about("Print a section, and its revision on standard error")
                .arg(section())
                .arg(entry())
                .arg(json()),
        )
        .subcommand(
            Command::new("put")
                .about("Replace a section")
                .arg(section())
                .arg(file())
                .arg(base)
                .arg(editor())
                .arg(entry()),
        )
        .subcommand(
            Command::new("watch")
                .about("Print each revision that comes into force at an entry")
                .arg(entry()),
        )
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .help("Settings of the process")
}

fn entry() -> Arg {
    Arg::new("entry")
        .long("entry")
        .value_name("ADDRESS")
        .default_value("127.0.0.1:7000")
        .help("Address of an entry")
        .value_parser(value_parser!(SocketAddr))
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Print JSON")
        .action(ArgAction::SetTrue)
}

/// Reads a required argument, which clap has checked.
pub(super) fn argument<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .unwrap_or_else(|| panic!("the argument {name} has no value"))
}

/// Runs the command line.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => error.exit(),
    };
    let outcome = match matches.subcommand() {
        Some(("entry", matches)) => serve::entry(&argument::<String>(matches, "settings")),
        Some(("agent", matches)) => serve::agent(&argument::<String>(matches, "settings")),
        Some(("gateway", matches)) => serve::gateway(matches.get_one::<String>("settings")),
        Some(("config", matches)) => config::run(matches),
        Some(("status", matches)) => status::show(matches),
        Some(("drain", matches)) => status::drain(matches),
        _ => Ok(()),
    };
    ::log::logger().flush();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Invalid(faults)) => {
            complain(&faults);
            ExitCode::from(INVALID)
        }
        Err(Failure::Failed(error)) => {
            complain(&with_causes(&error));
            ExitCode::FAILURE
        }
    }
}

/// The text of an error and of its causes.
pub(super) fn with_causes(error: &Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

#[expect(clippy::print_stderr, reason = "this is the command line")]
fn complain(what: &impl Display) {
    eprintln!("{what}");
}

/// Prints a result.
#[expect(clippy::print_stdout, reason = "this is the command line")]
pub(super) fn print(what: &impl Display) {
    println!("{what}");
}

/// Prints a note that does not belong to the result.
pub(super) fn note(what: &impl Display) {
    complain(what);
}

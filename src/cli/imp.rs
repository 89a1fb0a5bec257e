use std::{ffi::OsString, fmt::Display, net::SocketAddr, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{config, serve, status};
use crate::{
    config::{ParsedDuration, Section},
    error::{Error, Kind},
    id::{Editor, Endpoint, Revision},
    settings,
    unit::{self, Bytes},
};

/// Environment variable with the operators' bearer key. An argument would be visible in the list of
/// processes.
pub(super) const KEY_VARIABLE: &str = "MULBERRYMILL_OPERATOR_KEY";

/// Exit code for wrong usage and invalid input.
const EXIT_INVALID: u8 = 2;

/// Error of a command, which determines the exit code.
#[derive(Debug)]
pub(super) enum Failure {
    /// Invalid usage or input, with the text to print.
    Invalid(String),
    /// Any other error.
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

/// Parses a time; an empty text, as of a platform that states none, is none.
fn parse_key_revocation(text: &str) -> std::result::Result<Option<ParsedDuration>, unit::Error> {
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some)
}

/// Parses the object `duties` of the settings; an empty text is none.
fn parse_duties(text: &str) -> std::result::Result<Option<settings::Duties>, String> {
    if text.is_empty() {
        return Ok(None);
    }
    settings::Duties::parse("duties", text)
        .map(Some)
        .map_err(|faults| faults.to_string())
}

/// Builds the definition of the command line.
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
                        .help(
                            "Settings file of the process [default: the path set by the platform]",
                        ),
                )
                .arg(
                    Arg::new("store-recovery")
                        .long("store-recovery")
                        .env("STORE_RECOVERY")
                        .value_name("TIME")
                        .value_parser(str::parse::<ParsedDuration>)
                        .help("Overrides store_recovery of the settings file"),
                )
                .arg(
                    Arg::new("memory")
                        .long("memory")
                        .env("MEMORY_LIMIT")
                        .value_name("SIZE")
                        .value_parser(str::parse::<Bytes>)
                        .help("Overrides memory of the settings file"),
                )
                .arg(
                    Arg::new("key-revocation")
                        .long("key-revocation")
                        .env("KEY_REVOCATION")
                        .value_name("TIME")
                        .value_parser(parse_key_revocation)
                        .help("Overrides key_revocation of the settings file, unless it is empty"),
                )
                .arg(
                    Arg::new("duties")
                        .long("duties")
                        .env("DUTIES")
                        .value_name("JSON")
                        .value_parser(parse_duties)
                        .help("Overrides duties of the settings file, unless it is empty"),
                ),
        )
        .subcommand(config_command())
        .subcommand(
            Command::new("status")
                .about("Show the state of endpoints, classes and groups as known to an entry")
                .arg(entry())
                .arg(json()),
        )
        .subcommand(
            Command::new("drain")
                .about("Stop sending new requests to an endpoint")
                .arg(
                    Arg::new("endpoint")
                        .required(true)
                        .value_parser(value_parser!(Endpoint)),
                )
                .arg(
                    Arg::new("resume")
                        .long("resume")
                        .help("Send new requests to the endpoint again")
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
            .help("Your name, shown to other editors in conflicts")
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
                .about("Check a whole document locally, without an entry")
                .arg(file()),
        )
        .subcommand(
            Command::new("create")
                .about("Create the document from a file")
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
                .about("Print each revision that an entry applies")
                .arg(entry()),
        )
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .help("Settings file of the process")
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

/// Returns the value of an argument that clap guarantees to be present.
pub(super) fn argument<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .unwrap_or_else(|| panic!("the argument {name} has no value"))
}

/// Parses `args`, the program name first, runs the command and returns its exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => error.exit(),
    };
    let outcome = match matches.subcommand() {
        Some(("entry", matches)) => serve::entry(&argument::<String>(matches, "settings")),
        Some(("agent", matches)) => serve::agent(&argument::<String>(matches, "settings")),
        Some(("gateway", matches)) => serve::gateway(
            matches.get_one::<String>("settings"),
            &serve::Overrides {
                store_recovery: matches.get_one("store-recovery").copied(),
                memory: matches.get_one("memory").copied(),
                key_revocation: matches.get_one("key-revocation").copied().flatten(),
                duties: matches.get_one("duties").cloned().flatten(),
            },
        ),
        Some(("config", matches)) => config::run(matches),
        Some(("status", matches)) => status::show(matches),
        Some(("drain", matches)) => status::drain(matches),
        _ => Ok(()),
    };
    ::log::logger().flush();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Invalid(faults)) => {
            print_error(&faults);
            ExitCode::from(EXIT_INVALID)
        }
        Err(Failure::Failed(error)) => {
            print_error(&error_chain(&error));
            ExitCode::FAILURE
        }
    }
}

/// Formats an error followed by the chain of its sources.
pub(super) fn error_chain(error: &Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(error) = source {
        text.push_str(": ");
        text.push_str(&error.to_string());
        source = error.source();
    }
    text
}

#[expect(clippy::print_stderr, reason = "command line output")]
fn print_error(text: &impl Display) {
    eprintln!("{text}");
}

/// Prints the result of a command to standard output.
#[expect(clippy::print_stdout, reason = "command line output")]
pub(super) fn print(text: &impl Display) {
    println!("{text}");
}

/// Prints additional information to standard error, so that standard output has only the result.
pub(super) fn print_note(text: &impl Display) {
    print_error(text);
}

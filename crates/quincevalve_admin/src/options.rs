//! The command line.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use snafu::{OptionExt, ResultExt, Snafu};

/// Wrong use of the command line.
pub(crate) const USAGE: u8 = 2;

/// What the operator asked for.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) server: SocketAddr,
    pub(crate) key: String,
    pub(crate) json: bool,
    pub(crate) command: Command,
}

/// A command.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Check(PathBuf),
    Diff(PathBuf),
    Apply { file: PathBuf, change: Option<String>, on: Option<u64> },
    RollForward { revision: u64, change: Option<String> },
    Change(String),
    Status,
    History,
    Drain(String),
    Undrain(String),
}

/// A command line that can't be understood.
#[derive(Debug, Snafu)]
pub(crate) enum OptionsError {
    #[snafu(display("{source}; see --help"))]
    Value { source: pico_args::Error },
    #[snafu(display("{}: {source}", file.display()))]
    KeyFile { file: PathBuf, source: std::io::Error },
    #[snafu(display("name a command; see --help"))]
    NoCommand,
    #[snafu(display("`{name}` is no command; see --help"))]
    UnknownCommand { name: String },
    #[snafu(display("`{command}` needs {what}; see --help"))]
    Missing { command: String, what: &'static str },
    #[snafu(display("unknown argument {}; see --help", argument.display()))]
    Unknown { argument: OsString },
}

const HELP: &str = "\
The operators' command line.

Usage: quincevalve-admin --server ADDRESS --key-file FILE [--json] COMMAND

Commands:
  check FILE             check an inventory (JSON or TOML), change nothing
  diff FILE              check it and show what it would change
  apply FILE             put it in force; [--on REVISION] [--change ID]
  roll-forward REVISION  put an earlier content in force as a new revision; [--change ID]
  change ID              what became of a change whose answer was lost
  status                 which node has which revision in force, who is cut off
  history                the changes, newest first
  drain SERVER           give a backend server no new work
  undrain SERVER         give it work again

Exit codes: 0 done, 1 refused, 2 wrong use, 3 another change came first, 4 unknown, 5 not reached";

impl Options {
    #[expect(clippy::print_stdout, reason = "--help and --version answer on stdout")]
    pub(crate) fn parse(arguments: Vec<OsString>) -> Result<Option<Self>, OptionsError> {
        let mut arguments = pico_args::Arguments::from_vec(arguments);
        if arguments.contains(["-h", "--help"]) {
            println!("{HELP}");
            return Ok(None);
        }
        if arguments.contains(["-V", "--version"]) {
            println!("quincevalve-admin {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let server = arguments.value_from_str("--server").context(ValueSnafu)?;
        let file: PathBuf = arguments.value_from_str("--key-file").context(ValueSnafu)?;
        let key = std::fs::read_to_string(&file).context(KeyFileSnafu { file })?;
        let json = arguments.contains("--json");
        let change = arguments.opt_value_from_str("--change").context(ValueSnafu)?;
        let on = arguments.opt_value_from_str("--on").context(ValueSnafu)?;
        let command = read_command(&mut arguments, change, on)?;
        if let Some(argument) = arguments.finish().into_iter().next() {
            return UnknownSnafu { argument }.fail();
        }
        Ok(Some(Self { server, key: key.trim().to_owned(), json, command }))
    }
}

fn read_command(
    arguments: &mut pico_args::Arguments,
    change: Option<String>,
    on: Option<u64>,
) -> Result<Command, OptionsError> {
    let name = arguments.subcommand().context(ValueSnafu)?.context(NoCommandSnafu)?;
    let mut operand = |what| {
        let operand: Option<String> = arguments.opt_free_from_str().context(ValueSnafu)?;
        operand.context(MissingSnafu { command: name.clone(), what })
    };
    Ok(match name.as_str() {
        "check" => Command::Check(operand("a file")?.into()),
        "diff" => Command::Diff(operand("a file")?.into()),
        "apply" => Command::Apply { file: operand("a file")?.into(), change, on },
        "roll-forward" => {
            let revision = operand("a revision")?;
            let revision = revision.parse().ok();
            let revision = revision.context(MissingSnafu { command: name, what: "a revision" })?;
            Command::RollForward { revision, change }
        }
        "change" => Command::Change(operand("a change's id")?),
        "status" => Command::Status,
        "history" => Command::History,
        "drain" => Command::Drain(operand("a backend server")?),
        "undrain" => Command::Undrain(operand("a backend server")?),
        _ => return UnknownCommandSnafu { name }.fail(),
    })
}

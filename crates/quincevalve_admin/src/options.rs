//! Command-line options.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use snafu::{OptionExt, ResultExt, Snafu};

/// Exit code for invalid command-line arguments.
pub(crate) const EXIT_USAGE: u8 = 2;

/// Parsed command-line options.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Address of the control process.
    pub(crate) control_address: SocketAddr,
    /// Bearer token from the key file, without surrounding whitespace.
    pub(crate) key: String,
    pub(crate) json: bool,
    pub(crate) command: Command,
}

/// A command with its operands.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Check(PathBuf),
    Diff(PathBuf),
    Apply { file: PathBuf, change_id: Option<String>, base_revision: Option<u64> },
    RollForward { revision: u64, change_id: Option<String> },
    Change(String),
    Status,
    History,
    Drain(String),
    Undrain(String),
}

/// An error in the command-line arguments or the key file.
#[derive(Debug, Snafu)]
pub(crate) enum OptionsError {
    #[snafu(display("{source}; see --help"))]
    InvalidValue { source: pico_args::Error },
    #[snafu(display("{}: {source}", file.display()))]
    ReadKeyFile { file: PathBuf, source: std::io::Error },
    #[snafu(display("a command is required; see --help"))]
    MissingCommand,
    #[snafu(display("unknown command `{name}`; see --help"))]
    UnknownCommand { name: String },
    #[snafu(display("`{command}` requires {operand_name}; see --help"))]
    MissingOperand { command: String, operand_name: &'static str },
    #[snafu(display("unknown argument {}; see --help", argument.display()))]
    UnknownArgument { argument: OsString },
}

const HELP: &str = "\
Administers the configuration of a running system.

Usage: quincevalve-admin --server ADDRESS --key-file FILE [--json] COMMAND

Commands:
  check FILE             validate an inventory (JSON or TOML) without applying it
  diff FILE              validate an inventory and show what it would change
  apply FILE             apply an inventory; [--on REVISION] [--change ID]
  roll-forward REVISION  apply the content of an earlier revision as a new revision; [--change ID]
  change ID              show the outcome of a change, for example after a lost response
  status                 show the active revision of each node and which nodes are unreachable
  history                list changes, newest first
  drain SERVER           stop sending new requests to a backend server
  undrain SERVER         send requests to a backend server again

Exit codes: 0 success, 1 rejected, 2 usage error, 3 conflict with another change, 4 outcome unknown,
5 control process unreachable";

impl Options {
    #[expect(clippy::print_stdout, reason = "--help and --version print to stdout")]
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
        let control_address = arguments.value_from_str("--server").context(InvalidValueSnafu)?;
        let file: PathBuf = arguments.value_from_str("--key-file").context(InvalidValueSnafu)?;
        let key = std::fs::read_to_string(&file).context(ReadKeyFileSnafu { file })?;
        let json = arguments.contains("--json");
        let change_id = arguments.opt_value_from_str("--change").context(InvalidValueSnafu)?;
        let base_revision = arguments.opt_value_from_str("--on").context(InvalidValueSnafu)?;
        let command = parse_command(&mut arguments, change_id, base_revision)?;
        if let Some(argument) = arguments.finish().into_iter().next() {
            return UnknownArgumentSnafu { argument }.fail();
        }
        Ok(Some(Self { control_address, key: key.trim().to_owned(), json, command }))
    }
}

fn parse_command(
    arguments: &mut pico_args::Arguments,
    change_id: Option<String>,
    base_revision: Option<u64>,
) -> Result<Command, OptionsError> {
    let name = arguments.subcommand().context(InvalidValueSnafu)?.context(MissingCommandSnafu)?;
    let mut next_operand = |operand_name| {
        let value: Option<String> = arguments.opt_free_from_str().context(InvalidValueSnafu)?;
        value.context(MissingOperandSnafu { command: name.clone(), operand_name })
    };
    Ok(match name.as_str() {
        "check" => Command::Check(next_operand("a file")?.into()),
        "diff" => Command::Diff(next_operand("a file")?.into()),
        "apply" => {
            Command::Apply { file: next_operand("a file")?.into(), change_id, base_revision }
        }
        "roll-forward" => {
            let revision = next_operand("a revision")?;
            let revision = revision.parse().ok();
            let revision = revision
                .context(MissingOperandSnafu { command: name, operand_name: "a revision" })?;
            Command::RollForward { revision, change_id }
        }
        "change" => Command::Change(next_operand("a change id")?),
        "status" => Command::Status,
        "history" => Command::History,
        "drain" => Command::Drain(next_operand("a backend server")?),
        "undrain" => Command::Undrain(next_operand("a backend server")?),
        _ => return UnknownCommandSnafu { name }.fail(),
    })
}

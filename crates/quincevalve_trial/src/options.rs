//! Parsing of the command line.

use std::ffi::OsString;

use snafu::{ResultExt, Snafu};

use crate::{
    deployment::User,
    fault::{Fault, UnknownFault},
};

/// Settings of a trial run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) requests: u32,
    pub(crate) seed: u64,
    pub(crate) faults: Vec<Fault>,
    pub(crate) user: User,
    pub(crate) json: bool,
    pub(crate) verbose: bool,
}

/// Error for an invalid command line.
#[derive(Debug, Snafu)]
pub(crate) enum OptionsError {
    #[snafu(display("{source}; see --help"))]
    Value { source: pico_args::Error },
    #[snafu(display("--faults: {source}"))]
    Fault { source: UnknownFault },
    #[snafu(display("--users: unknown user `{name}`, expected flughafenshuttle or macrae"))]
    User { name: String },
    #[snafu(display("unknown argument {}; see --help", argument.display()))]
    Unknown { argument: OsString },
}

const HELP: &str = "\
Run a complete system with stand-ins in one process and inject faults.

Usage: quincevalve-trial [OPTIONS]

Options:
  --requests N   number of requests to send (default: 200)
  --seed S       seed of the workload and of the stand-ins (default: 1)
  --users U      flughafenshuttle or macrae (default: flughafenshuttle)
  --faults LIST  comma-separated faults to inject; a repeated fault is injected again
  --json         print the result as JSON on the last line of stdout
  --verbose      log each request on stderr
  -h, --help     print this text
  -V, --version  print the version

Faults:
  ";

impl Options {
    #[expect(clippy::print_stdout, reason = "--help and --version answer on stdout")]
    pub(crate) fn parse(arguments: Vec<OsString>) -> Result<Option<Self>, OptionsError> {
        let mut arguments = pico_args::Arguments::from_vec(arguments);
        if arguments.contains(["-h", "--help"]) {
            let names: Vec<_> = Fault::ALL.iter().map(|it| it.name()).collect();
            println!("{HELP}{}", names.join("\n  "));
            return Ok(None);
        }
        if arguments.contains(["-V", "--version"]) {
            println!("quincevalve-trial {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let requests = arguments.opt_value_from_str("--requests").context(ValueSnafu)?;
        let seed = arguments.opt_value_from_str("--seed").context(ValueSnafu)?;
        let user: Option<String> = arguments.opt_value_from_str("--users").context(ValueSnafu)?;
        let faults: Option<String> =
            arguments.opt_value_from_str("--faults").context(ValueSnafu)?;
        let json = arguments.contains("--json");
        let verbose = arguments.contains("--verbose");
        if let Some(argument) = arguments.finish().into_iter().next() {
            return UnknownSnafu { argument }.fail();
        }
        let user = match user {
            None => User::Flughafenshuttle,
            Some(name) => User::from_name(&name).ok_or(OptionsError::User { name })?,
        };
        let faults = Fault::parse_list(&faults.unwrap_or_default()).context(FaultSnafu)?;
        let requests = requests.unwrap_or(DEFAULT_REQUESTS);
        let seed = seed.unwrap_or(DEFAULT_SEED);
        Ok(Some(Self { requests, seed, faults, user, json, verbose }))
    }
}

const DEFAULT_REQUESTS: u32 = 200;
const DEFAULT_SEED: u64 = 1;

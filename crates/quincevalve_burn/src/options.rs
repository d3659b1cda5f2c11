//! The command line.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use snafu::{ResultExt, Snafu};

/// What the operator asked for.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) objective: f64,
    pub(crate) json: bool,
    pub(crate) svg: Option<PathBuf>,
}

/// A command line that can't be understood.
#[derive(Debug, Snafu)]
pub(crate) enum OptionsError {
    #[snafu(display("{source}; see --help"))]
    Value { source: pico_args::Error },
    #[snafu(display("--objective {value}: must be above 0 and below 1"))]
    Objective { value: f64 },
    #[snafu(display("name an entry VM or more with --entry; see --help"))]
    NoEntry,
    #[snafu(display("unknown argument {}; see --help", argument.display()))]
    Unknown { argument: OsString },
}

const HELP: &str = "\
The report on service-level burn per client account and class.

Usage: quincevalve-burn --entry ADDRESS... [--objective SHARE] [--json] [--svg FILE]

Options:
  --entry ADDRESS    the status address of an entry VM; once for each
  --objective SHARE  the share of requests that keep their promise (0.95)
  --json             print the report as JSON
  --svg FILE         draw burn rates
  -h, --help         print this text
  -V, --version      print the version

Exit codes: 0 whole report, 2 wrong use, 3 some entry VMs could not be reached";

const DEFAULT_OBJECTIVE: f64 = 0.95;

impl Options {
    #[expect(clippy::print_stdout, reason = "--help and --version answer on stdout")]
    pub(crate) fn parse(arguments: Vec<OsString>) -> Result<Option<Self>, OptionsError> {
        let mut arguments = pico_args::Arguments::from_vec(arguments);
        if arguments.contains(["-h", "--help"]) {
            println!("{HELP}");
            return Ok(None);
        }
        if arguments.contains(["-V", "--version"]) {
            println!("quincevalve-burn {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let entries: Vec<_> = arguments.values_from_str("--entry").context(ValueSnafu)?;
        let objective = arguments.opt_value_from_str("--objective").context(ValueSnafu)?;
        let objective = objective.unwrap_or(DEFAULT_OBJECTIVE);
        let json = arguments.contains("--json");
        let svg = arguments.opt_value_from_str("--svg").context(ValueSnafu)?;
        if let Some(argument) = arguments.finish().into_iter().next() {
            return UnknownSnafu { argument }.fail();
        }
        if !(objective > 0.0 && objective < 1.0) {
            return ObjectiveSnafu { value: objective }.fail();
        }
        if entries.is_empty() {
            return NoEntrySnafu.fail();
        }
        Ok(Some(Self { entries, objective, json, svg }))
    }
}

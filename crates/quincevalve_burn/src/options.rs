//! Command-line options.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use snafu::{ResultExt, Snafu};

/// Parsed command-line options.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Status addresses of the entry VMs.
    pub(crate) entries: Vec<SocketAddr>,
    /// Fraction of requests that must meet their service level, between 0 and 1.
    pub(crate) objective: f64,
    pub(crate) json: bool,
    /// Output file for the plot of burn rates.
    pub(crate) svg_path: Option<PathBuf>,
}

/// An error in the command-line arguments.
#[derive(Debug, Snafu)]
pub(crate) enum OptionsError {
    #[snafu(display("{source}; see --help"))]
    InvalidValue { source: pico_args::Error },
    #[snafu(display("--objective {value}: must be greater than 0 and less than 1"))]
    ObjectiveOutOfRange { value: f64 },
    #[snafu(display("at least one --entry ADDRESS is required; see --help"))]
    MissingEntry,
    #[snafu(display("unknown argument {}; see --help", argument.display()))]
    UnknownArgument { argument: OsString },
}

const HELP: &str = "\
Reports error budgets and burn rates per client account and request class.

Usage: quincevalve-burn --entry ADDRESS... [--objective FRACTION] [--json] [--svg FILE]

Options:
  --entry ADDRESS       status address of an entry VM; may be repeated
  --objective FRACTION  fraction of requests that must meet their service level (default: 0.95)
  --json                print the report as JSON
  --svg FILE            write a plot of the burn rates as SVG
  -h, --help            print this help
  -V, --version         print the version

Exit codes: 0 complete report, 1 internal error or plot not written, 2 usage error,
3 some entry VMs were unreachable";

const DEFAULT_OBJECTIVE: f64 = 0.95;

impl Options {
    #[expect(clippy::print_stdout, reason = "--help and --version print to stdout")]
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
        let entries: Vec<_> = arguments.values_from_str("--entry").context(InvalidValueSnafu)?;
        let objective = arguments.opt_value_from_str("--objective").context(InvalidValueSnafu)?;
        let objective = objective.unwrap_or(DEFAULT_OBJECTIVE);
        let json = arguments.contains("--json");
        let svg_path = arguments.opt_value_from_str("--svg").context(InvalidValueSnafu)?;
        if let Some(argument) = arguments.finish().into_iter().next() {
            return UnknownArgumentSnafu { argument }.fail();
        }
        if !(objective > 0.0 && objective < 1.0) {
            return ObjectiveOutOfRangeSnafu { value: objective }.fail();
        }
        if entries.is_empty() {
            return MissingEntrySnafu.fail();
        }
        Ok(Some(Self { entries, objective, json, svg_path }))
    }
}

//! Command-line parsing.

use std::{ffi::OsString, path::PathBuf};

use snafu::{ResultExt, Snafu};

use crate::experiments::Experiment;

/// The options of one invocation.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) experiments: Vec<Experiment>,
    pub(crate) seed: u64,
    pub(crate) csv: Option<PathBuf>,
    pub(crate) svg: Option<PathBuf>,
}

/// Errors in the command line.
#[derive(Debug, Snafu)]
pub(crate) enum OptionsError {
    #[snafu(display("{source}; see --help"))]
    Value { source: pico_args::Error },
    #[snafu(display("unknown experiment `{name}`; see --help"))]
    Experiment { name: String },
    #[snafu(display("no experiment given; see --help"))]
    Missing,
}

const HELP: &str = "\
One small experiment per design decision, compared with its naive version.

Usage: quincevalve-measure EXPERIMENT... [--seed N] [--csv FILE] [--svg FOLDER]

Options:
  --seed N      seed of the random number generators (default: 1)
  --csv FILE    write all tables to one CSV file
  --svg FOLDER  write a plot of each table that has one
  -h, --help    print this text

Experiments: all, ";

const DEFAULT_SEED: u64 = 1;

impl Options {
    #[expect(clippy::print_stdout, reason = "--help answers on stdout")]
    pub(crate) fn parse(arguments: Vec<OsString>) -> Result<Option<Self>, OptionsError> {
        let mut arguments = pico_args::Arguments::from_vec(arguments);
        if arguments.contains(["-h", "--help"]) {
            let names: Vec<_> = Experiment::ALL.iter().map(|it| it.name()).collect();
            println!("{HELP}{}", names.join(", "));
            return Ok(None);
        }
        let seed = arguments.opt_value_from_str("--seed").context(ValueSnafu)?;
        let csv = arguments.opt_value_from_str("--csv").context(ValueSnafu)?;
        let svg = arguments.opt_value_from_str("--svg").context(ValueSnafu)?;
        let mut experiments = Vec::new();
        for name in arguments.finish() {
            let name = name.to_string_lossy().into_owned();
            if name == "all" {
                experiments.extend_from_slice(Experiment::ALL);
                continue;
            }
            let found = Experiment::ALL.iter().find(|it| it.name() == name);
            experiments.push(*found.ok_or(OptionsError::Experiment { name })?);
        }
        if experiments.is_empty() {
            return Err(OptionsError::Missing);
        }
        Ok(Some(Self { experiments, seed: seed.unwrap_or(DEFAULT_SEED), csv, svg }))
    }
}

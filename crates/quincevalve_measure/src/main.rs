//! `quincevalve-measure`: one small experiment per design decision, compared with its naive version.
//!
//! Each experiment drives one core in virtual time with the minimum of stand-ins needed for a realistic
//! result. The same seed gives the same table, except for processor times.

mod arena;
mod experiments;
mod fleet;
mod options;
mod stats;
mod table;
mod workload;

use std::{alloc::System, process::ExitCode};

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

use crate::{options::Options, table::Table};

/// Counts allocations to show that a routing decision makes none.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let options = match Options::parse(std::env::args_os().skip(1).collect()) {
        Ok(Some(options)) => options,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quincevalve-measure: {error}");
            return ExitCode::from(2);
        }
    };
    let mut tables = Vec::new();
    for experiment in &options.experiments {
        eprintln!("measuring {}", experiment.name());
        for table in experiment.run(options.seed) {
            table.print();
            tables.push(table);
        }
    }
    match write(&options, &tables) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quincevalve-measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn write(options: &Options, tables: &[Table]) -> Result<(), table::WriteError> {
    if let Some(file) = &options.csv {
        table::write_csv(file, tables)?;
    }
    if let Some(folder) = &options.svg {
        for table in tables {
            table.write_svg(folder)?;
        }
    }
    Ok(())
}

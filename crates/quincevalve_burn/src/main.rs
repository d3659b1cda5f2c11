//! `quincevalve-burn`: the report on service-level burn per client account and class.

mod collect;
mod options;
mod plot;
mod report;

use std::process::ExitCode;

use crate::{options::Options, report::Report};

fn main() -> ExitCode {
    let options = match Options::parse(std::env::args_os().skip(1).collect()) {
        Ok(Some(options)) => options,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quincevalve-burn: {error}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return ExitCode::FAILURE };
    let collected = runtime.block_on(collect::collect(&options.entries));
    let report = Report::new(options.objective, &collected);
    report.print(options.json);
    if let Some(file) = &options.svg
        && let Err(error) = plot::write(file, &report)
    {
        eprintln!("quincevalve-burn: {error}");
        return ExitCode::FAILURE;
    }
    // A report that some VMs are missing from says so, and is no success for a script.
    if report.missing.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(INCOMPLETE) }
}

const INCOMPLETE: u8 = 3;

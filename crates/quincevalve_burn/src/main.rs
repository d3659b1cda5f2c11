//! `quincevalve-burn`: reports error budgets and burn rates per client account and request class.

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
    if let Some(path) = &options.svg_path
        && let Err(error) = plot::write_svg(path, &report)
    {
        eprintln!("quincevalve-burn: {error}");
        return ExitCode::FAILURE;
    }
    // An incomplete report exits with its own code, so that a script does not take it for a complete one.
    if report.missing.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) }
}

/// Exit code when some entry VMs could not be reached.
const EXIT_INCOMPLETE: u8 = 3;

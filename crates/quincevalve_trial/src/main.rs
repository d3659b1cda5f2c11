//! `quincevalve-trial`: runs a complete system with stand-ins in one process on one machine.
//!
//! Starts stand-ins for the platform and for every backend server, and at least three entry VMs, sends real HTTP
//! requests, injects faults, and checks the responses to callers against the executions that the stand-ins recorded.

mod caller;
mod deployment;
mod fault;
mod fault_injection;
mod operator;
mod options;
mod report;
mod testbed;
mod verdict;
mod vm_thread;
mod workload;

use std::process::ExitCode;

use quincevalve_program::{LogLevel, LogSettings, start_logs};

use crate::{options::Options, report::Report, testbed::Testbed};

fn main() -> ExitCode {
    let options = match Options::parse(std::env::args_os().skip(1).collect()) {
        Ok(Some(options)) => options,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quincevalve-trial: {error}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    let level = if options.verbose { LogLevel::Debug } else { LogLevel::Error };
    start_logs(&LogSettings { level, ..LogSettings::default() });
    match run(&options) {
        Ok(report) => {
            report.print(options.json);
            if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("quincevalve-trial: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Exit code for an invalid command line.
const USAGE_ERROR: u8 = 2;

fn run(options: &Options) -> Result<Report, testbed::TestbedError> {
    let mut testbed = Testbed::start(options)?;
    let received = testbed.run(options);
    Ok(Report::new(options, &testbed, received))
}

//! `quincevalve-trial`: the whole path on one machine, with stand-ins, in one process.
//!
//! It starts the stand-ins of the platform and of every backend server, and three entry VMs or more,
//! sends real requests, switches faults on, and counts what callers received and what the stand-ins saw.

mod caller;
mod deployment;
mod fault;
mod faults;
mod operator;
mod options;
mod report;
mod verdict;
mod vm_thread;
mod workload;
mod world;

use std::process::ExitCode;

use quincevalve_program::{LogLevel, LogSettings, start_logs};

use crate::{options::Options, report::Report, world::World};

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

const USAGE_ERROR: u8 = 2;

fn run(options: &Options) -> Result<Report, world::WorldError> {
    let mut world = World::start(options)?;
    let received = world.run(options);
    Ok(Report::new(options, &world, received))
}

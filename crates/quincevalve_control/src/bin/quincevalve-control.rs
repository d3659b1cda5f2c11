//! `quincevalve-control`: the control process of one entry VM.

use std::process::ExitCode;

use quincevalve_control::{ControlProcess, ControlSettings};
use quincevalve_program::{Invocation, Program, parse_arguments, read_settings, start_logs};

const PROGRAM: Program = Program {
    name: "quincevalve-control",
    about: "Membership, configuration and administration of one entry VM.",
};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", PROGRAM.name);
            ExitCode::FAILURE
        }
    }
}

#[expect(clippy::print_stdout, reason = "--check, --help and --version answer on stdout")]
fn run() -> Result<(), Box<dyn std::error::Error>> {
    let file = match parse_arguments(PROGRAM, std::env::args_os().skip(1).collect())? {
        Invocation::Print(text) => {
            println!("{text}");
            return Ok(());
        }
        Invocation::Check(file) => {
            let settings: ControlSettings = read_settings(&file)?;
            println!("{}", toml::to_string(&settings)?);
            return Ok(());
        }
        Invocation::Run(file) => file,
    };
    let settings: ControlSettings = read_settings(&file)?;
    start_logs(&settings.log);
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(async {
        let process = ControlProcess::start(settings).await?;
        log::info!("the entry process is served on {}", process.local_address());
        quincevalve_program::stop_signal().await?;
        Ok(())
    })
}

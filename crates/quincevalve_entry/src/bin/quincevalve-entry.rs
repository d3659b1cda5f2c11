//! `quincevalve-entry`: the request path of one entry VM.

use std::process::ExitCode;

use quincevalve_entry::{EntrySettings, EntryVm};
use quincevalve_program::{Invocation, Program, parse_arguments, read_settings, start_logs};

const PROGRAM: Program = Program {
    name: "quincevalve-entry",
    about: "The request path of one entry VM: HTTP in, HTTP out.",
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
            let settings: EntrySettings = read_settings(&file)?;
            println!("{}", toml::to_string(&settings)?);
            return Ok(());
        }
        Invocation::Run(file) => file,
    };
    let settings: EntrySettings = read_settings(&file)?;
    start_logs(&settings.log);
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(async {
        let vm = EntryVm::start(settings).await?;
        log::info!("callers are served on {}", vm.address());
        quincevalve_program::stop_signal().await?;
        vm.stop().await;
        Ok(())
    })
}

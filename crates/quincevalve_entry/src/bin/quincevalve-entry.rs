//! `quincevalve-entry`: the HTTP request path of one entry VM.

use std::process::ExitCode;

use quincevalve_entry::{EntrySettings, EntryVm, StartError};
use quincevalve_program::{Program, launch};

const PROGRAM: Program =
    Program { name: "quincevalve-entry", about: "Serves the HTTP request path of one entry VM." };

fn main() -> ExitCode {
    launch(PROGRAM, run)
}

async fn run(settings: EntrySettings) -> Result<(), StartError> {
    let vm = EntryVm::start(settings).await?;
    log::info!("listening for callers on {}", vm.address());
    if let Err(error) = quincevalve_program::stop_signal().await {
        log::error!("cannot wait for stop signals: {error}");
    }
    vm.stop().await;
    Ok(())
}

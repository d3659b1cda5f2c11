//! `quincevalve-entry`: the request path of one entry VM.

use std::process::ExitCode;

use quincevalve_entry::{EntrySettings, EntryVm, StartError};
use quincevalve_program::{Program, launch};

const PROGRAM: Program = Program {
    name: "quincevalve-entry",
    about: "The request path of one entry VM: HTTP in, HTTP out.",
};

fn main() -> ExitCode {
    launch(PROGRAM, run)
}

async fn run(settings: EntrySettings) -> Result<(), StartError> {
    let vm = EntryVm::start(settings).await?;
    log::info!("callers are served on {}", vm.address());
    if let Err(error) = quincevalve_program::stop_signal().await {
        log::error!("signals can't be waited for: {error}");
    }
    vm.stop().await;
    Ok(())
}

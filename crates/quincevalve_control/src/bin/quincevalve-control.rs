//! `quincevalve-control`: control process of an entry VM.

use std::process::ExitCode;

use quincevalve_control::{ControlError, ControlProcess, ControlSettings};
use quincevalve_program::{Program, launch};

const PROGRAM: Program = Program {
    name: "quincevalve-control",
    about: "Membership, configuration and administration of one entry VM.",
};

fn main() -> ExitCode {
    launch(PROGRAM, run)
}

async fn run(settings: ControlSettings) -> Result<(), ControlError> {
    let process = ControlProcess::start(settings).await?;
    log::info!("serving the entry process on {}", process.local_address());
    if let Err(error) = quincevalve_program::stop_signal().await {
        log::error!("cannot wait for the stop signal: {error}");
    }
    Ok(())
}

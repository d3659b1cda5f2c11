//! `quincevalve-admin`: command-line tool for operators.

mod client;
mod commands;
mod options;

use std::process::ExitCode;

use crate::{commands::CommandError, options::Options};

fn main() -> ExitCode {
    let options = match Options::parse(std::env::args_os().skip(1).collect()) {
        Ok(Some(options)) => options,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quincevalve-admin: {error}");
            return ExitCode::from(options::EXIT_USAGE);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(commands::run(&options)),
        Err(source) => Err(CommandError::Runtime { source }),
    };
    match result {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("quincevalve-admin: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

//! `quincevalve-standins`: simulates the platform and the backend servers of an inventory, for local use.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use quincevalve_inventory::{Format, ReadError, Serves, read_inventory};
use quincevalve_names::Incarnation;
use quincevalve_ports::cloud::{ListedVm, VmState};
use quincevalve_standins::{Engine, EngineSpeed, PlainService, Platform};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

const HELP: &str = "\
Simulates the platform and the backend servers of an inventory, for local use.

Usage: quincevalve-standins --inventory FILE --platform ADDRESS

Listens on ADDRESS as the platform and on the address of each backend server in the inventory.";

/// Processing time of a call to a plain service.
const SERVICE_PROCESSING_TIME: Duration = Duration::from_millis(8);
/// Capacity of the prefix cache of each engine, in prompt tokens.
const PREFIX_CACHE_CAPACITY: u32 = 100_000;

#[derive(Debug, Snafu)]
enum StandinsError {
    #[snafu(display("{source}; see --help"))]
    InvalidOption { source: pico_args::Error },
    #[snafu(display("{}: {source}", file.display()))]
    ReadFile { file: PathBuf, source: std::io::Error },
    #[snafu(display("{source}"))]
    Inventory { source: ReadError },
    #[snafu(display("{address}: {source}"))]
    Listen { address: SocketAddr, source: std::io::Error },
    #[snafu(display("{source}"))]
    Runtime { source: std::io::Error },
}

#[expect(clippy::print_stdout, reason = "--help prints to stdout")]
fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quincevalve-standins: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut arguments: pico_args::Arguments) -> Result<(), StandinsError> {
    let file: PathBuf = arguments.value_from_str("--inventory").context(InvalidOptionSnafu)?;
    let platform_address: SocketAddr =
        arguments.value_from_str("--platform").context(InvalidOptionSnafu)?;
    let text = std::fs::read_to_string(&file).context(ReadFileSnafu { file: &file })?;
    let inventory = read_inventory(&file.display().to_string(), &text, Format::Toml);
    let inventory = inventory.context(InventorySnafu)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.context(RuntimeSnafu)?.block_on(async {
        let listener = bind(platform_address).await?;
        let simulated_platform = Platform::new(1);
        for (name, server) in &inventory.backend_server {
            let listener = bind(server.address).await?;
            match &server.serves {
                Serves::Model(_) => {
                    let speed = EngineSpeed {
                        slots: server.slots,
                        prefill_tokens_per_s: server.prefill_tokens_per_s,
                        token_time: Duration::from_micros(u64::from(server.token_us)),
                        cache_tokens: PREFIX_CACHE_CAPACITY,
                    };
                    tokio::spawn(Engine::new(speed, Incarnation(1), 1).serve(listener));
                }
                Serves::Service(_) => {
                    tokio::spawn(PlainService::new(SERVICE_PROCESSING_TIME).serve(listener));
                }
            }
            simulated_platform.list_vm_now(ListedVm {
                name: name.to_string(),
                data_centre: server.data_centre.clone(),
                incarnation: Incarnation(1),
                state: VmState::Live,
                peer_address: None,
            });
        }
        eprintln!(
            "platform on {platform_address}, {} backend servers",
            inventory.backend_server.len()
        );
        simulated_platform.serve(listener).await;
        Ok(())
    })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StandinsError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

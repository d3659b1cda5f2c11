//! `quincevalve-standins`: platform and backend servers of an inventory, for trying the programs out.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use quincevalve_inventory::{Format, ReadError, Serves, read_inventory};
use quincevalve_names::Incarnation;
use quincevalve_ports::cloud::{ListedVm, VmState};
use quincevalve_standins::{Engine, EngineSpeed, PlainService, Platform};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

const HELP: &str = "\
Platform and backend servers of an inventory, for trying the programs out.

Usage: quincevalve-standins --inventory FILE --platform ADDRESS

Listens on every address that the inventory gives a backend server.";

const SERVICE_WORK: Duration = Duration::from_millis(8);
const CACHE_TOKENS: u32 = 100_000;

#[derive(Debug, Snafu)]
enum Failure {
    #[snafu(display("{source}; see --help"))]
    Option { source: pico_args::Error },
    #[snafu(display("{}: {source}", file.display()))]
    File { file: PathBuf, source: std::io::Error },
    #[snafu(display("{source}"))]
    Inventory { source: ReadError },
    #[snafu(display("{address}: {source}"))]
    Listen { address: SocketAddr, source: std::io::Error },
    #[snafu(display("{source}"))]
    Runtime { source: std::io::Error },
}

#[expect(clippy::print_stdout, reason = "--help answers on stdout")]
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

fn run(mut arguments: pico_args::Arguments) -> Result<(), Failure> {
    let file: PathBuf = arguments.value_from_str("--inventory").context(OptionSnafu)?;
    let platform: SocketAddr = arguments.value_from_str("--platform").context(OptionSnafu)?;
    let text = std::fs::read_to_string(&file).context(FileSnafu { file: &file })?;
    let inventory = read_inventory(&file.display().to_string(), &text, Format::Toml);
    let inventory = inventory.context(InventorySnafu)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.context(RuntimeSnafu)?.block_on(async {
        let listener = listen(platform).await?;
        let cloud = Platform::new(1);
        for (name, server) in &inventory.backend_server {
            let listener = listen(server.address).await?;
            match &server.serves {
                Serves::Model(_) => {
                    let speed = EngineSpeed {
                        slots: server.slots,
                        prefill_tokens_per_s: server.prefill_tokens_per_s,
                        token_time: Duration::from_micros(u64::from(server.token_us)),
                        cache_tokens: CACHE_TOKENS,
                    };
                    tokio::spawn(Engine::new(speed, Incarnation(1), 1).serve(listener));
                }
                Serves::Service(_) => {
                    tokio::spawn(PlainService::new(SERVICE_WORK).serve(listener));
                }
            }
            cloud.list_vm_now(ListedVm {
                name: name.to_string(),
                data_centre: server.data_centre.clone(),
                incarnation: Incarnation(1),
                state: VmState::Live,
                peer_address: None,
            });
        }
        eprintln!("platform on {platform}, {} backend servers", inventory.backend_server.len());
        cloud.serve(listener).await;
        Ok(())
    })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Failure> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

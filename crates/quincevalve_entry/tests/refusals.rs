//! Compares the responses to refused requests with fixtures, one for each case.
//!
//! Each case sends its bytes to a real entry VM. Nothing is dispatched, so each refusal must say `not-run`.

use std::{net::SocketAddr, path::Path, time::Duration};

use quincevalve_entry::{EntrySettings, EntryVm, View};
use quincevalve_inventory::{Format, read_inventory};
use quincevalve_names::Revision;
use quincevalve_program::parse_settings;
use serde::Deserialize;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Environment variable that makes the test rewrite the expected responses. Review every change to them.
const UPDATE: &str = "UPDATE_FIXTURES";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// Head of the request, without the blank line.
    head: String,
    /// Body of the request.
    #[serde(default)]
    body: String,
    /// Number of times that the body is repeated.
    #[serde(default = "once")]
    repeat: usize,
    /// Declared content length, if it differs from the length sent: the rest never arrives.
    #[serde(default)]
    declared: Option<usize>,
}

const fn once() -> usize {
    1
}

const INVENTORY: &str = r#"
[class.desk]
promise = { first_token_ms = 800 }

[account.hotel]
key_sha256 = ["b11d88b87fdcff1464cdc2b04c2893ffd25b27aeeb8859cc26b09703196e1ac4"]
default_class = "desk"

[model.assistant]

[service.seats]
execution = "non-idempotent"
"#;

const SETTINGS: &str = r#"
name = "entry-1"
data_centre = "erding"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
inventory = "inventory.toml"
platform = "127.0.0.1:9"

[limits]
body_bytes = 65536
body_progress_ms = 100
"#;

fn response_matches_fixture(path: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&text)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let answer = runtime.block_on(async {
        let settings: EntrySettings = parse_settings(Path::new("entry.toml"), SETTINGS)?;
        let inventory = read_inventory("inventory.toml", INVENTORY, Format::Toml)?;
        let vm = EntryVm::start_with(settings, View::new(Revision(1), inventory)).await?;
        send_request(vm.address(), &case).await
    })?;
    let expected = path.with_extension("txt");
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(&expected, &answer)?;
    }
    let expected = std::fs::read_to_string(expected)?;
    if answer == expected {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\ngot:\n{answer}").into())
}

async fn send_request(address: SocketAddr, case: &Case) -> datatest_stable::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let body = case.body.repeat(case.repeat);
    let length = case.declared.unwrap_or(body.len());
    let head = case.head.trim().replace('\n', "\r\n");
    let request = format!("{head}\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
    // The VM may answer and close before all of a large body has arrived.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut buffer)).await?;
        match read {
            Ok(0) | Err(_) => break,
            Ok(length) => answer.extend_from_slice(&buffer[..length]),
        }
        if is_complete(&answer) {
            break;
        }
    }
    Ok(normalize(&String::from_utf8_lossy(&answer)))
}

fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    length.and_then(|it| it.parse::<usize>().ok()).is_some_and(|it| body.len() >= it)
}

/// Removes from a response what differs between two runs.
fn normalize(answer: &str) -> String {
    let lines = answer.lines().filter(|it| !it.starts_with("date:"));
    let shown: Vec<_> = lines
        .map(|it| {
            if it.starts_with("quincevalve-request:") { "quincevalve-request: (an id)" } else { it }
        })
        .collect();
    shown.join("\n") + "\n"
}

datatest_stable::harness! {
    { test = response_matches_fixture, root = "resources/test/fixtures/refusals", pattern = r".*\.toml$" },
}

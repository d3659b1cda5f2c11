//! Runs the commands.

use std::{
    fmt::Write as _,
    path::{Path, PathBuf},
};

use http::{Method, StatusCode};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::{
    client::{ApiResponse, Client, ClientError},
    options::{Command, Options},
};

/// The command succeeded.
const EXIT_SUCCESS: u8 = 0;
/// The control process rejected the request or reported findings, or the input file is invalid.
const EXIT_REJECTED: u8 = 1;
/// The active revision is not the one that the change is based on.
const EXIT_CONFLICT: u8 = 3;
/// Whether the change took effect is unknown.
const EXIT_UNKNOWN: u8 = 4;
/// The control process is unreachable or unavailable.
const EXIT_UNREACHABLE: u8 = 5;

/// An error that prevents a command from completing.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    #[snafu(display("{}: {source}", file.display()))]
    ReadFile { file: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", file.display()))]
    InvalidToml { file: PathBuf, source: Box<toml::de::Error> },
    #[snafu(display("{source}"))]
    Client { source: ClientError },
    #[snafu(display("the control process reported no configuration revision"))]
    MissingRevision,
    #[snafu(display("{source}"))]
    Runtime { source: std::io::Error },
}

impl CommandError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::ReadFile { .. } | Self::InvalidToml { .. } => EXIT_REJECTED,
            Self::Client { source } if source.is_not_sent() => EXIT_UNREACHABLE,
            Self::Client { .. } => EXIT_UNKNOWN,
            Self::MissingRevision | Self::Runtime { .. } => EXIT_UNREACHABLE,
        }
    }
}

/// Runs the command, prints the response and returns the exit code.
pub(crate) async fn run(options: &Options) -> Result<u8, CommandError> {
    let client = Client { address: options.control_address, key: options.key.clone() };
    let response = match &options.command {
        Command::Check(file) | Command::Diff(file) => {
            let body = read_inventory(file)?;
            call(&client, Method::POST, "/v1/config/check", &[], body).await?
        }
        Command::Apply { file, change_id, base_revision } => {
            let body = read_inventory(file)?;
            let base_revision = match base_revision {
                Some(base_revision) => *base_revision,
                None => current_revision(&client).await?,
            };
            put_config(&client, body, base_revision, change_id.as_deref()).await?
        }
        Command::RollForward { revision, change_id } => {
            let path = format!("/v1/history/{revision}");
            let earlier = get(&client, &path).await?;
            if earlier.status != StatusCode::OK {
                return Ok(handle_response(options, &earlier));
            }
            let base_revision = current_revision(&client).await?;
            put_config(&client, earlier.body.to_string(), base_revision, change_id.as_deref())
                .await?
        }
        Command::Change(id) => get(&client, &format!("/v1/changes/{id}")).await?,
        Command::Status => get(&client, "/v1/status").await?,
        Command::History => get(&client, "/v1/history").await?,
        Command::Drain(server) => set_drain(&client, "drain", server).await?,
        Command::Undrain(server) => set_drain(&client, "undrain", server).await?,
    };
    Ok(handle_response(options, &response))
}

async fn call(
    client: &Client,
    method: Method,
    path: &str,
    headers: &[(&str, String)],
    body: String,
) -> Result<ApiResponse, CommandError> {
    client.call(method, path, headers, body).await.context(ClientSnafu)
}

async fn get(client: &Client, path: &str) -> Result<ApiResponse, CommandError> {
    call(client, Method::GET, path, &[], String::new()).await
}

async fn current_revision(client: &Client) -> Result<u64, CommandError> {
    get(client, "/v1/config").await?.etag.ok_or(CommandError::MissingRevision)
}

/// Replaces the configuration if its revision is still `base_revision`. Prints the change id first, so that the operator
/// can query the outcome if the response is lost.
async fn put_config(
    client: &Client,
    body: String,
    base_revision: u64,
    change_id: Option<&str>,
) -> Result<ApiResponse, CommandError> {
    let change_id = change_id.map_or_else(new_change_id, str::to_owned);
    eprintln!("change {change_id}");
    let headers = [("if-match", format!("\"{base_revision}\"")), ("change-id", change_id)];
    call(client, Method::PUT, "/v1/config", &headers, body).await
}

async fn set_drain(client: &Client, verb: &str, server: &str) -> Result<ApiResponse, CommandError> {
    let headers = [("change-id", new_change_id())];
    call(client, Method::POST, &format!("/v1/{verb}/{server}"), &headers, String::new()).await
}

/// Returns a unique change id: the wall-clock time in nanoseconds and the process id, both in hexadecimal.
fn new_change_id() -> String {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |it| it.as_nanos());
    format!("{nanos:x}-{:x}", std::process::id())
}

/// Reads an inventory as JSON text. Files without the extension `json` are parsed as TOML and converted.
fn read_inventory(file: &Path) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(file).context(ReadFileSnafu { file })?;
    if file.extension().is_some_and(|it| it == "json") {
        return Ok(text);
    }
    let value: Value =
        toml::from_str(&text).map_err(Box::new).context(InvalidTomlSnafu { file })?;
    Ok(value.to_string())
}

/// Prints a response and returns the exit code.
fn handle_response(options: &Options, response: &ApiResponse) -> u8 {
    print_response(options, response);
    match response.status {
        StatusCode::OK if has_findings(&response.body) => EXIT_REJECTED,
        StatusCode::OK => EXIT_SUCCESS,
        StatusCode::PRECONDITION_FAILED => EXIT_CONFLICT,
        StatusCode::ACCEPTED | StatusCode::NOT_FOUND if response.body["result"] == "unknown" => {
            EXIT_UNKNOWN
        }
        StatusCode::SERVICE_UNAVAILABLE => EXIT_UNREACHABLE,
        _ => EXIT_REJECTED,
    }
}

fn has_findings(body: &Value) -> bool {
    body["findings"].as_array().is_some_and(|it| !it.is_empty())
}

#[expect(clippy::print_stdout, reason = "the response goes to stdout")]
fn print_response(options: &Options, response: &ApiResponse) {
    if options.json {
        println!("{}", response.body);
        return;
    }
    match (&options.command, response.status) {
        (Command::Status, StatusCode::OK) => print!("{}", status_text(&response.body)),
        (Command::History, StatusCode::OK) => print!("{}", history_text(&response.body)),
        _ => println!("{}", serde_json::to_string_pretty(&response.body).unwrap_or_default()),
    }
}

fn status_text(body: &Value) -> String {
    let mut text = format!(
        "revision {} in force here; store {}, at revision {}\n",
        body["revision"], body["store"], body["store_revision"]
    );
    for member in body["members"].as_array().into_iter().flatten() {
        let _ = writeln!(
            text,
            "{:<28} {:<16} {:<8} revision {:<6} demand {}",
            display_text(&member["name"]),
            display_text(&member["data_centre"]),
            display_text(&member["state"]),
            member["load"]["revision"],
            member["load"]["demand"],
        );
    }
    for data_centre in body["data_centres"].as_array().into_iter().flatten() {
        let _ = writeln!(
            text,
            "data centre {:<16} {} members, revision {}",
            display_text(&data_centre["data_centre"]),
            data_centre["members"],
            data_centre["revision"],
        );
    }
    text
}

fn history_text(body: &Value) -> String {
    let rows = body.as_array().into_iter().flatten();
    let format_row = |row: &Value| {
        let touched: Vec<_> =
            row["touched"].as_array().into_iter().flatten().map(display_text).collect();
        format!(
            "{:>6}  {}  by {:<16} {}\n",
            row["revision"],
            display_text(&row["change"]),
            display_text(&row["by"]),
            touched.join(", "),
        )
    };
    rows.map(format_row).collect()
}

/// Returns a JSON string without its quotes, and any other value as JSON.
fn display_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

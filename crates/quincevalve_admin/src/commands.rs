//! What each command does.

use std::{
    fmt::Write as _,
    path::{Path, PathBuf},
};

use http::{Method, StatusCode};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::{
    client::{Answer, Client, ClientError},
    options::{Command, Options},
};

const DONE: u8 = 0;
const REFUSED: u8 = 1;
const CONFLICT: u8 = 3;
const UNKNOWN: u8 = 4;
const NOT_REACHED: u8 = 5;

/// A command that came to nothing.
#[derive(Debug, Snafu)]
pub(crate) enum Failure {
    #[snafu(display("{}: {source}", file.display()))]
    File { file: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", file.display()))]
    Syntax { file: PathBuf, source: Box<toml::de::Error> },
    #[snafu(display("{source}"))]
    Client { source: ClientError },
    #[snafu(display("the server has no revision to build on"))]
    NoRevision,
    #[snafu(display("{source}"))]
    Runtime { source: std::io::Error },
}

impl Failure {
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Syntax { .. } => REFUSED,
            Self::Client { source } if source.is_not_sent() => NOT_REACHED,
            Self::Client { .. } => UNKNOWN,
            Self::NoRevision | Self::Runtime { .. } => NOT_REACHED,
        }
    }
}

pub(crate) async fn run(options: &Options) -> Result<u8, Failure> {
    let client = Client { server: options.server, key: options.key.clone() };
    let answer = match &options.command {
        Command::Check(file) | Command::Diff(file) => {
            let body = read_inventory(file)?;
            call(&client, Method::POST, "/v1/config/check", &[], body).await?
        }
        Command::Apply { file, change, on } => {
            let body = read_inventory(file)?;
            let on = match on {
                Some(on) => *on,
                None => current_revision(&client).await?,
            };
            put(&client, body, on, change.as_deref()).await?
        }
        Command::RollForward { revision, change } => {
            let path = format!("/v1/history/{revision}");
            let old = get(&client, &path).await?;
            if old.status != StatusCode::OK {
                return Ok(show(options, &old));
            }
            let on = current_revision(&client).await?;
            put(&client, old.body.to_string(), on, change.as_deref()).await?
        }
        Command::Change(id) => get(&client, &format!("/v1/changes/{id}")).await?,
        Command::Status => get(&client, "/v1/status").await?,
        Command::History => get(&client, "/v1/history").await?,
        Command::Drain(server) => drain(&client, "drain", server).await?,
        Command::Undrain(server) => drain(&client, "undrain", server).await?,
    };
    Ok(show(options, &answer))
}

async fn call(
    client: &Client,
    method: Method,
    path: &str,
    headers: &[(&str, String)],
    body: String,
) -> Result<Answer, Failure> {
    client.call(method, path, headers, body).await.context(ClientSnafu)
}

async fn get(client: &Client, path: &str) -> Result<Answer, Failure> {
    call(client, Method::GET, path, &[], String::new()).await
}

async fn current_revision(client: &Client) -> Result<u64, Failure> {
    get(client, "/v1/config").await?.etag.ok_or(Failure::NoRevision)
}

async fn put(
    client: &Client,
    body: String,
    on: u64,
    change: Option<&str>,
) -> Result<Answer, Failure> {
    let change = change.map_or_else(new_change_id, str::to_owned);
    eprintln!("change {change}");
    let headers = [("if-match", format!("\"{on}\"")), ("change-id", change)];
    call(client, Method::PUT, "/v1/config", &headers, body).await
}

async fn drain(client: &Client, verb: &str, server: &str) -> Result<Answer, Failure> {
    let headers = [("change-id", new_change_id())];
    call(client, Method::POST, &format!("/v1/{verb}/{server}"), &headers, String::new()).await
}

/// An id that no other change has: the time and this process.
fn new_change_id() -> String {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let nanos = since.map_or(0, |it| it.as_nanos());
    format!("{nanos:x}-{:x}", std::process::id())
}

/// Reads an inventory as JSON text; TOML is turned into it.
fn read_inventory(file: &Path) -> Result<String, Failure> {
    let text = std::fs::read_to_string(file).context(FileSnafu { file })?;
    if file.extension().is_some_and(|it| it == "json") {
        return Ok(text);
    }
    let value: Value = toml::from_str(&text).map_err(Box::new).context(SyntaxSnafu { file })?;
    Ok(value.to_string())
}

/// Prints an answer and returns the exit code.
fn show(options: &Options, answer: &Answer) -> u8 {
    print_answer(options, answer);
    match answer.status {
        StatusCode::OK if has_findings(&answer.body) => REFUSED,
        StatusCode::OK => DONE,
        StatusCode::PRECONDITION_FAILED => CONFLICT,
        StatusCode::ACCEPTED | StatusCode::NOT_FOUND if answer.body["result"] == "unknown" => {
            UNKNOWN
        }
        StatusCode::SERVICE_UNAVAILABLE => NOT_REACHED,
        _ => REFUSED,
    }
}

fn has_findings(body: &Value) -> bool {
    body["findings"].as_array().is_some_and(|it| !it.is_empty())
}

#[expect(clippy::print_stdout, reason = "the answer is what the operator asked for")]
fn print_answer(options: &Options, answer: &Answer) {
    if options.json {
        println!("{}", answer.body);
        return;
    }
    match (&options.command, answer.status) {
        (Command::Status, StatusCode::OK) => print!("{}", status_text(&answer.body)),
        (Command::History, StatusCode::OK) => print!("{}", history_text(&answer.body)),
        _ => println!("{}", serde_json::to_string_pretty(&answer.body).unwrap_or_default()),
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
            plain(&member["name"]),
            plain(&member["data_centre"]),
            plain(&member["state"]),
            member["load"]["revision"],
            member["load"]["demand"],
        );
    }
    for other in body["data_centres"].as_array().into_iter().flatten() {
        let _ = writeln!(
            text,
            "data centre {:<16} {} members, revision {}",
            plain(&other["data_centre"]),
            other["members"],
            other["revision"],
        );
    }
    text
}

fn history_text(body: &Value) -> String {
    let rows = body.as_array().into_iter().flatten();
    let line = |row: &Value| {
        let touched: Vec<_> = row["touched"].as_array().into_iter().flatten().map(plain).collect();
        format!(
            "{:>6}  {}  by {:<16} {}\n",
            row["revision"],
            plain(&row["change"]),
            plain(&row["by"]),
            touched.join(", "),
        )
    };
    rows.map(line).collect()
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

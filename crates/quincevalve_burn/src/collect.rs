//! Reading what entry VMs expose.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use quincevalve_entry::BurnReport;
use quincevalve_ports::HttpClient;

const CONNECT: Duration = Duration::from_secs(1);
const ANSWER: Duration = Duration::from_secs(3);

/// What came back from each entry VM.
pub(crate) struct Collected {
    pub(crate) reports: Vec<BurnReport>,
    pub(crate) missing: Vec<SocketAddr>,
}

/// Reads all entry VMs.
pub(crate) async fn collect(entries: &[SocketAddr]) -> Collected {
    let http = HttpClient::new(None, CONNECT);
    let mut collected = Collected { reports: Vec::new(), missing: Vec::new() };
    for entry in entries {
        let call = http.call::<(), BurnReport>(Method::GET, *entry, "/internal/burn", None, ANSWER);
        match call.await {
            Ok(report) => collected.reports.push(report),
            Err(error) => {
                eprintln!("quincevalve-burn: {error}");
                collected.missing.push(*entry);
            }
        }
    }
    collected
}

//! Fetches burn counts from entry VMs.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use quincevalve_entry::BurnReport;
use quincevalve_ports::HttpClient;

/// Maximum time to connect to an entry VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time until the whole response has arrived.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Burn reports of the entry VMs that responded, and the addresses of those that did not.
pub(crate) struct Collected {
    pub(crate) reports: Vec<BurnReport>,
    pub(crate) unreachable: Vec<SocketAddr>,
}

/// Requests the burn report of each entry VM, one after the other; failures are printed to stderr.
pub(crate) async fn collect(entries: &[SocketAddr]) -> Collected {
    let http = HttpClient::new(None, CONNECT_TIMEOUT);
    let mut collected = Collected { reports: Vec::new(), unreachable: Vec::new() };
    for entry in entries {
        let call = http.call::<(), BurnReport>(
            Method::GET,
            *entry,
            "/internal/burn",
            None,
            RESPONSE_TIMEOUT,
        );
        match call.await {
            Ok(report) => collected.reports.push(report),
            Err(error) => {
                eprintln!("quincevalve-burn: {error}");
                collected.unreachable.push(*entry);
            }
        }
    }
    collected
}

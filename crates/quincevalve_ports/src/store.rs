//! Messages and client of the platform's key-value service.
//!
//! Every call, including a pending watch, counts against the service's rate limits. Users of the client must keep the
//! number of calls low and independent of the number of nodes.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use quincevalve_names::FencingNumber;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::http_client::{CallError, HttpClient, Reach};

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The version of a key, assigned by the service; 0 if the key does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyVersion(pub u64);

impl KeyVersion {
    /// The version of a key that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// A value and its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned {
    /// The version.
    pub version: KeyVersion,
    /// The value, as text.
    pub value: String,
}

/// A lease, as granted by the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The holder of the lease.
    pub holder: String,
    /// The fencing number, which increases with each change of holder.
    pub fencing: FencingNumber,
    /// Remaining time of the lease in milliseconds, from the service's answer.
    pub left_ms: u64,
}

/// The error for a failed call to the store.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The key is not at the expected version; nothing was written.
    #[snafu(display("store: the key is at version {}", current.0))]
    Conflict {
        /// The version in the store.
        current: KeyVersion,
    },
    /// The store did not accept the call; nothing was written.
    #[snafu(display("store: unavailable: {source}"))]
    Unavailable {
        /// The cause.
        source: CallError,
    },
    /// The answer was lost; the call may have taken effect.
    #[snafu(display("store: no answer, the write may have taken effect: {source}"))]
    Unknown {
        /// The cause.
        source: CallError,
    },
    /// The value exceeds [`MAX_VALUE_BYTES`].
    #[snafu(display("store: the value has {bytes} bytes; the maximum is {MAX_VALUE_BYTES}"))]
    TooLarge {
        /// The size of the value, in bytes.
        bytes: usize,
    },
}

/// The interface of the key-value store. Tests use an in-memory implementation.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Writes a key if its version is `expected`, and returns the new version.
    fn swap(
        &self,
        key: &str,
        expected: KeyVersion,
        value: &str,
    ) -> impl Future<Output = Result<KeyVersion, StoreError>> + Send;

    /// Deletes a key if its version is `expected`.
    fn delete(
        &self,
        key: &str,
        expected: KeyVersion,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Waits at most `wait` until the version of a key is above `after`, then reads the key.
    fn watch(
        &self,
        key: &str,
        after: KeyVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Acquires or renews a lease. The result names the current holder, which may be another one.
    fn lease(
        &self,
        name: &str,
        holder: &str,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, StoreError>> + Send;
}

/// A client of the store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    http: HttpClient,
    address: SocketAddr,
    limit: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConflictAnswer {
    current: KeyVersion,
}

impl HttpStore {
    /// Creates a client of the store at `address`. Each call except [`Store::watch`] ends within `limit`.
    pub const fn new(http: HttpClient, address: SocketAddr, limit: Duration) -> Self {
        Self { http, address, limit }
    }

    async fn read(&self, path: &str, limit: Duration) -> Result<Option<Versioned>, StoreError> {
        let call = self.http.call(Method::GET, self.address, path, None::<&()>, limit).await;
        match call {
            Ok(value) => Ok(Some(value)),
            Err(CallError::Status { status: StatusCode::NOT_FOUND, .. }) => Ok(None),
            Err(source) => Err(StoreError::Unavailable { source }),
        }
    }
}

fn write_error(error: CallError) -> StoreError {
    if let CallError::Status { status, body, .. } = &error {
        if *status == StatusCode::CONFLICT
            && let Ok(answer) = serde_json::from_slice::<ConflictAnswer>(body)
        {
            return StoreError::Conflict { current: answer.current };
        }
        if *status == StatusCode::SERVICE_UNAVAILABLE {
            return StoreError::Unavailable { source: error };
        }
    }
    match error.reach() {
        Reach::NotSent => StoreError::Unavailable { source: error },
        Reach::MayHaveArrived => StoreError::Unknown { source: error },
    }
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.read(&format!("/v1/kv/{key}"), self.limit).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: KeyVersion,
        value: &str,
    ) -> Result<KeyVersion, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return TooLargeSnafu { bytes: value.len() }.fail();
        }
        let path = format!("/v1/kv/{key}?if={}", expected.0);
        let body = Bytes::copy_from_slice(value.as_bytes());
        let call = self.http.call_bytes(Method::PUT, self.address, &path, body, self.limit).await;
        let answer = call.map_err(write_error)?;
        let decoded = serde_json::from_slice(&answer);
        decoded.map_err(|source| {
            let source = CallError::Decode { address: self.address, source };
            StoreError::Unknown { source }
        })
    }

    async fn delete(&self, key: &str, expected: KeyVersion) -> Result<(), StoreError> {
        let path = format!("/v1/kv/{key}?if={}", expected.0);
        let body = Bytes::new();
        let call =
            self.http.call_bytes(Method::DELETE, self.address, &path, body, self.limit).await;
        call.map(drop).map_err(write_error)
    }

    async fn watch(
        &self,
        key: &str,
        after: KeyVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let path = format!("/v1/watch/{key}?after={}&wait_ms={}", after.0, wait.as_millis());
        self.read(&path, wait + self.limit).await
    }

    async fn lease(&self, name: &str, holder: &str, ttl: Duration) -> Result<Lease, StoreError> {
        let path = format!("/v1/lease/{name}?holder={holder}&ttl_ms={}", ttl.as_millis());
        let call = self.http.call(Method::POST, self.address, &path, None::<&()>, self.limit);
        call.await.map_err(write_error)
    }
}

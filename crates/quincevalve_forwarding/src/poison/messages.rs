//! Messages between VMs about what servers exit under.

use serde::{Deserialize, Serialize};

use super::{
    Suspect,
    case::ExitedServers,
    evidence::{ExitEvidence, PartFindings},
};
use crate::{prompt_parts::PartDigest, request_digest::RequestDigest, stream_versions::VersionTag};

/// A message between VMs about a request or a part under which servers exit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoisonMessage {
    /// A server exited while it ran this request.
    Exited {
        /// The request.
        digest: RequestDigest,
        /// Identifies that start of the server, as returned by [`start_hash`](crate::servers::start_hash).
        server: u64,
    },
    /// Asks whether the request completed recently.
    Inquiry {
        /// The request.
        digest: RequestDigest,
        /// Servers that exited under it.
        servers: ExitedServers,
    },
    /// The request completed recently.
    Completed(RequestDigest),
    /// The request is quarantined.
    Quarantined {
        /// The request.
        digest: RequestDigest,
        /// Servers that exited under it.
        servers: ExitedServers,
    },
    /// A server exited while it ran a request with this part.
    PartExited {
        /// The part.
        part: PartDigest,
        /// What the sender observed.
        exit: ExitEvidence,
    },
    /// Asks at which versions requests with this part completed recently.
    PartInquiry {
        /// The part.
        part: PartDigest,
        /// Servers that exited under it.
        servers: ExitedServers,
    },
    /// A request with this part completed recently at servers of this version.
    PartCompleted {
        /// The part.
        part: PartDigest,
        /// The version.
        version: VersionTag,
    },
    /// The part is quarantined.
    PartQuarantined {
        /// The part.
        part: PartDigest,
        /// Servers that exited under it.
        servers: ExitedServers,
        /// The versions at which servers exited under it, and those at which it completed.
        findings: PartFindings,
    },
}

impl PoisonMessage {
    pub(super) fn inquiry(suspect: Suspect, servers: ExitedServers) -> Self {
        match suspect {
            Suspect::Request(digest) => Self::Inquiry { digest, servers },
            Suspect::Part(part) => Self::PartInquiry { part, servers },
        }
    }

    pub(super) fn quarantined(
        suspect: Suspect,
        servers: ExitedServers,
        findings: PartFindings,
    ) -> Self {
        match suspect {
            Suspect::Request(digest) => Self::Quarantined { digest, servers },
            Suspect::Part(part) => Self::PartQuarantined { part, servers, findings },
        }
    }

    /// Returns what the message is about.
    pub fn suspect(&self) -> Suspect {
        match self {
            Self::Exited { digest, .. }
            | Self::Inquiry { digest, .. }
            | Self::Completed(digest)
            | Self::Quarantined { digest, .. } => Suspect::Request(*digest),
            Self::PartExited { part, .. }
            | Self::PartInquiry { part, .. }
            | Self::PartCompleted { part, .. }
            | Self::PartQuarantined { part, .. } => Suspect::Part(*part),
        }
    }
}

//! Simulated external systems: model engine, plain service, platform and network.
//!
//! Tests, trials and measurements use them in place of the real systems. Each implements the protocol of the system that
//! it replaces, and each fault can be injected with a typed switch.

pub mod answers;
mod engine;
mod engine_model;
mod http_server;
mod network_proxy;
mod platform;
mod prefix_cache;
pub mod program;
mod service;
mod store_model;

pub use crate::{
    engine::{Engine, EngineCounters, EngineFaults},
    engine_model::{EngineModel, EngineSpeed, Job, ModelOutput},
    network_proxy::{NetworkProxy, Partitions},
    platform::{Platform, PlatformFaults},
    service::{PlainService, ServiceCounters},
    store_model::StoreModel,
};

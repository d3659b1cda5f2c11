//! The timer service: one place that reads the clock and wakes its subscribers.
//!
//! Parts never sleep by themselves. They subscribe here, so that a test with paused time controls
//! every wait of a process, and so that one task per process owns all periodic work.

mod alarm;
mod service;
mod subscription;
mod watchdog;

pub use crate::{alarm::Alarm, service::Timer, subscription::Subscription, watchdog::Watchdog};

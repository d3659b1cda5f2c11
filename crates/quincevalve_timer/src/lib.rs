//! The timer service: a task that reads the clock and wakes its subscribers.
//!
//! Other components of a process never sleep on their own but subscribe to this service. A test with paused time then
//! controls every wait of a process, and one task per process schedules all periodic work.

mod alarm;
mod service;
mod subscription;
mod watchdog;

pub use crate::{alarm::Alarm, service::Timer, subscription::Subscription, watchdog::Watchdog};

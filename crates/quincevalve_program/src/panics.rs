//! Panics: logged where they happen, and contained where one input must not end a task.

use std::{
    any::Any,
    cell::RefCell,
    panic::{self, AssertUnwindSafe, PanicHookInfo},
};

thread_local! {
    /// Message and place of the thread's newest panic.
    static NEWEST: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// Logs each panic as a line of the program's log, in place of the text on standard error.
pub(crate) fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let what = message(info.payload());
        let at = place(info);
        log::error!(what, at; "panicked");
        // A panic in a destructor of the thread's own data finds none left.
        let _ = NEWEST.try_with(|it| *it.borrow_mut() = Some(format!("{what}, at {at}")));
    }));
}

fn place(info: &PanicHookInfo<'_>) -> String {
    info.location().map_or_else(String::new, ToString::to_string)
}

fn message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or_default()
}

/// Returns the message of a panic that was caught on this thread, and its place if panics are logged.
pub fn describe_panic(payload: &(dyn Any + Send)) -> String {
    let newest = NEWEST.with(|it| it.borrow_mut().take());
    let message = message(payload);
    newest.filter(|it| it.starts_with(message)).unwrap_or_else(|| message.to_owned())
}

/// Calls `f` and returns its result, or the message of its panic.
///
/// What `f` changed before it panicked stays changed, so that it should change one entry of a table at most.
///
/// ```
/// use quincevalve_program::contain_panic;
/// assert_eq!(contain_panic(|| 3), Ok(3));
/// assert_eq!(contain_panic(|| -> u32 { panic!("no number") }), Err("no number".to_owned()));
/// ```
pub fn contain_panic<T>(f: impl FnOnce() -> T) -> Result<T, String> {
    panic::catch_unwind(AssertUnwindSafe(f)).map_err(|payload| describe_panic(&*payload))
}

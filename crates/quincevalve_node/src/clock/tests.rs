use super::*;

// Guards against a clock that can't be read and counts as one that stands at zero: no lease would end, and no age grow.
#[test]
fn a_clock_that_cannot_be_read_is_an_error_that_names_it() {
    let missing = Clock { id: ClockId::from_raw(1_000), name: "CLOCK_MISSING" };
    let error = missing.read().expect_err("no such clock");
    assert_eq!(error.to_string(), format!("clock CLOCK_MISSING: {}", Errno::EINVAL));
    assert!(check().is_ok());
}

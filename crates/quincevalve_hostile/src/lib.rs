//! Messages with extreme values, for property tests of decoders and of what their values are applied to.

use proptest::{collection::vec, prelude::*, sample::Index, test_runner::RngSeed};
use serde_json::Value;

/// Number of cases of each property, unless `HOSTILE_CASES` states another.
const CASES: u32 = 256;

/// Returns the settings of property tests: a fixed seed and few cases, or those that `HOSTILE_SEED` and `HOSTILE_CASES`
/// state.
pub fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    ProptestConfig {
        cases: number("HOSTILE_CASES").map_or(CASES, |it| it as u32),
        rng_seed: RngSeed::Fixed(number("HOSTILE_SEED").unwrap_or(1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// JSON texts at and beyond the ends of what a field may hold, and of other types.
const EXTREMES: [&str; 38] = [
    "0",
    "-0.0",
    "1",
    "-1",
    "0.5",
    "-0.5",
    "5e-324",
    "1e-9",
    "1.7976931348623157e308",
    "-1.7976931348623157e308",
    "1.85e22",
    "1e400",
    "9007199254740993",
    "255",
    "256",
    "65536",
    "2147483648",
    "4294967295",
    "4294967296",
    "17592186044416",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "null",
    "true",
    "\"\"",
    "\"\\u0000\"",
    "\"NaN\"",
    "\"v1\"",
    "\"\\ud83d\\ude00 \\r\\nx-more: 1\"",
    "\"0.0.0.0:0\"",
    "\"255.255.255.255:1\"",
    "\"[::1]:80\"",
    "[]",
    "{}",
    "[1,[2,[3,[4,[5]]]]]",
    "{\"a\":1,\"a\":2}",
];

/// One change of a message.
#[derive(Clone, Debug)]
enum Edit {
    Replace(Index, Index),
    Remove(Index),
    Repeat(Index, Index),
    /// Replaces a value by a text of this length.
    Lengthen(Index, usize),
    /// Replaces a value by lists nested this deeply.
    Nest(Index, usize),
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        12 => any::<(Index, Index)>().prop_map(|(at, with)| Edit::Replace(at, with)),
        2 => any::<Index>().prop_map(Edit::Remove),
        1 => any::<(Index, Index)>().prop_map(|(at, with)| Edit::Repeat(at, with)),
        1 => (any::<Index>(), 1_usize..100_000).prop_map(|(at, len)| Edit::Lengthen(at, len)),
        1 => (any::<Index>(), 1_usize..300).prop_map(|(at, depth)| Edit::Nest(at, depth)),
    ]
}

/// Generates a valid JSON message in which one to four fields are extreme, missing or doubled.
///
/// ```
/// use proptest::{prelude::*, strategy::ValueTree, test_runner::TestRunner};
/// let valid = r#"{"Slots":4,"State":"ready"}"#;
/// let messages = quincevalve_hostile::message(valid);
/// let mut runner = TestRunner::deterministic();
/// let mut draw = || messages.new_tree(&mut runner).expect("a message").current();
/// let changed = (0..20).filter(|_| draw() != valid).count();
/// assert!(changed > 10);
/// ```
pub fn message(valid: &str) -> impl Strategy<Value = String> + use<> {
    let valid: Value = serde_json::from_str(valid).unwrap_or_default();
    vec(edit(), 1..5).prop_map(move |edits| {
        let mut edited = valid.clone();
        let mut texts = Vec::new();
        for edit in edits {
            apply(&mut edited, &edit, &mut texts);
        }
        // Texts that no `Value` can hold, such as doubled fields, take the places of their marks at the end.
        let mut message = edited.to_string();
        for (number, text) in texts.iter().enumerate() {
            message = message.replace(&format!("\"{MARK}{number}#\""), text);
        }
        message
    })
}

const MARK: &str = "#extreme";

fn apply(message: &mut Value, edit: &Edit, texts: &mut Vec<String>) {
    let mut paths = Vec::new();
    collect_paths(message, &mut Vec::new(), &mut paths);
    let (at, text) = match edit {
        Edit::Replace(at, with) => (at, (*with.get(&EXTREMES)).to_owned()),
        Edit::Lengthen(at, len) => (at, format!("\"{}\"", "x".repeat(*len))),
        Edit::Nest(at, depth) => (at, format!("{}{}", "[".repeat(*depth), "]".repeat(*depth))),
        Edit::Remove(at) => {
            // The whole message, which comes first, stays.
            if let Some(fields) = paths.get(1..).filter(|it| !it.is_empty()) {
                remove(message, at.get::<Vec<String>>(fields));
            }
            return;
        }
        Edit::Repeat(at, with) => {
            let field = at.get::<Vec<String>>(&paths).last().map_or("", String::as_str);
            (at, format!("null,\"{field}\":{}", with.get(&EXTREMES)))
        }
    };
    if let Some(value) = find(message, at.get::<Vec<String>>(&paths)) {
        *value = format!("{MARK}{}#", texts.len()).into();
        texts.push(text);
    }
}

fn collect_paths(value: &Value, path: &mut Vec<String>, paths: &mut Vec<Vec<String>>) {
    paths.push(path.clone());
    let children: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(name, it)| (name.clone(), it)).collect(),
        Value::Array(items) => {
            items.iter().enumerate().map(|(at, it)| (at.to_string(), it)).collect()
        }
        _ => Vec::new(),
    };
    for (name, child) in children {
        path.push(name);
        collect_paths(child, path, paths);
        path.pop();
    }
}

fn find<'a>(message: &'a mut Value, path: &[String]) -> Option<&'a mut Value> {
    path.iter().try_fold(message, |value, name| match value {
        Value::Object(fields) => fields.get_mut(name),
        Value::Array(items) => items.get_mut(name.parse::<usize>().ok()?),
        _ => None,
    })
}

fn remove(message: &mut Value, path: &[String]) {
    let Some((name, parent)) = path.split_last() else { return };
    match find(message, parent) {
        Some(Value::Object(fields)) => {
            fields.remove(name);
        }
        Some(Value::Array(items)) => {
            if let Some(at) = name.parse().ok().filter(|it| *it < items.len()) {
                items.remove(at);
            }
        }
        _ => {}
    }
}

/// Generates bytes in which some of `valid` are replaced, removed or repeated, or any bytes at all.
pub fn bytes(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let replaced = vec((any::<Index>(), any::<u8>()), 0..6);
    let damaged =
        (replaced, any::<Index>(), any::<bool>()).prop_map(move |(replaced, end, cuts)| {
            let mut bytes = valid.clone();
            for (at, byte) in replaced {
                if !bytes.is_empty() {
                    let at = at.index(bytes.len());
                    bytes[at] = byte;
                }
            }
            if cuts {
                bytes.truncate(end.index(bytes.len() + 1));
            }
            bytes
        });
    prop_oneof![4 => damaged, 1 => vec(any::<u8>(), 0..200)]
}

thread_local! {
    static PANICS: std::cell::RefCell<Vec<String>> = const { std::cell::RefCell::new(Vec::new()) };
}

/// Calls `f` and returns its result, or the panics of this thread meanwhile, also those that `f` contained.
pub fn panics_in<T>(f: impl FnOnce() -> T) -> Result<T, String> {
    static HOOK: std::sync::Once = std::sync::Once::new();
    HOOK.call_once(|| {
        std::panic::set_hook(Box::new(|info| {
            PANICS.with_borrow_mut(|it| it.push(info.to_string()));
        }));
    });
    PANICS.with_borrow_mut(Vec::clear);
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(f));
    let panics = PANICS.with_borrow(|it| it.join("; "));
    if panics.is_empty() {
        result.map_err(|_| "a panic without a message".to_owned())
    } else {
        Err(panics)
    }
}

/// Defines a test for each line: a property of generated inputs. It fails if handling one of them panics, also where the
/// panic is contained.
#[macro_export]
macro_rules! hostile_inputs {
    ($($name:ident => $strategy:expr, $handle:expr;)+) => {
        $(#[test] fn $name() {
            let mut runner = proptest::test_runner::TestRunner::new($crate::config());
            let result = runner.run(&$strategy, |input| {
                $crate::panics_in(|| $handle(&input))
                    .map_err(|it| proptest::test_runner::TestCaseError::fail(it))
            });
            if let Err(error) = result {
                // The hook that records panics doesn't print this one.
                eprintln!("{error}");
                panic!("{error}");
            }
        })+
    };
}

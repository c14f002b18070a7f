//! Parsers of untrusted text: no input causes a panic, and accepted input survives a round trip
//! through its text form.

use std::fmt::Display;
use std::str::FromStr;

use assert_matches::assert_matches;
use expect_test::{Expect, expect};
use model::{
    CallerKey, Endpoint, Kind, Labels, NodeName, Object, Percent, Rate, ResultCode, Selector,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(4711),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Compares the parsed value, or the error that an operator sees, with the expected text.
fn check_parse<T: FromStr + Display>(text: &str, expect: Expect)
where
    T::Err: Display,
{
    let actual = match text.parse::<T>() {
        Ok(value) => format!("ok {value}"),
        Err(err) => format!("error {err}"),
    };
    expect.assert_eq(&actual);
}

#[test]
fn selectors_name_the_term_that_is_wrong() {
    check_parse::<Selector>("", expect!["ok "]);
    check_parse::<Selector>(" tier = gold , !old ", expect!["ok tier=gold,!old"]);
    check_parse::<Selector>(
        "tier=,x",
        expect![[r#"error invalid selector term "tier=": a label key or value is empty"#]],
    );
    check_parse::<Selector>(
        "tier=go ld",
        expect![[
            r#"error invalid selector term "tier=go ld": a label key or value has a character outside a-z, A-Z, 0-9, '-', '_', '.', '/'"#
        ]],
    );
}

#[test]
fn rates_and_shares_have_limits() {
    check_parse::<Rate>("12.5/s", expect!["ok 12.5/s"]);
    check_parse::<Rate>(
        "-1",
        expect![[
            r#"error "-1" is not a rate from 0 to 10000000 calls per second, such as 12.5/s"#
        ]],
    );
    check_parse::<Rate>(
        "NaN",
        expect![[
            r#"error "NaN" is not a rate from 0 to 10000000 calls per second, such as 12.5/s"#
        ]],
    );
    check_parse::<Percent>("100%", expect!["ok 100%"]);
    check_parse::<Percent>("101", expect![[r#"error "101" is not a share from 0% to 100%"#]]);
}

#[test]
fn names_that_could_break_a_path_are_refused() {
    check_parse::<NodeName>("node-1", expect!["ok node-1"]);
    check_parse::<NodeName>(
        "a/b",
        expect![[
            r#"error "a/b" is not a valid node name: expected 1 to 128 characters from a-z, A-Z, 0-9, '-', '_' and '.'"#
        ]],
    );
    check_parse::<NodeName>(
        "",
        expect![[
            r#"error "" is not a valid node name: expected 1 to 128 characters from a-z, A-Z, 0-9, '-', '_' and '.'"#
        ]],
    );
}

#[test]
fn a_key_is_not_shown_by_debug_or_display() {
    let key = CallerKey::from_random([1; 8], [2; 20]);
    let secret = key.reveal();
    let output = format!("{key} {key:?}");
    assert!(!output.contains(&secret[20..]), "{output}");
}

#[test]
fn objects_out_of_range_are_refused() {
    let assert_refused = |kind, document: &str| {
        assert_matches!(Object::from_document(kind, document.as_bytes()), Err(_), "{document}");
    };
    assert_refused(Kind::Account, r#"{"rate":"1/s","burst":0}"#);
    assert_refused(Kind::Account, r#"{"rate":"1/s","burst":1,"extra":1}"#);
    let route = |prefix: &str, timeout: u64| {
        format!(
            r#"{{"prefix":"{prefix}","service":"s","access":"open","timeout_ms":{timeout},"idempotent":[],"retry_budget":20,"floor":50}}"#
        )
    };
    assert_matches!(Object::from_document(Kind::Route, route("/a", 1).as_bytes()), Ok(_));
    assert_refused(Kind::Route, &route("a", 1));
    assert_refused(Kind::Route, &route("/a", 0));
    assert_refused(Kind::Route, &route("/a", 600_001));
}

/// Guards against a reused number and against a code in the wrong group. Callers rely on the number
/// to tell whether the request ran.
#[test]
fn result_codes_are_unique_and_in_their_group() {
    let mut seen = std::collections::BTreeSet::new();
    for code in ResultCode::ALL {
        assert!(seen.insert(code.number()), "{code} is used twice");
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
        let is_sent_to_callers = code.number() < 3000;
        assert_eq!(code.status() >= 400, is_sent_to_callers, "{code}");
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn text_never_panics(text in ".{0,200}") {
        let _ = text.parse::<NodeName>();
        let _ = text.parse::<Rate>();
        let _ = text.parse::<Percent>();
        let _ = CallerKey::parse(&text);
        let _ = CallerKey::find_all(&text);
        if let Ok(selector) = text.parse::<Selector>() {
            prop_assert_eq!(selector.to_string().parse::<Selector>(), Ok(selector));
        }
    }

    #[test]
    fn documents_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), kind in 0..Kind::ALL.len()) {
        let kind = Kind::ALL[kind];
        let _ = Object::from_document(kind, &bytes);
        let _ = serde_json::from_slice::<Endpoint>(&bytes);
    }

    /// Mutations of a valid document reach deeper parser states than arbitrary bytes do.
    #[test]
    fn mutated_documents_never_panic(position in 0..120_usize, byte in any::<u8>()) {
        let mut document = br#"{"prefix":"/a","service":"s","selector":"a=b","access":"keyed","timeout_ms":100,"idempotent":["GET"],"retry_budget":20,"floor":50}"#.to_vec();
        document[position] = byte;
        if let Ok(object) = Object::from_document(Kind::Route, &document) {
            let reparsed = Object::from_document(Kind::Route, &object.to_document());
            prop_assert_eq!(reparsed, Ok(object));
        }
    }

    #[test]
    fn selectors_match_what_they_say(
        keys in prop::collection::btree_map("[a-c]", "[x-z]", 0..4),
        terms in prop::collection::vec(("[a-c]", "[x-z]", 0..4_u8), 0..4),
    ) {
        let labels: Labels =
            keys.iter().map(|(key, value)| (key.as_str().into(), value.as_str().into())).collect();
        let term_texts: Vec<String> = terms
            .iter()
            .map(|(key, value, form)| match form {
                0 => format!("{key}={value}"),
                1 => format!("{key}!={value}"),
                2 => key.clone(),
                _ => format!("!{key}"),
            })
            .collect();
        let is_satisfied = |(key, value, form): &(String, String, u8)| match form {
            0 => keys.get(key) == Some(value),
            1 => keys.get(key) != Some(value),
            2 => keys.contains_key(key),
            _ => !keys.contains_key(key),
        };
        let selector: Selector = term_texts.join(",").parse().unwrap();
        prop_assert_eq!(selector.matches(&labels), terms.iter().all(is_satisfied));
    }
}

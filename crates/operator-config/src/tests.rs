//! Files against the schema: good ones and ones spoilt in one place, and what is said of them.

use crate::check::{Setting, ValidationError};
use crate::schema::{ElementType, Schema, ValueKind};
use crate::xml;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn bundled() -> Schema {
    Schema::bundled()
}

fn wrong(text: &str) -> Vec<ValidationError> {
    bundled().check(text).expect_err("complaints")
}

/// A value that fits, made of two numbers by chance.
fn fitting(simple: &crate::schema::SimpleType, x: f64) -> String {
    match simple.kind {
        ValueKind::Decimal | ValueKind::Integer => {
            let least = simple
                .min
                .or(simple.exclusive_min.map(|a| a + 0.001))
                .unwrap_or(-1000.0);
            let most = simple.max.unwrap_or(least + 1000.0);
            let value = least + x * (most - least);
            if simple.kind == ValueKind::Integer {
                format!("{}", value.floor().max(least))
            } else {
                format!("{value:.6}")
            }
        }
        ValueKind::Boolean => ["true", "false"][usize::from(x < 0.5)].into(),
        ValueKind::Text if !simple.allowed.is_empty() => simple.allowed
            [((x * simple.allowed.len() as f64) as usize).min(simple.allowed.len() - 1)]
        .clone(),
        ValueKind::Text => "x".repeat(simple.min_length.unwrap_or(1).max(1)),
    }
}

/// An element with all that it needs and some of what it may have, as chance says.
fn good(element_type: &ElementType, chance: &mut dyn FnMut() -> f64) -> String {
    let mut text = format!("<{}", element_type.name);
    // Attributes that have to lie below one another are left to their defaults.
    let tied = |name: &str| {
        element_type
            .attribute_orders
            .iter()
            .any(|b| b.smaller == name || b.larger == name)
    };
    for a in &element_type.attributes {
        if (a.required || chance() < 0.5) && !tied(&a.name) {
            text += &format!(" {}=\"{}\"", a.name, fitting(&a.value_type, chance()));
        }
    }
    text.push('>');
    for child in &element_type.children {
        let count = if child.required {
            1
        } else {
            usize::from(chance() < 0.7)
        };
        (0..count.min(child.max_occurs)).for_each(|_| text += &good(child, chance));
    }
    text + &format!("</{}>", element_type.name)
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default() })]

    #[test]
    fn what_the_schema_allows_is_taken_and_what_is_spoilt_in_one_place_is_not(
        draws in prop::collection::vec(0.0..1.0f64, 64), spoil in 0usize..6, at in 0usize..40
    ) {
        let schema = bundled();
        let mut left = draws.iter().cycle();
        let text = good(&schema.root, &mut || *left.next().expect("a cycle"));
        prop_assert!(schema.check(&text).is_ok(), "{text}: {:?}", schema.check(&text));
        let spoilt = match spoil {
            0 => text.replacen('>', " unknown=\"1\">", 1),
            1 => text.replacen('>', "><unknown/>", 1),
            2 => text.replacen('>', ">words", 1),
            3 => text[..text.len() - 1 - at.min(text.len() - 2)].to_owned(),
            4 => format!("{text}<more/>"),
            _ => format!("<!DOCTYPE magpieline [<!ENTITY a \"b\">]>{text}"),
        };
        prop_assert!(schema.check(&spoilt).is_err(), "{spoilt}");
    }

    #[test]
    fn each_attribute_refuses_what_its_type_does(x in -1e6..1e6f64, word in "[a-z;<&]{0,8}") {
        let schema = bundled();
        for element_type in &schema.root.children {
            for a in &element_type.attributes {
                for value in [format!("{x}"), word.replace(['<', '&'], "?")] {
                    let s = &a.value_type;
                    let number = value.parse::<f64>().ok().filter(|_| !value.contains(['e', 'E', 'n', 'i']));
                    let inside = |n: f64| {
                        s.min.is_none_or(|l| n >= l) && s.max.is_none_or(|m| n <= m) && s.exclusive_min.is_none_or(|b| n > b)
                    };
                    let fits = match s.kind {
                        ValueKind::Decimal => number.is_some_and(inside),
                        ValueKind::Integer => number.is_some_and(|n| inside(n) && n.fract() == 0.0),
                        ValueKind::Boolean => matches!(value.trim(), "true" | "false" | "0" | "1"),
                        ValueKind::Text if s.allowed.is_empty() => !value.is_empty(),
                        ValueKind::Text => s.allowed.contains(&value),
                    };
                    prop_assert_eq!(s.parse(&value).is_ok(), fits, "{}={}", a.name, value);
                }
            }
        }
    }

    #[test]
    fn no_text_breaks_the_reader(text in "(<|>|/|a|b|=|\"|'|&|;|!|-|\\[|\\]|\\?| |\n|é){0,60}") {
        let _ = xml::parse(&text);
    }
}

#[test]
fn all_complaints_come_at_once_with_their_lines() {
    let text = "<magpieline>\n <verdict good-sent-back='2'\n fallback='perhaps'>\n  <inner/>\n </verdict>\n <odd/>\n</magpieline>";
    let told: Vec<String> = wrong(text).iter().map(ToString::to_string).collect();
    assert_eq!(
        told,
        [
            "line 2: magpieline/verdict: good-sent-back: found '2', expected a number, 0.000001 or more, 0.5 or less",
            "line 2: magpieline/verdict: fallback: found 'perhaps', expected wait or on",
            "line 4: magpieline/verdict: found <inner>, expected no element",
            "line 6: magpieline: found <odd>, expected one of verdict, hits, transport, resp, extproc, levels, log, control, watch",
        ]
    );
    let tied = wrong("<magpieline><verdict good-slower='1.9'/></magpieline>");
    assert_eq!(
        tied[0].message,
        "good-slower: found '1.9', expected less than bad-slower (1.7)"
    );
    let again = wrong("<magpieline><verdict/><verdict/></magpieline>");
    assert_eq!(
        again[0].message,
        "found <verdict> again, expected 1 at most"
    );
    assert!(wrong("<other/>")[0]
        .message
        .contains("expected <magpieline>"));
}

#[test]
fn nothing_is_expanded_and_nothing_grows_without_bound() {
    let entity = "<!DOCTYPE magpieline [<!ENTITY a \"aaaa\">]>\n<magpieline>&a;</magpieline>";
    assert_eq!(
        wrong(entity)[0].message,
        "line 1: found a document type, expected none"
    );
    assert!(wrong("<magpieline>&a;</magpieline>")[0]
        .message
        .contains("found &a;"));
    let deep = "<a>".repeat(20);
    assert!(wrong(&deep)[0].message.contains("more than 16 elements"));
    assert!(wrong(&" ".repeat(xml::MAX_BYTES + 1))[0]
        .message
        .contains("bytes, expected"));
    let read =
        xml::parse("<a b='&lt;&#65;'>x &amp; y<![CDATA[<z>]]></a>").expect("XML's own entities");
    assert_eq!(
        (read.attribute("b"), read.text.as_str()),
        (Some("<A"), "x & y<z>")
    );
}

#[test]
fn every_element_and_attribute_of_the_schema_is_explained() {
    fn walk(element_type: &ElementType, path: &str) {
        assert!(!element_type.documentation.is_empty(), "{path}");
        for a in &element_type.attributes {
            assert!(!a.documentation.is_empty(), "{path}.{}", a.name);
        }
        element_type
            .children
            .iter()
            .for_each(|c| walk(c, &format!("{path}.{}", c.name)));
    }
    walk(&bundled().root, "");
    let told = bundled()
        .explain("verdict.bad_carried")
        .expect("an attribute");
    assert!(
        told.ends_with(
            "Expected: a number, 0.000001 or more, 0.5 or less; 0.05 if it is not given."
        ),
        "{told}"
    );
    assert!(bundled()
        .explain("verdict")
        .expect("an element")
        .contains("Holds: good-sent-back, bad-carried"));
    assert_eq!(bundled().explain("verdict.nothing"), None);
}

#[test]
fn lists_are_numbered_and_a_schema_that_says_more_is_refused() {
    let schema = |inner: &str| {
        let top = "<xs:schema xmlns:xs='x'><xs:element name='top'><xs:complexType>";
        Schema::parse(&format!(
            "{top}{inner}</xs:complexType></xs:element></xs:schema>"
        ))
    };
    let many = schema(
        "<xs:sequence><xs:element name='a-row' minOccurs='0' maxOccurs='2'><xs:complexType>
         <xs:attribute name='n' type='xs:integer' use='required'/><xs:attribute name='on' type='xs:boolean'/>
         </xs:complexType></xs:element></xs:sequence>",
    )
    .expect("a schema");
    let values = many
        .check("<top><a-row n='3' on='1'/><a-row n=' -4 '/></top>")
        .expect("good");
    assert_eq!(values["a_row.0.n"], Setting::Number(3.0));
    assert_eq!(values["a_row.0.on"], Setting::Flag(true));
    assert_eq!(values["a_row.1.n"], Setting::Number(-4.0));
    assert!(many.check("<top><a-row n='3.5'/></top>").is_err());
    let missing = many.check("<top><a-row/></top>").expect_err("needed");
    assert_eq!(missing[0].message, "n: expected a whole number");
    assert!(many
        .check(&format!("<top>{}</top>", "<a-row n='1'/>".repeat(3)))
        .is_err());
    for odd in [
        "<xs:choice/>",
        "<xs:attribute name='a' type='xs:date'/>",
        "<xs:assert test='true()'/>",
        "<xs:attribute name='a' type='xs:integer' default='x'/>",
    ] {
        assert!(schema(odd).is_err(), "{odd}");
    }
}

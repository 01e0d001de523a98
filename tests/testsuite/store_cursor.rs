//! Tests that a read of a list ends, whatever pages the store returns.

use geraniummount::core::store::cursor::{Cursor, Step};

/// Pages of a list, and how the read of them ends.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Whether each page is truncated, and its last key that can be read.
    pages: &'static [(bool, Option<&'static str>)],
    /// Keys after which further pages are asked for.
    asked: &'static [&'static str],
    /// Key up to which the list is complete; `None` if it is complete to its end.
    complete_to: Option<&'static str>,
}

const CASES: &[Case] = &[
    Case {
        name: "one page",
        pages: &[(false, Some("c"))],
        asked: &[],
        complete_to: None,
    },
    Case {
        name: "no keys",
        pages: &[(false, None)],
        asked: &[],
        complete_to: None,
    },
    Case {
        name: "three pages",
        pages: &[(true, Some("c")), (true, Some("f")), (false, Some("g"))],
        asked: &["c", "f"],
        complete_to: None,
    },
    Case {
        name: "an order that is not that of the bytes",
        pages: &[(true, Some("z")), (true, Some("B")), (false, None)],
        asked: &["z", "B"],
        complete_to: None,
    },
    Case {
        name: "a first page without keys that says that more follow",
        pages: &[(true, None)],
        asked: &[],
        complete_to: Some(""),
    },
    Case {
        name: "a later page without keys that says that more follow",
        pages: &[(true, Some("c")), (true, None)],
        asked: &["c"],
        complete_to: Some("c"),
    },
    Case {
        name: "a page that comes twice",
        pages: &[(true, Some("c")), (true, Some("f")), (true, Some("f"))],
        asked: &["c", "f"],
        complete_to: Some("f"),
    },
    Case {
        name: "the first page again",
        pages: &[(true, Some("c")), (true, Some("f")), (true, Some("c"))],
        asked: &["c", "f"],
        complete_to: Some("f"),
    },
];

#[test]
fn store_cursor_ends_each_read() {
    for case in CASES {
        let mut cursor = Cursor::default();
        let steps = case.pages.iter();
        let mut steps: Vec<Step> = steps
            .map(|(is_truncated, last)| cursor.on_page(*is_truncated, *last))
            .collect();
        let end = match case.complete_to {
            None => Step::Complete,
            Some(key) => Step::Stuck(key.to_string()),
        };
        assert_eq!(steps.pop(), Some(end), "{}", case.name);
        let asked = case.asked.iter().map(|key| Step::Next((*key).to_string()));
        assert_eq!(steps, asked.collect::<Vec<_>>(), "{}", case.name);
    }
}

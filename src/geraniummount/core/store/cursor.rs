//! Decides how a read of a list of keys, page by page, goes on.
//!
//! Load pattern: a store returns some 500 keys at once, and each further page begins after a key that
//! the call names. Any writer can add an entry that can't be read, also the last one of a page, and a
//! store in trouble may return a page twice, or one without entries that says that more follow. A
//! read that goes on from the last entry that it can use would ask for the same page forever, and
//! keep each copy of it.
//!
//! A read therefore goes on after the last key of a page whether or not the rest of that entry can be
//! read, and never asks for the page after a key twice. Otherwise it ends without being complete.

/// Progress of a read of a list.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    /// Keys after which pages were asked for, sorted.
    asked: Vec<String>,
    /// Key after which the last page was asked for; empty if that was the first page.
    last: String,
}

/// How a read goes on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// The next page begins after this key.
    Next(String),
    /// The list is complete.
    Complete,
    /// The page leads no further. The list is complete up to this key, which is empty if it is the
    /// first page.
    Stuck(String),
}

impl Cursor {
    /// Records a page. `is_truncated` states whether further keys follow, and `last_key` is the last
    /// key of the page that can be read; `None` if there is none.
    pub fn on_page(&mut self, is_truncated: bool, last_key: Option<&str>) -> Step {
        if !is_truncated {
            return Step::Complete;
        }
        let Some(key) = last_key else {
            return Step::Stuck(self.last.clone());
        };
        match self.asked.binary_search_by(|asked| asked.as_str().cmp(key)) {
            Ok(_) => Step::Stuck(self.last.clone()),
            Err(index) => {
                self.asked.insert(index, key.to_string());
                self.last = key.to_string();
                Step::Next(self.last.clone())
            }
        }
    }
}

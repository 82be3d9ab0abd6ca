//! The operators' file and what it may hold. `deploy/magpieline.xsd` is the one place where elements, their
//! values, bounds, defaults and explanations are written down; this package reads that schema and holds files
//! against it, so the two cannot part.
//!
//! No I/O: texts come in, plain maps of dotted names to values go out.
//!
//! ```
//! use magpieline_operator_config::{Schema, Setting};
//!
//! let file = r#"<magpieline><verdict good-sent-back="0.01" bad-carried="0.05"/></magpieline>"#;
//! let values = Schema::bundled().check(file).expect("a good file");
//! assert_eq!(values["verdict.good_sent_back"], Setting::Number(0.01));
//!
//! let wrong = Schema::bundled().check("<magpieline>\n<verdict good-sent-back='7'/></magpieline>").unwrap_err();
//! assert!(wrong[0].to_string().starts_with("line 2: magpieline/verdict: good-sent-back: found '7'"));
//! ```

mod check;
pub mod journal;
mod schema;
pub mod versions;
pub mod watch;
pub mod xml;

pub use check::{flag, number, text, Setting, ValidationError, Values};
pub use schema::{Schema, SchemaError};

#[cfg(test)]
mod changes;
#[cfg(test)]
mod tests;

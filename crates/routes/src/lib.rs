//! Routes, classes and costs from the OpenAPI descriptions that backends publish. No I/O: texts in, a table out.
//!
//! - [`node`]: YAML and JSON as a tree that knows its lines, safe on hostile text.
//! - [`rule`]: what holds for an operation, and which of two figures is the stricter one.
//! - [`openapi`]: reads a description.
//! - [`classes`]: the operator's table of classes.
//! - [`cost`]: the units of a request.
//! - [`path`]: the one way in which a path is written.
//! - [`table`]: operations by method and templated path, joined and matched.

pub mod classes;
pub mod cost;
pub mod node;
pub mod openapi;
pub mod path;
pub mod rule;
pub mod table;

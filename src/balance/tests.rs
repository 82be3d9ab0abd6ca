//! Tests of the decisions.

//! Tests of the server for callers over raw connections.

mod common;
mod connections;
mod requests;

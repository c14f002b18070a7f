//! Integration tests of the server for callers over raw TCP connections.

mod ahead;
mod common;
mod connections;
mod requests;

//! Tests with several nodes in this process, as one program so that they share their fakes.

mod absent;
mod access;
mod common;
mod health;
mod sessions;

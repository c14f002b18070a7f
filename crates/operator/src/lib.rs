//! Operator port and commands.

//! INI settings.

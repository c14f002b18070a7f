//! Measurements of the decision cores in virtual time, with their baselines and fixed seeds.

mod calls;
mod health;
mod limits;
mod outages;

use std::str::FromStr;

use eyre::{Report, Result, bail};

/// Which measurements to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    All,
    Limits,
    Health,
    Calls,
    /// The tables of the retries alone, which take a second.
    Retries,
}

impl FromStr for Part {
    type Err = Report;

    fn from_str(part: &str) -> Result<Part> {
        match part {
            "all" => Ok(Part::All),
            "limits" => Ok(Part::Limits),
            "health" => Ok(Part::Health),
            "calls" => Ok(Part::Calls),
            "retries" => Ok(Part::Retries),
            _ => bail!("unknown part {part:?}; known are all, limits, health, calls and retries"),
        }
    }
}

/// Runs the measurements of a part and prints their tables.
pub fn run(part: Part) -> Result<()> {
    if matches!(part, Part::All | Part::Limits) {
        limits::run()?;
    }
    if matches!(part, Part::All | Part::Health) {
        health::run()?;
    }
    if matches!(part, Part::All | Part::Calls) {
        calls::run()?;
    }
    if matches!(part, Part::All | Part::Calls | Part::Retries) {
        calls::retries();
        outages::run();
    }
    Ok(())
}

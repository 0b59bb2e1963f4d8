//! [`FigureReport`]: the figures of all runs, as a table and as JSON.

use std::fmt::Write;

use serde::Serialize;

/// What a figure has to reach.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Shown for comparison.
    None,
    /// At most this.
    AtMost(f64),
    /// At least this.
    AtLeast(f64),
}

/// One figure.
#[derive(Clone, Debug, Serialize)]
pub struct FigureRow {
    /// Subcommand.
    pub measure: &'static str,
    /// Profile.
    pub profile: &'static str,
    /// Seed.
    pub seed: u64,
    /// Case within the subcommand.
    pub case: String,
    /// Name with its unit.
    pub figure: String,
    /// Value.
    pub value: f64,
    /// What it has to reach.
    pub target: Target,
    /// Whether it does; absent without a target.
    pub met: Option<bool>,
}

/// The figures of all runs.
#[derive(Clone, Debug, Default)]
pub struct FigureReport {
    rows: Vec<FigureRow>,
    measure: &'static str,
    profile: &'static str,
    seed: u64,
}

impl FigureReport {
    /// Sets what the next figures belong to.
    pub const fn begin(&mut self, measure: &'static str, profile: &'static str, seed: u64) {
        self.measure = measure;
        self.profile = profile;
        self.seed = seed;
    }

    /// Adds a figure and prints it, so that a long run shows progress.
    pub fn add(&mut self, case: &str, figure: &str, value: f64, target: Target) {
        let met = match target {
            Target::None => None,
            Target::AtMost(bound) => Some(value <= bound),
            Target::AtLeast(bound) => Some(value >= bound),
        };
        let row = FigureRow {
            measure: self.measure,
            profile: self.profile,
            seed: self.seed,
            case: case.to_owned(),
            figure: figure.to_owned(),
            value,
            target,
            met,
        };
        eprintln!("{}", row.line());
        self.rows.push(row);
    }

    /// Returns the table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = String::from(
            "| measure | profile | seed | case | figure | value | target | met |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        );
        for row in &self.rows {
            // Writing to a string cannot fail.
            let _written = writeln!(text, "{}", row.line());
        }
        text
    }

    /// Returns the figures as JSON.
    ///
    /// # Errors
    ///
    /// Fails if a figure is not a number.
    pub fn json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(&self.rows)
    }
}

impl FigureRow {
    fn line(&self) -> String {
        let target = match self.target {
            Target::None => String::new(),
            Target::AtMost(bound) => format!("<= {bound}"),
            Target::AtLeast(bound) => format!(">= {bound}"),
        };
        let met = match self.met {
            None => "",
            Some(true) => "yes",
            Some(false) => "NO",
        };
        format!(
            "| {} | {} | {} | {} | {} | {:.3} | {target} | {met} |",
            self.measure, self.profile, self.seed, self.case, self.figure, self.value
        )
    }
}

//! [`FigureReport`]: collects the figures of all runs and writes them as a Markdown table and as JSON.

use std::fmt::Write;

use serde::Serialize;

/// Bound that a figure must keep.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FigureTarget {
    /// No bound; the figure is reported for comparison.
    None,
    /// Highest value that meets the target.
    AtMost(f64),
    /// Lowest value that meets the target.
    AtLeast(f64),
}

/// One measured figure, which is one object of the JSON file.
#[derive(Clone, Debug, Serialize)]
pub struct FigureRow {
    /// Subcommand that measured it.
    pub measure: &'static str,
    /// Name of the deployment profile.
    pub profile: &'static str,
    /// Seed of the random choices of the run.
    pub seed: u64,
    /// Case within the subcommand.
    pub case: String,
    /// Name of the figure, with its unit.
    pub figure: String,
    /// Measured value, in the unit that the figure names.
    pub value: f64,
    /// Bound that the value must keep.
    pub target: FigureTarget,
    /// Whether the value meets the target; `None` if there is no bound.
    pub met: Option<bool>,
}

/// Figures of all runs, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct FigureReport {
    rows: Vec<FigureRow>,
    measure: &'static str,
    profile: &'static str,
    seed: u64,
}

impl FigureReport {
    /// Sets the measurement, profile and seed of the figures added from now on.
    pub const fn begin_run(&mut self, measure: &'static str, profile: &'static str, seed: u64) {
        self.measure = measure;
        self.profile = profile;
        self.seed = seed;
    }

    /// Adds a figure and prints it on standard error, which shows the progress of a long run.
    pub fn add(&mut self, case: &str, figure: &str, value: f64, target: FigureTarget) {
        let met = match target {
            FigureTarget::None => None,
            FigureTarget::AtMost(bound) => Some(value <= bound),
            FigureTarget::AtLeast(bound) => Some(value >= bound),
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
        eprintln!("{}", row.table_row());
        self.rows.push(row);
    }

    /// Returns all figures as a Markdown table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = String::from(
            "| measure | profile | seed | case | figure | value | target | met |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        );
        for row in &self.rows {
            // Writing to a string cannot fail.
            let _infallible = writeln!(text, "{}", row.table_row());
        }
        text
    }

    /// Returns all figures as a JSON array.
    ///
    /// # Errors
    ///
    /// Fails if the figures cannot be serialised.
    pub fn json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(&self.rows)
    }
}

impl FigureRow {
    fn table_row(&self) -> String {
        let target = match self.target {
            FigureTarget::None => String::new(),
            FigureTarget::AtMost(bound) => format!("<= {bound}"),
            FigureTarget::AtLeast(bound) => format!(">= {bound}"),
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

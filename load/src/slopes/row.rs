//! [`Report`]: the rows of the table, printed as they arise.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Debug, Serialize)]
pub struct SlopeRow {
    /// What was measured.
    pub measure: String,
    /// What the size counts.
    pub unit: String,
    /// The size.
    pub size: usize,
    /// What the value counts.
    pub quantity: String,
    /// The value.
    pub value: f64,
}

/// The rows so far.
#[derive(Debug)]
pub struct Report {
    rows: Vec<SlopeRow>,
}

impl Report {
    /// Creates an empty report and prints the heading.
    pub fn new() -> Self {
        println!(
            "{:<44} {:>8} {:<10} {:>14}  quantity",
            "measure", "size", "unit", "value"
        );
        Self { rows: Vec::new() }
    }

    /// Adds and prints a row.
    pub fn add(&mut self, measure: &str, size: usize, unit: &str, value: f64, quantity: &str) {
        println!("{measure:<44} {size:>8} {unit:<10} {value:>14.3}  {quantity}");
        self.rows.push(SlopeRow {
            measure: measure.to_owned(),
            unit: unit.to_owned(),
            size,
            quantity: quantity.to_owned(),
            value,
        });
    }

    /// Returns all rows.
    pub fn rows(&self) -> &[SlopeRow] {
        &self.rows
    }
}

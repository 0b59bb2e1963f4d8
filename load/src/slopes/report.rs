//! [`ScalingReport`]: the measured values, each printed as soon as it is added.

use serde::Serialize;

/// One measured value, which is one object of the JSON file.
#[derive(Clone, Debug, Serialize)]
pub struct ScalingRow {
    /// Name of the operation or table that was measured.
    pub measure: String,
    /// What the size counts, such as `VMs` or `groups`.
    pub unit: String,
    /// Size of the deployment for which the value holds, in units of `unit`.
    pub size: usize,
    /// What the value counts, with its unit, such as `bytes held` or `us`.
    pub quantity: String,
    /// Measured value.
    pub value: f64,
}

/// Rows added so far.
#[derive(Debug)]
pub struct ScalingReport {
    rows: Vec<ScalingRow>,
}

impl ScalingReport {
    /// Creates an empty report and prints the table header.
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
        self.rows.push(ScalingRow {
            measure: measure.to_owned(),
            unit: unit.to_owned(),
            size,
            quantity: quantity.to_owned(),
            value,
        });
    }

    /// Returns all rows, in the order in which they were added.
    pub fn rows(&self) -> &[ScalingRow] {
        &self.rows
    }
}

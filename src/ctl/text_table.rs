//! [`TextTable`]: a text table with aligned columns.

use std::fmt;

/// A table with a header row, printed with aligned columns and without trailing spaces.
#[derive(Debug)]
pub(super) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    pub(super) fn new(header: &[&str]) -> Self {
        Self {
            rows: vec![header.iter().map(|cell| (*cell).to_owned()).collect()],
        }
    }

    /// Adds a row. An empty cell is printed as `-`, and a control character as `?`.
    pub(super) fn add_row(&mut self, cells: &[&dyn fmt::Display]) {
        let cells = cells.iter().map(|cell| {
            let text = cell.to_string().replace(char::is_control, "?");
            if text.is_empty() {
                "-".to_owned()
            } else {
                text
            }
        });
        self.rows.push(cells.collect());
    }

    /// Returns whether the table has no rows below the header.
    pub(super) const fn is_empty(&self) -> bool {
        self.rows.len() <= 1
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns)
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:width$}  "));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

//! Output as plain-text tables.

/// Prints rows in left-aligned columns, two spaces apart, under a heading.
pub fn print_table(heading: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = heading.iter().map(|h| h.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heading: Vec<String> = heading.iter().map(|h| (*h).to_owned()).collect();
    for row in std::iter::once(&heading).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}

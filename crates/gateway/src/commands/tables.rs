//! Tables for people: names with their values, and rows in columns.

/// Formats names and values, one a line, values below each other.
pub(super) fn pairs(list: &[(&str, String)], indent: &str) -> String {
    let width = list
        .iter()
        .map(|(name, _)| name.chars().count())
        .max()
        .unwrap_or(0);
    list.iter()
        .map(|(name, value)| format!("{indent}{name:width$}  {value}\n"))
        .collect()
}

/// Formats rows in columns that are as wide as their widest cell.
pub(super) fn columns(rows: &[Vec<String>], indent: &str) -> String {
    let mut widths: Vec<usize> = Vec::new();
    for row in rows {
        widths.resize(widths.len().max(row.len()), 0);
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |row: &Vec<String>| -> String {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        format!("{indent}{}\n", cells.join("  ").trim_end())
    };
    rows.iter().map(line).collect()
}

/// Joins names to one line; "none" if there are none.
pub(super) fn join<T: AsRef<str>>(names: &[T]) -> String {
    if names.is_empty() {
        return "none".into();
    }
    names
        .iter()
        .map(AsRef::as_ref)
        .collect::<Vec<_>>()
        .join(", ")
}

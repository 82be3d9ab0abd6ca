//! What people read: names with their values, and rows in columns.

/// Names and values, one a line, values below each other.
pub fn pairs(list: &[(&str, String)], indent: &str) -> String {
    let width = list
        .iter()
        .map(|(name, _)| name.chars().count())
        .max()
        .unwrap_or(0);
    list.iter()
        .map(|(name, value)| format!("{indent}{name:width$}  {value}\n"))
        .collect()
}

/// Rows in columns that are as wide as their widest cell.
pub fn columns(rows: &[Vec<String>], indent: &str) -> String {
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

/// Names in one line; none if there are none.
pub fn listed<T: AsRef<str>>(names: &[T]) -> String {
    if names.is_empty() {
        return "none".into();
    }
    names
        .iter()
        .map(AsRef::as_ref)
        .collect::<Vec<_>>()
        .join(", ")
}

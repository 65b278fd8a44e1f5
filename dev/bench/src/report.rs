//! Output of results as JSON and as a table, and statistics over runs.

use serde::Serialize;
use serde_json::Value;

/// Prints each row as one line of JSON, then all rows as a Markdown table.
pub(crate) fn print(rows: &[impl Serialize]) -> eyre::Result<()> {
    let rows: Vec<Value> = rows
        .iter()
        .map(serde_json::to_value)
        .collect::<Result<_, _>>()?;
    for row in &rows {
        println!("{row}");
    }
    let Some(Value::Object(first)) = rows.first() else {
        return Ok(());
    };
    let names: Vec<_> = first.keys().cloned().collect();
    println!("\n| {} |", names.join(" | "));
    println!("|{}", "---|".repeat(names.len()));
    for row in &rows {
        let cells: Vec<_> = names.iter().map(|name| format_cell(&row[name])).collect();
        println!("| {} |", cells.join(" | "));
    }
    Ok(())
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(float) if number.is_f64() => format!("{float:.3}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}

/// Returns the arithmetic mean, or 0 if there are no values.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns half the range of the values: (maximum - minimum) / 2.
pub(crate) fn spread(values: &[f64]) -> f64 {
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (max - min) / 2.0
}

//! Printing of results: JSON, then a table.

use serde::Serialize;
use serde_json::Value;

/// Prints rows as one line of JSON each, and then as a table.
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
        let cells: Vec<_> = names.iter().map(|name| cell(&row[name])).collect();
        println!("| {} |", cells.join(" | "));
    }
    Ok(())
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(float) if number.is_f64() => format!("{float:.3}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}

/// The mean of some values.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Half the distance between the least and the greatest value.
pub(crate) fn spread(values: &[f64]) -> f64 {
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let greatest = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (greatest - least) / 2.0
}

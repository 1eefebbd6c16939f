//! Straight lines through measured points.

/// A line through points, and how far the points are from it.
pub struct Fit {
    pub slope: f64,
    pub intercept: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
}

/// Returns the least-squares line.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance.max(f64::MIN_POSITIVE);
    let intercept = mean_y - slope * mean_x;
    let distance = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max);
    Fit { slope, intercept, residual }
}

/// A quantity measured at several sizes.
pub struct Series {
    pub name: &'static str,
    pub unit: &'static str,
    pub points: Vec<(f64, f64)>,
}

impl Series {
    pub fn new(name: &'static str, unit: &'static str) -> Self {
        Self { name, unit, points: Vec::new() }
    }
}

/// Prints the points and the fit of each quantity.
pub fn print(title: &str, per: &str, series: &[Series]) {
    println!("\n### {title}\n");
    let sizes: Vec<String> = series[0].points.iter().map(|p| format!("at {}", p.0)).collect();
    println!("| quantity | {} | slope per {per} | at zero | largest residual |", sizes.join(" | "));
    println!("| --- |{}", " ---: |".repeat(sizes.len() + 3));
    for s in series {
        let values: Vec<String> = s.points.iter().map(|p| format!("{:.3}", p.1)).collect();
        let f = fit(&s.points);
        println!(
            "| {} ({}) | {} | {:.5} | {:.3} | {:.3} |",
            s.name,
            s.unit,
            values.join(" | "),
            f.slope,
            f.intercept,
            f.residual
        );
    }
}

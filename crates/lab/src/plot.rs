//! Lines over time as SVG. Called by the lab's reports.

use std::path::Path;

use plotters::prelude::*;

pub struct Chart {
    pub title: &'static str,
    pub x: &'static str,
    pub y: &'static str,
    /// By name.
    pub lines: Vec<(String, Vec<(f64, f64)>)>,
}

const COLOURS: [RGBColor; 4] =
    [RGBColor(20, 90, 160), RGBColor(200, 80, 30), RGBColor(110, 110, 110), RGBColor(40, 140, 70)];

/// The charts below one another; what comes after `until` is left out.
pub fn lines(path: &Path, charts: &[Chart], until: f64) -> Result<(), String> {
    let root = SVGBackend::new(path, (900, 380 * charts.len() as u32)).into_drawing_area();
    let told = |wrong: &dyn std::fmt::Display| format!("{}: {wrong}", path.display());
    root.fill(&WHITE).map_err(|wrong| told(&wrong))?;
    for (chart, area) in charts.iter().zip(root.split_evenly((charts.len(), 1))) {
        let within =
            |line: &Vec<(f64, f64)>| line.iter().copied().filter(|at| at.0 <= until).collect::<Vec<_>>();
        let all: Vec<(String, Vec<(f64, f64)>)> =
            chart.lines.iter().map(|(name, line)| (name.clone(), within(line))).collect();
        let values = all.iter().flat_map(|(_, line)| line.iter().map(|at| at.1));
        let (least, most) = values.fold((0.0_f64, 1e-9_f64), |(a, b), value| (a.min(value), b.max(value)));
        let mut drawn = ChartBuilder::on(&area)
            .caption(chart.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..until, least..1.05 * most)
            .map_err(|wrong| told(&wrong))?;
        let mesh = drawn.configure_mesh().x_desc(chart.x).y_desc(chart.y).light_line_style(WHITE).draw();
        mesh.map_err(|wrong| told(&wrong))?;
        for ((name, line), colour) in all.into_iter().zip(COLOURS) {
            let series = drawn.draw_series(LineSeries::new(line, colour.stroke_width(2)));
            let series = series.map_err(|wrong| told(&wrong))?;
            series.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        let mut legend = drawn.configure_series_labels();
        let legend = legend.position(SeriesLabelPosition::LowerRight).border_style(BLACK.mix(0.3));
        legend.background_style(WHITE).draw().map_err(|wrong| told(&wrong))?;
    }
    root.present().map_err(|wrong| told(&wrong))
}

use std::fmt::Write as _;

use super::{Comparison, Policies, deployment::as_f64};

/// Size of the image.
const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 320.0;
/// Left and lower edge of the plot.
const PLOT_LEFT: f64 = 60.0;
const BASELINE: f64 = 240.0;
/// Height of the highest bar of a class.
const BAR_HEIGHT_MAX: f64 = 180.0;
/// Fill colors of the bars, in the order of [`Policies::ALL`].
const BAR_FILLS: [&str; 4] = ["#b0b0b0", "#6a8caf", "#c98a9a", "#8e2c48"];

/// Renders a comparison as an SVG bar chart: the goodput of each class, scaled to the highest value
/// of the class, and the worth as text.
#[must_use]
pub fn picture(comparison: &Comparison) -> String {
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>\n\
         <text x=\"{PLOT_LEFT}\" y=\"20\" font-size=\"15\">{}, {}: good answers per second</text>\n\
         <line x1=\"{PLOT_LEFT}\" y1=\"{BASELINE}\" \
         x2=\"700\" y2=\"{BASELINE}\" stroke=\"black\"/>\n",
        comparison.deployment, comparison.scenario
    );
    let default = &comparison.policies[&Policies::Default];
    let group_width = (WIDTH - PLOT_LEFT - 20.0) / as_f64(default.classes.len() as u64);
    for (group, name) in (0_u64..).zip(default.classes.keys()) {
        let left = PLOT_LEFT + group_width * as_f64(group) + 10.0;
        let bars = comparison.policies.values();
        let rates: Vec<f64> = bars.map(|figures| goodput(figures, name)).collect();
        let max_rate = rates.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        let bar_width = (group_width - 30.0) / 4.0;
        for (index, (rate, fill)) in (0_u64..).zip(rates.iter().zip(BAR_FILLS)) {
            let (x, height) = (
                left + bar_width * as_f64(index),
                BAR_HEIGHT_MAX * rate / max_rate,
            );
            let y = BASELINE - height;
            let _infallible = writeln!(
                svg,
                "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"{fill}\"/>\
                 <text x=\"{x:.1}\" y=\"{:.1}\" font-size=\"10\">{rate:.1}</text>",
                bar_width - 4.0,
                y - 4.0,
            );
        }
        let _infallible = writeln!(
            svg,
            "<text x=\"{left:.1}\" y=\"{}\">{name}</text>",
            BASELINE + 16.0
        );
    }
    let policies = comparison.policies.iter().zip(BAR_FILLS);
    for (index, ((name, figures), fill)) in (0_u64..).zip(policies) {
        let x = PLOT_LEFT + 165.0 * as_f64(index);
        let _infallible = writeln!(
            svg,
            "<rect x=\"{x}\" y=\"270\" width=\"10\" height=\"10\" fill=\"{fill}\"/>\
             <text x=\"{}\" y=\"279\">{name}</text>\
             <text x=\"{}\" y=\"300\">worth {} ({:.0}%)</text>",
            x + 14.0,
            x + 14.0,
            figures.worth,
            comparison.bound.fraction_reached(figures.worth) * 100.0,
        );
    }
    svg.push_str("</svg>\n");
    svg
}

fn goodput(figures: &super::Figures, class: &str) -> f64 {
    let found = figures.classes.get(class);
    found.map_or(0.0, |class| class.goodput)
}

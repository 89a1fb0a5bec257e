use std::fmt::Write as _;

use super::{Comparison, Policies, deployment::as_f64};

/// Size of a picture.
const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 320.0;
/// Left edge and lower edge of the bars.
const LEFT: f64 = 60.0;
const BASE: f64 = 240.0;
/// Height of the largest bar.
const FULL: f64 = 180.0;
/// Fill of the bars, one for each set of policies.
const FILLS: [&str; 4] = ["#b0b0b0", "#6a8caf", "#c98a9a", "#8e2c48"];

/// Draws a comparison as SVG: the goodput of each class as grouped bars, scaled to the
/// largest of the class, and the worth as a
/// line of numbers.
#[must_use]
pub fn picture(comparison: &Comparison) -> String {
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>\n\
         <text x=\"{LEFT}\" y=\"20\" font-size=\"15\">{}, {}: good answers per second</text>\n\
         <line x1=\"{LEFT}\" y1=\"{BASE}\" x2=\"700\" y2=\"{BASE}\" stroke=\"black\"/>\n",
        comparison.deployment, comparison.scenario
    );
    let default = &comparison.policies[&Policies::Default];
    let group = (WIDTH - LEFT - 20.0) / as_f64(default.classes.len() as u64);
    for (place, name) in (0_u64..).zip(default.classes.keys()) {
        let left = LEFT + group * as_f64(place) + 10.0;
        let bars = comparison.policies.values();
        let rates: Vec<f64> = bars.map(|one| rate(one, name)).collect();
        let most = rates.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        let width = (group - 30.0) / 4.0;
        for (index, (rate, fill)) in (0_u64..).zip(rates.iter().zip(FILLS)) {
            let (x, height) = (left + width * as_f64(index), FULL * rate / most);
            let y = BASE - height;
            let _infallible = writeln!(
                svg,
                "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"{fill}\"/>\
                 <text x=\"{x:.1}\" y=\"{:.1}\" font-size=\"10\">{rate:.1}</text>",
                width - 4.0,
                y - 4.0,
            );
        }
        let _infallible = writeln!(
            svg,
            "<text x=\"{left:.1}\" y=\"{}\">{name}</text>",
            BASE + 16.0
        );
    }
    let policies = comparison.policies.iter().zip(FILLS);
    for (index, ((name, one), fill)) in (0_u64..).zip(policies) {
        let x = LEFT + 165.0 * as_f64(index);
        let _infallible = writeln!(
            svg,
            "<rect x=\"{x}\" y=\"270\" width=\"10\" height=\"10\" fill=\"{fill}\"/>\
             <text x=\"{}\" y=\"279\">{name}</text>\
             <text x=\"{}\" y=\"300\">worth {} ({:.0}%)</text>",
            x + 14.0,
            x + 14.0,
            one.worth,
            comparison.bound.reached(one.worth) * 100.0,
        );
    }
    svg.push_str("</svg>\n");
    svg
}

fn rate(figures: &super::Figures, class: &str) -> f64 {
    let found = figures.classes.get(class);
    found.map_or(0.0, |class| class.goodput)
}
